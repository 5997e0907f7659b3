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
	logSeen := m.store.LastLogRead()
	next := m.store.Next()
	routingOffset := m.load().RoutingOffset
	m.mu.Lock()
	inView := m.table.View() == view
	granting := m.peers.MajorityAt(now, view, math.MaxInt64, members)
	routing := m.peers.MajorityAt(now, view, routingOffset, members)
	m.mu.Unlock()
	if !inView {
		granting = time.Time{}
	}
	// A read of the log proves nothing until requests are routed by its last record.
	if routingOffset < next {
		logSeen = time.Time{}
	}
	m.majorityUntil.Store(m.validUntil(granting))
	validUntil := max(m.validUntil(logSeen), m.validUntil(routing))
	was := m.freshUntil.Swap(validUntil) > now.UnixNano()
	if is := m.Fresh(now); is != was {
		m.recordFreshness(now, is)
	}
}

// validUntil returns when a proof from the given time expires, in Unix nanoseconds. It
// returns 0 for the zero time.
func (m *Mesh) validUntil(proof time.Time) int64 {
	if proof.IsZero() {
		return 0
	}
	return proof.Add(conf.Ms(m.cfg.FreshForMs)).UnixNano()
}

func (m *Mesh) recordFreshness(now time.Time, is bool) {
	text := "no recent proof that the state is current; requests are refused"
	if is {
		text = "the state is current"
	}
	m.events.Add(now, m.store.Next(), event.Fresh, m.self.Name, text)
}

// quiesceTime returns how long an entry without new proof may still have requests in
// flight: its freshness time plus the longest request timeout of any service.
func (m *Mesh) quiesceTime() time.Duration {
	longest := 0
	m.store.View(func(s *fleet.State) {
		for _, svc := range s.Services {
			longest = max(longest, svc.TimeoutMs)
		}
	})
	return conf.Ms(m.cfg.FreshForMs + longest)
}

// Drained reports whether every entry, this one included, has stopped sending work to
// the VM and has none left there, since the record at the offset took it out of service.
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
