// Package shed decides which jobs a pool serves while its callers ask for more than it can do.
//
// It answers bursts of several times the mean demand that last for some seconds: longer than a job
// may wait, but hardly longer than machines take to move to the pool. Serving all jobs in the order
// in which they came would then make nearly all of them late. Instead a pool accepts the jobs that it
// can still serve within their latency objective and refuses the others at once, and begins jobs that
// can no longer meet their objective only when no other waits. Refused callers are told different
// times to return at, as far as the pool needs for those that return before them.
//
// The package uses no clock and no network. Package sched measures a pool's work and calls it.
package shed

import (
	"time"
)

// Timing is what the order of a job depends on.
type Timing struct {
	Submitted time.Time     // when the caller first submitted the job
	Objective time.Duration // time from then within which the job should complete
	Chain     time.Duration // run time of the longest chain of steps that are not done
	Begun     bool          // a task of the job has started
}

//go:generate ../../.bin/enumer -type=Class -transform=kebab -output=class_enumer.go

// Class is the urgency of a job; jobs of a lower class are begun first.
type Class int

// Classes of jobs.
const (
	InTime  Class = iota // can still meet its objective
	Late                 // can not, but its caller still has use for the result
	Expired              // the result comes too late to be of use; it is still owed
)

// usefulFactor is the time for which a result is of use, as a multiple of the objective. The platform
// counts later results as worth nothing.
const usefulFactor = 3

// shortestRunShare is the share of its declared run time that a task takes at least. Run times are
// declared with an error of up to a half.
const shortestRunShare = 0.5

// Classify returns the class of a job. A job that has begun is given up only if it missed its
// objective even with the shortest run times, since its runs so far would be wasted.
func (t *Timing) Classify(now time.Time) Class {
	chain := t.Chain
	if t.Begun {
		chain = time.Duration(shortestRunShare * float64(chain))
	}
	end := now.Add(chain).Sub(t.Submitted)
	switch {
	case end <= t.Objective:
		return InTime
	case end <= usefulFactor*t.Objective:
		return Late
	}
	return Expired
}

// LatestStart returns the time until which the job has to be begun, or continued, to meet its
// objective.
func (t *Timing) LatestStart() time.Time { return t.Submitted.Add(t.Objective - t.Chain) }

// Load is the work that waits in a pool, in core-seconds of tasks that have not started.
type Load struct {
	InTime float64 // of jobs that can still meet their objective, with their later steps
	Total  float64 // of all jobs, with their later steps
}

// Add adds the waiting work of a job.
func (l *Load) Add(work float64, inTime bool) {
	l.Total += work
	if inTime {
		l.InTime += work
	}
}

// Request is a job that a caller submits.
type Request struct {
	Timing
	Work     float64       // core-seconds
	TaskTime time.Duration // mean run time of its tasks
	Fits     bool          // its first tasks fit at once into idle VMs, beside the tasks that wait for them
}

// Decision is the decision on a request.
type Decision struct {
	Accepted   bool
	Wait       time.Duration // expected time until the job begins
	RetryAfter time.Duration // if refused: until the pool is expected to have room for the job
}

// Gate decides on the requests to one pool.
type Gate struct {
	returning []returningJobs // refused jobs that are told to return; at most one element for each returnSlot until maxRetryAfter
}

// returningJobs are the refused jobs that return within one returnSlot.
type returningJobs struct {
	until time.Time
	work  float64 // core-seconds
}

// returnSlot bounds the memory for refused jobs and the time to add them up, since a flood has thousands.
const returnSlot = 100 * time.Millisecond

// Decide judges a request and sets Decision.RetryAfter if it is refused.
func (g *Gate) Decide(now time.Time, r *Request, l Load, s *Supply, waitFactor float64) Decision {
	d := r.Judge(now, l, s, waitFactor)
	if !d.Accepted {
		d.RetryAfter = g.Refuse(now, r, l, s, waitFactor)
	}
	return d
}

// Judge accepts a request if it can begin early enough to meet its objective behind the work that
// goes before it. A request that returns after its objective can no longer be met is accepted if a
// new one of its kind would be, behind all waiting work. waitFactor scales the longest accepted wait;
// 1 accepts all that can just meet their objective. A request that can begin at once is accepted in any
// case, since its later steps wait for runs that will have made room for them.
func (r *Request) Judge(now time.Time, l Load, s *Supply, waitFactor float64) Decision {
	slack := r.slack(waitFactor)
	left := slack - now.Sub(r.Submitted)
	work := l.InTime
	if left < 0 {
		left, work = slack, l.Total
	}
	if r.Fits {
		return Decision{Accepted: true}
	}
	wait := s.Wait(work, r.TaskTime)
	return Decision{Accepted: wait <= left, Wait: wait}
}

// slack returns the longest time that a new request of the kind may wait.
func (r *Request) slack(waitFactor float64) time.Duration {
	return time.Duration(waitFactor * float64(r.Objective-r.Chain))
}

// Refuse returns the time until there is expected to be room for a refused request behind the waiting
// work and the requests that return before it.
func (g *Gate) Refuse(now time.Time, r *Request, l Load, s *Supply, waitFactor float64) time.Duration {
	ahead := g.returningWork(now)
	retry := s.Wait(l.Total+ahead, r.TaskTime) - r.slack(waitFactor)
	retry = min(max(retry, minRetryAfter), maxRetryAfter)
	until := now.Add(retry).Truncate(returnSlot).Add(returnSlot)
	for i := range g.returning {
		if g.returning[i].until.Equal(until) {
			g.returning[i].work += r.Work
			return retry
		}
	}
	g.returning = append(g.returning, returningJobs{until: until, work: r.Work})
	return retry
}

// Bounds of Decision.RetryAfter.
const (
	minRetryAfter = time.Second // the unit of the Retry-After header
	maxRetryAfter = 30 * time.Second
)

// returningWork returns the work of the refused jobs that are still expected to return.
func (g *Gate) returningWork(now time.Time) float64 {
	sum := 0.0
	kept := g.returning[:0]
	for _, r := range g.returning {
		if r.until.After(now) {
			kept = append(kept, r)
			sum += r.work
		}
	}
	g.returning = kept
	return sum
}
