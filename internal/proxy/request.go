// Package proxy is the reverse proxy for callers' requests. A request is parsed and validated,
// claimed under its idempotency key if it must not run twice, admitted to its pool, and sent to a
// worker. Admission waits for a slot; each slot of a pool admits one request at a time. A worker is
// the backend server on one VM, or the older system, which serves the services that have not been
// migrated to pools of VMs yet. The worker's response is passed back. Whether a failed attempt may
// be retried depends on its verdict: whether the request ran, did not run, or may have run.
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
	bufferedRequestBytes = 64 << 10 // a shorter body is read completely before admission and can be sent again in a retry
	maxKeyBytes          = 128      // longest idempotency key
	maxTimeoutMs         = 60_000   // longest timeout that a caller may set
)

// request is a validated request of a caller.
type request struct {
	in            *http.Request
	key           string // request id: the idempotency key, generated if the caller sent none
	keyFromCaller bool   // the caller sent the key, so it may send copies of the request
	svc           *route.Service
	priority      fleet.Priority
	idempotent    bool
	began         time.Time
	deadline      time.Time
	bodyPrefix    []byte    // buffered start of the body
	bodyRest      io.Reader // body after bodyPrefix; nil if bodyPrefix is the whole body
	bodyRestUsed  bool      // part of bodyRest may have been sent to a worker
	releaseClaim  func()    // to be called after the response; nil if the request holds no claim or may have run
}

// parse validates the request's headers and reads the start of its body.
func (h *Handler) parse(w http.ResponseWriter, in *http.Request, now time.Time) (*request, *result.Problem) {
	if !h.fresh(now) {
		return nil, notFreshProblem(in)
	}
	name := serviceName(in)
	svc := h.Table().Services[name]
	if svc == nil {
		return nil, result.Refuse(http.StatusNotFound, time.Second, "service %q does not exist", name).WithEarlier(verdictOfOtherCopies(in))
	}
	r := &request{in: in, svc: svc, priority: svc.Priority, began: now, idempotent: isIdempotent(in.Method)}
	if p := r.parseHeaders(); p != nil {
		return nil, p
	}
	if in.ContentLength > h.opts.MaxBodyBytes {
		return nil, result.Refuse(http.StatusRequestEntityTooLarge, time.Second, "the body has %d bytes, the limit is %d", in.ContentLength, h.opts.MaxBodyBytes)
	}
	return r, r.readBodyPrefix(w, h.opts)
}

// notFreshTitle is the title of the problem for a request at an entry whose state is not fresh.
const notFreshTitle = "the entry cannot prove that its configuration is current"

// notFreshProblem returns the problem for a request at an entry whose state is not fresh.
func notFreshProblem(in *http.Request) *result.Problem {
	return result.Refuse(http.StatusServiceUnavailable, notFreshRetryAfter, notFreshTitle).WithEarlier(verdictOfOtherCopies(in))
}

// verdictOfOtherCopies returns the verdict of the copies of a request that is refused before its id
// is claimed. The entry cannot tell whether another copy of a non-idempotent request with an
// idempotency key has run.
func verdictOfOtherCopies(in *http.Request) result.Verdict {
	if !isIdempotent(in.Method) && in.Header.Get(result.IdempotencyKeyHeader) != "" {
		return result.MayHaveRun
	}
	return result.NotRun
}

// serviceName returns the name of the requested service: the service header or else the first
// label of the host name.
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

// isIdempotent reports whether a method is idempotent by RFC 9110, section 9.2.2.
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
		r.priority = max(p, r.svc.Priority) // a larger value is less urgent: a caller may lower the priority, not raise it
	}
	r.key = r.in.Header.Get(result.IdempotencyKeyHeader)
	r.keyFromCaller = r.key != ""
	if len(r.key) > maxKeyBytes {
		return result.Refuse(http.StatusBadRequest, time.Second, "header %s has %d bytes, the limit is %d", result.IdempotencyKeyHeader, len(r.key), maxKeyBytes)
	}
	if r.key == "" {
		r.key = uuid.NewString()
	}
	return nil
}

// readBodyPrefix reads the start of the body before the request takes a slot, so that a caller
// that sends slowly does not occupy one. It fails if the caller sends nothing for
// CallerStallTimeout.
func (r *request) readBodyPrefix(w http.ResponseWriter, opts Options) *result.Problem {
	if r.in.Body == nil || r.in.Body == http.NoBody {
		return nil
	}
	body := &stallReader{
		r: http.MaxBytesReader(w, r.in.Body, opts.MaxBodyBytes), rc: http.NewResponseController(w),
		timeout: opts.CallerStallTimeout, deadline: r.deadline,
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, body, bufferedRequestBytes)
	r.bodyPrefix = buf.Bytes()
	switch {
	case err == nil:
		r.bodyRest = body
		return nil
	case err == io.EOF:
		return nil
	}
	return bodyProblem(err).WithEarlier(verdictOfOtherCopies(r.in))
}

// bodyProblem returns the problem of a body that could not be read.
func bodyProblem(err error) *result.Problem {
	if tooLarge, ok := err.(*http.MaxBytesError); ok {
		return result.Refuse(http.StatusRequestEntityTooLarge, time.Second, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return result.Refuse(http.StatusRequestTimeout, time.Second, "the body is incomplete: %v", err)
}

// stallReader reads a caller's body. Each read fails after the timeout, or at the deadline of the
// request if that is earlier.
type stallReader struct {
	r        io.Reader
	rc       *http.ResponseController
	timeout  time.Duration
	deadline time.Time
}

// Read sets the read deadline and makes one read.
func (s *stallReader) Read(p []byte) (int, error) {
	readDeadline := time.Now().Add(s.timeout)
	if readDeadline.After(s.deadline) {
		readDeadline = s.deadline
	}
	_ = s.rc.SetReadDeadline(readDeadline)
	return s.r.Read(p)
}

// attemptBody is the request body of one attempt. net/http does not recognise this type as an
// empty or rewindable body, so it never resends the request by itself.
type attemptBody struct {
	io.Reader                // the buffered start of the body, then the rest
	beforeRestRead func()    // called before the first read of the rest, after which the body cannot be sent again
	unreadRest     io.Reader // body after the buffered start; nil if there is none or its reading has begun
}

// Read reads the buffered start of the body, then the rest.
func (b *attemptBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF || b.unreadRest == nil {
		return n, err
	}
	b.beforeRestRead()
	b.Reader, b.unreadRest = b.unreadRest, nil
	if n > 0 {
		return n, nil
	}
	return b.Reader.Read(p)
}

// Close does nothing: the HTTP server closes the caller's body.
func (b *attemptBody) Close() error { return nil }

func (r *request) body() io.ReadCloser {
	return &attemptBody{Reader: bytes.NewReader(r.bodyPrefix), unreadRest: r.bodyRest, beforeRestRead: func() { r.bodyRestUsed = true }}
}
