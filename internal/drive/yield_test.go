package drive

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestSilentOwnerIsNotTakenForEnded guards against a claim that counts on the end of an owner which only does not answer, or
// whose link refuses connections: its task would run a second time beside the first (review/6).
func TestSilentOwnerIsNotTakenForEnded(t *testing.T) {
	serve := func(handle func(s *peer.Server)) func(t *testing.T, ln net.Listener) {
		return func(t *testing.T, ln net.Listener) { t.Helper(); servePeer(t, ln, handle) }
	}
	tests := []struct {
		name  string
		start func(t *testing.T, ln net.Listener)
		want  probeAnswer
	}{
		{"owns the partition", serve(answerYield(true)), probeAnswer{owns: true}},
		{"has lost the partition", serve(answerYield(false)), probeAnswer{ended: true}},
		{"refuses connections", func(_ *testing.T, ln net.Listener) { ln.Close() }, probeAnswer{}},
		{"breaks connections off", breakOff, probeAnswer{}},
		{"does not answer", func(t *testing.T, ln net.Listener) { t.Helper(); t.Cleanup(func() { ln.Close() }) }, probeAnswer{}},
		{"does not know the call", serve(func(*peer.Server) {}), probeAnswer{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			tt.start(t, ln)
			n := New(&site.Settings{Entry: "claimant", IP: "127.0.0.1", Ports: []int{1, 2}, Log: site.LogSettings{Partitions: partitions}})
			part := &ownedPartition{node: n, log: logrus.WithField("partition", 0)}
			select {
			case got := <-part.probeOwner(t.Context(), ln.Addr().String()):
				assert.Equal(t, got, tt.want)
			case <-time.After(2 * maxYieldTimeout):
				t.Fatal("the probe has no end")
			}
		})
	}
}

// breakOff closes each connection once it is open.
func breakOff(t *testing.T, ln net.Listener) {
	t.Helper()
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
}

// servePeer answers the calls of other entries on a listener until the test ends.
func servePeer(t *testing.T, ln net.Listener, handle func(s *peer.Server)) {
	t.Helper()
	s := peer.NewServer(func() []string { return nil })
	handle(s)
	go func() { _ = s.Serve(t.Context(), ln) }()
	t.Cleanup(s.Close)
}

// answerYield has a peer answer calls to yield a partition.
func answerYield(yielded bool) func(s *peer.Server) {
	return func(s *peer.Server) {
		peer.Handle(s, yieldKind, func(context.Context, string, *yieldCall) (*yieldReply, error) {
			return &yieldReply{Yielded: yielded}, nil
		})
	}
}

// TestOwnerThatRefusesIsAskedAgain guards against a wait for leases that a former owner may still renew, once a later process
// at its address has shown that it has ended.
func TestOwnerThatRefusesIsAskedAgain(t *testing.T) {
	tests := []struct {
		name  string
		start func(t *testing.T, ln net.Listener)
		ended bool
	}{
		{"a later process answers", func(t *testing.T, ln net.Listener) { t.Helper(); servePeer(t, ln, answerYield(false)) }, true},
		{"it owns the partition", func(t *testing.T, ln net.Listener) { t.Helper(); servePeer(t, ln, answerYield(true)) }, false},
		{"refuses connections", func(_ *testing.T, ln net.Listener) { ln.Close() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			address := ln.Addr().String()
			ln.Close()
			n := New(&site.Settings{Entry: "claimant", IP: "127.0.0.1", Ports: []int{1, 2}, Log: site.LogSettings{Partitions: partitions}})
			part := &ownedPartition{node: n, log: logrus.WithField("partition", 0), events: make(chan func(time.Time), 1), done: make(chan struct{})}
			part.scheduler = sched.New(2, n.policy, part.log)
			part.formerNotice = 3 * time.Second
			claimed := time.Now()
			go part.awaitFormerEnd(t.Context(), address, claimed)
			time.Sleep(2 * reprobeInterval)
			ln, err = net.Listen("tcp", address)
			assert.NilError(t, err)
			tt.start(t, ln)
			select {
			case event := <-part.events:
				event(time.Now())
			case <-time.After(part.formerNotice + time.Second):
			}
			assert.Equal(t, part.soleOwner, tt.ended)
		})
	}
}
