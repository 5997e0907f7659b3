package drive

import (
	"context"
	"time"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	// releaseDelay is how long an owner keeps serving a partition that is no longer assigned
	// to it, unless the next owner asks it to yield earlier. Within this delay the next owner
	// receives its assignment and reads the partition, which takes most of the delay if the log
	// is slowed down by a factor of 30.
	releaseDelay    = 1200 * time.Millisecond
	reprobeInterval = 250 * time.Millisecond // before a former owner that has not answered a probe is asked again
	probeExtraWait  = 50 * time.Millisecond  // how long the claimant still waits for the answer to the probe after it has read the partition
	maxYieldTimeout = 600 * time.Millisecond // upper bound of the timeout for the owner's last append; also the timeout of the probe call
	yieldReadFactor = 4                      // timeout for the owner's last append, as a multiple of the claimant's time to read the partition
	minYieldTimeout = 100 * time.Millisecond // lower bound of that timeout, for very short reads
)

// yield hands a partition over to an entry that is about to claim it and reports whether all
// changes are stored. For a probe it only reports whether this entry owns the partition.
func (n *Node) yield(ctx context.Context, c *yieldCall) bool {
	part := n.lookupPartition(c.Partition)
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

// releaseAfter hands a partition over after a wait, which ends early if the partition ends, as
// it does when the next owner asks this entry to yield. It does nothing more if the partition
// has been assigned to this entry again.
func (n *Node) releaseAfter(part *ownedPartition, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-part.done:
	case <-t.C:
	}
	if !part.releasing.Load() {
		return // assigned to this entry again
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	part.stop(stopCtx)
	n.removePartition(part)
	part.log.Info("partition released")
}

// probeAnswer is what is known of an earlier owner. Both fields are false if it does not answer.
type probeAnswer struct {
	owns  bool // it owns the partition
	ended bool // it, or a later process at its address, says that it does not own the partition
}

// awaitProbe waits for the answer to a probe, for probeExtraWait at most.
func awaitProbe(probe <-chan probeAnswer) probeAnswer {
	t := time.NewTimer(probeExtraWait)
	defer t.Stop()
	select {
	case answer := <-probe:
		return answer
	case <-t.C:
		return probeAnswer{}
	}
}

// requestYield asks the current owner to yield. It reports whether the owner has stored all changes, and whether its
// ownership has ended; without the latter it may still be appending. readTime is how long the claimant took to read
// the partition: an owner that needs much longer for its last append has probably lost its connection to the log.
func (part *ownedPartition) requestYield(ctx context.Context, owner string, readTime time.Duration) (stored, ended bool) {
	callCtx, cancel := context.WithTimeout(ctx, min(max(yieldReadFactor*readTime, minYieldTimeout), maxYieldTimeout))
	defer cancel()
	r, err := peer.Call[yieldCall, yieldReply](callCtx, part.node.peer(owner), yieldKind, &yieldCall{Partition: part.number})
	if err != nil || !r.Yielded {
		part.log.WithError(err).WithField("owner", owner).Info("owner did not yield; claiming the partition anyway")
		return false, err == nil
	}
	return true, true
}

// probeOwner asks an entry in the background whether it owns the partition.
func (part *ownedPartition) probeOwner(ctx context.Context, owner string) <-chan probeAnswer {
	answer := make(chan probeAnswer, 1)
	if owner == "" || owner == part.node.address {
		answer <- probeAnswer{ended: true}
		return answer
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, maxYieldTimeout)
		defer cancel()
		r, err := peer.Call[yieldCall, yieldReply](callCtx, part.node.peer(owner), yieldKind, &yieldCall{Partition: part.number, Probe: true})
		if err != nil {
			answer <- probeAnswer{} // a link that is cut may refuse connections to a process that runs
			return
		}
		answer <- probeAnswer{owns: r.Yielded, ended: !r.Yielded}
	}()
	return answer
}

// awaitFormerEnd asks a former owner that has not answered the claim until it, or a later process at its address, says that
// it does not own the partition. It gives up once the former owner's authority has ended by itself.
func (part *ownedPartition) awaitFormerEnd(ctx context.Context, owner string, claimed time.Time) {
	for ctx.Err() == nil && time.Since(claimed) < part.formerNotice {
		if answer := <-part.probeOwner(ctx, owner); answer.ended {
			part.post(part.recordFormerEnd)
			return
		}
		sleep(ctx, reprobeInterval)
	}
}

// recordFormerEnd records that the former owner, which was the only one, renews no leases any more.
func (part *ownedPartition) recordFormerEnd(now time.Time) {
	if part.soleOwner {
		return
	}
	part.soleOwner = true
	part.scheduler.FormerOwnerHasEnded(now)
}

// recordSoleOwner has the next flush tell later owners that the owners before this one renew no leases any more: they have
// ended, or their authority has. Without it, a later owner would see this one only, and not wait for them.
func (part *ownedPartition) recordSoleOwner(now time.Time) {
	if part.soleRecorded {
		return
	}
	if !part.soleOwner {
		if reached, _ := part.scheduler.ReachedVMs(); reached > 0 && part.reachedAt.IsZero() {
			part.reachedAt = now
		}
		if part.reachedAt.IsZero() || now.Sub(part.reachedAt) <= part.formerNotice {
			return
		}
		part.soleOwner = true
	}
	data, err := jobs.Encode(&part.scheduler.Epoch)
	if err != nil {
		part.log.WithError(err).Error("cannot encode the epoch")
		return
	}
	part.soleRecorded = true
	part.pendingRecords = append(part.pendingRecords, controlRecord{record: site.Record{Key: soleOwnerKey, Value: data}})
}
