package sched

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// unlistedVMs stands in s.unverified for the VMs of a list that cannot be decoded. VMs have no such name.
const unlistedVMs = "?"

var errNoJobRecord = errors.New("the job log holds the progress of a job, but not the job")

// restoreFailed handles a record that cannot be decoded. Its job is held back. If it lists the VMs that may hold runs,
// any VM may, until the leases of these runs have expired. The other records are not needed.
func (s *Scheduler) restoreFailed(now time.Time, r site.Record, err error) {
	log := s.log.WithError(err).WithField("key", r.Key)
	switch {
	case strings.HasPrefix(r.Key, jobKeyPrefix), strings.HasPrefix(r.Key, progressKeyPrefix):
		s.unreadable[r.Key[len(jobKeyPrefix):]] = nil
		log.Error("a record of a job cannot be decoded; its tasks are not started and its records are kept")
	case r.Key == vmsKey:
		s.unverified[unlistedVMs] = now.Add(s.policy.localDuration(s.policy.Lease) + leaseMargin)
		log.Error("the list of VMs that may hold runs cannot be decoded; no task of an earlier owner's job is started until their leases have expired")
	default:
		log.Warn("job log record is invalid; skipped")
	}
}

// holdUnreadable holds back the jobs of which a record cannot be decoded or is missing.
func (s *Scheduler) holdUnreadable(progress map[string]*jobs.Progress) {
	for id := range progress {
		if _, held := s.unreadable[id]; !held && s.jobs[id] == nil {
			s.unreadable[id] = nil
			s.log.WithError(errNoJobRecord).WithField("job", id).Error("a record of a job is missing; the others are kept")
		}
	}
	for id := range s.unreadable {
		if j := s.jobs[id]; j != nil {
			s.unreadable[id] = j.Job
			s.removeJob(id)
		}
	}
}

// Unreadable returns the jobs of which a record cannot be decoded, in order. Nothing is known of their state, so none
// of their tasks is started; a cancellation replaces a progress record that cannot be decoded.
func (s *Scheduler) Unreadable() []string { return slices.Sorted(maps.Keys(s.unreadable)) }

// IsUnreadable reports whether a record of a job cannot be decoded, and whether the job can be cancelled all the same.
func (s *Scheduler) IsUnreadable(id string) (unreadable, cancellable bool) {
	j, found := s.unreadable[id]
	return found, j != nil
}

// takeUnreadable adds a job whose progress cannot be decoded to the others, to be cancelled.
func (s *Scheduler) takeUnreadable(id string) {
	record := s.unreadable[id]
	if record == nil {
		return
	}
	j := newJob(record)
	j.stored, j.recovered = true, true
	s.addJob(j)
	delete(s.unreadable, id)
}

// unreadableEnd is the end of a run of a job of which a record cannot be decoded.
type unreadableEnd struct {
	job      string
	sequence int64
}

// lastAcknowledgeable returns the sequence number up to which a VM may forget run ends. It keeps those of unreadable jobs
// for an owner that can decode their records, unless its list is cut off: then they hide the ends of other jobs.
func (s *Scheduler) lastAcknowledgeable(v *vm) int64 {
	v.unreadableEnds = slices.DeleteFunc(v.unreadableEnds, func(e unreadableEnd) bool {
		_, unreadable := s.unreadable[e.job]
		return !unreadable || e.sequence <= v.storedSeq
	})
	if len(v.unreadableEnds) == 0 || v.endsCut {
		return v.seenSeq
	}
	return v.unreadableEnds[0].sequence - 1
}
