package drive

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestSilentOwnerIsNotTakenForEnded guards against a claim that counts on the end of an owner which only does not answer.
func TestSilentOwnerIsNotTakenForEnded(t *testing.T) {
	serve := func(handle func(s *peer.Server)) func(t *testing.T, ln net.Listener) {
		return func(t *testing.T, ln net.Listener) {
			t.Helper()
			ps := peer.NewServer(func() []string { return nil })
			handle(ps)
			go func() { _ = ps.Serve(t.Context(), ln) }()
			t.Cleanup(ps.Close)
		}
	}
	answer := func(yielded bool) func(s *peer.Server) {
		return func(s *peer.Server) {
			peer.Handle(s, yieldKind, func(context.Context, string, *yieldCall) (*yieldReply, error) {
				return &yieldReply{Yielded: yielded}, nil
			})
		}
	}
	tests := []struct {
		name  string
		start func(t *testing.T, ln net.Listener)
		want  probeAnswer
	}{
		{"owns the partition", serve(answer(true)), probeAnswer{owns: true}},
		{"has lost the partition", serve(answer(false)), probeAnswer{ended: true}},
		{"its process has ended", func(_ *testing.T, ln net.Listener) { ln.Close() }, probeAnswer{ended: true}},
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
