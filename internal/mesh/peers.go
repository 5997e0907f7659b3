package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Heartbeat is an entry's state as sent in the reply to a heartbeat call.
type Heartbeat struct {
	_msgpack           struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Incarnation        string
	View               int64              // of the entry's claim table
	NextOffset         int64              // next log offset to be folded
	RoutingOffset      int64              // see Load
	Demand             map[string]int     // requests that run or wait, by pool; pools without any are omitted
	Offered            map[string]float32 // offered load in slots, by pool; small values are omitted
	InFlight           map[string]int64   // requests in flight on VMs that are out of service; VMs without any are omitted
	RepliedToNonMember bool               // the entry replied to a non-member's heartbeat call within the quiesce time, see Mesh.quiesceTime
}

// heartbeatReply is the last reply of a peer. Its time is when this entry sent the call,
// so that a reply read late, after a pause of the process, does not count as recent.
type heartbeatReply struct {
	sentAt    time.Time
	heartbeat Heartbeat
}

// PeerTracker tracks the other entries by their heartbeats and the membership. Its maps
// are by incarnation. It is not safe for concurrent use.
type PeerTracker struct {
	self             string
	replies          map[string]heartbeatReply
	memberSince      map[string]time.Time // when this entry learned that a member has joined
	removedAt        map[string]time.Time // when this entry learned that an entry is no longer a member
	nonMemberReplyAt time.Time            // when this entry last replied to a non-member's heartbeat
}

// NewPeerTracker returns an empty tracker for the entry with the given incarnation.
func NewPeerTracker(self string) *PeerTracker {
	return &PeerTracker{self: self, replies: map[string]heartbeatReply{}, memberSince: map[string]time.Time{}, removedAt: map[string]time.Time{}}
}

// Record records the reply to a heartbeat call, unless it has recorded the reply to a
// later call.
func (t *PeerTracker) Record(sent time.Time, hb Heartbeat) {
	if old := t.replies[hb.Incarnation]; !sent.Before(old.sentAt) {
		t.replies[hb.Incarnation] = heartbeatReply{sentAt: sent, heartbeat: hb}
	}
}

// LastHeartbeat returns the newest heartbeat of a peer and the time of its call.
func (t *PeerTracker) LastHeartbeat(incarnation string) (Heartbeat, time.Time) {
	r := t.replies[incarnation]
	return r.heartbeat, r.sentAt
}

// removalRetention is how long removals, and replies of former members, are kept. It must
// exceed any quiesce time.
const removalRetention = 5 * time.Minute

// SetMembers updates the tracker to the membership of a state.
func (t *PeerTracker) SetMembers(now time.Time, s *fleet.State) {
	for _, m := range s.Members {
		if _, ok := t.memberSince[m.Incarnation]; !ok {
			t.memberSince[m.Incarnation] = now
		}
		delete(t.removedAt, m.Incarnation)
	}
	for _, p := range s.Past {
		for _, m := range p.Members {
			if _, known := t.removedAt[m.Incarnation]; !known && !s.IsMember(m.Incarnation) {
				t.removedAt[m.Incarnation] = now
			}
		}
	}
	maps.DeleteFunc(t.memberSince, func(inc string, _ time.Time) bool { return !s.IsMember(inc) })
	maps.DeleteFunc(t.replies, func(inc string, r heartbeatReply) bool {
		return !s.IsMember(inc) && now.Sub(r.sentAt) > removalRetention
	})
	maps.DeleteFunc(t.removedAt, func(_ string, at time.Time) bool { return now.Sub(at) > removalRetention })
}

// RecordNonMember records that this entry replies to a non-member's heartbeat call.
func (t *PeerTracker) RecordNonMember(now time.Time) { t.nonMemberReplyAt = now }

// RepliedToNonMember reports whether this entry has replied to a non-member's heartbeat
// call within the quiesce time.
func (t *PeerTracker) RepliedToNonMember(now time.Time, quiesceTime time.Duration) bool {
	return !t.nonMemberReplyAt.IsZero() && now.Sub(t.nonMemberReplyAt) <= quiesceTime
}

// MajorityAt returns the latest time such that a majority of the view's members have given
// proof, at that time or later, that the view and the offset are current. It returns zero
// if there is no majority. A member's proof is a reply that shows the same view and a
// NextOffset of at most maxOffset; its time is when the heartbeat call was sent. If this
// entry is a member, its own proof counts with the time now.
func (t *PeerTracker) MajorityAt(now time.Time, view, maxOffset int64, members []fleet.Member) time.Time {
	var times []time.Time
	for _, m := range members {
		r := t.replies[m.Incarnation]
		switch {
		case m.Incarnation == t.self:
			times = append(times, now)
		case r.heartbeat.View == view && r.heartbeat.NextOffset <= maxOffset && !r.sentAt.IsZero():
			times = append(times, r.sentAt)
		}
	}
	need := len(members)/2 + 1
	if len(members) == 0 || len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1]
}

// Witnesses returns the members whose replies to heartbeats sent after a time show the
// given view. It includes this entry if it is a member.
func (t *PeerTracker) Witnesses(since time.Time, view int64, members []fleet.Member) []string {
	var out []string
	for _, m := range members {
		r := t.replies[m.Incarnation]
		if m.Incarnation == t.self || (r.heartbeat.View == view && r.sentAt.After(since)) {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// Silent returns the members that joined before a time and have not replied to any
// heartbeat sent since then.
func (t *PeerTracker) Silent(since time.Time, members []fleet.Member) []fleet.Member {
	var out []fleet.Member
	for _, m := range members {
		last := t.replies[m.Incarnation].sentAt
		if joined := t.memberSince[m.Incarnation]; joined.After(last) {
			last = joined
		}
		if m.Incarnation != t.self && last.Before(since) {
			out = append(out, m)
		}
	}
	return out
}

// Demands returns the demand on a pool of each other entry that has replied since a
// time.
func (t *PeerTracker) Demands(since time.Time, pool string) []int {
	var out []int
	for inc, r := range t.replies {
		if inc != t.self && r.sentAt.After(since) {
			out = append(out, r.heartbeat.Demand[pool])
		}
	}
	return out
}

// Offered returns the offered load, in slots by pool, of the other entries that have
// replied since a time.
func (t *PeerTracker) Offered(since time.Time) map[string]float64 {
	out := map[string]float64{}
	for inc, r := range t.replies {
		if inc == t.self || !r.sentAt.After(since) {
			continue
		}
		for pool, slots := range r.heartbeat.Offered {
			out[pool] += float64(slots)
		}
	}
	return out
}

// Drained reports whether every other entry has stopped sending requests to the VM and
// has none in flight on it. The offset is that of the record that took the VM out of
// service. The conditions are:
//   - Every other member must have reported both for itself.
//   - No member may have replied to a non-member within the quiesce time. If neither of
//     them had folded the record, the reply may have kept the non-member fresh, so that it
//     still sends requests to the VM.
//   - The quiesce time must have passed since any entry was removed. It is the time for
//     which an entry keeps serving without proof that its state is current, plus the
//     longest request timeout.
func (t *PeerTracker) Drained(now time.Time, vm string, offset int64, members []fleet.Member, quiesceTime time.Duration) bool {
	if t.RepliedToNonMember(now, quiesceTime) {
		return false
	}
	for _, m := range members {
		r := t.replies[m.Incarnation]
		if m.Incarnation != t.self && (r.heartbeat.RepliedToNonMember || !r.hasDrained(vm, offset)) {
			return false
		}
	}
	for _, at := range t.removedAt {
		if now.Sub(at) <= quiesceTime {
			return false
		}
	}
	return true
}

// hasDrained reports whether the peer routes by a state after the offset and has no
// request in flight on the VM.
func (r heartbeatReply) hasDrained(vm string, offset int64) bool {
	return r.heartbeat.RoutingOffset > offset && r.heartbeat.InFlight[vm] == 0
}
