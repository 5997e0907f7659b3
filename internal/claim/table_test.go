package claim_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/fuzz"
	"github.com/greengagelane/greengagelane/internal/mesh"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	freshFor   = 1500 * time.Millisecond
	grantValid = time.Second
	keyLife    = claim.Retention - 10*time.Second // copies arrive within this
)

func TestMain(m *testing.M) { fuzz.Main(m, 4000, 60) }

// node is one entry of the model: its own fold of the log, its table and what it
// heard. A node that is down has lost everything.
type node struct {
	name, incarnation string
	up                bool
	side              int  // nodes on different sides do not reach each other
	cutOff            bool // from the log
	behind            bool // takes no records from others either
	state             *fleet.State
	table             *claim.Table
	evidence          *mesh.PeerTracker
}

// copyOf is one copy of a request on its way to a run.
type copyOf struct {
	node    *node
	ask     claim.GrantRequest
	holders []fleet.Member
	granted int
	next    int // holder to ask
	askedAt time.Time
	done    bool
}

// message is a transfer or a release that may arrive late, twice or never.
type message struct {
	from, to string // incarnations
	transfer *claim.Transfer
	key      string
	token    uint64
}

// world is the model: a log, nodes, messages and the oracle, which counts runs.
type world struct {
	t        rapid.TB
	now      time.Time
	log      []fleet.Record
	full     *fleet.State // fold of the whole log
	nodes    []*node
	copies   []*copyOf
	messages []message
	born     map[string]time.Time
	runs     map[string]int
	token    uint64
	births   int
}

func newWorld(t rapid.TB) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), full: fleet.NewState(), born: map[string]time.Time{}, runs: map[string]int{}}
	for i := range 5 {
		n := &node{name: fmt.Sprintf("e%d", i)}
		w.nodes = append(w.nodes, n)
		w.start(n)
		w.write(fleet.EntryJoined{Member: n.member()})
	}
	for _, n := range w.nodes {
		w.follow(n, len(w.log))
	}
	w.settle()
	return w
}

func (n *node) member() fleet.Member {
	return fleet.Member{Name: n.name, Incarnation: n.incarnation, DataCentre: "dc" + n.name[1:]}
}

func (w *world) start(n *node) {
	w.births++
	n.incarnation = fmt.Sprintf("%s-%d", n.name, w.births)
	n.up, n.side, n.cutOff, n.behind = true, 0, false, false
	n.state = fleet.NewState()
	n.table = claim.NewTable(n.incarnation)
	n.evidence = mesh.NewPeerTracker(n.incarnation)
}

func (w *world) write(r fleet.Record) bool {
	data, err := fleet.Encode(r)
	assert.NilError(w.t, err)
	rec := w.record(len(w.log), data)
	w.log = append(w.log, r)
	return w.full.Fold(rec).Applied
}

func (w *world) record(i int, data string) fleet.LogRecord {
	return fleet.LogRecord{Offset: int64(i) + 1, TimeMs: w.now.UnixMilli(), OperationID: fmt.Sprint(i), Data: data}
}

// follow folds up to a number of records and seals the views it leaves.
func (w *world) follow(n *node, upTo int) {
	for i := max(int(n.state.Next)-1, 0); i < upTo; i++ {
		data, _ := fleet.Encode(w.log[i])
		n.state.Fold(w.record(i, data))
	}
	if n.table.SetMembership(w.now, n.state) {
		n.evidence.SetMembers(w.now, n.state)
	}
}

// settle lets every node that is up catch up as far as it reaches the log or a
// node that is ahead, hear the others on its side and take their transfers.
func (w *world) settle() {
	for range 3 {
		for _, a := range w.nodes {
			if a.up && !a.cutOff && !a.behind {
				w.follow(a, len(w.log))
			}
			for _, b := range w.nodes {
				if w.reaches(a, b) {
					if !a.behind {
						w.follow(a, int(b.state.Next)-1)
					}
					w.hear(a, b)
					b.table.Merge(a.incarnation, a.table.Transfer())
				}
			}
		}
	}
}

func (w *world) reaches(a, b *node) bool {
	return a != b && a.up && b.up && a.side == b.side
}

// partition puts each node on a side, and cuts one side off from the log.
func (w *world) partition(t *rapid.T) {
	cut := rapid.IntRange(0, 2).Draw(t, "side without the log")
	for _, n := range w.nodes {
		n.side = rapid.IntRange(0, 1).Draw(t, "side")
		n.cutOff = n.side == cut
		n.behind = rapid.IntRange(0, 5).Draw(t, "behind") == 0
	}
	w.settle()
}

// removeSilent lets the nodes that reach the log remove members which they do
// not reach, one at a time.
func (w *world) removeSilent(*rapid.T) {
	for _, p := range w.nodes {
		for _, target := range w.nodes {
			if p.up && !p.cutOff && p != target && !w.reaches(p, target) {
				w.settle()
				w.propose(p, target)
			}
		}
	}
}

// attempt sends a copy and takes it as far as it gets without a pause.
func (w *world) attempt(t *rapid.T) {
	c := w.send(t)
	for c != nil && !c.done && !c.ready() {
		w.askNext(c)
		if c.next == 0 {
			return
		}
	}
	if c != nil && !c.done && c.ready() {
		w.dispatch(c)
	}
}

func (w *world) hear(a, b *node) {
	a.evidence.Record(w.now, mesh.Heartbeat{Incarnation: b.incarnation, View: b.table.View()})
}

func (w *world) fresh(n *node) bool {
	at := n.evidence.MajorityAt(w.now, n.table.View(), math.MaxInt64, n.state.SortedMembers())
	return !at.IsZero() && w.now.Sub(at) < freshFor
}

func (w *world) byIncarnation(inc string) *node {
	for _, n := range w.nodes {
		if n.up && n.incarnation == inc {
			return n
		}
	}
	return nil
}

func (w *world) anyNode(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

// send starts a copy of a request at a node that has none of it.
func (w *world) send(t *rapid.T) *copyOf {
	n := w.anyNode(t)
	key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key"))
	if at, ok := w.born[key]; ok && w.now.Sub(at) > keyLife {
		return nil
	}
	for _, c := range w.copies {
		if c.node == n && c.ask.Owner == n.incarnation && c.ask.Key == key {
			return nil
		}
	}
	if !n.up || len(n.state.Members) == 0 {
		return nil
	}
	if _, ok := w.born[key]; !ok {
		w.born[key] = w.now
	}
	w.token++
	c := &copyOf{node: n, ask: claim.GrantRequest{Key: key, Owner: n.incarnation, Token: w.token}, askedAt: w.now}
	w.copies = append(w.copies, c)
	c.holders = claim.Holders(n.state.SortedMembers(), key)
	return c
}

// ask takes a copy one holder further, and may pause before the run.
func (w *world) ask(t *rapid.T) {
	c := w.anyCopy(t)
	if c == nil {
		return
	}
	w.askNext(c)
	if !c.done && c.ready() && rapid.Bool().Draw(t, "at once") {
		w.dispatch(c)
	}
}

// askNext asks one holder and passes over one that it does not reach. All grants
// of a copy are of one view, as an entry's are.
func (w *world) askNext(c *copyOf) {
	if c.next == 0 {
		c.granted = 0
		c.ask.View = c.node.state.View
		c.holders = claim.Holders(c.node.state.SortedMembers(), c.ask.Key)
	}
	holder := w.byIncarnation(c.holders[c.next].Incarnation)
	if holder != nil && holder.side == c.node.side {
		switch holder.table.RequestGrant(w.now, c.ask, w.fresh(holder)).Reply {
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

// ready reports whether the copy may be dispatched.
func (c *copyOf) ready() bool {
	return len(c.holders) > 0 && c.granted >= claim.Quorum(len(c.holders))
}

func (w *world) anyCopy(t *rapid.T) *copyOf {
	var open []*copyOf
	for _, c := range w.copies {
		if !c.done && c.node.up && c.node.incarnation == c.ask.Owner && !c.ready() {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[rapid.IntRange(0, len(open)-1).Draw(t, "copy")]
}

// dispatch runs a request whose grants are still valid. The oracle: once.
func (w *world) dispatch(c *copyOf) {
	c.done = true
	if w.now.Sub(c.askedAt) > grantValid {
		return
	}
	w.runs[c.ask.Key]++
	if w.runs[c.ask.Key] > 1 {
		w.t.Fatalf("request %s ran %d times", c.ask.Key, w.runs[c.ask.Key])
	}
}

// ready returns a copy that has all grants.
func (w *world) ready(t *rapid.T) *copyOf {
	for _, c := range w.copies {
		if !c.done && c.node.up && c.node.incarnation == c.ask.Owner && c.ready() {
			return c
		}
	}
	t.Skip("no copy has its grants")
	return nil
}

// refuse gives a claim back: the request did not run.
func (w *world) refuse(t *rapid.T) {
	c := w.ready(t)
	c.done = true
	for _, h := range c.holders {
		w.messages = append(w.messages, message{from: c.ask.Owner, to: h.Incarnation, key: c.ask.Key, token: c.ask.Token})
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
		t.Skip("no message")
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

// remove proposes to remove any member, silent or not, with the witnesses that
// the proposer really has.
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
	witnesses := p.evidence.Witnesses(w.now.Add(-freshFor), p.state.View, members)
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
	if n.up && !w.full.IsMember(n.incarnation) {
		w.write(fleet.EntryJoined{Member: n.member()})
	}
}

// TestRequestRunsAtMostOnce lets copies of requests race through entries that
// are cut off, paused, removed while alive, killed and replaced, while messages
// are lost, late and doubled.
func TestRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":          func(t *rapid.T) { w.send(t) },
			"ask":           w.ask,
			"attempt":       w.attempt,
			"attempt twice": func(t *rapid.T) { w.attempt(t); w.attempt(t) },
			"partition":     w.partition,
			"remove silent": w.removeSilent,
			"dispatch":      func(t *rapid.T) { w.dispatch(w.ready(t)) },
			"refuse":        w.refuse,
			"deliver":       w.deliver,
			"follow": func(t *rapid.T) {
				if n := w.anyNode(t); n.up && !n.cutOff {
					w.follow(n, rapid.IntRange(0, len(w.log)).Draw(t, "up to"))
				}
			},
			"hear": func(t *rapid.T) {
				if a, b := w.anyNode(t), w.anyNode(t); w.reaches(a, b) {
					w.hear(a, b)
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
