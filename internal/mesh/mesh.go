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
	callLimit    = 500 * time.Millisecond // a peer's answer is awaited this long
	maxRecords   = 1000                   // relayed in one answer
	expireEvery  = 1 * time.Second
	bootstrapAge = 2 * time.Second // age of the last log contact after which peers are asked for state
)

// Load is what an entry's request path reports of itself.
type Load struct {
	RoutingOffset int64              // offset of the state that requests are routed by; read before InFlight
	Demand        map[string]int     // requests that run or wait, by pool
	Offered       map[string]float32 // slots that arriving requests would fill, by pool
	InFlight      map[string]int64   // requests in flight on VMs that are out of service
}

// Mesh is one entry's part of the mesh.
type Mesh struct {
	self   fleet.Member
	set    conf.Settings
	store  *tail.Store
	log    *tail.Log
	load   func() Load
	events *event.Ring
	key    func() string

	mu       sync.Mutex
	evidence *PeerTracker
	clients  map[string]*peer.Client // by address
	table    *claim.Table
	unsent   map[string]bool         // members that have not taken the transfer of this view
	sending  map[string]bool         // members that a transfer is on its way to
	bulk     map[string]*peer.Client // by address; for transfers, which would hold up other calls
	outcomes *claim.Outcomes
	token    atomic.Uint64

	freshUntil    atomic.Int64 // Unix nanoseconds; the entry may dispatch until then
	majorityUntil atomic.Int64 // Unix nanoseconds; the entry may grant claims until then
	leaving       atomic.Bool
}

// New returns the mesh of an entry.
func New(self fleet.Member, set conf.Settings, store *tail.Store, log *tail.Log, load func() Load, events *event.Ring, key func() string) *Mesh {
	return &Mesh{
		self: self, set: set, store: store, log: log, load: load, events: events, key: key,
		evidence: NewPeerTracker(self.Incarnation),
		clients:  map[string]*peer.Client{},
		table:    claim.NewTable(self.Incarnation),
		unsent:   map[string]bool{},
		sending:  map[string]bool{},
		bulk:     map[string]*peer.Client{},
		outcomes: claim.NewOutcomes(),
	}
}

// Register adds the mesh's calls to the peer server.
func (m *Mesh) Register(s *peer.Server) {
	peer.Handle(s, "beat", m.onBeat)
	peer.Handle(s, "records", m.onRecords)
	peer.Handle(s, "state", m.onState)
	peer.Handle(s, "ask", m.onAsk)
	peer.Handle(s, "release", m.onRelease)
	peer.Handle(s, "transfer", m.onTransfer)
	peer.Handle(s, "outcome", m.onOutcome)
}

// Run follows membership and sends heartbeats until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.followState(ctx)
	go m.runMembership(ctx)
	tick := time.NewTicker(conf.Ms(m.set.HeartbeatMs))
	defer tick.Stop()
	var lastExpire, lastBeat time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if m.busy() || now.Sub(lastBeat) >= m.idleBeat() {
				lastBeat = now
				m.beatAll(ctx)
			}
			m.refresh(now)
			if now.Sub(lastExpire) > expireEvery {
				lastExpire = now
				m.expire(now)
			}
		}
	}
}

// busy reports whether what the peers say matters at once: requests are here,
// VMs are out of service, or claims have to be handed over.
func (m *Mesh) busy() bool {
	if len(m.load().Demand) > 0 || m.pendingTransfers() > 0 {
		return true
	}
	out := 0
	m.store.View(func(s *fleet.State) { out = len(s.OutOfService()) })
	return out > 0
}

// idleBeat is the time between heartbeats of an entry with nothing to do: a
// third of the freshness time, so that two may be lost.
func (m *Mesh) idleBeat() time.Duration { return conf.Ms(m.set.FreshForMs / 3) }

func (m *Mesh) expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Expire(now)
}

// followState moves the claim table to each new view as soon as it is folded.
func (m *Mesh) followState(ctx context.Context) {
	for ctx.Err() == nil {
		changed := m.store.Changed()
		if m.applyView(time.Now()) {
			m.beatAll(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// applyView seals the earlier view if the membership has changed. It holds the
// mesh's lock while it reads the state, so no claim is granted in between.
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
		m.evidence.SetMembers(now, s)
		members, view = s.SortedMembers(), s.View
	})
	if !changed {
		return false
	}
	m.unsent = map[string]bool{}
	for _, p := range members {
		if p.Incarnation != m.self.Incarnation {
			m.unsent[p.Incarnation] = true
		}
	}
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

// members returns the view and its members.
func (m *Mesh) members() (view int64, members []fleet.Member) {
	m.store.View(func(s *fleet.State) { view, members = s.View, s.SortedMembers() })
	return view, members
}

// clientFor returns the client for calls to an address.
func (m *Mesh) clientFor(address string) *peer.Client { return m.clientIn(m.clients, address) }

// clientIn returns the client that a map holds for an address.
func (m *Mesh) clientIn(clients map[string]*peer.Client, address string) *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := clients[address]
	if c == nil {
		c = peer.NewClient(address, m.self.Incarnation, m.key)
		clients[address] = c
	}
	return c
}

// beat returns this entry's present beat.
func (m *Mesh) beat() *Heartbeat {
	b := &Heartbeat{Incarnation: m.self.Incarnation}
	load := m.load()
	b.RoutingOffset, b.Demand, b.Offered, b.InFlight = load.RoutingOffset, load.Demand, load.Offered, load.InFlight
	fence := m.fence()
	m.mu.Lock()
	defer m.mu.Unlock()
	b.View = m.table.View()
	b.Next = m.store.Next()
	b.Guest = m.evidence.Guest(time.Now(), fence)
	return b
}

// beatAll sends a heartbeat to every member and to the peers of the settings.
func (m *Mesh) beatAll(ctx context.Context) {
	_, members := m.members()
	addresses := map[string]bool{}
	for _, p := range members {
		addresses[p.Address] = true
	}
	if len(members) < 2 || time.Since(m.store.LastLogRead()) > bootstrapAge {
		for _, a := range m.set.Peers {
			addresses[a] = true
		}
	}
	delete(addresses, m.self.Address)
	for address := range addresses {
		go m.beatOne(ctx, m.clientFor(address))
	}
}

func (m *Mesh) beatOne(ctx context.Context, c *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := time.Now()
	reply, err := peer.Call[empty, Heartbeat](ctx, c, "beat", &empty{})
	if err != nil {
		metrics.GetOrCreateCounter(`greengagelane_heartbeats_failed_total`).Inc()
		return
	}
	m.mu.Lock()
	m.evidence.Record(sent, *reply)
	transfer := m.unsent[reply.Incarnation] && !m.sending[reply.Incarnation] && reply.View == m.table.View()
	if transfer {
		m.sending[reply.Incarnation] = true
	}
	m.mu.Unlock()
	m.refresh(time.Now())
	if reply.Next > m.store.Next() {
		m.fetch(ctx, c)
	}
	if transfer {
		go m.sendTransfer(ctx, c.Address(), reply.Incarnation)
	}
}

// onBeat answers with a beat that was made after the guest was noted.
func (m *Mesh) onBeat(_ context.Context, from string, _ *empty) (*Heartbeat, error) {
	member := false
	m.store.View(func(s *fleet.State) { member = s.IsMember(from) })
	if !member {
		m.mu.Lock()
		m.evidence.NoteGuest(time.Now())
		m.mu.Unlock()
	}
	return m.beat(), nil
}

// EachMember calls f for the last beat of each member but this one.
func (m *Mesh) EachMember(f func(member fleet.Member, last Heartbeat, at time.Time)) {
	_, members := m.members()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range members {
		b, at := m.evidence.Last(p.Incarnation)
		f(p, b, at)
	}
}

// Demands returns the other entries' present demand on a pool.
func (m *Mesh) Demands(now time.Time, pool string) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evidence.Demands(now.Add(-conf.Ms(m.set.FreshForMs)), pool)
}

// Offered returns the slots that all entries' arriving requests would fill, by pool.
func (m *Mesh) Offered(now time.Time) map[string]float64 {
	own := m.load().Offered
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.evidence.Offered(now.Add(-conf.Ms(m.set.FreshForMs)))
	for pool, slots := range own {
		out[pool] += float64(slots)
	}
	return out
}
