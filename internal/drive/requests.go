package drive

import (
	"context"
	"time"

	"github.com/greengagelane/greengagelane/internal/usage"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// waiter is a request whose reply waits for an append to the job log.
type waiter struct {
	id       string
	job      *jobs.Job // of a submission
	heldTo   time.Time // until which a submission waits for a log that does not answer
	capped   bool      // heldTo is no later than the job's latest start
	isCancel bool      // a cancellation waits until the job's final state is stored, a submission until the job is stored
	// confirmed is set once the log has confirmed the ownership since the request came.
	confirmed bool
	reply     chan site.Reply
}

// answer sends the reply unless the request already has one.
func (w *waiter) answer(r site.Reply) {
	select {
	case w.reply <- r:
	default:
	}
}

// replyStored answers the waiting requests in list, all for one job, whose changes to the job
// are stored. It reports whether no request in list still waits.
func (part *ownedPartition) replyStored(id string, list []*waiter) bool {
	all := true
	for _, w := range list {
		switch {
		case w.isCancel && part.scheduler.FinalStored(id), !w.isCancel && part.scheduler.Stored(id):
			w.answer(site.Reply{Outcome: site.OK})
		default:
			all = false
		}
	}
	return all
}

// call handles a caller's request.
func (part *ownedPartition) call(ctx context.Context, c *jobCall) site.Reply {
	if !part.isLoaded() {
		return site.Reply{Outcome: site.NotOwner, Reason: "the partition is being taken over"}
	}
	w := &waiter{id: c.ID, job: c.Job, isCancel: c.Kind == site.CancelJob, reply: make(chan site.Reply, 1)}
	part.post(func(now time.Time) {
		defer usage.Request.Since(now)
		w.heldTo = now.Add(time.Duration(heldShare * float64(c.WaitMS) * float64(time.Millisecond)))
		part.handle(now, c, w)
	})
	select {
	case r := <-w.reply:
		return r
	case <-part.done:
		return replyAfterEnd(c.Kind, w)
	case <-ctx.Done():
	}
	part.post(func(time.Time) { part.withdraw(w) })
	const grace = 50 * time.Millisecond // for the partition's goroutine to reply
	t := time.NewTimer(grace)
	defer t.Stop()
	select {
	case r := <-w.reply:
		return r
	case <-t.C:
	}
	return site.Reply{Outcome: site.Undecided}
}

// replyAfterEnd returns the reply to a request whose partition has ended. A request that changes
// nothing can be sent to the next owner as if this entry had never been asked.
func replyAfterEnd(kind site.CallKind, w *waiter) site.Reply {
	select {
	case r := <-w.reply:
		return r
	default:
	}
	outcome := site.Undecided
	if kind == site.ShowJob || kind == site.CountWaiting {
		outcome = site.NotOwner
	}
	return site.Reply{Outcome: outcome, Reason: "the partition has changed its owner"}
}

// handle executes a caller's request on the partition's goroutine. It replies at once or adds
// the request to the waiters.
func (part *ownedPartition) handle(now time.Time, c *jobCall, w *waiter) {
	if part.scheduler.Retired() && (c.Kind == site.SubmitJob || c.Kind == site.CancelJob) {
		w.answer(site.Reply{Outcome: site.NotOwner, Reason: "the partition is being handed over"})
		return
	}
	if account, queue, known := part.scheduler.AccountOf(c.ID); known && !c.Allows(account, queue) {
		w.answer(replyForbidden(c))
		return
	}
	if unreadable, cancellable := part.scheduler.IsUnreadable(c.ID); unreadable && (c.Kind != site.CancelJob || !cancellable) {
		w.answer(site.Reply{Outcome: site.Undecided, Reason: "a record of the job cannot be decoded"})
		return
	}
	switch c.Kind {
	case site.SubmitJob:
		switch {
		case !part.scheduler.Known(c.ID) && part.lookUps.recent(now, c.ID):
			w.answer(site.Reply{Outcome: site.Undecided, Reason: "another partition may have accepted the job"})
		case !part.scheduler.Known(c.ID) && part.lookUpsLost(now, c):
			w.answer(site.Reply{Outcome: site.NotOwner, Reason: "the configuration is not confirmed since the takeover, or newer than the request's"})
		case !part.scheduler.Known(c.ID) && part.movedAway(c):
			w.answer(site.Reply{Outcome: site.NotOwner, Reason: "the queue has another pool now"})
		default:
			part.submit(now, c.Job, w)
		}
	case site.CancelJob:
		if !part.scheduler.Cancel(now, c.ID) {
			part.deny(now, c, w)
			return
		}
		part.addWaiter(w)
	case site.ShowJob:
		state, ok := part.scheduler.JobState(c.ID)
		if !ok && c.BeforeSubmit && part.scheduler.Known(c.ID) {
			w.answer(site.Reply{Outcome: site.Undecided, Reason: "the job log does not hold the job yet"})
			return
		}
		if !ok {
			part.deny(now, c, w)
			return
		}
		w.answer(site.Reply{Outcome: site.OK, State: state.String()})
	case site.CountWaiting:
		if part.tenure.Expired(now) {
			w.answer(part.replyUnconfirmed(now))
			return
		}
		w.answer(site.Reply{Outcome: site.OK, Waiting: part.scheduler.Waiting(c.Queue)})
	}
}

// deny answers a request about a job that is not known. A later owner may have accepted the job, so the request waits
// until the log has confirmed the ownership since it came; by then the job may be known here, too.
func (part *ownedPartition) deny(now time.Time, c *jobCall, w *waiter) {
	if w.confirmed {
		if c.BeforeSubmit {
			part.lookUps.record(now, c.ID)
		}
		w.answer(site.Reply{Outcome: site.NoSuchJob})
		return
	}
	part.onceConfirmed(now, func(now time.Time, confirmed bool) {
		if !confirmed {
			w.answer(part.replyUnconfirmed(now))
			return
		}
		w.confirmed = true
		part.handle(now, c, w)
	})
}

// replyUnconfirmed returns the reply to a request that changes nothing while the ownership is not confirmed.
// Unless this owner is about to be confirmed after a pause, the entry that asks may turn to another owner at once.
func (part *ownedPartition) replyUnconfirmed(now time.Time) site.Reply {
	outcome := site.NotOwner
	if part.unconfirmed || part.paused(now) {
		outcome = site.Undecided
	}
	return site.Reply{Outcome: outcome, Reason: "the partition may have another owner"}
}

// submit passes a job to the scheduler. An accepted request waits until the job is stored. During a
// log outage a new job is refused at once if it could not be in time even if it began now.
func (part *ownedPartition) submit(now time.Time, j *jobs.Job, w *waiter) {
	if j == nil || j.Check() != nil {
		w.answer(site.Reply{Outcome: site.BadRequest, Reason: "the job is missing or invalid"})
		return
	}
	known := part.scheduler.Known(j.ID)
	if !known {
		if err := part.scheduler.CheckRecord(j); err != nil {
			w.answer(site.Reply{Outcome: site.TooLarge, Reason: err.Error()})
			return
		}
	}
	if part.logDown(now) && !known && !part.scheduler.MayBeInTime(now, j) {
		w.answer(part.logDownReply(now))
		return
	}
	a := part.scheduler.Submit(now, j)
	if !a.Accepted {
		w.answer(site.Reply{Outcome: site.Refused, Reason: a.Reason, RetryMS: a.RetryAfter.Milliseconds()})
		return
	}
	part.addWaiter(w)
}

func (part *ownedPartition) addWaiter(w *waiter) {
	if !part.replyStored(w.id, []*waiter{w}) {
		part.waiters[w.id] = append(part.waiters[w.id], w)
	}
}

// withdraw ends the wait of a request that has timed out. A submitted job that was not sent to
// the job log is dropped and refused; otherwise the reply is site.Undecided.
func (part *ownedPartition) withdraw(w *waiter) {
	if w.job != nil && part.refuseUnstored(time.Now(), w.id) {
		return
	}
	w.answer(site.Reply{Outcome: site.Undecided, Reason: "the job log has not answered"})
}
