package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/admit"
	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/internal/route"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const (
	freshRetryAfter = 1 * time.Second
	minAttemptLimit = 250 * time.Millisecond // shortest time for an attempt that may be repeated
	attemptFactor   = 4                      // attempts get this many times the worker's mean latency
	blindLimit      = 500 * time.Millisecond // baseline: fixed timeout of an attempt
	maxAttempts     = 4
)

// Claimer gets a claim for a request id from its holders.
type Claimer interface {
	// Claim returns nil if the request may be dispatched, a saved answer of
	// another copy, or the refusal. The claim is valid until the returned time.
	Claim(ctx context.Context, key string) (*Grant, *claim.Saved, *result.Problem)
}

// Grant is the right to dispatch one request once.
type Grant struct {
	ValidUntil time.Time
	Release    func()             // the request certainly did not run
	Finish     func(*claim.Saved) // the request has its final answer, nil if unknown
}

// Options are the handler's settings.
type Options struct {
	Name         string
	MaxBodyBytes int64
	SenderStall  time.Duration
	RetryPercent int
	BlindRetries int  // baseline: this many retries, round robin, fixed timeout
	NoAdmission  bool // baseline: no queue and no refusal
}

// Handler serves callers.
type Handler struct {
	opts    Options
	table   atomic.Pointer[route.Table]
	gates   sync.Map // pool name to *admit.Gate
	budgets sync.Map // service name to *admit.RetryBudget
	clients clients
	claimer Claimer
	fresh   func(now time.Time) bool
	events  *event.Ring
	busy    atomic.Int64
	turn    atomic.Uint64 // baseline: round robin
}

// NewHandler returns a handler with an empty table. Fresh reports whether the
// entry can show that its state is current.
func NewHandler(opts Options, claimer Claimer, fresh func(time.Time) bool, events *event.Ring) *Handler {
	h := &Handler{opts: opts, claimer: claimer, fresh: fresh, events: events}
	h.clients.byWorker = map[*route.Worker]*http.Transport{}
	h.table.Store(&route.Table{})
	return h
}

// Table returns the routing table in force.
func (h *Handler) Table() *route.Table { return h.table.Load() }

// SetTable puts a routing table in force and closes connections to gone workers.
func (h *Handler) SetTable(t *route.Table, gone []*route.Worker) {
	h.table.Store(t)
	for _, w := range gone {
		h.clients.forget(w)
	}
}

// Busy returns the requests that are being served.
func (h *Handler) Busy() int64 { return h.busy.Load() }

// Gate returns the admission gate of a pool.
func (h *Handler) Gate(p *route.Pool) *admit.Gate {
	if g, ok := h.gates.Load(p.Name); ok {
		return g.(*admit.Gate)
	}
	g, _ := h.gates.LoadOrStore(p.Name, admit.NewGate(1, h.opts.NoAdmission))
	return g.(*admit.Gate)
}

func (h *Handler) budget(service string) *admit.RetryBudget {
	if b, ok := h.budgets.Load(service); ok {
		return b.(*admit.RetryBudget)
	}
	b, _ := h.budgets.LoadOrStore(service, admit.NewRetryBudget(h.opts.RetryPercent))
	return b.(*admit.RetryBudget)
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	h.busy.Add(1)
	defer h.busy.Add(-1)
	began := time.Now()
	r, p := h.parse(w, in, began)
	if p == nil {
		p = h.serve(w, r)
	}
	if p == nil {
		metrics.GetOrCreateCounter(`greengagelane_requests_total{verdict="ran"}`).Inc()
		metrics.GetOrCreateHistogram(`greengagelane_request_seconds`).UpdateDuration(began)
		return
	}
	h.reject(w, in, p)
}

func (h *Handler) reject(w http.ResponseWriter, in *http.Request, p *result.Problem) {
	now := time.Now()
	key := in.Header.Get(result.RequestHeader)
	metrics.GetOrCreateCounter(fmt.Sprintf(`greengagelane_requests_total{verdict=%q}`, p.Verdict.String())).Inc()
	h.events.Add(now, h.Table().Offset, event.Request, key, fmt.Sprintf("%d %s: %s", p.Status, p.Verdict, p.Title))
	logrus.WithFields(logrus.Fields{"request": key, "verdict": p.Verdict.String()}).Debug(p.Title)
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(now.Add(h.opts.SenderStall))
	if p.Status == http.StatusRequestTimeout || p.Status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
	p.Write(w)
}

// serve runs an accepted request and returns nil once it has been answered.
func (h *Handler) serve(w http.ResponseWriter, r *request) *result.Problem {
	pool := h.Table().PoolOf(r.svc.Name)
	if pool == nil || len(pool.Workers) == 0 {
		return result.Refuse(http.StatusServiceUnavailable, time.Second, "service %q has no worker in service", r.svc.Name)
	}
	ctx, cancel := h.requestContext(r)
	defer cancel()
	if r.idempotent {
		return h.serveAdmitted(ctx, w, r, pool, nil)
	}
	return h.serveOnce(ctx, w, r, pool)
}

// requestContext ends at the deadline. A request that runs at most once goes on
// when its caller has left, so that a resend gets its answer.
func (h *Handler) requestContext(r *request) (context.Context, context.CancelFunc) {
	ctx := r.in.Context()
	if !r.idempotent && r.rest == nil {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, r.deadline)
}

// serveOnce claims the request's id before it is dispatched.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, r *request, pool *route.Pool) *result.Problem {
	if !r.resendable {
		return h.serveAdmitted(ctx, w, r, pool, nil)
	}
	grant, saved, p := h.claimer.Claim(ctx, r.svc.Name+"/"+r.key)
	switch {
	case p != nil:
		return p
	case saved != nil:
		sendSaved(w, saved)
		return nil
	}
	p = h.serveAdmitted(ctx, w, r, pool, grant)
	if p != nil && p.Verdict == result.NotRun {
		grant.Release()
	} else if p != nil {
		grant.Finish(nil)
	}
	return p
}

// serveAdmitted waits for a slot, tries workers, and answers.
func (h *Handler) serveAdmitted(ctx context.Context, w http.ResponseWriter, r *request, pool *route.Pool, grant *Grant) *result.Problem {
	gate := h.Gate(pool)
	if p := gate.Enter(ctx, time.Now(), r.priority, r.deadline); p != nil {
		return p
	}
	entered := time.Now()
	leave := sync.OnceFunc(func() { gate.Leave(time.Now(), time.Since(entered)) })
	defer leave()
	a, p := h.try(ctx, r, grant)
	if p != nil {
		return p
	}
	if grant != nil {
		grant.Finish(a.saved())
	}
	if a.rest == nil {
		leave()
	}
	h.send(w, r, a)
	return nil
}

// try makes attempts until one has an answer, or its verdict, the deadline or
// the retry budget allows no other.
func (h *Handler) try(ctx context.Context, r *request, grant *Grant) (*answer, *result.Problem) {
	budget := h.budget(r.svc.Name)
	var last *route.Worker
	certain := result.NotRun // verdict of the attempts so far
	for n := 1; ; n++ {
		now := time.Now()
		if grant != nil && now.After(grant.ValidUntil) {
			return nil, result.Refuse(http.StatusServiceUnavailable, time.Second, "the claim on the request id is too old").After(certain)
		}
		a, w, p := h.tryOnce(ctx, r, last)
		if p != nil {
			p = p.After(certain)
			certain = p.Verdict
		} else {
			certain = result.Ran
		}
		if p == nil && !h.worthRetry(r, a) {
			budget.Succeeded()
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
		return nil, nil, result.Refuse(http.StatusServiceUnavailable, freshRetryAfter, "the entry cannot show that its configuration is current")
	}
	w, pool := h.choose(r, now, last)
	if w == nil {
		return nil, nil, result.Refuse(http.StatusServiceUnavailable, time.Second, "service %q has no worker free", r.svc.Name)
	}
	a, p := h.attempt(ctx, r, w, pool.PerWorker, h.attemptLimit(r, w, now))
	took := time.Since(now)
	if p != nil && p.Verdict == result.MayHaveRun {
		w.GiveUp(time.Until(r.deadline) + max(attemptFactor*w.Latency(), minAttemptLimit))
	}
	ok := p == nil && a.res.StatusCode < http.StatusInternalServerError
	if ctx.Err() != nil && took < attemptFactor*w.Latency() {
		w.Abandon() // the caller gave it too little time to judge the worker
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
		w.Abandon()
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
