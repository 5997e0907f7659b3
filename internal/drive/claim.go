package drive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// ownerRecord is the record by which an entry claims a partition.
type ownerRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Epoch    int64
	Claim    string // unique to one attempt to claim
	Address  string
}

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
	heard := sh.node.lastOwner(sh.partition)
	probed := sh.probe(ctx, heard)
	began := time.Now()
	table, err := sh.readTable(ctx)
	if err != nil {
		return err
	}
	yielded, err := sh.takeTail(ctx, table, heard, probed, time.Since(began))
	if err != nil {
		return err
	}
	last := sh.readOwn(table.Records)
	epoch := max(last.Epoch, sh.node.owners.epoch(sh.partition), sh.tried) + 1
	sh.tried = epoch
	// The log takes the same epoch and number of another claimant for a repeat and
	// answers it with success. Numbers drawn at random make that one a refusal.
	sh.sequence = rand.Int64N(maxSequence)
	if last.Epoch > 0 && !yielded {
		if err := sh.shutOut(ctx, table, epoch); err != nil {
			return err
		}
		last = sh.readOwn(table.Records)
	}
	value, err := jobs.Encode(&ownerRecord{Epoch: epoch, Claim: sh.node.nonce(), Address: sh.node.address})
	if err != nil {
		return err
	}
	if err := sh.claimAppend(ctx, epoch, table.End, site.Record{Key: ownerKey, Value: value}); err != nil {
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

// shutOut keeps the last owner, which may still be at work, from storing more, and
// adds what it has stored meanwhile. Without it a claim whose table is a moment old
// would be refused again and again.
func (sh *shard) shutOut(ctx context.Context, table *site.Table, epoch int64) error {
	value, err := jobs.Encode(&epoch)
	if err != nil {
		return err
	}
	if err := sh.claimAppend(ctx, epoch, -1, site.Record{Key: epochKey, Value: value}); err != nil {
		return fmt.Errorf("shut epochs below %d out: %w", epoch, err)
	}
	tail, err := sh.store.JobTail(ctx, sh.partition, table.End)
	if err != nil {
		return fmt.Errorf("read what the last owner stored at the end: %w", err)
	}
	table.Add(tail)
	return nil
}

func (sh *shard) claimAppend(ctx context.Context, epoch, expectEnd int64, r site.Record) error {
	a := &site.Append{Partition: sh.partition, Epoch: epoch, Sequence: sh.sequence, ExpectEnd: expectEnd, Records: []site.Record{r}}
	sh.sequence++
	return sh.store.AppendJobs(ctx, a)
}

// readOwn returns the last owner and takes over what the job log keeps of waves.
func (sh *shard) readOwn(records []site.Record) ownerRecord {
	var last ownerRecord
	sh.kept = keptFleet{waves: map[int64]waveRecord{}}
	for _, r := range records {
		switch {
		case r.Key == ownerKey:
			if o, err := jobs.Decode[ownerRecord](r.Value); err != nil {
				sh.log.WithError(err).Warn("owner record skipped")
			} else {
				last = *o
			}
		case strings.HasPrefix(r.Key, waveKey):
			if w, err := jobs.Decode[waveRecord](r.Value); err != nil {
				sh.log.WithError(err).Warn("wave record skipped")
			} else {
				sh.kept.waves[w.Number] = *w
			}
		case r.Key == ordersKey:
			if o, err := jobs.Decode[ordersRecord](r.Value); err != nil {
				sh.log.WithError(err).Warn("record of orders skipped")
			} else {
				sh.kept.orders = o.Given
			}
		}
	}
	return last
}
