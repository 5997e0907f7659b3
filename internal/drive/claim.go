package drive

import (
	"context"
	"fmt"
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
	table, err := sh.store.JobTable(ctx, sh.partition)
	if err != nil {
		return err
	}
	last := sh.readOwn(table.Records)
	epoch := max(last.Epoch, sh.node.owners.epoch(sh.partition)) + 1
	claim := ownerRecord{Epoch: epoch, Claim: sh.node.nonce(), Address: sh.node.address}
	value, err := jobs.Encode(&claim)
	if err != nil {
		return err
	}
	err = sh.store.AppendJobs(ctx, &site.Append{
		Partition: sh.partition, Epoch: epoch, ExpectEnd: table.End,
		Records: []site.Record{{Key: ownerKey, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("claim epoch %d: %w", epoch, err)
	}
	if err := sh.verifyClaim(ctx, table.End, &claim); err != nil {
		return err
	}
	sh.sequence = 1
	sh.core = sched.New(epoch, sh.node.policy, sh.log)
	sh.core.Restore(time.Now(), last.Epoch, table.Records)
	sh.core.SetVMs(time.Now(), sh.node.vmsOf(sh.partition))
	return nil
}

// verifyClaim reads the claim back. The log takes another entry's claim of the same
// epoch for a repeat of the first one and answers it with success too.
func (sh *shard) verifyClaim(ctx context.Context, offset int64, claim *ownerRecord) error {
	r, err := sh.store.JobRecord(ctx, sh.partition, offset)
	if err != nil {
		return fmt.Errorf("read claim back: %w", err)
	}
	stored, err := jobs.Decode[ownerRecord](r.Value)
	if err != nil {
		return err
	}
	if r.Key != ownerKey || *stored != *claim {
		return fmt.Errorf("epoch %d is claimed by %s", claim.Epoch, stored.Address)
	}
	return nil
}

// readOwn returns the last owner and takes over what the job log keeps of waves.
func (sh *shard) readOwn(records []site.Record) ownerRecord {
	var last ownerRecord
	sh.kept = keptFleet{waves: map[int64][]string{}}
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
				sh.kept.waves[w.Number] = w.Done
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
