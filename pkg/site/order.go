package site

import (
	"errors"
	"time"
)

// ErrOtherIncarnation is returned if another incarnation of the VM than the addressed
// one answered. All runs of the addressed incarnation have ended.
var ErrOtherIncarnation = errors.New("another incarnation of the VM answered")

//go:generate ../../.bin/enumer -type=Refusal -trimprefix=Refused -transform=kebab -output=refusal_enumer.go

// Refusal is the reason why an order was refused. A refused order has no effect.
type Refusal int

// Reasons given by VMs and by the fleet inventory.
const (
	Accepted       Refusal = iota // not refused
	RefusedFence                  // a higher fencing token has been seen
	RefusedOld                    // a run of the task with the same or a higher number has ended
	RefusedLate                   // the lease has already expired
	RefusedRoom                   // the VM's free resources do not suffice
	RefusedTicket                 // the placement policy's ticket is missing or no longer valid
	RefusedBusy                   // the machine is not up, or is leaving
	RefusedWave                   // the machine is not part of the wave
	RefusedInvalid                // the order is malformed or not possible for its target
)

// Start is an order to a VM to start a run of a task.
type Start struct {
	Task       string
	Run        int64
	Spec       string
	UntilMS    int64  // end of the lease on the VM's clock
	Fence      int64  // fencing token: the epoch of the owner
	Checkpoint string // to resume from; empty to start from the beginning
	Ticket     string // issued by the placement policy; empty if none applies
}

// StatusPoll is a request to a VM that renews the leases of its runs and returns its
// VMStatus.
type StatusPoll struct {
	UntilMS   int64         // new end of the leases on the VM's clock; 0 leaves them unchanged
	Fence     int64         // fencing token: the epoch of the owner
	AckCursor int64         // the VM drops run ends with a Sequence up to this one
	Wait      time.Duration // long poll: the VM may delay the answer for this time until a run ends
}
