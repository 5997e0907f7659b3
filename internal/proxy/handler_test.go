package proxy

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/claim"
	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/internal/route"
	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const maxBodyBytes = 32 << 10

// grantAll is a Claimer that grants every claim.
type grantAll struct {
	released, finished, renewed atomic.Int32
	validFor                    time.Duration // time until a grant expires; 0 means one minute
}

func (g *grantAll) Claim(context.Context, string) (*Grant, *claim.SavedResponse, *Refusal) {
	return &Grant{
		ValidUntil: time.Now().Add(cmp.Or(g.validFor, time.Minute)),
		Renew: func(context.Context) bool {
			g.renewed.Add(1)
			return true
		},
		Release: func() { g.released.Add(1) },
		Finish:  func(*claim.SavedResponse) { g.finished.Add(1) },
	}, nil, nil
}

// newTestHandler returns a handler with one service, svc, whose workers have the given addresses,
// and 8 slots.
func newTestHandler(t *testing.T, c Claimer, timeoutMs int, addresses ...string) *Handler {
	t.Helper()
	return newHandlerWithSlots(c, timeoutMs, 8, addresses...)
}

func benchHandler(address string) *Handler {
	return newHandlerWithSlots(&grantAll{}, 5000, 64, address)
}

// newHandlerWithSlots returns a handler with one service, svc, whose workers have the given
// addresses. slots is the number of slots of the pool, and of connections to each worker.
func newHandlerWithSlots(c Claimer, timeoutMs, slots int, addresses ...string) *Handler {
	h := NewHandler(Options{Name: "e", MaxBodyBytes: maxBodyBytes, CallerStallTimeout: time.Second, RetryPercent: 10},
		c, func(time.Time) bool { return true }, event.NewRing(16))
	pool := &route.Pool{Name: "p", ConnsPerWorker: int64(slots)}
	for _, a := range addresses {
		pool.Workers = append(pool.Workers, route.NewWorker(a, a))
	}
	svc := &route.Service{Service: fleet.Service{Name: "svc", Pool: "p", TimeoutMs: timeoutMs}, Pool: pool}
	h.SetTable(&route.Table{
		Services: map[string]*route.Service{"svc": svc},
		Pools:    map[string]*route.Pool{"p": pool},
	}, nil)
	h.Gate(pool).SetLimit(time.Now(), slots)
	return h
}

// call sends a request for the service svc to the handler and returns the response. If key is
// empty, the request has no idempotency key.
func call(h *Handler, method, key, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, "http://svc.example/x", strings.NewReader(body))
	if key != "" {
		req.Header.Set(result.IdempotencyKeyHeader, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

// startServer starts a backend server and returns its address.
func startServer(t *testing.T, f http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// hang reads the request and does not respond before the client disconnects.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// A caller may send a request again if the verdict is not-run, so the entry must not give that
// verdict after any attempt that may have run.
func TestVerdictOfAllAttempts(t *testing.T) {
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "short")
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(result.VerdictHeader, result.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := []struct {
		name, method string
		workers      []http.HandlerFunc // nil is a closed port
		verdict      result.Verdict
	}{
		{"may-have-run of an earlier attempt is kept", http.MethodGet, []http.HandlerFunc{hang, nil}, result.MayHaveRun},
		{"no worker can be reached", http.MethodPost, []http.HandlerFunc{nil, nil}, result.NotRun},
		{"a truncated response is not passed on", http.MethodPost, []http.HandlerFunc{truncate}, result.MayHaveRun},
		{"a worker's own refusal means not-run", http.MethodPost, []http.HandlerFunc{refuse, refuse}, result.NotRun},
		{"a worker that does not respond", http.MethodPost, []http.HandlerFunc{hang, hang}, result.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var addresses []string
			for _, f := range tt.workers {
				if f == nil {
					addresses = append(addresses, closedAddress(t))
				} else {
					addresses = append(addresses, startServer(t, f))
				}
			}
			for range 6 { // the first worker is chosen at random
				h := newTestHandler(t, &grantAll{}, 700, addresses...)
				w := call(h, tt.method, "key", "body")
				assert.Equal(t, w.Header().Get(result.VerdictHeader), tt.verdict.String(), w.Body.String())
				assert.Assert(t, w.Header().Get("Retry-After") != "")
			}
		})
	}
}

// A retry of a non-idempotent request whose connection broke after it was sent could run it twice.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	var runs atomic.Int32
	fail := func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	}
	c := &grantAll{}
	h := newTestHandler(t, c, 1000, startServer(t, fail), startServer(t, fail))
	// net/http by itself would resend a request with an empty body and an idempotency key.
	w := call(h, http.MethodPost, "key", "")
	assert.Equal(t, w.Header().Get(result.VerdictHeader), result.MayHaveRun.String())
	assert.Equal(t, runs.Load(), int32(1))
	assert.Equal(t, c.released.Load(), int32(0))
	assert.Equal(t, c.finished.Load(), int32(1))
}

// A request that timed out may still be running on the VM. If it no longer counted as in flight,
// the VM would be considered drained too early.
func TestAbandonedRequestCountsAsInFlight(t *testing.T) {
	h := newTestHandler(t, &grantAll{}, 100, startServer(t, hang))
	w := call(h, http.MethodPost, "key", "body")
	assert.Equal(t, w.Code, http.StatusGatewayTimeout)
	assert.Equal(t, h.Table().Pools["p"].Workers[0].InFlight(), int64(1))
}

// A request that waits for a slot while the routing table changes must be sent to a worker of the
// new table, not to a VM that is now out of service.
func TestQueuedRequestUsesTheNewTable(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan string, 4)
	server := func(name string) string {
		return startServer(t, func(http.ResponseWriter, *http.Request) {
			arrived <- name
			<-release
		})
	}
	a, b := server("a"), server("b")
	h := newTestHandler(t, &grantAll{}, 5000, a)
	pool := h.Table().Pools["p"]
	h.Gate(pool).SetLimit(time.Now(), 1)
	done := make(chan int, 2)
	request := func() { done <- call(h, http.MethodPost, "", "").Code }
	go request()
	assert.Equal(t, <-arrived, "a")
	go request()
	for h.Gate(pool).Load().Demand < 2 {
		time.Sleep(time.Millisecond)
	}
	next := &route.Pool{Name: "p", ConnsPerWorker: 8, Workers: []*route.Worker{route.NewWorker(b, b)}}
	svc := &route.Service{Service: h.Table().Services["svc"].Service, Pool: next}
	h.SetTable(&route.Table{Services: map[string]*route.Service{"svc": svc}, Pools: map[string]*route.Pool{"p": next}}, nil)
	close(release)
	assert.Equal(t, <-arrived, "b", "a VM out of service got a new request")
	assert.Equal(t, <-done+<-done, 400) // two responses with status 200
}

// A request may wait for its slot until its grant has expired; the grant must be renewed before
// the request is sent.
func TestExpiredGrantIsRenewed(t *testing.T) {
	c := &grantAll{validFor: -time.Second}
	h := newTestHandler(t, c, 1000, startServer(t, func(http.ResponseWriter, *http.Request) {}))
	w := call(h, http.MethodPost, "key", "body")
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	assert.Equal(t, c.renewed.Load(), int32(1))
}

// An invalid request must not reach a worker, and its caller must learn that it did not run.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	var runs atomic.Int32
	h := newTestHandler(t, &grantAll{}, 1000, startServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	tests := []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{"unknown service", func(r *http.Request) { r.Header.Set(result.ServiceHeader, "absent") }, 404},
		{"timeout that is not a number", func(r *http.Request) { r.Header.Set(result.TimeoutHeader, "soon") }, 400},
		{"timeout out of range", func(r *http.Request) { r.Header.Set(result.TimeoutHeader, "60001") }, 400},
		{"unknown priority", func(r *http.Request) { r.Header.Set(result.PriorityHeader, "now") }, 400},
		{"long request id", func(r *http.Request) { r.Header.Set(result.IdempotencyKeyHeader, strings.Repeat("x", 129)) }, 400},
		{"declared body too large", func(r *http.Request) { r.ContentLength = 1<<20 + 1 }, 413},
		{"body too large", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1)))
			r.ContentLength = -1
		}, 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, "http://svc.example/x", strings.NewReader("b"))
			tt.change(req)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, req)
			assert.Equal(t, w.Code, tt.status)
			assert.Equal(t, w.Header().Get(result.VerdictHeader), result.NotRun.String())
		})
	}
	assert.Equal(t, runs.Load(), int32(0))
}
