package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/internal/blame"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// A suspect is a task under which a VM has crashed and that has not outlived that yet. It is started where a
// crash takes least with it, and the VM gets no runs of other jobs until the suspect is cleared: it is on
// trial. A task under which two VMs have crashed is started on a VM without runs of other jobs.

const (
	vmsPerTrial     = 4                      // VMs of a pool for each one that may be on trial, besides the first
	maxTrial        = time.Second            // a VM gets runs of other jobs after this also if the suspect is not cleared yet
	trialPatience   = 2 * time.Second        // a suspect waits no longer than this for a trial to end
	apartPatience   = 10 * time.Second       // a task under which two VMs have crashed waits no longer than this for a VM of its own
	lastingPatience = time.Second            // a long-running task waits no longer than this for either, unless one of the next two applies
	returnPatience  = 4 * time.Second        // it waits for this long for VMs that were lost to return, which are then empty
	finalPatience   = 30 * time.Second       // it waits for this long for a VM of its own before its last start
	longTrialChance = 0.2                    // chance that a long-running task crashes VMs, from which its trial lasts until it is cleared
	maxLastingTrial = 2 * blame.ForgetAfter  // a VM gets runs of other jobs after this also if a long-running suspect is not cleared yet
	fullPatience    = 10 * time.Second       // a suspect waits no longer than this for its pool to have room
	trialPolls      = 100 * time.Millisecond // between two status polls of a VM on trial
	recentAnswer    = 200 * time.Millisecond // a VM that has answered within this time is not taken for one that has fallen silent
	fullFor         = 200 * time.Millisecond // a pool counts as full for this long after a task found no room
	crashDowntime   = 3 * time.Second        // that a VM is expected to be out of service after a crash
	lastingLoss     = 10.0                   // core-seconds that a crash costs a long-running task for each of its cores
)

// suspected reports whether a task is to be run apart from the tasks of other jobs.
func (t *task) suspected() bool { return t.crashes.Suspect() || t.lastStart() }

// onTrial returns the job on trial on a VM, nil if there is none.
func (v *vm) onTrial(now time.Time) *job {
	for _, r := range v.runList {
		if r.task.suspected() && now.Sub(r.startedAt) < r.task.trialTime() {
			return r.task.job
		}
	}
	return nil
}

// trialTime returns how long a suspect's VM gets no runs of other jobs.
func (t *task) trialTime() time.Duration {
	if t.hasLongTrial() {
		return min(t.crashes.ClearedAfter(), maxLastingTrial)
	}
	return maxTrial
}

// suspectJobs returns the jobs with a suspect.
func (s *Scheduler) suspectJobs() map[*job]bool {
	if len(s.losses.suspects) == 0 {
		return nil
	}
	list := map[*job]bool{}
	for t := range s.losses.suspects {
		list[t.job] = list[t.job] || t.suspected()
	}
	return list
}

// placeSuspect starts a suspect, unless it has to wait.
func (s *Scheduler) placeSuspect(now time.Time, t *task, cands []*candidate) {
	waited := now.Sub(t.suspectSince)
	if s.trialsWouldCrowd(now, t, waited, cands) {
		return
	}
	c := s.bestCandidate(now, t, withoutOthers(t.job, cands))
	if c == nil && t.step.Lasts && waited < s.apartPatience(now, t) {
		s.pool(t.job.Pool).trialsWait = now
		return
	}
	if c == nil && t.lastStart() {
		cands = withoutLastStarts(cands)
	}
	if c == nil && len(t.crashes) > 1 && waited < t.patience(apartPatience) {
		if !s.emptyForTrial(now, t, cands) {
			s.pool(t.job.Pool).trialsWait = now
		}
		return
	}
	if c == nil {
		c = s.leastExposed(now, t, cands)
	}
	if c != nil && s.answers(now, t, c.vm) {
		s.startOn(now, t, c, s.nextRunNumber(t))
		c.trial = t.job
	}
}

// answers reports whether a suspect may be started on a VM. If it is not known whether the VMs that were lost had
// begun its earlier runs, it is started only on a VM that has just answered: so the loss of a VM that had
// fallen silent before the order does not count against it. The VM is polled otherwise.
func (s *Scheduler) answers(now time.Time, t *task, v *vm) bool {
	if !t.crashes.Unconfirmed() || now.Sub(v.heardAt) <= recentAnswer {
		return true
	}
	if now.Sub(v.trialPolledAt) >= trialPolls {
		v.trialPolledAt = now
		s.emit(PollVM{VM: v.ID})
	}
	return false
}

// trialsWouldCrowd reports whether a suspect waits since its pool is full, or since too many VMs are on trial.
func (s *Scheduler) trialsWouldCrowd(now time.Time, t *task, waited time.Duration, cands []*candidate) bool {
	if !t.step.Lasts && waited < fullPatience && now.Sub(s.pool(t.job.Pool).fullAt) < fullFor {
		return true
	}
	trials := 0
	for _, c := range cands {
		if c.trial != nil && c.trial != t.job {
			trials++
		}
	}
	if t.step.Lasts && t.job.onTrial(now) && waited < returnPatience {
		return true // its task tells more about this one than a crash of both
	}
	patience := t.patience(trialPatience)
	if t.lastStart() {
		patience = finalPatience
	}
	return trials > len(cands)/vmsPerTrial && waited < patience
}

// hasLongTrial reports whether a suspect has its VM to itself until it is cleared. Only long-running tasks have
// that: what another crash under them tells is worth the VM.
func (t *task) hasLongTrial() bool {
	return t.step.Lasts && (t.crashes.Chance() >= longTrialChance || t.lastStart())
}

// onTrial reports whether a suspect of a job runs and is not cleared yet.
func (j *job) onTrial(now time.Time) bool {
	for _, o := range j.open {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.suspected() && len(t.runs) > 0 && now.Sub(t.runs[0].startedAt) < t.trialTime() {
					return true
				}
			}
		}
	}
	return false
}

// apartPatience returns how long a long-running suspect waits for a VM without other runs, of which none can be
// emptied.
func (s *Scheduler) apartPatience(now time.Time, t *task) time.Duration {
	switch {
	case t.lastStart():
		return finalPatience
	case t.hasLongTrial() && now.Sub(s.pool(t.job.Pool).lostAt) < returnPatience:
		return returnPatience
	}
	return 0
}

// placeTrials starts the long-running suspects for which there is a VM without other runs, before the tasks of
// other jobs take it.
func (s *Scheduler) placeTrials(now time.Time, list []*job, cands []*candidate) {
	for _, j := range list {
		for _, o := range j.open {
			for _, st := range o.steps {
				if !st.Lasts || st.Gang || st.withoutRun == 0 || !o.stepReady(st) || (j.Advice && !s.hasAdvice(now, st, cands)) {
					continue
				}
				s.placeTrialsOf(now, st, cands)
			}
		}
	}
}

// placeTrialsOf starts the suspects of a long-running step for which there is a VM without other runs.
func (s *Scheduler) placeTrialsOf(now time.Time, st *step, cands []*candidate) {
	for _, t := range st.tasks {
		if !t.suspected() || !s.startable(now, t) || !s.quotaAllows(now, t, 1) || s.trialsWouldCrowd(now, t, 0, cands) {
			continue
		}
		if c := s.bestCandidate(now, t, withoutOthers(t.job, cands)); c != nil && s.answers(now, t, c.vm) {
			s.startOn(now, t, c, s.nextRunNumber(t))
			c.trial = t.job
		}
	}
}

// patience returns how long a suspect waits. A long-running task, which is missed meanwhile, waits a second at
// most.
func (t *task) patience(d time.Duration) time.Duration {
	if t.step.Lasts {
		return min(d, lastingPatience)
	}
	return d
}

// withoutLastStarts returns the candidates that run no task whose starts would end with another crash.
func withoutLastStarts(cands []*candidate) []*candidate {
	var list []*candidate
	for _, c := range cands {
		last := false
		for _, r := range c.vm.runs {
			last = last || r.task.lastStart()
		}
		if !last {
			list = append(list, c)
		}
	}
	return list
}

// withoutOthers returns the candidates that run nothing but tasks of a job.
func withoutOthers(j *job, cands []*candidate) []*candidate {
	var list []*candidate
	for _, c := range cands {
		if c.runsOnly(j) {
			list = append(list, c)
		}
	}
	return list
}

func (c *candidate) runsOnly(j *job) bool {
	if c.trial != nil && c.trial != j {
		return false
	}
	for _, r := range c.vm.runs {
		if r.task.job != j {
			return false
		}
	}
	return true
}

// emptyForTrial keeps other runs off the VM with the least in use, so that it comes free for a suspect. It
// returns false if each VM has long-running tasks.
func (s *Scheduler) emptyForTrial(now time.Time, t *task, cands []*candidate) bool {
	var best *candidate
	for _, c := range cands {
		if c.trial == t.job {
			return true
		}
		if c.trial != nil || c.vm.countLasting() > 0 || c.reserved || !c.vm.holds(t.step.Step) || (t.job.Advice && !s.hasTicket(now, t, c)) {
			continue
		}
		if best == nil || c.usedCPU < best.usedCPU {
			best = c
		}
	}
	if best == nil {
		return false
	}
	best.trial = t.job
	return true
}

// holds reports whether an empty VM has room for a task of a step.
func (v *vm) holds(st *jobs.Step) bool {
	r := resources{cpu: v.CPU, mem: v.MemMB, gpu: v.GPU}
	return r.fits(st) && (st.Label == "" || v.Has(st.Label))
}

func (v *vm) countLasting() int {
	n := 0
	for _, r := range v.runList {
		if r.step().Lasts {
			n++
		}
	}
	return n
}

// leastExposed returns the allowed candidate on which a crash under a task costs least, nil if there is none. A
// crash that leaves a doubt about its cause is followed by another one.
func (s *Scheduler) leastExposed(now time.Time, t *task, cands []*candidate) *candidate {
	var best *candidate
	var least float64
	age := t.crashes.SoonestAge()
	for _, c := range cands {
		if !s.allowed(now, t, c) {
			continue
		}
		loss := c.vm.crashLoss(now)
		if !s.losses.ages.Certain(age, c.vm.agesAt(now.Add(age))) {
			loss += float64(c.vm.CPU) / 1000 * crashDowntime.Seconds()
		}
		if best == nil || loss < least {
			best, least = c, loss
		}
	}
	return best
}

// agesAt returns the ages that the VM's runs will have at a time.
func (v *vm) agesAt(at time.Time) []time.Duration {
	ages := make([]time.Duration, 0, len(v.runs))
	for _, r := range v.runList {
		ages = append(ages, at.Sub(r.startedAt))
	}
	return ages
}

// crashLoss returns the core-seconds that would have to be done again if a VM crashed.
func (v *vm) crashLoss(now time.Time) float64 {
	var sum float64
	for _, r := range v.runList {
		cores := float64(r.step().CPU) / 1000
		if r.step().Lasts {
			sum += cores * lastingLoss
			continue
		}
		sum += cores * now.Sub(r.startedAt).Seconds()
	}
	return sum
}

// pollTrials has VMs polled on which a suspect has reached the age that clears it. The polls under way may
// be answered much later.
func (s *Scheduler) pollTrials(now time.Time) {
	for t := range s.losses.suspects {
		for _, r := range t.runs {
			if r.phase == working && now.Sub(r.startedAt) >= t.crashes.ClearedAfter() && now.Sub(r.vm.trialPolledAt) >= trialPolls && !r.vm.pollFailed {
				r.vm.trialPolledAt = now
				s.emit(PollVM{VM: r.vm.ID})
			}
		}
	}
}

// clearOutlived clears the tasks whose runs a VM lists in the reply to a status poll, if these had outlived
// the age at which VMs crashed under them when the poll was sent. A run is as old as its confirmation: its order may
// have been lost and repeated.
func (s *Scheduler) clearOutlived(v *vm, pollStart time.Time) {
	for _, r := range v.runList {
		t, age := r.task, pollStart.Sub(r.confirmedAt)
		if r.phase != working || r.confirmedAt.IsZero() || r.endUnknown || (len(t.crashes) == 0 && t.cleared == 0) {
			continue
		}
		if n := len(t.crashes); n > 0 && age >= t.crashes.ClearedAfter() {
			s.losses.set(t, nil)
			t.cleared += n
		}
		if len(t.crashes) == 0 && age >= blame.ForgetAfter {
			t.cleared, t.job.dirty = 0, true
		}
	}
}
