package mesh

import (
	"math"
	"time"

	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Fresh reports whether the entry can show that its state is current: by the
// log, or by a majority of its view.
func (m *Mesh) Fresh(now time.Time) bool { return now.UnixNano() < m.freshUntil.Load() }

// refresh recomputes until when the entry's state counts as current.
func (m *Mesh) refresh(now time.Time) {
	view, members := m.members()
	seen := m.store.LastLogRead()
	next := m.store.Next()
	routed := m.load().RoutingOffset
	m.mu.Lock()
	inView := m.table.View() == view
	granting := m.evidence.MajorityAt(now, view, math.MaxInt64, members)
	routing := m.evidence.MajorityAt(now, view, routed, members)
	m.mu.Unlock()
	if !inView {
		granting = time.Time{}
	}
	// What the log showed counts once requests are routed by it.
	if routed < next {
		seen = time.Time{}
	}
	m.majorityUntil.Store(m.until(granting))
	until := max(m.until(seen), m.until(routing))
	was := m.freshUntil.Swap(until) > now.UnixNano()
	if is := m.Fresh(now); is != was {
		m.noteFresh(now, is)
	}
}

// until returns when a proof of a date lapses, Unix nanoseconds; 0 if there is none.
func (m *Mesh) until(proof time.Time) int64 {
	if proof.IsZero() {
		return 0
	}
	return proof.Add(conf.Ms(m.set.FreshForMs)).UnixNano()
}

func (m *Mesh) noteFresh(now time.Time, is bool) {
	text := "the state is no longer shown to be current; requests are refused"
	if is {
		text = "the state is current"
	}
	m.events.Add(now, m.store.Next(), event.Fresh, m.self.Name, text)
}

// fence is how long an entry may go on by what it knew before: its freshness and
// the longest request of any service.
func (m *Mesh) fence() time.Duration {
	longest := 0
	m.store.View(func(s *fleet.State) {
		for _, svc := range s.Services {
			longest = max(longest, svc.TimeoutMs)
		}
	})
	return conf.Ms(m.set.FreshForMs + longest)
}

// Drained reports whether no entry sends work to the VM any more since the
// record at the offset took it out of service.
func (m *Mesh) Drained(now time.Time, vm string, offset int64) bool {
	_, members := m.members()
	load := m.load()
	if load.InFlight[vm] > 0 || load.RoutingOffset <= offset {
		return false
	}
	fence := m.fence()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evidence.Drained(now, vm, offset, members, fence)
}
