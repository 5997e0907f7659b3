package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/tail"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	snapshotCheckInterval = 1 * time.Second
)

// runSnapshots publishes a snapshot when enough records have been folded since the last one that
// this entry published. If two entries publish the same state, they write the same chunks
// under the same operation ids.
func (e *Entry) runSnapshots(ctx context.Context) {
	t := time.NewTicker(snapshotCheckInterval)
	defer t.Stop()
	lastSnapshot := int64(0) // offset of the first record after the last snapshot that this entry published
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !tail.SnapshotDue(e.store.Next(), lastSnapshot) || !e.isSnapshotPublisher() {
			continue
		}
		next, err := e.log.PublishSnapshot(ctx)
		if err != nil {
			logrus.WithError(err).Warn("publishing a snapshot failed")
			continue
		}
		lastSnapshot = next
	}
}

// isSnapshotPublisher reports whether this entry is the first member by name, so that normally
// only one entry publishes. Entries whose states differ may both publish; that is harmless, since
// the newest complete snapshot is restored.
func (e *Entry) isSnapshotPublisher() bool {
	first := ""
	e.store.View(func(s *fleet.State) {
		if members := s.SortedMembers(); len(members) > 0 {
			first = members[0].Incarnation
		}
	})
	return first == e.self.Incarnation
}
