package drive

import (
	"errors"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	giveBackAfter = 250 * time.Millisecond // a flush that the log refuses for this long is given back
	refuseAfter   = 250 * time.Millisecond // of failed appends; then new jobs are refused at once
	shortOutage   = time.Second            // callers come back after a second at first, later after two
)

// extraRecord is a record beside the jobs.
type extraRecord struct {
	record site.Record
	done   func() // called once it is stored; may be nil
}

// flush stores what has changed.
func (sh *shard) flush(now time.Time) {
	f, err := sh.core.Flush(now, sh.node.set.Log.CallBytes)
	if err != nil {
		sh.log.WithError(err).Error("jobs cannot be encoded")
		return
	}
	if f == nil && len(sh.extra) == 0 {
		return
	}
	if f == nil {
		f = &sched.Flush{}
	}
	sh.flushed = now
	if len(f.Records)+len(sh.extra) == 0 {
		sh.core.Flushed(f)
		return
	}
	extra := sh.extra
	sh.extra = nil
	sh.flushing = true
	seq := sh.sequence
	sh.sequence++
	go sh.append(f, extra, seq)
}

// append stores a flush. It repeats it under the same sequence number while it may
// have been stored, and gives it back once the log has certainly refused it for a while.
func (sh *shard) append(f *sched.Flush, extra []extraRecord, seq int64) {
	a := &site.Append{Partition: sh.partition, Epoch: sh.core.Epoch, Sequence: seq, ExpectEnd: -1, Records: f.Records}
	for _, x := range extra {
		a.Records = append(a.Records, x.record)
	}
	began, refused := time.Now(), true
	for sh.life.Err() == nil {
		err := sh.store.AppendJobs(sh.life, a)
		if err == nil {
			appendTime.UpdateDuration(began)
			for _, x := range extra {
				if x.done != nil {
					x.done()
				}
			}
			sh.post(func(now time.Time) { sh.stored(now, f) })
			return
		}
		if errors.Is(err, site.ErrFenced) || errors.Is(err, site.ErrSequence) {
			sh.log.WithError(err).Warn("append refused; the partition has another owner")
			sh.post(func(time.Time) { sh.core.MarkFenced() })
			return
		}
		refused = refused && errors.Is(err, site.ErrNotDone)
		sh.log.WithError(err).WithField("sequence", seq).Info("append failed; it is repeated")
		if refused && time.Since(began) > giveBackAfter {
			sh.post(func(now time.Time) { sh.giveBack(now, f, extra, seq) })
			return
		}
		sh.post(func(now time.Time) { sh.appendFailed(now) })
		sleep(sh.life, flushPause)
	}
}

func (sh *shard) appendFailed(now time.Time) {
	if sh.badSince.IsZero() {
		sh.badSince = now
		sh.log.Warn("job log lost: new jobs are refused until it answers")
	}
}

// giveBack takes a flush back of which nothing was stored, and refuses the jobs in it.
func (sh *shard) giveBack(now time.Time, f *sched.Flush, extra []extraRecord, seq int64) {
	sh.appendFailed(now)
	sh.flushing, sh.sequence, sh.retryAt = false, seq, now.Add(flushPause)
	sh.extra = append(extra, sh.extra...)
	sh.core.FlushRefused(f)
	for id, list := range sh.waiters {
		if !list[0].cancel && sh.core.Withdraw(id) {
			for _, w := range list {
				w.answer(sh.refuseUnstored(now))
			}
			delete(sh.waiters, id)
		}
	}
}

// refuseUnstored answers a caller whose job cannot be stored.
func (sh *shard) refuseUnstored(now time.Time) site.Reply {
	back := time.Second
	if !sh.badSince.IsZero() && now.Sub(sh.badSince) > shortOutage {
		back = 2 * time.Second
	}
	return site.Reply{Outcome: site.Refused, RetryMS: back.Milliseconds(), Reason: "the job log does not answer"}
}

func (sh *shard) stored(now time.Time, f *sched.Flush) {
	if !sh.badSince.IsZero() {
		sh.log.WithField("after-ms", now.Sub(sh.badSince).Milliseconds()).Info("job log regained")
	}
	sh.flushing, sh.badSince = false, time.Time{}
	sh.core.Flushed(f)
	if sh.core.HandedOver() {
		sh.endHandover()
	}
	for id, list := range sh.waiters {
		if sh.settle(id, list) {
			delete(sh.waiters, id)
		}
	}
	sh.flush(now)
}
