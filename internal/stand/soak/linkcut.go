package soak

import (
	"net"
	"syscall"
	"time"
)

// Cut cuts the link silently in the given directions until as many calls of Heal: data and the ends of connections do
// not pass in them, and new connections hang.
func (l *Link) Cut(directions ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasCut := l.isCut()
	for _, d := range directions {
		if l.cuts[d]++; l.healed[d] == nil {
			l.healed[d] = make(chan struct{})
		}
	}
	if !wasCut && l.isCut() && l.ln != nil {
		l.setQueue(0)
		go l.fillQueue()
	}
}

// Heal ends a cut in each of the given directions. What was held back passes once the last cut has ended.
func (l *Link) Heal(directions ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		if l.cuts[d]--; l.cuts[d] == 0 {
			close(l.healed[d])
			l.healed[d] = nil
		}
	}
	if !l.isCut() {
		l.admit()
	}
}

// healAll ends all cuts.
func (l *Link) healAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for d, healed := range l.healed {
		if l.cuts[d] = 0; healed != nil {
			close(healed)
			l.healed[d] = nil
		}
	}
	l.admit()
}

// isCut reports whether the link is cut in a direction; l.mu is held.
func (l *Link) isCut() bool { return l.cuts[Upstream]+l.cuts[Downstream] > 0 }

// awaitHealed waits until the link is cut in none of the given directions.
func (l *Link) awaitHealed(directions ...int) {
	for i := 0; i < len(directions); {
		l.mu.Lock()
		healed := l.healed[directions[i]]
		l.mu.Unlock()
		if i++; healed != nil {
			<-healed
			i = 0
		}
	}
}

// admit lets new connections in; l.mu is held.
func (l *Link) admit() {
	const queue = 128
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
	if l.ln != nil {
		l.setQueue(queue)
	}
}

// setQueue sets the number of connections that the kernel opens before they are accepted, less one.
func (l *Link) setQueue(length int) {
	t, ok := l.ln.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) }) // fails if the listener is closed
	}
}

// fillQueue opens connections until one hangs, so that those of others hang, too. The first is accepted.
func (l *Link) fillQueue() {
	const most, timeout = 3, 100 * time.Millisecond
	for range most {
		c, err := net.DialTimeout("tcp", l.Address, timeout)
		if err != nil {
			return
		}
		l.mu.Lock()
		cut := l.isCut()
		if cut {
			l.fillers = append(l.fillers, c)
		}
		l.mu.Unlock()
		if !cut {
			c.Close()
			return
		}
	}
}
