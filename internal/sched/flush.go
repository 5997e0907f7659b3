package sched

import (
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// dropFinalJobs drops jobs that have been final for KeepFinal and returns tombstones for
// their records, and those that the log has refused. They go before all other records of a flush: a job may have been
// submitted again under the identifier of a dropped one.
func (s *Scheduler) dropFinalJobs(now time.Time) []site.Record {
	removed := s.refusedTombstones
	s.refusedTombstones = nil
	s.settleJobs()
	for _, id := range s.removeSettledJobs(now.Add(-s.policy.KeepFinal)) {
		removed = append(removed, site.Record{Key: jobKeyPrefix + id}, site.Record{Key: progressKeyPrefix + id})
	}
	return removed
}

// Cursor is the sequence number up to which the run ends of a VM's incarnation are processed.
type Cursor struct {
	VM          string
	Incarnation int64
	Sequence    int64
}

// Flush is a batch of records for the job log.
type Flush struct {
	Records     []site.Record
	tombstones  []site.Record         // the first of Records, of dropped jobs
	cursors     []Cursor              // run ends that may be acknowledged once the flush is stored
	recordedVMs []string              // VMs that the record under vmsKey names
	states      map[string]jobs.State // states of the jobs whose progress is in the flush, by job ID
	lost        map[string]int        // losses that count in the progress of the jobs in the flush, by job ID
	addedJobs   []string              // IDs of new jobs in the flush
	hasHandover bool                  // contains the handover record
}

// Flush collects the changes since the last flush, or returns nil if there are none. Only
// one flush may be under way; it ends with a call of Flushed or FlushRefused. After an error nothing has changed.
// A job that cannot be encoded stays changed, and no run end is acknowledged.
func (s *Scheduler) Flush(now time.Time, maxBytes int) (*Flush, error) {
	var vmList []byte
	if s.recordedVMsDirty {
		var err error
		if vmList, err = s.encodeRecordedVMs(); err != nil {
			return nil, err
		}
	}
	leases, err := s.longLeasesRecord(now)
	if err != nil {
		return nil, err
	}
	tombstones := s.dropFinalJobs(now)
	f := &Flush{Records: slices.Clone(tombstones), tombstones: tombstones, states: map[string]jobs.State{}, lost: map[string]int{}}
	size, deferred := 0, 0
	var held *job
	for _, j := range s.live {
		switch {
		case !j.dirty:
			continue
		case !j.stored && s.newJobsHeld:
			held = j
			continue
		case size > maxBytes/2: // the other half is for the last job added, the VM list and the handover record
			deferred++
			continue
		}
		n, ok := s.addRecords(now, f, j)
		if !ok {
			deferred++
		}
		size += n
	}
	if held != nil && len(f.Records) == 0 {
		if _, ok := s.addRecords(now, f, held); !ok {
			deferred++
		}
	}
	if s.recordedVMsDirty {
		f.Records = append(f.Records, site.Record{Key: vmsKey, Value: vmList})
		s.recordedVMsDirty = false
		for id := range s.recordedVMs {
			f.recordedVMs = append(f.recordedVMs, id)
		}
	}
	f.Records = append(f.Records, leases...)
	for _, v := range s.vms {
		if seq := s.lastAcknowledgeable(v); seq > v.storedSeq {
			f.cursors = append(f.cursors, Cursor{VM: v.ID, Incarnation: v.Born, Sequence: seq})
		}
	}
	if deferred > 0 {
		f.cursors = nil // acknowledged only once all progress is stored
	}
	if s.retired && deferred == 0 {
		r, err := s.handoverRecord(now)
		if err != nil {
			s.log.WithError(err).Warn("handover record not written; the next owner waits for all VMs")
		}
		f.Records, f.hasHandover = append(f.Records, r), true
		f.Records = s.appendRunTimes(f.Records, s.maxHandoverBytes-len(r.Value))
	}
	if len(f.Records) == 0 && len(f.cursors) == 0 {
		return nil, nil
	}
	return f, nil
}

// addRecords adds the records of a job to a flush and returns their size in bytes. If they cannot be encoded, it
// logs that and changes neither the job nor the flush.
func (s *Scheduler) addRecords(now time.Time, f *Flush, j *job) (size int, ok bool) {
	records, err := s.encodeJob(now, j)
	if err != nil {
		s.log.WithError(err).WithField("job", j.ID).Error("job cannot be encoded for the job log; it stays unstored, and no run end is acknowledged")
		return 0, false
	}
	f.Records = append(f.Records, records...)
	for i := range records {
		size += len(records[i].Value)
	}
	if !j.stored {
		f.addedJobs = append(f.addedJobs, j.ID)
		j.flushing = true
	}
	f.states[j.ID], f.lost[j.ID] = j.state, j.lost
	j.dirty = false
	return size, true
}

// encodeJob returns the records of a job: the job itself unless it is stored, and its progress if there is any.
func (s *Scheduler) encodeJob(now time.Time, j *job) ([]site.Record, error) {
	var records []site.Record
	if !j.stored {
		data, err := jobs.Encode(j.Job)
		if err != nil {
			return nil, err
		}
		records = append(records, site.Record{Key: jobKeyPrefix + j.ID, Value: data})
	}
	if j.stored || j.began || j.state.Final() {
		data, err := s.encodeProgress(now, j)
		if err != nil {
			return nil, err
		}
		records = append(records, site.Record{Key: progressKeyPrefix + j.ID, Value: data})
	}
	return records, nil
}

// HoldNewJobs keeps new jobs out of flushes, except for one where a flush would have no other record. While
// the log does not answer, a job in a flush cannot be withdrawn, so its caller would get no answer in time.
func (s *Scheduler) HoldNewJobs(hold bool) { s.newJobsHeld = hold }

func (s *Scheduler) encodeRecordedVMs() ([]byte, error) {
	var list []recordedVM
	for id := range s.recordedVMs {
		if v := s.vms[id]; v != nil {
			list = append(list, recordedVM{VM: v.VM})
		}
	}
	return jobs.Encode(&list)
}

// Flushed records that the job log holds a flush.
func (s *Scheduler) Flushed(f *Flush) {
	s.handedOver = s.handedOver || f.hasHandover
	for _, id := range f.addedJobs {
		if j := s.jobs[id]; j != nil {
			j.stored, j.flushing = true, false
		}
	}
	for id, state := range f.states {
		if j := s.jobs[id]; j != nil {
			if state.Final() && !j.storedState.Final() {
				j.storedState = state
				s.logStored(j)
			}
			j.storedState, j.lostStored = state, f.lost[id]
		}
	}
	for _, id := range f.recordedVMs {
		if v := s.vms[id]; v != nil && s.recordedVMs[id] {
			v.recorded = true
		}
	}
	for _, c := range f.cursors {
		if v := s.vms[c.VM]; v != nil && v.Born == c.Incarnation {
			v.storedSeq = c.Sequence
		}
	}
}

// FlushRefused records that the job log has stored nothing of a flush.
func (s *Scheduler) FlushRefused(f *Flush) {
	s.refusedTombstones = append(s.refusedTombstones, f.tombstones...)
	s.recordedVMsDirty, s.longLeasesDirty = true, true
	for _, id := range f.addedJobs {
		if j := s.jobs[id]; j != nil {
			j.flushing = false
		}
	}
	for id := range f.states {
		if j := s.jobs[id]; j != nil {
			j.dirty = true
		}
	}
}
