package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/fuzz"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// TestMain sets the defaults for rapid: 6000 checks per property, with 60 steps on average.
func TestMain(m *testing.M) { fuzz.Main(m, 6000, 60) }

const (
	testFreshness      = 1500 * time.Millisecond
	testRequestTimeout = time.Second
	testQuiesceTime    = testFreshness + testRequestTimeout
)

// simEntry models an entry that may send work to the VM that is being drained.
type simEntry struct {
	incarnation string
	state       *fleet.State // folded from the log; requests are routed by it
	peers       *PeerTracker
	logReadAt   time.Time   // when it last read the log to its end
	isolated    bool        // reaches neither the log nor its peers
	requests    []time.Time // deadlines of its requests in flight on the VM
}

// drainModel models entries with a common log and the drain of one VM. The first entry
// is the controller, which decides whether the VM is drained. Replies to its heartbeats
// are delayed. The last entry is not a member.
type drainModel struct {
	t           rapid.TB
	now         time.Time
	log         []string
	entries     []*simEntry
	lateReplies []heartbeatReply // not delivered to the controller yet
	drainOffset int64            // offset of the record that takes the VM out of service
	outage      bool             // the log cannot be read or appended to
	drained     bool             // the controller has decided that the VM is drained
}

func newDrainModel(t rapid.TB) *drainModel {
	d := &drainModel{t: t, now: time.Unix(1_000_000, 0)}
	for i := range 5 {
		s := &simEntry{incarnation: fmt.Sprintf("e%d", i), state: fleet.NewState(), peers: NewPeerTracker(fmt.Sprintf("e%d", i))}
		d.entries = append(d.entries, s)
		if i < 4 { // the last one is not a member
			d.write(fleet.EntryJoined{Member: fleet.Member{Name: s.incarnation, Incarnation: s.incarnation}})
		}
	}
	d.exchangeAll(true)
	d.drainOffset = int64(len(d.log))
	d.write(fleet.WaveStarted{Wave: "stands for the drain"}) // only the offset of the record matters here
	d.catchUp(d.entries[0])
	return d
}

func (d *drainModel) write(r fleet.Record) {
	data, err := fleet.Encode(r)
	assert.NilError(d.t, err)
	d.log = append(d.log, data)
}

// catchUp lets an entry fold all records of the log that it has not folded yet.
func (d *drainModel) catchUp(s *simEntry) {
	for int(s.state.Next) < len(d.log) {
		i := s.state.Next
		s.state.Fold(fleet.LogRecord{Offset: i, TimeMs: d.now.UnixMilli(), OperationID: fmt.Sprint(i), Data: d.log[i]})
	}
	s.peers.SetMembers(d.now, s.state)
}

func (d *drainModel) heartbeatOf(s *simEntry) Heartbeat {
	hb := Heartbeat{
		Incarnation: s.incarnation, View: s.state.View, NextOffset: s.state.Next, RoutingOffset: s.state.Next,
		InFlight: map[string]int64{}, RepliedToNonMember: s.peers.RepliedToNonMember(d.now, testQuiesceTime),
	}
	if len(s.requests) > 0 {
		hb.InFlight["vm"] = int64(len(s.requests))
	}
	return hb
}

// exchangeHeartbeat sends a heartbeat from one entry to another. Replies to the
// controller are queued, so that they may arrive late.
func (d *drainModel) exchangeHeartbeat(from, to *simEntry) {
	if from == to || from.isolated || to.isolated {
		return
	}
	if !to.state.IsMember(from.incarnation) {
		to.peers.RecordNonMember(d.now)
	}
	reply := d.heartbeatOf(to)
	if from == d.entries[0] {
		d.lateReplies = append(d.lateReplies, heartbeatReply{sentAt: d.now, heartbeat: reply})
		return
	}
	from.peers.Record(d.now, reply)
}

// exchangeAll exchanges heartbeats between all entries that are not isolated. If catchUp
// is set, they first fold all records of the log.
func (d *drainModel) exchangeAll(catchUp bool) {
	for _, s := range d.entries {
		if catchUp && !s.isolated {
			d.catchUp(s)
		}
	}
	for _, a := range d.entries {
		for _, b := range d.entries {
			d.exchangeHeartbeat(a, b)
		}
	}
}

// fresh models Mesh.updateFreshness with the simulated clock.
func (d *drainModel) fresh(s *simEntry) bool {
	majority := s.peers.MajorityAt(d.now, s.state.View, s.state.Next, s.state.SortedMembers())
	return d.now.Sub(s.logReadAt) < testFreshness || d.now.Sub(majority) < testFreshness
}

func (d *drainModel) anyEntry(t *rapid.T) *simEntry {
	return d.entries[rapid.IntRange(0, len(d.entries)-1).Draw(t, "sender")]
}

// advance advances the clock and ends the requests that reach their deadline.
func (d *drainModel) advance(by time.Duration) {
	d.now = d.now.Add(by)
	for _, s := range d.entries {
		var unfinished []time.Time
		for _, end := range s.requests {
			if end.After(d.now) {
				unfinished = append(unfinished, end)
			}
		}
		s.requests = unfinished
	}
}

// check verifies that no entry has work on the VM once the controller has decided that
// it is drained.
func (d *drainModel) check(t *rapid.T) {
	c := d.entries[0]
	if !d.drained && len(c.requests) == 0 {
		d.drained = c.peers.Drained(d.now, "vm", d.drainOffset, c.state.SortedMembers(), testQuiesceTime)
	}
	for _, s := range d.entries {
		assert.Assert(t, !d.drained || len(s.requests) == 0, "%s has work on a drained VM", s.incarnation)
	}
}

// TestDrainedVMGetsNoWork guards against a VM that counts as drained while an entry still
// sends work to it or has work on it. Entries lag behind the log, are isolated, are
// removed while alive, serve as non-members and finish requests in any order, with
// outages of the log and late heartbeat replies. The VM must be drained in enough runs,
// since the checks are vacuous in all others. The tests named TestTrace run one fixed
// sequence of events instead.
func TestDrainedVMGetsNoWork(t *testing.T) {
	drainedRuns := 0
	rapid.Check(t, func(t *rapid.T) {
		d := newDrainModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": d.check,
			"send": func(t *rapid.T) {
				s := d.anyEntry(t)
				if s.state.Next <= d.drainOffset && d.fresh(s) {
					assert.Assert(t, !d.drained, "%s sends work to a drained VM", s.incarnation)
					s.requests = append(s.requests, d.now.Add(testRequestTimeout))
				}
			},
			"read log": func(t *rapid.T) {
				if s := d.anyEntry(t); !s.isolated && !d.outage {
					d.catchUp(s)
					s.logReadAt = d.now
				}
			},
			"relay": func(t *rapid.T) { // an entry fetches records from a peer, which does not count as a read of the log
				if s := d.anyEntry(t); !s.isolated {
					d.catchUp(s)
				}
			},
			"ask":      func(t *rapid.T) { d.exchangeHeartbeat(d.anyEntry(t), d.anyEntry(t)) }, // one heartbeat call
			"settle":   func(*rapid.T) { d.exchangeAll(false) },                                // heartbeat calls between all entries
			"catch up": func(*rapid.T) { d.exchangeAll(true) },
			"answers": func(*rapid.T) { // the late replies reach the controller
				for _, r := range d.lateReplies {
					d.entries[0].peers.Record(r.sentAt, r.heartbeat)
				}
				d.lateReplies = nil
			},
			"finish": func(t *rapid.T) { d.anyEntry(t).requests = nil },
			"cut": func(t *rapid.T) { // an entry is isolated, or no longer isolated
				s := d.anyEntry(t)
				s.isolated = !s.isolated && s != d.entries[0]
			},
			"outage": func(*rapid.T) { d.outage = !d.outage },
			"remove": func(t *rapid.T) {
				if s := d.anyEntry(t); !d.outage && s != d.entries[0] {
					d.write(fleet.EntryLeft{Name: s.incarnation, Incarnation: s.incarnation})
				}
			},
			"wait":      func(t *rapid.T) { d.advance(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond) },
			"wait long": func(*rapid.T) { d.advance(testQuiesceTime + time.Millisecond) },
		})
		if d.drained {
			drainedRuns++
		}
	})
	assert.Assert(t, drainedRuns > 100, "only %d runs reached a drained VM", drainedRuns)
}

// TestMajorityAtCountsFromSendTime guards against replies that count as newer than the
// heartbeat they answer, or that count although they show another view or an entry that
// is ahead in the log.
func TestMajorityAtCountsFromSendTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	members := []fleet.Member{{Name: "a", Incarnation: "a"}, {Name: "b", Incarnation: "b"}, {Name: "c", Incarnation: "c"}}
	heartbeat := func(name string, view, next int64) Heartbeat {
		return Heartbeat{Incarnation: name, View: view, NextOffset: next}
	}
	tests := []struct {
		name    string
		replies []heartbeatReply
		want    time.Time
	}{
		{"alone of three", nil, time.Time{}},
		{"one other", []heartbeatReply{{now.Add(-time.Second), heartbeat("b", 5, 9)}}, now.Add(-time.Second)},
		{"another view", []heartbeatReply{{now, heartbeat("b", 6, 9)}}, time.Time{}},
		{"one that is ahead", []heartbeatReply{{now, heartbeat("b", 5, 10)}}, time.Time{}},
		{"the newer of two", []heartbeatReply{{now.Add(-time.Second), heartbeat("b", 5, 9)}, {now.Add(-time.Minute), heartbeat("c", 5, 9)}}, now.Add(-time.Second)},
		{"an older answer that comes late", []heartbeatReply{{now, heartbeat("b", 6, 9)}, {now.Add(-time.Second), heartbeat("b", 5, 9)}}, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewPeerTracker("a")
			for _, r := range tt.replies {
				tracker.Record(r.sentAt, r.heartbeat)
			}
			assert.Equal(t, tracker.MajorityAt(now, 5, 9, members), tt.want)
		})
	}
}

// controllerSeesDrained lets the controller catch up and exchange heartbeats with every
// member, and reports whether it then considers the VM drained.
func (d *drainModel) controllerSeesDrained() bool {
	c := d.entries[0]
	d.catchUp(c)
	for _, s := range d.entries {
		if c.state.IsMember(s.incarnation) {
			d.exchangeHeartbeat(c, s)
		}
	}
	for _, r := range d.lateReplies {
		c.peers.Record(r.sentAt, r.heartbeat)
	}
	d.lateReplies = nil
	return c.peers.Drained(d.now, "vm", d.drainOffset, c.state.SortedMembers(), testQuiesceTime)
}

// TestTraceRemovedEntryFinishesFirst guards against a VM that counts as drained before
// the deadline of a request that an isolated entry may have had in flight when it was
// removed.
func TestTraceRemovedEntryFinishesFirst(t *testing.T) {
	d := newDrainModel(t)
	d.advance(testQuiesceTime + time.Millisecond) // so that replies from the setup have expired
	d.entries[1].isolated = true
	d.write(fleet.EntryLeft{Name: "e1", Incarnation: "e1"})
	d.catchUp(d.entries[2])
	d.catchUp(d.entries[3])
	assert.Equal(t, d.controllerSeesDrained(), false, "e1 may serve for its freshness time plus one request timeout")
	d.advance(testQuiesceTime)
	assert.Equal(t, d.controllerSeesDrained(), false)
	d.advance(time.Millisecond)
	assert.Equal(t, d.controllerSeesDrained(), true)
}

// TestTraceNonMemberFinishesFirst guards against a VM that counts as drained while a
// non-member may send work to it. The non-member is fresh because of replies from members
// that had not yet folded the record that takes the VM out of service.
func TestTraceNonMemberFinishesFirst(t *testing.T) {
	d := newDrainModel(t)
	d.advance(testQuiesceTime + time.Millisecond) // so that replies from the setup have expired
	nonMember := d.entries[4]
	for _, s := range d.entries[1:4] {
		d.exchangeHeartbeat(nonMember, s)
	}
	assert.Equal(t, d.fresh(nonMember), true)
	for _, s := range d.entries[1:4] {
		d.catchUp(s)
	}
	assert.Equal(t, d.controllerSeesDrained(), false, "the non-member may have work on the VM")
	d.advance(testQuiesceTime + time.Millisecond)
	assert.Equal(t, d.fresh(nonMember), false)
	assert.Equal(t, d.controllerSeesDrained(), true)
}

// TestTraceOnlyMemberRepliedToNonMember guards against a VM that counts as drained although
// the controller, as the only member, has itself replied to a non-member, which may then
// be fresh and send work to the VM.
func TestTraceOnlyMemberRepliedToNonMember(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tracker := NewPeerTracker("c")
	members := []fleet.Member{{Name: "c", Incarnation: "c"}}
	tracker.RecordNonMember(now)
	assert.Equal(t, tracker.Drained(now.Add(testQuiesceTime), "vm", 1, members, testQuiesceTime), false)
	assert.Equal(t, tracker.Drained(now.Add(testQuiesceTime+time.Millisecond), "vm", 1, members, testQuiesceTime), true)
}
