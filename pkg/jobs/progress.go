package jobs

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Progress is what the job log keeps about a job beside the job itself: enough for
// another entry to carry on. Runs under way are not in it; the VMs know them.
type Progress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	State    State
	Began    bool  // a task has started
	FinalMS  int64 // Unix milliseconds at which the state became final; 0 before
	Created  int   // occurrences that have come due, counted from 0
	Open     []int // occurrences that have come due and are not done
	// DoneOccurrences counts those that are done.
	DoneOccurrences int
	Done            []DoneSet      // steps with at least one task done
	Notes           []TaskProgress // tasks with failures or a checkpoint
}

// DoneSet says which tasks of a step have ended done.
type DoneSet struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Occurrence int
	Step       int
	Bits       []byte // bit i%8 of byte i/8 is task i
}

// TaskProgress is what is kept of a task that is not done.
type TaskProgress struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Occurrence int
	Step       int
	Index      int
	Failed     []int64 // runs that ended failed
	Checkpoint string
}

// Has reports whether a task is in the set.
func (d *DoneSet) Has(index int) bool {
	return index/8 < len(d.Bits) && d.Bits[index/8]&(1<<(index%8)) != 0
}

// Add puts a task into the set.
func (d *DoneSet) Add(index int) {
	for len(d.Bits) <= index/8 {
		d.Bits = append(d.Bits, 0)
	}
	d.Bits[index/8] |= 1 << (index % 8)
}

// Encode returns the bytes of a value for the job log.
func Encode[T any](v *T) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Decode reads what Encode wrote.
func Decode[T any](data []byte) (*T, error) {
	v := new(T)
	if err := msgpack.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("decode %T: %w", v, err)
	}
	return v, nil
}
