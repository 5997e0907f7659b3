// Package proxy is the path of a caller's request: it is read and checked,
// admitted, claimed if it may run only once, sent to a worker, and its whole
// answer is passed back. The verdict of each attempt alone decides on another.
package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/greengagelane/greengagelane/internal/route"
	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const (
	heldBodyBytes = 64 << 10 // a body up to this size is read before admission and can be sent again
	maxKeyBytes   = 128
	maxTimeoutMs  = 60_000
)

// request is a caller's request after its checks.
type request struct {
	in         *http.Request
	key        string // request id; made here if the caller sent none
	resendable bool   // the caller sent the id, so copies may arrive
	svc        *route.Service
	priority   fleet.Priority
	idempotent bool
	began      time.Time
	deadline   time.Time
	head       []byte    // start of the body
	rest       io.Reader // what follows head, nil if head is the whole body
	restUsed   bool      // some of rest may have been sent
}

// parse reads the request's head and the start of its body.
func (h *Handler) parse(w http.ResponseWriter, in *http.Request, now time.Time) (*request, *result.Problem) {
	if !h.fresh(now) {
		return nil, notFresh(in)
	}
	name := serviceName(in)
	svc := h.Table().Services[name]
	if svc == nil {
		return nil, result.Refuse(http.StatusNotFound, time.Second, "service %q does not exist", name)
	}
	r := &request{in: in, svc: svc, priority: svc.Priority, began: now, idempotent: isIdempotent(in.Method)}
	if p := r.parseHeaders(); p != nil {
		return nil, p
	}
	if in.ContentLength > h.opts.MaxBodyBytes {
		return nil, result.Refuse(http.StatusRequestEntityTooLarge, time.Second, "body of %d bytes, the limit is %d", in.ContentLength, h.opts.MaxBodyBytes)
	}
	return r, r.readHead(w, h.opts)
}

const notCurrent = "the entry cannot show that its configuration is current"

// notFresh refuses a request on an entry that cannot show that its state is
// current. Of a request that may run once it cannot know another copy's fate.
func notFresh(in *http.Request) *result.Problem {
	if !isIdempotent(in.Method) && in.Header.Get(result.IdempotencyKeyHeader) != "" {
		return result.Unknown(http.StatusServiceUnavailable, notCurrent)
	}
	return result.Refuse(http.StatusServiceUnavailable, freshRetryAfter, notCurrent)
}

// serviceName returns the service that a request names in its header, or in the
// first label of its host.
func serviceName(in *http.Request) string {
	if name := in.Header.Get(result.ServiceHeader); name != "" {
		return name
	}
	host := in.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	label, _, _ := strings.Cut(host, ".")
	return label
}

// isIdempotent follows RFC 9110, section 9.2.2.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (r *request) parseHeaders() *result.Problem {
	timeout := r.svc.TimeoutMs
	if text := r.in.Header.Get(result.TimeoutHeader); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTimeoutMs {
			return result.Refuse(http.StatusBadRequest, time.Second, "header %s is %q, allowed are 1 to %d", result.TimeoutHeader, text, maxTimeoutMs)
		}
		timeout = n
	}
	r.deadline = r.began.Add(time.Duration(timeout) * time.Millisecond)
	if text := r.in.Header.Get(result.PriorityHeader); text != "" {
		p, err := fleet.PriorityString(text)
		if err != nil {
			return result.Refuse(http.StatusBadRequest, time.Second, "header %s is %q, allowed are %s", result.PriorityHeader, text, strings.Join(fleet.PriorityStrings(), ", "))
		}
		r.priority = max(p, r.svc.Priority) // a caller may only wait longer
	}
	r.key = r.in.Header.Get(result.IdempotencyKeyHeader)
	r.resendable = r.key != ""
	if len(r.key) > maxKeyBytes {
		return result.Refuse(http.StatusBadRequest, time.Second, "header %s has %d bytes, the limit is %d", result.IdempotencyKeyHeader, len(r.key), maxKeyBytes)
	}
	if r.key == "" {
		r.key = uuid.NewString()
	}
	return nil
}

// readHead reads the start of the body before the request takes a slot, so that
// a slow sender holds none. The reader gives up when the sender stalls.
func (r *request) readHead(w http.ResponseWriter, opts Options) *result.Problem {
	if r.in.Body == nil || r.in.Body == http.NoBody {
		return nil
	}
	body := &stallReader{
		r: http.MaxBytesReader(w, r.in.Body, opts.MaxBodyBytes), rc: http.NewResponseController(w),
		limit: opts.CallerStallTimeout, deadline: r.deadline,
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, body, heldBodyBytes)
	r.head = buf.Bytes()
	switch {
	case err == nil:
		r.rest = body
		return nil
	case err == io.EOF:
		return nil
	}
	return bodyProblem(err)
}

func bodyProblem(err error) *result.Problem {
	if tooLarge, ok := err.(*http.MaxBytesError); ok {
		return result.Refuse(http.StatusRequestEntityTooLarge, time.Second, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return result.Refuse(http.StatusRequestTimeout, time.Second, "the body did not arrive whole: %v", err)
}

// stallReader sets a read deadline before each read, never past the request's.
type stallReader struct {
	r        io.Reader
	rc       *http.ResponseController
	limit    time.Duration
	deadline time.Time
}

// Read reads once.
func (s *stallReader) Read(p []byte) (int, error) {
	until := time.Now().Add(s.limit)
	if until.After(s.deadline) {
		until = s.deadline
	}
	_ = s.rc.SetReadDeadline(until)
	return s.r.Read(p)
}

// outBody is the body of one attempt. It is always of its own type, so that the
// HTTP client never sends a request a second time by itself.
type outBody struct {
	io.Reader
	onRest func()
	rest   io.Reader
}

// Read reads the held start, then the rest.
func (b *outBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF || b.rest == nil {
		return n, err
	}
	b.onRest()
	b.Reader, b.rest = b.rest, nil
	if n > 0 {
		return n, nil
	}
	return b.Reader.Read(p)
}

// Close does nothing: the server closes the caller's body.
func (b *outBody) Close() error { return nil }

func (r *request) body() io.ReadCloser {
	return &outBody{Reader: bytes.NewReader(r.head), rest: r.rest, onRest: func() { r.restUsed = true }}
}
