// Package httpc makes HTTP/1.1 calls over one kept connection, one call at a time.
// Its errors tell a call that was certainly not sent from one that may have been
// carried out, which a pooling client hides.
package httpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxAnswerBytes = 8 << 20 // no answer of any known service is larger
	bufferBytes    = 2048    // most calls and answers fit; connections are many
)

// NotSentError is a call of which nothing reached the other side.
type NotSentError struct{ Err error }

// Error makes NotSentError an error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NotSent reports whether a failed call was certainly not carried out.
func NotSent(err error) bool {
	var n *NotSentError
	return errors.As(err, &n)
}

// Request is one request.
type Request struct {
	Method string
	Path   string // with its query
	Header map[string]string
	Body   []byte
	// FirstByteTimeout bounds the time until the answer begins, where it is not 0; a long answer may
	// take longer. A server that comes back from an outage may never answer what was sent
	// before.
	FirstByteTimeout time.Duration
}

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Fresh  bool // the call opened the connection
}

// Conn is a connection to one address, opened by the first call and again after a
// failure. Close may be called from any goroutine and ends a call under way.
type Conn struct {
	Address string
	// OpenLimit bounds the time for a new connection.
	OpenLimit time.Duration

	mu     sync.Mutex
	conn   net.Conn
	r      *bufio.Reader
	closed bool
}

// New returns a connection that is not open yet.
func New(address string, openLimit time.Duration) *Conn {
	return &Conn{Address: address, OpenLimit: openLimit}
}

// Close ends the connection for good.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}

// Do makes a call and reads the whole answer within limit.
func (c *Conn) Do(ctx context.Context, call *Request, limit time.Duration) (*Response, error) {
	fresh, err := c.open(ctx)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.drop() })
	defer stop()
	answer, err := c.exchange(call, limit)
	if err != nil {
		c.drop()
		return nil, fmt.Errorf("%s %s at %s: %w", call.Method, call.Path, c.Address, err)
	}
	answer.Fresh = fresh
	return answer, nil
}

func (c *Conn) open(ctx context.Context) (bool, error) {
	c.mu.Lock()
	open, closed := c.conn != nil, c.closed
	c.mu.Unlock()
	if closed {
		return false, net.ErrClosed
	}
	if open {
		return false, nil
	}
	d := net.Dialer{Timeout: c.OpenLimit, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return false, net.ErrClosed
	}
	c.conn, c.r = conn, bufio.NewReaderSize(conn, bufferBytes)
	return true, nil
}

func (c *Conn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// awaitFirst waits for the first byte of an answer, then leaves the whole limit for the
// rest.
func awaitFirst(conn net.Conn, r *bufio.Reader, first, limit time.Duration) error {
	if first <= 0 || first >= limit {
		return nil
	}
	now := time.Now()
	if err := conn.SetReadDeadline(now.Add(first)); err != nil {
		return err
	}
	if _, err := r.Peek(1); err != nil {
		return err
	}
	return conn.SetReadDeadline(now.Add(limit))
}

func (c *Conn) exchange(call *Request, limit time.Duration) (*Response, error) {
	c.mu.Lock()
	conn, r := c.conn, c.r
	c.mu.Unlock()
	if conn == nil {
		return nil, net.ErrClosed
	}
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return nil, err
	}
	if _, err := conn.Write(c.encode(call)); err != nil {
		return nil, err
	}
	if err := awaitFirst(conn, r, call.FirstByteTimeout, limit); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, fmt.Errorf("answer is over %d bytes", maxAnswerBytes)
	}
	if res.Close {
		c.drop()
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

func (c *Conn) encode(call *Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Path, c.Address)
	for k, v := range call.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if call.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(call.Body))
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}
