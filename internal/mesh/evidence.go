// Package mesh keeps an entry in touch with the others: heartbeats, the evidence
// they give, relayed log records, membership, claims and load digests.
package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Heartbeat is what an entry answers to a heartbeat.
type Heartbeat struct {
	_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Incarnation   string
	View          int64
	Next          int64              // next log offset to be folded
	RoutingOffset int64              // offset of the state that requests are routed by; read before InFlight
	Demand        map[string]int     // requests that run or wait, by pool; pools without any are left out
	Offered       map[string]float32 // slots that arriving requests would fill, by pool; small ones are left out
	InFlight      map[string]int64   // requests in flight on VMs that are out of service; VMs without any are left out
	Guest         bool               // an entry that is no member was answered within the fence
}

// heard is the last proof that a peer gave of itself. It is dated by when this
// entry sent the heartbeat that was answered, so that an answer read late, after
// a pause, proves nothing about the present.
type heard struct {
	at   time.Time
	beat Heartbeat
}

// PeerTracker is what an entry knows of the others, by incarnation. It is not safe
// for concurrent use.
type PeerTracker struct {
	self    string
	heard   map[string]heard
	since   map[string]time.Time // when a member that was never heard became one
	removed map[string]time.Time // when this entry learned that another is no member any more
	guestAt time.Time            // when an entry that is no member was last answered
}

// NewPeerTracker returns an empty Evidence of the entry with an incarnation.
func NewPeerTracker(self string) *PeerTracker {
	return &PeerTracker{self: self, heard: map[string]heard{}, since: map[string]time.Time{}, removed: map[string]time.Time{}}
}

// Record takes in the answer to a heartbeat that was sent at a time.
func (e *PeerTracker) Record(sent time.Time, b Heartbeat) {
	if old := e.heard[b.Incarnation]; !sent.Before(old.at) {
		e.heard[b.Incarnation] = heard{at: sent, beat: b}
	}
}

// Last returns the newest beat of a peer and its date.
func (e *PeerTracker) Last(incarnation string) (Heartbeat, time.Time) {
	h := e.heard[incarnation]
	return h.beat, h.at
}

// removalKept is how long a removal is remembered, more than any fence.
const removalKept = 5 * time.Minute

// SetMembers follows the membership.
func (e *PeerTracker) SetMembers(now time.Time, s *fleet.State) {
	for _, m := range s.Members {
		if _, ok := e.since[m.Incarnation]; !ok {
			e.since[m.Incarnation] = now
		}
		delete(e.removed, m.Incarnation)
	}
	for _, p := range s.Past {
		for _, m := range p.Members {
			if _, known := e.removed[m.Incarnation]; !known && !s.IsMember(m.Incarnation) {
				e.removed[m.Incarnation] = now
			}
		}
	}
	maps.DeleteFunc(e.since, func(inc string, _ time.Time) bool { return !s.IsMember(inc) })
	maps.DeleteFunc(e.heard, func(inc string, h heard) bool { return !s.IsMember(inc) && now.Sub(h.at) > removalKept })
	maps.DeleteFunc(e.removed, func(_ string, at time.Time) bool { return now.Sub(at) > removalKept })
}

// NoteGuest remembers that an entry which is no member was answered.
func (e *PeerTracker) NoteGuest(now time.Time) { e.guestAt = now }

// Guest reports whether an entry that is no member was answered within the fence.
func (e *PeerTracker) Guest(now time.Time, fence time.Duration) bool {
	return !e.guestAt.IsZero() && now.Sub(e.guestAt) <= fence
}

// MajorityAt returns the newest time at which a majority of the view's members,
// this entry included if it is one, had shown to be in the view and to be no
// further in the log than a given offset. It is zero if there was none.
func (e *PeerTracker) MajorityAt(now time.Time, view, next int64, members []fleet.Member) time.Time {
	var times []time.Time
	for _, m := range members {
		h := e.heard[m.Incarnation]
		switch {
		case m.Incarnation == e.self:
			times = append(times, now)
		case h.beat.View == view && h.beat.Next <= next && !h.at.IsZero():
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
func (e *PeerTracker) Witnesses(since time.Time, view int64, members []fleet.Member) []string {
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
func (e *PeerTracker) Silent(since time.Time, members []fleet.Member) []fleet.Member {
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
func (e *PeerTracker) Demands(since time.Time, pool string) []int {
	var out []int
	for inc, h := range e.heard {
		if inc != e.self && h.at.After(since) {
			out = append(out, h.beat.Demand[pool])
		}
	}
	return out
}

// Offered returns the slots that the other entries' arriving requests would fill,
// by pool, as far as they were heard since a time.
func (e *PeerTracker) Offered(since time.Time) map[string]float64 {
	out := map[string]float64{}
	for inc, h := range e.heard {
		if inc == e.self || !h.at.After(since) {
			continue
		}
		for pool, slots := range h.beat.Offered {
			out[pool] += float64(slots)
		}
	}
	return out
}

// Drained reports whether no other entry sends work to the VM any more, nor has
// any there, since the record at the offset took it out of service. Every member
// has to say so, and that it has answered no guest within the fence: an entry
// that is no member goes on only by the answers of a majority that is not ahead
// of it. A removed entry counts as done once the fence has passed. The fence is
// the time for which an entry goes on without proof that its state is current,
// and the longest request.
func (e *PeerTracker) Drained(now time.Time, vm string, offset int64, members []fleet.Member, fence time.Duration) bool {
	if e.Guest(now, fence) {
		return false
	}
	for _, m := range members {
		h := e.heard[m.Incarnation]
		if m.Incarnation != e.self && (h.beat.Guest || !h.doneWith(vm, offset)) {
			return false
		}
	}
	for _, at := range e.removed {
		if now.Sub(at) <= fence {
			return false
		}
	}
	return true
}

func (h heard) doneWith(vm string, offset int64) bool {
	return h.beat.RoutingOffset > offset && h.beat.InFlight[vm] == 0
}
