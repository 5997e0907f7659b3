package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/result"
)

// dialEntry returns a connection to a handler with one worker, one slot and a CallerStallTimeout of
// 100 ms.
func dialEntry(t *testing.T, worker http.HandlerFunc) (net.Conn, *Handler) {
	t.Helper()
	h := newHandlerWithSlots(&grantAll{}, 30_000, 1, startServer(t, worker))
	h.opts.CallerStallTimeout = 100 * time.Millisecond
	entryServer := httptest.NewServer(h)
	t.Cleanup(entryServer.Close)
	c, err := net.Dial("tcp", entryServer.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, h
}

// A caller that stalls while it sends a short body must not occupy a slot, and gets the verdict
// not-run, since the request is not sent to a worker before its body is complete.
func TestStalledSenderIsRefusedAndHoldsNoSlot(t *testing.T) {
	c, h := dialEntry(t, func(http.ResponseWriter, *http.Request) { t.Error("the request ran") })
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: svc\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, res.Header.Get(result.VerdictHeader), result.NotRun.String())
	assert.Equal(t, h.Gate(h.Table().Pools["p"]).Load().Running, 0)
}

// The caller stalls after it has sent more than the entry buffers, so the backend server may have
// started to run the request: the verdict must not be not-run.
func TestSenderStalledInALongBody(t *testing.T) {
	c, h := dialEntry(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	const length = 4 * bufferedRequestBytes
	h.opts.MaxBodyBytes = length
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: svc\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", 2*bufferedRequestBytes))
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(result.VerdictHeader), result.MayHaveRun.String())
	assert.Equal(t, h.Gate(h.Table().Pools["p"]).Load().Running, 0)
}

// The entry buffers only the start of a long body and streams the rest from the caller. The worker
// must get both, in order and once.
func TestLongBodyIsForwardedCompletely(t *testing.T) {
	body := strings.Repeat("0123456789", bufferedRequestBytes/4)
	var got string
	worker := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got = string(data)
		_, _ = w.Write(data)
	})
	h := newHandlerWithSlots(&grantAll{}, 30_000, 1, worker)
	h.opts.MaxBodyBytes = 1 << 20
	w := call(h, http.MethodPost, "key", body)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, got == body && w.Body.String() == body)
}

// A caller that requests a long response and reads none of it must not keep its slot or the
// backend server's connection.
func TestCallerThatReadsNoResponseHoldsNoSlot(t *testing.T) {
	done := make(chan struct{})
	c, h := dialEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(done)
		for range 1024 {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: svc\r\n\r\n")
	assert.NilError(t, err)
	<-done // the entry has stopped reading the backend server's response
	for h.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, h.Gate(h.Table().Pools["p"]).Load().Running, 0)
}

// A response that breaks off after its start has been passed on must end the caller's connection,
// so that the caller does not treat the truncated body as complete.
func TestTruncatedLongResponseEndsTheConnection(t *testing.T) {
	c, _ := dialEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(8*bufferedResponseBytes))
		_, _ = w.Write(make([]byte, 4*bufferedResponseBytes))
	})
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: svc\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A response whose start has arrived in time is ready for the caller, so its rest has to be
// delivered although the deadline passes meanwhile. The connection used to be cut at the deadline.
func TestLongResponseIsDeliveredPastTheDeadline(t *testing.T) {
	const timeoutMs, length = 150, 3 * bufferedResponseBytes
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", fmt.Sprint(length))
		_, _ = io.WriteString(w, strings.Repeat("x", 2*bufferedResponseBytes))
		w.(http.Flusher).Flush()
		time.Sleep(2 * timeoutMs * time.Millisecond)
		_, _ = io.WriteString(w, strings.Repeat("x", bufferedResponseBytes))
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		entryServer := httptest.NewServer(newTestHandler(t, &grantAll{}, timeoutMs, addr))
		req, err := http.NewRequest(method, entryServer.URL, strings.NewReader("body"))
		assert.NilError(t, err)
		req.Host = "svc"
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(res.Body)
		assert.NilError(t, err, method)
		assert.Equal(t, len(body), length, method)
		res.Body.Close()
		entryServer.Close()
	}
}

// A response longer than the entry buffers may arrive just as its attempt times out. It has to be delivered to its
// end, or not at all, as the caller has no use for a part of it.
func TestLongResponseAtTheTimeoutIsNotCut(t *testing.T) {
	const timeoutMS, attempts, spread = 60, 400, 3 * time.Millisecond
	body := strings.Repeat("x", 4*bufferedResponseBytes)
	h := newHandlerWithSlots(&grantAll{}, timeoutMS, attempts, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get(result.TimeoutHeader))
		assert.Check(t, err)
		time.Sleep(time.Duration(left)*time.Millisecond - rand.N(spread))
		_, _ = io.WriteString(w, body)
	}))
	entry := httptest.NewServer(h)
	defer entry.Close()
	var active sync.WaitGroup
	var whole atomic.Int64
	for range attempts {
		active.Go(func() {
			req := httptest.NewRequest(http.MethodPost, entry.URL, strings.NewReader("body"))
			req.Host, req.RequestURI = "svc", ""
			res, err := http.DefaultClient.Do(req)
			if !assert.Check(t, err) {
				return
			}
			defer res.Body.Close()
			if res.StatusCode == http.StatusOK {
				whole.Add(1)
			}
			data, err := io.ReadAll(res.Body)
			assert.Check(t, err, "the response was cut after %d of %d bytes", len(data), len(body))
		})
		time.Sleep(time.Millisecond)
	}
	active.Wait()
	assert.Assert(t, whole.Load() > 0, "no response arrived in time")
}
