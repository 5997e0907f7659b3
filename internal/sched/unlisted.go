package sched

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// setEndsCut records whether the last reply to a status poll listed all run ends of a VM.
func (s *Scheduler) setEndsCut(v *vm, cut bool) {
	if v.endsCut != cut {
		s.log.WithFields(logrus.Fields{"vm": v.ID, "pool": v.Pool, "all-listed": !cut, "stored": v.storedSeq, "seen": v.seenSeq, "runs": len(v.runs)}).Info("list of run ends changed between complete and cut off")
	}
	v.endsCut = cut
}

// handleUnlistedRuns handles the runs that a VM lists neither as running nor as ended. If its list of ends is
// cut off, the end may be among those left out: such a run has ended, but nobody knows how. If the list is complete,
// the VM may be about to go down: a run that it has confirmed is released only if it is missing once more, so that
// the loss of the VM counts against its task.
func (s *Scheduler) handleUnlistedRuns(now time.Time, v *vm, pollStart time.Time, running map[string]bool) {
	for _, r := range slices.Backward(v.runList) {
		if running[r.name] {
			r.endUnknown, r.missedAt = false, time.Time{}
			continue
		}
		if r.awaitsPoll && r.answeredAt.Before(pollStart) {
			r.awaitsPoll, r.nextStopAt = false, now
		}
		if !r.endsWhenUnlisted() || !r.answeredAt.Before(pollStart) {
			continue
		}
		r.endUnknown, r.availableSince = true, time.Time{}
		switch {
		case v.endsCut:
		case r.phase == working && r.missedAt.IsZero() && !r.confirmedAt.IsZero():
			r.missedAt = now
			s.emit(PollVM{VM: v.ID})
		case r.phase != working || pollStart.After(r.missedAt):
			s.stats.Lost++
			s.releaseRun(r, "not on the VM")
		}
	}
	if v.endsCut {
		return
	}
	for name := range v.orphans {
		if !running[name] {
			delete(v.orphans, name)
		}
	}
}

// verifyVM marks a VM as verified once it has listed all that runs of earlier owners may have left there. As
// long as its list of run ends is cut off, any task of an earlier owner may have ended there.
func (s *Scheduler) verifyVM(now time.Time, v *vm) {
	if _, unverified := s.unverified[v.ID]; !unverified {
		return
	}
	until := s.afterLongLease(v.ID, now.Add(s.policy.localDuration(s.policy.Lease)+leaseMargin))
	if v.leasesEnd.After(until) { // earlier owners have renewed none since the answer
		v.leasesEnd = until
	}
	if v.endsCut {
		s.unverified[v.ID] = until
		return
	}
	s.endWait(now, v.ID, waitAnswered)
}

// endsWhenUnlisted reports whether a run has ended if a later status poll does not list it.
func (r *run) endsWhenUnlisted() bool {
	switch r.phase {
	case working:
		return true
	case startUnverified, stopping:
		return r.stopConfirmed
	}
	return false
}
