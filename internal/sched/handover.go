package sched

import (
	"fmt"
	"maps"
	"slices"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// handoverKey is the record that an owner leaves when it gives its partition up in
// order.
const handoverKey = "handover"

// handover tells the next owner where tasks may be running. Without it, a task of a
// recovered job may be on any VM that has not been looked at.
type handover struct {
	_msgpack struct{}            `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Epoch    int64               // of the owner that left; a later owner's claim makes the record void
	Tasks    map[string][]string // names of the tasks that may be running, by VM
	Unknown  []string            // VMs that this owner has not looked at; any task may be there
}

// inheritedRuns is what an owner makes of its predecessor's handover.
type inheritedRuns struct {
	vmsByTask  map[string][]string // VMs on which a task may be running, by task
	unknownVMs []string            // VMs on which any task may be running
}

// Retire ends the owner's decisions. The next flush that leaves no progress behind
// carries the record for the next owner, at most so many bytes long: a record that is
// stored without the end of a task would have the next owner start it again.
func (s *Scheduler) Retire(mostBytes int) {
	s.retired, s.maxHandoverBytes = true, mostBytes
}

// Retired reports whether the owner has ended its decisions.
func (s *Scheduler) Retired() bool { return s.retired }

// HandedOver reports whether all that the next owner needs is stored.
func (s *Scheduler) HandedOver() bool { return s.handedOver }

// handoverRecord returns the record for the next owner. With an error, if it is larger
// than the log takes, it is one that drops the key; the next owner then waits for all VMs.
func (s *Scheduler) handoverRecord() (site.Record, error) {
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
	if err == nil && len(value) > s.maxHandoverBytes {
		err = fmt.Errorf("record of %d bytes is larger than the log's %d", len(value), s.maxHandoverBytes)
	}
	if err != nil {
		return site.Record{Key: handoverKey}, fmt.Errorf("tasks under way for the next owner: %w", err)
	}
	return site.Record{Key: handoverKey, Value: value}, nil
}

// mayBeRunning reports whether a task in doubt may be running on a VM that has not been
// looked at.
func (s *Scheduler) mayBeRunning(t *task) bool {
	switch {
	case len(s.unverified) == 0:
		return false // so for nearly all of a partition's time
	case s.inherited == nil:
		return true
	}
	return len(s.stillUnverified(s.inherited.vmsByTask[t.id.String()])) > 0 || len(s.stillUnverified(s.inherited.unknownVMs)) > 0
}

// unknownVMs returns the VMs that have not been looked at and on which any task may be.
func (s *Scheduler) unknownVMs() []string {
	if s.inherited != nil {
		return s.stillUnverified(s.inherited.unknownVMs)
	}
	return slices.Collect(maps.Keys(s.unverified))
}

func (s *Scheduler) stillUnverified(vms []string) []string {
	var list []string
	for _, vm := range vms {
		if _, open := s.unverified[vm]; open {
			list = append(list, vm)
		}
	}
	return list
}

// applyHandover takes over what the last owner has left, if no other has claimed the
// partition since.
func (s *Scheduler) applyHandover(h *handover, last int64) {
	if h.Epoch != last {
		return
	}
	s.inherited = &inheritedRuns{vmsByTask: map[string][]string{}, unknownVMs: h.Unknown}
	for vm, names := range h.Tasks {
		for _, name := range names {
			s.inherited.vmsByTask[name] = append(s.inherited.vmsByTask[name], vm)
		}
	}
}
