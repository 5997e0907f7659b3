package proxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/greengagelane/greengagelane/internal/admit"
	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/internal/route"
	"github.com/greengagelane/greengagelane/pkg/result"
)

// try makes attempts until one has an answer, or its verdict, the deadline or
// the retry budget allows no other.
func (h *Handler) try(ctx context.Context, r *request, grant *Grant) (*answer, *result.Problem) {
	budget := h.budget(r.svc.Name)
	var last *route.Worker
	certain := result.NotRun // verdict of the attempts so far
	for n := 1; ; n++ {
		if grant != nil && time.Now().After(grant.ValidUntil) && !grant.Renew(ctx) {
			return nil, result.Refuse(http.StatusServiceUnavailable, time.Second, "the holders of the request id no longer answer").WithEarlier(certain)
		}
		a, w, p := h.tryOnce(ctx, r, last)
		if p != nil {
			p = p.WithEarlier(certain)
			certain = p.Verdict
		} else {
			certain = result.Ran
		}
		if p == nil && !h.worthRetry(r, a) {
			budget.RecordSuccess()
			return a, nil
		}
		if !h.mayRepeat(r, p, n, w, budget) || ctx.Err() != nil {
			return a, p
		}
		if a != nil {
			a.close()
		}
		last = w
	}
}

// worthRetry reports whether an answer is a failure that another worker may not
// have. Only idempotent requests are run again.
func (h *Handler) worthRetry(r *request, a *answer) bool {
	return r.idempotent && a.res.StatusCode >= http.StatusInternalServerError && a.res.StatusCode != http.StatusNotImplemented
}

func (h *Handler) mayRepeat(r *request, p *result.Problem, n int, w *route.Worker, budget *admit.RetryBudget) bool {
	if w == nil || r.restUsed {
		return false
	}
	verdict := result.Ran
	if p != nil {
		verdict = p.Verdict
	}
	if !verdict.MayRetry(r.idempotent) {
		return false
	}
	if h.opts.BlindRetries > 0 {
		return n <= h.opts.BlindRetries
	}
	return n < maxAttempts && budget.Take()
}

// tryOnce makes one attempt and lets its worker's record learn from it.
func (h *Handler) tryOnce(ctx context.Context, r *request, last *route.Worker) (*answer, *route.Worker, *result.Problem) {
	now := time.Now()
	if !h.fresh(now) {
		return nil, nil, result.Refuse(http.StatusServiceUnavailable, freshRetryAfter, notCurrent)
	}
	w, pool := h.choose(r, now, last)
	if w == nil {
		return nil, nil, result.Refuse(http.StatusServiceUnavailable, time.Second, "service %q has no worker free", r.svc.Name)
	}
	a, p := h.attempt(ctx, r, w, pool.ConnsPerWorker, h.attemptLimit(r, w, now))
	took := time.Since(now)
	if p != nil && p.Verdict == result.MayHaveRun {
		w.CountAbandoned(time.Until(r.deadline) + max(attemptFactor*w.Latency(), minAttemptLimit))
	}
	ok := p == nil && a.res.StatusCode < http.StatusInternalServerError
	if ctx.Err() != nil && took < attemptFactor*w.Latency() {
		w.EndWithoutResult() // the caller gave it too little time to judge the worker
		return a, w, p
	}
	w.End(time.Now(), ok, took)
	if !ok {
		h.noteFailure(r, w, a, p)
	}
	return a, w, p
}

func (h *Handler) noteFailure(r *request, w *route.Worker, a *answer, p *result.Problem) {
	text := ""
	if p != nil {
		text = p.Error()
	} else {
		text = fmt.Sprintf("status %d", a.res.StatusCode)
	}
	metrics.GetOrCreateCounter(`greengagelane_failed_attempts_total`).Inc()
	h.events.Add(time.Now(), h.Table().Offset, event.Attempt, r.key, w.Name+": "+text)
}

// choose counts the request in on a worker of the table in force. A table that
// changes meanwhile may have taken the worker out of service, so it is read again
// after the count: an entry that reports a table's offset and no request in
// flight on a VM sends nothing there afterwards.
func (h *Handler) choose(r *request, now time.Time, last *route.Worker) (*route.Worker, *route.Pool) {
	for {
		t := h.Table()
		pool := t.PoolOf(r.svc.Name)
		if pool == nil || len(pool.Workers) == 0 {
			return nil, pool
		}
		w := h.chooseFrom(pool, now, last)
		if w == nil || h.Table() == t {
			return w, pool
		}
		w.EndWithoutResult()
	}
}

func (h *Handler) chooseFrom(pool *route.Pool, now time.Time, last *route.Worker) *route.Worker {
	if h.opts.BlindRetries > 0 {
		w := pool.Workers[h.turn.Add(1)%uint64(len(pool.Workers))]
		w.Begin()
		return w
	}
	if w := pool.Choose(now, last); w != nil {
		return w
	}
	return pool.Choose(now, nil)
}

// attemptLimit leaves time for another attempt if the request may have one.
func (h *Handler) attemptLimit(r *request, w *route.Worker, now time.Time) time.Duration {
	left := r.deadline.Sub(now)
	if !r.idempotent || r.rest != nil {
		return left
	}
	if h.opts.BlindRetries > 0 {
		return min(left, blindLimit)
	}
	usual := max(attemptFactor*w.Latency(), minAttemptLimit)
	return min(left, usual)
}
