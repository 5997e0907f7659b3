package moves

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestSummaryCountsMachinesInService guards against a pool that seems to have more empty machines than machines,
// since its owner still reports VMs whose machines have left.
func TestSummaryCountsMachinesInService(t *testing.T) {
	f := newFleet(map[string]int{"a": 4})
	f.setRuns("vm-a0", 2, 0)
	f.view.Machines[1].State = site.Moving
	f.view.Machines[2].Pool = "spare"
	f.view.Reports["a"].VMs = append(f.view.Reports["a"].VMs, sched.VMReport{ID: "vm-gone", Known: true})
	s := newPlanner().Summary(&f.view)[0]
	assert.Equal(t, s.Pool, "a")
	assert.Equal(t, s.Machines, 2)
	assert.Equal(t, s.Incoming, 1)
	assert.Equal(t, s.Empty, 1, "only the machine of vm-a3 is in service and empty")
}
