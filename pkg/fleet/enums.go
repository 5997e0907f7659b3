package fleet

//go:generate ../../.bin/enumer -type=Priority -transform=kebab -json -output=priority_enumer.go
//go:generate ../../.bin/enumer -type=Holder -transform=kebab -json -output=holder_enumer.go
//go:generate ../../.bin/enumer -type=Phase -transform=kebab -json -output=phase_enumer.go
//go:generate ../../.bin/enumer -type=WaveState -trimprefix=Wave -transform=kebab -json -output=wavestate_enumer.go

// Priority is the priority of a waiting request; lower values are served first.
type Priority int

// Priorities of services.
const (
	Urgent   Priority = iota // the most urgent requests, such as an editor's clearance check or a morning order
	Normal                   // requests that a person may be waiting for
	Deferred                 // filings, reconciliation and other requests that can wait
)

// Holder says which system serves a service. It is not related to the holder of a Lease,
// which is an entry.
type Holder int

// Holders of a service.
const (
	Greengagelane Holder = iota
	OlderSystem          // a system outside greengagelane, which serves the services that have not been taken over from it
)

// Phase is the phase of a VM.
type Phase int

// Phases of a VM.
const (
	Serving     Phase = iota
	Moving            // draining before its move to another pool
	Maintenance       // draining or rebooting as part of a wave
	Failed            // did not come back after a reboot
)

// WaveState is the state of a maintenance wave.
type WaveState int

// States of a wave.
const (
	WaveDeclared WaveState = iota
	WaveRunning
	WavePaused
	WaveHalted // more than MaxFailures VMs failed
	WaveDone
)
