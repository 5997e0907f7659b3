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

// The tests named TestTrace run one fixed sequence of events in the model of
// TestRequestRunsAtMostOnce.

// tryRequest sends a new copy of a request to a node. Once the copy has a majority of
// grants, tryRequest dispatches it and returns Granted. As soon as a holder replies Taken,
// it returns Taken. Without a majority it returns the last reply, or Stale if that was
// Granted or if no holder is reachable.
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

// keyHeldBy returns a key with the given two nodes among its three holders in n's
// current view.
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

// isolate moves nodes to side 1, where they reach each other, but neither the log nor the
// other nodes.
func (w *world) isolate(indexes ...int) {
	for _, i := range indexes {
		w.nodes[i].side, w.nodes[i].logUnreachable = 1, true
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		n.table.Expire(w.now)
	}
	w.settle()
}

// TestTraceHoldersCutOffStopGranting guards against a request that runs on both sides of
// a partition. Two of an id's holders are cut off. The other members remove them, and the
// new holders grant the id again after the retention. The two must have stopped granting
// by then.
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

// TestTraceMinorityCannotRemoveTheRest guards against a minority that removes the
// majority one by one, with witnesses that confirmed an earlier view. Both sides could
// then grant the same id.
func TestTraceMinorityCannotRemoveTheRest(t *testing.T) {
	w := newWorld(t)
	key := w.keyHeldBy(w.nodes[0], "e0", "e1")
	earlierView := w.nodes[3].state.View
	var witnesses []string
	for _, i := range []int{2, 3, 4} {
		witnesses = append(witnesses, w.nodes[i].incarnation)
	}
	w.isolate(0, 1, 2)
	for _, i := range []int{0, 1} {
		w.write(fleet.EntryLeft{Name: w.nodes[i].name, Incarnation: w.nodes[i].incarnation, BasedOn: earlierView, Witnesses: witnesses})
	}
	assert.Equal(t, len(w.logState.Members), 4, "only one removal; the second is based on an earlier view")
	w.advance(claim.Retention + time.Second)
	assert.Equal(t, w.tryRequest(w.nodes[0], key), claim.Granted, "three of five still grant in their view")
	assert.Assert(t, w.tryRequest(w.nodes[3], key) != claim.Granted)
}

// TestTraceRequestInEarlierView guards against a grant in a view that the holder has
// sealed. An entry that lags behind the log requests it. The test also guards against a
// new view that refuses an id although only one of its three earlier holders is gone.
func TestTraceRequestInEarlierView(t *testing.T) {
	w := newWorld(t)
	laggingNode := w.nodes[4]
	laggingNode.lagging = true
	key := w.keyHeldBy(laggingNode, "e0", "e1")
	w.nodes[2].up = false
	w.propose(w.nodes[3], w.nodes[2])
	w.settle()
	assert.Equal(t, w.tryRequest(w.nodes[3], key), claim.Granted)
	other := w.keyHeldBy(laggingNode, "e2", "e3")
	assert.Equal(t, w.tryRequest(w.nodes[3], other), claim.Granted, "two of its three holders have transferred their claims")
	assert.Equal(t, laggingNode.state.View < w.nodes[3].state.View, true)
	req := claim.GrantRequest{Key: "fresh", Owner: laggingNode.incarnation, Token: 99, View: laggingNode.state.View}
	assert.Equal(t, w.nodes[0].table.RequestGrant(w.now, req, true).Reply, claim.OtherView)
}

// TestTraceTransferFromEarlierView guards against a restarted holder that grants an id
// twice, because it merged a transfer that was made before its sender's last grants. It
// must wait for a transfer of the new view, which includes them.
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

// TestTraceLateRelease guards against a late release that removes the claim of a later
// copy.
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

// TestHoldersAreInTwoDataCentres guards against an id whose holders are all in one data
// centre although there are two, and against the same holder chosen twice.
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
