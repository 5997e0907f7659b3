package sched

import (
	"math"
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/internal/rtime"
	"github.com/greengagelane/greengagelane/internal/shed"
)

// Limits on copies, see docs/design/speculative-execution.md.
const (
	stragglerQuantile  = 0.9                    // of the run times, above which a run is a straggler
	minPeers           = 2                      // finished tasks of a step from which their median is used
	minFirstChance     = 0.3                    // of a copy to end first
	minPrice           = 0.2                    // of a core-second in an idle pool, relative to a full one
	idleShare          = 0.1                    // of the pool's cores that stay idle for jobs that arrive while the copy runs
	lateWorth          = 0.2                    // of a job that misses its objective, relative to one that meets it
	copyDelay          = 150 * time.Millisecond // until a copy makes progress: the start order and half a round of polls
	copyInterval       = 50 * time.Millisecond  // between two searches for stragglers of a pool; a tenth of a short run
	quietAfterRefusal  = time.Second            // without copies after a job was refused
	minProgressPercent = 5                      // from which a run's time is extrapolated
	losingFactor       = 1.5                    // on the time of a straggler, after which a copy is one for certain
	minComparedPercent = 20                     // of a copy, from which its progress decides whether it loses
)

// copyRun is the decision behind a copy.
type copyRun struct {
	gain     copyGain
	age      time.Duration // of the first run at the start of the copy
	expected float64       // predicted chance to end first, without copyRecord.factor; 0 for a copy of an earlier owner
	won      bool          // it ended as done while the first run was still running
	counted  bool          // it ended as done before any other run
}

// copyTerms are what the decision on a copy depends on, besides the race between the two runs.
type copyTerms struct {
	jobWork    float64 // core-seconds of the job; what is in vain if it is late
	cores      float64 // of the task
	baseS      float64 // time in seconds that the race uses as its unit
	lateWindow float64 // time in units for which a late result is of use
	inUse      float64 // share of the pool's cores in use
	factor     float64 // of copyRecord
}

// copyGain is the expected gain of a copy.
type copyGain struct {
	FirstChance float64 // chance that the copy ends first
	OnTime      float64 // rise in the chance that the job meets its objective
	SavedS      float64 // expected time saved, in seconds
	Value       float64 // in core-seconds of a job that meets its objective
	Price       float64 // in core-seconds of a full pool
}

// weighCopy weighs the expected gain of a copy against its core-seconds.
func weighCopy(r *rtime.Race, t *copyTerms) copyGain {
	g := copyGain{
		FirstChance: t.factor * r.FirstChance,
		OnTime:      t.factor * (r.EitherIn - r.Within),
		SavedS:      t.factor * r.Saved * t.baseS,
	}
	late := 0.0
	if t.lateWindow > 0 {
		late = lateWorth * (1 - r.EitherIn) * min(t.factor*r.Saved/t.lateWindow, 1)
	}
	g.Value = (g.OnTime + late) * t.jobWork
	g.Price = r.SecondTime * t.baseS * t.cores * max(t.inUse, minPrice)
	return g
}

// worthwhile reports whether the copy is started if there is capacity.
func (g *copyGain) worthwhile() bool { return g.FirstChance >= minFirstChance && g.Value > g.Price }

// score orders copies that compete for the share of copies.
func (g *copyGain) score() float64 { return g.Value / math.Max(g.Price, 1e-6) }

// straggler is a run that a copy is worthwhile for.
type straggler struct {
	run  *run
	copy copyRun
}

// placeCopies starts copies of stragglers in a pool after the placement of its waiting tasks. It
// starts none while a task waits or shortly after a job was refused.
func (s *Scheduler) placeCopies(now time.Time, name string, list []*job, cands []*candidate) {
	p := s.pool(name)
	if now.Sub(p.copiesAt) < copyInterval {
		return
	}
	p.copiesAt = now
	u := s.copyUsage(now, name)
	for _, r := range u.copies {
		s.stopLosingCopy(now, r)
	}
	if !u.hasRoom(0, s.policy.CopyShare) || s.tasksWait(now, list) || (!p.refusedAt.IsZero() && now.Sub(p.refusedAt) < quietAfterRefusal) {
		return
	}
	var found []straggler
	for _, j := range list {
		if j.copies {
			found = s.findStragglers(now, j, &u, found)
		}
	}
	if len(found) == 0 {
		return
	}
	sort.SliceStable(found, func(i, k int) bool { return found[i].copy.gain.score() > found[k].copy.gain.score() })
	targets := s.copyTargets(cands)
	for i := range found {
		s.placeCopy(now, &found[i], targets, &u)
	}
}

// tasksWait reports whether a task that is ready has no run. Tasks that wait for the quota of their
// account do not count, since they cannot use the capacity.
func (s *Scheduler) tasksWait(now time.Time, list []*job) bool {
	for _, j := range list {
		for _, o := range j.open {
			for _, st := range o.steps {
				if st.withoutRun > 0 && o.stepReady(st) && s.quotaAllows(now, st.tasks[0], startedTogether(st)) {
					return true
				}
			}
		}
	}
	return false
}

// copyUsage is the use of a pool, in equivalent cores.
type copyUsage struct {
	largest     resources
	total, used float64 // of the VMs that may get runs
	copying     float64 // in copies on any VM
	copies      []*run
}

func (s *Scheduler) copyUsage(now time.Time, pool string) copyUsage {
	u := copyUsage{largest: s.largestVM(pool)}
	for _, v := range s.vms {
		if v.Pool != pool {
			continue
		}
		usable := v.usable(now, &s.policy)
		if usable {
			u.total += float64(v.CPU) / 1000
		}
		for _, r := range v.runList {
			cores := u.largest.equivalentCores(r.step())
			if usable {
				u.used += cores
			}
			if r.usesCopyShare() {
				u.copying += cores
				u.copies = append(u.copies, r)
			}
		}
	}
	return u
}

// hasRoom reports whether a copy of the given size keeps the share of copies and leaves the idle share.
func (u *copyUsage) hasRoom(cores, share float64) bool {
	return u.copying+cores <= share*u.total && u.used+cores <= (1-idleShare)*u.total
}

// findStragglers adds a job's stragglers for which a copy is worthwhile.
func (s *Scheduler) findStragglers(now time.Time, j *job, u *copyUsage, found []straggler) []straggler {
	timing := s.timing(j)
	if u.total <= 0 || j.classAt(now, &timing) == shed.Expired {
		return found
	}
	q := s.queue(j.Queue)
	work := u.largest.equivalentWork(j.Job)
	for _, o := range j.open {
		due := timing.Submitted.Add(timing.Objective)
		if j.Repeat > 0 {
			due = due.Add(time.UnixMilli(j.DueMS(o.number)).Sub(timing.Submitted))
		}
		for _, st := range o.steps {
			if !st.copyable() || st.done+st.withoutRun >= st.Count {
				continue
			}
			base, dist := st.runTimeModel(q)
			limit, samples := dist.Quantile(stragglerQuantile)
			if samples < minSamples {
				continue
			}
			after := time.Duration(q.chainRatio() * float64(o.chainAfter(st)))
			for _, t := range st.tasks {
				r := s.copyableRun(now, t)
				if r == nil || now.Sub(r.startedAt).Seconds() < limit*base.Seconds() {
					continue
				}
				unit := base.Seconds()
				race := r.race(now, dist, unit, due.Sub(now)-after)
				g := weighCopy(&race, &copyTerms{
					jobWork: work, cores: u.largest.equivalentCores(st.Step), baseS: unit,
					lateWindow: 2 * timing.Objective.Seconds() / unit, inUse: u.used / u.total, factor: q.factor(),
				})
				if g.worthwhile() {
					found = append(found, straggler{run: r, copy: copyRun{gain: g, age: now.Sub(r.startedAt), expected: race.FirstChance}})
				}
			}
		}
	}
	return found
}

// runTimeModel returns what a fresh run of the step's tasks is expected to take: a distribution and the
// time of ratio 1. Once half of the tasks are done, their median tells more than the declared time.
func (st *step) runTimeModel(q *queueStats) (time.Duration, *rtime.Dist) {
	if n := len(st.runTimes); n >= minPeers && 2*n >= st.Count && q.peers.Samples() >= minSamples {
		return st.medianRunTime(), &q.peers
	}
	return st.declared(), &q.tasks
}

// chainAfter returns the declared run time of the longest chain of steps that follow a step.
func (o *occurrence) chainAfter(st *step) time.Duration {
	finish := make([]int64, len(o.steps)) // of steps that depend on st, in ms from its end
	var longest int64
	for i := st.number + 1; i < len(o.steps); i++ {
		for _, a := range o.steps[i].After {
			if a == st.number || finish[a] > 0 {
				finish[i] = max(finish[i], finish[a]+max(o.steps[i].EstimateMS, 1))
			}
		}
		longest = max(longest, finish[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// copyableRun returns the only run of a task that may get a copy, else nil. Both runs may fail, so the
// task needs as many attempts left, and if VMs crash under it, a copy would crash another. An unverified VM may hold another run of the task.
func (s *Scheduler) copyableRun(now time.Time, t *task) *run {
	if t.done || len(t.runs) != 1 || len(t.crashes) > 0 || len(t.failedRuns)+2 > t.job.MaxAttempts || (t.unverified && s.mayBeRunning(t)) {
		return nil
	}
	if r := t.runs[0]; r.phase == working && !r.endUnknown && now.Sub(r.vm.lastAnswer) < s.policy.SilentAfter {
		return r
	}
	return nil
}

// stopLosingCopy stops a copy that turns out to be no faster than the first run: it is a straggler
// itself, or will end later by the progress of both. The cause is then the task, or the VM that was
// chosen.
func (s *Scheduler) stopLosingCopy(now time.Time, r *run) {
	if r.phase != working || len(r.task.runs) != 2 {
		return
	}
	first, _ := r.task.bothRuns()
	if first.phase != working {
		return
	}
	q := s.queue(r.task.job.Queue)
	base, dist := r.task.step.runTimeModel(q)
	limit, _ := dist.Quantile(stragglerQuantile)
	losing := now.Sub(r.startedAt).Seconds() > losingFactor*limit*base.Seconds()
	left, known := r.remaining(now)
	firstLeft, firstKnown := first.remaining(now)
	if known && firstKnown && r.percent >= minComparedPercent {
		losing = left >= firstLeft
	}
	if !losing {
		return
	}
	q.Predicted += r.copy.expected
	r.copy.expected = 0
	s.stop(now, r, "no faster than the first run")
}

// remaining returns the rest of a run by its reported progress. known is false if there is none, or if
// the run is past the end that followed from it.
func (r *run) remaining(now time.Time) (left time.Duration, known bool) {
	if r.percent < minProgressPercent || r.percent >= 100 || r.adopted {
		return 0, false
	}
	total := r.progressAt.Sub(r.startedAt) * 100 / time.Duration(r.percent)
	left = r.startedAt.Add(total).Sub(now)
	return left, left > 0
}

// race returns the outlook of a run and a copy of it, in multiples of unit seconds, where left is the
// time within which the task should end. It trusts the run's progress as long as the run is not past
// the end that follows from it.
func (r *run) race(now time.Time, d *rtime.Dist, unit float64, left time.Duration) rtime.Race {
	delay, within := copyDelay.Seconds()/unit, left.Seconds()/unit
	if rest, known := r.remaining(now); known {
		race, _ := d.OutlookAt(rest.Seconds()/unit, delay, within)
		return race
	}
	race, _ := d.Outlook(now.Sub(r.startedAt).Seconds()/unit, delay, within)
	return race
}

// copyTargets returns the candidates for copies. A copy on a VM that fails or is slow would be another
// straggler.
func (s *Scheduler) copyTargets(cands []*candidate) []*candidate {
	var list []*candidate
	for _, c := range cands {
		if !c.vm.probation && !c.reserved && c.vm.ColdMS == 0 && !s.isSlow(c.vm) {
			list = append(list, c)
		}
	}
	return list
}

// placeCopy starts a copy if it keeps the limits and a VM has room for it, preferably in another rack
// than that of the first run, unless the step's tasks belong together.
func (s *Scheduler) placeCopy(now time.Time, x *straggler, targets []*candidate, u *copyUsage) {
	t := x.run.task
	cores := u.largest.equivalentCores(t.step.Step)
	if !u.hasRoom(cores, s.policy.CopyShare) || !s.quotaAllows(now, t, 1) {
		return
	}
	var otherVMs, otherRacks []*candidate
	for _, c := range targets {
		if c.vm == x.run.vm {
			continue
		}
		otherVMs = append(otherVMs, c)
		if c.vm.rack() != x.run.vm.rack() {
			otherRacks = append(otherRacks, c)
		}
	}
	var c *candidate
	if !t.step.OneRack {
		c = s.bestCandidate(now, t, otherRacks)
	}
	if c == nil {
		c = s.bestCandidate(now, t, otherVMs)
	}
	if c == nil {
		return
	}
	s.startOn(now, t, c, s.nextRunNumber(t))
	t.runs[len(t.runs)-1].copy = &x.copy
	u.used += cores
	u.copying += cores
	s.stats.Copies++
}
