package claim_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/fuzz"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	freshFor      = 1500 * time.Millisecond          // how long a member's proof that its view is current counts
	grantValidity = time.Second                      // as in package mesh; shorter than freshFor
	copyWindow    = claim.Retention - 10*time.Second // every copy of a request arrives within this time after the first, which is shorter than the retention
)

// TestMain sets the defaults for rapid: 4000 checks per property, with 60 steps on average.
func TestMain(m *testing.M) { fuzz.Main(m, 4000, 60) }

// partition assigns each node to a side, and may cut one side off from the log.
func (w *world) partition(t *rapid.T) {
	cut := rapid.IntRange(0, 2).Draw(t, "side without the log")
	for _, n := range w.nodes {
		n.side = rapid.IntRange(0, 1).Draw(t, "side")
		n.logUnreachable = n.side == cut
		n.lagging = rapid.IntRange(0, 5).Draw(t, "behind") == 0
	}
	w.settle()
}

// removeSilent lets each node that reaches the log propose to remove the members that
// it does not reach, one at a time.
func (w *world) removeSilent(*rapid.T) {
	for _, p := range w.nodes {
		for _, target := range w.nodes {
			if p.up && !p.logUnreachable && p != target && !w.reaches(p, target) {
				w.settle()
				w.propose(p, target)
			}
		}
	}
}

// attempt sends a copy, asks each holder at most once with no other event in between,
// and dispatches the copy if it gets a majority of grants.
func (w *world) attempt(t *rapid.T) {
	c := w.send(t)
	for c != nil && !c.done && !c.ready() {
		w.requestNextGrant(c)
		if c.next == 0 { // every holder was asked, and too few granted
			return
		}
	}
	if c != nil && !c.done && c.ready() {
		w.dispatch(c)
	}
}

// send starts a copy of a random request at a random node. It returns nil if the node is
// down, knows no members or has a copy of the request, or if copyWindow has passed.
func (w *world) send(t *rapid.T) *requestCopy {
	n := w.anyNode(t)
	key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key"))
	if at, ok := w.firstSent[key]; ok && w.now.Sub(at) > copyWindow {
		return nil
	}
	for _, c := range w.copies {
		if c.node == n && c.request.Owner == n.incarnation && c.request.Key == key {
			return nil
		}
	}
	if !n.up || len(n.state.Members) == 0 {
		return nil
	}
	if _, ok := w.firstSent[key]; !ok {
		w.firstSent[key] = w.now
	}
	w.token++
	c := &requestCopy{node: n, request: claim.GrantRequest{Key: key, Owner: n.incarnation, Token: w.token}, requestedAt: w.now}
	w.copies = append(w.copies, c)
	c.holders = claim.Holders(n.state.SortedMembers(), key)
	return c
}

// requestGrant asks the next holder to grant a copy. If the copy then has a majority of
// grants, it is dispatched now or later.
func (w *world) requestGrant(t *rapid.T) {
	c := w.anyCopy(t)
	if c == nil {
		return
	}
	w.requestNextGrant(c)
	if !c.done && c.ready() && rapid.Bool().Draw(t, "at once") {
		w.dispatch(c)
	}
}

// requestNextGrant asks the next holder, or skips it if it is unreachable. If the copy has
// no majority after the last holder, it starts again with the first in the node's current
// view. As on an entry, all grants of a copy belong to one view.
func (w *world) requestNextGrant(c *requestCopy) {
	if c.next == 0 {
		c.granted = 0
		c.request.View = c.node.state.View
		c.holders = claim.Holders(c.node.state.SortedMembers(), c.request.Key)
	}
	holder := w.byIncarnation(c.holders[c.next].Incarnation)
	if holder != nil && holder.side == c.node.side {
		switch holder.table.RequestGrant(w.now, c.request, w.fresh(holder)).Reply {
		case claim.Granted:
			c.granted++
		case claim.Taken:
			c.done = true
		}
	}
	if c.next++; c.next == len(c.holders) && !c.ready() {
		c.next = 0
	}
}

// release gives up a copy that has a majority of grants, instead of dispatching it, and
// sends a release of its claim to each holder.
func (w *world) release(t *rapid.T) {
	c := w.readyCopy(t)
	c.done = true
	for _, h := range c.holders {
		w.messages = append(w.messages, message{from: c.request.Owner, to: h.Incarnation, key: c.request.Key, token: c.request.Token})
	}
	for i, other := range w.copies {
		if other == c {
			w.copies = append(w.copies[:i], w.copies[i+1:]...)
			return
		}
	}
}

func (w *world) deliver(t *rapid.T) {
	if len(w.messages) == 0 {
		t.Skip("no message to deliver")
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	m := w.messages[i]
	if !rapid.Bool().Draw(t, "twice") {
		w.messages = append(w.messages[:i], w.messages[i+1:]...)
	}
	to := w.byIncarnation(m.to)
	if to == nil {
		return
	}
	if m.transfer != nil {
		to.table.Merge(m.from, m.transfer)
		return
	}
	to.table.Release(m.key, m.from, m.token)
}

// remove proposes to remove any member, silent or not. The witnesses are the members
// from which the proposer has recent heartbeats.
func (w *world) remove(t *rapid.T) {
	if p, target := w.anyNode(t), w.anyNode(t); p.up && p != target {
		w.propose(p, target)
	}
}

func (w *world) propose(p, target *node) {
	if !p.state.IsMember(target.incarnation) {
		return
	}
	members := p.state.SortedMembers()
	witnesses := p.peers.Witnesses(w.now.Add(-freshFor), p.state.View, members)
	var others []string
	for _, inc := range witnesses {
		if inc != target.incarnation {
			others = append(others, inc)
		}
	}
	if len(others) > 0 {
		w.write(fleet.EntryLeft{Name: target.name, Incarnation: target.incarnation, BasedOn: p.state.View, Witnesses: others})
	}
}

func (w *world) join(t *rapid.T) {
	n := w.anyNode(t)
	if n.up && !w.logState.IsMember(n.incarnation) {
		w.write(fleet.EntryJoined{Member: n.member()})
	}
}

// TestRequestRunsAtMostOnce guards against a request that runs twice; dispatch counts
// the runs. Copies of requests race through entries that are partitioned, lag behind the
// log, are removed while alive, killed and replaced, while messages are lost, late and
// duplicated. A copy may also be dispatched some time after it got its grants.
func TestRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":          func(t *rapid.T) { w.send(t) },
			"ask":           w.requestGrant,
			"attempt":       w.attempt,
			"attempt twice": func(t *rapid.T) { w.attempt(t); w.attempt(t) },
			"partition":     w.partition,
			"remove silent": w.removeSilent,
			"dispatch":      func(t *rapid.T) { w.dispatch(w.readyCopy(t)) },
			"refuse":        w.release,
			"deliver":       w.deliver,
			"follow": func(t *rapid.T) {
				if n := w.anyNode(t); n.up && !n.logUnreachable {
					w.catchUp(n, rapid.IntRange(0, len(w.log)).Draw(t, "up to"))
				}
			},
			"hear": func(t *rapid.T) {
				if a, b := w.anyNode(t), w.anyNode(t); w.reaches(a, b) {
					w.recordHeartbeat(a, b)
				}
			},
			"transfer": func(t *rapid.T) {
				a := w.anyNode(t)
				for _, b := range w.nodes {
					if a.up && b.up && a != b {
						w.messages = append(w.messages, message{from: a.incarnation, to: b.incarnation, transfer: a.table.Transfer()})
					}
				}
			},
			"remove": w.remove,
			"join":   w.join,
			"replace": func(t *rapid.T) {
				n := w.anyNode(t)
				if n.up {
					n.up = false
					return
				}
				w.start(n)
				w.write(fleet.EntryJoined{Member: n.member()})
			},
			"settle": func(*rapid.T) { w.settle() },
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"wait long": func(t *rapid.T) { w.waitLong(t) },
		})
	})
}

func (w *world) waitLong(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{15, 60, 125}).Draw(t, "s")) * time.Second)
	for _, n := range w.nodes {
		if n.up {
			n.table.Expire(w.now)
		}
	}
	w.settle()
}
