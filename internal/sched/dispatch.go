package sched

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

//go:generate ../../.bin/enumer -type=dispatchState -trimprefix=dispatch -transform=kebab -output=dispatchstate_enumer.go

// dispatchState is how far an order is on its way to its VM.
type dispatchState int32

const (
	dispatchQueued    dispatchState = iota // no attempt to send it has been made
	dispatchAttempted                      // the VM may have received it, and further attempts may follow
	dispatchWithdrawn                      // no attempt was made, and none follows
	dispatchRecalled                       // the VM may have received it, but no further attempt follows
)

// Dispatch decides whether an order that waits between the scheduler and its VM is still sent. Its driver asks before each
// attempt, and the scheduler withdraws an order that no longer holds. It is safe for concurrent use; a nil Dispatch
// belongs to an order that always holds.
type Dispatch struct {
	state atomic.Int32 // a dispatchState
}

// Attempt reports whether the order still holds, and records that an attempt to send it follows.
func (d *Dispatch) Attempt() bool {
	return d == nil || d.state.CompareAndSwap(int32(dispatchQueued), int32(dispatchAttempted)) || d.state.Load() == int32(dispatchAttempted)
}

// withdraw withdraws the order unless an attempt was made, and reports whether it did: the VM then never receives the order.
func (d *Dispatch) withdraw() (unsent bool) {
	return d != nil && d.state.CompareAndSwap(int32(dispatchQueued), int32(dispatchWithdrawn))
}

// recall prevents all further attempts.
func (d *Dispatch) recall() {
	if d != nil && !d.withdraw() {
		d.state.CompareAndSwap(int32(dispatchAttempted), int32(dispatchRecalled))
	}
}

// withdrawStart withdraws the start order of a run. If the VM never receives it, the run has certainly not begun and is
// released, and its task can start elsewhere at once.
func (s *Scheduler) withdrawStart(now time.Time, r *run, why string) (released bool) {
	if !r.startInFlight || !r.startOrder.withdraw() {
		return false
	}
	s.stats.Withdrawn++
	s.log.WithFields(logrus.Fields{"task": r.name, "run": r.number, "vm": r.vm.ID, "waited-ms": now.Sub(r.startedAt).Milliseconds(), "why": why}).Info("start order withdrawn before it was sent")
	s.releaseRun(r, why)
	if r.task.step.Gang {
		s.stopGang(now, r.task.step, r.number)
	}
	return true
}

// stopGang stops the runs of a gang of which a member has not begun: they would wait for it until the gang times out.
func (s *Scheduler) stopGang(now time.Time, st *step, number int64) {
	for _, t := range st.tasks {
		for i := len(t.runs) - 1; i >= 0; i-- {
			if r := t.runs[i]; r.number == number {
				s.stop(now, r, "a member of the gang has not begun")
			}
		}
	}
}

// withdrawStarts withdraws the start orders of a VM's runs.
func (s *Scheduler) withdrawStarts(now time.Time, v *vm, why string) {
	for i := len(v.runList) - 1; i >= 0; i-- {
		if i < len(v.runList) { // a withdrawn member of a gang may have taken others with it
			s.withdrawStart(now, v.runList[i], why)
		}
	}
}

// withdrawHeld withdraws the start orders that wait for VMs that get no new runs any more.
func (s *Scheduler) withdrawHeld(now time.Time) {
	for _, v := range s.vms {
		switch hold := v.hold(now, &s.policy); hold {
		case vmUnlisted, vmDraining, vmCordoned, vmUnanswered, vmSilent, vmQuarantined:
			s.withdrawStarts(now, v, "VM gets no new runs: "+hold.String())
		}
	}
}
