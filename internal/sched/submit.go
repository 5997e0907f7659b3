package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// Admission is the decision on a submission.
type Admission struct {
	Accepted   bool          // in: stored once Stored reports so
	Reason     string        // of a refusal
	RetryAfter time.Duration // when a place is expected
}

// Submit takes a job in, or refuses it. A job that is known already is accepted.
func (s *Scheduler) Submit(now time.Time, j *jobs.Job) Admission {
	if s.jobs[j.ID] != nil {
		return Admission{Accepted: true}
	}
	if !j.LongRunning() && !s.offeredBefore(now, j.ID) {
		s.pool(j.Pool).offeredLoad.add(now, s.declaredWork(j)*s.pool(j.Pool).workRatio)
	}
	if a := s.admit(now, j); !a.Accepted {
		s.stats.Refused++
		return a
	}
	held := newJob(j)
	held.dirty = true
	s.jobs[j.ID] = held
	return Admission{Accepted: true}
}

// declaredWork returns the declared declaredWork of a job, in core-seconds of its pool's VMs.
func (s *Scheduler) declaredWork(j *jobs.Job) float64 {
	shape := s.largestVM(j.Pool)
	var sum float64
	for i := range j.Steps {
		st := &j.Steps[i]
		sum += float64(st.Count) * shape.equivalentCores(st) * float64(st.EstimateMS) / 1000
	}
	return sum
}

// offeredBefore reports whether a job was refused a short while ago, so that its
// retry is no new demand.
func (s *Scheduler) offeredBefore(now time.Time, id string) bool {
	const remember = 10 * time.Second // callers give up well before
	if at, known := s.offeredAt[id]; known && now.Sub(at) < remember {
		return true
	}
	if len(s.offeredAt) > maxOfferedJobs {
		s.offeredAt = map[string]time.Time{}
	}
	s.offeredAt[id] = now
	return false
}

// maxOfferedJobs bounds the memory for jobs offered lately.
const maxOfferedJobs = 10_000

// Known reports whether a job was taken in, stored or not yet.
func (s *Scheduler) Known(id string) bool { return s.jobs[id] != nil }

// Stored reports whether the job log holds a job.
func (s *Scheduler) Stored(id string) bool {
	j := s.jobs[id]
	return j != nil && j.stored
}

// Withdraw drops a job that was not sent to the job log, and reports whether it
// could.
func (s *Scheduler) Withdraw(id string) bool {
	j := s.jobs[id]
	if j == nil || j.stored || j.flushing {
		return false
	}
	delete(s.jobs, id)
	return true
}

// Cancel ends a job for its caller. It reports whether the job is known; the
// cancelling holds once CancelStored reports so.
func (s *Scheduler) Cancel(now time.Time, id string) bool {
	j := s.jobs[id]
	if j == nil || !j.stored {
		return false
	}
	if !j.state.Final() {
		s.finalize(now, j, jobs.Cancelled)
	}
	return true
}

// FinalStored reports whether the job log holds the job's final state.
func (s *Scheduler) FinalStored(id string) bool {
	j := s.jobs[id]
	return j == nil || j.storedState.Final()
}

// finalize sets a final state and stops what runs.
func (s *Scheduler) finalize(now time.Time, j *job, state jobs.State) {
	j.state, j.finalMS, j.dirty = state, now.UnixMilli(), true
	s.log.WithField("job", j.ID).WithField("state", state).Info("job ended")
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				for _, r := range t.runs {
					s.stop(now, r, "job "+state.String())
				}
			}
		}
	}
}
