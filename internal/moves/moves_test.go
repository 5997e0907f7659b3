package moves

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

var start = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fleet is a fleet inventory with pool reports that a test sets up.
type fleet struct {
	view View
}

func newFleet(pools map[string]int) *fleet {
	f := &fleet{view: View{Reports: map[string]*sched.Report{}}}
	for _, name := range []string{"a", "b", "spare"} {
		f.view.Pools = append(f.view.Pools, site.Pool{Name: name, Spare: name == "spare"})
		if name != "spare" {
			f.view.Reports[name] = &sched.Report{Pool: name}
		}
		for i := range pools[name] {
			m := site.Machine{Name: fmt.Sprintf("%s%d", name, i), Pool: name, State: site.Up, VM: "vm-" + fmt.Sprintf("%s%d", name, i), CPU: 8000}
			f.view.Machines = append(f.view.Machines, m)
			if name != "spare" {
				r := f.view.Reports[name]
				r.VMs = append(r.VMs, sched.VMReport{ID: m.VM, Known: true})
			}
		}
	}
	return f
}

// setRuns sets the number of runs, and of long-running ones among them, in a VM's report.
func (f *fleet) setRuns(vm string, runs, lasting int) {
	for _, r := range f.view.Reports {
		for i := range r.VMs {
			if r.VMs[i].ID == vm {
				r.VMs[i].Runs, r.VMs[i].Lasting, r.VMs[i].CPU = runs, lasting, 1000*runs
			}
		}
	}
}

// cordon applies the planner's cordons to the reports, as the owners of the pools do.
func (f *fleet) cordon(p *Planner) {
	for name, r := range f.view.Reports {
		set := map[string]bool{}
		for _, id := range p.Cordons(&f.view, name) {
			set[id] = true
		}
		for i := range r.VMs {
			r.VMs[i].Cordoned = set[r.VMs[i].ID]
		}
	}
}

// plan calls Plan every 250 ms and returns the orders.
func (f *fleet) plan(p *Planner, fromMS, toMS int) []Order {
	var all []Order
	for ms := fromMS; ms <= toMS; ms += 250 {
		f.view.ReadStart = at(ms)
		all = append(all, p.Plan(at(ms), &f.view)...)
		f.cordon(p)
	}
	return all
}

// applyMove applies a move to the inventory at once. The machine gets a new VM.
func (f *fleet) applyMove(o Order) {
	for i := range f.view.Machines {
		m := &f.view.Machines[i]
		if m.Name != o.Machine {
			continue
		}
		m.Pool, m.VM = o.Pool, m.VM+"'"
		if r := f.view.Reports[o.Pool]; r != nil {
			r.VMs = append(r.VMs, sched.VMReport{ID: m.VM, Known: true})
		}
	}
}

func newPlanner() *Planner { return New(DefaultPolicy(1500*time.Millisecond, 0)) }

// TestSpareMachinesMoveFirst guards against taking machines from another pool while there
// are spare ones.
func TestSpareMachinesMoveFirst(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 2, "b": 3, "spare": 2}), newPlanner()
	f.view.Reports["a"].Rate = 32 // twice its capacity
	orders := f.plan(p, 0, 0)
	assert.DeepEqual(t, orders, []Order{{Kind: Move, Machine: "spare0", Pool: "a"}, {Kind: Move, Machine: "spare1", Pool: "a"}})
}

// TestMachinesMoveToPoolWithSmallestCapacityRatio guards against giving all spare machines
// to one of two pools that lack the capacity for the same demand.
func TestMachinesMoveToPoolWithSmallestCapacityRatio(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 2, "b": 1, "spare": 5}), newPlanner()
	f.view.Reports["a"].Rate, f.view.Reports["b"].Rate = 100, 100
	got := map[string]int{}
	for _, o := range f.plan(p, 0, 0) {
		got[o.Pool]++
	}
	assert.DeepEqual(t, got, map[string]int{"a": 2, "b": 3}) // four machines in each pool afterwards
}

// TestBusyMachineIsCordonedForPoolInNeed guards against a pool that starves while
// another has a surplus but no idle machine. The least used machine without a
// long-running task is cordoned, and ordered to move once it is empty.
func TestBusyMachineIsCordonedForPoolInNeed(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "b": 3}), newPlanner()
	f.view.Reports["a"].Rate = 16
	f.view.Reports["b"].Used = 6
	f.setRuns("vm-b0", 3, 0)
	f.setRuns("vm-b1", 2, 0)
	f.setRuns("vm-b2", 1, 1)
	assert.Equal(t, len(f.plan(p, 0, 500)), 0, "a move was ordered while tasks run on the machine")
	assert.DeepEqual(t, p.Cordons(&f.view, "b"), []string{"vm-b1"})
	f.setRuns("vm-b1", 0, 0)
	assert.DeepEqual(t, f.plan(p, 750, 1000), []Order{{Kind: Move, Machine: "b1", Pool: "a"}})
}

// TestIdleMachineMovesToSparePoolAfterTimeout guards against idle machines that stay in their
// pool, that leave it before the timeout, or that leave it empty.
func TestIdleMachineMovesToSparePoolAfterTimeout(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 2, "b": 1, "spare": 0}), newPlanner()
	idle := int(p.policy.IdleTimeout.Milliseconds())
	assert.Equal(t, len(f.plan(p, 0, idle-250)), 0)
	orders := f.plan(p, idle, idle+1000)
	assert.Equal(t, len(orders), 1, "each pool keeps one machine")
	assert.Equal(t, orders[0].Pool, "spare")
}

// TestFrozenMachineGetsNoOrder guards against an order for a machine that a former owner
// ordered recently.
func TestFrozenMachineGetsNoOrder(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "spare": 1}), newPlanner()
	p.Freeze("spare0", at(1000))
	f.view.Reports["a"].Rate = 100
	assert.Equal(t, len(f.plan(p, 0, 750)), 0)
	assert.Equal(t, len(f.plan(p, 1000, 1000)), 1)
}

// TestPoolWithoutReportLosesNoMachine guards against taking machines from a pool whose
// demand is not known.
func TestPoolWithoutReportLosesNoMachine(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "b": 4}), newPlanner()
	f.view.Reports["a"].Rate = 100
	delete(f.view.Reports, "b")
	assert.Equal(t, len(f.plan(p, 0, 5000)), 0)
}

// TestUnansweredOrderIsRepeated guards against losing an order whose reply is lost: the
// platform may have applied it, so the same order is sent again until it is answered.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "spare": 1}), newPlanner()
	f.view.Reports["a"].Rate = 100
	orders := f.plan(p, 0, 0)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, len(f.plan(p, 250, 1000)), 0, "the order was sent again before its reply")
	p.HandleReply(at(1000), orders[0], site.Accepted, errors.New("no answer"))
	assert.DeepEqual(t, f.plan(p, 1500, 1500), orders)
	p.HandleReply(at(1600), orders[0], site.Accepted, nil)
	assert.Equal(t, len(f.plan(p, 1750, 4000)), 0)
}

// TestWaveRespectsLimit guards against a wave that takes more machines into maintenance at
// once than the operator allows, maintains one twice, or is shown as completed too early or
// too late: it is completed as soon as maintenance has started on all its machines that the
// inventory lists. The wave also names a machine, "gone", that is not listed.
func TestWaveRespectsLimit(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 6, "spare": 2}), newPlanner()
	wave := site.Wave{Number: 1, WithinMS: 20_000, AtOnce: 2, Machines: []string{"a0", "a1", "a2", "a3", "a4", "a5", "spare0", "gone"}}
	p.AddWave(at(0), wave, []string{"a5"}) // a5 was started by the planner of a former owner
	f.view.Reports["a"].Rate = 48
	endsAtMS := map[string]int{}
	started := map[string]bool{}
	for ms := 0; ms <= 20_000; ms += 250 {
		inMaintenance := 0
		for i := range f.view.Machines {
			m := &f.view.Machines[i]
			if m.State == site.InMaintenance && ms >= endsAtMS[m.Name] {
				m.State, m.VM = site.Up, m.VM+"'"
				f.view.Reports["a"].VMs = append(f.view.Reports["a"].VMs, sched.VMReport{ID: m.VM, Known: true})
			}
			if m.State == site.InMaintenance {
				inMaintenance++
			}
		}
		for _, o := range p.Plan(at(ms), &f.view) {
			if o.Kind == Maintain {
				assert.Assert(t, !started[o.Machine], "machine %s is maintained twice", o.Machine)
				started[o.Machine] = true
				inMaintenance++
				for i := range f.view.Machines {
					if m := &f.view.Machines[i]; m.Name == o.Machine {
						m.State, endsAtMS[m.Name] = site.InMaintenance, ms+2000
					}
				}
			}
			if o.Kind == Move {
				f.applyMove(o)
			}
			p.HandleReply(at(ms), o, site.Accepted, nil)
		}
		assert.Assert(t, inMaintenance <= wave.AtOnce, "%d machines are in maintenance", inMaintenance)
		f.cordon(p)
		done := p.WaveStates(&f.view)[0].Completed
		assert.Equal(t, done, len(started) == 6, "wave completion at %d ms", ms)
	}
	assert.Equal(t, len(started), 6)
}

// TestWaveSkipsMachineThatIsNotPartOfIt guards against a wave that never completes
// because it waits for a machine that, by the platform's reply, is not part of it.
func TestWaveSkipsMachineThatIsNotPartOfIt(t *testing.T) {
	f, p := newFleet(map[string]int{"spare": 1}), newPlanner()
	p.AddWave(at(0), site.Wave{Number: 1, WithinMS: 10_000, AtOnce: 1, Machines: []string{"spare0"}}, nil)
	orders := f.plan(p, 0, 0)
	assert.Equal(t, len(orders), 1)
	p.HandleReply(at(100), orders[0], site.RefusedWave, nil)
	assert.Equal(t, len(f.plan(p, 250, 2000)), 0)
	assert.Assert(t, p.WaveStates(&f.view)[0].Completed)
}

// TestSpareMachineIsAvailableAfterMaintenance guards against intents that never end for
// spare machines: they have no VM before or after maintenance, so no new VM shows that it
// is over. Afterwards the wave continues, and the machines can move to a pool.
func TestSpareMachineIsAvailableAfterMaintenance(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "spare": 2}), newPlanner()
	for i := range f.view.Machines {
		if m := &f.view.Machines[i]; m.Pool == "spare" {
			m.VM = ""
		}
	}
	p.AddWave(at(0), site.Wave{Number: 1, WithinMS: 20_000, AtOnce: 1, Machines: []string{"spare0", "spare1"}}, nil)
	var started []string
	simulate := func(fromMS, toMS int) {
		endsAtMS := map[string]int{}
		for ms := fromMS; ms <= toMS; ms += 250 {
			for i := range f.view.Machines {
				if m := &f.view.Machines[i]; m.State == site.InMaintenance && ms >= endsAtMS[m.Name] {
					m.State = site.Up
				}
			}
			for _, o := range p.Plan(at(ms), &f.view) {
				started = append(started, o.Machine)
				p.HandleReply(at(ms), o, site.Accepted, nil)
				for i := range f.view.Machines {
					if m := &f.view.Machines[i]; m.Name == o.Machine {
						m.State, endsAtMS[m.Name] = site.InMaintenance, ms+2000
					}
				}
			}
		}
	}
	simulate(0, 5000)
	assert.DeepEqual(t, started, []string{"spare0", "spare1"})
	f.view.Reports["a"].Rate = 100
	assert.Equal(t, len(f.plan(p, 5250, 5250)), 2, "spare machines are not available after their maintenance")
}

// TestWaveMaintainsMachineOfGrowingPool guards against counting machines that move into a
// pool as out of service: the pool has as many in service as before, so a machine of the
// wave can be maintained.
func TestWaveMaintainsMachineOfGrowingPool(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 4, "spare": 2}), newPlanner()
	f.view.Reports["a"].Rate = 48
	f.setRuns("vm-a1", 5, 3)
	assert.Equal(t, len(f.plan(p, 0, 0)), 2, "both spare machines must be ordered into the pool")
	p.AddWave(at(250), site.Wave{Number: 1, WithinMS: 20_000, AtOnce: 2, Machines: []string{"a1"}}, nil)
	f.plan(p, 250, 250)
	assert.DeepEqual(t, p.Cordons(&f.view, "a"), []string{"vm-a1"})
}

// TestWaveStartsWithSlowestMachine guards against a wave that ends late because the
// machine that empties slowest comes last: the one with the most long-running tasks is
// maintained first.
func TestWaveStartsWithSlowestMachine(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 4}), newPlanner()
	f.view.Reports["a"].Rate = 32
	f.setRuns("vm-a0", 2, 0)
	f.setRuns("vm-a1", 2, 2)
	f.setRuns("vm-a2", 7, 7)
	f.setRuns("vm-a3", 1, 0)
	p.AddWave(at(0), site.Wave{Number: 1, WithinMS: 20_000, AtOnce: 1, Machines: []string{"a0", "a1", "a2", "a3"}}, nil)
	f.plan(p, 0, 0)
	assert.DeepEqual(t, p.Cordons(&f.view, "a"), []string{"vm-a2"})
}

// TestLateWaveIgnoresMaintenanceShare guards against a wave that misses its deadline
// because of the limit on the share of a pool out of service. A late wave ignores it; the
// pool's owner still enforces the budgets of the tasks.
func TestLateWaveIgnoresMaintenanceShare(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 3}), newPlanner()
	f.view.Reports["a"].Rate = 24
	for _, vm := range []string{"vm-a0", "vm-a1"} {
		f.setRuns(vm, 4, 4)
	}
	p.AddWave(at(0), site.Wave{Number: 1, WithinMS: 20_000, AtOnce: 2, Machines: []string{"a0", "a1"}}, nil)
	f.plan(p, 0, 0)
	assert.Equal(t, len(p.Cordons(&f.view, "a")), 1)
	f.plan(p, 12_000, 12_000)
	assert.Equal(t, len(p.Cordons(&f.view, "a")), 2)
}

// TestOverdueWorkGetsMachine guards against a job that waits forever: in a soak without
// faults (seed 1), jobs past their latency objective never started in a pool whose
// machines were full of long-running tasks. Such a pool gets one machine, and no second
// one while the first is moving in.
func TestOverdueWorkGetsMachine(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 2, "spare": 3}), newPlanner()
	r := f.view.Reports["a"]
	r.Lasting, r.Late = 15, 1
	f.setRuns("vm-a0", 5, 5)
	f.setRuns("vm-a1", 5, 5)
	orders := f.plan(p, 0, 750)
	assert.Equal(t, len(orders), 1)
	f.applyMove(orders[0])
	p.HandleReply(at(800), orders[0], site.Accepted, nil)
	r.Used, r.Late = 1, 0
	f.setRuns(r.VMs[2].ID, 1, 0)
	assert.Equal(t, len(f.plan(p, 1000, 3000)), 0)
}

// TestOrderWithoutEffectReleasesMachine guards against a machine that stays blocked when a
// new planner repeats a maintenance order of an earlier one: the platform accepts it and
// does nothing. A read of the inventory that started after the order shows this.
func TestOrderWithoutEffectReleasesMachine(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "spare": 1}), newPlanner()
	f.view.Machines[1].VM = ""
	p.AddWave(at(0), site.Wave{Number: 1, WithinMS: 20_000, AtOnce: 1, Machines: []string{"spare0"}}, nil)
	orders := f.plan(p, 0, 0)
	assert.Equal(t, len(orders), 1)
	p.HandleReply(at(100), orders[0], site.Accepted, nil)
	f.view.Reports["a"].Rate = 100
	f.view.ReadStart = at(50)
	assert.Equal(t, len(p.Plan(at(2000), &f.view)), 0, "ordered although the inventory was read before the order")
	assert.DeepEqual(t, f.plan(p, 2250, 3000), []Order{{Kind: Move, Machine: "spare0", Pool: "a"}})
}

// TestMachineWithUnstoredEndsIsNotMoved guards against a machine that leaves before the owner of its pool has
// stored the ends of its runs: they are lost with its VM, and if the owner is lost too, the tasks start again.
func TestMachineWithUnstoredEndsIsNotMoved(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "b": 3}), newPlanner()
	f.view.Reports["a"].Rate = 16
	f.view.Reports["b"].Used = 6
	f.setRuns("vm-b0", 3, 0)
	f.setRuns("vm-b2", 1, 1)
	unstored := &f.view.Reports["b"].VMs[1].Unstored
	*unstored = true
	assert.Equal(t, len(f.plan(p, 0, 500)), 0, "a move was ordered before the ends are stored")
	assert.DeepEqual(t, p.Cordons(&f.view, "b"), []string{"vm-b1"})
	*unstored = false
	assert.DeepEqual(t, f.plan(p, 750, 1000), []Order{{Kind: Move, Machine: "b1", Pool: "a"}})
}
