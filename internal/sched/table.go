package sched

import (
	"container/heap"
	"time"
)

// addJob adds a job, which may change.
func (s *Scheduler) addJob(j *job) { s.jobs[j.ID], s.live[j.ID] = j, j }

// removeJob removes a job that may change.
func (s *Scheduler) removeJob(id string) {
	delete(s.jobs, id)
	delete(s.live, id)
}

// settleJobs takes the jobs out of s.live that can no longer change.
func (s *Scheduler) settleJobs() {
	for id, j := range s.live {
		if j.storedState.Final() && j.state.Final() && !j.dirty {
			delete(s.live, id)
			heap.Push(&s.settled, j)
		}
	}
}

// removeSettledJobs removes the settled jobs that became final before a time, and returns their IDs.
func (s *Scheduler) removeSettledJobs(before time.Time) []string {
	var ids []string
	for len(s.settled) > 0 && s.settled[0].finalMS < before.UnixMilli() {
		id := heap.Pop(&s.settled).(*job).ID
		delete(s.jobs, id)
		ids = append(ids, id)
	}
	return ids
}

// settledJobs is a heap of jobs by the time at which they became final.
type settledJobs []*job

// Len returns the number of jobs.
func (h settledJobs) Len() int { return len(h) }

// Less reports whether a job became final before another.
func (h settledJobs) Less(i, k int) bool { return h[i].finalMS < h[k].finalMS }

// Swap swaps two jobs.
func (h settledJobs) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push appends a job.
func (h *settledJobs) Push(x any) { *h = append(*h, x.(*job)) }

// Pop removes the last job.
func (h *settledJobs) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}
