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
