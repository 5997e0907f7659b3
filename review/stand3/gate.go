//go:build review

package main

import (
	"net"
	"sync"
)

// gate is a proxy in front of a worker, at the address that the worker publishes. While it is shut, it drops what
// arrives, silently, and a connection on which something was dropped stays silent.
type gate struct {
	ln net.Listener

	mu      sync.Mutex
	shut    bool
	backend string
}

func newGate() (*gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go g.carry(c)
		}
	}()
	return g, nil
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
}

func (g *gate) state() (shut bool, backend string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut, g.backend
}

// carry carries one connection.
func (g *gate) carry(c net.Conn) {
	defer c.Close()
	shut, backend := g.state()
	if shut {
		g.pass(nil, c)
		return
	}
	b, err := net.Dial("tcp", backend)
	if err != nil {
		return
	}
	go func() {
		g.pass(c, b)
		if shut, _ := g.state(); !shut {
			c.Close()
		}
	}()
	g.pass(b, c)
	b.Close()
}

// pass copies from one connection to another, nil for none, until the first ends. From the first drop on it drops all.
func (g *gate) pass(to, from net.Conn) {
	const size = 64 << 10
	buf := make([]byte, size)
	dead := to == nil
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if shut, _ := g.state(); shut {
			dead = true
		}
		if dead {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
