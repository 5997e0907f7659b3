package httpd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startServer starts a server whose requests take a short time, and returns its address.
func startServer(t *testing.T, handled *atomic.Int64) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(2 * time.Millisecond)
		handled.Add(1)
		_, _ = io.WriteString(w, "done")
	})}, ln) // closed by the test or the cleanup
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { s.Close() })
	return s, ln.Addr().String()
}

// caller sends requests one after the other on one raw connection and counts them.
type caller struct {
	conn       net.Conn
	sent, done int
	ended      bool // a response or, while no request was under way, the server has ended the connection
}

func (c *caller) request(r *bufio.Reader) error {
	if _, err := fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		return err
	}
	c.sent++
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != "done" {
		return fmt.Errorf("response %q: %w", body, err)
	}
	c.done++
	c.ended = res.Close
	return nil
}

// TestStopCutsNoRequest guards against a request that is cut off because its connection is
// closed as idle at the moment at which the server begins to stop. Callers send requests on
// open connections at random times until a response ends the connection.
func TestStopCutsNoRequest(t *testing.T) {
	const rounds, callers = 12, 60
	requests := 0
	for range rounds {
		var handled atomic.Int64
		s, addr := startServer(t, &handled)
		list := make([]*caller, callers)
		var wg sync.WaitGroup
		errs := make(chan error, callers)
		for i := range list {
			c, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			list[i] = &caller{conn: c}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer c.Close()
				r := bufio.NewReader(c)
				for !list[i].ended {
					if err := list[i].request(r); err != nil {
						errs <- fmt.Errorf("caller %d, request %d: %w", i, list[i].sent, err)
						return
					}
					time.Sleep(time.Duration(i%7) * time.Millisecond)
				}
			}()
		}
		time.Sleep(20 * time.Millisecond)
		s.BeginStop()
		wg.Wait()
		close(errs)
		for err := range errs {
			t.Error(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		assert.NilError(t, s.Shutdown(ctx))
		cancel()
		for _, c := range list {
			requests += c.done
		}
	}
	assert.Assert(t, requests > 1000, "only %d requests", requests)
}

// TestShutdownAnswersRequestThatHasArrived guards against an idle connection that is closed
// although a request has arrived on it, and against a connection in the accept queue that is
// reset. Each request that was sent before Shutdown gets its response.
func TestShutdownAnswersRequestThatHasArrived(t *testing.T) {
	tests := []struct {
		name  string
		first bool // the connection has carried a request before
	}{
		{"idle connection", true},
		{"new connection", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const rounds = 40
			for i := range rounds {
				var handled atomic.Int64
				s, addr := startServer(t, &handled)
				c, err := net.Dial("tcp", addr)
				assert.NilError(t, err)
				client := &caller{conn: c}
				r := bufio.NewReader(c)
				if tt.first {
					assert.NilError(t, client.request(r))
				}
				result := make(chan error, 1)
				_, err = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				assert.NilError(t, err)
				go func() {
					res, err := http.ReadResponse(r, nil)
					if err == nil {
						res.Body.Close()
					}
					result <- err
				}()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				assert.NilError(t, s.Shutdown(ctx))
				cancel()
				assert.NilError(t, <-result, "round %d", i)
				c.Close()
			}
		})
	}
}

// TestShutdownClosesIdleConnections guards against a stop that waits for callers that keep an
// idle connection open.
func TestShutdownClosesIdleConnections(t *testing.T) {
	var handled atomic.Int64
	s, addr := startServer(t, &handled)
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	client := &caller{conn: c}
	assert.NilError(t, client.request(bufio.NewReader(c)))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
	_, err = net.DialTimeout("tcp", addr, time.Second)
	assert.Assert(t, err != nil, "the listener is still open")
}

// TestLateAcceptTakesQueuedConnection guards against a connection that is reset because the accept loop
// is scheduled only after the deadline that end has set.
func TestLateAcceptTakesQueuedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	l := &listener{Listener: ln}
	l.end()
	time.Sleep(2 * lastAcceptWait)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	accepted.Close()
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// TestShutdownBeforeServe guards against a connection that is reset because the server is told to stop
// before its goroutine has begun to serve.
func TestShutdownBeforeServe(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	})}, ln)
	defer s.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.Sleep(2 * lastAcceptWait)
	go func() { _ = s.Serve() }()
	client := &caller{conn: c}
	assert.NilError(t, client.request(bufio.NewReader(c)))
	assert.Assert(t, client.ended)
	assert.NilError(t, <-stopped)
}
