// Package soak tests the program under faults. It runs several entries as processes on one
// host against the platform emulator, and injects faults into processes, connections, VMs and
// the log. Meanwhile it checks invariants: it compares the replies that callers got with the
// task runs that the VMs recorded.
//
// Callers (caller.go) submit, query and cancel jobs at the entries (entry.go). The
// connections to entries and VMs and those from entries to the log and to the fleet
// inventory pass through links (link.go), which can stall, delay, drop or reset them. To cut data centres
// off from each other (cuts.go), each entry has links of its own to each other entry and to each VM (path.go).
// fault.go has the table of faults, check.go the invariants, and settle.go waits for all jobs
// to end after the last fault. soak.go has the harness that runs these parts with one seed, from
// which the callers' requests and the faults are drawn. Their timing still differs between runs.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is a TCP proxy for one target that can inject faults into its connections. mu guards
// the fields below it.
type Link struct {
	Address string // that the link listens on
	target  string
	source  net.Addr     // of the connections to the target; nil for any
	ln      net.Listener // nil if another listener passes connections on to the link
	mu      sync.Mutex
	delay   time.Duration    // before each chunk is forwarded
	stalled [2]chan struct{} // by direction: closed when the stall ends, nil without a stall
	refuse  bool             // new connections are reset
	conns   map[*connPair]bool
	cuts    [2]int           // by direction: number of cuts, see Cut
	healed  [2]chan struct{} // by direction: closed when the last cut ends, nil without a cut
	fillers []net.Conn       // that fill the listener's queue during a cut
}

// The directions of a link.
const (
	Upstream   = 0 // to the target
	Downstream = 1 // from the target
)

// connPair is a client's connection to the link with the link's connection to the target.
type connPair struct {
	client, server net.Conn
	blackholed     bool // data is discarded until the connection closes
}

// NewLink returns a link that listens on a free port of the loopback interface.
func NewLink(target string) (*Link, error) { return newLinkFrom(nil, target) }

// newLinkFrom returns a link whose connections to the target have a source address; nil for any.
func newLinkFrom(source net.Addr, target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Address: ln.Addr().String(), target: target, source: source, ln: ln, conns: map[*connPair]bool{}}
	go l.accept()
	return l, nil
}

// Close stops the link and resets its connections.
func (l *Link) Close() {
	if l.ln != nil {
		l.ln.Close()
	}
	l.ClearFaults()
	l.healAll()
	l.Reset()
}

func (l *Link) accept() {
	for {
		client, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.awaitHealed(Upstream, Downstream)
		go l.connect(client, nil)
	}
}

// connect forwards the data of a connection, of which first has been received, until it ends.
func (l *Link) connect(client net.Conn, first []byte) {
	l.mu.Lock()
	refuse := l.refuse
	l.mu.Unlock()
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: l.source}
	server, err := dialer.Dial("tcp", l.target)
	if err == nil {
		_, err = server.Write(first)
	}
	if refuse || err != nil {
		abort(client)
		if server != nil {
			server.Close()
		}
		return
	}
	p := &connPair{client: client, server: server}
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	go l.forward(p, client, server, Upstream)
	l.forward(p, server, client, Downstream)
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// forward copies data in one direction until one end closes, then closes both.
func (l *Link) forward(p *connPair, from, to net.Conn, direction int) {
	const chunkSize = 16 << 10
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.applyFaults(p, direction) {
			_, _ = io.Copy(io.Discard, from) // keep the connection open until an end closes it
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
	l.awaitHealed(Upstream, Downstream) // the end of a connection does not pass a cut either
	from.Close()
	to.Close()
}

// applyFaults waits for the end of a stall or cut and for the delay, and reports whether to forward
// the chunk.
func (l *Link) applyFaults(p *connPair, direction int) bool {
	l.mu.Lock()
	delay, stalled := l.delay, l.stalled[direction]
	l.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	l.awaitHealed(direction)
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	return !p.blackholed
}

// Stall holds back the data in the given directions until ClearFaults.
func (l *Link) Stall(directions ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		if l.stalled[d] == nil {
			l.stalled[d] = make(chan struct{})
		}
	}
}

// SetDelay delays each chunk in both directions until ClearFaults.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Refuse resets the open connections, and new ones until ClearFaults.
func (l *Link) Refuse() {
	l.mu.Lock()
	l.refuse = true
	l.mu.Unlock()
	l.Reset()
}

// ClearFaults ends all faults but those of Blackhole, which last until the connections close.
func (l *Link) ClearFaults() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.refuse = 0, false
	for d, stalled := range l.stalled {
		if stalled != nil {
			close(stalled)
			l.stalled[d] = nil
		}
	}
}

// Reset resets the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		abort(p.client)
		abort(p.server)
	}
}

// Blackhole discards all further data on the open connections without closing them; new
// connections work.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.blackholed = true
	}
}

// abort closes a TCP connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the connection may be closed already
	}
	c.Close()
}
