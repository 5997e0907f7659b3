// Package shown keeps note of the jobs that entries of the version before have shown to callers as completed while the
// job log did not answer.
//
// It answers upgrades during an outage: the next owner must not start the tasks of such a job again. This version
// shows a job as completed only once the log holds that, and makes no notes of its own; it keeps those that older
// entries send, hands them on when it stops, and honours them when it takes over. The version after this one needs
// neither the package nor the calls.
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
	maxJobs   = 10_000           // bounds the memory
)

// Notes are the jobs that an entry knows to have been shown. Its zero value is ready for
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
