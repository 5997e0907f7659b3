package sched

import (
	"time"

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
	lastingPatience = time.Second            // a long-running task waits no longer than this for either
	fullPatience    = 10 * time.Second       // a suspect waits no longer than this for its pool to have room
	trialPolls      = 100 * time.Millisecond // between two status polls of a VM on trial
	fullFor         = 200 * time.Millisecond // a pool counts as full for this long after a task found no room
	crashDowntime   = 3 * time.Second        // that a VM is expected to be out of service after a crash
	lastingLoss     = 10.0                   // core-seconds that a crash costs a long-running task for each of its cores
)

// onTrial returns the job on trial on a VM, nil if there is none.
func (v *vm) onTrial(now time.Time) *job {
	for _, r := range v.runs {
		if r.task.crashes.Suspect() && now.Sub(r.startedAt) < maxTrial {
			return r.task.job
		}
	}
	return nil
}

// suspectJobs returns the jobs with a suspect.
func (s *Scheduler) suspectJobs() map[*job]bool {
	if len(s.losses.suspects) == 0 {
		return nil
	}
	list := map[*job]bool{}
	for t := range s.losses.suspects {
		list[t.job] = list[t.job] || t.crashes.Suspect()
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
	if c == nil && len(t.crashes) > 1 && waited < t.patience(apartPatience) {
		if !s.emptyForTrial(now, t, cands) {
			s.pool(t.job.Pool).trialsWait = now
		}
		return
	}
	if c == nil {
		c = s.leastExposed(now, t, cands)
	}
	if c != nil {
		s.startOn(now, t, c, s.nextRunNumber(t))
		c.trial = t.job
	}
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
	return trials > len(cands)/vmsPerTrial && waited < t.patience(trialPatience)
}

// patience returns how long a suspect waits. A long-running task, which is missed meanwhile, waits a second at
// most.
func (t *task) patience(d time.Duration) time.Duration {
	if t.step.Lasts {
		return min(d, lastingPatience)
	}
	return d
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
	for _, r := range v.runs {
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
	for _, r := range v.runs {
		ages = append(ages, at.Sub(r.startedAt))
	}
	return ages
}

// crashLoss returns the core-seconds that would have to be done again if a VM crashed.
func (v *vm) crashLoss(now time.Time) float64 {
	var sum float64
	for _, r := range v.runs {
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
// the age at which VMs crashed under them when the poll was sent.
func (s *Scheduler) clearOutlived(v *vm, pollStart time.Time) {
	if len(s.losses.suspects) == 0 {
		return
	}
	for _, r := range v.runs {
		if t := r.task; len(t.crashes) > 0 && r.phase == working && !r.endUnknown && pollStart.Sub(r.startedAt) >= t.crashes.ClearedAfter() {
			s.losses.set(t, nil)
		}
	}
}
