package drive

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestSilentAppendEndsWhenLogIsRestored guards against an append that is repeated only after its own
// timeout although the log answers other calls again, and against one whose interruption makes the next
// timeouts longer.
func TestSilentAppendEndsWhenLogIsRestored(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	part := partitionWithJob(t, c.nodes[0], 20)
	defer part.store.Close()
	part.appendTimeout.Min, part.appendTimeout.Max = testTimeout, testTimeout
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.LosePercent, s.LoseSilently = 100, true })
	ended := make(chan error, 1)
	a := &site.Append{Partition: part.number, Epoch: 1, ExpectEnd: -1, Records: []site.Record{{Key: "k", Value: []byte("v")}}}
	go func() { ended <- part.tryAppend(t.Context(), a, false) }()
	select {
	case err := <-ended:
		t.Fatalf("the append ended before the log was restored: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	c.nodes[0].logRestored.announce()
	select {
	case err := <-ended:
		assert.Assert(t, site.IsUnanswered(err), "%v", err)
	case <-time.After(testTimeout / 2):
		t.Fatal("the append still waits")
	}
	assert.Equal(t, part.appendTimeout.Timeout(), testTimeout)
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.LosePercent, s.LoseSilently = 0, false })
}

// TestCallContextEndsOnce guards against a call that is interrupted by a restoration before it began.
func TestCallContextEndsOnce(t *testing.T) {
	var r restoration
	first, cancelFirst := r.callContext(t.Context())
	defer cancelFirst()
	r.announce()
	<-first.Done()
	assert.ErrorIs(t, first.Err(), context.Canceled)
	second, cancelSecond := r.callContext(t.Context())
	defer cancelSecond()
	select {
	case <-second.Done():
		t.Fatal("an earlier restoration interrupts a call")
	case <-time.After(20 * time.Millisecond):
	}
}
