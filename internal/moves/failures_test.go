package moves

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/surge"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestUndispatchedOrderIsWithdrawn guards against a machine that stays cordoned while the log is
// down, as the record of its order cannot be stored, and against an order that is sent late,
// when its machine has already been planned for another pool.
func TestUndispatchedOrderIsWithdrawn(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "b": 3}), newPlanner()
	f.view.Reports["a"].Rate, f.view.Reports["b"].Rate = 16, 16
	f.setRuns("vm-b0", 8, 0)
	f.setRuns("vm-b1", 8, 0)
	orders := f.plan(p, 0, 250)
	assert.Equal(t, len(orders), 1)
	f.view.Reports["a"].Rate = 8
	f.setRuns("vm-a0", 8, 0)
	assert.Equal(t, len(f.plan(p, 500, 2000)), 0)
	assert.Equal(t, len(p.Cordons(&f.view, "b")), 1)
	f.plan(p, 2500, 2500)
	assert.Equal(t, len(p.Cordons(&f.view, "b")), 0, "the machine stays cordoned for an order that was never sent")
	assert.Assert(t, !p.Dispatch(orders[0]), "a withdrawn order may be sent")
}

// TestEqualOrderIsSentOnce guards against two sends of an order when the record of the first is
// stored after the planner has issued an equal one.
func TestEqualOrderIsSentOnce(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "spare": 1}), newPlanner()
	f.view.Reports["a"].Rate = 100
	first := f.plan(p, 0, 0)
	second := f.plan(p, 250, 3000)
	assert.DeepEqual(t, first, second)
	assert.Assert(t, p.Dispatch(first[0]))
	assert.Assert(t, !p.Dispatch(second[0]))
}

// TestUnansweredOrderIsNotWithdrawn guards against a second pool for a machine whose order the
// platform may have applied: a repeated attempt that is not sent in time leaves the order in force.
func TestUnansweredOrderIsNotWithdrawn(t *testing.T) {
	f, p := newFleet(map[string]int{"a": 1, "spare": 1}), newPlanner()
	f.view.Reports["a"].Rate = 100
	orders := f.plan(p, 0, 0)
	assert.Assert(t, p.Dispatch(orders[0]))
	p.HandleReply(at(100), orders[0], site.Accepted, errors.New("no answer"))
	f.view.Reports["a"].Rate = 0
	f.view.Reports["b"].Rate = 100
	repeated := 0
	for _, o := range f.plan(p, 500, 9000) {
		if o.Machine == orders[0].Machine {
			assert.DeepEqual(t, o, orders[0])
			repeated++
		}
	}
	assert.Assert(t, repeated > 1)
}

// TestOwnerLostBetweenOrderAndRecord guards against a machine that moves twice, or is not used, after
// the planner's owner was lost: before the record was stored the next planner is free, and after it the
// machine is left alone for the platform's minimum time only, whether the order was sent or not.
func TestOwnerLostBetweenOrderAndRecord(t *testing.T) {
	const turn = 2 * time.Second
	for _, tt := range []struct {
		name         string
		stored, sent bool
	}{{"not stored", false, false}, {"stored, not sent", true, false}, {"sent", true, true}} {
		t.Run(tt.name, func(t *testing.T) {
			f, former := newFleet(map[string]int{"a": 1, "spare": 1}), newPlanner()
			f.view.Reports["a"].Rate = 100
			assert.Equal(t, len(f.plan(former, 0, 0)), 1)
			p := newPlanner()
			if tt.stored {
				p.Freeze("spare0", at(0).Add(turn))
			}
			if tt.sent {
				f.applyMove(Order{Machine: "spare0", Pool: "a"})
				f.view.Machines[1].State = site.Moving
			}
			early := f.plan(p, 1000, 1750)
			late := f.plan(p, 2000, 2500)
			assert.Equal(t, len(early) > 0, !tt.stored)
			assert.Equal(t, len(early)+len(late) > 0, !tt.sent)
		})
	}
}

// TestOldInventoryCausesNoSecondMove guards against a machine that moves twice, or a pool that gets
// twice what it needs, while the inventory is down and the last list is all that is known.
func TestOldInventoryCausesNoSecondMove(t *testing.T) {
	f := newFleet(map[string]int{"a": 1, "b": 1, "spare": 6})
	p := New(costPolicy())
	f.view.Reports["a"].Rate = 24
	seen := map[string]int{}
	for ms := 0; ms < 15_000; ms += 150 {
		for _, o := range p.Plan(at(ms), &f.view) { // with the list read at 0
			seen[o.Machine]++
			assert.Assert(t, p.Dispatch(o))
			p.HandleReply(at(ms), o, site.Accepted, nil)
		}
		if ms == 6000 {
			f.view.Reports["a"].Rate, f.view.Reports["b"].Rate = 8, 24
		}
	}
	for machine, n := range seen {
		assert.Equal(t, n, 1, machine)
	}
	assert.Equal(t, len(seen), 4) // two for each peak
}

// TestMostOrdersRefused guards against a burst that is not served, or machines that stay cordoned,
// when the inventory refuses nine of ten orders.
func TestMostOrdersRefused(t *testing.T) {
	s := quarterSite(costPolicy(), inTurn(4, peakMean, peakFactor, 7))
	n := 0
	s.planFaults = func(Order) (site.Refusal, error) {
		if n++; n%10 != 0 {
			return site.RefusedBusy, nil
		}
		return site.Accepted, nil
	}
	most := 0
	s.onRound = func() {
		if s.now.Sub(start)%(7*time.Second) > 3*time.Second {
			most = max(most, s.planner.Summary(&s.view)[0].Machines)
		}
		for name, in := range s.planner.intents {
			assert.Assert(t, s.now.Sub(in.plannedAt) < 12*time.Second, "machine %s is held", name)
		}
	}
	s.play(30 * time.Second)
	assert.Assert(t, most > 16, "%d VMs at most, 16 at the start", most)
}

// TestWaveAndBurstElsewhere guards against a wave of one pool that stops while another pool
// has a burst, takes more machines than it may, or gives the burst a machine that is to be maintained.
func TestWaveAndBurstElsewhere(t *testing.T) {
	f := newFleet(map[string]int{"a": 6, "b": 2, "spare": 3})
	p := New(costPolicy())
	f.view.Reports["a"].Rate, f.view.Reports["a"].Used = 16, 16
	f.setRuns("vm-a0", 8, 0)
	f.setRuns("vm-a1", 8, 0)
	p.AddWave(at(0), site.Wave{Number: 1, WithinMS: 20_000, AtOnce: 2, Machines: []string{"a2", "a3", "a4", "a5"}}, nil)
	endsAt := map[string]int{}
	maintained, moved := map[string]int{}, map[string]int{}
	for ms := 0; ms <= 20_000; ms += 250 {
		if ms == 500 {
			f.view.Reports["b"].Rate = 56
		}
		out := 0
		for i := range f.view.Machines {
			m := &f.view.Machines[i]
			if until, away := endsAt[m.Name]; away && ms >= until {
				delete(endsAt, m.Name)
				m.State, m.VM = site.Up, m.VM+"'"
				if r := f.view.Reports[m.Pool]; r != nil {
					r.VMs = append(r.VMs, sched.VMReport{ID: m.VM, Known: true})
				}
			}
			if m.State == site.InMaintenance {
				out++
			}
		}
		assert.Assert(t, out <= 2)
		f.view.ReadStart = at(ms)
		for _, o := range p.Plan(at(ms), &f.view) {
			_, away := endsAt[o.Machine]
			assert.Assert(t, !away, "machine %s is ordered while it is out of service", o.Machine)
			assert.Assert(t, p.Dispatch(o))
			for i := range f.view.Machines {
				if m := &f.view.Machines[i]; m.Name == o.Machine && o.Kind == Move {
					m.Pool, m.State = o.Pool, site.Moving
					moved[o.Machine]++
				} else if m.Name == o.Machine {
					m.State = site.InMaintenance
					maintained[o.Machine]++
				}
			}
			endsAt[o.Machine] = ms + 1500
			p.HandleReply(at(ms), o, site.Accepted, nil)
		}
		f.cordon(p)
	}
	assert.DeepEqual(t, maintained, map[string]int{"a2": 1, "a3": 1, "a4": 1, "a5": 1})
	assert.Assert(t, len(moved) >= 3, "moved: %v", moved)
	for machine, n := range moved {
		assert.Assert(t, n <= 2, "machine %s moved %d times", machine, n) // to the spare pool while idle, and to the burst
	}
}

// TestExcessDrawsIdleMachinesOnly guards against accounts beyond their rate that take VMs at
// others' expense: their demand draws spare machines and idle ones that no other pool needs.
func TestExcessDrawsIdleMachinesOnly(t *testing.T) {
	for name, p := range map[string]*Planner{"with costs": New(costPolicy()), "without": newPlanner()} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string]int{"a": 1, "b": 4, "spare": 1})
			a, b := f.view.Reports["a"], f.view.Reports["b"]
			a.Excess, a.Waiting, a.Width, a.Rate, a.ExcessRate = 600, 600, 600, 400, 400
			b.Rate, b.Used = 9, 9
			f.setRuns("vm-b0", 4, 0)
			f.setRuns("vm-b1", 4, 0)
			f.setRuns("vm-b2", 1, 0)
			orders := f.plan(p, 0, 1000)
			assert.Equal(t, len(orders), 2, "%v", orders)
			for _, o := range orders {
				assert.Assert(t, o.Pool == "a" && (o.Machine == "spare0" || o.Machine == "b3"), "%v", o)
			}
			assert.Equal(t, len(p.Cordons(&f.view, "b")), 1) // of b3
		})
	}
}

// TestCostsDecide guards against a comparison that has a wrong sign or unit.
func TestCostsDecide(t *testing.T) {
	p := costPolicy()
	c := &p.Costs
	assert.Assert(t, c.worthReturning(0, 3*time.Second))  // 0.081 for keeping, 0.06 for two moves
	assert.Assert(t, !c.worthReturning(0, 2*time.Second)) // 0.054
	assert.Assert(t, !c.worthReturning(1000*time.Millisecond, 0))
	assert.Assert(t, c.worthReturning(1200*time.Millisecond, 0))
	small := surge.Forecast{Chance: 0.1, JobWork: 14, Wait: time.Second}
	large := surge.Forecast{Chance: 0.1, JobWork: 500, Wait: time.Second}
	assert.Assert(t, c.worthTaking(&small, 32, moveDuration))  // 3.4 jobs are late without it: 0.34 against 0.057
	assert.Assert(t, !c.worthTaking(&large, 32, moveDuration)) // 0.1 jobs: 0.0096
}
