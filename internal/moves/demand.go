package moves

import (
	"math"
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// want returns the cores that a pool needs: what lasts, what runs or will arrive, and
// what must be added so that the waiting tasks are done within the horizon.
func (p *Planner) want(r *sched.Report) float64 {
	return r.Lasting + math.Max(r.Used, r.Rate) + math.Min(r.Waiting/p.policy.Horizon.Seconds(), r.Width)
}

// Potential returns the cores that a pool may get: all that the other pools do not
// need.
func (p *Planner) Potential(v *View, pool string) float64 {
	var cores float64
	for i := range v.Machines {
		if m := &v.Machines[i]; m.State != site.Down {
			cores += float64(m.CPU) / 1000
		}
	}
	for name, r := range v.Reports {
		if name != pool {
			cores -= p.want(r)
		}
	}
	return math.Max(cores, 0)
}

// balance is what a pool needs and has.
type balance struct {
	pool string
	want float64    // cores
	keep float64    // cores that the pool holds on to: the most that it wanted lately
	have float64    // cores, with machines on the way
	idle []*machine // empty ones, in the order in which they may go
	busy []*machine // ones with tasks that end by themselves, the least used first
	left int        // machines in service or on the way
	// least is how many machines stay.
	least int
}

// planMoves moves machines to pools that need them, from the spare pool and from
// pools that do not, and parks machines that no pool needs.
func (p *Planner) planMoves(st *state) {
	spare := spareName(st)
	all := p.balances(st)
	room := p.policy.MaxPerRound
	for room > 0 {
		b := neediest(all)
		if b == nil {
			break
		}
		m := p.pick(st, spare, b, all)
		if m == nil {
			break
		}
		p.move(st, m, b.pool)
		b.have += float64(m.CPU) / 1000
		b.left++
		room--
	}
	if spare != "" {
		p.park(st, spare, all, room)
	}
}

// neediest returns the pool that has the smallest share of what it wants, nil if all
// have what they want.
func neediest(all []*balance) *balance {
	var worst *balance
	for _, b := range all {
		if b.have < b.want && (worst == nil || b.have/b.want < worst.have/worst.want) {
			worst = b
		}
	}
	return worst
}

// park moves machines to the spare pool that their pool has not needed for a while.
func (p *Planner) park(st *state, spare string, all []*balance, room int) {
	for _, b := range all {
		for _, m := range b.idle {
			if p.intents[m.Name] != nil {
				continue
			}
			if !b.spares(m, b.want) {
				delete(p.idle, m.Name)
				continue
			}
			if p.idle[m.Name].IsZero() {
				p.idle[m.Name] = st.now
			}
			if room > 0 && st.now.Sub(p.idle[m.Name]) >= p.policy.IdleTimeout {
				p.move(st, m, spare)
				room--
			}
			b.drop(m)
		}
	}
}

// spares reports whether the pool can do without a machine and keep so many cores.
func (b *balance) spares(m *machine, keep float64) bool {
	return b.have-float64(m.CPU)/1000 >= keep && b.left > b.least
}

func (b *balance) drop(m *machine) {
	b.have -= float64(m.CPU) / 1000
	b.left--
}

// balances returns the pools' balances, the one that lacks most first.
func (p *Planner) balances(st *state) []*balance {
	var all []*balance
	for name, r := range st.view.Reports {
		if pool, known := st.pools[name]; known && !pool.Spare {
			all = append(all, p.balance(st, name, r))
		}
	}
	sort.Slice(all, func(i, k int) bool {
		if x, y := all[i].have-all[i].want, all[k].have-all[k].want; x != y {
			return x < y
		}
		return all[i].pool < all[k].pool
	})
	return all
}

// wanted is what a pool wanted at a time.
type wanted struct {
	at    time.Time
	cores float64
}

// recent returns the most that a pool wanted within the time that a change of mind
// costs.
func (p *Planner) recent(now time.Time, pool string, want float64) float64 {
	list := append(p.wants[pool], wanted{at: now, cores: want})
	for now.Sub(list[0].at) > p.policy.Remember {
		list = list[1:]
	}
	p.wants[pool] = list
	most := 0.0
	for _, w := range list {
		most = math.Max(most, w.cores)
	}
	return most
}

func (p *Planner) balance(st *state, name string, r *sched.Report) *balance {
	b := &balance{pool: name}
	coming := false
	for _, m := range st.by[name] {
		in := p.intents[m.Name]
		if m.State == site.Down || (in != nil && in.Kind == Maintain) {
			continue
		}
		b.have += float64(m.CPU) / 1000
		b.left++
		if in != nil || m.State != site.Up || m.Pool != name || m.use == nil || !m.use.Known {
			coming = true
			continue
		}
		switch {
		case m.use.Runs == 0:
			b.idle = append(b.idle, m)
			continue
		case m.use.Lasting == 0:
			b.busy = append(b.busy, m)
		}
		delete(p.idle, m.Name)
	}
	b.want = p.want(r)
	if b.left > 0 && b.left < r.MinVMs {
		b.want = math.Max(b.want, b.have/float64(b.left)*float64(r.MinVMs))
	}
	if r.Late > 0 && r.Used == 0 && !coming && len(b.idle) == 0 && b.left > 0 {
		b.want = math.Max(b.want, b.have+b.have/float64(b.left)) // late work, and nothing else, waits for room
	}
	b.keep = p.recent(st.now, name, b.want)
	b.least = max(r.MinVMs, p.policy.MinPerPool)
	sort.SliceStable(b.busy, func(i, k int) bool { return b.busy[i].use.CPU < b.busy[k].use.CPU })
	return b
}

// pick returns a machine for a pool in need: a spare one, else an empty one that its
// pool can do without, else one that will soon be empty.
func (p *Planner) pick(st *state, spare string, needy *balance, all []*balance) *machine {
	for _, m := range st.by[spare] {
		if m.Pool == spare && p.free(st, m) {
			return m
		}
	}
	if m := p.pickFrom(st, needy, all, func(b *balance) ([]*machine, float64) { return b.idle, b.want }); m != nil {
		return m
	}
	return p.pickFrom(st, needy, all, func(b *balance) ([]*machine, float64) { return b.busy, b.keep })
}

// pickFrom returns a machine of a pool that has more than it is to keep, the richest
// pool first.
func (p *Planner) pickFrom(st *state, needy *balance, all []*balance, of func(*balance) (list []*machine, keep float64)) *machine {
	for i := len(all) - 1; i >= 0; i-- {
		b := all[i]
		if b == needy {
			continue
		}
		list, keep := of(b)
		for _, m := range list {
			if p.free(st, m) && b.spares(m, keep) {
				b.drop(m)
				return m
			}
		}
	}
	return nil
}

// free reports whether a machine may be planned for.
func (p *Planner) free(st *state, m *machine) bool {
	return m.State == site.Up && p.intents[m.Name] == nil && !st.now.Before(p.frozen[m.Name])
}

func (p *Planner) move(st *state, m *machine, pool string) {
	p.intents[m.Name] = &intent{Order: Order{Kind: Move, Machine: m.Name, Pool: pool}, since: st.now, fromVM: m.VM}
	delete(p.idle, m.Name)
}

func spareName(st *state) string {
	for _, pool := range st.view.Pools {
		if pool.Spare {
			return pool.Name
		}
	}
	return ""
}
