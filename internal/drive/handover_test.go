package drive

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// TestNextOwnerCarriesOn kills the owner while its jobs run.
func TestNextOwnerCarriesOn(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	ids := jobIDs(6)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	first := c.owner()
	c.kill(first)
	c.completed((first+1)%3, ids...)
}

func TestStoppedEntryHandsOver(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 2})
	ids := jobIDs(4)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	first := c.owner()
	c.cancels[first]()
	c.completed(1-first, ids...)
}

// TestOneOwnerForAnEpoch has many entries claim one partition at once. The log answers
// the same epoch of a second claimant with success, as a repeat.
func TestOneOwnerForAnEpoch(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	const partition, claimants = 3, 8
	var wg sync.WaitGroup
	var mu sync.Mutex
	epochs := map[int64]int{}
	for i := range claimants {
		n := New(c.nodes[0].settings)
		n.incarnation = fmt.Sprintf("claimant-%d", i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			part := &ownedPartition{node: n, number: partition, store: platform.NewLog(n.settings), log: logrus.NewEntry(logrus.StandardLogger())}
			defer part.store.Close()
			if part.claim(t.Context()) {
				mu.Lock()
				defer mu.Unlock()
				epochs[part.scheduler.Epoch]++
			}
		}()
	}
	wg.Wait()
	for epoch, n := range epochs {
		assert.Equal(t, n, 1, "epoch %d has %d owners", epoch, n)
	}
}

// TestLeavingOwnerWorksUntilItIsAsked takes a partition from its owner's share. The owner
// goes on taking jobs until the next owner asks, and all is stored when it has yielded.
func TestLeavingOwnerWorksUntilItIsAsked(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	n := c.nodes[0]
	ids := jobIDs(2)
	c.submit(0, ids[0], twoSteps)
	partition := n.partitionOf("alpha")
	part := n.ownedPartition(partition)
	part.releasing.Store(true)
	c.submit(0, ids[1], twoSteps)
	assert.Assert(t, n.yield(t.Context(), &yieldCall{Partition: partition, Probe: true}))
	assert.Equal(t, n.ownedPartition(partition), part, "a probe ends nothing")
	assert.Assert(t, n.yield(t.Context(), &yieldCall{Partition: partition}))
	log := platform.NewLog(n.settings)
	defer log.Close()
	table, err := log.JobTable(t.Context(), partition)
	assert.NilError(t, err)
	stored := map[string]bool{}
	for _, r := range table.Records {
		stored[r.Key] = true
	}
	assert.Assert(t, stored["j/"+ids[0]] && stored["j/"+ids[1]] && stored["handover"])
	c.completed(0, ids...) // it is assigned anew
}

// TestNextOwnerAsksForThePartition stops an entry at work. The next owner asks it to
// yield and finds its handover, so that no task waits for other VMs.
func TestNextOwnerAsksForThePartition(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 2})
	ids := jobIDs(6)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	first := c.owner()
	part := c.nodes[first].ownedPartition(c.nodes[first].partitionOf("alpha"))
	c.cancels[first]()
	<-part.done
	assert.Assert(t, part.scheduler.Retired(), "the owner ended without word for the next one")
	c.completed(1-first, ids...)
}

// TestTailReplacesTheTable reads the end of a partition after its table.
func TestTailReplacesTheTable(t *testing.T) {
	table := &site.Table{End: 7, Records: []site.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}}
	table.Add(&site.Table{End: 10, Records: []site.Record{{Key: "b", Value: []byte("2")}, {Key: "c", Value: []byte("1")}, {Key: "b", Value: nil}}})
	assert.DeepEqual(t, table, &site.Table{End: 10, Records: []site.Record{{Key: "a", Value: []byte("1")}, {Key: "b"}, {Key: "c", Value: []byte("1")}}})
}

// TestBusyOwnerYieldsInTime has callers hand jobs in all the while at a log that takes its
// time. The owner ends with one last append; waiting for a moment without changes, it
// would not end at all.
func TestBusyOwnerYieldsInTime(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 2})
	n := c.nodes[0]
	c.world.Store.Set(func(s *emul.Store) { s.Delay = 20 * time.Millisecond })
	ctx, stop := context.WithCancel(t.Context())
	var work sync.WaitGroup
	for i := range 8 {
		work.Add(1)
		go func() {
			defer work.Done()
			for k := 0; ctx.Err() == nil; k++ {
				c.call(0, http.MethodPost, fmt.Sprintf("/q/%016x", i*10_000+k+1), twoSteps)
			}
		}()
	}
	c.await("jobs run", func() bool { return len(c.world.Ledger.Runs()) > 10 })
	limit, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	assert.Assert(t, n.yield(limit, &yieldCall{Partition: n.partitionOf("alpha")}))
	stop()
	work.Wait()
	assert.Equal(t, c.world.Ledger.Broken(), "")
}

// TestOrdersOfTheMoverBeforeLastAreKept has a mover take over and leave at once. The next
// one still learns of what the first one ordered.
func TestOrdersOfTheMoverBeforeLastAreKept(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	now := time.Now()
	first := orderTimestamp{UnixMS: now.Add(-time.Second).UnixMilli(), AgeMS: 300}
	part := &ownedPartition{node: c.nodes[0], restored: restoredFleet{orderTimes: map[string]orderTimestamp{"m-1": first}}}
	m := newMover(part)
	m.handOver(time.Now())
	assert.Equal(t, len(part.pendingRecords), 1)
	r, err := jobs.Decode[ordersRecord](part.pendingRecords[0].record.Value)
	assert.NilError(t, err)
	kept, found := r.OrderedAt["m-1"]
	assert.Assert(t, found, "the order is forgotten")
	assert.Assert(t, kept.AgeMS >= 300 && kept.AgeMS < 5000)
}

// TestWaveKeepsItsBegin has a mover take a wave over in the midst of it. Its time runs
// from when the operator asked, whatever this entry knows of that.
func TestWaveKeepsItsBegin(t *testing.T) {
	now := time.UnixMilli(1_700_000_100_000)
	const within = 25 * time.Second
	tests := []struct {
		name string
		kept waveRecord
		seen time.Duration // ago, by this entry
		want time.Duration // ago
	}{
		{"seen from the begin", waveRecord{}, 12 * time.Second, 12 * time.Second},
		{"started since", waveRecord{UnixMS: now.Add(-14 * time.Second).UnixMilli(), AgeMS: 9000}, time.Second, 14 * time.Second},
		{"a clock that was set back", waveRecord{UnixMS: now.Add(5 * time.Second).UnixMilli(), AgeMS: 9000}, time.Second, 9 * time.Second},
		{"a clock that was set forward", waveRecord{UnixMS: now.Add(-time.Hour).UnixMilli(), AgeMS: 9000}, time.Second, within},
	}
	for _, tt := range tests {
		assert.Equal(t, now.Sub(tt.kept.startTime(now, now.Add(-tt.seen), within)), tt.want, tt.name)
	}
}

// TestClaimReadsAgainSoon has the log swallow the first read of a partition, as one does
// that comes back from an outage. The claim does not wait for the longest time of a call.
func TestClaimReadsAgainSoon(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	n := c.nodes[0]
	ctx, cancel := context.WithTimeout(t.Context(), 10*minReadTimeout)
	defer cancel()
	c.world.Store.Set(func(s *emul.Store) { s.SwallowReads = 1 })
	part := &ownedPartition{node: n, number: 3, store: platform.NewLog(n.settings), log: logrus.NewEntry(logrus.StandardLogger())}
	defer part.store.Close()
	assert.Assert(t, part.claim(ctx))
	assert.Equal(t, part.readTimeout, 2*minReadTimeout, "the second attempt has twice the time")
}

// appendFailures counts the log lines of failed appends.
type appendFailures struct{ n atomic.Int64 }

// Levels makes appendFailures a hook.
func (*appendFailures) Levels() []logrus.Level { return logrus.AllLevels }

// Fire makes appendFailures a hook.
func (a *appendFailures) Fire(e *logrus.Entry) error {
	if strings.HasPrefix(e.Message, "append failed") {
		a.n.Add(1)
	}
	return nil
}

// TestEndedShardAppendsNothing has an owner yield while the log is away. Its last append
// ends with it, whatever becomes of the call that asked: a soak's entries repeated such
// appends for a minute, on closed connections.
func TestEndedShardAppendsNothing(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	n := c.nodes[0]
	partition := n.partitionOf("alpha")
	c.submit(0, jobIDs(1)[0], twoSteps)
	part := n.ownedPartition(partition)
	c.world.Store.Set(func(s *emul.Store) { s.Down = true })
	hook := &appendFailures{}
	defer logrus.StandardLogger().ReplaceHooks(logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{}))
	logrus.AddHook(hook)
	go n.yield(t.Context(), &yieldCall{Partition: partition})
	c.await("an append failed", func() bool { return hook.n.Load() > 0 })
	part.cancel()
	<-part.done
	before := hook.n.Load()
	time.Sleep(5 * appendBackoff)
	assert.Assert(t, hook.n.Load() <= before+1, "%d appends after the end", hook.n.Load()-before)
}
