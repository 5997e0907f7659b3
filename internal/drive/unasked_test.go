package drive

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Jobs of TestEndedJobsOfMovedQueueStartNothing.
const (
	cancelledJob = "00000000000000c1"
	failedJob    = "00000000000000c2"
	completedJob = "00000000000000c3"
	foreignJob   = "00000000000000c4" // completed; then another account submits one of its own under the same ID
)

// TestEndedJobsOfMovedQueueStartNothing guards against a job that ended in the partition of its queue's former pool and
// that another partition takes for a new one: its tasks start after its cancellation, beyond its attempts, with
// another specification or once more.
func TestEndedJobsOfMovedQueueStartNothing(t *testing.T) {
	const entries, version = 3, 5
	const slow = `{"spec":"x","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":60000}]}`
	const other = `{"spec":"another","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":300}]}`
	const northKey, southKey = "key-north", "key-south"
	keys := map[string][]string{"north": {northKey}, "south": {southKey}}
	tests := []struct {
		name    string
		disturb func(c *cluster)
		settle  func(c *cluster) // after the requests; nil for nothing
	}{
		{"no disturbance", func(*cluster) {}, nil},
		{"owner killed", func(c *cluster) {
			owner := c.owner()
			c.kill(owner)
			c.run(owner, c.nodes[owner].settings)
		}, nil},
		{"all entries killed", func(c *cluster) {
			for i := range c.nodes {
				c.kill(i)
			}
			for i := range c.nodes {
				c.run(i, c.nodes[i].settings)
			}
		}, nil},
		{"owner stopped", func(c *cluster) { c.restart(c.owner()) }, nil},
		{
			"owner without the log", func(c *cluster) { c.emulator.CutOff(c.nodes[c.owner()].settings.Entry) },
			func(c *cluster) { c.emulator.CutOff() },
		},
		{"replies of the log lost", func(c *cluster) {
			c.emulator.Store.SetFaults(func(s *emul.Store) { s.LosePercent = 33 })
		}, func(c *cluster) {
			c.emulator.Store.SetFaults(func(s *emul.Store) { s.LosePercent = 0 })
		}},
		{"VMs lost", func(c *cluster) {
			for _, vm := range c.emulator.VMs() {
				if vm.Pool == "alpha" {
					c.emulator.Crash(vm)
				}
			}
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			emulator, err := emul.Start(emul.Options{
				Pools: map[string]int{"alpha": 1, "delta": 1}, MoveTime: 200 * time.Millisecond,
				Lookup: func(task string) emul.Task {
					x := emul.Task{Account: "north", CPU: 500, MemMB: 100, Duration: 300 * time.Millisecond}
					switch {
					case strings.HasPrefix(task, cancelledJob):
						x.Duration = time.Minute
					case strings.HasPrefix(task, failedJob):
						x.FailingRuns = 100
					}
					return x
				},
			})
			assert.NilError(t, err)
			c := newClusterOn(t, emulator, entries, nil)
			c.publish(version, "alpha", keys)
			c.awaitVersion(version, 0, 1, 2)
			bodies := map[string]string{cancelledJob: slow, failedJob: twoSteps, completedJob: twoSteps, foreignJob: twoSteps}
			for id, body := range bodies {
				c.await("job accepted", func() bool {
					status, _ := c.callWithKey(0, northKey, http.MethodPost, "/q/"+id, body)
					return status == http.StatusOK
				})
			}
			c.await("tasks of the job to be cancelled run", func() bool { return c.startsOf(cancelledJob) == 2 })
			c.await("job cancelled", func() bool {
				status, _ := c.callWithKey(0, northKey, http.MethodDelete, "/q/"+cancelledJob, "")
				return status == http.StatusOK
			})
			for id, state := range map[string]string{failedJob: "failed", completedJob: "completed", foreignJob: "completed"} {
				c.await("job "+state, func() bool {
					_, reply := c.callWithKey(0, northKey, http.MethodGet, "/q/"+id, "")
					return strings.Contains(reply, state)
				})
			}
			before := len(c.emulator.Ledger.Runs())
			assert.NilError(t, c.emulator.Publish(&emul.Configuration{Version: version + 1, Pools: []string{"alpha", "delta"}, Accounts: []emul.Account{}}))
			c.awaitVersion(version+1, 0, 1, 2)
			c.publish(version+2, "delta", keys)
			c.awaitVersion(version+2, 0, 1, 2)
			tt.disturb(c)
			for range 3 {
				for i := range c.nodes {
					for _, id := range []string{cancelledJob, failedJob, completedJob} {
						c.callWithKey(i, northKey, http.MethodPost, "/q/"+id, bodies[id])
					}
					if status, reply := c.callWithKey(i, southKey, http.MethodPost, "/q/"+foreignJob, other); status == http.StatusOK {
						t.Errorf("entry %d accepts a job of account north with the key of south: %s", i, reply)
					}
				}
			}
			if tt.settle != nil {
				tt.settle(c)
			}
			time.Sleep(time.Second)
			for _, r := range c.emulator.Ledger.Runs()[before:] {
				t.Errorf("task %s run %d was started on %s with the specification %q after its job had ended", r.Task, r.Run, r.VM, r.Spec)
			}
			assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
		})
	}
}

// startsOf returns the number of runs of a job.
func (c *cluster) startsOf(id string) int {
	n := 0
	for _, r := range c.emulator.Ledger.Runs() {
		if strings.HasPrefix(r.Task, id) {
			n++
		}
	}
	return n
}

// TestLookUpIsLostWithOwner guards against a job that runs twice since two partitions have accepted it: an entry with the
// newest configuration has looked it up in the partition of its queue's former pool, and that partition's owner is lost
// before the others hear of that configuration.
func TestLookUpIsLostWithOwner(t *testing.T) {
	const version = 5
	emulator, err := emul.NewPlatform(map[string]int{"alpha": 1, "delta": 1}, 3*time.Second)
	assert.NilError(t, err)
	c := newClusterOn(t, emulator, 3, nil)
	c.publish(version, "alpha", map[string][]string{"north": {"key"}})
	c.awaitVersion(version, 0, 1, 2)
	former, present := c.nodes[0].partitionOf("alpha"), c.nodes[0].partitionOf("delta")
	assert.Assert(t, former != present)
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.DeafWatches = true })
	time.Sleep(operatorReadWait) // reads that began before have ended
	c.publish(version+1, "delta", map[string][]string{"north": {"key"}})

	// An entry that has read it looks the job up, has it accepted, and is lost too.
	id, owner := jobIDs(1)[0], c.owner()
	job := &jobs.Job{
		ID: id, Queue: "q", Pool: "delta", Account: "north", Spec: "x", MaxAttempts: 2, Stretch: 2, TargetMS: 60_000, SubmittedMS: time.Now().UnixMilli(),
		Steps: []jobs.Step{{Count: 2, CPU: 500, MemMB: 100, EstimateMS: 300}},
	}
	call := jobCall{Partition: former, Kind: site.ShowJob, Access: site.Access{Account: "north", Queue: "q"}, ID: id, WaitMS: 1000, BeforeSubmit: true, ConfigVersion: version + 1}
	assert.Equal(t, c.nodes[owner].lookupPartition(former).call(t.Context(), &call).Outcome, site.NoSuchJob)
	call.Partition, call.Kind, call.Job, call.BeforeSubmit = present, site.SubmitJob, job, false
	for _, n := range c.nodes {
		if part := n.lookupPartition(present); part != nil {
			assert.Equal(t, part.call(t.Context(), &call).Outcome, site.OK)
		}
	}
	c.await("the job runs", func() bool { return c.startsOf(id) == 2 })
	c.kill(owner)
	c.owner()
	reader := (owner + 1) % len(c.nodes)
	for range 5 {
		c.callWithKey(reader, "key", http.MethodPost, "/q/"+id, twoSteps)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
	assert.Equal(t, c.startsOf(id), 2)
}
