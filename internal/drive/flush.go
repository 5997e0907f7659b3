package drive

import (
	"errors"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	requeueAfter    = 250 * time.Millisecond // a flush that the log refuses for this long is given back
	refuseJobsAfter = 250 * time.Millisecond // of failed appends; then new jobs are refused at once
	shortOutage     = time.Second            // callers come back after a second at first, later after two
)

// controlRecord is a record beside the jobs.
type controlRecord struct {
	record   site.Record
	onStored func() // called once it is stored; may be nil
}

// flush stores what has changed.
func (part *ownedPartition) flush(now time.Time) {
	f, err := part.scheduler.Flush(now, part.node.settings.Log.CallBytes)
	if err != nil {
		part.log.WithError(err).Error("jobs cannot be encoded")
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
	extra := part.pendingRecords
	part.pendingRecords = nil
	part.flushing = true
	seq := part.nextSequence
	part.nextSequence++
	go part.append(f, extra, seq)
}

// append stores a flush. It repeats it under the same sequence number while it may
// have been stored, and gives it back once the log has certainly refused it for a while.
func (part *ownedPartition) append(f *sched.Flush, extra []controlRecord, seq int64) {
	a := &site.Append{Partition: part.number, Epoch: part.scheduler.Epoch, Sequence: seq, ExpectEnd: -1, Records: f.Records}
	for _, x := range extra {
		a.Records = append(a.Records, x.record)
	}
	began, refused := time.Now(), true
	for part.ctx.Err() == nil {
		err := part.store.AppendJobs(part.ctx, a)
		if err == nil {
			appendDuration.UpdateDuration(began)
			for _, x := range extra {
				if x.onStored != nil {
					x.onStored()
				}
			}
			part.post(func(now time.Time) { part.handleStored(now, f) })
			return
		}
		if errors.Is(err, site.ErrFenced) || errors.Is(err, site.ErrSequence) {
			part.log.WithError(err).Warn("append refused; the partition has another owner")
			part.post(func(time.Time) { part.scheduler.MarkFenced() })
			return
		}
		refused = refused && errors.Is(err, site.ErrNotDone)
		part.log.WithError(err).WithField("sequence", seq).Info("append failed; it is repeated")
		if refused && time.Since(began) > requeueAfter {
			part.post(func(now time.Time) { part.requeueFlush(now, f, extra, seq) })
			return
		}
		part.post(func(now time.Time) { part.markLogDown(now) })
		sleep(part.ctx, appendBackoff)
	}
}

func (part *ownedPartition) markLogDown(now time.Time) {
	if part.logDownSince.IsZero() {
		part.logDownSince = now
		part.log.Warn("job log lost: new jobs are refused until it answers")
	}
}

// requeueFlush takes a flush back of which nothing was stored, and refuses the jobs in it.
func (part *ownedPartition) requeueFlush(now time.Time, f *sched.Flush, extra []controlRecord, seq int64) {
	part.markLogDown(now)
	part.flushing, part.nextSequence, part.nextAppendAt = false, seq, now.Add(appendBackoff)
	part.pendingRecords = append(extra, part.pendingRecords...)
	part.scheduler.FlushRefused(f)
	for id, list := range part.waiters {
		if !list[0].cancel && part.scheduler.Withdraw(id) {
			for _, w := range list {
				w.answer(part.logDownReply(now))
			}
			delete(part.waiters, id)
		}
	}
}

// logDownReply answers a caller whose job cannot be stored.
func (part *ownedPartition) logDownReply(now time.Time) site.Reply {
	back := time.Second
	if !part.logDownSince.IsZero() && now.Sub(part.logDownSince) > shortOutage {
		back = 2 * time.Second
	}
	return site.Reply{Outcome: site.Refused, RetryMS: back.Milliseconds(), Reason: "the job log does not answer"}
}

func (part *ownedPartition) handleStored(now time.Time, f *sched.Flush) {
	if !part.logDownSince.IsZero() {
		part.log.WithField("after-ms", now.Sub(part.logDownSince).Milliseconds()).Info("job log regained")
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
	part.flush(now)
}
