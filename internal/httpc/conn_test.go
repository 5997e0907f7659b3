package httpc

import (
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
