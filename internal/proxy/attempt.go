package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagelane/greengagelane/internal/route"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const (
	dialTimeout           = 1 * time.Second
	idleConnTimeout       = 1 * time.Second  // an idle connection may have died unnoticed, so it is not reused after this
	bufferedResponseBytes = 64 << 10         // longest response body that is read completely before any of it is sent on
	backendStallTimeout   = 10 * time.Second // a response body of which nothing arrives for this long is aborted
)

// workerTransports holds one HTTP transport, with its own connection pool, for each worker.
type workerTransports struct {
	mu       sync.Mutex
	byWorker map[*route.Worker]*http.Transport
}

// get returns the transport of a worker. If there is none, it creates one that opens at most
// maxConns connections; an existing transport keeps its limit.
func (c *workerTransports) get(w *route.Worker, maxConns int64) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.byWorker[w]
	if t == nil {
		t = &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:        int(maxConns),
			MaxIdleConnsPerHost:    int(maxConns),
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: 1 << 20,
		}
		c.byWorker[w] = t
	}
	return t
}

// remove discards the transport of a worker that has left the routing table, and closes its idle
// connections.
func (c *workerTransports) remove(w *route.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.byWorker[w]; t != nil {
		t.CloseIdleConnections()
		delete(c.byWorker, w)
	}
}

// response is a backend server's response of which the header and the start of the body have
// been read.
type response struct {
	res        *http.Response
	bodyPrefix []byte
	bodyRest   io.ReadCloser // nil if bodyPrefix is the whole body
	cancel     context.CancelFunc
}

// attempt sends the request to one worker, and reads the header and the start of the body of the
// response. The timeout and the context cover sending and reading these, not the rest of the body:
// a response that has begun is delivered to its end, also past the request's deadline. On failure
// the problem's verdict says whether the request may have run; if the backend server itself refused
// the request, the closed response is returned with the problem.
func (h *Handler) attempt(ctx context.Context, r *request, w *route.Worker, maxConns int64, timeout time.Duration) (*response, *result.Problem) {
	attemptCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopFollowing := context.AfterFunc(ctx, cancel)
	defer stopFollowing()
	timer := time.AfterFunc(timeout, cancel)
	var connected atomic.Bool
	attemptCtx = httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaderField: func(string, []string) { connected.Store(true) },
	})
	transport := h.transports.get(w, maxConns)
	res, err := transport.RoundTrip(h.newAttemptRequest(attemptCtx, r, w))
	if err != nil {
		cancel()
		timer.Stop()
		transport.CloseIdleConnections() // the other connections to the worker may be dead too
		return nil, attemptProblem(err, connected.Load())
	}
	resp := &response{res: res, cancel: cancel}
	if err := resp.readBodyPrefix(); err != nil {
		cancel()
		timer.Stop()
		return nil, result.Unknown(http.StatusBadGateway, "the backend server's response was truncated: %v", err)
	}
	inTime := timer.Stop() && stopFollowing()
	if !inTime && resp.bodyRest != nil { // attemptCtx has ended, and with it the rest of the body
		resp.close()
		return nil, attemptProblem(context.DeadlineExceeded, true)
	}
	return resp, workerRefusal(resp)
}

// attemptProblem returns the problem of an attempt without a response. If no connection was
// obtained, nothing has been sent, so the request certainly did not run.
func attemptProblem(err error, connected bool) *result.Problem {
	if !connected {
		return result.Refuse(http.StatusBadGateway, time.Second, "the backend server could not be reached: %v", err)
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return result.Unknown(http.StatusGatewayTimeout, "the backend server did not respond in time")
	}
	return result.Unknown(http.StatusBadGateway, "the backend server did not respond: %v", err)
}

// workerRefusal closes the response and returns a refusal if the backend server itself states in
// the response that the request did not run. Otherwise it returns nil.
func workerRefusal(resp *response) *result.Problem {
	if resp.res.StatusCode != http.StatusServiceUnavailable || resp.res.Header.Get(result.VerdictHeader) != result.NotRun.String() {
		return nil
	}
	resp.close()
	return result.Refuse(http.StatusServiceUnavailable, time.Second, "the backend server refused the request")
}

func (h *Handler) newAttemptRequest(ctx context.Context, r *request, w *route.Worker) *http.Request {
	out := r.in.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = w.Address
	out.RequestURI = ""
	out.Close = false
	out.Body = r.body()
	out.GetBody = nil
	out.ContentLength = r.in.ContentLength
	if r.bodyRest == nil {
		out.ContentLength = int64(len(r.bodyPrefix))
	}
	removeHopHeaders(out.Header)
	out.Header.Set(result.IdempotencyKeyHeader, r.key)
	out.Header.Set(result.EntryHeader, h.opts.Name)
	out.Header.Set(result.PoolHeader, r.svc.Service.Pool)
	remaining := max(time.Until(r.deadline).Milliseconds(), 1)
	out.Header.Set(result.TimeoutHeader, strconv.FormatInt(remaining, 10))
	if host, _, err := net.SplitHostPort(r.in.RemoteAddr); err == nil {
		out.Header.Add("X-Forwarded-For", host)
	}
	return out
}

// readBodyPrefix reads the start of the body. It closes a body of at most bufferedResponseBytes,
// which is then complete. For a longer body it reads one byte more than that and sets bodyRest.
func (resp *response) readBodyPrefix() error {
	prefix, err := io.ReadAll(io.LimitReader(resp.res.Body, bufferedResponseBytes+1))
	if err != nil {
		return err
	}
	resp.bodyPrefix = prefix
	if len(prefix) > bufferedResponseBytes {
		resp.bodyRest = resp.res.Body
		return nil
	}
	resp.res.Body.Close()
	resp.cancel()
	return nil
}

func (resp *response) close() {
	resp.res.Body.Close()
	resp.cancel()
}

// hopHeaders are the hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
