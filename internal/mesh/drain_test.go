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

func TestMain(m *testing.M) { fuzz.Main(m, 6000, 60) }

const (
	testFresh   = 1500 * time.Millisecond
	testLongest = time.Second
	testFence   = testFresh + testLongest
)

// sender is an entry that may send work to the VM which drains.
type sender struct {
	inc      string
	state    *fleet.State // that it routes by
	evidence *PeerTracker
	logAt    time.Time // last read of the whole log
	cut      bool      // reaches neither log nor peers
	requests []time.Time
}

// drain is the model: senders over one log, answers on their way to the
// controller, the first sender, and whether it has called the VM drained.
type drain struct {
	t       rapid.TB
	now     time.Time
	log     []string
	senders []*sender
	answers []heard
	at      int64 // offset of the record that takes the VM out of service
	outage  bool
	drained bool
}

func newDrain(t rapid.TB) *drain {
	d := &drain{t: t, now: time.Unix(1_000_000, 0)}
	for i := range 5 {
		s := &sender{inc: fmt.Sprintf("e%d", i), state: fleet.NewState(), evidence: NewPeerTracker(fmt.Sprintf("e%d", i))}
		d.senders = append(d.senders, s)
		if i < 4 { // the last one is a guest
			d.write(fleet.EntryJoined{Member: fleet.Member{Name: s.inc, Incarnation: s.inc}})
		}
	}
	d.settle(true)
	d.at = int64(len(d.log))
	d.write(fleet.WaveStarted{Wave: "stands for the drain"})
	d.follow(d.senders[0])
	return d
}

func (d *drain) write(r fleet.Record) {
	data, err := fleet.Encode(r)
	assert.NilError(d.t, err)
	d.log = append(d.log, data)
}

func (d *drain) follow(s *sender) {
	for int(s.state.Next) < len(d.log) {
		i := s.state.Next
		s.state.Fold(fleet.LogRecord{Offset: i, TimeMs: d.now.UnixMilli(), OperationID: fmt.Sprint(i), Data: d.log[i]})
	}
	s.evidence.SetMembers(d.now, s.state)
}

func (d *drain) beatOf(s *sender) Heartbeat {
	b := Heartbeat{
		Incarnation: s.inc, View: s.state.View, Next: s.state.Next, RoutingOffset: s.state.Next,
		InFlight: map[string]int64{}, Guest: s.evidence.Guest(d.now, testFence),
	}
	if len(s.requests) > 0 {
		b.InFlight["vm"] = int64(len(s.requests))
	}
	return b
}

// ask sends a heartbeat from one entry to another; the controller's answers may
// arrive late.
func (d *drain) ask(from, to *sender) {
	if from == to || from.cut || to.cut {
		return
	}
	if !to.state.IsMember(from.inc) {
		to.evidence.NoteGuest(d.now)
	}
	answer := d.beatOf(to)
	if from == d.senders[0] {
		d.answers = append(d.answers, heard{at: d.now, beat: answer})
		return
	}
	from.evidence.Record(d.now, answer)
}

// settle lets all senders that are not cut off hear each other.
func (d *drain) settle(follow bool) {
	for _, s := range d.senders {
		if follow && !s.cut {
			d.follow(s)
		}
	}
	for _, a := range d.senders {
		for _, b := range d.senders {
			d.ask(a, b)
		}
	}
}

// fresh is Mesh.refresh without its clocks.
func (d *drain) fresh(s *sender) bool {
	majority := s.evidence.MajorityAt(d.now, s.state.View, s.state.Next, s.state.SortedMembers())
	return d.now.Sub(s.logAt) < testFresh || d.now.Sub(majority) < testFresh
}

func (d *drain) any(t *rapid.T) *sender {
	return d.senders[rapid.IntRange(0, len(d.senders)-1).Draw(t, "sender")]
}

// pass lets time pass; requests end at their deadline at the latest.
func (d *drain) pass(by time.Duration) {
	d.now = d.now.Add(by)
	for _, s := range d.senders {
		var still []time.Time
		for _, end := range s.requests {
			if end.After(d.now) {
				still = append(still, end)
			}
		}
		s.requests = still
	}
}

// check is the oracle: once the controller calls the VM drained, no entry has
// work there.
func (d *drain) check(t *rapid.T) {
	c := d.senders[0]
	if !d.drained && len(c.requests) == 0 {
		d.drained = c.evidence.Drained(d.now, "vm", d.at, c.state.SortedMembers(), testFence)
	}
	for _, s := range d.senders {
		assert.Assert(t, !d.drained || len(s.requests) == 0, "%s has work on a drained VM", s.inc)
	}
}

// TestDrainedVMGetsNoWork lets entries lag, lose touch, be removed while they
// live, serve as guests and finish their requests in any order, with outages of
// the log and late answers.
func TestDrainedVMGetsNoWork(t *testing.T) {
	declared := 0
	rapid.Check(t, func(t *rapid.T) {
		d := newDrain(t)
		t.Repeat(map[string]func(*rapid.T){
			"": d.check,
			"send": func(t *rapid.T) {
				s := d.any(t)
				if s.state.Next <= d.at && d.fresh(s) {
					assert.Assert(t, !d.drained, "%s sends work to a drained VM", s.inc)
					s.requests = append(s.requests, d.now.Add(testLongest))
				}
			},
			"read log": func(t *rapid.T) {
				if s := d.any(t); !s.cut && !d.outage {
					d.follow(s)
					s.logAt = d.now
				}
			},
			"relay": func(t *rapid.T) {
				if s := d.any(t); !s.cut {
					d.follow(s)
				}
			},
			"ask":      func(t *rapid.T) { d.ask(d.any(t), d.any(t)) },
			"settle":   func(*rapid.T) { d.settle(false) },
			"catch up": func(*rapid.T) { d.settle(true) },
			"answers": func(*rapid.T) {
				for _, h := range d.answers {
					d.senders[0].evidence.Record(h.at, h.beat)
				}
				d.answers = nil
			},
			"finish": func(t *rapid.T) { d.any(t).requests = nil },
			"cut": func(t *rapid.T) {
				s := d.any(t)
				s.cut = !s.cut && s != d.senders[0]
			},
			"outage": func(*rapid.T) { d.outage = !d.outage },
			"remove": func(t *rapid.T) {
				if s := d.any(t); !d.outage && s != d.senders[0] {
					d.write(fleet.EntryLeft{Name: s.inc, Incarnation: s.inc})
				}
			},
			"wait":      func(t *rapid.T) { d.pass(time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond) },
			"wait long": func(*rapid.T) { d.pass(testFence + time.Millisecond) },
		})
		if d.drained {
			declared++
		}
	})
	assert.Assert(t, declared > 100, "only %d runs came to a drained VM", declared)
}

func TestEvidenceIsDatedByItsQuestion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	members := []fleet.Member{{Name: "a", Incarnation: "a"}, {Name: "b", Incarnation: "b"}, {Name: "c", Incarnation: "c"}}
	beat := func(name string, view, next int64) Heartbeat {
		return Heartbeat{Incarnation: name, View: view, Next: next}
	}
	tests := []struct {
		name  string
		heard []heard
		want  time.Time
	}{
		{"alone of three", nil, time.Time{}},
		{"one other", []heard{{now.Add(-time.Second), beat("b", 5, 9)}}, now.Add(-time.Second)},
		{"another view", []heard{{now, beat("b", 6, 9)}}, time.Time{}},
		{"one that is ahead", []heard{{now, beat("b", 5, 10)}}, time.Time{}},
		{"the newer of two", []heard{{now.Add(-time.Second), beat("b", 5, 9)}, {now.Add(-time.Minute), beat("c", 5, 9)}}, now.Add(-time.Second)},
		{"an older answer that comes late", []heard{{now, beat("b", 6, 9)}, {now.Add(-time.Second), beat("b", 5, 9)}}, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := NewPeerTracker("a")
			for _, h := range tt.heard {
				e.Record(h.at, h.beat)
			}
			assert.Equal(t, e.MajorityAt(now, 5, 9, members), tt.want)
		})
	}
}

// controllerHears lets the controller catch up and ask every member.
func (d *drain) controllerHears() bool {
	c := d.senders[0]
	d.follow(c)
	for _, s := range d.senders {
		if c.state.IsMember(s.inc) {
			d.ask(c, s)
		}
	}
	for _, h := range d.answers {
		c.evidence.Record(h.at, h.beat)
	}
	d.answers = nil
	return c.evidence.Drained(d.now, "vm", d.at, c.state.SortedMembers(), testFence)
}

// An entry is cut off with a request under way and is removed.
func TestTraceRemovedEntryFinishesFirst(t *testing.T) {
	d := newDrain(t)
	d.pass(testFence + time.Millisecond) // past what was answered at the start
	d.senders[1].cut = true
	d.write(fleet.EntryLeft{Name: "e1", Incarnation: "e1"})
	d.follow(d.senders[2])
	d.follow(d.senders[3])
	assert.Equal(t, d.controllerHears(), false, "e1 may go on for its freshness and a request")
	d.pass(testFence)
	assert.Equal(t, d.controllerHears(), false)
	d.pass(time.Millisecond)
	assert.Equal(t, d.controllerHears(), true)
}

// A guest is current by the members that have not folded the drain yet.
func TestTraceGuestFinishesFirst(t *testing.T) {
	d := newDrain(t)
	d.pass(testFence + time.Millisecond) // past what was answered at the start
	guest := d.senders[4]
	for _, s := range d.senders[1:4] {
		d.ask(guest, s)
	}
	assert.Equal(t, d.fresh(guest), true)
	for _, s := range d.senders[1:4] {
		d.follow(s)
	}
	assert.Equal(t, d.controllerHears(), false, "the guest may have work on the VM")
	d.pass(testFence + time.Millisecond)
	assert.Equal(t, d.fresh(guest), false)
	assert.Equal(t, d.controllerHears(), true)
}

// The only member has answered a guest itself.
func TestTraceOnlyMemberHasAGuest(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	e := NewPeerTracker("c")
	members := []fleet.Member{{Name: "c", Incarnation: "c"}}
	e.NoteGuest(now)
	assert.Equal(t, e.Drained(now.Add(testFence), "vm", 1, members, testFence), false)
	assert.Equal(t, e.Drained(now.Add(testFence+time.Millisecond), "vm", 1, members, testFence), true)
}
