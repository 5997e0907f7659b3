package sched

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// Decide runs one scheduling round and returns the actions to carry out.
func (s *Scheduler) Decide(now time.Time) []Action {
	if s.retired {
		return nil
	}
	s.awaitsTenure = false
	s.withdrawHeld(now)
	s.expireLeases(now)
	s.unrecordDrainedVMs()
	s.judge(now)
	if !s.expired(now) {
		s.evacuate(now)
	}
	for _, v := range s.vms {
		for _, r := range v.runList {
			s.watchRun(now, r)
		}
	}
	s.stopLateStarts(now)
	s.throttle(now)
	s.pollTrials(now)
	for _, j := range s.live {
		if !j.state.Final() && j.stored {
			j.createDueOccurrences(now, s.maxOpen(j))
		}
	}
	if !s.expired(now) {
		s.place(now)
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// expireLeases releases the runs of silent VMs whose leases have certainly expired, and
// drops such VMs if the platform no longer lists them. It also removes VMs from s.unverified
// once the leases of an earlier owner's runs have expired.
func (s *Scheduler) expireLeases(now time.Time) {
	for id, until := range s.unverified {
		if v := s.vms[id]; s.confirmedAfter(now, until) && (v == nil || s.confirmedAfter(now, v.leasesEnd)) {
			s.log.WithField("vm", id).Info("VM that may hold runs of an earlier owner did not answer; its leases have expired")
			s.endWait(now, id, waitExpired)
			if v != nil {
				s.loseVM(now, v, false, "does not answer and its leases have expired")
				v.lapsed = true
			}
		}
	}
	s.logWaitEnds(now)
	for _, v := range s.vms {
		silent := now.Sub(v.lastAnswer) > s.policy.Lease
		if silent && len(v.runs) > 0 && s.confirmedAfter(now, v.leasesEnd) {
			s.loseVM(now, v, false, "does not answer and its leases have expired")
			s.releaseRuns(v, "lease expired")
			v.polled, v.lapsed = false, true
		}
		if !v.listed && len(v.runs) == 0 && silent && now.After(v.leasesEnd) && !s.listReceivedAt.IsZero() {
			s.forgetVM(now, v)
		}
	}
}

// watchRun sends stop orders that are due, and stops stalled runs, which are then restarted.
// A long-running run at 100 percent is available and makes no further progress, so it does
// not stall. Such a run ends its VM's probation once it has been available for long enough.
func (s *Scheduler) watchRun(now time.Time, r *run) {
	switch r.phase {
	case startUnverified, stopping:
		s.sendStop(now, r)
	case working:
		if stalledFor := now.Sub(r.progressAt); stalledFor > s.policy.StallAfter && !r.endUnknown && stalledFor > s.stallLimit(r) && now.Sub(r.vm.lastAnswer) < s.policy.SilentAfter && (r.percent < 100 || !r.step().Lasts) {
			s.stats.Stalled++
			r.task.avoidVM = r.vm.ID
			s.recordStall(now, r.vm)
			s.stop(now, r, "no progress")
		}
		if r.vm.probation && !r.availableSince.IsZero() && now.Sub(r.availableSince) >= s.policy.Quarantine {
			r.vm.endProbation() // a long-running task never ends as done, so its availability counts instead
		}
	}
}

// stallLimit returns the time without progress after which a run is restarted. It is the
// larger of StallAfter and the time for one percent of the work at maxSlowdown times the
// estimate. A long task may report its progress in steps of two percent of its run time; the
// limit then allows for a slowdown of only half of maxSlowdown. Throttled runs get a longer
// limit.
func (s *Scheduler) stallLimit(r *run) time.Duration {
	const maxSlowdown = 10 // factor by which a slow VM may exceed the estimate
	estimate := time.Duration(r.step().EstimateMS) * time.Millisecond
	limit := max(s.policy.StallAfter, maxSlowdown*estimate/100)
	if r.speedPercent < 100 {
		limit = limit * 100 / time.Duration(max(r.speedPercent, 5)) // a minimum of 5 percent keeps the limit finite if the speed is near 0 or unknown (-1)
	}
	return limit
}

// sendStop emits the stop order for a run, unless one is in flight or confirmed, or a
// backoff after a failed one has not ended.
func (s *Scheduler) sendStop(now time.Time, r *run) {
	if r.stopConfirmed && now.Sub(r.answeredAt) > s.policy.StopGrace+2*time.Second {
		r.stopConfirmed = false // 2 s after the grace period, no poll has reported its end: repeat the order
	}
	if r.stopConfirmed || r.stopInFlight || now.Before(r.nextStopAt) {
		return
	}
	r.stopInFlight = true
	s.emit(StopRun{VM: r.vm.ID, Born: r.vm.Born, Task: r.name, Run: r.number, Why: r.stopReason})
}

// stop marks a run to be stopped; sendStop sends the order. A run whose start order has not been sent yet is released instead.
func (s *Scheduler) stop(now time.Time, r *run, why string) {
	if r.phase == stopping || s.withdrawStart(now, r, why) {
		return
	}
	r.startOrder.recall()
	s.stats.Stopped++
	r.phase, r.stopConfirmed, r.nextStopAt, r.stopReason = stopping, false, now, why
}

// evacuate stops runs on VMs that are draining or cordoned, so that they restart elsewhere.
func (s *Scheduler) evacuate(now time.Time) {
	if now.Before(s.evacuateFrom) {
		return
	}
	for _, v := range s.vms {
		if !v.Draining && !v.cordoned {
			continue
		}
		for _, r := range v.runList {
			if r.phase == working && s.mayEvacuate(now, r) {
				s.log.WithFields(logrus.Fields{
					"task": r.task.id.String(), "run": r.number, "vm": v.ID, "draining": v.Draining, "unavailable": s.countUnavailableOthers(now, r), "may-miss": r.step().MayMiss,
				}).Info("run evacuated")
				s.stop(now, r, "VM is draining or cordoned")
			}
		}
	}
}

// mayEvacuate reports whether a run may be stopped to empty its VM. A run that is not
// long-running is stopped only on a cordoned VM and only if its task can resume from a
// checkpoint; a VM that is draining without being cordoned waits for its end. A long-running
// run is stopped only if no more tasks of its step than MayMiss are then unavailable (one if
// MayMiss is 0, since its VM could not be emptied otherwise), and on a draining VM only if
// another VM has room for it.
func (s *Scheduler) mayEvacuate(now time.Time, r *run) bool {
	st := r.task.step
	if !st.Lasts {
		return st.Saves && r.task.checkpoint != "" && r.vm.cordoned
	}
	if r.vm.Draining && !s.canPlaceElsewhere(now, r) {
		return false
	}
	return !s.isKept(now, r)
}

// isKept reports whether a long-running run may not be stopped, since too many other tasks of its step are unavailable.
func (s *Scheduler) isKept(now time.Time, r *run) bool {
	return s.countUnavailableOthers(now, r) >= max(r.task.step.MayMiss, 1)
}

// countUnavailableOthers counts the other tasks of a run's step that are not available.
func (s *Scheduler) countUnavailableOthers(now time.Time, r *run) int {
	n := 0
	for _, t := range r.task.step.tasks {
		if t != r.task && !t.available(now, &s.policy) {
			n++
		}
	}
	return n
}

// available reports whether a long-running task is available according to a VM that has
// answered recently.
func (t *task) available(now time.Time, p *Policy) bool {
	for _, r := range t.runs {
		if r.phase == working && !r.availableSince.IsZero() && now.Sub(r.vm.lastAnswer) < p.SilentAfter {
			return true
		}
	}
	return false
}

func (s *Scheduler) canPlaceElsewhere(now time.Time, r *run) bool {
	return s.bestCandidate(now, r.task, s.candidates(now, r.vm.Pool)) != nil
}

// throttle slows best-effort runs down on VMs where the tail latency of a serving run (a run
// of a step with TailMS) is near TailMS, and speeds them up again once it is well below.
func (s *Scheduler) throttle(now time.Time) {
	const interval = 500 * time.Millisecond // the tail latency that VMs report covers the last half second
	for _, v := range s.vms {
		worst := 0.0
		for _, r := range v.runList {
			if tail := r.step().TailMS; tail > 0 && r.phase == working {
				worst = max(worst, float64(r.reportedTailMS)/float64(tail))
			}
		}
		for _, r := range v.runList {
			if !r.step().Fills || r.phase != working || now.Sub(r.throttledAt) < interval {
				continue
			}
			if speed := nextSpeed(r.speedPercent, worst, &s.policy); speed != r.speedPercent {
				r.speedPercent, r.throttledAt = speed, now
				s.emit(ThrottleRun{VM: v.ID, Task: r.name, Run: r.number, Percent: speed})
			}
		}
	}
}

// nextSpeed returns the speed of a best-effort run, in percent; worst is the
// highest ratio of tail latency to TailMS of the serving runs on its VM. The speed drops fast
// and recovers slowly, since a tail latency over TailMS hurts callers and a slow best-effort
// run does not.
func nextSpeed(speed int, worst float64, p *Policy) int {
	const increase = 10 // percent of full speed
	switch {
	case worst > 1:
		return speed / 4
	case worst > p.TailHigh:
		return speed / 2
	case worst < p.TailLow && speed < 100:
		return min(speed+increase, 100)
	}
	return speed
}

// HandleThrottle handles the reply to a throttle order.
func (s *Scheduler) HandleThrottle(a *ThrottleRun, refusal site.Refusal, err error) {
	if err == nil && refusal == site.Accepted {
		return
	}
	if v := s.vms[a.VM]; v != nil {
		if r := v.runs[a.Task]; r != nil && r.number == a.Run {
			r.speedPercent = -1 // unknown, so that a later round orders a speed again
		}
	}
}

// nextRunNumber returns a run number above all earlier ones of the task under any owner.
func (s *Scheduler) nextRunNumber(t *task) int64 {
	return max(t.lastRun+1, s.firstRunNumber())
}

// firstRunNumber returns the lowest number of this owner's runs; those of earlier owners are lower.
func (s *Scheduler) firstRunNumber() int64 {
	const runsPerEpoch = 1 << 12 // assumed to exceed the starts of one task under one owner
	return (s.Epoch-1)*runsPerEpoch + 1
}

// start adds a run of a task on a VM and emits its start order. Its callers check that the
// VM has enough free resources and deduct them from the candidate.
func (s *Scheduler) start(now time.Time, t *task, v *vm, number int64) {
	name := t.id.String()
	r := &run{task: t, name: name, spec: t.step.Step, vm: v, number: number, phase: starting, startInFlight: true, startOrder: &Dispatch{}, answeredAt: now, startedAt: now, progressAt: now, speedPercent: 100, startedFrom: t.nextCheckpoint(), heardAt: v.heardAt}
	s.logStart(now, t, number, v)
	t.lastRun = number
	t.unverified = false
	t.addRun(r)
	v.addRun(r)
	s.quotas.countRuns(t, 1)
	s.markBegan(now, t.job)
	t.job.dirty = t.job.dirty || t.recordsPlace()
	s.stats.Started++
	s.emit(StartRun{VM: v.ID, Born: v.Born, Task: t.id, Dispatch: r.startOrder, Order: site.Start{
		Task: name, Run: number, Spec: t.job.Spec, UntilMS: v.grantLease(now, &s.policy), Fence: s.Epoch,
		Checkpoint: r.startedFrom, Ticket: t.step.tickets[v.ID],
	}})
}
