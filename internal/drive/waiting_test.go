package drive

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// waiting returns how many jobs of queue q wait by an entry's answer; ok is false if it gives no number.
func (c *cluster) waiting(entry int) (n int, ok bool) {
	status, body := c.call(entry, http.MethodGet, "/q/", "")
	var s struct{ Waiting int }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &s) != nil {
		return 0, false
	}
	return s.Waiting, true
}

// TestWaitingJobsOfFormerPoolsAreCounted guards against a count of waiting jobs that leaves out those in the partition of a
// former pool of their queue (review/10), or that gives a part for the whole while an owner does not answer.
func TestWaitingJobsOfFormerPoolsAreCounted(t *testing.T) {
	const entries, jobsInAlpha, jobsInDelta = 2, 3, 2
	const all = `{"steps":[{"count":1,"cpu":8000,"memMb":100,"estimateMs":500,"longRunning":true}]}`
	c := newCluster(t, entries, map[string]int{"alpha": 1, "delta": 1})
	assert.Assert(t, c.nodes[0].partitionOf("alpha") != c.nodes[0].partitionOf("delta"))
	version := int64(3)
	move := func(pool string) {
		version++
		assert.NilError(t, c.emulator.Configure(version, pool, "alpha", "delta"))
		c.awaitVersion(version, 0, 1)
	}
	ids := jobIDs(2 + jobsInAlpha + jobsInDelta)
	submit := func(n int) {
		c.submit(0, ids[0], all)
		c.await("a run", func() bool { return c.state(0, ids[0]) == "running" })
		for i := range n {
			c.submit(i%entries, ids[1+i], all)
		}
		ids = ids[1+n:]
	}
	counted := func(what string, want int) {
		t.Helper()
		for i := range entries {
			c.await(fmt.Sprintf("%s: count at entry %d", what, i), func() bool { n, ok := c.waiting(i); return ok && n == want })
			for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if n, ok := c.waiting(i); ok {
					assert.Equal(t, n, want, "%s: entry %d", what, i)
				}
			}
		}
	}
	move("alpha")
	submit(jobsInAlpha)
	counted("before the move", jobsInAlpha)
	move("delta")
	counted("after the move", jobsInAlpha)
	submit(jobsInDelta)
	counted("jobs in both partitions", jobsInAlpha+jobsInDelta)
	move("alpha")
	counted("after the move back", jobsInAlpha+jobsInDelta)
	move("delta")
	for i := range entries {
		c.kill(i)
		c.run(i, c.nodes[i].settings)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if n, ok := c.waiting(1 - i); ok {
				assert.Equal(t, n, jobsInAlpha+jobsInDelta, "entry %d while entry %d starts", 1-i, i)
			}
		}
	}
	counted("entries killed in turn", jobsInAlpha+jobsInDelta)
}

// TestHoldersOfQueue guards against a partition that is not asked for waiting jobs, however long ago their queue moved.
func TestHoldersOfQueue(t *testing.T) {
	const keep = time.Minute
	start := time.UnixMilli(1_700_000_000_000)
	partitionOf := func(pool string) int { return map[string]int{"a": 0, "b": 1, "c": 2}[pool] }
	all := map[int][]string{0: nil, 1: nil, 2: nil}
	tests := []struct {
		name    string
		pools   []string // of queue q, in the configurations in turn; empty without the queue
		learned map[int][]string
		missed  bool // configurations before the last one
		want    string
	}{
		{"never moved", []string{"a"}, all, false, "[0]"},
		{"no owner has named its queues", []string{"a"}, nil, false, "[0 1 2]"},
		{"held elsewhere before the start", []string{"a"}, map[int][]string{0: nil, 1: nil, 2: {"q"}}, false, "[0 2]"},
		{"moved", []string{"b", "a"}, all, false, "[0 1]"},
		{"moved twice", []string{"b", "c", "a"}, all, false, "[0 1 2]"},
		{"moved away and back", []string{"a", "c", "a"}, all, false, "[0 2]"},
		{"dropped and added", []string{"b", "", "a"}, all, false, "[0 1]"},
		{"configurations were missed", []string{"a", "a"}, all, true, "[0 1 2]"},
	}
	for _, tt := range tests {
		h := newQueueHistory(start, 3, keep)
		for i, pool := range tt.pools {
			cfg := &site.Config{Version: int64(i + 1)}
			if pool != "" {
				cfg.Routes = []site.Route{{Name: "q", Host: "h", Prefix: "/q/", Pool: pool}}
			}
			h.configure(start.Add(time.Duration(i)*2*keep), cfg, tt.missed && i > 0)
			if i == 0 {
				for p, queues := range tt.learned {
					h.learn(p, &queuesReply{Owner: true, Queues: queues, ConfigVersion: 1})
				}
			}
		}
		assert.Equal(t, fmt.Sprint(h.holders("q", 0, partitionOf)), tt.want, tt.name)
	}
}
