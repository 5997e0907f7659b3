package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// EndVM handles the end of a VM's incarnation that the inventory shows. It releases its runs long before their
// leases expire. A later incarnation is taken not to have answered a start within the time of the mover's call.
func (s *Scheduler) EndVM(now time.Time, e site.Incarnation) {
	v := s.vms[e.VM]
	if v == nil || v.Born != e.Born || v.ended {
		return
	}
	s.loseVM(now, v, true, "its machine is down")
	s.releaseFormer(v, "machine is down", now.Add(-time.Duration(e.AgeMS)*time.Millisecond))
	v.ended, v.endedAt, v.polled = true, now, false
	s.endWait(now, v.ID, waitDown)
	if len(v.runs) == 0 { // those that are left may be on a later incarnation
		s.unrecordVM(v)
	}
}

// maxAwaited is the largest number of VMs in Report.Awaited.
const maxAwaited = 64

// awaitedVMs returns the VMs of Report.Awaited.
func (s *Scheduler) awaitedVMs(pool string) []string {
	var list []string
	for id := range s.unverified {
		if v := s.vms[id]; v != nil && v.Pool == pool && s.awaitsUnlisted(v) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), maxAwaited)]
}

func (s *Scheduler) awaitsUnlisted(v *vm) bool {
	return !v.listed && !s.listReceivedAt.IsZero() && v.lastAnswer.IsZero() && !v.ended
}

// EndAwaited handles the end of VMs of Report.Awaited that no machine has any more.
func (s *Scheduler) EndAwaited(now time.Time, vms []string) {
	for _, id := range vms {
		if _, awaited := s.unverified[id]; awaited && s.vms[id] != nil && s.awaitsUnlisted(s.vms[id]) {
			s.EndVM(now, site.Incarnation{VM: id, Born: s.vms[id].Born})
		}
	}
}

// RemoveVM drops a VM whose incarnation has certainly ended, and releases its runs.
func (s *Scheduler) RemoveVM(now time.Time, id string) {
	v := s.vms[id]
	if v == nil {
		return
	}
	s.loseVM(now, v, true, "another incarnation answers at its address")
	s.releaseRuns(v, "VM incarnation ended")
	s.forgetVM(now, v)
}

func (s *Scheduler) forgetVM(now time.Time, v *vm) {
	maps.DeleteFunc(s.forgotten, func(_ string, p vmPolls) bool { return now.Sub(p.lastInDoubt()) > s.policy.LateCall })
	if now.Sub(v.polls.lastInDoubt()) <= s.policy.LateCall {
		s.forgotten[v.ID] = v.polls
	}
	delete(s.vms, v.ID)
	s.forgetLongLease(v.ID)
	s.endWait(now, v.ID, waitGone)
	s.unrecordVM(v)
}

// unrecordVM removes a VM from the record of VMs that may hold runs.
func (s *Scheduler) unrecordVM(v *vm) {
	if s.recordedVMs[v.ID] {
		delete(s.recordedVMs, v.ID)
		v.recorded, s.recordedVMsDirty = false, true
	}
}

// releaseRuns releases all runs of a VM.
func (s *Scheduler) releaseRuns(v *vm, why string) {
	for _, r := range slices.Backward(v.runList) {
		s.stats.Lost++
		s.releaseRun(r, why)
	}
	v.orphans = map[string]int64{}
}
