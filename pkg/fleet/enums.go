package fleet

//go:generate ../../.bin/enumer -type=Priority -transform=kebab -json -output=priority_enumer.go
//go:generate ../../.bin/enumer -type=Holder -transform=kebab -json -output=holder_enumer.go
//go:generate ../../.bin/enumer -type=Phase -transform=kebab -json -output=phase_enumer.go
//go:generate ../../.bin/enumer -type=WaveState -trimprefix=Wave -transform=kebab -json -output=wavestate_enumer.go

// Priority orders requests that wait; the lower value goes first.
type Priority int

// Priorities of services.
const (
	Urgent   Priority = iota // an editor's clearance check, a morning order
	Normal                   // work that a person may wait for
	Deferred                 // filings, reconciliation and other work that can wait
)

// Holder says which system serves a service.
type Holder int

// Holders of a service.
const (
	Greengagelane Holder = iota
	OlderSystem
)

// Phase says what a VM is doing.
type Phase int

// Phases of a VM.
const (
	Serving     Phase = iota
	Moving            // drains on its way to another pool
	Maintenance       // drains and reboots within a wave
	Failed            // did not come back from a reboot
)

// WaveState says how far a maintenance wave is.
type WaveState int

// States of a wave.
const (
	WaveDeclared WaveState = iota
	WaveRunning
	WavePaused
	WaveHalted // too many VMs failed
	WaveDone
)
