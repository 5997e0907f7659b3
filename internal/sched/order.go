package sched

import (
	"cmp"
	"slices"
	"time"
)

// sortJobs orders jobs of a pool for placement: long-running ones, then by class, priority and the
// latest time at which they can be started to meet their objective. On a site with accounts, jobs
// beyond the shares of their accounts go behind the others of their class.
func (s *Scheduler) sortJobs(now time.Time, list []*job) {
	for _, j := range list {
		j.order = orderKey{rank: -1, latestStart: time.UnixMilli(j.SubmittedMS)}
		if !j.LongRunning() {
			t := s.timing(j)
			j.order = orderKey{rank: int(j.classAt(now, &t)), latestStart: t.LatestStart()}
		}
	}
	s.sortByOrder(list)
	if len(s.accounts) > 0 {
		s.sortByShares(now, list)
	}
}

// sortedJob is a job with what sortByOrder compares.
type sortedJob struct {
	rank, priority int
	latestStart    int64 // Unix nanoseconds
	job            *job
}

// sortByOrder orders jobs by class, priority and latest start.
func (s *Scheduler) sortByOrder(list []*job) {
	s.sorting = s.sorting[:0]
	for _, j := range list {
		s.sorting = append(s.sorting, sortedJob{rank: j.order.rank, priority: j.Priority, latestStart: j.order.latestStart.UnixNano(), job: j})
	}
	slices.SortFunc(s.sorting, func(a, b sortedJob) int {
		switch {
		case a.rank != b.rank:
			return cmp.Compare(a.rank, b.rank)
		case a.priority != b.priority:
			return cmp.Compare(a.priority, b.priority)
		case a.latestStart != b.latestStart:
			return cmp.Compare(a.latestStart, b.latestStart)
		}
		return cmp.Compare(a.job.ID, b.job.ID)
	})
	for i := range list {
		list[i] = s.sorting[i].job
	}
}

// orderKey holds what sortJobs orders a job by, besides its priority.
type orderKey struct {
	rank        int // -1 for a long-running job, else its class
	latestStart time.Time
	excess      bool         // beyond the share or the rate of its account; always false on sites without accounts
	crosses     bool         // within the share only in part
	level       float64      // cores per unit of weight that the account's other runs and more urgent jobs take
	used        float64      // cores of its runs; set only on sites with accounts
	wanted      float64      // cores of its tasks that could start; set only on sites with accounts
	account     *accountLoad // nil if it is beyond the rate; set only on sites with accounts
}
