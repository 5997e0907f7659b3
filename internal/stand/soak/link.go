// Package soak runs the real program as several processes on one machine against the
// emulated platform, injects faults from outside them, and checks the promises while
// it runs, from what callers were told and what VMs have run.
//
// Link forwards connections and harms them, Entry is one process, fault.go has the
// table of faults, caller.go plays the callers, check.go is the oracle, and soak.go
// ties them together for one seed.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link forwards TCP connections to a target and can harm them.
type Link struct {
	Address string
	target  string
	ln      net.Listener
	mu      sync.Mutex
	delay   time.Duration // before each piece
	held    [2]chan struct{}
	refuse  bool
	conns   map[*pair]bool
}

// The directions of a link.
const (
	Up   = 0 // to the target
	Down = 1 // from the target
)

// pair is a connection and its continuation.
type pair struct {
	near, far net.Conn
	silent    bool // what is sent is lost, for good
}

// NewLink listens on a free port of loopback.
func NewLink(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Address: ln.Addr().String(), target: target, ln: ln, conns: map[*pair]bool{}}
	go l.accept()
	return l, nil
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.ln.Close()
	l.Heal()
	l.Reset()
}

func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

func (l *Link) connect(near net.Conn) {
	l.mu.Lock()
	refuse := l.refuse
	l.mu.Unlock()
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if refuse || err != nil {
		abort(near)
		if err == nil {
			far.Close()
		}
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	go l.pump(p, near, far, Up)
	l.pump(p, far, near, Down)
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// pump copies one direction until it ends.
func (l *Link) pump(p *pair, from, to net.Conn, direction int) {
	const piece = 16 << 10
	buf := make([]byte, piece)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.pass(p, direction) {
			_, _ = io.Copy(io.Discard, from) // silent until an end closes
			break
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	from.Close()
	to.Close()
}

// pass waits as long as the direction is held. It reports whether the piece goes on.
func (l *Link) pass(p *pair, direction int) bool {
	l.mu.Lock()
	delay, held := l.delay, l.held[direction]
	l.mu.Unlock()
	if held != nil {
		<-held
	}
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	return !p.silent
}

// Hold keeps back what is sent in the given directions until Heal.
func (l *Link) Hold(directions ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		if l.held[d] == nil {
			l.held[d] = make(chan struct{})
		}
	}
}

// Slow delays each piece.
func (l *Link) Slow(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = by
}

// Refuse resets new connections and the open ones.
func (l *Link) Refuse() {
	l.mu.Lock()
	l.refuse = true
	l.mu.Unlock()
	l.Reset()
}

// Heal ends all harm but to connections that are silent for good.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.refuse = 0, false
	for d, held := range l.held {
		if held != nil {
			close(held)
			l.held[d] = nil
		}
	}
}

// Reset resets the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		abort(p.near)
		abort(p.far)
	}
}

// Silence loses all that is sent on the open connections from now on; new ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.silent = true
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the connection may be closed already
	}
	c.Close()
}
