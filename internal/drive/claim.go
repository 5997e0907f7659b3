package drive

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// maxFirstSequence bounds the random first sequence number of an epoch. Two claimants draw
// the same one with a probability of about 1e-12.
const maxFirstSequence = 1 << 40

// Timeouts for reading a partition; each timed-out attempt doubles the next one. A read takes
// about 10 ms, and a second if the log is slowed down by a factor of 60.
const (
	minReadTimeout = 400 * time.Millisecond
	maxReadTimeout = 3200 * time.Millisecond
)

// claimedTable describes the table from which a claim has restored the scheduler.
type claimedTable struct {
	lastEpoch int64 // of the previous owner
	tableEnd  int64 // offset after its last record
	records   int
}

// claim makes this entry the owner of the partition and restores the scheduler from its
// records. It retries until the context ends, then returns false.
func (part *ownedPartition) claim(ctx context.Context) bool {
	began := time.Now()
	var incomplete lineLimit
	for ctx.Err() == nil {
		err := part.tryClaim(ctx)
		if err == nil {
			part.logClaim(time.Since(began))
			return true
		}
		part.logFailedClaim(err, &incomplete)
		sleep(ctx, claimBackoff)
	}
	return false
}

// logClaim logs what the claim has restored.
func (part *ownedPartition) logClaim(took time.Duration) {
	r := part.scheduler.Restored()
	part.log.WithFields(logrus.Fields{
		"epoch": part.scheduler.Epoch, "after-ms": took.Milliseconds(), "last-epoch": part.claimed.lastEpoch,
		"table-end": part.claimed.tableEnd, "records": part.claimed.records, "handed-over": part.scheduler.Inherited(),
		"jobs": r.Jobs, "final": r.Final, "completed": r.Completed, "tasks-done": r.TasksDone,
	}).Info("partition claimed")
}

// logFailedClaim logs why a claim failed, and as an error, once a second, that the partition stays without an owner since
// the log returns only a part of it.
func (part *ownedPartition) logFailedClaim(err error, lines *lineLimit) {
	if !errors.Is(err, site.ErrIncomplete) {
		part.log.WithError(err).Info("claim of the partition failed; retrying")
		return
	}
	incompleteReads.Inc()
	if ok, suppressed := lines.allow(time.Now(), 1); ok {
		part.log.WithError(err).WithField("suppressed", suppressed).Error("the log returns only a part of the partition, which has no owner until it returns the whole; retrying")
	}
}

// tryClaim attempts one claim. It reads the partition and asks the last owner to yield. If that
// owner does not, it is fenced off by a record under the new epoch. Then the owner record makes
// this entry the owner, provided that nothing was appended since the partition was read.
func (part *ownedPartition) tryClaim(ctx context.Context) error {
	announced := part.node.owners.latestClaim(part.number)
	probe := part.probeOwner(ctx, announced.Address)
	began := time.Now()
	table, err := part.readTable(ctx)
	if err != nil {
		return err
	}
	readTime := time.Since(began)
	last := part.readControlRecords(table.Records)
	if last.Address != announced.Address {
		probe = part.probeOwner(ctx, last.Address)
	}
	former := awaitProbe(probe)
	yielded := false
	if former.owns {
		yielded, former.ended = part.requestYield(ctx, last.Address, readTime)
	}
	if yielded {
		if last, err = part.addTail(ctx, table); err != nil {
			return err
		}
	}
	epoch := max(last.Epoch, part.node.owners.latestClaim(part.number).Epoch, part.lastTriedEpoch) + 1
	part.lastTriedEpoch = epoch
	// The log treats an append with the epoch and sequence number of another claimant as a
	// repeat of that claimant's and answers with success. With random numbers it refuses the
	// second claimant.
	part.nextSequence = rand.Int64N(maxFirstSequence)
	if last.Epoch > 0 && !yielded {
		// The last owner may still be appending. A claim that expects the end offset of the
		// table read above could then be refused again and again, so fence off the last owner
		// first and read the rest.
		if err := appendClaimRecord(ctx, part, epoch, -1, epochKey, &epoch); err != nil {
			return fmt.Errorf("fence off epochs below %d: %w", epoch, err)
		}
		if last, err = part.addTail(ctx, table); err != nil {
			return err
		}
	}
	claimBegan := time.Now()
	if err := appendClaimRecord(ctx, part, epoch, table.End, ownerKey, &ownerRecord{Epoch: epoch, Address: part.node.address}); err != nil {
		return fmt.Errorf("claim epoch %d: %w", epoch, err)
	}
	part.scheduler = sched.New(epoch, part.node.policy, part.log)
	part.scheduler.SetTenure(&part.tenure)
	part.lastRoundAt = time.Now() // a pause counts from here on
	part.scheduler.Restore(part.lastRoundAt, last.Epoch, table.Records)
	part.soleOwner = last.Epoch == 0 || (former.ended && part.lastWasSole)
	if !part.soleOwner {
		part.scheduler.FormerOwnerMayContinue(part.formerNotice)
	}
	part.claimed = claimedTable{lastEpoch: last.Epoch, tableEnd: table.End, records: len(table.Records)}
	unreadableJobs.Add(len(part.scheduler.Unreadable()))
	vms, readAt := part.node.vmsOf(part.number)
	part.scheduler.SetVMs(time.Now(), vms)
	part.scheduler.VMsReadAt(readAt)
	part.confirm(claimBegan)
	part.scheduler.LogWaits(part.lastRoundAt, whyWait(last.Epoch, former, yielded, part.soleOwner))
	if !part.soleOwner && part.lastWasSole {
		go part.awaitFormerEnd(ctx, last.Address, part.lastRoundAt)
	}
	return nil
}

// readTable reads the partition's records. A log that has just recovered may never answer
// requests that were sent before it recovered, so the first attempts have a short timeout.
func (part *ownedPartition) readTable(ctx context.Context) (*site.Table, error) {
	if part.readTimeout == 0 {
		part.readTimeout = minReadTimeout
	}
	readCtx, cancel := context.WithTimeout(ctx, part.readTimeout)
	defer cancel()
	table, err := part.store.JobTable(readCtx, part.number)
	if err != nil && readCtx.Err() != nil {
		part.readTimeout = min(2*part.readTimeout, maxReadTimeout)
	}
	return table, err
}

// addTail adds the records stored since the table was read and returns the last owner that the
// updated table names.
func (part *ownedPartition) addTail(ctx context.Context, table *site.Table) (ownerRecord, error) {
	tail, err := part.store.JobTail(ctx, part.number, table.End)
	if err != nil {
		return ownerRecord{}, fmt.Errorf("read the records appended since the table was read: %w", err)
	}
	table.Add(tail)
	return part.readControlRecords(table.Records), nil
}

// appendClaimRecord appends a record under a new epoch. From then on the log refuses appends
// under lower epochs.
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
	for n := 0; ; n++ {
		err := part.tryAppend(ctx, a, n > 0)
		if !site.IsUnanswered(err) || n == maxClaimRepeats || ctx.Err() != nil {
			return err
		}
	}
}

// maxClaimRepeats is how often a claim's append is repeated without an answer before the claim
// starts anew: enough for a log that loses a third of its answers.
const maxClaimRepeats = 3
