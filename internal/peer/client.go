package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	connectTimeout   = 500 * time.Millisecond // covers dialling and the hello call
	reconnectBackoff = 100 * time.Millisecond // before the next attempt after a failed one
)

// RemoteError is the error of a call that the peer received and answered with an error.
type RemoteError struct{ Reason string }

// Error returns the reason that the peer gave.
func (e *RemoteError) Error() string { return e.Reason }

// ConnectError is the error of a call that was not sent because the peer could not be reached.
type ConnectError struct {
	Address string
	Err     error
}

// Error names the peer and the cause.
func (e *ConnectError) Error() string { return fmt.Sprintf("connect to peer %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// NotSent reports whether a call failed before it was sent, so that the peer cannot have handled
// it.
func NotSent(err error) bool {
	var c *ConnectError
	return errors.As(err, &c)
}

// Client makes calls to one peer. It connects on the first call and reconnects after a failure.
// It is safe for concurrent use.
type Client struct {
	address     string
	incarnation string        // of this entry, sent to the peer
	key         func() string // returns the key to present on a new connection
	mu          sync.Mutex
	current     *clientConn
	connecting  chan struct{} // closed when the current connection attempt ends; nil if there is none
	failedAt    time.Time     // when the last failed connection attempt ended
	connectErr  error         // of the last connection attempt; nil if it succeeded
}

// NewClient returns a client for the peer at an address. incarnation is that of the calling entry;
// key returns the key to present on a new connection.
func NewClient(address, incarnation string, key func() string) *Client {
	return &Client{address: address, incarnation: incarnation, key: key}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Call sends a request and waits for the response. After an error other than RemoteError or
// ConnectError the peer may or may not have handled the call.
func Call[Req, Res any](ctx context.Context, c *Client, kind string, req *Req) (*Res, error) {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode %s call: %w", kind, err)
	}
	data, err := c.call(ctx, kind, body)
	if err != nil {
		return nil, err
	}
	res := new(Res)
	if err := msgpack.Unmarshal(data, res); err != nil {
		return nil, fmt.Errorf("decode response to %s call: %w", kind, err)
	}
	return res, nil
}

func (c *Client) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	cc, err := c.connect(ctx)
	if err != nil {
		return nil, &ConnectError{Address: c.address, Err: err}
	}
	data, err := cc.call(ctx, kind, body)
	if err == nil {
		return data, nil
	}
	if _, remote := err.(*RemoteError); remote {
		return nil, err
	}
	if !errors.Is(err, context.Canceled) { // a timeout may mean that the connection is dead; a cancelled call does not
		c.discard(cc)
	}
	return nil, fmt.Errorf("%s call to peer %s: %w", kind, c.address, err)
}

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.conn.Close()
		c.current = nil
	}
}

// discard closes a connection on which a call failed or timed out, so that the next call opens a
// new one.
func (c *Client) discard(cc *clientConn) {
	cc.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == cc {
		c.current = nil
	}
}

// connect returns the open connection, or opens one. Concurrent callers share one connection
// attempt, and each waits for it no longer than its context allows. For reconnectBackoff after a
// failed attempt all calls fail with the error of that attempt.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	for {
		c.mu.Lock()
		cc, connecting := c.current, c.connecting
		if cc == nil && connecting == nil {
			if time.Since(c.failedAt) < reconnectBackoff {
				defer c.mu.Unlock()
				return nil, c.connectErr
			}
			connecting = make(chan struct{})
			c.connecting = connecting
			go c.open(connecting)
		}
		c.mu.Unlock()
		if cc != nil {
			return cc, nil
		}
		select {
		case <-connecting:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// open makes one connection attempt, stores its result in the client, and closes done.
func (c *Client) open(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	cc, err := c.dial(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.connectErr, c.connecting = cc, err, nil
	if err != nil {
		c.failedAt = time.Now()
	}
	close(done)
}

func (c *Client) dial(ctx context.Context) (*clientConn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	cc := newClientConn(conn)
	body, err := msgpack.Marshal(&hello{From: c.incarnation, Key: c.key()})
	if err != nil {
		return nil, err
	}
	if _, err := cc.call(ctx, helloKind, body); err != nil {
		conn.Close()
		return nil, err
	}
	return cc, nil
}

// clientConn is one open connection with its calls in flight.
type clientConn struct {
	conn    net.Conn
	w       frameWriter
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan *frame // calls in flight by frame id; nil once the connection has ended
}

func newClientConn(conn net.Conn) *clientConn {
	cc := &clientConn{conn: conn, pending: map[uint64]chan *frame{}}
	cc.w = frameWriter{conn: conn, w: bufio.NewWriter(conn)}
	go cc.readLoop()
	return cc
}

func (cc *clientConn) readLoop() {
	r := bufio.NewReader(cc.conn)
	for {
		f, err := readFrame(r)
		if err != nil {
			break
		}
		if ch := cc.takePending(f.ID); ch != nil {
			ch <- f
		}
	}
	cc.conn.Close()
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, ch := range cc.pending {
		close(ch)
	}
	cc.pending = nil
}

func (cc *clientConn) takePending(id uint64) chan *frame {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	ch := cc.pending[id]
	delete(cc.pending, id)
	return ch
}

func (cc *clientConn) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	ch := make(chan *frame, 1)
	cc.mu.Lock()
	if cc.pending == nil {
		cc.mu.Unlock()
		return nil, net.ErrClosed
	}
	cc.lastID++
	id := cc.lastID
	cc.pending[id] = ch
	cc.mu.Unlock()
	defer cc.takePending(id)
	if err := cc.w.write(&frame{ID: id, Kind: kind, Body: body}); err != nil {
		return nil, err
	}
	select {
	case f, ok := <-ch:
		switch {
		case !ok:
			return nil, net.ErrClosed
		case f.Error != "":
			return nil, &RemoteError{Reason: f.Error}
		}
		return f.Body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
