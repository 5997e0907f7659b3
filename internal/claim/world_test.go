package claim_test

import (
	"fmt"
	"math"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/mesh"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// node models one entry: its state folded from the log, its table and the heartbeats
// it received. A node that goes down loses all of it.
type node struct {
	name, incarnation string
	up                bool
	side              int  // nodes on different sides do not reach each other
	logUnreachable    bool // cannot read the log, and removeSilent skips it as the proposer; the actions remove and join do not check this
	lagging           bool // folds no records, neither from the log nor from other nodes
	state             *fleet.State
	table             *claim.Table
	peers             *mesh.PeerTracker
}

// requestCopy is one copy of a request whose grants are being collected.
type requestCopy struct {
	node        *node
	request     claim.GrantRequest
	holders     []fleet.Member
	granted     int
	next        int       // index of the next holder to ask
	requestedAt time.Time // when the copy was sent; its grants are valid for grantValidity from then
	done        bool
}

// message is a transfer, or a release of a claim, that may arrive late, twice or never.
type message struct {
	from, to string // incarnations
	transfer *claim.Transfer
	key      string
	token    uint64
}

// world models a log, nodes and messages between them. It counts the runs of each
// request to check that none runs twice.
type world struct {
	t            rapid.TB
	now          time.Time
	log          []fleet.Record
	logState     *fleet.State // fold of the whole log
	nodes        []*node
	copies       []*requestCopy
	messages     []message
	firstSent    map[string]time.Time
	runs         map[string]int
	token        uint64
	incarnations int
}

func newWorld(t rapid.TB) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), logState: fleet.NewState(), firstSent: map[string]time.Time{}, runs: map[string]int{}}
	for i := range 5 {
		n := &node{name: fmt.Sprintf("e%d", i)}
		w.nodes = append(w.nodes, n)
		w.start(n)
		w.write(fleet.EntryJoined{Member: n.member()})
	}
	for _, n := range w.nodes {
		w.catchUp(n, len(w.log))
	}
	w.settle()
	return w
}

func (n *node) member() fleet.Member {
	return fleet.Member{Name: n.name, Incarnation: n.incarnation, DataCentre: "dc" + n.name[1:]}
}

func (w *world) start(n *node) {
	w.incarnations++
	n.incarnation = fmt.Sprintf("%s-%d", n.name, w.incarnations)
	n.up, n.side, n.logUnreachable, n.lagging = true, 0, false, false
	n.state = fleet.NewState()
	n.table = claim.NewTable(n.incarnation)
	n.peers = mesh.NewPeerTracker(n.incarnation)
}

// write appends a record to the log and reports whether it was applied.
func (w *world) write(r fleet.Record) bool {
	data, err := fleet.Encode(r)
	assert.NilError(w.t, err)
	rec := w.record(len(w.log), data)
	w.log = append(w.log, r)
	return w.logState.Fold(rec).Applied
}

// record returns the log record at an index. Offsets start at 1, since a view is numbered
// by its record's offset and 0 is the view of an empty table.
func (w *world) record(i int, data string) fleet.LogRecord {
	return fleet.LogRecord{Offset: int64(i) + 1, TimeMs: w.now.UnixMilli(), OperationID: fmt.Sprint(i), Data: data}
}

// catchUp folds the first upTo records of the log and moves the table to the new view,
// which seals the earlier ones.
func (w *world) catchUp(n *node, upTo int) {
	for i := max(int(n.state.Next)-1, 0); i < upTo; i++ {
		data, _ := fleet.Encode(w.log[i])
		n.state.Fold(w.record(i, data))
	}
	if n.table.SetMembership(w.now, n.state) {
		n.peers.SetMembers(w.now, n.state)
	}
}

// settle lets every node that is up catch up with the log or with nodes that it
// reaches, exchange heartbeats with them and merge their transfers. It takes three rounds,
// so that records and claims that a node gets in one round reach the others in the next.
func (w *world) settle() {
	for range 3 {
		for _, a := range w.nodes {
			if a.up && !a.logUnreachable && !a.lagging {
				w.catchUp(a, len(w.log))
			}
			for _, b := range w.nodes {
				if w.reaches(a, b) {
					if !a.lagging {
						w.catchUp(a, int(b.state.Next)-1)
					}
					w.recordHeartbeat(a, b)
					b.table.Merge(a.incarnation, a.table.Transfer())
				}
			}
		}
	}
}

func (w *world) reaches(a, b *node) bool {
	return a != b && a.up && b.up && a.side == b.side
}

// recordHeartbeat records at node a a reply of node b to its heartbeat.
func (w *world) recordHeartbeat(a, b *node) {
	a.peers.Record(w.now, mesh.Heartbeat{Incarnation: b.incarnation, View: b.table.View()})
}

// fresh reports whether a majority of the members has confirmed the view of the node's
// table within freshFor, whatever log offset they have read.
func (w *world) fresh(n *node) bool {
	at := n.peers.MajorityAt(w.now, n.table.View(), math.MaxInt64, n.state.SortedMembers())
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

// ready reports whether the copy has a majority of grants.
func (c *requestCopy) ready() bool {
	return len(c.holders) > 0 && c.granted >= claim.Quorum(len(c.holders))
}

func (w *world) anyCopy(t *rapid.T) *requestCopy {
	var open []*requestCopy
	for _, c := range w.copies {
		if !c.done && c.node.up && c.node.incarnation == c.request.Owner && !c.ready() {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[rapid.IntRange(0, len(open)-1).Draw(t, "copy")]
}

// dispatch runs a request if its grants are still valid, and fails the test if the
// request has run before.
func (w *world) dispatch(c *requestCopy) {
	c.done = true
	if w.now.Sub(c.requestedAt) > grantValidity {
		return
	}
	w.runs[c.request.Key]++
	if w.runs[c.request.Key] > 1 {
		w.t.Fatalf("request %s ran %d times", c.request.Key, w.runs[c.request.Key])
	}
}

// readyCopy returns a copy that has a majority of grants and was not dispatched.
func (w *world) readyCopy(t *rapid.T) *requestCopy {
	for _, c := range w.copies {
		if !c.done && c.node.up && c.node.incarnation == c.request.Owner && c.ready() {
			return c
		}
	}
	t.Skip("no copy has a majority of grants")
	return nil
}
