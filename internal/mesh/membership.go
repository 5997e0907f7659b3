package mesh

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	membershipEvery = 200 * time.Millisecond
	appendWait      = 3 * time.Second
)

// runMembership joins, and proposes to remove members that are silent.
func (m *Mesh) runMembership(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		m.membershipStep(ctx, n)
		select {
		case <-time.After(membershipEvery):
		case <-ctx.Done():
		}
	}
}

func (m *Mesh) membershipStep(ctx context.Context, n int) {
	now := time.Now()
	if m.leaving.Load() || now.Sub(m.store.LastLogRead()) > conf.Ms(m.set.FreshForMs) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	operationID, r := m.proposal(now, n)
	if r == nil {
		return
	}
	if _, err := m.log.Append(ctx, operationID, r); err != nil {
		logrus.WithError(err).Warn("membership record not written")
	}
}

// proposal returns the membership record that is due, if any. All entries that
// remove the same member from the same view use one operation id.
func (m *Mesh) proposal(now time.Time, n int) (string, fleet.Record) {
	view, members := m.members()
	isMember, nameTaken := false, false
	for _, p := range members {
		isMember = isMember || p.Incarnation == m.self.Incarnation
		nameTaken = nameTaken || p.Name == m.self.Name && p.Address != m.self.Address
	}
	if nameTaken {
		return "", nil // until the others have removed the entry that has the name
	}
	if !isMember {
		return fmt.Sprintf("join-%s-%d-%d", m.self.Incarnation, view, n), fleet.EntryJoined{Member: m.self}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	silent := m.evidence.Silent(now.Add(-conf.Ms(m.set.SilentAfterMs)), members)
	witnesses := m.evidence.Witnesses(now.Add(-conf.Ms(m.set.FreshForMs)), view, members)
	if len(silent) == 0 || 2*len(witnesses) <= len(members) {
		return "", nil
	}
	p := silent[0]
	return fmt.Sprintf("remove-%s-%d", p.Incarnation, view),
		fleet.EntryLeft{Name: p.Name, Incarnation: p.Incarnation, BasedOn: view, Witnesses: witnesses}
}

// Leave gives up membership at a planned stop. The claims have been handed over
// to every member before it returns, as far as they answer.
func (m *Mesh) Leave(ctx context.Context) {
	m.leaving.Store(true)
	r := fleet.EntryLeft{Name: m.self.Name, Incarnation: m.self.Incarnation}
	if _, err := m.log.Append(ctx, "leave-"+m.self.Incarnation, r); err != nil {
		logrus.WithError(err).Warn("leave record not written")
		return
	}
	m.applyView(time.Now())
	for ctx.Err() == nil && m.pendingTransfers() > 0 {
		m.beatAll(ctx)
		time.Sleep(conf.Ms(m.set.HeartbeatMs))
	}
}

func (m *Mesh) pendingTransfers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unsent)
}
