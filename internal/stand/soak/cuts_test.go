package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

const (
	passTime = 5 * time.Second       // within which what a link lets through arrives
	heldTime = 50 * time.Millisecond // for which what a link holds back is awaited
)

// echoes reports whether a byte sent over a connection comes back within a time. A byte that was held back before
// counts as well.
func echoes(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	_, err := c.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err == nil || errors.Is(err, os.ErrDeadlineExceeded), "a cut must be silent: %v", err)
	return err == nil
}

// TestSilentCut guards against a cut that lets data, new connections or their ends through, or that resets connections.
func TestSilentCut(t *testing.T) {
	tests := []struct {
		name       string
		directions []int
	}{
		{"upstream", []int{Upstream}},
		{"downstream", []int{Downstream}},
		{"both", []int{Upstream, Downstream}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := NewLink(startEchoServer(t))
			assert.NilError(t, err)
			t.Cleanup(l.Close)
			dial := func(timeout time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", l.Address, timeout) }
			c, err := dial(passTime)
			assert.NilError(t, err)
			defer c.Close()
			assert.Assert(t, echoes(t, c, passTime))
			l.Cut(tt.directions...)
			l.Cut(tt.directions...)
			assert.Assert(t, !echoes(t, c, heldTime))
			time.Sleep(heldTime)
			for range 3 { // the first may find a place in the queue
				_, err = dial(heldTime)
			}
			assert.ErrorContains(t, err, "timeout")
			l.Heal(tt.directions...)
			assert.Assert(t, !echoes(t, c, heldTime), "one of two cuts lasts")
			l.Heal(tt.directions...)
			assert.Assert(t, echoes(t, c, passTime), "what was held back must arrive")
			d, err := dial(passTime)
			assert.NilError(t, err)
			defer d.Close()
			assert.Assert(t, echoes(t, d, passTime))
		})
	}
}

// TestEndOfConnectionDoesNotPassCut guards against a peer that learns from a closed connection that the other end has
// given up.
func TestEndOfConnectionDoesNotPassCut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	l, err := NewLink(ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	client, err := net.Dial("tcp", l.Address)
	assert.NilError(t, err)
	server, err := ln.Accept()
	assert.NilError(t, err)
	defer server.Close()
	l.Cut(Upstream, Downstream)
	assert.NilError(t, client.Close())
	read := func(within time.Duration) error {
		assert.NilError(t, server.SetReadDeadline(time.Now().Add(within)))
		_, err := server.Read(make([]byte, 1))
		return err
	}
	assert.Assert(t, errors.Is(read(heldTime), os.ErrDeadlineExceeded))
	l.Heal(Upstream, Downstream)
	assert.Equal(t, read(passTime), io.EOF)
}

// TestPeerLinksByCaller guards against a cut between two entries that concerns another one, or none.
func TestPeerLinksByCaller(t *testing.T) {
	p, err := newPeerLinks(startEchoServer(t), []string{"entry-1", "entry-11"})
	assert.NilError(t, err)
	t.Cleanup(p.close)
	p.links["entry-1"].Cut(Upstream, Downstream)
	tests := []struct {
		hello  string
		passes bool
	}{
		{"entry-1-0a", false},
		{"entry-11-0a", true},
	}
	for _, tt := range tests {
		c, err := net.Dial("tcp", p.ln.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = fmt.Fprint(c, tt.hello)
		assert.NilError(t, err)
		within := heldTime
		if tt.passes {
			within = passTime
		}
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
		_, err = io.ReadFull(c, make([]byte, len(tt.hello)))
		assert.Equal(t, err == nil, tt.passes, tt.hello)
	}
}

// TestDrawCut guards against cuts that differ from what the load asks for.
func TestDrawCut(t *testing.T) {
	tests := []struct {
		name         string
		load         Load
		vms          string // empty for any
		minLen, most time.Duration
	}{
		{"any", Load{Cuts: 1}, "", 3 * time.Second, 25 * time.Second},
		{"plain", Load{Cuts: 1, CutLength: 4 * time.Second, CutVMs: "third", CutLinks: "log", PlainCuts: true}, "third", 4 * time.Second, 4 * time.Second},
		{"beside an outage", Load{Cuts: 1, CutOutage: 2 * time.Second}, "", 3 * time.Second, 25 * time.Second},
	}
	for _, tt := range tests {
		for seed := range uint64(100) {
			p := drawCut(&tt.load, rand.New(rand.NewPCG(seed, 0)))
			assert.Assert(t, p.length >= tt.minLen && p.length <= tt.most, "%s: %s", tt.name, p)
			assert.Assert(t, tt.vms == "" && p.vms.name != "none" || p.vms.name == tt.vms, "%s: %s", tt.name, p)
			assert.Equal(t, p.links.log, true)
			assert.Equal(t, p.links.entries, tt.load.CutLinks == "")
			if tt.load.CutOutage > 0 {
				assert.Assert(t, p.outage == tt.load.CutOutage && p.outageAt == 0, "%s: %s", tt.name, p)
			}
			if tt.load.PlainCuts {
				assert.Assert(t, len(p.directions) == 2 && !p.apart && !p.dropped && p.outage == 0 && len(p.events) == 0, "%s: %s", tt.name, p)
			}
		}
	}
}

// TestDrawSides guards against cuts of other entries than the load asks for.
func TestDrawSides(t *testing.T) {
	platform, err := emul.Start(emul.Options{Pools: map[string]int{"alpha": 1, "rest": 1}, Partitions: 1, RackSize: 1, DataCentres: []string{"z"}})
	assert.NilError(t, err)
	defer platform.Close()
	harness := &Harness{platform: platform, cfg: Config{Entries: 7, Load: Load{DataCentres: 3}}}
	for _, name := range harness.cfg.entryNames() {
		harness.entries = append(harness.entries, &Entry{Name: name})
	}
	tests := []struct {
		entries     string
		least, most int
	}{
		{"data-centre", 2, 3},
		{"owner", 1, 1},
		{"two", 2, 2},
	}
	for _, tt := range tests {
		for seed := range uint64(50) {
			s := harness.drawSides(findCutEntries(tt.entries), rand.New(rand.NewPCG(seed, 0)))
			n := len(s.inside)
			assert.Assert(t, n >= tt.least && n <= tt.most && n+len(s.outside) == 7, "%s: %s", tt.entries, joinNames(s.inside))
			assert.Assert(t, slices.ContainsFunc(s.inside, func(e *Entry) bool { return e.Name == s.owner }), tt.entries)
			for _, e := range harness.entries {
				if tt.entries == "data-centre" {
					assert.Equal(t, slices.Contains(s.inside, e), harness.cfg.Load.dataCentreOf(e.Name) == s.dataCentre)
				}
			}
		}
	}
}
