package moves

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// Summary summarises one pool's machines and demand, on which the moves are based.
type Summary struct {
	Pool        string
	Machines    int     // in service
	Incoming    int     // moving in, or not up
	Empty       int     // in service without a run, whether or not cordoned
	Used        float64 // cores of runs that are not long-running
	LongRunning float64 // cores of long-running tasks
	Waiting     float64 // core-seconds
	Wanted      float64 // cores; the pool's demand
	Expected    float64 // cores; with the predicted load, if that is worth moves
	Chance      float64 // that the predicted load comes within the time of a move
}

// Summary returns the summaries of all pools, sorted by name.
func (p *Planner) Summary(v *View) []Summary {
	byPool := map[string]*Summary{}
	empty := map[string]bool{} // by VM
	var list []*Summary
	for _, pool := range v.Pools {
		s := &Summary{Pool: pool.Name}
		if r := v.Reports[pool.Name]; r != nil {
			s.Used, s.LongRunning, s.Waiting, s.Wanted = r.Used, r.Lasting, r.Waiting, p.demand(r)
			if n, known := p.needs[pool.Name]; known {
				s.Wanted, s.Expected, s.Chance = n.firm, n.expected, n.forecast.Chance
			}
			for i := range r.VMs {
				empty[r.VMs[i].ID] = r.VMs[i].Runs == 0 && r.VMs[i].Known
			}
		}
		byPool[pool.Name] = s
		list = append(list, s)
	}
	for i := range v.Machines {
		m := &v.Machines[i]
		pool, incoming := m.Pool, m.State != site.Up
		if in := p.intents[m.Name]; in != nil && in.Kind == Move {
			pool, incoming = in.Pool, true
		}
		if s := byPool[pool]; s != nil && incoming {
			s.Incoming++
		} else if s != nil {
			s.Machines++
			if empty[m.VM] {
				s.Empty++
			}
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Pool < list[k].Pool })
	out := make([]Summary, len(list))
	for i, s := range list {
		out[i] = *s
	}
	return out
}

// HasIncoming reports whether machines are moving into a pool, or have been ordered to.
func (p *Planner) HasIncoming(v *View, pool string) bool {
	for i := range v.Machines {
		m := &v.Machines[i]
		in := p.intents[m.Name]
		if (m.Pool == pool && m.State == site.Moving) || (in != nil && in.Kind == Move && in.Pool == pool && in.issued) {
			return true
		}
	}
	return false
}

// PendingMachine is a machine of a wave whose maintenance has not started.
type PendingMachine struct {
	Machine     string
	Pool        string
	State       site.MachineState
	Planned     bool // it has an intent: it is cordoned, and is ordered once it is empty
	Ordered     bool // the order was sent; whether it takes effect is not known yet
	Runs        int  // -1 if its pool's owner does not report it
	LongRunning int  // runs of long-running tasks
}

// PendingMachines returns the machines of a wave whose maintenance has not started.
func (p *Planner) PendingMachines(v *View, number int64) []PendingMachine {
	w := p.waves[number]
	if w == nil {
		return nil
	}
	st := p.indexView(time.Time{}, v)
	var list []PendingMachine
	for _, name := range w.Machines {
		m := st.machine(name)
		if m == nil || w.started[name] {
			continue
		}
		pending := PendingMachine{Machine: name, Pool: m.Pool, State: m.State, Runs: -1}
		if m.report != nil && m.report.Known {
			pending.Runs, pending.LongRunning = m.report.Runs, m.report.Lasting
		}
		if in := p.intents[name]; in != nil && in.Kind == Maintain {
			pending.Planned, pending.Ordered = true, in.issued
		}
		list = append(list, pending)
	}
	return list
}
