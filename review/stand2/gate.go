package main

import (
	"bytes"
	"net"
	"sync"
)

// gate is a proxy in front of an address, as the link of one sender to it.
type gate struct {
	address, target string

	mu     sync.Mutex
	ln     net.Listener
	silent bool   // accepts connections and forwards nothing
	barred string // sender whose connections are reset, as their first bytes name it; empty for none
	conns  []link
}

// link is a connection through a gate.
type link struct {
	first []byte // bytes that its sender has sent first
	ends  []net.Conn
}

func newGate(target string) (*gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{address: ln.Addr().String(), target: target, ln: ln}
	go g.accept(ln)
	return g, nil
}

func (g *gate) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go g.forward(c)
	}
}

func (g *gate) forward(c net.Conn) {
	g.mu.Lock()
	silent := g.silent
	g.mu.Unlock()
	if silent {
		g.keep(link{ends: []net.Conn{c}})
		return
	}
	first := make([]byte, 4<<10)
	n, err := c.Read(first)
	if err != nil {
		c.Close()
		return
	}
	first = first[:n]
	t, err := net.Dial("tcp", g.target)
	if err != nil {
		c.Close()
		return
	}
	if !g.keep(link{first, []net.Conn{c, t}}) {
		return
	}
	if _, err := t.Write(first); err != nil {
		c.Close()
		return
	}
	go g.copy(t, c)
	g.copy(c, t)
}

// copy forwards what one end sends. While the gate is silent, that is lost.
func (g *gate) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		g.mu.Lock()
		silent := g.silent
		g.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// keep notes a connection. It resets one of a sender that is barred, and reports whether it did not.
func (g *gate) keep(l link) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.barred != "" && bytes.Contains(l.first, []byte(g.barred)) {
		l.reset()
		return false
	}
	g.conns = append(g.conns, l)
	return true
}

// bar resets the connections of one sender, those that are open and new ones.
func (g *gate) bar(sender string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.barred = sender
	for _, l := range g.conns {
		if sender != "" && bytes.Contains(l.first, []byte(sender)) {
			l.reset()
		}
	}
}

// reset ends a connection on both ends.
func (l *link) reset() {
	for _, c := range l.ends {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the connection may have ended
		}
		c.Close()
	}
}

// refuse ends all connections with a reset and has new ones refused.
func (g *gate) refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ln.Close()
	g.reset()
}

// reset ends all connections; g.mu is held.
func (g *gate) reset() {
	for _, l := range g.conns {
		l.reset()
	}
	g.conns = nil
}

// setSilent begins or ends a silent cut. At its end the connections of before are gone.
func (g *gate) setSilent(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = on
	if !on {
		g.reset()
	}
}

// reopen ends a cut that refuses.
func (g *gate) reopen() error {
	ln, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.ln = ln
	g.mu.Unlock()
	go g.accept(ln)
	return nil
}
