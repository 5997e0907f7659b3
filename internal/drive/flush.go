package drive

import (
	"context"
	"errors"
	"time"

	"github.com/greengagelane/greengagelane/internal/retry"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/usage"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	requeueAfter     = 250 * time.Millisecond // a flush returns to the scheduler after the log has refused to store it for this long
	refuseJobsAfter  = 250 * time.Millisecond // after appends have failed for this long, new jobs that cannot be in time any more are refused at once
	heldShare        = 0.75                   // of the time left for the reply, for which a submission is held; a refusal after it still reaches the entry that asked
	minAppendTimeout = 50 * time.Millisecond  // an entry that shares its cores may read an answer late
	shortOutage      = time.Second            // in a log outage of up to this length, refused callers are told to retry after 1 s, in a longer one after 2 s
)

// controlRecord is a record of the mover that waits for the next flush.
type controlRecord struct {
	record   site.Record
	onStored func() // called once the record is stored; may be nil
}

// flush starts an append of the pending records and the changed jobs, the latter up to the log's
// size limit for one call.
func (part *ownedPartition) flush(now time.Time) {
	defer usage.Record.Since(time.Now())
	part.scheduler.HoldNewJobs(!part.logDownSince.IsZero())
	f, err := part.scheduler.Flush(now, part.node.settings.Log.CallBytes)
	if err != nil {
		part.log.WithError(err).Error("cannot encode changed jobs")
		return
	}
	if f == nil && len(part.pendingRecords) == 0 {
		return
	}
	if f == nil {
		f = &sched.Flush{}
	}
	part.flushedAt = now
	if len(f.Records)+len(part.pendingRecords) == 0 {
		part.scheduler.Flushed(f)
		return
	}
	control := part.pendingRecords
	part.pendingRecords = nil
	part.flushing = true
	seq := part.nextSequence
	part.nextSequence++
	go part.append(f, control, seq)
}

// append stores a flush. It retries under the same sequence number while an earlier attempt
// may have been stored, or may be. If for requeueAfter every attempt was refused or not sent, nothing is
// stored, and the flush returns to the scheduler.
func (part *ownedPartition) append(f *sched.Flush, control []controlRecord, seq int64) {
	a := &site.Append{Partition: part.number, Epoch: part.scheduler.Epoch, Sequence: seq, ExpectEnd: -1, Records: f.Records}
	for _, x := range control {
		a.Records = append(a.Records, x.record)
	}
	began, nothingStored := time.Now(), true
	var failed attempts
	for part.ctx.Err() == nil {
		err := part.attempt(part.ctx, a, &failed)
		if err == nil {
			appendDuration.UpdateDuration(began)
			for _, x := range control {
				if x.onStored != nil {
					x.onStored()
				}
			}
			part.post(func(now time.Time) { part.handleStored(now, f, began) })
			return
		}
		if errors.Is(err, site.ErrFenced) || errors.Is(err, site.ErrSequence) {
			part.log.WithError(err).Warn("append refused: the partition has another owner")
			part.post(func(time.Time) { part.scheduler.MarkFenced() })
			return
		}
		nothingStored = nothingStored && errors.Is(err, site.ErrNotDone)
		part.log.WithError(err).WithField("sequence", seq).Info("append failed; retrying")
		if nothingStored && time.Since(began) > requeueAfter {
			part.post(func(now time.Time) { part.requeueFlush(now, f, control, seq) })
			return
		}
		part.post(func(now time.Time) { part.markLogDown(now) })
		if errors.Is(err, site.ErrNotDone) {
			sleep(part.ctx, appendBackoff)
		}
	}
}

// tryAppend makes one attempt at an append, with a timeout that follows the log's response times.
// repeated is set if an earlier attempt may have been carried out.
func (part *ownedPartition) tryAppend(ctx context.Context, a *site.Append, repeated bool) error {
	began := time.Now()
	callCtx, cancel := part.node.logRestored.callContext(ctx)
	defer cancel()
	err := part.store.AppendJobs(callCtx, a, part.appendTimeout.Timeout())
	if callCtx.Err() != nil {
		return err
	}
	recordAttempt(part.appendTimeout, began, repeated, err)
	return err
}

// recordAttempt records the result of an attempt. One that was refused or not sent says nothing about
// the response time.
func recordAttempt(timeout *retry.Estimator, began time.Time, repeated bool, err error) {
	switch {
	case err == nil:
		timeout.RecordAnswer(time.Since(began), repeated)
	case site.IsUnanswered(err):
		timeout.RecordTimeout()
	}
}

// newTimeout returns the estimator of timeouts, of at least shortest, for requests to the log that may be
// repeated. An answer takes about 10 ms, and some 300 ms if the log is slowed down by a factor of 60.
func newTimeout(shortest time.Duration) *retry.Estimator {
	return &retry.Estimator{Min: shortest, Max: 1500 * time.Millisecond, MinRepeat: 200 * time.Millisecond}
}

// markLogDown records and logs the start of a series of failed appends.
func (part *ownedPartition) markLogDown(now time.Time) {
	if part.logDownSince.IsZero() {
		part.logDownSince = now
		part.log.Warn("appends to the job log fail; new jobs wait or are refused until one succeeds")
	}
}

// requeueFlush returns a flush to the scheduler after the log has stored nothing of it, and
// refuses the new jobs that cannot be in time any more.
func (part *ownedPartition) requeueFlush(now time.Time, f *sched.Flush, control []controlRecord, seq int64) {
	part.markLogDown(now)
	part.flushing, part.nextSequence, part.nextAppendAt = false, seq, now.Add(appendBackoff)
	part.pendingRecords = append(control, part.pendingRecords...)
	part.scheduler.FlushRefused(f)
	part.refuseHeld(now)
}

// logDown reports whether appends have failed for so long that new jobs are held only while they
// may be in time.
func (part *ownedPartition) logDown(now time.Time) bool {
	return !part.logDownSince.IsZero() && now.Sub(part.logDownSince) > refuseJobsAfter
}

// refuseHeld refuses the submissions that have waited long enough for the log to answer again, and those whose
// jobs could not meet their objective any more.
func (part *ownedPartition) refuseHeld(now time.Time) {
	if !part.logDown(now) {
		return
	}
	for id, list := range part.waiters {
		w := list[0]
		if !w.isCancel && !w.capped { // once, as each round goes through all waiting submissions
			w.capped = true
			if latest := part.scheduler.LatestStart(now, w.job); latest.Before(w.heldTo) {
				w.heldTo = latest
			}
		}
		if !w.isCancel && !now.Before(w.heldTo) {
			part.refuseUnstored(now, id)
		}
	}
}

// refuseUnstored drops a submitted job that was not sent to the job log and refuses the requests that wait for
// it. It reports whether it did.
func (part *ownedPartition) refuseUnstored(now time.Time, id string) bool {
	if !part.scheduler.Withdraw(id) {
		return false
	}
	for _, w := range part.waiters[id] {
		w.answer(part.logDownReply(now))
	}
	delete(part.waiters, id)
	return true
}

// logDownReply returns the reply to a caller whose job cannot be stored.
func (part *ownedPartition) logDownReply(now time.Time) site.Reply {
	retryAfter := time.Second
	if !part.logDownSince.IsZero() && now.Sub(part.logDownSince) > shortOutage {
		retryAfter = 2 * time.Second
	}
	return site.Reply{Outcome: site.Refused, RetryMS: retryAfter.Milliseconds(), Reason: "the job log does not answer"}
}

// handleStored tells the scheduler that a flush is stored and sends the replies that waited
// for it. began is when the first attempt to store it began.
func (part *ownedPartition) handleStored(now time.Time, f *sched.Flush, began time.Time) {
	part.recordConfirmation(now, began)
	if !part.logDownSince.IsZero() {
		part.log.WithField("after-ms", now.Sub(part.logDownSince).Milliseconds()).Info("appends to the job log succeed again")
	}
	part.flushing, part.logDownSince = false, time.Time{}
	part.scheduler.Flushed(f)
	if part.scheduler.HandedOver() {
		part.markHandedOver()
	}
	for id, list := range part.waiters {
		if part.replyStored(id, list) {
			delete(part.waiters, id)
		}
	}
	part.decideQuestions(now)
	part.flush(now)
}
