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
	notFreshRetryAfter     = 1 * time.Second        // Retry-After of a request refused because the state is not fresh
	minAttemptTimeout      = 250 * time.Millisecond // shortest timeout of an attempt that may be retried
	attemptLatencyFactor   = 4                      // timeout of an attempt that may be retried, as a multiple of its worker's mean latency
	baselineAttemptTimeout = 500 * time.Millisecond // fixed timeout of an attempt if Options.BlindRetries is set
	maxAttempts            = 4                      // of one request, including the first
)

// Claimer claims request ids, so that of several copies of a request only one is dispatched.
type Claimer interface {
	// Claim returns a grant to dispatch the request, or the saved response to another copy of
	// it, or a refusal. The other two results are nil.
	Claim(ctx context.Context, key string) (*Grant, *claim.SavedResponse, *Refusal)
}

// Refusal is the problem of a request whose claim was refused.
type Refusal struct {
	*result.Problem
	Release func() // lets other copies of the request run, once the problem has been sent, which says that none has; nil if it does not say so
}

// Grant is the right to dispatch one request once.
type Grant struct {
	ValidUntil time.Time
	Renew      func(context.Context) bool // extends ValidUntil; false if the claim could not be renewed
	Release    func()                     // gives up the claim; only for a request that certainly did not run
	Finish     func(*claim.SavedResponse) // stores the response for other copies; nil if the response is not known or too large to store
}

// Options are the handler's settings.
type Options struct {
	Name               string
	MaxBodyBytes       int64
	CallerStallTimeout time.Duration // a caller that sends or reads nothing for this long is disconnected
	RetryPercent       int           // retries allowed per 100 successful requests of a service

	// The baseline modes replace retries and admission by simpler forms. They are for comparisons
	// only.
	BlindRetries int  // if above 0, a request may be retried this often, without a retry budget; workers are chosen round robin and the attempt timeout is fixed
	NoAdmission  bool // requests are neither queued nor refused for lack of capacity
}

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	opts       Options
	table      atomic.Pointer[route.Table]
	gates      sync.Map // pool name to *admit.Gate
	budgets    sync.Map // service name to *admit.RetryBudget
	transports workerTransports
	claimer    Claimer
	fresh      func(now time.Time) bool
	events     *event.Ring
	inFlight   atomic.Int64
	roundRobin atomic.Uint64 // counter for round robin if Options.BlindRetries is set
}

// NewHandler returns a handler with an empty routing table. fresh reports whether the entry can
// prove that its state is current; while it cannot, requests are refused.
func NewHandler(opts Options, claimer Claimer, fresh func(time.Time) bool, events *event.Ring) *Handler {
	h := &Handler{opts: opts, claimer: claimer, fresh: fresh, events: events}
	h.transports.byWorker = map[*route.Worker]*http.Transport{}
	h.table.Store(&route.Table{})
	return h
}

// Table returns the current routing table.
func (h *Handler) Table() *route.Table { return h.table.Load() }

// SetTable replaces the routing table. removed are the workers that the new table no longer has;
// their transports are discarded and their idle connections closed.
func (h *Handler) SetTable(t *route.Table, removed []*route.Worker) {
	h.table.Store(t)
	for _, w := range removed {
		h.transports.remove(w)
	}
}

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Gate returns the admission gate of a pool. If there is none, it creates one whose limit is one
// slot until SetLimit is called.
func (h *Handler) Gate(p *route.Pool) *admit.Gate {
	return loadOrCreate(&h.gates, p.Name, func() *admit.Gate { return admit.NewGate(1, h.opts.NoAdmission) })
}

func (h *Handler) budget(service string) *admit.RetryBudget {
	return loadOrCreate(&h.budgets, service, func() *admit.RetryBudget { return admit.NewRetryBudget(h.opts.RetryPercent) })
}

// loadOrCreate returns the value stored under key and stores a new one if there is none.
func loadOrCreate[T any](m *sync.Map, key string, newValue func() T) T {
	if v, ok := m.Load(key); ok {
		return v.(T)
	}
	v, _ := m.LoadOrStore(key, newValue())
	return v.(T)
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
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
	h.writeProblem(w, in, p)
	if r != nil && r.releaseClaim != nil {
		_ = http.NewResponseController(w).Flush() // without it the response would be sent after the release
		r.releaseClaim()
	}
}

// writeProblem answers the request with a problem, and records it in the metrics, the events and
// the log. It closes the connection if part of the request's body may be unread.
func (h *Handler) writeProblem(w http.ResponseWriter, in *http.Request, p *result.Problem) {
	now := time.Now()
	key := in.Header.Get(result.IdempotencyKeyHeader)
	metrics.GetOrCreateCounter(fmt.Sprintf(`greengagelane_requests_total{verdict=%q}`, p.Verdict.String())).Inc()
	h.events.Add(now, h.Table().Offset, event.Request, key, fmt.Sprintf("%d %s: %s", p.Status, p.Verdict, p.Title))
	logrus.WithFields(logrus.Fields{"request": key, "verdict": p.Verdict.String()}).Debug(p.Title)
	h.extendWriteDeadline(w)
	if p.Status == http.StatusRequestTimeout || p.Status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
	p.Write(w, now)
}

// serve dispatches a valid request and writes its response. If it returns a problem, nothing has
// been written yet.
func (h *Handler) serve(w http.ResponseWriter, r *request) *result.Problem {
	ctx, cancel := h.requestContext(r)
	defer cancel()
	if r.idempotent {
		return h.admitAndServe(ctx, w, r, nil)
	}
	return h.claimAndServe(ctx, w, r)
}

// requestContext returns a context that ends at the request's deadline. A non-idempotent request
// whose body has been read completely continues when its caller disconnects, so that another copy
// of it gets the response.
func (h *Handler) requestContext(r *request) (context.Context, context.CancelFunc) {
	ctx := r.in.Context()
	if !r.idempotent && r.bodyRest == nil {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, r.deadline)
}

// claimAndServe serves a non-idempotent request. If the caller sent an idempotency key, copies
// may arrive at other entries, so the request id is claimed before the request is dispatched or
// refused: only the holder of the claim knows that no other copy has run. The claim of a refused
// request is released after the response, since another copy may run from then on.
func (h *Handler) claimAndServe(ctx context.Context, w http.ResponseWriter, r *request) *result.Problem {
	if !r.keyFromCaller {
		return h.admitAndServe(ctx, w, r, nil)
	}
	grant, saved, refusal := h.claimer.Claim(ctx, r.svc.Name+"/"+r.key)
	switch {
	case refusal != nil:
		r.releaseClaim = refusal.Release
		return refusal.Problem
	case saved != nil:
		h.writeSavedResponse(w, saved)
		return nil
	}
	p := h.admitAndServe(ctx, w, r, grant)
	if p != nil && p.Verdict == result.NotRun {
		r.releaseClaim = grant.Release
	} else if p != nil {
		grant.Finish(nil)
	}
	return p
}

// admitAndServe waits for a slot, sends the request to workers, and writes the response. A
// buffered response is written after the slot has been released, so a slow caller does not
// occupy it.
func (h *Handler) admitAndServe(ctx context.Context, w http.ResponseWriter, r *request, grant *Grant) *result.Problem {
	pool := h.Table().PoolOf(r.svc.Name)
	if pool == nil || len(pool.Workers) == 0 {
		return result.Refuse(http.StatusServiceUnavailable, time.Second, "service %q has no serving worker", r.svc.Name)
	}
	gate := h.Gate(pool)
	if p := gate.Enter(ctx, time.Now(), r.priority, r.deadline); p != nil {
		return p
	}
	entered := time.Now()
	leave := sync.OnceFunc(func() { gate.Leave(time.Now(), time.Since(entered)) })
	defer leave()
	resp, p := h.attemptWithRetries(ctx, r, grant)
	if p != nil {
		return p
	}
	if grant != nil {
		grant.Finish(resp.toSaved())
	}
	if resp.bodyRest == nil {
		leave()
	}
	h.writeResponse(w, r, resp)
	return nil
}
