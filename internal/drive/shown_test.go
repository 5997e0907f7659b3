package drive

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// TestCompletedJobIsShownDuringOutage guards against callers that see a job as running until the log is
// back although all its tasks have ended, and against a task that starts again after that, when the owner and
// the VMs that listed the ends are lost before the log is back.
func TestCompletedJobIsShownDuringOutage(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	ids := jobIDs(2)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = true })
	owner := c.owner()
	for i := range c.nodes {
		for _, id := range ids {
			c.await("job "+id+" shown as completed", func() bool { return c.state(i, id) == "completed" })
		}
	}
	c.kill(owner)
	for _, vm := range c.emulator.VMs() {
		c.emulator.Crash(vm)
	}
	assert.NilError(t, c.emulator.Repair())
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = false })
	c.awaitCompleted((owner+1)%len(c.nodes), ids...)
	starts := map[string]int{}
	for _, r := range c.emulator.Ledger.Runs() {
		starts[r.Task]++
	}
	for task, n := range starts {
		assert.Equal(t, n, 1, task)
	}
}

// TestShownJobSurvivesRollingStop guards against a task that starts again after its job was shown as completed,
// when all entries are stopped in turn during the outage of the log and the VMs that listed the ends crash.
func TestShownJobSurvivesRollingStop(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	id := jobIDs(1)[0]
	c.submit(0, id, twoSteps)
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = true })
	owner := c.owner()
	c.await("the job is shown as completed", func() bool { return c.state(owner, id) == "completed" })
	for _, vm := range c.emulator.VMs() {
		c.emulator.Crash(vm)
	}
	for i := range c.nodes {
		c.restart((owner + i) % len(c.nodes))
	}
	assert.NilError(t, c.emulator.Repair())
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = false })
	c.awaitCompleted(owner, id)
	starts := map[string]int{}
	for _, r := range c.emulator.Ledger.Runs() {
		starts[r.Task]++
	}
	for task, n := range starts {
		assert.Equal(t, n, 1, task)
	}
}

// TestCompletedJobNeedsWitness guards against a job that is shown as completed while no other entry knows.
func TestCompletedJobNeedsWitness(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 2})
	id := jobIDs(1)[0]
	c.submit(0, id, twoSteps)
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = true })
	c.await("all tasks end", func() bool {
		done := 0
		for _, r := range c.emulator.Ledger.Runs() {
			if r.How == "done" {
				done++
			}
		}
		return done == 6
	})
	assert.Equal(t, c.state(0, id), "running")
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = false })
	c.awaitCompleted(0, id)
}
