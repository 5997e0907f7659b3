package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/shed"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

const (
	arrivalsTTL = 3 * time.Second       // for which a pool's expected VMs are valid; the planner renews them several times a second
	loadTTL     = 20 * time.Millisecond // for which a pool's measured load and supply are valid; jobs accepted meanwhile are added
)

// admit decides whether to accept a job. Long-running and periodic jobs are always accepted.
func (s *Scheduler) admit(now time.Time, j *job) Admission {
	if j.LongRunning() || j.Repeat > 0 {
		return Admission{Accepted: true}
	}
	p := s.pool(j.Pool)
	s.measureLoad(now, j.Pool)
	if p.supply.Cores <= 0 && len(p.supply.Arrivals) == 0 {
		return Admission{Accepted: true} // no VMs are known yet, or all are out of service briefly
	}
	work := s.equivalentWork(j.Job) * p.workRatio
	withinQuota := s.firstTasksWithinQuota(now, j)
	r := &shed.Request{
		Timing:   s.timing(j),
		Work:     work,
		TaskTime: s.taskTime(j.Job),
		Fits:     withinQuota && p.fitsIdle(j),
	}
	var d shed.Decision
	var beyond, detail string
	if len(s.accounts) == 0 {
		d = p.gate.Decide(now, r, p.load, &p.supply, s.policy.QueueFactor)
	} else {
		p.recordRequest(r)
		d, beyond, detail = s.admitFair(now, j, r)
	}
	if !d.Accepted {
		reason := fmt.Sprintf("pool %s cannot begin the job for %s%s", j.Pool, d.Wait.Round(time.Millisecond), detail)
		return Admission{Reason: reason, RetryAfter: d.RetryAfter, Beyond: beyond}
	}
	if !r.Fits && withinQuota {
		p.takeIdle(j)
	}
	inTime := r.Classify(now) == shed.InTime
	p.load.Add(work, inTime)
	if len(s.accounts) > 0 {
		s.accept(j, work, inTime)
	}
	return Admission{Accepted: true}
}

// taskTime returns the expected run time of a job's tasks, as a mean over the cores that they occupy.
func (s *Scheduler) taskTime(j *jobs.Job) time.Duration {
	largest := s.largestVM(j.Pool)
	var work, cores float64
	for i := range j.Steps {
		st := &j.Steps[i]
		c := float64(st.Count) * largest.equivalentCores(st)
		work += c * float64(st.EstimateMS)
		cores += c
	}
	if cores == 0 {
		return 0
	}
	return time.Duration(s.pool(j.Pool).workRatio * work / cores * float64(time.Millisecond))
}

// recordRequest updates the means over the jobs submitted to a pool.
func (p *pool) recordRequest(r *shed.Request) {
	const weight = 0.02 // of one job; about the last fifty count
	if p.slack == 0 {
		p.slack, p.taskTime = r.Objective-r.Chain, r.TaskTime
		return
	}
	p.slack += time.Duration(weight * float64(r.Objective-r.Chain-p.slack))
	p.taskTime += time.Duration(weight * float64(r.TaskTime-p.taskTime))
}

// SetArrivals sets the capacity that is expected to join a pool by VM moves.
func (s *Scheduler) SetArrivals(now time.Time, pool string, arrivals []shed.Arrival) {
	p := s.pool(pool)
	p.arrivals, p.arrivalsAt = arrivals, now
}

// measureLoad updates a pool's load and supply unless they are recent.
func (s *Scheduler) measureLoad(now time.Time, pool string) {
	p := s.pool(pool)
	if !p.loadAt.IsZero() && now.Sub(p.loadAt) < loadTTL {
		return
	}
	hasAccounts := len(s.accounts) > 0
	if hasAccounts {
		s.resetAccounts(p)
	}
	p.loadAt, p.load, p.supply = now, s.waitingLoad(now, pool), s.supply(now, pool)
	s.measureIdle(now, pool)
	if hasAccounts {
		s.measureAccounts(now, p)
	}
}

// supply returns the capacity of a pool's VMs without long-running tasks, and the expected arrivals. VMs
// that may get no runs for a moment, as after a failed status poll, count too, but their cores are not
// idle. A VM that has just joined and was not polled yet counts as an arrival, since all its cores are
// idle.
func (s *Scheduler) supply(now time.Time, pool string) shed.Supply {
	var sup shed.Supply
	joining := 0.0 // cores
	largest := s.largestVM(pool)
	for _, v := range s.vms {
		if v.Pool != pool || !v.listed || v.Draining || v.cordoned {
			continue
		}
		cores := float64(v.CPU) / 1000
		if s.joining(v) {
			joining += cores
			continue
		}
		free := cores
		for _, r := range v.runList {
			used := largest.equivalentCores(r.step())
			free -= used
			if r.step().Lasts {
				cores -= used
			}
		}
		sup.Cores += max(cores, 0)
		if v.usable(now, &s.policy) {
			sup.Free += max(free, 0)
		}
	}
	if joining > 0 {
		sup.Arrivals = append(sup.Arrivals, shed.Arrival{After: joinTime, Cores: joining})
	}
	p := s.pool(pool)
	elapsed := now.Sub(p.arrivalsAt)
	if elapsed >= arrivalsTTL {
		return sup
	}
	for _, a := range p.arrivals {
		sup.Arrivals = append(sup.Arrivals, shed.Arrival{After: max(a.After-elapsed, 0), Cores: a.Cores})
	}
	slices.SortFunc(sup.Arrivals, func(a, b shed.Arrival) int { return cmp.Compare(a.After, b.After) })
	return sup
}

// joinTime is how long a VM that the platform lists newly takes to get its first run: until its first
// status poll is answered and the job log names it.
const joinTime = 150 * time.Millisecond

// joining reports whether a VM has joined the pool and was not polled yet. A VM on which an earlier owner
// may have runs is not joining.
func (s *Scheduler) joining(v *vm) bool {
	_, unverified := s.unverified[v.ID]
	return !unverified && !v.polled && !v.pollFailed && v.lastAnswer.IsZero() && len(v.runs) == 0
}

// waitingLoad returns the work of a pool's tasks that have not started, without long-running ones.
func (s *Scheduler) waitingLoad(now time.Time, pool string) shed.Load {
	var l shed.Load
	largest, p, hasAccounts := s.largestVM(pool), s.pool(pool), len(s.accounts) > 0
	for _, j := range s.live {
		if j.Pool != pool || j.state.Final() || j.LongRunning() {
			continue
		}
		work, running := j.unstartedWork(largest)
		work *= p.workRatio
		inTime := s.class(now, j) == shed.InTime
		l.Add(work, inTime)
		if hasAccounts {
			s.addToAccount(p, j, work, running, inTime)
		}
	}
	return l
}

// jobLoad is the load of a job on VMs with a given capacity.
type jobLoad struct {
	largest   resources // capacity of the VMs
	unstarted float64   // core-seconds of equivalent cores
	running   float64   // equivalent cores
}

// unstartedWork returns the declared work, in core-seconds of equivalent cores on a VM with the given
// capacity, of the tasks without a run in open occurrences, and the cores of the runs of the others.
// Before the first occurrence is created, it returns the work of one occurrence.
func (j *job) unstartedWork(largest resources) (all, running float64) {
	if !j.loadKnown || j.load.largest != largest {
		j.load, j.loadKnown = j.measureLoad(largest), true
	}
	return j.load.unstarted, j.load.running
}

func (j *job) measureLoad(largest resources) jobLoad {
	l := jobLoad{largest: largest}
	work := func(st *jobs.Step, n int) float64 {
		return float64(n) * largest.equivalentCores(st) * float64(st.EstimateMS) / 1000
	}
	if len(j.occurrences) == 0 && j.createdOccs == 0 {
		for i := range j.Steps {
			l.unstarted += work(&j.Steps[i], j.Steps[i].Count)
		}
	}
	for _, o := range j.open {
		for _, st := range o.steps {
			l.unstarted += work(st.Step, st.withoutRun)
			l.running += float64(st.Count-st.done-st.withoutRun) * largest.equivalentCores(st.Step)
		}
	}
	return l
}

// class returns the urgency of a job.
func (s *Scheduler) class(now time.Time, j *job) shed.Class {
	t := s.timing(j)
	return j.classAt(now, &t)
}

// classAt returns the urgency of a job with the given timing. Periodic jobs always count as within
// their objective.
func (j *job) classAt(now time.Time, t *shed.Timing) shed.Class {
	if j.Repeat > 0 {
		return shed.InTime
	}
	return t.Classify(now)
}

// timing returns what the order of a job depends on, with its declared run times corrected by those
// of the queue's latest jobs.
func (s *Scheduler) timing(j *job) shed.Timing {
	ratio := s.queue(j.Queue).chainRatio()
	scale := func(d time.Duration) time.Duration { return time.Duration(ratio * float64(d)) }
	target := time.Duration(j.TargetMS) * time.Millisecond
	return shed.Timing{
		Submitted: time.UnixMilli(j.SubmittedMS), Objective: target + scale(j.objective-target),
		Chain: scale(j.remainingChain()), Begun: j.began,
	}
}

// chainRatio returns the ratio of actual to declared run time of a step. A step lasts as long as
// the longest of its tasks, so the ratio exceeds 1 also if the declared times are right on average.
func (q *queueStats) chainRatio() float64 {
	if q.declared == 0 {
		return 1
	}
	return min(max(q.actual/q.declared, minChainRatio), maxChainRatio)
}

// Bounds of queueStats.chainRatio, for queues with few finished steps, and of each step's part in it,
// for steps that ran on slow VMs.
const (
	minChainRatio = 0.5
	maxChainRatio = 2.0
)

// recordStep updates a queue's run times with a finished step.
func (q *queueStats) recordStep(st *step) {
	if st.Lasts || st.EstimateMS <= 0 || st.longestRun == 0 || st.unknownRun {
		return
	}
	const decay = 0.98 // per step; about the last fifty count
	declared := float64(st.EstimateMS) / 1000
	q.actual = decay*q.actual + min(st.longestRun.Seconds(), maxChainRatio*declared)
	q.declared = decay*q.declared + declared
	q.recordPeers(st)
}

// queue returns the run times of a queue's jobs, which it creates if necessary.
func (s *Scheduler) queue(name string) *queueStats {
	q := s.queues[name]
	if q == nil {
		q = &queueStats{}
		s.queues[name] = q
	}
	return q
}

// remainingChain returns the declared run time of the longest chain of steps that are not done, of the
// occurrence that has the longest.
func (j *job) remainingChain() time.Duration {
	if !j.chainKnown {
		j.chain, j.chainKnown = j.longestChain(), true
	}
	return j.chain
}

func (j *job) longestChain() time.Duration {
	if len(j.occurrences) == 0 {
		return j.CriticalPath()
	}
	var longest int64
	var buf [8]int64  // avoids an allocation for jobs with few steps
	finish := buf[:0] // earliest end of each step, in ms from now
	for _, o := range j.open {
		finish = append(finish[:0], make([]int64, len(o.steps))...)
		for i, st := range o.steps {
			if st.done == st.Count {
				continue
			}
			for _, a := range st.After {
				finish[i] = max(finish[i], finish[a])
			}
			finish[i] += st.EstimateMS
			longest = max(longest, finish[i])
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// updateWorkRatio updates a pool's ratio of actual to declared work with a finished run.
// It divides sums, since a mean of the runs' ratios would give too much weight to
// runs whose declared time is far too short.
func (s *Scheduler) updateWorkRatio(now time.Time, r *run) {
	declared := time.Duration(r.step().EstimateMS) * time.Millisecond
	if declared <= 0 || r.step().Lasts || r.startedAt.IsZero() {
		return
	}
	const decay = 0.99 // per run; about the last hundred runs count
	p := s.pool(r.task.job.Pool)
	milliCores := float64(r.step().CPU)
	p.actualWork = decay*p.actualWork + milliCores*now.Sub(r.startedAt).Seconds()
	p.declaredWork = decay*p.declaredWork + milliCores*declared.Seconds()
	p.workRatio = min(max(p.actualWork/p.declaredWork, minWorkRatio), maxWorkRatio)
}

// Bounds of pool.workRatio, for pools with few finished runs.
const (
	minWorkRatio = 0.5
	maxWorkRatio = 3.0
)
