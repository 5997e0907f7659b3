package mesh

import (
	"math"
	"time"

	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Fresh reports whether the entry has recent proof that its state is current: from the
// log, or from a majority of its view.
func (m *Mesh) Fresh(now time.Time) bool { return now.UnixNano() < m.freshUntil.Load() }

// updateFreshness updates until when the entry's state counts as current, and until when
// the entry may grant claims.
func (m *Mesh) updateFreshness(now time.Time) {
	view, members := m.members()
	logProofAt := m.store.LastLogRead()
	next := m.store.Next()
	routingOffset := m.load().RoutingOffset
	// A majority in the same view suffices to grant claims. To dispatch requests, the state
	// that they are routed by must be current as well, so replies of peers that have folded
	// later records than this state do not count.
	m.mu.Lock()
	tableInView := m.table.View() == view
	grantProofAt := m.peers.MajorityAt(now, view, math.MaxInt64, members)
	routingProofAt := m.peers.MajorityAt(now, view, routingOffset, members)
	m.mu.Unlock()
	if !tableInView {
		grantProofAt = time.Time{}
	}
	// A read of the log is proof only once requests are routed by the state that includes
	// the last record read.
	if routingOffset < next {
		logProofAt = time.Time{}
	}
	m.grantUntil.Store(m.validUntil(grantProofAt))
	validUntil := max(m.validUntil(logProofAt), m.validUntil(routingProofAt))
	wasFresh := m.freshUntil.Swap(validUntil) > now.UnixNano()
	if fresh := m.Fresh(now); fresh != wasFresh {
		m.recordFreshness(now, fresh)
	}
}

// validUntil returns when a proof from the given time expires, in Unix nanoseconds. It
// returns 0 for the zero time.
func (m *Mesh) validUntil(proofAt time.Time) int64 {
	if proofAt.IsZero() {
		return 0
	}
	return proofAt.Add(conf.Ms(m.cfg.FreshForMs)).UnixNano()
}

func (m *Mesh) recordFreshness(now time.Time, fresh bool) {
	text := "no recent proof that the state is current; requests are refused"
	if fresh {
		text = "the state is current"
	}
	m.events.Add(now, m.store.Next(), event.Fresh, m.self.Name, text)
}

// quiesceTime returns how long an entry may still have requests in flight after its last
// proof that its state is current: its freshness time plus the longest request timeout of
// any service. It does not cover longer timeouts that callers set.
func (m *Mesh) quiesceTime() time.Duration {
	longest := 0
	m.store.View(func(s *fleet.State) {
		for _, svc := range s.Services {
			longest = max(longest, svc.TimeoutMs)
		}
	})
	return conf.Ms(m.cfg.FreshForMs + longest)
}

// Drained reports whether every entry, this one included, has stopped sending requests
// to the VM and has none in flight on it. The offset is that of the record that took the
// VM out of service.
func (m *Mesh) Drained(now time.Time, vm string, offset int64) bool {
	_, members := m.members()
	load := m.load()
	if load.InFlight[vm] > 0 || load.RoutingOffset <= offset {
		return false
	}
	quiesceTime := m.quiesceTime()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.Drained(now, vm, offset, members, quiesceTime)
}
