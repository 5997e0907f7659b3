package fleet

import (
	"encoding/json"
	"fmt"
)

// Record is one change of the shared state. The interface is sealed: only the types of
// this package implement it, and Apply has a case for each.
type Record interface{ kind() string }

// ReleasePublished puts a release note in force.
type ReleasePublished struct {
	Note Note `json:"note"`
}

// EntryJoined adds an entry, or replaces an earlier incarnation of the same name.
type EntryJoined struct {
	Member Member `json:"member"`
}

// EntryLeft removes an entry that leaves by itself, or one that is silent. The removal
// of a silent entry is proposed by another entry, which needs a majority of the current
// view's members as witnesses.
type EntryLeft struct {
	Name        string   `json:"name"`
	Incarnation string   `json:"incarnation"`
	BasedOn     int64    `json:"based-on"`            // view of the proposer and its witnesses
	Witnesses   []string `json:"witnesses,omitempty"` // incarnations that the proposer heard from in that view; empty if the entry leaves by itself
}

// EntryRetired is an operator's statement that an entry's VM is permanently gone.
type EntryRetired struct {
	Name string `json:"name"`
}

// LeaseTaken grants the lease on a control shard to an entry.
type LeaseTaken struct {
	Shard  int    `json:"shard"`
	Holder string `json:"holder"` // incarnation of the entry
	Epoch  int64  `json:"epoch"`  // the shard's previous epoch plus one
}

// LeaseReleased ends the lease on a control shard.
type LeaseReleased struct {
	Shard int   `json:"shard"`
	Epoch int64 `json:"epoch"`
}

// MoveStarted takes a serving VM out of service so that it can move to another pool.
type MoveStarted struct {
	VM   string `json:"vm"`
	From string `json:"from"`
	To   string `json:"to"`
	By   Fence  `json:"by"`
}

// MoveFinished puts a drained VM into service in its new pool.
type MoveFinished struct {
	VM string `json:"vm"`
	By Fence  `json:"by"`
}

// WaveStarted starts a declared wave, resumes a paused one, or restarts a halted one.
type WaveStarted struct {
	Wave string `json:"wave"`
}

// WavePauseAsked pauses a wave: it takes no further VMs out of service.
type WavePauseAsked struct {
	Wave string `json:"wave"`
}

// MaintenanceStarted takes a serving VM out of service for a wave.
type MaintenanceStarted struct {
	VM   string `json:"vm"`
	Wave string `json:"wave"`
	By   Fence  `json:"by"`
}

// MaintenanceFinished puts a rebooted VM back into service, also one that was marked
// as failed before.
type MaintenanceFinished struct {
	VM string `json:"vm"`
	By Fence  `json:"by"`
}

// MaintenanceFailed marks a VM that did not come back after its reboot as failed.
type MaintenanceFailed struct {
	VM     string `json:"vm"`
	Reason string `json:"reason"`
	By     Fence  `json:"by"`
}

// Fence names the lease under which a control record was written, so that a record of
// a former holder is rejected. Control records are the ones with a field By: they start and
// end moves and maintenance. The zero value in a MoveStarted marks an operator's
// command; other control records require a lease.
type Fence struct {
	Shard int   `json:"shard"`
	Epoch int64 `json:"epoch"`
}

func (ReleasePublished) kind() string    { return "release-published" }
func (EntryJoined) kind() string         { return "entry-joined" }
func (EntryLeft) kind() string           { return "entry-left" }
func (EntryRetired) kind() string        { return "entry-retired" }
func (LeaseTaken) kind() string          { return "lease-taken" }
func (LeaseReleased) kind() string       { return "lease-released" }
func (MoveStarted) kind() string         { return "move-started" }
func (MoveFinished) kind() string        { return "move-finished" }
func (WaveStarted) kind() string         { return "wave-started" }
func (WavePauseAsked) kind() string      { return "wave-pause-asked" }
func (MaintenanceStarted) kind() string  { return "maintenance-started" }
func (MaintenanceFinished) kind() string { return "maintenance-finished" }
func (MaintenanceFailed) kind() string   { return "maintenance-failed" }

type envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// decoders has a function for every record kind. A new kind needs a type, a function here
// and a case in Apply and Describe.
var decoders = map[string]func([]byte) (Record, error){
	"release-published":    decodeAs[ReleasePublished],
	"entry-joined":         decodeAs[EntryJoined],
	"entry-left":           decodeAs[EntryLeft],
	"entry-retired":        decodeAs[EntryRetired],
	"lease-taken":          decodeAs[LeaseTaken],
	"lease-released":       decodeAs[LeaseReleased],
	"move-started":         decodeAs[MoveStarted],
	"move-finished":        decodeAs[MoveFinished],
	"wave-started":         decodeAs[WaveStarted],
	"wave-pause-asked":     decodeAs[WavePauseAsked],
	"maintenance-started":  decodeAs[MaintenanceStarted],
	"maintenance-finished": decodeAs[MaintenanceFinished],
	"maintenance-failed":   decodeAs[MaintenanceFailed],
}

func decodeAs[T Record](data []byte) (Record, error) {
	var body T
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	return body, nil
}

// Encode encodes a record for the log.
func Encode(r Record) (string, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return "", fmt.Errorf("encode %s record: %w", r.kind(), err)
	}
	data, err := json.Marshal(envelope{Kind: r.kind(), Body: body})
	return string(data), err
}

// Decode decodes a record from the log.
func Decode(data string) (Record, error) {
	var e envelope
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return nil, fmt.Errorf("record is not a JSON object with a kind and a body: %w", err)
	}
	decode, ok := decoders[e.Kind]
	if !ok {
		return nil, fmt.Errorf("record kind %q is not known", e.Kind)
	}
	r, err := decode(e.Body)
	if err != nil {
		return nil, fmt.Errorf("decode %s record: %w", e.Kind, err)
	}
	return r, nil
}

// Describe returns a record's kind and subject, such as the VM or entry, for logs and
// events.
func Describe(r Record) (kind, subject string) {
	switch r := r.(type) {
	case ReleasePublished:
		return r.kind(), r.Note.Release
	case EntryJoined:
		return r.kind(), r.Member.Name
	case EntryLeft:
		return r.kind(), r.Name
	case EntryRetired:
		return r.kind(), r.Name
	case LeaseTaken:
		return r.kind(), fmt.Sprintf("shard-%d", r.Shard)
	case LeaseReleased:
		return r.kind(), fmt.Sprintf("shard-%d", r.Shard)
	case MoveStarted:
		return r.kind(), r.VM
	case MoveFinished:
		return r.kind(), r.VM
	case WaveStarted:
		return r.kind(), r.Wave
	case WavePauseAsked:
		return r.kind(), r.Wave
	case MaintenanceStarted:
		return r.kind(), r.VM
	case MaintenanceFinished:
		return r.kind(), r.VM
	case MaintenanceFailed:
		return r.kind(), r.VM
	}
	return "unknown", ""
}
