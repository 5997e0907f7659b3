package drive

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// testTimeout bounds the wait for an expected state. It is generous: the tests check no speed.
const testTimeout = 40 * time.Second

// partitions is the number of partitions of the emulated job log.
const partitions = 4

// twoSteps is a job of six tasks: two that start after the first four.
const twoSteps = `{"spec":"x","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":300},{"count":2,"cpu":2000,"memMb":100,"estimateMs":300,"after":[0]}]}`

// TestJobsRunFromAnyEntry guards against tasks that start twice when a job is submitted through
// two entries.
func TestJobsRunFromAnyEntry(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2, "rest": 2})
	ids := jobIDs(6)
	for i, id := range ids {
		c.submit(i%3, id, twoSteps)
		c.submit((i+1)%3, id, twoSteps) // a repeated submission changes nothing
	}
	c.awaitCompleted(0, ids...)
	starts := map[string]int{}
	for _, r := range c.emulator.Ledger.Runs() {
		starts[r.Task]++
	}
	assert.Equal(t, len(starts), 6*len(ids))
	for task, n := range starts {
		assert.Equal(t, n, 1, task)
	}
}

// TestReplyStatus guards against another HTTP status than the specified one, and against started
// tasks, for invalid requests, unknown jobs and the number of waiting jobs.
func TestReplyStatus(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 1})
	tests := []struct {
		name, method, path, body string
		want                     int
	}{
		{"unknown queue", http.MethodPost, "/other/0000000000000001", twoSteps, http.StatusNotFound},
		{"unknown job", http.MethodGet, "/q/00000000000000ff", "", http.StatusGone},
		{"cancel of an unknown job", http.MethodDelete, "/q/00000000000000ff", "", http.StatusGone},
		{"count", http.MethodGet, "/q/", "", http.StatusOK},
		{"no JSON", http.MethodPost, "/q/0000000000000001", "{", http.StatusBadRequest},
		{"no steps", http.MethodPost, "/q/0000000000000001", `{"spec":"x"}`, http.StatusBadRequest},
		{"zero tasks", http.MethodPost, "/q/0000000000000001", `{"steps":[{"count":0}]}`, http.StatusBadRequest},
		{"step after itself", http.MethodPost, "/q/0000000000000001", `{"steps":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		{"wrong identifier", http.MethodPost, "/q/xyz", twoSteps, http.StatusBadRequest},
		{"spec too long", http.MethodPost, "/q/0000000000000001", `{"spec":"` + strings.Repeat("a", 4001) + `","steps":[{"count":1}]}`, http.StatusBadRequest},
	}
	for _, tt := range tests {
		c.await(tt.name, func() bool {
			status, _ := c.call(1, tt.method, tt.path, tt.body)
			return status != http.StatusServiceUnavailable
		})
		status, body := c.call(1, tt.method, tt.path, tt.body)
		assert.Equal(t, status, tt.want, "%s: %s", tt.name, body)
	}
	assert.Equal(t, len(c.emulator.Ledger.Runs()), 0)
}

// TestCancelledJobStaysCancelled guards against a cancelled job that starts again when a delayed
// repeat of its submission arrives.
func TestCancelledJobStaysCancelled(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 1})
	const id = "00000000000000c1"
	c.submit(0, id, `{"steps":[{"count":2,"cpu":1000,"longRunning":true}]}`)
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	status, _ := c.call(1, http.MethodDelete, "/q/"+id, "")
	assert.Equal(t, status, http.StatusOK)
	c.await("tasks ended", func() bool {
		for _, r := range c.emulator.Ledger.Runs() {
			if r.End.IsZero() {
				return false
			}
		}
		return true
	})
	c.submit(0, id, `{"steps":[{"count":2,"cpu":1000,"longRunning":true}]}`) // a late repeat of the submission
	assert.Equal(t, c.state(0, id), "cancelled")
}

// TestLogOutage guards against tasks that do not continue, new jobs that are accepted, and
// accepted jobs that are lost while the log refuses every call.
func TestLogOutage(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 2})
	ids := jobIDs(4)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = true })
	for range 3 {
		status, _ := c.call(0, http.MethodPost, "/q/00000000000000d1", twoSteps)
		assert.Equal(t, status, http.StatusServiceUnavailable, "the job was not stored, so the caller must get a refusal")
	}
	c.await("tasks end during the outage", func() bool {
		n := 0
		for _, r := range c.emulator.Ledger.Runs() {
			if r.How == "done" {
				n++
			}
		}
		return n >= 16 // the jobs' first steps have 16 tasks
	})
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = false })
	c.awaitCompleted(1, ids...)
	for _, r := range c.emulator.Ledger.Runs() {
		assert.Assert(t, !strings.HasPrefix(r.Task, "00000000000000d1"), "a refused job ran")
	}
}

// TestLostAppendReply guards against jobs that are lost or violate an invariant when the log
// stores an append but its reply is lost. The owner has to repeat such an append.
func TestLostAppendReply(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 2})
	ids := jobIDs(5)
	for _, id := range ids {
		c.emulator.Store.SetFaults(func(s *emul.Store) { s.LoseNextReply = true })
		c.submit(0, id, twoSteps)
	}
	c.awaitCompleted(0, ids...)
}

// TestLostRepliesDelayNoCaller guards against submissions that wait for as long as the slowest
// answer may take, and against entries that lose their partitions, while the log carries out all
// appends but loses the answers to a third of them.
func TestLostRepliesDelayNoCaller(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.LosePercent, s.LoseSilently = 35, true })
	const jobs, limit = 40, 20 * time.Second // with a fixed timeout of 1.5 s, 14 lost answers alone take 21 s
	began := time.Now()
	for i := range jobs {
		c.submit(i%3, fmt.Sprintf("%016x", 0xabc000+i), `{"spec":"s","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":50}]}`)
	}
	took := time.Since(began)
	assert.Assert(t, took < limit, "%d submissions took %s", jobs, took)
}

// TestRebalanceWhileJobsRun guards against jobs that are lost or violate an invariant when all
// partitions move to other owners while jobs run.
func TestRebalanceWhileJobsRun(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	ids := jobIDs(6)
	for i, id := range ids {
		c.submit(i%3, id, twoSteps)
		c.emulator.Store.Rebalance()
	}
	c.awaitCompleted(2, ids...)
}

// TestCrashedVM guards against tasks that are lost when the VM that runs them crashes. They have
// to run again on other VMs.
func TestCrashedVM(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 3})
	ids := jobIDs(6)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	c.emulator.Crash(c.emulator.VMs()[0])
	c.awaitCompleted(0, ids...)
}

// TestVMThatDoesNotAnswerOrders guards against tasks that are lost or run twice when a VM does
// not answer orders. The starts are withdrawn, and the tasks run on another VM once they certainly
// cannot run on this one.
func TestVMThatDoesNotAnswerOrders(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 2})
	unresponsive := c.emulator.VMs()[0]
	unresponsive.SetFaults(func(w *emul.Worker) { w.DropOrders = true })
	ids := jobIDs(3)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	time.Sleep(time.Second)
	unresponsive.SetFaults(func(w *emul.Worker) { w.DropOrders = false })
	c.awaitCompleted(0, ids...)
}

// TestVMThatFailsEverything guards against a VM that fails every run and so uses up the attempts
// of many jobs.
func TestVMThatFailsEverything(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 3})
	c.emulator.VMs()[0].SetFaults(func(w *emul.Worker) { w.FailAllRuns = true })
	ids := jobIDs(8)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	c.awaitCompleted(0, ids...)
}

// TestMovesAndMaintenanceWave guards against machines of a wave that are not maintained, or are
// maintained twice, while a pool has more work than its machines can run.
func TestMovesAndMaintenanceWave(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 2, "rest": 3})
	assert.NilError(t, c.emulator.RequestWave(1, 10, 1, "m-alpha-0", "m-rest-0"))
	ids := jobIDs(12)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	c.awaitCompleted(0, ids...)
	c.await("wave completed", func() bool { return c.emulator.WaveCompleted(1) })
	maintained := map[string]int{}
	for _, o := range c.emulator.AcceptedOrders() {
		if strings.HasSuffix(o, " 1") { // maintenance for wave 1
			maintained[strings.Fields(o)[0]]++
		}
	}
	assert.DeepEqual(t, maintained, map[string]int{"m-alpha-0": 1, "m-rest-0": 1})
}

// TestConcurrentCallers guards against jobs that are not accepted within 100 attempts, or are
// lost, when many are submitted concurrently through all entries.
func TestConcurrentCallers(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 4})
	ids := jobIDs(30)
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 100 {
				if status, _ := c.call(i%3, http.MethodPost, "/q/"+id, twoSteps); status == http.StatusOK {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	c.awaitCompleted(1, ids...)
}

// TestRepeatedSubmitAfterQueueMove guards against a job that runs a second time, or is reported
// as unknown, when its queue has changed its pool between two requests.
func TestRepeatedSubmitAfterQueueMove(t *testing.T) {
	const entries = 2
	move := func(c *cluster) { assert.NilError(c.t, c.emulator.Configure(8, "delta", "alpha", "delta")) }
	drop := func(c *cluster) {
		assert.NilError(c.t, c.emulator.Publish(&emul.Configuration{Version: 6, Pools: []string{"alpha", "delta"}}))
		for i := range c.nodes {
			c.await("queue dropped", func() bool { return c.nodes[i].Config().Version == 6 })
		}
	}
	awaitMoved := func(c *cluster) {
		for i := range c.nodes {
			c.await("configuration in force", func() bool { return c.nodes[i].Config() != nil && c.nodes[i].Config().Version == 8 })
		}
		c.await("all partitions owned", func() bool { return c.ownedPartitions() == partitions })
	}
	tests := []struct {
		name   string
		change func(c *cluster)
		entry  int // that gets the repeated request
	}{
		{"moved", func(c *cluster) { move(c); awaitMoved(c) }, 1},
		{"dropped and added with another pool", func(c *cluster) { drop(c); move(c); awaitMoved(c) }, 1},
		{"moved, then an entry restarts", func(c *cluster) { move(c); awaitMoved(c); c.restart(1); awaitMoved(c) }, 1},
		{"moved while an entry is down", func(c *cluster) {
			c.kill(1)
			move(c)
			c.run(1, c.nodes[1].settings)
			awaitMoved(c)
		}, 1},
		{"moved, then an entry is added", func(c *cluster) { move(c); awaitMoved(c); c.startEntry(entries); awaitMoved(c) }, entries},
		{"moved, then all entries are killed", func(c *cluster) {
			move(c)
			awaitMoved(c)
			for i := range c.nodes {
				c.kill(i)
			}
			for i := range c.nodes {
				c.run(i, c.nodes[i].settings)
			}
			awaitMoved(c)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, entries, map[string]int{"alpha": 1, "delta": 1})
			assert.NilError(t, c.emulator.Configure(5, "alpha", "alpha", "delta"))
			const id = "00000000000000e1"
			assert.Assert(t, c.nodes[0].partitionOf("alpha") != c.nodes[0].partitionOf("delta"), "the pools must be in different partitions")
			c.submit(0, id, twoSteps)
			tt.change(c)
			c.submit(tt.entry, id, twoSteps)
			c.awaitCompleted(tt.entry, id)
			starts := map[string]int{}
			for _, r := range c.emulator.Ledger.Runs() {
				starts[r.Task]++
				assert.Equal(t, starts[r.Task], 1, "%s was started again", r.Task)
			}
			assert.Equal(t, len(starts), 6)
		})
	}
}

// TestWatchRetriesUnansweredRead guards against a configuration that comes into force too late
// because the log never answers a read of the operator's records. The watch has to time out early
// enough for the next read to be answered in time.
func TestWatchRetriesUnansweredRead(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	const maxConfigDelay = 2 * time.Second // the users require a configuration to be in force within this time
	ctx, cancel := context.WithTimeout(t.Context(), maxConfigDelay)
	defer cancel()
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.HangNewestReads = 1 })
	w := platform.NewWatch(c.nodes[0].settings, site.Operator, operatorReadWait)
	_, _, err := w.Next(ctx)
	assert.Assert(t, err != nil && ctx.Err() == nil, "the read did not time out before the bound: %v", ctx.Err())
	changes, _, err := w.Next(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, len(changes) > 0)
}
