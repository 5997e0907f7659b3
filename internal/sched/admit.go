package sched

import (
	"fmt"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// admit decides whether to accept a job. A job is refused if its pool needs longer for the
// backlog than QueueFactor times the job's latency objective, since it would then miss its
// objective and be worth little. Long-running and periodic jobs are always accepted.
func (s *Scheduler) admit(now time.Time, j *jobs.Job) Admission {
	if j.LongRunning() || j.Repeat > 0 {
		return Admission{Accepted: true}
	}
	capacity := s.capacity(j.Pool)
	if p := s.pool(j.Pool); now.Sub(p.potentialCoresAt) < potentialTTL {
		capacity = max(capacity, p.potentialCores)
	}
	if capacity == 0 {
		return Admission{Accepted: true} // no VMs are known yet, or all are out of service briefly
	}
	wait := time.Duration(s.backlog(now, j.Pool) / capacity * float64(time.Second))
	maxWait := time.Duration(s.policy.QueueFactor * float64(j.Objective()))
	if wait <= maxWait {
		return Admission{Accepted: true}
	}
	return Admission{Reason: fmt.Sprintf("pool %s has work for %s queued", j.Pool, wait.Round(time.Millisecond)), RetryAfter: wait - maxWait}
}

// potentialTTL is how long a pool's potential capacity is valid. The planner renews it
// several times a second.
const potentialTTL = 3 * time.Second

// SetPotentialCapacity sets the cores that a pool could reach by VM moves.
func (s *Scheduler) SetPotentialCapacity(now time.Time, pool string, cores float64) {
	p := s.pool(pool)
	p.potentialCores, p.potentialCoresAt = cores, now
}

// capacity returns the cores of a pool's VMs that are listed and not draining.
func (s *Scheduler) capacity(pool string) float64 {
	var cores float64
	for _, v := range s.vms {
		if v.Pool == pool && v.listed && !v.Draining {
			cores += float64(v.CPU) / 1000
		}
	}
	return cores
}

// backlog returns the declared core-seconds of a pool's tasks that are not done. It
// leaves out long-running jobs, and jobs past their objective unless they are periodic.
func (s *Scheduler) backlog(now time.Time, pool string) float64 {
	var sum float64
	for _, j := range s.jobs {
		if j.Pool != pool || j.state.Final() || j.LongRunning() {
			continue
		}
		if j.Repeat == 0 && now.After(j.deadline) {
			continue // placed after all jobs that can still meet their objective
		}
		sum += j.remainingWork()
	}
	return sum
}

// remainingWork returns the declared core-seconds of the tasks that are not done in open
// occurrences. Before the first occurrence is created, it returns those of one occurrence.
func (j *job) remainingWork() float64 {
	if len(j.occurrences) == 0 && j.createdOccs == 0 {
		return j.CoreSeconds()
	}
	var sum float64
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			sum += float64(st.Count-st.done) * float64(st.CPU) / 1000 * float64(st.EstimateMS) / 1000
		}
	}
	return sum
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
