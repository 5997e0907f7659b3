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

// attemptWithRetries makes attempts until one succeeds, or until the verdict of the last attempt,
// the deadline, the retry budget or maxAttempts rules out another. Before each attempt it renews
// an expired grant. If it returns a problem, the response is nil or closed.
func (h *Handler) attemptWithRetries(ctx context.Context, r *request, grant *Grant) (*response, *result.Problem) {
	budget := h.budget(r.svc.Name)
	var lastWorker *route.Worker
	verdictSoFar := result.NotRun // combined verdict of the attempts
	for n := 1; ; n++ {
		if grant != nil && time.Now().After(grant.ValidUntil) && !grant.Renew(ctx) {
			return nil, result.Refuse(http.StatusServiceUnavailable, time.Second, "the claim on the request id has expired and could not be renewed").WithEarlier(verdictSoFar)
		}
		resp, w, p := h.chooseAndAttempt(ctx, r, lastWorker)
		if p != nil {
			p = p.WithEarlier(verdictSoFar)
			verdictSoFar = p.Verdict
		} else {
			verdictSoFar = result.Ran
		}
		if p == nil && !h.isRetryableResponse(r, resp) {
			budget.RecordSuccess()
			return resp, nil
		}
		if !h.mayRetry(r, p, n, w, budget) || ctx.Err() != nil {
			return resp, p
		}
		if resp != nil {
			resp.close()
		}
		lastWorker = w
	}
}

// isRetryableResponse reports whether the response is a server error that another worker might
// not return. Only an idempotent request may be retried, since the request has run.
func (h *Handler) isRetryableResponse(r *request, resp *response) bool {
	return r.idempotent && resp.res.StatusCode >= http.StatusInternalServerError && resp.res.StatusCode != http.StatusNotImplemented
}

// mayRetry reports whether another attempt may follow attempt n, which went to worker w and ended
// with problem p, or with a retryable response if p is nil. A body of which more than the
// buffered start may have been sent cannot be sent again.
func (h *Handler) mayRetry(r *request, p *result.Problem, n int, w *route.Worker, budget *admit.RetryBudget) bool {
	if w == nil || r.bodyRestUsed {
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

// chooseAndAttempt makes one attempt and records the result in the statistics of its worker. The
// worker is nil if no attempt was made.
func (h *Handler) chooseAndAttempt(ctx context.Context, r *request, lastWorker *route.Worker) (*response, *route.Worker, *result.Problem) {
	now := time.Now()
	if !h.fresh(now) {
		return nil, nil, result.Refuse(http.StatusServiceUnavailable, notFreshRetryAfter, notFreshTitle)
	}
	w, pool := h.chooseWorker(r, now, lastWorker)
	if w == nil {
		return nil, nil, result.Refuse(http.StatusServiceUnavailable, time.Second, "service %q has no available worker", r.svc.Name)
	}
	resp, p := h.attempt(ctx, r, w, pool.ConnsPerWorker, h.attemptTimeout(r, w, now))
	took := time.Since(now)
	if p != nil && p.Verdict == result.MayHaveRun {
		// The VM may run the request until the deadline, which the timeout header gave it. The
		// timeout of one attempt is added as a margin.
		w.CountAbandoned(time.Until(r.deadline) + max(attemptLatencyFactor*w.Latency(), minAttemptTimeout))
	}
	ok := p == nil && resp.res.StatusCode < http.StatusInternalServerError
	if ctx.Err() != nil && took < attemptLatencyFactor*w.Latency() {
		w.EndWithoutResult() // the request's deadline or its caller ended the attempt too early to judge the worker by it
		return resp, w, p
	}
	w.End(time.Now(), ok, took)
	if !ok {
		h.recordFailure(r, w, resp, p)
	}
	return resp, w, p
}

func (h *Handler) recordFailure(r *request, w *route.Worker, resp *response, p *result.Problem) {
	text := ""
	if p != nil {
		text = p.Error()
	} else {
		text = fmt.Sprintf("status %d", resp.res.StatusCode)
	}
	metrics.GetOrCreateCounter(`greengagelane_failed_attempts_total`).Inc()
	h.events.Add(time.Now(), h.Table().Offset, event.Attempt, r.key, w.Name+": "+text)
}

// chooseWorker chooses a worker from the current routing table and counts the request as in
// flight on it. A new table may meanwhile have taken the worker out of service, so the table is
// read again after the count, and the choice is repeated if the table has changed. So once an
// entry reports the offset of a table in which a VM is out of service, and reports no request in
// flight on that VM, it sends the VM no more requests.
func (h *Handler) chooseWorker(r *request, now time.Time, lastWorker *route.Worker) (*route.Worker, *route.Pool) {
	for {
		t := h.Table()
		pool := t.PoolOf(r.svc.Name)
		if pool == nil || len(pool.Workers) == 0 {
			return nil, pool
		}
		w := h.chooseFromPool(pool, now, lastWorker)
		if w == nil || h.Table() == t {
			return w, pool
		}
		w.EndWithoutResult()
	}
}

// chooseFromPool chooses a worker of the pool and counts the request as in flight on it. It chooses
// lastWorker, the worker of the last attempt, only if no other is available.
func (h *Handler) chooseFromPool(pool *route.Pool, now time.Time, lastWorker *route.Worker) *route.Worker {
	if h.opts.BlindRetries > 0 {
		w := pool.Workers[h.roundRobin.Add(1)%uint64(len(pool.Workers))]
		w.Begin()
		return w
	}
	if w := pool.Choose(now, lastWorker); w != nil {
		return w
	}
	return pool.Choose(now, nil)
}

// attemptTimeout returns the timeout of one attempt. If the request may be retried, the timeout
// is derived from the worker's mean latency, to leave time for another attempt, or is fixed if
// BlindRetries is set.
func (h *Handler) attemptTimeout(r *request, w *route.Worker, now time.Time) time.Duration {
	remaining := r.deadline.Sub(now)
	if !r.idempotent || r.bodyRest != nil {
		return remaining
	}
	if h.opts.BlindRetries > 0 {
		return min(remaining, baselineAttemptTimeout)
	}
	timeout := max(attemptLatencyFactor*w.Latency(), minAttemptTimeout)
	return min(remaining, timeout)
}
