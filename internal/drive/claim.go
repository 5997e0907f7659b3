package drive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// maxFirstSequence bounds the first sequence number of an epoch; two claimants draw the same
// one in a million million.
const maxFirstSequence = 1 << 40

// Limits for the reading of a partition, the double after each one that is not enough. It
// takes some 10 ms, a second from a log that is slowed sixty times.
const (
	minReadTimeout = 400 * time.Millisecond
	maxReadTimeout = 3200 * time.Millisecond
)

// claim makes this entry the owner and reads the partition.
func (part *ownedPartition) claim(ctx context.Context) bool {
	began := time.Now()
	for ctx.Err() == nil {
		err := part.tryClaim(ctx)
		if err == nil {
			part.log.WithFields(logrus.Fields{"epoch": part.scheduler.Epoch, "after-ms": time.Since(began).Milliseconds()}).Info("partition claimed")
			return true
		}
		part.log.WithError(err).Info("claim of a partition failed")
		sleep(ctx, claimBackoff)
	}
	return false
}

func (part *ownedPartition) tryClaim(ctx context.Context) error {
	heard := part.node.owners.latestClaim(part.number)
	probed := part.probeOwner(ctx, heard.Address)
	began := time.Now()
	table, err := part.readTable(ctx)
	if err != nil {
		return err
	}
	read := time.Since(began)
	last := part.readControlRecords(table.Records)
	if last.Address != heard.Address {
		probed = part.probeOwner(ctx, last.Address)
	}
	yielded := part.requestYield(ctx, last.Address, probed, read)
	if yielded {
		if last, err = part.addTail(ctx, table); err != nil {
			return err
		}
	}
	epoch := max(last.Epoch, part.node.owners.latestClaim(part.number).Epoch, part.lastTriedEpoch) + 1
	part.lastTriedEpoch = epoch
	// The log takes the same epoch and number of another claimant for a repeat and
	// answers it with success. Numbers drawn at random make that one a refusal.
	part.nextSequence = rand.Int64N(maxFirstSequence)
	if last.Epoch > 0 && !yielded {
		// The last owner may still be at work. A claim whose table is a moment old would be
		// refused again and again.
		if err := appendClaimRecord(ctx, part, epoch, -1, epochKey, &epoch); err != nil {
			return fmt.Errorf("shut epochs below %d out: %w", epoch, err)
		}
		if last, err = part.addTail(ctx, table); err != nil {
			return err
		}
	}
	if err := appendClaimRecord(ctx, part, epoch, table.End, ownerKey, &ownerRecord{Epoch: epoch, Address: part.node.address}); err != nil {
		return fmt.Errorf("claim epoch %d: %w", epoch, err)
	}
	part.scheduler = sched.New(epoch, part.node.policy, part.log)
	part.scheduler.Restore(time.Now(), last.Epoch, table.Records)
	part.scheduler.SetVMs(time.Now(), part.node.vmsOf(part.number))
	return nil
}

// readTable reads the partition. A log that has just come back may never answer what was
// asked before, so the first attempts are short.
func (part *ownedPartition) readTable(ctx context.Context) (*site.Table, error) {
	if part.readTimeout == 0 {
		part.readTimeout = minReadTimeout
	}
	limit, cancel := context.WithTimeout(ctx, part.readTimeout)
	defer cancel()
	table, err := part.store.JobTable(limit, part.number)
	if err != nil && limit.Err() != nil {
		part.readTimeout = min(2*part.readTimeout, maxReadTimeout)
	}
	return table, err
}

// addTail adds what the last owner has stored since the table was read, and returns that
// owner.
func (part *ownedPartition) addTail(ctx context.Context, table *site.Table) (ownerRecord, error) {
	tail, err := part.store.JobTail(ctx, part.number, table.End)
	if err != nil {
		return ownerRecord{}, fmt.Errorf("read what the last owner stored at the end: %w", err)
	}
	table.Add(tail)
	return part.readControlRecords(table.Records), nil
}

// appendClaimRecord appends a record under a new epoch, which shuts out all lower ones.
func appendClaimRecord[T any](ctx context.Context, part *ownedPartition, epoch, expectEnd int64, key string, value *T) error {
	data, err := jobs.Encode(value)
	if err != nil {
		return err
	}
	a := &site.Append{
		Partition: part.number, Epoch: epoch, Sequence: part.nextSequence, ExpectEnd: expectEnd,
		Records: []site.Record{{Key: key, Value: data}},
	}
	part.nextSequence++
	return part.store.AppendJobs(ctx, a)
}
