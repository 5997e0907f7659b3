package drive

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// crashingCluster starts entries on a platform on which the tasks of one job crash their VMs.
func crashingCluster(t *testing.T, entries int, crashing string) *cluster {
	t.Helper()
	emulator, err := emul.Start(emul.Options{
		Pools: map[string]int{"alpha": 4, "rest": 2}, MoveTime: 200 * time.Millisecond, RepairTime: time.Second,
		Lookup: func(task string) emul.Task {
			return emul.Task{CPU: 1000, Duration: 300 * time.Millisecond, CrashesVM: strings.HasPrefix(task, crashing)}
		},
	})
	assert.NilError(t, err)
	return newClusterOn(t, emulator, entries, nil)
}

// TestDeadlyTaskEndsOnlyItsJob guards against a task that crashes one VM after the other, and against other
// jobs that are lost or given up with it, also when its owner is killed meanwhile.
func TestDeadlyTaskEndsOnlyItsJob(t *testing.T) {
	const deadly = "00000000000000d1"
	c := crashingCluster(t, 3, deadly)
	c.submit(0, deadly, `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}`)
	ids := jobIDs(6)
	for i, id := range ids {
		c.submit(i%3, id, twoSteps)
	}
	c.await("a crash", func() bool {
		for _, r := range c.emulator.Ledger.Runs() {
			if r.CrashesVM && !r.End.IsZero() {
				return true
			}
		}
		return false
	})
	killed := c.owner()
	c.kill(killed)
	reader := (killed + 1) % 3
	c.await("the deadly job is given up", func() bool { return c.state(reader, deadly) == "failed" })
	c.awaitCompleted(reader, ids...)
}

// TestRunsOfCrashedVMRestartSoon guards against tasks that wait for the leases of a VM that has crashed, though
// the inventory shows its machine as down.
func TestRunsOfCrashedVMRestartSoon(t *testing.T) {
	emulator, err := emul.Start(emul.Options{
		Pools: map[string]int{"alpha": 3}, MoveTime: 200 * time.Millisecond,
		Lookup: func(string) emul.Task { return emul.Task{CPU: 1000, LongRunning: true} },
	})
	assert.NilError(t, err)
	c := newClusterOn(t, emulator, 2, nil)
	c.submit(0, jobIDs(1)[0], `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":100,"longRunning":true}]}`)
	lastRun := func() emul.TaskRun {
		runs := c.emulator.Ledger.Runs()
		if len(runs) == 0 {
			return emul.TaskRun{}
		}
		return runs[len(runs)-1]
	}
	c.await("the task runs", func() bool { return lastRun().Run > 0 })
	c.await("the mover has read the inventory", c.inventoryRead)
	first := lastRun()
	for _, vm := range c.emulator.VMs() {
		if vm.ID == first.VM {
			c.emulator.Crash(vm)
		}
	}
	c.await("the task runs again", func() bool { return lastRun().Run > first.Run })
	again := lastRun().Start.Sub(c.emulator.Ledger.Runs()[0].End)
	lease := c.nodes[0].policy.Lease
	assert.Assert(t, again < lease/2, "started again %s after the crash, the lease is %s", again, lease)
	assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
}

// inventoryRead reports whether an entry's mover has read the inventory.
func (c *cluster) inventoryRead() bool {
	for _, n := range c.nodes {
		read, err := runOnPartition(c.t.Context(), n.lookupPartition(fleetPartition), func(part *ownedPartition, _ time.Time) *bool {
			read := false
			if part.mover != nil {
				part.mover.mu.Lock()
				defer part.mover.mu.Unlock()
				read = len(part.mover.view.Machines) > 0
			}
			return &read
		})
		if err == nil && *read {
			return true
		}
	}
	return false
}
