package httpc

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

// Successive requests must share one connection, and only the first may report that it opened it.
func TestConnectionIsReused(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(r.Header.Get("X-Key")))
	}))
	defer s.Close()
	c := New(strings.TrimPrefix(s.URL, "http://"), second)
	defer c.Close()
	for i := range 3 {
		res, err := c.Do(t.Context(), &Request{Method: http.MethodPost, Path: "/", Header: map[string]string{"X-Key": "v"}, Body: []byte("b")}, 10*second)
		assert.NilError(t, err)
		assert.Equal(t, string(res.Body), "v")
		assert.Equal(t, res.NewConnection, i == 0)
	}
}

// A request that found no listener was not sent; one that the server read without a response may
// have been carried out. Retries depend on the errors telling these apart.
func TestErrorsDistinguishUnsentRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	ln.Close()
	_, err = New(address, second).Do(t.Context(), &Request{Method: http.MethodGet, Path: "/"}, second)
	assert.Assert(t, NotSent(err), "%v", err)

	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer s.Close()
	c := New(strings.TrimPrefix(s.URL, "http://"), second)
	defer c.Close()
	for range 2 { // the second request opens a new connection
		_, err = c.Do(t.Context(), &Request{Method: http.MethodGet, Path: "/"}, 10*second)
		assert.Assert(t, err != nil && !NotSent(err), "%v", err)
	}
}

// FirstByteTimeout must end a request to which the server never responds, well before the whole
// timeout, but not one whose response begins in time and takes longer than FirstByteTimeout.
func TestFirstByteTimeout(t *testing.T) {
	const firstByteTimeout = 50 * time.Millisecond
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/never" {
			<-release
			return
		}
		_, _ = w.Write([]byte("a"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * second / 2)
		_, _ = w.Write([]byte("b"))
	}))
	defer s.Close()
	defer close(release)
	c := New(strings.TrimPrefix(s.URL, "http://"), 10*second)
	defer c.Close()
	res, err := c.Do(t.Context(), &Request{Method: http.MethodGet, Path: "/long", FirstByteTimeout: second}, 20*second)
	assert.NilError(t, err)
	assert.Equal(t, string(res.Body), "ab")
	_, err = c.Do(t.Context(), &Request{Method: http.MethodGet, Path: "/never", FirstByteTimeout: firstByteTimeout}, time.Hour)
	assert.ErrorContains(t, err, "timeout")
}

// TestResponseOfAnotherRequest guards against a response that is taken for that to the next request: a refusal, or a
// success, of a call that the server has not yet carried out.
func TestResponseOfAnotherRequest(t *testing.T) {
	const ok, refused = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	tests := []struct{ name, first string }{
		{"one response", ok},
		{"after an informational one", "HTTP/1.1 100 Continue\r\n\r\n" + ok},
		{"after two of them", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok},
		{"with a second one", ok + refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			go func() {
				responses := []string{tt.first, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"}
				for n := 0; n < len(responses); {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					for r := bufio.NewReader(conn); n < len(responses); n++ {
						if _, err := http.ReadRequest(r); err != nil {
							break
						}
						_, _ = conn.Write([]byte(responses[n]))
					}
				}
			}()
			c := New(ln.Addr().String(), second)
			defer c.Close()
			for _, want := range []int{http.StatusOK, http.StatusConflict} {
				res, err := c.Do(t.Context(), &Request{Method: http.MethodGet, Path: "/"}, 10*second)
				assert.NilError(t, err)
				assert.Equal(t, res.Status, want)
			}
		})
	}
}
