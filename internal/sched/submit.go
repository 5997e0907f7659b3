package sched

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// Admission is the decision on a submitted job.
type Admission struct {
	Accepted   bool          // durable once Stored reports so
	Reason     string        // why the job was refused
	Beyond     string        // "share" or "rate" of its account, if the job was refused for that
	RetryAfter time.Duration // time until the job is expected to be accepted
}

// Submit accepts or refuses a job. It is idempotent: a known job is accepted.
func (s *Scheduler) Submit(now time.Time, j *jobs.Job) Admission {
	if s.jobs[j.ID] != nil {
		return Admission{Accepted: true}
	}
	if unreadable, _ := s.IsUnreadable(j.ID); unreadable {
		return Admission{Reason: "a record of the job cannot be decoded"}
	}
	first, again := s.firstOffered(now, j)
	if again {
		j.SubmittedMS = min(j.SubmittedMS, first.at.UnixMilli()) // its caller has waited since then
	}
	added := newJob(j)
	added.beyondRate = first.beyondRate
	if !again && !j.LongRunning() {
		work := s.equivalentWork(j) * s.pool(j.Pool).workRatio
		s.pool(j.Pool).offeredLoad.add(now, work)
		if added.beyondRate {
			s.pool(j.Pool).offeredBeyondRate.add(now, work)
		}
		s.offer(now, added, work)
	}
	if a := s.admit(now, added); !a.Accepted {
		s.countRefusal(a.Beyond)
		s.pool(j.Pool).refusedAt = now
		s.pool(j.Pool).countRefusal(j.Account)
		return a
	}
	added.dirty = true
	s.addJob(added)
	return Admission{Accepted: true}
}

// countRefusal counts a refused job by its Admission.Beyond.
func (s *Scheduler) countRefusal(beyond string) {
	s.stats.Refused++
	switch beyond {
	case refusedByShare:
		s.stats.RefusedByShare++
	case refusedByRate:
		s.stats.RefusedByRate++
	}
}

// equivalentWork returns the work of a job in core-seconds: the sum over its tasks of the
// declared run time times the equivalent cores on the pool's largest VM. Multiplied by
// pool.workRatio, it is corrected for run times that differ from the declared ones.
func (s *Scheduler) equivalentWork(j *jobs.Job) float64 { return s.largestVM(j.Pool).equivalentWork(j) }

// equivalentWork returns the work of a job on VMs with capacity r.
func (r resources) equivalentWork(j *jobs.Job) float64 {
	var sum float64
	for i := range j.Steps {
		st := &j.Steps[i]
		sum += float64(st.Count) * r.equivalentCores(st) * float64(st.EstimateMS) / 1000
	}
	return sum
}

// offer is the first submission of a job.
type offer struct {
	at         time.Time
	beyondRate bool // beyond the rate of its account, also when it was submitted again
}

// recentOffer returns the first submission of a job if that was recently.
func (s *Scheduler) recentOffer(now time.Time, id string) (first offer, recent bool) {
	const retryWindow = 10 * time.Second // longer than callers retry a refused job
	first, known := s.offeredAt[id]
	return first, known && now.Sub(first.at) < retryWindow
}

// firstOffered returns the first submission of a job. again reports whether that was recently;
// otherwise the present submission counts as the first one. The retry of a refused job is not counted
// as offered load again.
func (s *Scheduler) firstOffered(now time.Time, j *jobs.Job) (first offer, again bool) {
	if first, again := s.recentOffer(now, j.ID); again {
		if first.beyondRate && !s.beyondRate(now, j.Account) {
			first.beyondRate = false
			s.offeredAt[j.ID] = first
		}
		return first, true
	}
	if len(s.offeredAt) > maxOfferedJobs {
		s.offeredAt = map[string]offer{}
	}
	first = offer{at: now, beyondRate: len(s.accounts) > 0 && s.beyondRate(now, j.Account)}
	s.offeredAt[j.ID] = first
	return first, false
}

// maxOfferedJobs bounds the memory for recently submitted jobs. Above it, all of them are
// dropped, and a retry of a refused job may count as offered load again.
const maxOfferedJobs = 10_000

// Known reports whether a job was accepted, whether or not it is stored yet.
func (s *Scheduler) Known(id string) bool {
	unreadable, _ := s.IsUnreadable(id)
	return s.jobs[id] != nil || unreadable
}

// Stored reports whether the job log holds a job.
func (s *Scheduler) Stored(id string) bool {
	j := s.jobs[id]
	return j != nil && j.stored
}

// MayBeInTime reports whether a job that is not stored yet could still meet its latency objective if it began
// now.
func (s *Scheduler) MayBeInTime(now time.Time, j *jobs.Job) bool {
	if first, again := s.recentOffer(now, j.ID); again {
		j.SubmittedMS = min(j.SubmittedMS, first.at.UnixMilli())
	}
	return !now.After(s.LatestStart(now, j))
}

// LatestStart returns the time until which a job that is not stored yet has to begin to meet its latency
// objective. A periodic job has no such time; the result is then an hour from now.
func (s *Scheduler) LatestStart(now time.Time, j *jobs.Job) time.Time {
	if j.Repeat > 0 {
		return now.Add(time.Hour)
	}
	t := s.timing(newJob(j))
	return t.LatestStart()
}

// Withdraw drops a job that is neither stored nor in a flush, and reports whether it did.
func (s *Scheduler) Withdraw(id string) bool {
	j := s.jobs[id]
	if j == nil || j.stored || j.flushing {
		return false
	}
	s.removeJob(id)
	return true
}

// Cancel cancels a job and reports whether it is known. The cancellation is durable once FinalStored
// reports so. It also covers a job whose append is in doubt: the job is stored as cancelled after it.
func (s *Scheduler) Cancel(now time.Time, id string) bool {
	s.takeUnreadable(id)
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Final() {
		s.finalize(now, j, jobs.Cancelled)
	}
	return true
}

// FinalStored reports whether the job log holds the job's final state, or the job is not
// known.
func (s *Scheduler) FinalStored(id string) bool {
	j := s.jobs[id]
	return j == nil || j.storedState.Final()
}

// finalize sets a final state and stops the job's runs.
func (s *Scheduler) finalize(now time.Time, j *job, state jobs.State) {
	j.state, j.finalMS, j.dirty = state, now.UnixMilli(), true
	submitted := time.UnixMilli(j.SubmittedMS)
	fields := logrus.Fields{
		"job": j.ID, "state": state, "queue": j.Queue, "took-ms": now.Sub(submitted).Milliseconds(),
		"objective-ms": s.timing(j).Objective.Milliseconds(), "class": j.beganClass,
	}
	if !j.beganAt.IsZero() { // else it began under an earlier owner, or not at all
		fields["began-after-ms"] = j.beganAt.Sub(submitted).Milliseconds()
	}
	s.log.WithFields(fields).Info("job ended")
	for _, o := range j.open {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				delete(s.losses.suspects, t)
				for _, r := range slices.Backward(t.runs) {
					s.stop(now, r, "job "+state.String())
				}
			}
		}
	}
}
