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
	// Claim returns the grant to dispatch the request, a saved answer of another
	// copy, or the refusal.
	Claim(ctx context.Context, key string) (*Grant, *claim.SavedResponse, *result.Problem)
}

// Grant is the right to dispatch one request once.
type Grant struct {
	ValidUntil time.Time
	Renew      func(context.Context) bool // asks for the grants again; false if they were not given
	Release    func()                     // the request certainly did not run
	Finish     func(*claim.SavedResponse) // the request has its final answer, nil if unknown
}

// Options are the handler's settings.
type Options struct {
	Name               string
	MaxBodyBytes       int64
	CallerStallTimeout time.Duration
	RetryPercent       int
	BlindRetries       int  // baseline: this many retries, round robin, fixed timeout
	NoAdmission        bool // baseline: no queue and no refusal
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

// InFlight returns the requests that are being served.
func (h *Handler) InFlight() int64 { return h.busy.Load() }

// Gate returns the admission gate of a pool.
func (h *Handler) Gate(p *route.Pool) *admit.Gate {
	return loadOr(&h.gates, p.Name, func() *admit.Gate { return admit.NewGate(1, h.opts.NoAdmission) })
}

func (h *Handler) budget(service string) *admit.RetryBudget {
	return loadOr(&h.budgets, service, func() *admit.RetryBudget { return admit.NewRetryBudget(h.opts.RetryPercent) })
}

// loadOr returns the value of a key, which it makes if there is none.
func loadOr[T any](m *sync.Map, key string, newValue func() T) T {
	if v, ok := m.Load(key); ok {
		return v.(T)
	}
	v, _ := m.LoadOrStore(key, newValue())
	return v.(T)
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
	key := in.Header.Get(result.IdempotencyKeyHeader)
	metrics.GetOrCreateCounter(fmt.Sprintf(`greengagelane_requests_total{verdict=%q}`, p.Verdict.String())).Inc()
	h.events.Add(now, h.Table().Offset, event.Request, key, fmt.Sprintf("%d %s: %s", p.Status, p.Verdict, p.Title))
	logrus.WithFields(logrus.Fields{"request": key, "verdict": p.Verdict.String()}).Debug(p.Title)
	h.extendWrite(w)
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
		h.sendSaved(w, saved)
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
