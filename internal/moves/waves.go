package moves

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// AddWave adds a maintenance wave that the operator requested at the given time, unless
// it is already known. started lists the machines whose maintenance was started by the
// planner of a former owner.
func (p *Planner) AddWave(requestedAt time.Time, w site.Wave, started []string) {
	if p.waves[w.Number] != nil {
		return
	}
	x := &wave{Wave: w, requestedAt: requestedAt, started: map[string]bool{}}
	for _, m := range started {
		x.started[m] = true
	}
	p.waves[w.Number] = x
}

// WaveState is the progress of a wave.
type WaveState struct {
	Number    int64
	Started   []string // machines whose maintenance has started
	Completed bool     // maintenance has started, not necessarily ended, on every machine that the inventory lists
}

// WaveStates returns the states of all waves, sorted by number. While the inventory is
// empty, it has not been read yet, and no wave is completed.
func (p *Planner) WaveStates(v *View) []WaveState {
	listed := map[string]bool{}
	for i := range v.Machines {
		listed[v.Machines[i].Name] = true
	}
	var list []WaveState
	for _, w := range p.waves {
		s := WaveState{Number: w.Number, Completed: len(v.Machines) > 0}
		for _, m := range w.Machines {
			if w.started[m] {
				s.Started = append(s.Started, m)
			} else if listed[m] {
				s.Completed = false
			}
		}
		list = append(list, s)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Number < list[k].Number })
	return list
}

// countInMaintenance returns the number of machines of a wave that are in maintenance, or
// may be because an order for it was sent.
func (p *Planner) countInMaintenance(st *state, w *wave) int {
	n := 0
	for _, name := range w.Machines {
		m, in := st.machine(name), p.intents[name]
		switch {
		case in != nil && in.Kind == Maintain && in.Wave == w.Number && in.issued:
			n++
		case m != nil && m.State == site.InMaintenance:
			n++
		}
	}
	return n
}

// mayMaintain reports whether the wave's limit allows another machine in maintenance now.
func (p *Planner) mayMaintain(st *state, number int64) bool {
	w := p.waves[number]
	return w != nil && p.countInMaintenance(st, w) < w.AtOnce
}

// planWaves plans the maintenance of the next machines of each wave: of idle machines
// immediately, of busy machines as fast as the remaining time requires. A planned machine is
// cordoned.
func (p *Planner) planWaves(st *state) {
	if len(p.waves) == 0 {
		return
	}
	st.service = p.countService(st)
	for _, w := range p.waves {
		p.planWave(st, w)
	}
}

// serviceCount counts the machines of a pool, without those that are moving into it.
type serviceCount struct {
	total int
	out   int // not up, or about to be ordered
}

// countService counts the machines of all pools for poolAllowsMaintenance.
func (p *Planner) countService(st *state) map[string]serviceCount {
	counts := map[string]serviceCount{}
	for i := range st.machines {
		m := &st.machines[i]
		if m.State == site.Moving {
			continue
		}
		c := counts[m.Pool]
		c.total++
		if m.State != site.Up || p.intents[m.Name] != nil {
			c.out++
		}
		counts[m.Pool] = c
	}
	return counts
}

// planWave plans the maintenance of the next machines of one wave.
func (p *Planner) planWave(st *state, w *wave) {
	var pending []*machine
	planned := 0
	for _, name := range w.Machines {
		m := st.machine(name)
		if in := p.intents[name]; in != nil {
			if in.Kind == Maintain {
				planned++
			}
			continue
		}
		if m == nil || w.started[name] || m.State != site.Up || p.isStuck(st, m) {
			continue
		}
		pending = append(pending, m)
	}
	sort.SliceStable(pending, func(i, k int) bool { return st.maintainFirst(pending[i], pending[k]) })
	limit := p.concurrency(st, w, len(pending)+planned)
	late := p.remainingTime(st, w) < maintenanceCycle
	for _, m := range pending {
		if planned >= w.AtOnce || (planned >= limit && !st.isIdle(m)) || !p.poolAllowsMaintenance(st, m, late) {
			continue
		}
		m.intent = &intent{Order: Order{Kind: Maintain, Machine: m.Name, Wave: w.Number}, plannedAt: st.now, fromVM: m.VM}
		p.intents[m.Name] = m.intent
		c := st.service[m.Pool]
		c.out++
		st.service[m.Pool] = c
		planned++
	}
}

// maintenanceCycle is the time to empty a machine with a few long-running tasks, to
// maintain it and to return it to service.
const maintenanceCycle = 5 * time.Second

// remainingTime returns the time until the wave's deadline, less the reserve for machines
// that empty slowly. It is negative once only the reserve remains.
func (p *Planner) remainingTime(st *state, w *wave) time.Duration {
	total := time.Duration(w.WithinMS) * time.Millisecond
	return total - time.Duration(p.policy.WaveReserve*float64(total)) - st.now.Sub(w.requestedAt)
}

// concurrency returns how many machines must be in maintenance at the same time for the
// wave to end in time, with the given number of machines pending or planned.
func (p *Planner) concurrency(st *state, w *wave, unfinished int) int {
	remaining := p.remainingTime(st, w)
	if remaining < maintenanceCycle {
		return w.AtOnce
	}
	need := int(float64(unfinished)/(float64(remaining)/float64(maintenanceCycle))) + 1
	return min(need, w.AtOnce)
}

// isIdle reports whether a machine's maintenance would disturb no run.
func (st *state) isIdle(m *machine) bool {
	return st.pools[m.Pool].Spare || (m.report != nil && m.report.Runs == 0)
}

// maintainFirst reports whether a should be maintained before b. Idle machines go
// first, then those with the most long-running tasks: they take longest to empty, since
// long-running tasks leave a machine one after the other.
func (st *state) maintainFirst(a, b *machine) bool {
	if x, y := st.isIdle(a), st.isIdle(b); x != y {
		return x
	}
	if a.report == nil || b.report == nil {
		return a.report != nil && b.report == nil
	}
	if a.report.Lasting != b.report.Lasting {
		return a.report.Lasting > b.report.Lasting
	}
	return a.report.Runs < b.report.Runs
}

// poolAllowsMaintenance reports whether a machine's pool allows its maintenance now: at
// most Policy.MaintenanceShare of the pool's machines, but at least one, may be out of
// service or about to be. Machines that are moving into the pool do not count. A wave that
// is late ignores this limit, but leaves a pool of several machines one in service. A machine that the owner of its pool's partition does not
// report may not be maintained, as its runs are not known. The spare pool has no limit.
func (p *Planner) poolAllowsMaintenance(st *state, m *machine, late bool) bool {
	if st.pools[m.Pool].Spare {
		return true
	}
	if m.report == nil {
		return false
	}
	c := st.service[m.Pool]
	limit := int(p.policy.MaintenanceShare * float64(c.total))
	if late {
		limit = c.total - 1
	}
	return c.out < max(1, limit)
}
