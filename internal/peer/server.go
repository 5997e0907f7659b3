package peer

import (
	"bufio"
	"context"
	"crypto/subtle"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	helloKind          = "hello"
	idleTimeout        = 30 * time.Second // a connection on which no frame arrives for this long is closed
	writeTimeout       = 2 * time.Second  // of one frame
	maxConcurrentCalls = 256              // per connection
	helloTimeout       = 2 * time.Second  // from accepting a connection to its hello call
)

// hello is the body of the first call on each connection.
type hello struct {
	From string // incarnation of the calling entry
	Key  string
}

type handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Server handles the calls of other entries.
type Server struct {
	handlers map[string]handler
	keys     func() []string // accepted keys; if there are none, every peer is accepted
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// NewServer returns a server. keys returns the accepted keys; it is called for each new connection.
func NewServer(keys func() []string) *Server {
	return &Server{handlers: map[string]handler{}, keys: keys, conns: map[net.Conn]bool{}}
}

// Handle registers the handler of one kind of call. The handler's from is the incarnation of the
// calling entry. Handle must be called before Serve.
func Handle[Req, Res any](s *Server, kind string, f func(ctx context.Context, from string, req *Req) (*Res, error)) {
	s.handlers[kind] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		var req Req
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("decode %s call: %w", kind, err)
		}
		res, err := f(ctx, from, &req)
		if err != nil {
			return nil, err
		}
		return msgpack.Marshal(res)
	}
}

// Serve accepts connections until the listener is closed. The context of a call is derived from
// ctx and ends with the call's connection.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		s.track(c, true)
		go func() {
			defer s.track(c, false)
			defer c.Close()
			if err := s.serveConn(ctx, c); err != nil {
				logrus.WithError(err).Debug("peer connection ended")
			}
		}()
	}
}

// Close closes all connections, but not the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) track(c net.Conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.conns[c] = true
	} else {
		delete(s.conns, c)
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := bufio.NewReader(c)
	w := &frameWriter{conn: c, w: bufio.NewWriter(c)}
	from, err := s.handshake(c, r, w)
	if err != nil {
		return err
	}
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		f, err := readFrame(r)
		if err != nil {
			return err
		}
		slots <- struct{}{} // no further frame is read while maxConcurrentCalls are in progress
		go func() {
			defer func() { <-slots }()
			_ = w.write(s.handleCall(ctx, from, f))
		}()
	}
}

// handshake reads the hello call, checks its key and returns the incarnation of the calling entry.
func (s *Server) handshake(c net.Conn, r *bufio.Reader, w *frameWriter) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))
	f, err := readFrame(r)
	if err != nil {
		return "", err
	}
	var h hello
	if err := msgpack.Unmarshal(f.Body, &h); err != nil || f.Kind != helloKind {
		return "", fmt.Errorf("first frame from %s is not a hello call", c.RemoteAddr())
	}
	if !s.acceptsKey(h.Key) {
		logrus.WithField("address", c.RemoteAddr().String()).Warn("peer connection refused: the peer's key is not accepted")
		_ = w.write(&frame{ID: f.ID, Error: "the key is not accepted"})
		return "", fmt.Errorf("peer %s presented a key that is not accepted", c.RemoteAddr())
	}
	return h.From, w.write(&frame{ID: f.ID})
}

func (s *Server) acceptsKey(key string) bool {
	keys := s.keys()
	if len(keys) == 0 {
		return true
	}
	for _, k := range keys {
		if subtle.ConstantTimeCompare([]byte(k), []byte(key)) == 1 {
			return true
		}
	}
	return false
}

func (s *Server) handleCall(ctx context.Context, from string, f *frame) *frame {
	h, ok := s.handlers[f.Kind]
	if !ok {
		return &frame{ID: f.ID, Error: fmt.Sprintf("call kind %q is not known", f.Kind)}
	}
	body, err := h(ctx, from, f.Body)
	if err != nil {
		return &frame{ID: f.ID, Error: err.Error()}
	}
	return &frame{ID: f.ID, Body: body}
}

// frameWriter serialises the writes of frames to one connection.
type frameWriter struct {
	mu   sync.Mutex
	conn net.Conn
	w    *bufio.Writer
}

func (w *frameWriter) write(f *frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := writeFrame(w.w, f)
	if err != nil {
		w.conn.Close()
	}
	return err
}
