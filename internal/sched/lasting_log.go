package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	lastingCheckInterval = 500 * time.Millisecond // between two searches for long-running tasks that are not at work
	lastingWaitLogged    = 2 * time.Second        // for which a long-running task is not at work before the log says so
	lastingLogInterval   = 2 * time.Second        // between the log lines of such tasks, one for each reason
	maxLoggedTasks       = 8                      // tasks that such a line names
)

// lastingLog keeps when long-running tasks that are not at work were last searched and logged.
type lastingLog struct{ checkedAt, loggedAt time.Time }

// LogLastingWaits logs which long-running tasks have not been at work for a while, and why. decides is false if the
// driver makes no decisions, since the ownership is not confirmed.
func (s *Scheduler) LogLastingWaits(now time.Time, decides bool) {
	if now.Sub(s.lastingLog.checkedAt) < lastingCheckInterval {
		return
	}
	s.lastingLog.checkedAt = now
	due := now.Sub(s.lastingLog.loggedAt) >= lastingLogInterval
	byReason, cands := map[holdReason][]*task{}, map[string][]*candidate{}
	for _, t := range s.absentLasting(now) {
		if due && now.Sub(t.absentSince) >= lastingWaitLogged {
			reason := s.lastingHold(now, t, decides, cands)
			byReason[reason] = append(byReason[reason], t)
		}
	}
	for reason, list := range byReason {
		s.lastingLog.loggedAt = now
		s.logLastingWait(now, reason, list, cands[list[0].job.Pool])
	}
}

// absentLasting returns the long-running tasks that are to run and are not at work, those first that have been missing
// for longest.
func (s *Scheduler) absentLasting(now time.Time) []*task {
	var list []*task
	for _, j := range s.live {
		if !j.LongRunning() || j.state.Final() || !j.stored {
			continue
		}
		for _, o := range j.open {
			for _, st := range o.steps {
				if !st.Lasts || !o.stepReady(st) {
					continue
				}
				for _, t := range st.tasks {
					switch {
					case t.available(now, &s.policy):
						t.absentSince = time.Time{}
						continue
					case t.absentSince.IsZero():
						t.absentSince = now
					}
					list = append(list, t)
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		if order := a.absentSince.Compare(b.absentSince); order != 0 {
			return order
		}
		return a.id.Compare(b.id)
	})
	return list
}

// lastingHold says why a long-running task is not at work. It adds the candidates of its pool to cands.
func (s *Scheduler) lastingHold(now time.Time, t *task, decides bool, cands map[string][]*candidate) holdReason {
	if len(t.runs) > 0 {
		return t.runs[0].holdReason(now, &s.policy)
	}
	pool := t.job.Pool
	if _, known := cands[pool]; !known {
		cands[pool] = s.candidates(now, pool)
	}
	if !decides {
		return heldOwnership
	}
	return s.holdReason(now, t.job.occurrences[t.id.Occurrence], t, cands[pool])
}

// holdCounts counts the VMs of a task's pool by why they get no run of it.
func (s *Scheduler) holdCounts(now time.Time, t *task, cands []*candidate) []string {
	var counts [vmReserved + 1]int
	for _, v := range s.sortedVMs(t.job.Pool) {
		if hold := s.vmHold(now, v); hold != vmOpen {
			counts[hold]++
		}
	}
	for _, c := range cands {
		counts[s.candidateHold(now, t, c)]++
	}
	var list []string
	for hold, n := range counts {
		if n > 0 {
			list = append(list, fmt.Sprintf("%s/%d", vmHold(hold), n))
		}
	}
	return list
}

// logLastingWait logs the tasks that wait for one reason, and what is known of the one that has waited for longest.
func (s *Scheduler) logLastingWait(now time.Time, reason holdReason, list []*task, cands []*candidate) {
	first := list[0]
	var names []string
	for _, t := range list[:min(len(list), maxLoggedTasks)] {
		names = append(names, fmt.Sprintf("%s/%d", t.id, now.Sub(t.absentSince).Milliseconds()))
	}
	fields := logrus.Fields{
		"reason": reason.String(), "count": len(list), "tasks": names, "epoch": s.Epoch, "pool": first.job.Pool,
		"last-run": first.lastRun, "crashes": len(first.crashes), "suspect": first.suspected(), "unverified": first.unverified,
	}
	if len(first.runs) > 0 {
		r := first.runs[0]
		fields["vm"], fields["run"], fields["ends-cut"], fields["answered-ms"] = r.vm.ID, r.number, r.vm.endsCut, now.Sub(r.vm.lastAnswer).Milliseconds()
	} else {
		fields["vms"], fields["waits-for"] = s.holdCounts(now, first, cands), len(s.unverified)
	}
	s.log.WithFields(fields).Warn("long-running tasks are not at work")
}
