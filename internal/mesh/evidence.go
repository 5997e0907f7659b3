// Package mesh keeps an entry in touch with the others: heartbeats, the evidence
// they give, relayed log records, membership, claims and load digests.
package mesh

import (
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Beat is what an entry tells another in a heartbeat, and what it is told back.
type Beat struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Name        string
	Incarnation string
	View        int64
	Next        int64            // next log offset to be folded
	Routed      int64            // offset of the state that requests are routed by; read before InFlight
	Release     string           // in force in that state
	Demand      map[string]int   // requests that run or wait, by pool; pools without any are left out
	InFlight    map[string]int64 // requests in flight on VMs that are out of service; VMs without any are left out
}

// heard is the last proof that a peer gave of itself. It is dated by when this
// entry sent the heartbeat that was answered, so that an answer read late, after
// a pause, proves nothing about the present.
type heard struct {
	at   time.Time
	beat Beat
}

// Evidence is what an entry knows of the others, by incarnation. It is not safe
// for concurrent use.
type Evidence struct {
	self  string
	heard map[string]heard
	since map[string]time.Time // when a member that was never heard became one
}

// NewEvidence returns an empty Evidence of the entry with an incarnation.
func NewEvidence(self string) *Evidence {
	return &Evidence{self: self, heard: map[string]heard{}, since: map[string]time.Time{}}
}

// Note takes in the answer to a heartbeat that was sent at a time.
func (e *Evidence) Note(sent time.Time, b Beat) {
	if old := e.heard[b.Incarnation]; !sent.Before(old.at) {
		e.heard[b.Incarnation] = heard{at: sent, beat: b}
	}
}

// Last returns the newest beat of a peer and its date.
func (e *Evidence) Last(incarnation string) (Beat, time.Time) {
	h := e.heard[incarnation]
	return h.beat, h.at
}

// SetMembers forgets what no longer matters. Peers that are not members are kept
// while they speak: an entry that cannot join during an outage of the log serves
// all the same.
func (e *Evidence) SetMembers(now time.Time, members []fleet.Member, keep time.Duration) {
	present := map[string]bool{}
	for _, m := range members {
		present[m.Incarnation] = true
		if _, ok := e.since[m.Incarnation]; !ok {
			e.since[m.Incarnation] = now
		}
	}
	for inc := range e.since {
		if !present[inc] {
			delete(e.since, inc)
		}
	}
	for inc, h := range e.heard {
		if !present[inc] && now.Sub(h.at) > keep {
			delete(e.heard, inc)
		}
	}
}

// MajorityAt returns the newest time at which a majority of the view's members,
// this entry included if it is one, had shown to be in the view. It is zero if
// there was none.
func (e *Evidence) MajorityAt(now time.Time, view int64, members []fleet.Member) time.Time {
	var times []time.Time
	for _, m := range members {
		h := e.heard[m.Incarnation]
		switch {
		case m.Incarnation == e.self:
			times = append(times, now)
		case h.beat.View == view && !h.at.IsZero():
			times = append(times, h.at)
		}
	}
	need := len(members)/2 + 1
	if len(members) == 0 || len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1]
}

// Witnesses returns this entry and the members that have shown to be in the view
// since a time.
func (e *Evidence) Witnesses(since time.Time, view int64, members []fleet.Member) []string {
	var out []string
	for _, m := range members {
		h := e.heard[m.Incarnation]
		if m.Incarnation == e.self || (h.beat.View == view && h.at.After(since)) {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// Silent returns the members that have shown nothing since a time.
func (e *Evidence) Silent(since time.Time, members []fleet.Member) []fleet.Member {
	var out []fleet.Member
	for _, m := range members {
		last := e.heard[m.Incarnation].at
		if joined := e.since[m.Incarnation]; joined.After(last) {
			last = joined
		}
		if m.Incarnation != e.self && last.Before(since) {
			out = append(out, m)
		}
	}
	return out
}

// Demands returns the other entries' demand on a pool, as far as it was heard
// since a time.
func (e *Evidence) Demands(since time.Time, pool string) []int {
	var out []int
	for inc, h := range e.heard {
		if inc != e.self && h.at.After(since) {
			out = append(out, h.beat.Demand[pool])
		}
	}
	return out
}

// Drained reports whether every member, and every other entry heard since a
// time, routes by a state after the offset and has nothing in flight on the VM.
func (e *Evidence) Drained(since time.Time, vm string, offset int64, members []fleet.Member) bool {
	for _, m := range members {
		if m.Incarnation != e.self && !e.heard[m.Incarnation].doneWith(vm, offset) {
			return false
		}
	}
	for inc, h := range e.heard {
		if inc != e.self && h.at.After(since) && !h.doneWith(vm, offset) {
			return false
		}
	}
	return true
}

func (h heard) doneWith(vm string, offset int64) bool {
	return h.beat.Routed > offset && h.beat.InFlight[vm] == 0
}
