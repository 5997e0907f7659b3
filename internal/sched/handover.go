package sched

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// handoverKey is the key of the record that an owner stores when it hands its partition over.
const handoverKey = "handover"

// handover tells the next owner where tasks may be running. Without it, a task of a
// recovered job may be on any unverified VM.
type handover struct {
	_msgpack struct{}            `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Epoch    int64               // of the owner that stored it; void if another owner has claimed the partition since
	Tasks    map[string][]string // names of the tasks that may be running, by VM
	Unknown  []string            // VMs that this owner has neither polled nor inherited a list of runs for; any task may be running there
}

// inheritedRuns is the content of the previous owner's handover record, indexed by task.
type inheritedRuns struct {
	vmsByTask  map[string][]string // VMs on which a task may be running, by task
	unknownVMs []string            // VMs without a known list of runs: any task may be running there
}

// Retire stops scheduling before a handover: Decide returns no more actions. The next flush
// that includes all progress also carries the handover record, of at most maxBytes. The
// record does not list ended tasks, so it must not be stored before the ends of these tasks
// are: the next owner would start them again.
func (s *Scheduler) Retire(maxBytes int) {
	s.retired, s.maxHandoverBytes = true, maxBytes
}

// Retired reports whether Retire has been called.
func (s *Scheduler) Retired() bool { return s.retired }

// Inherited reports whether the previous owner has left a handover record.
func (s *Scheduler) Inherited() bool { return s.inherited != nil }

// HandedOver reports whether all progress and the handover record, or the tombstone in its
// place, are stored.
func (s *Scheduler) HandedOver() bool { return s.handedOver }

// handoverRecord returns the handover record. If the record cannot be encoded or exceeds
// the size limit, it returns a tombstone and an error; the next owner then waits for all
// unverified VMs.
func (s *Scheduler) handoverRecord(now time.Time) (site.Record, error) {
	if s.recoveredHeld {
		return site.Record{Key: handoverKey}, errors.New("handover record: the jobs that an earlier owner has shown as completed are not known yet")
	}
	h := handover{Epoch: s.Epoch, Tasks: map[string][]string{}, Unknown: s.unknownVMs()}
	for id, v := range s.vms {
		for name := range v.runs {
			h.Tasks[id] = append(h.Tasks[id], name)
		}
		for name := range v.orphans {
			h.Tasks[id] = append(h.Tasks[id], name)
		}
	}
	if s.inherited != nil {
		for name, vms := range s.inherited.vmsByTask {
			for _, vm := range s.stillUnverified(vms) {
				h.Tasks[vm] = append(h.Tasks[vm], name)
			}
		}
	}
	value, err := jobs.Encode(&h)
	if q := s.quotas.handOver(now); q != nil && err == nil {
		data, quotaErr := jobs.Encode(q)
		if quotaErr == nil && len(value)+len(data) > s.maxHandoverBytes {
			quotaErr = fmt.Errorf("%d bytes exceed the rest of the job log's limit, %d", len(data), s.maxHandoverBytes-len(value))
		}
		if quotaErr != nil {
			s.log.WithError(quotaErr).Warn("fractions of quotas not handed over; the next owner starts without them")
		} else {
			value = append(value, data...)
		}
	}
	if err == nil && len(value) > s.maxHandoverBytes {
		err = fmt.Errorf("%d bytes exceed the job log's limit of %d", len(value), s.maxHandoverBytes)
	}
	if err != nil {
		return site.Record{Key: handoverKey}, fmt.Errorf("handover record: %w", err)
	}
	return site.Record{Key: handoverKey, Value: value}, nil
}

// RestartVerification begins the wait for the VMs that may hold runs of an earlier owner anew, after a pause in which this
// owner has not polled them: until such a poll, an earlier owner that does not know of the claim renews leases there.
func (s *Scheduler) RestartVerification(now time.Time) {
	for id := range s.unverified {
		until := s.afterLongLease(id, now.Add(s.policy.localDuration(s.policy.Lease)+leaseMargin+s.formerOwnerNotice))
		s.unverified[id] = until
		if v := s.vms[id]; v != nil && until.After(v.leasesEnd) {
			v.leasesEnd = until
		}
	}
	if len(s.unverified) > 0 {
		s.LogWaits(now, "this owner was paused")
	}
}

// mayBeRunning reports whether an unverified task may be running on an unverified VM.
func (s *Scheduler) mayBeRunning(t *task) bool {
	switch {
	case len(s.unverified) == 0:
		return false // the usual case, except shortly after a takeover
	case s.inherited == nil:
		return true
	}
	return len(s.stillUnverified(s.inherited.vmsByTask[t.id.String()])) > 0 || len(s.stillUnverified(s.inherited.unknownVMs)) > 0
}

// unknownVMs returns the unverified VMs on which any task may be running, since this owner
// has neither polled them nor inherited a list of their runs.
func (s *Scheduler) unknownVMs() []string {
	if s.inherited != nil {
		return s.stillUnverified(s.inherited.unknownVMs)
	}
	return slices.Collect(maps.Keys(s.unverified))
}

// stillUnverified returns those of the given VMs that are unverified.
func (s *Scheduler) stillUnverified(vms []string) []string {
	var list []string
	for _, vm := range vms {
		if _, found := s.unverified[vm]; found {
			list = append(list, vm)
		}
	}
	return list
}

// applyHandover loads a handover record. It ignores a record that was stored by an
// owner before the previous one, since the previous one may have started other runs. A record of an
// earlier version has no fractions after the handover.
func (s *Scheduler) applyHandover(now time.Time, h *handover, value []byte, lastEpoch int64) {
	if h.Epoch != lastEpoch {
		return
	}
	var q handedQuotas
	dec := msgpack.NewDecoder(bytes.NewReader(value))
	if err := dec.Skip(); err == nil && dec.Decode(&q) == nil {
		s.quotas.restore(now, &q)
	}
	s.inherited = &inheritedRuns{vmsByTask: map[string][]string{}, unknownVMs: h.Unknown}
	for vm, names := range h.Tasks {
		for _, name := range names {
			s.inherited.vmsByTask[name] = append(s.inherited.vmsByTask[name], vm)
		}
	}
}
