package jobs

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Progress is the state of a job that the job log stores beside the job itself, so that
// another entry can continue it. Runs in progress are not part of it, since the VMs report
// them.
type Progress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	State    State
	Began    bool  // a task has started
	FinalMS  int64 // Unix milliseconds at which the state became final; 0 before
	Created  int   // number of occurrences that have become due; they are numbered from 0
	Open     []int // numbers of the occurrences that are due and not done
	// DoneOccurrences is the number of occurrences that are done.
	DoneOccurrences int
	Done            []DoneSet      // steps with at least one task done
	Notes           []TaskProgress // tasks not done that have failures, crashes or a checkpoint, and long-running ones that run
	Reason          string         // why the job failed, if not by its own attempts; later versions only
}

// DoneSet is the set of a step's tasks that are done.
type DoneSet struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Occurrence int
	Step       int
	Bits       []byte // bit i%8 of byte i/8 is set if task i is done
}

// TaskProgress is the stored progress of a task that is not done.
type TaskProgress struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Occurrence int
	Step       int
	Index      int
	Failed     []int64 // numbers of the runs that failed
	Checkpoint string
	Crashes    []CrashNote // of VMs while they ran the task; later versions only
	On         string      // VM that the task was last ordered to start on; set with Crashes and for long-running tasks
	StartedMS  int64       `msgpack:"-"` // Unix milliseconds of that order; 0 if unknown; see progressExtension
	Cleared    int         `msgpack:"-"` // number of crashes that Crashes does not hold any more; see progressExtension
}

// CrashNote is a crash of a VM as evidence against a task that it ran.
type CrashNote struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	VM       string
	Born     int64 // start of the VM's incarnation, Unix milliseconds
	AgeMS    int64 // of the task's run
	Percent  int   // share of the blame, 0 to 100

	Unconfirmed bool `msgpack:"-"` // the VM may not have begun the run; see progressExtension
	Lapsed      bool `msgpack:"-"` // the VM may be cut off; see progressExtension
}

// progressExtension follows a Progress in its record. Versions before it read the Progress and ignore what follows;
// they cannot read one with more fields.
type progressExtension struct {
	Tasks    []taskExtension
	Doubtful []crashExtension `msgpack:",omitempty"` // ignored by versions before it
}

// crashExtension holds fields of the crash notes of the TaskProgress with the same occurrence, step and index.
type crashExtension struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Occurrence  int
	Step        int
	Index       int
	Unconfirmed []int // positions of the crashes in TaskProgress.Crashes
	Lapsed      []int // likewise
}

// taskExtension holds fields of the TaskProgress with the same occurrence, step and index.
type taskExtension struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Occurrence int
	Step       int
	Index      int
	StartedMS  int64
	Cleared    int
}

// EncodeProgress encodes the progress of a job for the job log.
func EncodeProgress(p *Progress) ([]byte, error) {
	data, err := Encode(p)
	if err != nil {
		return nil, err
	}
	var x progressExtension
	for i := range p.Notes {
		if n := &p.Notes[i]; n.StartedMS != 0 || n.Cleared != 0 {
			x.Tasks = append(x.Tasks, taskExtension{Occurrence: n.Occurrence, Step: n.Step, Index: n.Index, StartedMS: n.StartedMS, Cleared: n.Cleared})
		}
		if c := p.Notes[i].crashExtension(); c != nil {
			x.Doubtful = append(x.Doubtful, *c)
		}
	}
	if len(x.Tasks)+len(x.Doubtful) == 0 {
		return data, nil
	}
	extension, err := Encode(&x)
	if err != nil {
		return nil, err
	}
	return append(data, extension...), nil
}

// crashExtension returns what is stored of the crash notes outside of the TaskProgress, nil if there is nothing.
func (n *TaskProgress) crashExtension() *crashExtension {
	x := crashExtension{Occurrence: n.Occurrence, Step: n.Step, Index: n.Index}
	for i := range n.Crashes {
		if n.Crashes[i].Unconfirmed {
			x.Unconfirmed = append(x.Unconfirmed, i)
		}
		if n.Crashes[i].Lapsed {
			x.Lapsed = append(x.Lapsed, i)
		}
	}
	if len(x.Unconfirmed)+len(x.Lapsed) == 0 {
		return nil
	}
	return &x
}

// apply sets the fields of crash notes that an extension holds.
func (x *crashExtension) apply(notes []CrashNote) {
	for _, i := range x.Unconfirmed {
		if i >= 0 && i < len(notes) {
			notes[i].Unconfirmed = true
		}
	}
	for _, i := range x.Lapsed {
		if i >= 0 && i < len(notes) {
			notes[i].Lapsed = true
		}
	}
}

// DecodeProgress decodes a value that EncodeProgress of this or an earlier version encoded.
func DecodeProgress(data []byte) (*Progress, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	p := new(Progress)
	if err := dec.Decode(p); err != nil {
		return nil, fmt.Errorf("decode %T: %w", p, err)
	}
	var x progressExtension
	switch err := dec.Decode(&x); {
	case errors.Is(err, io.EOF):
		return p, nil
	case err != nil:
		return nil, fmt.Errorf("decode %T: %w", x, err)
	}
	type key struct{ occurrence, step, index int }
	byTask := map[key]*taskExtension{}
	for i := range x.Tasks {
		t := &x.Tasks[i]
		byTask[key{t.Occurrence, t.Step, t.Index}] = t
	}
	doubtful := map[key]*crashExtension{}
	for i := range x.Doubtful {
		c := &x.Doubtful[i]
		doubtful[key{c.Occurrence, c.Step, c.Index}] = c
	}
	for i := range p.Notes {
		n := &p.Notes[i]
		if t := byTask[key{n.Occurrence, n.Step, n.Index}]; t != nil {
			n.StartedMS, n.Cleared = t.StartedMS, t.Cleared
		}
		if c := doubtful[key{n.Occurrence, n.Step, n.Index}]; c != nil {
			c.apply(n.Crashes)
		}
	}
	return p, nil
}

// Has reports whether a task is in the set.
func (d *DoneSet) Has(index int) bool {
	return index/8 < len(d.Bits) && d.Bits[index/8]&(1<<(index%8)) != 0
}

// Add adds a task to the set.
func (d *DoneSet) Add(index int) {
	for len(d.Bits) <= index/8 {
		d.Bits = append(d.Bits, 0)
	}
	d.Bits[index/8] |= 1 << (index % 8)
}

// Encode encodes a value for the job log.
func Encode[T any](v *T) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Decode decodes a value that Encode encoded.
func Decode[T any](data []byte) (*T, error) {
	v := new(T)
	if err := msgpack.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("decode %T: %w", v, err)
	}
	return v, nil
}
