// Package mesh connects an entry to the other entries.
//
// An entry's state results from the records of the log, which the entry folds (applies)
// one after the other. A view is a version of the membership. Its number is the log
// offset of the record that created it. The state is fresh while there is proof, not
// older than the freshness time (the setting fresh-for-ms), that it is current; only then
// does the entry dispatch requests. An entry that is not in the membership, a non-member,
// can be fresh as well.
//
// A request that may run only once needs a claim of its id. Up to three members, the
// holders of the id, decide on it; see package claim.
//
// Each entry sends heartbeats to the others. The replies carry the peer's view, log
// offsets and load. PeerTracker keeps the last reply of each peer and derives which
// members are silent, whether a majority is in the same view as this entry, and whether
// a VM is drained. Mesh uses this to determine until when the entry's state is fresh, to
// propose changes of the membership, and to grant claims as a holder. It also fetches
// log records from peers that are ahead in the log, and transfers claims to the members
// of a new view.
package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/tail"
	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	callTimeout           = 500 * time.Millisecond // of a release call, and of a heartbeat call with the fetch of records that follows it
	maxRecordsPerResponse = 1000                   // limits the size of a response; the requester fetches further records after its next heartbeat
	expireInterval        = 1 * time.Second        // between two removals of expired claims
	peerFallbackAge       = 2 * time.Second        // if the last log read is older, the configured peers get heartbeats too
)

// Load is the load that an entry's request path reports.
type Load struct {
	RoutingOffset int64              // next log offset of the state that requests are routed by; must be read before InFlight, so that InFlight includes all requests that were routed by an older state
	Demand        map[string]int     // requests that run or wait on this entry, by pool
	Offered       map[string]float32 // offered load in slots, by pool
	InFlight      map[string]int64   // requests in flight on VMs that are out of service
}

// Mesh connects one entry to the others. It is safe for concurrent use.
type Mesh struct {
	self          fleet.Member
	cfg           conf.Settings
	store         *tail.Store
	log           *tail.Log
	load          func() Load
	events        *event.Ring
	connectionKey func() string

	mu              sync.Mutex
	peers           *PeerTracker
	clients         map[string]*peer.Client // by address
	table           *claim.Table
	transferPending map[string]bool         // members that have not merged this entry's claims since the view began
	transferActive  map[string]bool         // members to which a transfer is being sent
	transferClients map[string]*peer.Client // by address; transfers would delay other calls on the same connection
	outcomes        *claim.Outcomes
	lastToken       atomic.Uint64 // of this entry's claims; see claim.Claim

	freshUntil atomic.Int64 // Unix nanoseconds; the entry may dispatch until then
	grantUntil atomic.Int64 // Unix nanoseconds; the entry may grant claims until then
	leaving    atomic.Bool  // set by Leave; the entry then neither joins again nor proposes removals
}

// New returns the mesh of an entry. Load returns the entry's current load, and
// connectionKey the key to present to peers on a new connection.
func New(self fleet.Member, cfg conf.Settings, store *tail.Store, log *tail.Log, load func() Load, events *event.Ring, connectionKey func() string) *Mesh {
	return &Mesh{
		self: self, cfg: cfg, store: store, log: log, load: load, events: events, connectionKey: connectionKey,
		peers:           NewPeerTracker(self.Incarnation),
		clients:         map[string]*peer.Client{},
		table:           claim.NewTable(self.Incarnation),
		transferPending: map[string]bool{},
		transferActive:  map[string]bool{},
		transferClients: map[string]*peer.Client{},
		outcomes:        claim.NewOutcomes(),
	}
}

// Register adds the handlers of the mesh's calls to the peer server.
func (m *Mesh) Register(s *peer.Server) {
	peer.Handle(s, "beat", m.handleHeartbeat)
	peer.Handle(s, "records", m.handleRecords)
	peer.Handle(s, "state", m.handleState)
	peer.Handle(s, "ask", m.handleGrantRequest)
	peer.Handle(s, "release", m.handleRelease)
	peer.Handle(s, "transfer", m.handleTransfer)
	peer.Handle(s, "outcome", m.handleOutcome)
}

// Run sends heartbeats, applies new views and proposes changes of the membership until
// the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.followViews(ctx)
	go m.runMembership(ctx)
	tick := time.NewTicker(conf.Ms(m.cfg.HeartbeatMs))
	defer tick.Stop()
	var lastExpire, lastHeartbeat time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if m.busy() || now.Sub(lastHeartbeat) >= m.idleHeartbeatInterval() {
				lastHeartbeat = now
				m.sendHeartbeats(ctx)
			}
			m.updateFreshness(now)
			if now.Sub(lastExpire) > expireInterval {
				lastExpire = now
				m.expireClaims(now)
			}
		}
	}
}

// busy reports whether heartbeats are needed at the full rate: this entry has requests,
// VMs are out of service, or transfers of claims are pending.
func (m *Mesh) busy() bool {
	if len(m.load().Demand) > 0 || m.pendingTransfers() > 0 {
		return true
	}
	outOfService := 0
	m.store.View(func(s *fleet.State) { outOfService = len(s.OutOfService()) })
	return outOfService > 0
}

// idleHeartbeatInterval returns the time between heartbeats of an entry that is not
// busy: a third of the freshness time, so that two heartbeats may be lost.
func (m *Mesh) idleHeartbeatInterval() time.Duration { return conf.Ms(m.cfg.FreshForMs / 3) }

func (m *Mesh) expireClaims(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Expire(now)
}

// followViews applies each new view as soon as its record is folded.
func (m *Mesh) followViews(ctx context.Context) {
	for ctx.Err() == nil {
		changed := m.store.Changed()
		if m.applyView(time.Now()) {
			m.sendHeartbeats(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// applyView moves the claim table to the state's view and reports whether the view has
// changed. After that, no claim is granted in an earlier view. The mesh's lock is held
// from the read of the state to the change of the table, so that no claim is granted
// between the two.
func (m *Mesh) applyView(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []fleet.Member
	var view int64
	changed := false
	m.store.View(func(s *fleet.State) {
		if s.View <= m.table.View() {
			return
		}
		changed = m.table.SetMembership(now, s)
		m.peers.SetMembers(now, s)
		members, view = s.SortedMembers(), s.View
	})
	if !changed {
		return false
	}
	m.transferPending = map[string]bool{}
	for _, p := range members {
		if p.Incarnation != m.self.Incarnation {
			m.transferPending[p.Incarnation] = true
		}
	}
	// The view is the offset of its record, so the next offset is one higher.
	m.events.Add(now, view+1, event.View, m.self.Name, describeMembers(members))
	return true
}

func describeMembers(members []fleet.Member) string {
	text := "members:"
	for _, p := range members {
		text += " " + p.Name
	}
	return text
}

// members returns the state's view and its members.
func (m *Mesh) members() (view int64, members []fleet.Member) {
	m.store.View(func(s *fleet.State) { view, members = s.View, s.SortedMembers() })
	return view, members
}

// clientFor returns the client for calls to an address.
func (m *Mesh) clientFor(address string) *peer.Client { return m.clientIn(m.clients, address) }

// clientIn returns the client for an address from a map, and adds it if missing.
func (m *Mesh) clientIn(clients map[string]*peer.Client, address string) *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := clients[address]
	if c == nil {
		c = peer.NewClient(address, m.self.Incarnation, m.connectionKey)
		clients[address] = c
	}
	return c
}

// heartbeat returns this entry's current heartbeat.
func (m *Mesh) heartbeat() *Heartbeat {
	hb := &Heartbeat{Incarnation: m.self.Incarnation}
	load := m.load()
	hb.RoutingOffset, hb.Demand, hb.Offered, hb.InFlight = load.RoutingOffset, load.Demand, load.Offered, load.InFlight
	quiesceTime := m.quiesceTime()
	m.mu.Lock()
	defer m.mu.Unlock()
	hb.View = m.table.View()
	hb.NextOffset = m.store.Next()
	hb.RepliedToNonMember = m.peers.RepliedToNonMember(time.Now(), quiesceTime)
	return hb
}

// sendHeartbeats sends a heartbeat to every member. If this entry has no other members
// in its view or has not read the log for peerFallbackAge, its membership may be out of
// date, so it includes the configured peers.
func (m *Mesh) sendHeartbeats(ctx context.Context) {
	_, members := m.members()
	addresses := map[string]bool{}
	for _, p := range members {
		addresses[p.Address] = true
	}
	if len(members) < 2 || time.Since(m.store.LastLogRead()) > peerFallbackAge {
		for _, a := range m.cfg.Peers {
			addresses[a] = true
		}
	}
	delete(addresses, m.self.Address)
	for address := range addresses {
		go m.sendHeartbeat(ctx, m.clientFor(address))
	}
}

// sendHeartbeat sends a heartbeat call, which has no content, and handles the reply, which
// is the peer's Heartbeat: it records the reply, fetches log records if the peer is ahead
// in the log, and starts a pending transfer to the peer.
func (m *Mesh) sendHeartbeat(ctx context.Context, c *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := peer.Call[empty, Heartbeat](ctx, c, "beat", &empty{})
	if err != nil {
		metrics.GetOrCreateCounter(`greengagelane_heartbeats_failed_total`).Inc()
		return
	}
	m.mu.Lock()
	m.peers.Record(sent, *reply)
	transfer := m.transferPending[reply.Incarnation] && !m.transferActive[reply.Incarnation] && reply.View == m.table.View()
	if transfer {
		m.transferActive[reply.Incarnation] = true
	}
	m.mu.Unlock()
	m.updateFreshness(time.Now())
	if reply.NextOffset > m.store.Next() {
		m.fetchRecords(ctx, c)
	}
	if transfer {
		go m.sendTransfer(ctx, c.Address(), reply.Incarnation)
	}
}

// handleHeartbeat returns this entry's heartbeat. A call from a non-member is recorded
// before the heartbeat is made, so that RepliedToNonMember is set in it.
func (m *Mesh) handleHeartbeat(_ context.Context, from string, _ *empty) (*Heartbeat, error) {
	member := false
	m.store.View(func(s *fleet.State) { member = s.IsMember(from) })
	if !member {
		m.mu.Lock()
		m.peers.RecordNonMember(time.Now())
		m.mu.Unlock()
	}
	return m.heartbeat(), nil
}

// EachMember calls f for each member with its last heartbeat and the time at which it was
// requested. Both are zero for this entry and for a member without a reply.
func (m *Mesh) EachMember(f func(member fleet.Member, last Heartbeat, at time.Time)) {
	_, members := m.members()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range members {
		hb, at := m.peers.LastHeartbeat(p.Incarnation)
		f(p, hb, at)
	}
}

// Demands returns each other entry's demand on a pool, in requests that run or wait. It
// omits entries without a reply within the freshness time.
func (m *Mesh) Demands(now time.Time, pool string) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.Demands(now.Add(-conf.Ms(m.cfg.FreshForMs)), pool)
}

// Offered returns the offered load of all entries in slots, by pool.
func (m *Mesh) Offered(now time.Time) map[string]float64 {
	own := m.load().Offered
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.peers.Offered(now.Add(-conf.Ms(m.cfg.FreshForMs)))
	for pool, slots := range own {
		out[pool] += float64(slots)
	}
	return out
}
