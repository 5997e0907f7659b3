package drive

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

const (
	quotaTasks = 16 // tasks that the limit of the account allows
	minPeak    = 15 // nine tenths of that, rounded up
)

// manyTasks is a job that needs several times the account's limit.
var manyTasks = fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":500,"memMb":100,"estimateMs":300}]}`, 4*quotaTasks)

// newQuotaCluster starts a cluster with the queues q in pool alpha and d in pool delta, whose
// partitions differ, and an account that may run quotaTasks tasks.
func newQuotaCluster(t *testing.T, entries int) *cluster {
	t.Helper()
	c := newCluster(t, entries, map[string]int{"alpha": 2, "delta": 2})
	queues := []emul.Queue{{Name: "q", Pool: "alpha"}, {Name: "d", Pool: "delta"}}
	assert.NilError(t, c.emulator.Publish(&emul.Configuration{
		Version: 5, Queues: queues, Pools: []string{"alpha", "delta"},
		Accounts: []emul.Account{{Name: "acme", Keys: []string{"key-1"}, Weight: 1, Limit: emul.Resources{CPU: 500 * quotaTasks}}},
	}))
	assert.Assert(t, c.nodes[0].partitionOf("alpha") != c.nodes[0].partitionOf("delta"), "the pools must be in different partitions")
	for _, n := range c.nodes {
		c.await("configuration in force", func() bool { return n.Config().Version == 5 })
	}
	return c
}

// submitWithKey sends a job of the account until it is accepted.
func (c *cluster) submitWithKey(entry int, queue, id string) {
	c.t.Helper()
	c.await("job "+id+" accepted", func() bool {
		req, err := http.NewRequest(http.MethodPost, "http://"+c.nodes[entry].settings.Callers+"/"+queue+"/"+id, bytes.NewReader([]byte(manyTasks)))
		assert.NilError(c.t, err)
		req.Host = "h.example"
		req.Header.Set("Authorization", "Token key-1")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// peak returns the largest number of tasks of the jobs with a prefix that ran at the same time.
func (c *cluster) peak(prefix string) int {
	type event struct {
		at    time.Time
		delta int
	}
	var events []event
	for _, r := range c.emulator.Ledger.Runs() {
		if !strings.HasPrefix(r.Task, prefix) {
			continue
		}
		events = append(events, event{r.Start, 1})
		if !r.End.IsZero() {
			events = append(events, event{r.End, -1})
		}
	}
	sort.Slice(events, func(i, k int) bool {
		if events[i].at.Equal(events[k].at) {
			return events[i].delta < events[k].delta
		}
		return events[i].at.Before(events[k].at)
	})
	running, highest := 0, 0
	for _, e := range events {
		running += e.delta
		highest = max(highest, running)
	}
	return highest
}

// awaitPeak submits jobs with a prefix to a queue until they use nine tenths of the account's limit.
func (c *cluster) awaitPeak(entry int, queue, prefix string) {
	c.t.Helper()
	for i := 0; c.peak(prefix) < minPeak; i++ {
		assert.Assert(c.t, i < 10, "pool of queue %s runs at most %d tasks of %d", queue, c.peak(prefix), quotaTasks)
		id := fmt.Sprintf("%s%08x", prefix, i)
		c.submitWithKey(entry, queue, id)
		c.await("tasks of job "+id+" ended", func() bool { return c.ended(id) == 4*quotaTasks })
	}
}

// ended counts the runs of a job that are done.
func (c *cluster) ended(id string) int {
	n := 0
	for _, r := range c.emulator.Ledger.Runs() {
		if strings.HasPrefix(r.Task, id) && r.How == "done" {
			n++
		}
	}
	return n
}

// TestQuotaMovesToAnotherPool guards against an account that cannot use its limit in one pool because
// another, which it has used before, keeps the quota.
func TestQuotaMovesToAnotherPool(t *testing.T) {
	c := newQuotaCluster(t, 2)
	c.awaitPeak(0, "q", "aaaaaaaa")
	c.awaitPeak(1, "d", "dddddddd")
	c.awaitPeak(0, "q", "bbbbbbbb")
	assert.Assert(t, c.peak("") <= quotaTasks, "%d tasks ran at once", c.peak(""))
	assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
}

// TestQuotaCoordinatorKilled guards against quota that stays in one pool, or is allocated twice, when
// the quota coordinator's entry fails while an account is at its limit.
func TestQuotaCoordinatorKilled(t *testing.T) {
	c := newQuotaCluster(t, 3)
	c.awaitPeak(0, "q", "aaaaaaaa")
	coordinator := -1
	for i, n := range c.nodes {
		if part := n.lookupPartition(fleetPartition); part != nil && part.isLoaded() {
			coordinator = i
		}
	}
	assert.Assert(t, coordinator >= 0, "no entry owns the fleet partition")
	alive := (coordinator + 1) % len(c.nodes)
	c.submitWithKey(alive, "q", "eeeeeeee00000000")
	c.await("tasks run", func() bool { return c.peak("eeeeeeee") > 0 })
	c.kill(coordinator)
	c.awaitPeak(alive, "d", "dddddddd")
	c.await("tasks ended", func() bool { return c.ended("eeeeeeee00000000") >= 4*quotaTasks })
	assert.Assert(t, c.peak("") <= quotaTasks, "%d tasks ran at once", c.peak(""))
	assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
}

// TestQuotasDoNotWaitForThePlanner guards against tasks of accounts with a limit that wait, after a loss of all
// entries, until the mover begins to plan.
func TestQuotasDoNotWaitForThePlanner(t *testing.T) {
	c := newQuotaCluster(t, 2)
	for i := range c.nodes {
		c.kill(i)
	}
	c.prepare = func(n *Node) { n.planDelay = time.Hour }
	for i := range c.nodes {
		c.run(i, c.nodes[i].settings)
	}
	c.await("entry ready", c.nodes[0].Ready)
	c.submitWithKey(0, "q", "aaaaaaaa00000000")
	c.await("tasks run", func() bool { return c.peak("aaaaaaaa") > 0 })
}
