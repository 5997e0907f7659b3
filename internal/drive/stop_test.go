package drive

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestRequestsAreAnsweredBeforeStop guards against requests that end without an answer when an entry stops while the log
// does not answer: those sent before the stop, and late while the entry still takes connections.
func TestRequestsAreAnsweredBeforeStop(t *testing.T) {
	for _, grace := range []float64{4, 6} {
		c := newAdjustedCluster(t, 1, map[string]int{"alpha": 2}, func(b *site.Bounds) { b.ShutdownGraceS = grace })
		ids := jobIDs(10)
		c.submit(0, ids[0], twoSteps)
		c.emulator.Store.SetFaults(func(s *emul.Store) { s.Silent = true })
		began := time.Now()
		c.cancels[0]()
		var calls sync.WaitGroup
		for i, id := range ids[1:] {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond)
				status, reply := c.call(0, http.MethodPost, "/q/"+id, twoSteps)
				assert.Check(t, status != 0 && status != http.StatusNotFound, "grace of %v s, request sent %d ms after the stop: %s", grace, i*200, reply)
			})
		}
		calls.Wait()
		<-c.done[0]
		assert.Check(t, time.Since(began).Seconds() < grace, "the entry ends after its grace of %v s", grace)
	}
}

// TestAbortedEntryClaimsNothing guards against an entry that gets partitions by the answer to a join that it sent before it was aborted.
func TestAbortedEntryClaimsNothing(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	n := c.nodes[c.owner()]
	c.kill(0)
	n.setOwned([]int{n.partitionOf("alpha")})
	assert.Assert(t, !n.ownsAny(), "the aborted entry claims a partition")
}
