// Package httpc is an HTTP/1.1 client that sends one request at a time over one persistent
// connection. Its errors distinguish a request that was certainly not sent from one that the
// server may have carried out; a pooling client hides that difference.
package httpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxResponseBytes = 8 << 20 // the services that are called send no larger response
	readBufferBytes  = 2048    // most responses fit; kept small because there are many connections
)

// NotSentError is the error of a request of which nothing reached the server.
type NotSentError struct{ Err error }

// Error returns the cause with the note that nothing was sent.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NotSent reports whether a failed request was certainly not carried out, since none of it was
// sent.
func NotSent(err error) bool {
	var n *NotSentError
	return errors.As(err, &n)
}

// Request is an HTTP request.
type Request struct {
	Method string
	Path   string // including the query
	Header map[string]string
	Body   []byte
	// FirstByteTimeout bounds the time until the first byte of the response, if it is not 0; a long
	// response may take longer as a whole. It is needed because a server that comes back from an
	// outage may never respond to requests that were sent before.
	FirstByteTimeout time.Duration
}

// Response is an HTTP response with its whole body.
type Response struct {
	Status        int
	Body          []byte // see Conn.ReusesBody
	NewConnection bool   // the request opened the connection
}

// Conn is a connection to one address. The first request opens it, and the next request after a
// failure opens it again. Do must not be called concurrently. Close may be called from any
// goroutine and aborts a request in progress.
type Conn struct {
	Address string
	// DialTimeout bounds the time to open the connection.
	DialTimeout time.Duration
	// ReusesBody is set if the body of a response is used until the next request only.
	ReusesBody bool

	mu     sync.Mutex
	conn   net.Conn
	r      *bufio.Reader
	closed bool

	waited  time.Duration // of all requests; see Waited
	request []byte        // buffer of encode
	body    []byte        // of the last response, if ReusesBody is set
}

// Waited returns the time for which requests so far have waited for the connection to open and for the first bytes of
// their responses. It must not be called during a request.
func (c *Conn) Waited() time.Duration { return c.waited }

// New returns a Conn that opens its connection on the first request.
func New(address string, dialTimeout time.Duration) *Conn {
	return &Conn{Address: address, DialTimeout: dialTimeout}
}

// Close closes the connection; later requests fail.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}

// Do sends a request and reads the whole response within the timeout. If it opens the connection,
// DialTimeout applies to that in addition. After an error other than NotSentError the server may
// have carried out the request.
func (c *Conn) Do(ctx context.Context, req *Request, timeout time.Duration) (*Response, error) {
	opened, err := c.open(ctx)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { c.reset() })
		defer stop()
	}
	res, err := c.exchange(req, timeout)
	if err != nil {
		c.reset()
		return nil, fmt.Errorf("%s %s at %s: %w", req.Method, req.Path, c.Address, err)
	}
	res.NewConnection = opened
	return res, nil
}

// open opens the connection if it is not open, and reports whether it did.
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
	d := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1}
	began := time.Now()
	conn, err := d.DialContext(ctx, "tcp", c.Address)
	c.waited += time.Since(began)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return false, net.ErrClosed
	}
	c.conn, c.r = conn, bufio.NewReaderSize(conn, readBufferBytes)
	return true, nil
}

func (c *Conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// awaitFirstByte waits for the first byte of the response, for at most firstByteTimeout if that is set. Then it
// sets the read deadline back to the whole timeout, for the rest of the response.
func awaitFirstByte(conn net.Conn, r *bufio.Reader, firstByteTimeout, timeout time.Duration) error {
	if firstByteTimeout <= 0 || firstByteTimeout >= timeout {
		_, err := r.Peek(1)
		return err
	}
	now := time.Now()
	if err := conn.SetReadDeadline(now.Add(firstByteTimeout)); err != nil {
		return err
	}
	if _, err := r.Peek(1); err != nil {
		return err
	}
	return conn.SetReadDeadline(now.Add(timeout))
}

func (c *Conn) exchange(req *Request, timeout time.Duration) (*Response, error) {
	c.mu.Lock()
	conn, r := c.conn, c.r
	c.mu.Unlock()
	if conn == nil {
		return nil, net.ErrClosed
	}
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	c.request = c.encode(c.request[:0], req)
	if _, err := conn.Write(c.request); err != nil {
		return nil, err
	}
	sentAt := time.Now()
	err := awaitFirstByte(conn, r, req.FirstByteTimeout, timeout)
	c.waited += time.Since(sentAt)
	if err != nil {
		return nil, err
	}
	res, closes, err := c.readResponse(r)
	if err != nil {
		return nil, err
	}
	if closes || r.Buffered() > 0 { // what follows the response would be taken for that to the next request
		c.reset()
	}
	return res, nil
}

// readResponse reads the response to a request. closes reports whether the server closes the connection after it.
func (c *Conn) readResponse(r *bufio.Reader) (res *Response, closes bool, err error) {
	if status, length, ok := skipPlainHeader(r); ok {
		body := c.bodyBuffer(length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, false, err
		}
		return &Response{Status: status, Body: body}, false, nil
	}
	full, err := readFinalResponse(r)
	if err != nil {
		return nil, false, err
	}
	defer full.Body.Close()
	body, err := io.ReadAll(io.LimitReader(full.Body, maxResponseBytes+1))
	if err != nil {
		return nil, false, err
	}
	if len(body) > maxResponseBytes {
		return nil, false, fmt.Errorf("the response is longer than %d bytes", maxResponseBytes)
	}
	return &Response{Status: full.StatusCode, Body: body}, full.Close, nil
}

// bodyBuffer returns a buffer for the body of a response.
func (c *Conn) bodyBuffer(length int) []byte {
	if !c.ReusesBody {
		return make([]byte, length)
	}
	c.body = slices.Grow(c.body[:0], length)[:length]
	return c.body
}

// readFinalResponse reads a response. It skips informational ones, which precede it.
func readFinalResponse(r *bufio.Reader) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil || res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, err
		}
		res.Body.Close()
	}
}

// encode appends the text of a request to b.
func (c *Conn) encode(b []byte, req *Request) []byte {
	for _, part := range []string{req.Method, " ", req.Path, " HTTP/1.1\r\nHost: ", c.Address, "\r\n"} {
		b = append(b, part...)
	}
	for k, v := range req.Header {
		for _, part := range []string{k, ": ", v, "\r\n"} {
			b = append(b, part...)
		}
	}
	if req.Method != http.MethodGet {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, req.Body...)
}
