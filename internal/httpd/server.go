// Package httpd serves HTTP and stops without cutting off requests.
//
// A server of net/http closes its idle connections as soon as keep-alive is switched off or
// the server is shut down. A request that arrives on such a connection at that moment is lost,
// and its caller cannot know whether it ran. This server ends a connection with the response to
// its next request instead. A connection that stays idle until the end is closed only after
// one more read has found no request on it.
package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lastAcceptWait = 50 * time.Millisecond // for connections that were opened before the listener closes
	lastReadWait   = 50 * time.Millisecond // for a request that was sent before its idle connection closes
	drainInterval  = 10 * time.Millisecond // between two passes over the idle connections
)

// Server is an HTTP server that can be stopped without cutting off requests.
type Server struct {
	http     *http.Server
	listener *listener
	stopping atomic.Bool

	mu   sync.Mutex
	idle map[*conn]bool // connections without a request; false once their last read has begun
	open int            // connections that are not closed
}

// New returns a server for a listener, with the handler and the limits of s. It replaces the handler
// and the ConnState hook of s. Since the listener is known before Serve, a Shutdown that comes before
// it does not reset the connections that are already open.
func New(s *http.Server, ln net.Listener) *Server {
	srv := &Server{http: s, listener: &listener{Listener: ln}, idle: map[*conn]bool{}}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if srv.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	s.ConnState = srv.trackState
	return srv
}

// Serve serves until Shutdown or Close, then returns http.ErrServerClosed.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if s.listener.ending.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// BeginStop makes each response from now on the last one of its connection. The server still
// accepts connections.
func (s *Server) BeginStop() { s.stopping.Store(true) }

// Shutdown accepts the connections that are already open, closes the listener, and waits until
// all connections have ended with a response or were idle. If the context ends first, it closes
// the remaining ones and returns the context's error. Serve has to run or to be about to.
func (s *Server) Shutdown(ctx context.Context) error {
	s.BeginStop()
	s.listener.end()
	defer s.http.Close()
	for s.closeIdle() > 0 || !s.listener.closed.Load() {
		select {
		case <-time.After(drainInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// closeIdle begins the last read of each idle connection and returns the number of connections
// that are still open.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, waiting := range s.idle {
		if waiting {
			s.idle[c] = false
			c.beginLastRead()
		}
	}
	return s.open
}

func (s *Server) trackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.idle[c] = true
	case http.StateIdle:
		s.idle[c] = true
	case http.StateActive:
		delete(s.idle, c)
	case http.StateClosed, http.StateHijacked:
		delete(s.idle, c)
		s.open--
	}
}

// listener accepts connections until end is called, and then those that are already open.
type listener struct {
	net.Listener
	ending atomic.Bool
	closed atomic.Bool
}

// Accept returns the next connection. After end it returns net.ErrClosed once the accept queue is
// empty.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) && l.ending.Load() && l.hasQueued() && l.extendDeadline() {
		c, err = l.Listener.Accept()
	}
	if err == nil {
		return &conn{Conn: c}, nil
	}
	if l.ending.Load() {
		l.Listener.Close()
		l.closed.Store(true)
		return nil, net.ErrClosed
	}
	return nil, err
}

// hasQueued reports whether the accept queue has a connection. A timed-out Accept does not tell: if
// its deadline is past when it is scheduled, it fails without a look at the queue.
func (l *listener) hasQueued() bool {
	ln, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		queued = err == nil && n > 0
	})
	return err == nil && queued
}

// end makes the pending Accept return after lastAcceptWait.
func (l *listener) end() {
	l.ending.Store(true)
	if !l.extendDeadline() {
		l.Listener.Close()
		l.closed.Store(true)
	}
}

// extendDeadline lets Accept wait for lastAcceptWait from now, and reports whether the listener has
// deadlines.
func (l *listener) extendDeadline() bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(lastAcceptWait)) == nil
}

// conn is a connection whose pending read can be ended without losing a request.
type conn struct {
	net.Conn
	lastRead atomic.Bool // the next read that times out is repeated once
}

// beginLastRead interrupts the pending read, which then waits for lastReadWait once more.
func (c *conn) beginLastRead() {
	c.lastRead.Store(true)
	_ = c.Conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
}

// Read reads from the connection. A read that beginLastRead interrupts reads what has arrived,
// so that the connection is closed only if nothing has.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var timeout net.Error
	if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() || !c.lastRead.Swap(false) {
		return n, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadWait)) // fails only if the connection is closed
	return c.Conn.Read(p)
}
