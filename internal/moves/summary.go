package moves

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// Summary is what the plan of moves is based on for one pool.
type Summary struct {
	Pool        string
	Machines    int     // in service
	Incoming    int     // on the way
	Empty       int     // in service without a run
	Used        float64 // cores of runs that end by themselves
	LongRunning float64 // cores of runs that last
	Waiting     float64 // core-seconds
	Wanted      float64 // cores
}

// Summary returns the pools in the order of their names.
func (p *Planner) Summary(v *View) []Summary {
	by := map[string]*Summary{}
	var list []*Summary
	for _, pool := range v.Pools {
		s := &Summary{Pool: pool.Name}
		if r := v.Reports[pool.Name]; r != nil {
			s.Used, s.LongRunning, s.Waiting, s.Wanted = r.Used, r.Lasting, r.Waiting, p.want(r)
			for i := range r.VMs {
				if r.VMs[i].Runs == 0 && r.VMs[i].Known {
					s.Empty++
				}
			}
		}
		by[pool.Name] = s
		list = append(list, s)
	}
	for i := range v.Machines {
		m := &v.Machines[i]
		pool, coming := m.Pool, m.State != site.Up
		if in := p.intents[m.Name]; in != nil && in.Kind == Move {
			pool, coming = in.Pool, true
		}
		if s := by[pool]; s != nil && coming {
			s.Incoming++
		} else if s != nil {
			s.Machines++
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Pool < list[k].Pool })
	out := make([]Summary, len(list))
	for i, s := range list {
		out[i] = *s
	}
	return out
}

// HasIncoming reports whether machines are on their way to a pool.
func (p *Planner) HasIncoming(v *View, pool string) bool {
	for i := range v.Machines {
		m := &v.Machines[i]
		in := p.intents[m.Name]
		if (m.Pool == pool && m.State == site.Moving) || (in != nil && in.Kind == Move && in.Pool == pool && in.sent) {
			return true
		}
	}
	return false
}

// PendingMachine is a machine whose maintenance has not begun.
type PendingMachine struct {
	Machine     string
	Pool        string
	State       site.MachineState
	Planned     bool // it is kept from new runs until it is empty
	Ordered     bool // the order was given; its outcome is open
	Runs        int  // -1 if its pool's owner does not know it
	LongRunning int  // runs of tasks that last
}

// PendingMachines returns the machines of a wave that are still to be maintained.
func (p *Planner) PendingMachines(v *View, number int64) []PendingMachine {
	w := p.waves[number]
	if w == nil {
		return nil
	}
	st := p.read(time.Time{}, v)
	var list []PendingMachine
	for _, name := range w.Machines {
		m := st.all[name]
		if m == nil || w.done[name] {
			continue
		}
		o := PendingMachine{Machine: name, Pool: m.Pool, State: m.State, Runs: -1}
		if m.use != nil && m.use.Known {
			o.Runs, o.LongRunning = m.use.Runs, m.use.Lasting
		}
		if in := p.intents[name]; in != nil && in.Kind == Maintain {
			o.Planned, o.Ordered = true, in.sent
		}
		list = append(list, o)
	}
	return list
}
