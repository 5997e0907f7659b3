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
	membershipInterval = 200 * time.Millisecond // between two checks whether a membership record is due
	appendTimeout      = 3 * time.Second        // for one append of such a record to the log
)

// runMembership lets this entry join the membership, and proposes to remove silent
// members, until the context ends.
func (m *Mesh) runMembership(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		m.membershipStep(ctx, step)
		select {
		case <-time.After(membershipInterval):
		case <-ctx.Done():
		}
	}
}

// membershipStep appends the membership record that is due, if the log was read within
// the freshness time.
func (m *Mesh) membershipStep(ctx context.Context, step int) {
	now := time.Now()
	if m.leaving.Load() || now.Sub(m.store.LastLogRead()) > conf.Ms(m.cfg.FreshForMs) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	operationID, r := m.proposal(now, step)
	if r == nil {
		return
	}
	if _, err := m.log.Append(ctx, operationID, r); err != nil {
		logrus.WithError(err).Warn("cannot append a membership record to the log; it is retried while it is due")
	}
}

// proposal returns the membership record that is due, if any, and its operation id. All
// entries that remove the same member from the same view use the same operation id, so
// that it is applied once. The number of the step makes the operation id of each join
// unique, since a record whose operation id was folded before is skipped.
func (m *Mesh) proposal(now time.Time, step int) (string, fleet.Record) {
	view, members := m.members()
	isMember, nameTaken := false, false
	for _, p := range members {
		isMember = isMember || p.Incarnation == m.self.Incarnation
		// A member with the same name and address is an earlier incarnation of this entry,
		// which the join replaces.
		nameTaken = nameTaken || p.Name == m.self.Name && p.Address != m.self.Address
	}
	if nameTaken {
		return "", nil // wait until the others have removed the other entry with this name
	}
	if !isMember {
		return fmt.Sprintf("join-%s-%d-%d", m.self.Incarnation, view, step), fleet.EntryJoined{Member: m.self}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	silent := m.peers.Silent(now.Add(-conf.Ms(m.cfg.SilentAfterMs)), members)
	witnesses := m.peers.Witnesses(now.Add(-conf.Ms(m.cfg.FreshForMs)), view, members)
	if len(silent) == 0 || 2*len(witnesses) <= len(members) {
		return "", nil
	}
	p := silent[0]
	return fmt.Sprintf("remove-%s-%d", p.Incarnation, view),
		fleet.EntryLeft{Name: p.Name, Incarnation: p.Incarnation, BasedOn: view, Witnesses: witnesses}
}

// Leave ends this entry's membership at a planned stop. Before it returns, it transfers
// the claims to every other member that responds before the context ends.
func (m *Mesh) Leave(ctx context.Context) {
	m.leaving.Store(true)
	r := fleet.EntryLeft{Name: m.self.Name, Incarnation: m.self.Incarnation}
	if _, err := m.log.Append(ctx, "leave-"+m.self.Incarnation, r); err != nil {
		logrus.WithError(err).Warn("cannot append the record that ends this entry's membership to the log")
		return
	}
	m.applyView(time.Now())
	for ctx.Err() == nil && m.pendingTransfers() > 0 {
		m.sendHeartbeats(ctx)
		time.Sleep(conf.Ms(m.cfg.HeartbeatMs))
	}
}

// pendingTransfers returns the number of members that have not merged the transfer.
func (m *Mesh) pendingTransfers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.transferPending)
}
