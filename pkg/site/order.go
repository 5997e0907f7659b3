package site

import (
	"errors"
	"time"
)

// ErrOtherIncarnation is the answer of a VM that is another life than the one meant: what
// ran in the meant one has ended.
var ErrOtherIncarnation = errors.New("another life of the VM answered")

//go:generate ../../.bin/enumer -type=Refusal -trimprefix=Refused -transform=kebab -output=refusal_enumer.go

// Refusal says why an order was refused. Nothing was done.
type Refusal int

// Reasons of VMs and of the fleet's inventory.
const (
	Accepted       Refusal = iota // not refused
	RefusedFence                  // a higher fencing token has been seen
	RefusedOld                    // the run is not higher than one that ended
	RefusedLate                   // the lease has already run out
	RefusedRoom                   // it does not fit
	RefusedTicket                 // the placement policy's ticket is missing or no longer valid
	RefusedBusy                   // the machine is not up, or is leaving
	RefusedWave                   // the machine is not of that wave
	RefusedInvalid                // the order makes no sense there
)

// Start orders a run of a task.
type Start struct {
	Task       string
	Run        int64
	Spec       string
	UntilMS    int64 // end of the lease on the VM's clock
	Fence      int64
	Checkpoint string // to resume from; empty to begin
	Ticket     string // of the placement policy; empty without one
}

// StatusPoll renews leases and asks for a look.
type StatusPoll struct {
	UntilMS   int64 // end of the leases on the VM's clock; 0 leaves them
	Fence     int64
	AckCursor int64         // ends up to this number are forgotten
	Wait      time.Duration // for an end, before the answer
}
