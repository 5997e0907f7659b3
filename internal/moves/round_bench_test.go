package moves

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// BenchmarkRound measures a planner round in which one machine in 100 has changed, and with it the
// report of its pool.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ pools, machines int }{{4, 350}, {20, 3000}, {62, 9000}, {186, 27_000}} {
		b.Run(fmt.Sprintf("%d pools, %d machines", size.pools, size.machines), func(b *testing.B) {
			f, p := newBenchFleet(size.pools, size.machines)
			now := start
			for b.Loop() {
				now = now.Add(150 * time.Millisecond)
				f.change(size.machines / 100)
				f.view.ReadStart = now
				for _, o := range p.Plan(now, &f.view) {
					p.HandleReply(now, o, site.RefusedBusy, nil)
				}
			}
		})
	}
}

// benchFleet is a fleet in which most machines are in use.
type benchFleet struct {
	view View
	next int
}

func newBenchFleet(pools, machines int) (*benchFleet, *Planner) {
	f := &benchFleet{view: View{Reports: map[string]*sched.Report{}}}
	for i := range pools {
		name := fmt.Sprintf("pool-%03d", i)
		f.view.Pools = append(f.view.Pools, site.Pool{Name: name})
		f.view.Reports[name] = &sched.Report{Pool: name}
	}
	f.view.Pools = append(f.view.Pools, site.Pool{Name: "spare", Spare: true})
	for i := range machines {
		pool := f.view.Pools[i%pools].Name
		if i%7 == 0 {
			pool = "spare"
		}
		m := site.Machine{Name: fmt.Sprintf("m%05d", i), Pool: pool, State: site.Up, VM: fmt.Sprintf("vm%05d", i), CPU: 32_000}
		f.view.Machines = append(f.view.Machines, m)
		if r := f.view.Reports[pool]; r != nil {
			r.VMs = append(r.VMs, sched.VMReport{ID: m.VM, Known: true, Runs: 8, CPU: 32_000})
			r.Used += 32
			r.Rate += 32
		}
	}
	return f, New(costPolicy())
}

// change changes n machines: a new VM takes the place of the old one, without runs or with them,
// and work arrives in all pools.
func (f *benchFleet) change(n int) {
	for range n {
		f.next = (f.next + 101) % len(f.view.Machines)
		m := &f.view.Machines[f.next]
		r := f.view.Reports[m.Pool]
		if r == nil {
			continue
		}
		for i := range r.VMs {
			if r.VMs[i].ID == m.VM {
				m.VM += "'"
				if len(m.VM) > 12 {
					m.VM = m.VM[:7]
				}
				r.VMs[i].ID, r.VMs[i].Runs = m.VM, 8-r.VMs[i].Runs
				break
			}
		}
	}
	for _, r := range f.view.Reports {
		r.Offered += r.Rate * 0.15
		r.OfferedSquares += r.Rate * 0.15 * 20
	}
}
