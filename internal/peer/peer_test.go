package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type echo struct{ Text string }

// newServer starts a server that accepts the given keys, or any peer if there are none, and returns
// its address and the server. The echo handler returns the incarnation of the calling entry and the text, or an
// error if the text is "fail".
func newServer(t *testing.T, keys ...string) (string, *Server) {
	t.Helper()
	s := NewServer(func() []string { return keys })
	Handle(s, "echo", func(_ context.Context, from string, e *echo) (*echo, error) {
		if e.Text == "fail" {
			return nil, errors.New("echo handler failed")
		}
		return &echo{Text: from + " " + e.Text}, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() {
		ln.Close()
		s.Close()
	})
	go func() { _ = s.Serve(t.Context(), ln) }()
	return ln.Addr().String(), s
}

func noKey() string { return "" }

// A call must get its own response, and an error if its handler fails or its kind is not known.
func TestCall(t *testing.T) {
	address, _ := newServer(t)
	c := NewClient(address, "me", noKey)
	res, err := Call[echo, echo](t.Context(), c, "echo", &echo{Text: "hello"})
	assert.NilError(t, err)
	assert.Equal(t, res.Text, "me hello")
	_, err = Call[echo, echo](t.Context(), c, "echo", &echo{Text: "fail"})
	var remote *RemoteError
	assert.Assert(t, errors.As(err, &remote), "%v", err)
	_, err = Call[echo, echo](t.Context(), c, "absent", &echo{})
	assert.ErrorContains(t, err, `call kind "absent" is not known`)
}

// While the key is being replaced, some entries present the old key and others the new one. Both
// must be accepted, and no other.
func TestKeys(t *testing.T) {
	address, _ := newServer(t, "new", "old")
	tests := []struct {
		key string
		ok  bool
	}{{"new", true}, {"old", true}, {"wrong", false}, {"", false}}
	for _, tt := range tests {
		c := NewClient(address, "me", func() string { return tt.key })
		_, err := Call[echo, echo](t.Context(), c, "echo", &echo{})
		assert.Equal(t, err == nil, tt.ok, "key %q: %v", tt.key, err)
	}
}

// A connection may die without either end noticing. The client connects through a relay that
// stops forwarding on the connection opened first; after one call on it has timed out, the next call
// must use a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	address, _ := newServer(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	var silent atomic.Bool
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			openedBefore := !silent.Load()
			go relay(out, in, func() bool { return openedBefore && silent.Load() })
			go relay(in, out, func() bool { return openedBefore && silent.Load() })
		}
	}()
	c := NewClient(ln.Addr().String(), "me", noKey)
	_, err = Call[echo, echo](t.Context(), c, "echo", &echo{})
	assert.NilError(t, err)
	silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = Call[echo, echo](ctx, c, "echo", &echo{})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = Call[echo, echo](t.Context(), c, "echo", &echo{Text: "again"})
	assert.NilError(t, err)
}

// A paused process still accepts connections but answers nothing. Calls to it must
// share a connection attempt instead of opening a connection each.
func TestCallsToAPausedPeerShareAConnectionAttempt(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	var opened atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			t.Cleanup(func() { c.Close() })
		}
	}()
	c := NewClient(ln.Addr().String(), "me", noKey)
	const calls = 5
	for range calls {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := Call[echo, echo](ctx, c, "echo", &echo{})
		cancel()
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	}
	assert.Assert(t, opened.Load() < calls, "each call opened its own connection")
}

// relay copies from one connection to the other, and discards the data while dropping returns true.
func relay(to io.WriteCloser, from io.Reader, dropping func() bool) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if dropping() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// A frame may announce a length of up to 4 GiB. Above maxFrameBytes the server must close the
// connection instead of allocating a buffer of that length.
func TestOversizedFrameClosesTheConnection(t *testing.T) {
	address, _ := newServer(t)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte{0xff, 0xff, 0xff, 0xff})
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
