package moves

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// machine is a machine with the scheduler's report on its VM.
type machine struct {
	*site.Machine
	report *sched.VMReport // nil if the owner of its pool's partition does not report it
	intent *intent         // nil if none is planned
	hint   int             // position of its VM in the last report of its pool
	pool   *poolIndex      // of Machine.Pool
}

// cores returns the capacity of the machine's VM, which may have shrunk below what the inventory lists.
func (m *machine) cores() float64 {
	cpu := m.CPU
	if m.report != nil && m.report.Capacity > 0 {
		cpu = min(cpu, m.report.Capacity)
	}
	return float64(cpu) / 1000
}

// poolIndex holds the machines and the report of one pool.
type poolIndex struct {
	name     string
	machines []*machine // with planned moves applied, by name
	report   *sched.Report
	matched  []bool // VMs of the report that were found
}

// state is a view with indexes for the planning steps.
type state struct {
	now      time.Time
	view     *View
	pools    map[string]site.Pool
	machines []machine      // in the order of the view
	byName   map[string]int // positions in machines
	// service counts each pool's machines, as the inventory lists them; set by planWaves.
	service map[string]serviceCount
}

// machine returns a machine by its name, nil if the inventory does not list it.
func (st *state) machine(name string) *machine {
	if i, known := st.byName[name]; known {
		return &st.machines[i]
	}
	return nil
}

// index is kept from one round to the next, as most machines stay the same: sorting and hashing all
// of them in each round took 8 times as long.
type index struct {
	machines []machine
	byName   map[string]int
	sorted   []int // positions by name
	byPool   map[string]*poolIndex
}

// update brings the index up to date with the inventory.
func (x *index) update(list []site.Machine) {
	if x.byPool == nil {
		x.byPool = map[string]*poolIndex{}
	}
	for _, pool := range x.byPool {
		pool.machines, pool.report = pool.machines[:0], nil
	}
	same := len(list) == len(x.machines)
	for i := 0; same && i < len(list); i++ {
		same = list[i].Name == x.machines[i].Name
	}
	if !same {
		x.machines, x.byName, x.sorted = make([]machine, len(list)), make(map[string]int, len(list)), make([]int, len(list))
		for i := range list {
			x.byName[list[i].Name], x.sorted[i] = i, i
		}
		sort.Slice(x.sorted, func(i, k int) bool { return list[x.sorted[i]].Name < list[x.sorted[k]].Name })
	}
	for i := range list {
		m := &x.machines[i]
		m.Machine, m.report, m.intent = &list[i], nil, nil
		if m.pool == nil || m.pool.name != m.Pool {
			m.pool = x.pool(m.Pool)
		}
	}
}

// maxShift is how far a VM's position in a report is expected to change between two rounds.
const maxShift = 3

// matchReports sets the reports of the machines' VMs. Most are where the last report had them; the
// others are looked up by identifier, in the reports of all pools.
func (x *index) matchReports(reports map[string]*sched.Report) {
	for name, r := range reports {
		pool := x.pool(name)
		pool.report = r
		if cap(pool.matched) < len(r.VMs) {
			pool.matched = make([]bool, len(r.VMs))
		}
		pool.matched = pool.matched[:len(r.VMs)]
		clear(pool.matched)
	}
	unmatched := 0
	for i := range x.machines {
		m := &x.machines[i]
		if m.pool.report == nil || m.VM == "" || !m.matchNear() {
			unmatched++
		}
	}
	if unmatched > 0 {
		x.matchRest(reports)
	}
}

// pool returns the index of a pool, which it creates if necessary.
func (x *index) pool(name string) *poolIndex {
	pool := x.byPool[name]
	if pool == nil {
		pool = &poolIndex{name: name}
		x.byPool[name] = pool
	}
	return pool
}

// matchNear sets a machine's report if it is near its last position.
func (m *machine) matchNear() bool {
	vms := m.pool.report.VMs
	at := m.hint
	if at >= len(vms) || vms[at].ID != m.VM {
		at = -1
		for i := max(m.hint-maxShift, 0); i <= m.hint+maxShift && i < len(vms); i++ {
			if vms[i].ID == m.VM {
				at = i
				break
			}
		}
	}
	if at < 0 {
		return false
	}
	m.report, m.hint, m.pool.matched[at] = &vms[at], at, true
	return true
}

// matchRest sets the reports that are at other positions or come from other pools' owners.
func (x *index) matchRest(reports map[string]*sched.Report) {
	type position struct {
		report *sched.Report
		i      int
	}
	rest := map[string]position{}
	for pool, r := range reports {
		for i, found := range x.byPool[pool].matched {
			if !found {
				rest[r.VMs[i].ID] = position{r, i}
			}
		}
	}
	if len(rest) == 0 {
		return
	}
	for i := range x.machines {
		m := &x.machines[i]
		if m.report != nil || m.VM == "" {
			continue
		}
		if at, known := rest[m.VM]; known {
			m.report, m.hint = &at.report.VMs[at.i], at.i
		}
	}
}

// indexView returns the view with its indexes, which take the planned moves into account.
func (p *Planner) indexView(now time.Time, v *View) *state {
	x := &p.index
	x.update(v.Machines)
	x.matchReports(v.Reports)
	for name, in := range p.intents {
		if i, known := x.byName[name]; known {
			x.machines[i].intent = in
		}
	}
	for _, i := range x.sorted {
		m := &x.machines[i]
		pool := m.pool
		if m.intent != nil && m.intent.Kind == Move {
			pool = x.pool(m.intent.Pool)
		}
		pool.machines = append(pool.machines, m)
	}
	st := &state{now: now, view: v, pools: map[string]site.Pool{}, machines: x.machines, byName: x.byName}
	for _, pool := range v.Pools {
		st.pools[pool.Name] = pool
	}
	return st
}
