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

// maxSequence bounds the first sequence number of an epoch; two claimants draw the same
// one in a million million.
const maxSequence = 1 << 40

// Limits for the reading of a partition, the double after each one that is not enough. It
// takes some 10 ms, a second from a log that is slowed sixty times.
const (
	firstRead   = 400 * time.Millisecond
	longestRead = 3200 * time.Millisecond
)

// claim makes this entry the owner and reads the partition.
func (sh *shard) claim(ctx context.Context) bool {
	began := time.Now()
	for ctx.Err() == nil {
		err := sh.tryClaim(ctx)
		if err == nil {
			sh.log.WithFields(logrus.Fields{"epoch": sh.core.Epoch, "after-ms": time.Since(began).Milliseconds()}).Info("partition claimed")
			return true
		}
		sh.log.WithError(err).Info("claim of a partition failed")
		sleep(ctx, claimPause)
	}
	return false
}

func (sh *shard) tryClaim(ctx context.Context) error {
	heard := sh.node.owners.last(sh.partition)
	probed := sh.probe(ctx, heard.Address)
	began := time.Now()
	table, err := sh.readTable(ctx)
	if err != nil {
		return err
	}
	read := time.Since(began)
	last := sh.readOwn(table.Records)
	if last.Address != heard.Address {
		probed = sh.probe(ctx, last.Address)
	}
	yielded := sh.askToYield(ctx, last.Address, probed, read)
	if yielded {
		if last, err = sh.addTail(ctx, table); err != nil {
			return err
		}
	}
	epoch := max(last.Epoch, sh.node.owners.last(sh.partition).Epoch, sh.tried) + 1
	sh.tried = epoch
	// The log takes the same epoch and number of another claimant for a repeat and
	// answers it with success. Numbers drawn at random make that one a refusal.
	sh.sequence = rand.Int64N(maxSequence)
	if last.Epoch > 0 && !yielded {
		// The last owner may still be at work. A claim whose table is a moment old would be
		// refused again and again.
		if err := claimAppend(ctx, sh, epoch, -1, epochKey, &epoch); err != nil {
			return fmt.Errorf("shut epochs below %d out: %w", epoch, err)
		}
		if last, err = sh.addTail(ctx, table); err != nil {
			return err
		}
	}
	if err := claimAppend(ctx, sh, epoch, table.End, ownerKey, &ownerRecord{Epoch: epoch, Address: sh.node.address}); err != nil {
		return fmt.Errorf("claim epoch %d: %w", epoch, err)
	}
	sh.core = sched.New(epoch, sh.node.policy, sh.log)
	sh.core.Restore(time.Now(), last.Epoch, table.Records)
	sh.core.SetVMs(time.Now(), sh.node.vmsOf(sh.partition))
	return nil
}

// readTable reads the partition. A log that has just come back may never answer what was
// asked before, so the first attempts are short.
func (sh *shard) readTable(ctx context.Context) (*site.Table, error) {
	if sh.readLimit == 0 {
		sh.readLimit = firstRead
	}
	limit, cancel := context.WithTimeout(ctx, sh.readLimit)
	defer cancel()
	table, err := sh.store.JobTable(limit, sh.partition)
	if err != nil && limit.Err() != nil {
		sh.readLimit = min(2*sh.readLimit, longestRead)
	}
	return table, err
}

// addTail adds what the last owner has stored since the table was read, and returns that
// owner.
func (sh *shard) addTail(ctx context.Context, table *site.Table) (ownerRecord, error) {
	tail, err := sh.store.JobTail(ctx, sh.partition, table.End)
	if err != nil {
		return ownerRecord{}, fmt.Errorf("read what the last owner stored at the end: %w", err)
	}
	table.Add(tail)
	return sh.readOwn(table.Records), nil
}

// claimAppend appends a record under a new epoch, which shuts out all lower ones.
func claimAppend[T any](ctx context.Context, sh *shard, epoch, expectEnd int64, key string, value *T) error {
	data, err := jobs.Encode(value)
	if err != nil {
		return err
	}
	a := &site.Append{
		Partition: sh.partition, Epoch: epoch, Sequence: sh.sequence, ExpectEnd: expectEnd,
		Records: []site.Record{{Key: key, Value: data}},
	}
	sh.sequence++
	return sh.store.AppendJobs(ctx, a)
}
