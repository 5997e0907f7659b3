package drive

import (
	"context"
	"time"

	"github.com/greengagelane/greengagelane/internal/peer"
)

const (
	// releaseDelay is how long an owner that is to leave works on for the next one to ask.
	// The next one learns of its share, reads the partition and asks; a log that is
	// slowed thirty times takes most of it.
	releaseDelay    = 1200 * time.Millisecond
	probeTimeout    = 50 * time.Millisecond  // after the partition is read, for an owner that is slow
	maxYieldTimeout = 600 * time.Millisecond // for the owner's last append, at most
	yieldReadFactor = 4                      // times as long as the claimant's read of the partition may that append take
	minYieldTimeout = 100 * time.Millisecond // even if the read was very short
)

// yield ends this entry's ownership for an entry that is about to claim the partition.
func (n *Node) yield(ctx context.Context, c *yieldCall) bool {
	part := n.ownedPartition(c.Partition)
	if part == nil || !part.isLoaded() {
		return false
	}
	if c.Probe {
		return true
	}
	stored := part.stop(ctx)
	n.removePartition(part)
	part.log.WithField("stored", stored).Info("partition yielded to the next owner")
	return stored
}

// releaseAfter gives a partition up: at once if the next owner asks, else after a while.
func (n *Node) releaseAfter(part *ownedPartition, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-part.done:
	case <-t.C:
	}
	if !part.releasing.Load() {
		return // assigned anew
	}
	limit, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	part.stop(limit)
	n.removePartition(part)
	part.log.Info("partition released")
}

// requestYield has the present owner yield, if it answers. probed tells whether it has
// answered while the table was read, and read is how long that took: an owner that needs
// much longer for its last append is cut from the log. Where it is false the owner may go
// on.
func (part *ownedPartition) requestYield(ctx context.Context, owner string, probed <-chan bool, read time.Duration) bool {
	t := time.NewTimer(probeTimeout)
	defer t.Stop()
	select {
	case there := <-probed:
		if !there {
			return false
		}
	case <-t.C:
		return false
	}
	limit, cancel := context.WithTimeout(ctx, min(max(yieldReadFactor*read, minYieldTimeout), maxYieldTimeout))
	defer cancel()
	r, err := peer.Call[yieldCall, yieldReply](limit, part.node.peer(owner), yieldKind, &yieldCall{Partition: part.number})
	if err != nil || !r.Yielded {
		part.log.WithError(err).WithField("owner", owner).Info("owner did not yield; the partition is claimed all the same")
		return false
	}
	return true
}

// probeOwner asks in the background whether an entry owns the shard's partition.
func (part *ownedPartition) probeOwner(ctx context.Context, owner string) <-chan bool {
	answer := make(chan bool, 1)
	if owner == "" || owner == part.node.address {
		answer <- false
		return answer
	}
	go func() {
		limit, cancel := context.WithTimeout(ctx, maxYieldTimeout)
		defer cancel()
		r, err := peer.Call[yieldCall, yieldReply](limit, part.node.peer(owner), yieldKind, &yieldCall{Partition: part.number, Probe: true})
		answer <- err == nil && r.Yielded
	}()
	return answer
}
