package drive

import (
	"context"
	"time"

	"github.com/greengagelane/greengagelane/internal/peer"
)

const (
	// yieldWait is how long an owner that is to leave works on for the next one to ask.
	// The next one learns of its share, reads the partition and asks; a log that is
	// slowed thirty times takes most of it.
	yieldWait  = 1200 * time.Millisecond
	probeWait  = 50 * time.Millisecond  // after the partition is read, for an owner that is slow
	yieldLimit = 600 * time.Millisecond // for the owner's last append, at most
	yieldReads = 4                      // times as long as the claimant's read of the partition may that append take
	yieldLeast = 100 * time.Millisecond // even if the read was very short
)

// yield ends this entry's ownership for an entry that is about to claim the partition.
func (n *Node) yield(ctx context.Context, c *yieldCall) bool {
	sh := n.shardOf(c.Partition)
	if sh == nil || !sh.isLoaded() {
		return false
	}
	if c.Probe {
		return true
	}
	stored := sh.stop(ctx)
	n.lost(sh)
	sh.log.WithField("stored", stored).Info("partition yielded to the next owner")
	return stored
}

// leave gives a partition up: at once if the next owner asks, else after a while.
func (n *Node) leave(sh *shard, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-sh.done:
	case <-t.C:
	}
	if !sh.leaving.Load() {
		return // assigned anew
	}
	limit, cancel := context.WithTimeout(context.Background(), handOver)
	defer cancel()
	sh.stop(limit)
	n.lost(sh)
	sh.log.Info("partition released")
}

// askToYield has the present owner yield, if it answers. probed tells whether it has
// answered while the table was read, and read is how long that took: an owner that needs
// much longer for its last append is cut from the log. Where it is false the owner may go
// on.
func (sh *shard) askToYield(ctx context.Context, owner string, probed <-chan bool, read time.Duration) bool {
	t := time.NewTimer(probeWait)
	defer t.Stop()
	select {
	case there := <-probed:
		if !there {
			return false
		}
	case <-t.C:
		return false
	}
	limit, cancel := context.WithTimeout(ctx, min(max(yieldReads*read, yieldLeast), yieldLimit))
	defer cancel()
	r, err := peer.Call[yieldCall, yieldReply](limit, sh.node.peer(owner), yieldKind, &yieldCall{Partition: sh.partition})
	if err != nil || !r.Yielded {
		sh.log.WithError(err).WithField("owner", owner).Info("owner did not yield; the partition is claimed all the same")
		return false
	}
	return true
}

// probe asks in the background whether an entry owns the shard's partition.
func (sh *shard) probe(ctx context.Context, owner string) <-chan bool {
	answer := make(chan bool, 1)
	if owner == "" || owner == sh.node.address {
		answer <- false
		return answer
	}
	go func() {
		limit, cancel := context.WithTimeout(ctx, yieldLimit)
		defer cancel()
		r, err := peer.Call[yieldCall, yieldReply](limit, sh.node.peer(owner), yieldKind, &yieldCall{Partition: sh.partition, Probe: true})
		answer <- err == nil && r.Yielded
	}()
	return answer
}
