package sched

import (
	"fmt"
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
	r := &shed.Request{
		Timing:   s.timing(j),
		Work:     work,
		TaskTime: j.CriticalPath() / time.Duration(len(j.Steps)),
	}
	d := p.gate.Decide(now, r, p.load, &p.supply, s.policy.QueueFactor)
	if !d.Accepted {
		return Admission{Reason: fmt.Sprintf("pool %s cannot begin the job for %s", j.Pool, d.Wait.Round(time.Millisecond)), RetryAfter: d.RetryAfter}
	}
	p.load.Ready += work
	p.load.Total += work
	if r.Classify(now) == shed.InTime {
		p.load.InTime += work
	}
	return Admission{Accepted: true}
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
	p.loadAt, p.load, p.supply = now, s.waitingLoad(now, pool), s.supply(now, pool)
}

// supply returns the capacity of a pool's VMs without long-running tasks, and the expected arrivals. VMs
// that may get no runs for a moment, as after a failed status poll, count too, but their cores are not
// idle.
func (s *Scheduler) supply(now time.Time, pool string) shed.Supply {
	var sup shed.Supply
	largest := s.largestVM(pool)
	for _, v := range s.vms {
		if v.Pool != pool || !v.listed || v.Draining || v.cordoned {
			continue
		}
		cores := float64(v.CPU) / 1000
		free := cores
		for _, r := range v.runs {
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
	p := s.pool(pool)
	elapsed := now.Sub(p.arrivalsAt)
	if elapsed >= arrivalsTTL {
		return sup
	}
	for _, a := range p.arrivals {
		sup.Arrivals = append(sup.Arrivals, shed.Arrival{After: max(a.After-elapsed, 0), Cores: a.Cores})
	}
	return sup
}

// waitingLoad returns the work of a pool's tasks that have not started, without long-running ones.
func (s *Scheduler) waitingLoad(now time.Time, pool string) shed.Load {
	var l shed.Load
	largest, ratio := s.largestVM(pool), s.pool(pool).workRatio
	for _, j := range s.jobs {
		if j.Pool != pool || j.state.Final() || j.LongRunning() {
			continue
		}
		work, ready := j.unstartedWork(largest)
		work, ready = work*ratio, ready*ratio
		l.Ready += ready
		l.Total += work
		if s.class(now, j) == shed.InTime {
			l.InTime += work
		}
	}
	return l
}

// unstartedWork returns the declared work, in core-seconds of equivalent cores on a VM with the given
// capacity, of the tasks without a run in open occurrences, and the part of it in steps that are ready.
// Before the first occurrence is created, it returns that of one occurrence.
func (j *job) unstartedWork(largest resources) (all, ready float64) {
	work := func(st *jobs.Step, n int) float64 {
		return float64(n) * largest.equivalentCores(st) * float64(st.EstimateMS) / 1000
	}
	if len(j.occurrences) == 0 && j.createdOccs == 0 {
		for i := range j.Steps {
			w := work(&j.Steps[i], j.Steps[i].Count)
			all += w
			if len(j.Steps[i].After) == 0 {
				ready += w
			}
		}
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			w := work(st.Step, st.withoutRun)
			all += w
			if o.stepReady(st) {
				ready += w
			}
		}
	}
	return all, ready
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
	if len(j.occurrences) == 0 {
		return j.CriticalPath()
	}
	var longest int64
	var buf [8]int64  // avoids an allocation for jobs with few steps
	finish := buf[:0] // earliest end of each step, in ms from now
	for _, o := range j.occurrences {
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
