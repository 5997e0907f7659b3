// Package moves plans which machines change pools and when each has its maintenance.
// It has no clock and no network: its driver hands in the inventory and the pools'
// reports, with the time, and carries out the orders that Plan returns once their
// machines are empty.
package moves

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Policy holds the weights of the plan.
type Policy struct {
	MoveTime    time.Duration // a machine is away during a move
	Horizon     time.Duration // waiting work is to be done within this time
	IdleTimeout time.Duration // a machine that a pool has not needed for this long goes to the spare pool
	Remember    time.Duration // a pool holds on to what it wanted within this time
	MinPerPool  int           // machines that stay in a pool that is not spare
	Share       float64       // largest share of a pool's machines that are taken from service at once for maintenance
	OrderAgain  time.Duration // before an order without an answer is repeated
	MaxPerRound int           // moves begun in one round
	WaveReserve float64       // share of a wave's time that is kept as reserve
}

// DefaultPolicy returns the policy for a site's times.
func DefaultPolicy(move time.Duration) Policy {
	return Policy{
		MoveTime:    move,
		Horizon:     1500 * time.Millisecond,
		IdleTimeout: 1200 * time.Millisecond, // a move costs as much as this time in a pool
		Remember:    1200 * time.Millisecond,
		MinPerPool:  1, Share: 0.34, OrderAgain: 500 * time.Millisecond, MaxPerRound: 32, WaveReserve: 0.5,
	}
}

// Kind is what an order does.
type Kind int

// Kinds of orders.
const (
	Move Kind = iota
	Maintain
)

// Order is a move or a maintenance.
type Order struct {
	Kind    Kind
	Machine string
	Pool    string // target of a move
	Wave    int64  // of a maintenance
}

// intent is an order that is planned or under way.
type intent struct {
	Order
	since  time.Time
	sent   bool // given at least once; the outcome of the last time may be open
	busy   bool // an answer is awaited
	again  time.Time
	done   bool // accepted
	doneAt time.Time
	fromVM string // the machine's life at the time of the plan
	away   bool   // the inventory has shown that it is carried out
}

// wave is a maintenance wave.
type wave struct {
	site.Wave
	from time.Time       // the operator asked for it
	done map[string]bool // machines whose maintenance has begun
}

// Planner holds the plan. It is not safe for concurrent use.
type Planner struct {
	policy  Policy
	intents map[string]*intent // by machine
	waves   map[int64]*wave
	idle    map[string]time.Time // since when a machine has not been needed
	wants   map[string][]wanted  // by pool, the latest last
	frozen  map[string]time.Time // machines that get no order before
}

// New returns a planner without plans.
func New(p Policy) *Planner {
	return &Planner{policy: p, intents: map[string]*intent{}, waves: map[int64]*wave{}, idle: map[string]time.Time{}, frozen: map[string]time.Time{}, wants: map[string][]wanted{}}
}

// Freeze keeps orders from a machine until a time.
func (p *Planner) Freeze(machine string, until time.Time) { p.frozen[machine] = until }

// Frozen counts the machines that are kept from orders.
func (p *Planner) Frozen(now time.Time) int {
	n := 0
	for _, until := range p.frozen {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// View is what the planner decides on.
type View struct {
	Machines  []site.Machine
	ReadStart time.Time                // when the reading of the machines began
	Reports   map[string]*sched.Report // by pool; a pool without one is left alone
	Pools     []site.Pool
}

// machine is a machine with its use.
type machine struct {
	*site.Machine
	use *sched.VMReport // nil if its pool's owner does not know it
}

// state is a view in the form that the steps of the plan need.
type state struct {
	now   time.Time
	view  *View
	pools map[string]site.Pool
	by    map[string][]*machine // machines of a pool, in or on the way to service
	all   map[string]*machine
}

func (p *Planner) read(now time.Time, v *View) *state {
	st := &state{now: now, view: v, pools: map[string]site.Pool{}, by: map[string][]*machine{}, all: map[string]*machine{}}
	for _, pool := range v.Pools {
		st.pools[pool.Name] = pool
	}
	use := map[string]*sched.VMReport{}
	for _, r := range v.Reports {
		for i := range r.VMs {
			use[r.VMs[i].ID] = &r.VMs[i]
		}
	}
	for i := range v.Machines {
		m := &machine{Machine: &v.Machines[i], use: use[v.Machines[i].VM]}
		st.all[m.Name] = m
		pool := m.Pool
		if in := p.intents[m.Name]; in != nil && in.Kind == Move {
			pool = in.Pool
		}
		st.by[pool] = append(st.by[pool], m)
	}
	for _, list := range st.by {
		sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	}
	return st
}

// Plan returns the orders that are to be given now.
func (p *Planner) Plan(now time.Time, v *View) []Order {
	st := p.read(now, v)
	p.settle(st)
	p.planWaves(st)
	p.planMoves(st)
	return p.due(st)
}

// settle drops intents that are over.
func (p *Planner) settle(st *state) {
	for name, in := range p.intents {
		m := st.all[name]
		switch {
		case m == nil:
			delete(p.intents, name)
		case in.done && m.State == site.Up && (in.away || m.VM != in.fromVM || in.idle(st.view.ReadStart, m)):
			delete(p.intents, name)
		case !in.sent && (m.State != site.Up || m.VM != in.fromVM):
			delete(p.intents, name) // the machine failed or left by itself
		case in.done && m.State != site.Up:
			in.away = true
		}
	}
}

// idle reports whether an accepted order has changed nothing, since it had been carried
// out before: a reading of the inventory that began later would show it. A machine that
// is still in its old pool may be shown late.
func (in *intent) idle(read time.Time, m *machine) bool {
	const shown, lost = time.Second, 20 * time.Second
	past := read.Sub(in.doneAt)
	if in.Kind == Maintain || m.Pool == in.Pool {
		return past > shown
	}
	return past > lost
}

// Cordons returns the VMs of a pool that are to get no new runs.
func (p *Planner) Cordons(v *View, pool string) []string {
	var ids []string
	for i := range v.Machines {
		m := &v.Machines[i]
		if in := p.intents[m.Name]; in != nil && m.Pool == pool && m.VM == in.fromVM && m.VM != "" {
			ids = append(ids, m.VM)
		}
	}
	return ids
}

// due returns the orders whose machines are empty.
func (p *Planner) due(st *state) []Order {
	var list []Order
	for name, in := range p.intents {
		m := st.all[name]
		if in.done || in.busy || st.now.Before(in.again) || st.now.Before(p.frozen[name]) || (!in.sent && !p.empty(st, m)) {
			continue
		}
		if in.Kind == Maintain && !in.sent && !p.mayMaintain(st, in.Wave) {
			continue
		}
		in.sent, in.busy = true, true
		list = append(list, in.Order)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Machine < list[k].Machine })
	return list
}

// empty reports whether nothing runs on a machine and nothing can be started there.
func (p *Planner) empty(st *state, m *machine) bool {
	if st.pools[m.Pool].Spare || m.State != site.Up {
		return true
	}
	return m.use != nil && m.use.Known && m.use.Runs == 0 && m.use.Cordoned
}

// HandleReply takes over the outcome of an order.
func (p *Planner) HandleReply(now time.Time, o Order, refusal site.Refusal, err error) {
	in := p.intents[o.Machine]
	if in == nil || in.Order != o {
		return
	}
	in.busy = false
	switch {
	case err != nil:
		in.again = now.Add(p.policy.OrderAgain)
	case refusal == site.Accepted:
		in.done, in.doneAt = true, now
		p.begun(in)
	case refusal == site.RefusedBusy:
		in.again = now.Add(p.policy.OrderAgain)
		if in.Kind == Move || now.Sub(in.since) > 4*p.policy.MoveTime {
			delete(p.intents, o.Machine)
		}
	default:
		if w := p.waves[o.Wave]; o.Kind == Maintain && w != nil {
			w.done[o.Machine] = true // the platform does not count it to the wave
		}
		delete(p.intents, o.Machine)
	}
}

// begun takes note that a machine's maintenance has begun.
func (p *Planner) begun(in *intent) {
	if w := p.waves[in.Wave]; in.Kind == Maintain && w != nil {
		w.done[in.Machine] = true
	}
}
