package moves

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// burstFleet is a fleet of which one pool's demand rises to more than half of all machines and
// falls again.
type burstFleet struct {
	view     View
	planner  *Planner
	upAt     map[string]time.Time // by moving machine
	orders   []time.Time
	machines int
}

func newBurstFleet(machines int, ordersPerS float64) *burstFleet {
	f := &burstFleet{machines: machines, planner: New(DefaultPolicy(moveDuration, ordersPerS)), upAt: map[string]time.Time{}}
	f.view.Pools = []site.Pool{{Name: "a"}, {Name: "spare", Spare: true}}
	for i := range machines {
		pool := "spare"
		if i < machines/20 {
			pool = "a"
		}
		f.view.Machines = append(f.view.Machines, site.Machine{Name: fmt.Sprintf("m%04d", i), Pool: pool, State: site.Up, VM: fmt.Sprintf("vm%04d", i), CPU: 8000})
	}
	return f
}

// step plans once, with a demand in machines, and carries out the orders.
func (f *burstFleet) step(now time.Time, demand int) {
	report := &sched.Report{Pool: "a", Rate: float64(demand) * 8, Used: float64(demand) * 8}
	cordoned := map[string]bool{}
	for _, id := range f.planner.Cordons(&f.view, "a") {
		cordoned[id] = true
	}
	inPool := 0
	for i := range f.view.Machines {
		m := &f.view.Machines[i]
		if m.State == site.Moving && !now.Before(f.upAt[m.Name]) {
			m.State, m.VM = site.Up, m.VM+"'"
		}
		if m.Pool == "a" && m.State == site.Up {
			v := sched.VMReport{ID: m.VM, Known: true, Cordoned: cordoned[m.VM]}
			if inPool++; inPool <= demand {
				v.Runs, v.CPU = 1, 8000
			}
			report.VMs = append(report.VMs, v)
		}
	}
	f.view.Reports, f.view.ReadStart = map[string]*sched.Report{"a": report}, now
	for _, o := range f.planner.Plan(now, &f.view) {
		f.orders = append(f.orders, now)
		for i := range f.view.Machines {
			if m := &f.view.Machines[i]; m.Name == o.Machine {
				m.Pool, m.State = o.Pool, site.Moving
			}
		}
		f.upAt[o.Machine] = now.Add(moveDuration)
		f.planner.HandleReply(now, o, site.Accepted, nil)
	}
}

func (f *burstFleet) inPool(pool string) int {
	n := 0
	for i := range f.view.Machines {
		if m := &f.view.Machines[i]; m.Pool == pool && m.State == site.Up {
			n++
		}
	}
	return n
}

// TestMachinesFollowABurstAtThePlatformsRate guards against a fixed number of moves per round,
// with which a large fleet took 7 s to follow a burst of 5 s, and its machines
// idled as long after it. The planner orders as many as the platform accepts, and no more.
func TestMachinesFollowABurstAtThePlatformsRate(t *testing.T) {
	const interval = 200 * time.Millisecond // between plans
	tests := []struct {
		machines   int
		ordersPerS float64
	}{
		{48, 64},
		{349, 215},
		{1100, 590},
		{1100, 0},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d machines, %v orders a second", tt.machines, tt.ordersPerS), func(t *testing.T) {
			f := newBurstFleet(tt.machines, tt.ordersPerS)
			demand := tt.machines * 6 / 10
			ordering := time.Duration(0) // how long the platform takes to accept the orders
			if tt.ordersPerS > 0 {
				ordering = time.Duration(float64(demand) / tt.ordersPerS * float64(time.Second))
			}
			now := start
			for end := now.Add(moveDuration + ordering + 3*interval); now.Before(end); now = now.Add(interval) {
				f.step(now, demand)
			}
			assert.Assert(t, f.inPool("a") >= demand, "%d machines serve, %d are needed", f.inPool("a"), demand)
			for end := now.Add(f.planner.policy.IdleTimeout + moveDuration + ordering + 5*interval); now.Before(end); now = now.Add(interval) {
				f.step(now, 1)
			}
			assert.Assert(t, f.inPool("a") <= tt.machines/20, "%d machines still idle in the pool", f.inPool("a"))
			for i := range f.orders {
				n := 0
				for k := i; k < len(f.orders) && f.orders[k].Sub(f.orders[i]) < time.Second; k++ {
					n++
				}
				assert.Assert(t, tt.ordersPerS == 0 || float64(n) <= tt.ordersPerS, "%d orders within a second", n)
			}
		})
	}
}

// TestMachinesReplaceShrunkOnes guards against a plan that counts on room that the VMs of a pool have lost: the
// inventory lists what their machines had.
func TestMachinesReplaceShrunkOnes(t *testing.T) {
	for _, capacity := range []int{0, 8000, 2000} {
		f := newFleet(map[string]int{"a": 4, "spare": 6})
		r := f.view.Reports["a"]
		for i := range r.VMs {
			r.VMs[i].Capacity = capacity
		}
		r.Used, r.Waiting, r.Width, r.Rate = 8, 20, 12, 20
		orders := f.plan(New(DefaultPolicy(time.Second, 0)), 0, 1000)
		assert.Equal(t, len(orders) > 0, capacity == 2000, "capacity %d: %v", capacity, orders)
	}
}
