package drive

import (
	"context"
	"time"
)

// question is a request whose answer is true only if no other entry had claimed the partition when it came. It waits
// for a confirmation of the ownership by the job log that begins after that.
type question struct {
	at     time.Time                           // when it came
	decide func(now time.Time, confirmed bool) // called once; confirmed is false if the log does not answer or the partition ends
}

// onceConfirmed has decide called once the log has confirmed the ownership after the present time. Without a log that
// answers, it is called at once: holding the request would only delay a retry at the next owner.
func (part *ownedPartition) onceConfirmed(now time.Time, decide func(now time.Time, confirmed bool)) {
	if part.unconfirmed || part.paused(now) || part.confirmationFails(now) {
		decide(now, false)
		return
	}
	part.questions = append(part.questions, question{at: now, decide: decide})
}

// confirmationFails reports whether the log is not likely to confirm the ownership soon.
func (part *ownedPartition) confirmationFails(now time.Time) bool {
	return part.logDown(now) || part.tenure.Expired(now)
}

// decideQuestions decides the questions that came before the latest confirmation began. While the log does not answer,
// it decides all of them.
func (part *ownedPartition) decideQuestions(now time.Time) {
	fails := part.unconfirmed || part.confirmationFails(now)
	list := part.questions
	part.questions = nil
	for _, q := range list {
		confirmed := part.tenure.ConfirmedSince(q.at)
		if !confirmed && !fails {
			part.questions = append(part.questions, q)
			continue
		}
		q.decide(now, confirmed)
	}
}

// dropQuestions decides all waiting questions without a confirmation, as the partition has ended.
func (part *ownedPartition) dropQuestions(now time.Time) {
	for _, q := range part.questions {
		q.decide(now, false)
	}
	part.questions = nil
}

// runOnceConfirmed is runOnPartition for a function whose result is true only if the log has confirmed the ownership since
// the call.
func runOnceConfirmed[T any](ctx context.Context, part *ownedPartition, f func(part *ownedPartition, now time.Time, confirmed bool) *T) (*T, error) {
	ch := make(chan *T, 1)
	part.post(func(now time.Time) {
		part.onceConfirmed(now, func(now time.Time, confirmed bool) { ch <- f(part, now, confirmed) })
	})
	return awaitResult(ctx, part, ch)
}

// confirmNow has the log confirm the ownership, and reports on any other goroutine than the partition's whether it has.
func (part *ownedPartition) confirmNow(ctx context.Context) bool {
	confirmed, err := runOnceConfirmed(ctx, part, func(_ *ownedPartition, _ time.Time, confirmed bool) *bool { return &confirmed })
	return err == nil && *confirmed
}
