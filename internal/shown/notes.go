// Package shown keeps note of the jobs that callers were shown as completed while the job log did not answer.
//
// It answers outages of the log in which owners, witnesses and the VMs that list the ends of runs are lost one
// after the other, as in a rolling stop of all entries: the next owner must not start the tasks of such a job
// again. An owner takes note of a job before it says that the job is completed, and so does the entry that
// relays the reply to the caller; an owner that replies itself, and a relay that is stopping, tell another
// entry first. An entry that stops hands its notes on. A job is shown as running where that cannot be had. So
// two entries know of each job, and a note is lost only if two entries are killed, or if planned stops leave fewer
// than two entries.
//
// The package uses no clock and no network. Package drive tells the entries of each other's notes.
package shown

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	retention = 60 * time.Second // longer than an outage of the log and the takeover after it
	maxJobs   = 10_000           // bounds the memory; beyond it, jobs are shown as completed only once that is stored
)

// Notes are the jobs that an entry knows to have been shown, or to be about to be. Its zero value is ready for
// use. Its methods may be called concurrently.
type Notes struct {
	mu          sync.Mutex
	byPartition map[int]map[string]time.Time // when they were noted, by job identifier
}

// Record takes note of a job and reports whether it is noted, which fails only for want of room.
func (s *Notes) Record(now time.Time, partition int, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, noted := s.byPartition[partition][id]; noted && now.Sub(at) <= retention/2 {
		return true // callers ask again and again
	}
	n := 0
	for _, ids := range s.byPartition {
		maps.DeleteFunc(ids, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
		n += len(ids)
	}
	if n >= maxJobs {
		return false
	}
	if s.byPartition == nil {
		s.byPartition = map[int]map[string]time.Time{}
	}
	if s.byPartition[partition] == nil {
		s.byPartition[partition] = map[string]time.Time{}
	}
	s.byPartition[partition][id] = now
	return true
}

// RecordAll takes note of jobs and reports whether all are noted.
func (s *Notes) RecordAll(now time.Time, byPartition map[int][]string) bool {
	noted := true
	for p, ids := range byPartition {
		for _, id := range ids {
			noted = s.Record(now, p, id) && noted
		}
	}
	return noted
}

// List returns the jobs of a partition.
func (s *Notes) List(partition int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.byPartition[partition]))
}

// All returns the jobs of all partitions that have any.
func (s *Notes) All() map[int][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := map[int][]string{}
	for p, ids := range s.byPartition {
		if len(ids) > 0 {
			list[p] = slices.Sorted(maps.Keys(ids))
		}
	}
	return list
}

// Entry is the part that an entry has in showing a job.
type Entry struct {
	Owner    bool // owns the partition of the job, and has taken note
	Stopping bool // its notes are lost soon
}

// Show decides whether an entry may show a job as completed to a caller, after it has taken note where that
// lasts. tell has another entry than these two take note, one that is not stopping, and reports whether one has.
func (s *Notes) Show(now time.Time, e Entry, partition int, id string, tell func() bool) bool {
	if noted := e.Owner || s.Record(now, partition, id); !noted {
		return false
	}
	return (!e.Owner && !e.Stopping) || tell()
}
