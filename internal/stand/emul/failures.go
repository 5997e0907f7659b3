package emul

import (
	"fmt"
	"time"
)

const (
	crashDelay = 10 * time.Millisecond // from the start of a run that crashes its VM to the crash
	// shrinkNotice is the time after which a smaller capacity counts for owners: the platform allows 3 s to
	// learn of it, and VMs report every 500 ms.
	shrinkNotice = 3500 * time.Millisecond
)

// capacityChange is a VM's CPU capacity from a time on, in thousandths of a core.
type capacityChange struct {
	from time.Time
	cpu  int
}

// SetCPU changes the VM's capacity, in thousandths of a core. Runs continue, also if they exceed it. The
// caller holds the lock, as in SetFaults.
func (w *Worker) SetCPU(cpu int) {
	w.capacity = append(w.capacity, capacityChange{from: time.Now(), cpu: cpu})
}

// cpu returns the VM's present capacity; w.mu is held.
func (w *Worker) cpu() int { return w.capacity[len(w.capacity)-1].cpu }

// knownCPU returns the largest capacity that an owner may still assume; w.mu is held.
func (w *Worker) knownCPU(now time.Time) int {
	largest := w.cpu()
	for i, c := range w.capacity[:len(w.capacity)-1] {
		if now.Sub(w.capacity[i+1].from) <= shrinkNotice {
			largest = max(largest, c.cpu)
		}
	}
	return largest
}

// checkRoom records a start that brings a VM that does not guard its capacity over it; w.mu is held.
func (w *Worker) checkRoom(b *workerRequest, task Task) {
	if w.usedMemMB+task.MemMB > vmMemMB {
		w.ledger.addViolation(fmt.Sprintf("LIMIT %s run %d brings VM %s to %d MB, its capacity is %d", b.Task, b.Run, w.ID, w.usedMemMB+task.MemMB, vmMemMB))
	}
	if known := w.knownCPU(time.Now()); w.usedCPU+task.CPU > known {
		w.ledger.addViolation(fmt.Sprintf("LIMIT %s run %d brings VM %s to %d thousandths of a core, its capacity is %d", b.Task, b.Run, w.ID, w.usedCPU+task.CPU, known))
	}
}

// crashByTask crashes the VM, which comes back after Options.RepairTime.
func (p *Platform) crashByTask(vm *Worker) {
	p.Crash(vm)
	time.AfterFunc(p.opts.RepairTime, func() {
		select {
		case <-p.closed:
		default:
			_ = p.Repair() // if no port is free, the machine stays down and the test fails on it
		}
	})
}
