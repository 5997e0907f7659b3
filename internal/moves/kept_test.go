package moves

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// setKept sets whether the long-running run of a VM may not be stopped.
func (f *fleet) setKept(kept bool, vms ...string) {
	for _, id := range vms {
		f.setRuns(id, 1, 1)
		for _, r := range f.view.Reports {
			for i := range r.VMs {
				if r.VMs[i].ID == id {
					r.VMs[i].Kept = kept
				}
			}
		}
	}
}

// lateWave adds a wave that is late from the start.
func lateWave(p *Planner, machines ...string) {
	p.AddWave(at(0), site.Wave{Number: 1, WithinMS: 1000, AtOnce: 3, Machines: machines}, nil)
}

// TestWaveReleasesMachinesThatCannotBeEmptied guards against a pool that stays cordoned as long as a wave lasts, because no
// long-running task on its machines may become unavailable (review/7).
func TestWaveReleasesMachinesThatCannotBeEmptied(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 3}), newPlanner()
	f.view.Reports["a"].Rate = 24
	f.setKept(true, "vm-a0", "vm-a1", "vm-a2")
	lateWave(p, "a0", "a1", "a2")
	f.plan(p, 0, 2500)
	assert.Equal(t, len(p.Cordons(&f.view, "a")), 0)
	for ms := 2750; ms <= 20_000; ms += 250 {
		assert.Equal(t, len(f.plan(p, ms, ms)), 0)
		assert.Equal(t, len(p.Cordons(&f.view, "a")), 0, "cordoned again at %d ms", ms)
	}
	f.setKept(false, "vm-a1")
	f.plan(p, 20_250, 20_250)
	assert.DeepEqual(t, p.Cordons(&f.view, "a"), []string{"vm-a1"})
	f.setRuns("vm-a1", 0, 0)
	assert.DeepEqual(t, f.plan(p, 20_500, 20_500), []Order{{Kind: Maintain, Machine: "a1", Wave: 1}})
}

// TestMachineIsCordonedWhileAnotherReturns guards against a wave that gives up a machine, whose short runs have ended
// meanwhile, each time that a task of another machine starts again.
func TestMachineIsCordonedWhileAnotherReturns(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 3}), newPlanner()
	f.view.Reports["a"].Rate = 24
	f.setKept(true, "vm-a0")
	lateWave(p, "a0")
	for ms := 0; ms <= 1500; ms += 250 {
		f.plan(p, ms, ms)
		assert.DeepEqual(t, p.Cordons(&f.view, "a"), []string{"vm-a0"})
	}
	f.setKept(false, "vm-a0")
	f.plan(p, 1750, 6000)
	assert.DeepEqual(t, p.Cordons(&f.view, "a"), []string{"vm-a0"})
}

// TestLateWaveLeavesMachineInService guards against a late wave that takes all machines of a pool from its waiting jobs. A pool
// of one machine is maintained all the same.
func TestLateWaveLeavesMachineInService(t *testing.T) {
	tests := []struct {
		name     string
		machines int
		down     bool // machine a0
		want     int
	}{
		{"three", 3, false, 2},
		{"one of three is down", 3, true, 1},
		{"two", 2, false, 1},
		{"one", 1, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, p := newFleet(map[string]int{"a": tt.machines}), newPlanner()
			f.view.Reports["a"].Rate = 24
			for _, id := range []string{"vm-a0", "vm-a1", "vm-a2"} {
				f.setRuns(id, 2, 0)
			}
			if tt.down {
				f.view.Machines[0].State, f.view.Machines[0].VM = site.Down, ""
			}
			lateWave(p, "a0", "a1", "a2")
			f.plan(p, 0, 2000)
			assert.Equal(t, len(p.Cordons(&f.view, "a")), tt.want)
		})
	}
}

// TestMoveOfMachineThatStaysBusyEnds guards against a machine that is cordoned for a move after the demand for it has ended, as
// long as a run on it lasts.
func TestMoveOfMachineThatStaysBusyEnds(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "b": 3}), newPlanner()
	f.view.Reports["a"].Rate = 16
	f.view.Reports["b"].Used = 6
	f.setRuns("vm-b0", 3, 0)
	f.setRuns("vm-b1", 2, 0)
	f.setRuns("vm-b2", 1, 1)
	f.plan(p, 0, 500)
	assert.DeepEqual(t, p.Cordons(&f.view, "b"), []string{"vm-b1"})
	f.view.Reports["a"].Rate = 0
	f.plan(p, 750, 6000)
	assert.DeepEqual(t, p.Cordons(&f.view, "b"), []string{"vm-b1"})
	f.plan(p, 6250, 6250)
	assert.Equal(t, len(p.Cordons(&f.view, "b")), 0)
}
