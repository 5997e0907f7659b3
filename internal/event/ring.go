// Package event keeps the newest events of an entry in a bounded ring: responses,
// attempts, claims that were not granted, log records that were folded (applied to the
// entry's state), and changes of the entry's state. The other packages of the entry add
// events; the entry serves them to operators, who merge those of all entries into one
// timeline.
package event

import (
	"sync"
	"time"
)

//go:generate ../../.bin/enumer -type=Kind -transform=kebab -json -output=kind_enumer.go

// Kind is the kind of an event.
type Kind int

// Kinds of events.
const (
	Request  Kind = iota // the final response to a request
	Attempt              // one attempt at a backend server
	Claim                // a claim of a request id that was not granted
	Record               // a log record was folded or skipped
	View                 // the membership changed
	Fresh                // the entry's state now counts as current, or no longer does
	Platform             // a change in the platform's VM list
	Process              // start or stop of the process
)

// Event is one event of an entry.
type Event struct {
	Time     time.Time // by the clock of the entry
	Sequence int64     // consecutive per incarnation, from 0
	Offset   int64     // next log offset to be folded at that time
	Kind     Kind
	Subject  string // request id, VM, pool, release or entry
	Text     string
}

// Ring holds the newest events. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int64 // sequence number of the next event
}

// NewRing returns a ring for n events.
func NewRing(n int) *Ring {
	return &Ring{events: make([]Event, 0, n)}
}

// Add stores an event and drops the oldest if the ring is full.
func (r *Ring) Add(now time.Time, offset int64, kind Kind, subject, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{Time: now, Sequence: r.next, Offset: offset, Kind: kind, Subject: subject, Text: text}
	r.next++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[e.Sequence%int64(cap(r.events))] = e
}

// List returns the events, oldest first.
func (r *Ring) List() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.events))
	first := r.next - int64(len(r.events))
	for seq := first; seq < r.next; seq++ {
		out = append(out, r.events[seq%int64(cap(r.events))])
	}
	return out
}
