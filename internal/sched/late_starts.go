package sched

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// lateStart is a start order of which an attempt was not answered, so that a VM may still carry it out. An incarnation of the
// VM refuses it once it has stopped or ended the run, but the next one knows nothing of that.
type lateStart struct {
	task         string
	run          int64
	until        time.Time // from when on it is not carried out any more
	settledIn    int64     // start of the incarnation that refuses it, or in which its run is or was tracked
	stopInFlight bool      // a stop order that settles it is under way
	nextStopAt   time.Time // no stop order is sent before this time
}

// recordLateStart records a start order of which an attempt was not answered. The incarnation that it was meant for needs no
// further order: its run is tracked there until it has ended, or until the order is too late.
func (s *Scheduler) recordLateStart(now time.Time, a *StartRun) {
	s.lateStarts[a.VM] = append(s.lateStarts[a.VM], &lateStart{task: a.Order.Task, run: a.Order.Run, until: now.Add(s.policy.LateCall), settledIn: a.Born})
}

// tracks reports whether the run of a late start is one of the VM's.
func (v *vm) tracks(x *lateStart) bool {
	r := v.runs[x.task]
	return r != nil && r.number == x.run
}

// lateStart returns the record of a start order that a VM may still carry out, nil if there is none.
func (s *Scheduler) lateStart(vm, task string, run int64) *lateStart {
	for _, x := range s.lateStarts[vm] {
		if x.task == task && x.run == run {
			return x
		}
	}
	return nil
}

// stopLateStarts orders the present incarnations of VMs to stop the runs of late starts that they may still carry out, and
// that are not tracked: a VM refuses to start a run that it was told to stop.
func (s *Scheduler) stopLateStarts(now time.Time) {
	if s.expired(now) {
		return
	}
	for id, list := range s.lateStarts {
		list = slices.DeleteFunc(list, func(x *lateStart) bool { return !now.Before(x.until) })
		if s.lateStarts[id] = list; len(list) == 0 {
			delete(s.lateStarts, id)
			continue
		}
		v := s.vms[id]
		if v == nil || v.ended {
			continue
		}
		ordered := 0
		for _, x := range list {
			if v.tracks(x) {
				x.settledIn = v.Born
			}
			if x.settledIn == v.Born || x.stopInFlight || now.Before(x.nextStopAt) {
				continue
			}
			x.stopInFlight = true
			ordered++
			s.emit(StopRun{VM: id, Born: v.Born, Task: x.task, Run: x.run, Why: "its start order may arrive late"})
		}
		if ordered > 0 {
			s.log.WithFields(logrus.Fields{"vm": id, "born": v.Born, "count": ordered}).Info("start orders for an earlier incarnation of the VM may still arrive; their runs are stopped")
		}
	}
}

// settleLateStart handles the reply to a stop order, which may be one of stopLateStarts.
func (s *Scheduler) settleLateStart(now time.Time, a *StopRun, refusal site.Refusal, err error) {
	x := s.lateStart(a.VM, a.Task, a.Run)
	if x == nil {
		return
	}
	x.stopInFlight = false
	if err != nil || refusal != site.Accepted {
		x.nextStopAt = now.Add(s.policy.Backoff)
		return
	}
	x.settledIn = a.Born // a later incarnation, if there is one by now, gets an order of its own
}
