package moves

import (
	"math"
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// demand returns the cores that a pool needs: for long-running tasks, for the larger of
// the running tasks and the offered load, and for finishing the waiting tasks within
// the horizon, but for these no more than they can use at once. Waiting jobs beyond their
// account's rate do not count; see need.excess.
func (p *Planner) demand(r *sched.Report) float64 {
	return r.Lasting + math.Max(r.Used, r.Rate-r.ExcessRate) + p.waitingCores(r)
}

// waitingCores returns the cores for finishing the waiting tasks within the horizon.
func (p *Planner) waitingCores(r *sched.Report) float64 {
	return math.Min(math.Max(r.Waiting-r.Excess, 0)/p.policy.Horizon.Seconds(), r.Width)
}

// balance holds the cores that a pool needs and has, and the machines that it could give
// up.
type balance struct {
	pool            string
	demand          float64    // cores
	need            need       // demand is its firm part, raised for long-running and overdue work
	recentPeak      float64    // cores; largest demand within Policy.DemandWindow
	capacity        float64    // cores, including machines that are moving in
	idle            []*machine // without runs, by name
	busy            []*machine // with runs but no long-running task, fewest cores in use first once busySorted
	busySorted      bool
	machineCount    int // machines in service or moving in
	minMachineCount int // machines that must stay in the pool
}

// planMoves moves machines to pools that lack capacity, from the spare pool and from
// pools with a surplus, and moves machines that no pool needs to the spare pool.
func (p *Planner) planMoves(st *state) {
	spare := sparePool(st)
	all := p.balances(st)
	spares := p.availableSpares(st, spare)
	remaining := p.moveBudget(st)
	remaining = p.fill(st, firmStage, &spares, all, remaining)
	if p.policy.Costs.enabled() {
		remaining = p.fill(st, scarceStage, &spares, all, remaining)
		remaining = p.fill(st, expectedStage, &spares, all, remaining)
	}
	remaining = p.fill(st, excessStage, &spares, all, remaining)
	if spare != "" {
		p.moveIdleToSpare(st, spare, all, remaining)
	}
}

// stage is a part of the pools' needs that is met before the next part. Its function returns
// the cores that a pool needs.
type stage struct {
	cores    func(b *balance) float64
	keep     func(b *balance) float64 // cores that another pool keeps of its idle machines
	takeBusy bool                     // machines with runs are taken too
}

// Stages in their order.
var (
	firmStage     = stage{cores: firmCores, keep: expectedCores, takeBusy: true}
	scarceStage   = stage{cores: scarceCores, keep: firmCores}
	expectedStage = stage{cores: expectedCores, keep: expectedCores}
	excessStage   = stage{cores: excessCores, keep: keptCores}
)

func firmCores(b *balance) float64     { return b.demand }
func expectedCores(b *balance) float64 { return math.Max(b.demand, b.need.expected) }
func excessCores(b *balance) float64   { return math.Max(b.demand, b.need.excess) }
func keptCores(b *balance) float64     { return math.Max(expectedCores(b), b.need.kept) }

// scarceCores returns the need below which a pool whose load has come takes machines from those
// that wait for a predicted load. A smaller lack is left to them, as it changes from round to round
// and each such move costs both pools the time of a move.
func scarceCores(b *balance) float64 { return 0.8 * b.demand }

// fill plans moves to pools that lack capacity for a stage, and returns the remaining budget.
func (p *Planner) fill(st *state, s stage, spares *[]*machine, all []*balance, remaining int) int {
	for remaining > 0 {
		b := smallestCapacityRatio(all, s)
		if b == nil {
			break
		}
		m := p.pick(st, s, spares, b, all)
		if m == nil {
			break
		}
		p.addMove(st, m, b.pool)
		b.capacity += m.cores()
		b.machineCount++
		remaining--
	}
	return remaining
}

// moveBudget returns how many moves to plan: as many as can be ordered within a second after
// the planned ones whose machines are empty.
func (p *Planner) moveBudget(st *state) int {
	if p.policy.OrdersPerS <= 0 {
		return len(st.machines)
	}
	budget := int(p.policy.OrdersPerS)
	for name, in := range p.intents {
		if !in.issued && p.isDue(st, name, in) {
			budget--
		}
	}
	return budget
}

// availableSpares returns the machines of the spare pool that may be moved.
func (p *Planner) availableSpares(st *state, spare string) []*machine {
	var list []*machine
	for _, m := range p.index.pool(spare).machines {
		if m.Pool == spare && p.available(st, m) {
			list = append(list, m)
		}
	}
	return list
}

// smallestCapacityRatio returns the pool with the smallest ratio of capacity to demand, or nil if
// every pool's demand is met.
func smallestCapacityRatio(all []*balance, s stage) *balance {
	var worst *balance
	worstRatio := 1.0
	for _, b := range all {
		if ratio := b.capacity / s.cores(b); ratio < worstRatio {
			worst, worstRatio = b, ratio
		}
	}
	return worst
}

// moveIdleToSpare moves machines that their pool has not needed for the idle timeout to
// the spare pool, at most limit of them.
func (p *Planner) moveIdleToSpare(st *state, spare string, all []*balance, limit int) {
	for _, b := range all {
		for _, m := range b.idle {
			if m.intent != nil {
				continue
			}
			if !b.canSpare(m, keptCores(b)) {
				delete(p.unneededSince, m.Name)
				continue
			}
			if p.unneededSince[m.Name].IsZero() {
				p.unneededSince[m.Name] = st.now
			}
			if limit > 0 && p.mayReturn(b, st.now.Sub(p.unneededSince[m.Name])) {
				p.addMove(st, m, spare)
				limit--
			}
			b.remove(m) // also if m is not moved yet, so that the next idle machine counts as unneeded only if the pool can spare both
		}
	}
}

// mayReturn reports whether a machine that its pool has not needed for the given time moves to the
// spare pool.
func (p *Planner) mayReturn(b *balance, idle time.Duration) bool {
	if p.policy.Costs.enabled() {
		return p.policy.Costs.worthReturning(idle, b.need.forecast.Quiet)
	}
	return idle >= p.policy.IdleTimeout
}

// canSpare reports whether, without machine m, the pool has at least keep cores and its
// minimum number of machines.
func (b *balance) canSpare(m *machine, keep float64) bool {
	return b.capacity-m.cores() >= keep && b.machineCount > b.minMachineCount
}

// remove subtracts a machine from the pool's capacity.
func (b *balance) remove(m *machine) {
	b.capacity -= m.cores()
	b.machineCount--
}

// balances returns the balances of all pools with a report except the spare pool, the
// largest shortage first.
func (p *Planner) balances(st *state) []*balance {
	var all []*balance
	for name, r := range st.view.Reports {
		if pool, known := st.pools[name]; known && !pool.Spare {
			all = append(all, p.balance(st, name, r))
		}
	}
	sort.Slice(all, func(i, k int) bool {
		if x, y := all[i].capacity-all[i].demand, all[k].capacity-all[k].demand; x != y {
			return x < y
		}
		return all[i].pool < all[k].pool
	})
	return all
}

// demandSample is the demand of a pool at a point in time.
type demandSample struct {
	at    time.Time
	cores float64
}

// recentPeakDemand adds a sample and returns the largest demand of a pool within the
// demand window. A busy machine that the pool needed within the window is not taken, as it
// may soon have to be moved back. Moving it back costs as much machine time as keeping it
// idle for the length of the window.
func (p *Planner) recentPeakDemand(now time.Time, pool string, demand float64) float64 {
	list := append(p.demandHistory[pool], demandSample{at: now, cores: demand})
	for now.Sub(list[0].at) > p.policy.DemandWindow {
		list = list[1:]
	}
	p.demandHistory[pool] = list
	peak := 0.0
	for _, s := range list {
		peak = math.Max(peak, s.cores)
	}
	return peak
}

// balance returns the balance of one pool. The demand is raised to the minimum number of
// VMs for the long-running tasks, at the mean capacity of the pool's machines. It is raised
// to one machine more than the pool has if work past its objective waits and no run will end
// and free capacity for it: only long-running tasks run, no machine is idle and none is
// moving in.
func (p *Planner) balance(st *state, name string, r *sched.Report) *balance {
	b := &balance{pool: name}
	incoming := false
	for _, m := range p.index.pool(name).machines {
		in := m.intent
		if m.State == site.Down || (in != nil && in.Kind == Maintain) {
			continue
		}
		b.capacity += m.cores()
		b.machineCount++
		if in != nil || m.State != site.Up || m.Pool != name || m.report == nil || !m.report.Known {
			incoming = true
			continue
		}
		switch {
		case m.report.Runs == 0:
			b.idle = append(b.idle, m)
			continue
		case m.report.Lasting == 0:
			b.busy = append(b.busy, m)
		}
		if len(p.unneededSince) > 0 {
			delete(p.unneededSince, m.Name)
		}
	}
	b.need = p.need(st.now, name, r, st.machineCores(b))
	b.demand = b.need.firm
	if b.machineCount > 0 && b.machineCount < r.MinVMs {
		b.demand = math.Max(b.demand, b.capacity/float64(b.machineCount)*float64(r.MinVMs))
	}
	if r.Late > 0 && r.Used == 0 && !incoming && len(b.idle) == 0 && b.machineCount > 0 {
		b.demand = math.Max(b.demand, b.capacity+b.capacity/float64(b.machineCount))
	}
	b.recentPeak = p.recentPeakDemand(st.now, name, b.demand)
	if b.need.forecast.Ended {
		b.recentPeak = b.demand // what the pool needed in the peak it does not need again before the next one
	}
	b.minMachineCount = max(r.MinVMs, p.policy.MinPerPool)
	return b
}

// machineCores returns the mean cores of a pool's machines, or those of any machine if it has none.
func (st *state) machineCores(b *balance) float64 {
	switch {
	case b.machineCount > 0:
		return b.capacity / float64(b.machineCount)
	case len(st.machines) > 0:
		return float64(st.machines[0].CPU) / 1000
	}
	return 0
}

// pick returns a machine for a pool that lacks capacity: a spare machine, else an idle
// one that its pool can spare, else a busy one that its pool can spare even at its
// recent peak demand. It removes a spare machine from spares.
func (p *Planner) pick(st *state, s stage, spares *[]*machine, target *balance, all []*balance) *machine {
	if list := *spares; len(list) > 0 {
		*spares = list[1:]
		return list[0]
	}
	idle := func(b *balance) ([]*machine, float64) { return b.idle, s.keep(b) }
	if m := p.pickFrom(st, target, all, idle); m != nil || !s.takeBusy {
		return m
	}
	busy := func(b *balance) ([]*machine, float64) {
		if b.capacity > b.recentPeak && !b.busySorted {
			sort.SliceStable(b.busy, func(i, k int) bool { return b.busy[i].report.CPU < b.busy[k].report.CPU })
			b.busySorted = true
		}
		return b.busy, b.recentPeak
	}
	return p.pickFrom(st, target, all, busy)
}

// pickFrom returns a machine of a pool that has more cores than it must keep, starting
// with the pool that has the largest surplus. candidates returns the machines of a pool
// that may be taken and the cores that the pool must keep.
func (p *Planner) pickFrom(st *state, target *balance, all []*balance, candidates func(*balance) (list []*machine, keep float64)) *machine {
	for i := len(all) - 1; i >= 0; i-- {
		b := all[i]
		if b == target {
			continue
		}
		list, keep := candidates(b)
		if b.capacity <= keep || b.machineCount <= b.minMachineCount {
			continue
		}
		for _, m := range list {
			if p.available(st, m) && b.canSpare(m, keep) {
				b.remove(m)
				return m
			}
		}
	}
	return nil
}

// available reports whether a machine is up, has no intent and is not frozen.
func (p *Planner) available(st *state, m *machine) bool {
	return m.State == site.Up && m.intent == nil && (len(p.frozen) == 0 || !st.now.Before(p.frozen[m.Name]))
}

// addMove plans the move of a machine to a pool.
func (p *Planner) addMove(st *state, m *machine, pool string) {
	m.intent = &intent{Order: Order{Kind: Move, Machine: m.Name, Pool: pool}, plannedAt: st.now, fromVM: m.VM}
	p.intents[m.Name] = m.intent
	delete(p.unneededSince, m.Name)
}

// sparePool returns the name of the spare pool, or "".
func sparePool(st *state) string {
	for _, pool := range st.view.Pools {
		if pool.Spare {
			return pool.Name
		}
	}
	return ""
}
