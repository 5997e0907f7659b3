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

// TestTakeoverAfterKill guards against jobs that are lost or violate an invariant when their
// owner is killed while they run and another entry takes over.
func TestTakeoverAfterKill(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	ids := jobIDs(6)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	first := c.owner()
	c.kill(first)
	c.awaitCompleted((first+1)%3, ids...)
}

// TestHandoverOnStop guards against jobs that are lost or violate an invariant when their owner
// stops gracefully and the other entry takes over.
func TestHandoverOnStop(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 2})
	ids := jobIDs(4)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	first := c.owner()
	c.cancels[first]()
	c.awaitCompleted(1-first, ids...)
}

// TestEpochHasOneOwner guards against two owners of one epoch when several entries claim a
// partition concurrently: the log treats a second claim with the same epoch and sequence number
// as a repeat and answers with success.
func TestEpochHasOneOwner(t *testing.T) {
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
			part := &ownedPartition{node: n, number: partition, store: platform.NewLog(n.settings), appendTimeout: newTimeout(minAppendTimeout), log: logrus.NewEntry(logrus.StandardLogger())}
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

// TestReleasingOwnerServesUntilYield guards against an owner that stops serving a partition as
// soon as it is no longer assigned to it. The owner has to accept jobs until the next owner asks
// it to yield, and then has to store all changes and a handover record.
func TestReleasingOwnerServesUntilYield(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	n := c.nodes[0]
	ids := jobIDs(2)
	c.submit(0, ids[0], twoSteps)
	partition := n.partitionOf("alpha")
	part := n.lookupPartition(partition)
	part.releasing.Store(true)
	c.submit(0, ids[1], twoSteps)
	assert.Assert(t, n.yield(t.Context(), &yieldCall{Partition: partition, Probe: true}))
	assert.Equal(t, n.lookupPartition(partition), part, "a probe must not end ownership")
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
	c.awaitCompleted(0, ids...) // the partition is assigned to this entry again
}

// TestNewOwnerRequestsYield guards against an entry that stops while jobs run and leaves no
// handover record. The new owner asks it to yield and reads the record; without one, tasks would
// wait until all VMs have been polled.
func TestNewOwnerRequestsYield(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 2})
	ids := jobIDs(6)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	first := c.owner()
	part := c.nodes[first].lookupPartition(c.nodes[first].partitionOf("alpha"))
	c.cancels[first]()
	<-part.done
	assert.Assert(t, part.scheduler.Retired(), "the owner ended without a handover record")
	c.awaitCompleted(1-first, ids...)
}

// TestTableAddReplacesRecords guards against a table that keeps an outdated record or loses a
// tombstone when records appended later are added to it.
func TestTableAddReplacesRecords(t *testing.T) {
	table := &site.Table{End: 7, Records: []site.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}}
	table.Add(&site.Table{End: 10, Records: []site.Record{{Key: "b", Value: []byte("2")}, {Key: "c", Value: []byte("1")}, {Key: "b", Value: nil}}})
	assert.DeepEqual(t, table, &site.Table{End: 10, Records: []site.Record{{Key: "a", Value: []byte("1")}, {Key: "b"}, {Key: "c", Value: []byte("1")}}})
}

// TestBusyOwnerYieldsInTime guards against an owner that never yields because it waits until
// nothing changes any more, while callers submit jobs continuously and the log is slow. The owner
// has to end with one last append.
func TestBusyOwnerYieldsInTime(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 2})
	n := c.nodes[0]
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Delay = 20 * time.Millisecond })
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
	c.await("jobs run", func() bool { return len(c.emulator.Ledger.Runs()) > 10 })
	yieldCtx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	assert.Assert(t, n.yield(yieldCtx, &yieldCall{Partition: n.partitionOf("alpha")}))
	stop()
	work.Wait()
	assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
}

// TestHandoverKeepsRestoredOrders guards against a mover that takes over, hands over at once and
// writes a record without the previous mover's orders. The next mover would then send orders for
// the same machines too early.
func TestHandoverKeepsRestoredOrders(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	now := time.Now()
	restoredOrder := orderTimestamp{UnixMS: now.Add(-time.Second).UnixMilli(), AgeMS: 300}
	part := &ownedPartition{node: c.nodes[0], restored: restoredFleet{orderTimes: map[string]orderTimestamp{"m-1": restoredOrder}}}
	m := newMover(part)
	m.handOver(time.Now())
	assert.Equal(t, len(part.pendingRecords), 1)
	r, err := jobs.Decode[ordersRecord](part.pendingRecords[0].record.Value)
	assert.NilError(t, err)
	order, found := r.OrderedAt["m-1"]
	assert.Assert(t, found, "the restored order is missing from the record")
	assert.Assert(t, order.AgeMS >= 300 && order.AgeMS < 5000)
}

// TestWaveStartTime guards against a wave that exceeds its time limit after a takeover. The limit
// runs from the operator's request, even if this entry started later or a clock was set.
func TestWaveStartTime(t *testing.T) {
	now := time.UnixMilli(1_700_000_100_000)
	const within = 25 * time.Second
	tests := []struct {
		name   string
		stored waveRecord
		seen   time.Duration // since this entry first read the wave
		want   time.Duration // since the start of the wave
	}{
		{"seen from the start", waveRecord{}, 12 * time.Second, 12 * time.Second},
		{"entry started later", waveRecord{UnixMS: now.Add(-14 * time.Second).UnixMilli(), AgeMS: 9000}, time.Second, 14 * time.Second},
		{"clock set back", waveRecord{UnixMS: now.Add(5 * time.Second).UnixMilli(), AgeMS: 9000}, time.Second, 9 * time.Second},
		{"clock set forward", waveRecord{UnixMS: now.Add(-time.Hour).UnixMilli(), AgeMS: 9000}, time.Second, within},
	}
	for _, tt := range tests {
		assert.Equal(t, now.Sub(tt.stored.startTime(now, now.Add(-tt.seen), within)), tt.want, tt.name)
	}
}

// TestClaimRetriesUnansweredRead guards against a claim that waits long for a read of the
// partition that the log never answers, as after an outage. The claim has to retry after a short
// timeout.
func TestClaimRetriesUnansweredRead(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	n := c.nodes[0]
	ctx, cancel := context.WithTimeout(t.Context(), 10*minReadTimeout)
	defer cancel()
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.HangNewestReads = 1 })
	part := &ownedPartition{node: n, number: 3, store: platform.NewLog(n.settings), appendTimeout: newTimeout(minAppendTimeout), log: logrus.NewEntry(logrus.StandardLogger())}
	defer part.store.Close()
	assert.Assert(t, part.claim(ctx))
	assert.Equal(t, part.readTimeout, 2*minReadTimeout, "the second attempt has twice the timeout")
}

// appendFailures counts the log lines of failed appends to a partition.
type appendFailures struct {
	partition int
	n         atomic.Int64
}

// Levels implements logrus.Hook.
func (*appendFailures) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (a *appendFailures) Fire(e *logrus.Entry) error {
	if strings.HasPrefix(e.Message, "append failed") && e.Data["partition"] == a.partition {
		a.n.Add(1)
	}
	return nil
}

// TestEndedPartitionAppendsNothing guards against an entry that retries the last append of a
// partition after the partition has ended. Such retries, on closed connections, have gone on for
// a minute. They occur if the log is down while the owner yields and the yield call goes on.
func TestEndedPartitionAppendsNothing(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	n := c.nodes[0]
	partition := n.partitionOf("alpha")
	c.submit(0, jobIDs(1)[0], twoSteps)
	part := n.lookupPartition(partition)
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = true })
	hook := &appendFailures{partition: partition}
	defer logrus.StandardLogger().ReplaceHooks(logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{}))
	logrus.AddHook(hook)
	go n.yield(t.Context(), &yieldCall{Partition: partition})
	c.await("an append failed", func() bool { return hook.n.Load() > 0 })
	part.cancel()
	<-part.done
	before := hook.n.Load()
	time.Sleep(5 * appendBackoff)
	// One append may have been in progress when the partition ended.
	assert.Assert(t, hook.n.Load() <= before+1, "%d appends after the partition ended", hook.n.Load()-before)
}
