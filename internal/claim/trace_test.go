package claim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// tryRequest sends a new copy of a request from a node, dispatches it if it gets its
// grants, and returns the last reply.
func (w *world) tryRequest(n *node, key string) claim.Reply {
	w.token++
	c := &requestCopy{node: n, request: claim.GrantRequest{Key: key, Owner: n.incarnation, Token: w.token, View: n.state.View}, requestedAt: w.now}
	reply := claim.Stale
	c.holders = claim.Holders(n.state.SortedMembers(), key)
	for _, h := range c.holders {
		holder := w.byIncarnation(h.Incarnation)
		if holder == nil || holder.side != n.side {
			continue
		}
		if reply = holder.table.RequestGrant(w.now, c.request, w.fresh(holder)).Reply; reply == claim.Taken {
			return reply
		} else if reply == claim.Granted {
			c.granted++
		}
		if c.ready() {
			w.dispatch(c)
			return claim.Granted
		}
	}
	if reply == claim.Granted {
		return claim.Stale
	}
	return reply
}

// keyHeldBy returns a key with the given two nodes among its three holders, by a node's
// view of the membership.
func (w *world) keyHeldBy(n *node, a, b string) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("trace-%d", i)
		h := claim.Holders(n.state.SortedMembers(), key)
		names := []string{h[0].Name, h[1].Name, h[2].Name}
		if slices.Contains(names, a) && slices.Contains(names, b) {
			return key
		}
	}
}

func (w *world) isolate(names ...int) {
	for _, i := range names {
		w.nodes[i].side, w.nodes[i].cutOff = 1, true
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		n.table.Expire(w.now)
	}
	w.settle()
}

// Two of an id's holders are cut off together, and the others remove them. Once the
// retention has passed, the others grant the id again. The two must have stopped
// granting by then, or the request could run twice.
func TestTraceHoldersCutOffStopGranting(t *testing.T) {
	w := newWorld(t)
	key := w.keyHeldBy(w.nodes[0], "e0", "e1")
	w.isolate(0, 1)
	w.settle()
	w.propose(w.nodes[2], w.nodes[0])
	w.settle()
	w.propose(w.nodes[2], w.nodes[1])
	w.settle()
	assert.Equal(t, len(w.logState.Members), 3)
	assert.Equal(t, w.tryRequest(w.nodes[2], key), claim.Lost, "the grants of the two are unknown")
	w.advance(claim.Retention + time.Second)
	assert.Equal(t, w.tryRequest(w.nodes[0], key), claim.Stale)
	assert.Equal(t, w.tryRequest(w.nodes[2], key), claim.Granted)
}

// A minority must not remove a majority one by one with witnesses of an earlier view.
// It could then grant ids that the majority grants too.
func TestTraceMinorityCannotRemoveTheRest(t *testing.T) {
	w := newWorld(t)
	key := w.keyHeldBy(w.nodes[0], "e0", "e1")
	stale := w.nodes[3].state.View
	var witnesses []string
	for _, i := range []int{2, 3, 4} {
		witnesses = append(witnesses, w.nodes[i].incarnation)
	}
	w.isolate(0, 1, 2)
	for _, i := range []int{0, 1} {
		w.write(fleet.EntryLeft{Name: w.nodes[i].name, Incarnation: w.nodes[i].incarnation, BasedOn: stale, Witnesses: witnesses})
	}
	assert.Equal(t, len(w.logState.Members), 4, "only one removal; the second is based on an earlier view")
	w.advance(claim.Retention + time.Second)
	assert.Equal(t, w.tryRequest(w.nodes[0], key), claim.Granted, "three of five still grant in their view")
	assert.Assert(t, w.tryRequest(w.nodes[3], key) != claim.Granted)
}

// An entry that lags behind the log requests grants in an earlier view. Holders that
// have moved on must not grant there.
func TestTraceRequestInEarlierView(t *testing.T) {
	w := newWorld(t)
	late := w.nodes[4]
	late.behind = true
	key := w.keyHeldBy(late, "e0", "e1")
	w.nodes[2].up = false
	w.propose(w.nodes[3], w.nodes[2])
	w.settle()
	assert.Equal(t, w.tryRequest(w.nodes[3], key), claim.Granted)
	other := w.keyHeldBy(late, "e2", "e3")
	assert.Equal(t, w.tryRequest(w.nodes[3], other), claim.Granted, "its second holder has transferred its claims")
	assert.Equal(t, late.state.View < w.nodes[3].state.View, true)
	req := claim.GrantRequest{Key: "fresh", Owner: late.incarnation, Token: 99, View: late.state.View}
	assert.Equal(t, w.nodes[0].table.RequestGrant(w.now, req, true).Reply, claim.OtherView)
}

// A restarted holder receives a transfer that was made before its sender's last
// grants. It must wait for a transfer of the new view, which includes them.
func TestTraceTransferFromEarlierView(t *testing.T) {
	w := newWorld(t)
	early := w.nodes[0].table.Transfer()
	key := w.keyHeldBy(w.nodes[0], "e0", "e1")
	assert.Equal(t, w.tryRequest(w.nodes[2], key), claim.Granted)
	w.start(w.nodes[1])
	w.write(fleet.EntryJoined{Member: w.nodes[1].member()})
	for _, n := range w.nodes {
		w.catchUp(n, len(w.log))
	}
	assert.Equal(t, w.nodes[1].table.Merge(w.nodes[0].incarnation, early), false)
	req := claim.GrantRequest{Key: key, Owner: w.nodes[3].incarnation, Token: 99, View: w.logState.View}
	assert.Equal(t, w.nodes[1].table.RequestGrant(w.now, req, true).Reply, claim.Unsettled)
	w.settle()
	assert.Equal(t, w.nodes[1].table.RequestGrant(w.now, req, true).Reply, claim.Taken)
}

// A release that arrives late must not release the claim of a later copy.
func TestTraceLateRelease(t *testing.T) {
	w := newWorld(t)
	h := w.nodes[0].table
	req := claim.GrantRequest{Key: "k", Owner: "o", Token: 1, View: h.View()}
	assert.Equal(t, h.RequestGrant(w.now, req, true).Reply, claim.Granted)
	h.Release("k", "o", 1)
	req.Token = 2
	assert.Equal(t, h.RequestGrant(w.now, req, true).Reply, claim.Granted)
	h.Release("k", "o", 1)
	req.Owner, req.Token = "other", 3
	assert.Equal(t, h.RequestGrant(w.now, req, true).Reply, claim.Taken)
}

func TestHoldersAreInTwoDataCentres(t *testing.T) {
	members := []fleet.Member{
		{Name: "a", Incarnation: "a", DataCentre: "1"},
		{Name: "b", Incarnation: "b", DataCentre: "1"},
		{Name: "c", Incarnation: "c", DataCentre: "1"},
		{Name: "d", Incarnation: "d", DataCentre: "2"},
	}
	for i := range 200 {
		h := claim.Holders(members, fmt.Sprint(i))
		assert.Assert(t, h[0].DataCentre != h[1].DataCentre)
		assert.Assert(t, h[2].Name != h[0].Name && h[2].Name != h[1].Name)
	}
	assert.Equal(t, len(claim.Holders(members[:1], "k")), 1)
	assert.Equal(t, len(claim.Holders(members[:3], "k")), 3, "three holders even in one data centre")
}

func BenchmarkRequestGrant(b *testing.B) {
	h := claim.NewTable("self")
	s := fleet.NewState()
	_ = s.Apply(1, fleet.EntryJoined{Member: fleet.Member{Name: "self", Incarnation: "self"}})
	now := time.Unix(0, 0)
	h.SetMembership(now, s)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.RequestGrant(now, claim.GrantRequest{Key: fmt.Sprint(i), Owner: "o", Token: uint64(i), View: h.View()}, true)
	}
}
