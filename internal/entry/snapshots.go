package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/tail"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	snapshotCheckEvery = 1 * time.Second
)

// followSnapshots publishes a snapshot when enough records have followed the
// last one that this entry knows of. Entries that race write the same chunks
// under the same operation ids.
func (e *Entry) followSnapshots(ctx context.Context) {
	t := time.NewTicker(snapshotCheckEvery)
	defer t.Stop()
	last := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !tail.SnapshotDue(e.store.Next(), last) || !e.publishesSnapshots() {
			continue
		}
		next, err := e.log.PublishSnapshot(ctx)
		if err != nil {
			logrus.WithError(err).Warn("snapshot not published")
			continue
		}
		last = next
	}
}

// publishesSnapshots is true for the first member by name, so that one entry does
// the work; a second one that thinks so too does no harm.
func (e *Entry) publishesSnapshots() bool {
	first := ""
	e.store.View(func(s *fleet.State) {
		if members := s.SortedMembers(); len(members) > 0 {
			first = members[0].Incarnation
		}
	})
	return first == e.self.Incarnation
}
