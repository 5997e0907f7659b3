// Package moves plans which machines move between pools and when each machine is
// maintained. A machine is a VM slot of the fleet inventory; its VM is the slot's current
// incarnation.
//
// The planner first records an intent, a move or a maintenance of one machine. Cordons
// returns the VMs of these machines, and its caller has the schedulers start no new runs
// on them. Once a machine is empty, Plan returns its order. The caller sends it to the
// platform and passes the reply to HandleReply. The caller also passes the time, the
// inventory and the schedulers' reports; the package uses no clock and no network.
//
// The planner runs on the entry that owns the fleet partition. The report on a pool comes
// from the scheduler of the owner of the pool's partition, which may be another entry.
package moves

import (
	"math"
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/surge"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Policy holds the parameters of the planner.
type Policy struct {
	MoveTime         time.Duration // time for which a moving machine is out of service
	Horizon          time.Duration // time within which waiting work should be finished
	IdleTimeout      time.Duration // time after which a machine that its pool does not need moves to the spare pool
	DemandWindow     time.Duration // a pool gives up a busy machine only if it keeps capacity for its peak demand within this window
	MinPerPool       int           // minimum number of machines of each pool except the spare pool
	MaintenanceShare float64       // largest share of a pool's machines that maintenance may take out of service at once, rounded down; one machine is always allowed
	RetryDelay       time.Duration // delay before a failed order is sent again
	OrdersPerS       float64       // number of orders that the platform accepts per second from all entries; 0 if it sets no limit
	Costs            Costs         // with these, loads are predicted and machines moved where that costs least
	WaveReserve      float64       // share of a wave's time that the plan keeps in reserve, as some machines empty slowly
}

// DefaultPolicy returns the policy for a site whose moves take the given time and whose platform
// accepts the given number of orders per second.
func DefaultPolicy(move time.Duration, ordersPerS float64) Policy {
	return Policy{
		MoveTime:     move,
		OrdersPerS:   ordersPerS,
		Horizon:      1500 * time.Millisecond,
		IdleTimeout:  1200 * time.Millisecond, // keeping a machine idle for this long costs as much as moving it
		DemandWindow: 1200 * time.Millisecond,
		MinPerPool:   1, MaintenanceShare: 0.34, RetryDelay: 500 * time.Millisecond, WaveReserve: 0.5,
	}
}

// Kind is the kind of an order.
type Kind int

// Kinds of orders.
const (
	Move Kind = iota
	Maintain
)

// Order is a call to the platform that moves a machine to a pool or starts its maintenance.
type Order struct {
	Kind    Kind
	Machine string
	Pool    string // target pool of a move
	Wave    int64  // number of the maintenance wave
}

// intent is an order from the time when it is planned until it has been carried out.
type intent struct {
	Order
	plannedAt     time.Time
	issued        bool      // Plan has returned it at least once
	awaitingReply bool      // the last attempt has no reply yet
	issuedAt      time.Time // when Plan last returned the order
	dispatched    bool      // Dispatch has allowed to send the last attempt
	sent          bool      // Dispatch has allowed to send an attempt; whether the platform applied it may be unknown
	retryAt       time.Time // earliest time to send it again
	accepted      bool      // by the platform
	acceptedAt    time.Time
	fromVM        string // the machine's VM when the intent was planned; may be empty for a spare machine
	observed      bool   // accepted, and the inventory has shown the machine out of service
}

// wave is a maintenance wave.
type wave struct {
	site.Wave
	requestedAt time.Time       // by the operator
	started     map[string]bool // machines whose maintenance has started
}

// Planner plans moves and maintenance. It is not safe for concurrent use.
type Planner struct {
	policy        Policy
	intents       map[string]*intent // by machine
	waves         map[int64]*wave
	unneededSince map[string]time.Time      // by machine: since when its pool has not needed it
	demandHistory map[string][]demandSample // by pool, oldest sample first
	histories     map[string]*surge.History // by pool; empty without Policy.Costs
	needs         map[string]need           // by pool, of the last round; empty without Policy.Costs
	index         index
	frozen        map[string]time.Time // by machine: no order is sent before this time
	sentOrders    []time.Time          // times of the orders within orderWindow, oldest first
	keptSince     map[string]time.Time // by machine: since when its VM cannot be emptied, see sched.VMReport.Kept
}

// New returns a planner without intents or waves.
func New(p Policy) *Planner {
	return &Planner{policy: p, intents: map[string]*intent{}, waves: map[int64]*wave{}, unneededSince: map[string]time.Time{}, frozen: map[string]time.Time{}, keptSince: map[string]time.Time{}, demandHistory: map[string][]demandSample{}, histories: map[string]*surge.History{}, needs: map[string]need{}}
}

// Freeze prevents orders for a machine until the given time. A new owner of the fleet
// partition freezes the machines that the former owner ordered recently: the platform
// requires a minimum time between orders of two owners for the same machine.
func (p *Planner) Freeze(machine string, until time.Time) { p.frozen[machine] = until }

// Frozen returns the number of machines that may not get orders yet.
func (p *Planner) Frozen(now time.Time) int {
	n := 0
	for _, until := range p.frozen {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// View is the planner's input.
type View struct {
	Machines  []site.Machine
	ReadStart time.Time                // when the read of Machines started
	Reports   map[string]*sched.Report // by pool; no machine is moved into or out of a pool without a report, except the spare pool
	Pools     []site.Pool
}

// Plan returns the orders to send now: it drops finished intents, plans maintenance, then
// moves, and selects the intents whose orders are due.
func (p *Planner) Plan(now time.Time, v *View) []Order {
	st := p.indexView(now, v)
	p.observe(now, v.Reports)
	p.observeKept(st)
	p.dropFinished(st)
	p.planWaves(st)
	p.planMoves(st)
	return p.dueOrders(st)
}

// dropFinished drops intents that have been carried out or no longer apply, and marks
// those whose effect the inventory shows.
func (p *Planner) dropFinished(st *state) {
	for name, in := range p.intents {
		m := st.machine(name)
		switch {
		case m == nil:
			delete(p.intents, name)
		case in.accepted && m.State == site.Up && (in.observed || m.VM != in.fromVM || in.hadNoEffect(st.view.ReadStart, m)):
			delete(p.intents, name)
		case !in.issued && (m.State != site.Up || m.VM != in.fromVM):
			delete(p.intents, name) // the machine failed or left before the order was sent
		case !in.issued && st.pools[in.Pool].Spare && st.now.Sub(in.plannedAt) > dispatchTimeout:
			delete(p.intents, name) // more urgent orders use all that the platform accepts; its pool can use the machine meanwhile
		case !in.issued && p.isStuck(st, m):
			delete(p.intents, name) // its pool can use the machine until the runs on it may be stopped
		case !in.issued && in.Kind == Move && st.now.Sub(in.plannedAt) > withdrawAfter*p.policy.MoveTime:
			delete(p.intents, name) // the machine does not become empty; the demand may have changed since
		case in.accepted && m.State != site.Up:
			in.observed = true
		case in.isUndispatched(st.now) && in.sent:
			in.awaitingReply = false // an earlier attempt may have been applied, so the same order is issued again
		case in.isUndispatched(st.now):
			delete(p.intents, name) // the platform has not seen it, and Dispatch will not allow to send it
		}
		if m != nil {
			m.intent = p.intents[name]
		}
	}
}

// dispatchTimeout is the time within which the record of an order has to be stored. A flush
// takes a few tens of milliseconds; while the log is down, no order can be sent, and its machine
// must not stay cordoned for it.
const dispatchTimeout = 2 * time.Second

// withdrawAfter is the time, as a multiple of Policy.MoveTime, after which a maintenance that is refused as busy, or a move
// whose machine does not become empty, is withdrawn and planned anew.
const withdrawAfter = 4

// isUndispatched reports whether the last attempt has not been sent in time.
func (in *intent) isUndispatched(now time.Time) bool {
	return in.awaitingReply && !in.dispatched && now.Sub(in.issuedAt) > dispatchTimeout
}

// Dispatch reports whether an order may be sent now that its record is stored, and marks it as sent.
// It may not if it was withdrawn, or if an equal order has been sent in its place.
func (p *Planner) Dispatch(o Order) bool {
	in := p.intents[o.Machine]
	if in == nil || in.Order != o || !in.awaitingReply || in.dispatched {
		return false
	}
	in.dispatched, in.sent = true, true
	return true
}

// hadNoEffect reports whether an accepted order changed nothing, because an equal earlier
// order, such as one whose reply was lost, had already been carried out. For maintenance,
// and for a move of a machine that is listed in its target pool, the inventory shows the
// machine as out of service within stateDelay of the acceptance, so a later read that
// shows it as up proves that the order had no effect. The inventory may show late that a
// machine has left its old pool, so a move whose machine is still listed there is taken to
// have had no effect only after poolDelay.
func (in *intent) hadNoEffect(readStart time.Time, m *machine) bool {
	const stateDelay, poolDelay = time.Second, 20 * time.Second
	elapsed := readStart.Sub(in.acceptedAt)
	if in.Kind == Maintain || m.Pool == in.Pool {
		return elapsed > stateDelay
	}
	return elapsed > poolDelay
}

// Cordons returns the VMs of a pool that must not get new runs, as their machines are
// about to move or to be maintained.
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

// dueOrders returns the orders to send now and marks them as sent: new ones whose
// machine is empty, and failed ones whose retry is due, the most urgent ones up to the
// platform's limit.
func (p *Planner) dueOrders(st *state) []Order {
	var due []*intent
	for name, in := range p.intents {
		if p.isDue(st, name, in) {
			due = append(due, in)
		}
	}
	sort.Slice(due, func(i, k int) bool {
		if x, y := st.urgency(due[i]), st.urgency(due[k]); x != y {
			return x < y
		}
		if !due[i].plannedAt.Equal(due[k].plannedAt) {
			return due[i].plannedAt.Before(due[k].plannedAt) // moves that were refused and planned anew would otherwise keep others back
		}
		return due[i].Machine < due[k].Machine
	})
	var list []Order
	budget := p.orderBudget(st.now)
	for _, in := range due {
		if len(list) == budget {
			break
		}
		if in.Kind == Maintain && !in.issued && !p.mayMaintain(st, in.Wave) {
			continue
		}
		in.issued, in.awaitingReply, in.dispatched, in.issuedAt = true, true, false, st.now
		list = append(list, in.Order)
		p.sentOrders = append(p.sentOrders, st.now)
	}
	return list
}

// isDue reports whether an intent's order may be sent now.
func (p *Planner) isDue(st *state, name string, in *intent) bool {
	if in.accepted || in.awaitingReply || st.now.Before(in.retryAt) || st.now.Before(p.frozen[name]) {
		return false
	}
	return in.issued || p.isEmpty(st, st.machine(name))
}

// urgency ranks an intent's order when not all may be sent at once, the most urgent first: a
// move to a pool that lacks capacity, a maintenance, a move to the spare pool.
func (st *state) urgency(in *intent) int {
	switch {
	case in.Kind == Maintain:
		return 1
	case st.pools[in.Pool].Spare:
		return 2
	}
	return 0
}

// orderWindow is the time within which Policy.OrdersPerS orders are sent at most. It exceeds a
// second, since orders take different times to reach the platform.
const orderWindow = 1100 * time.Millisecond

// orderBudget returns how many orders may be sent now.
func (p *Planner) orderBudget(now time.Time) int {
	if p.policy.OrdersPerS <= 0 {
		return math.MaxInt
	}
	for len(p.sentOrders) > 0 && now.Sub(p.sentOrders[0]) > orderWindow {
		p.sentOrders = p.sentOrders[1:]
	}
	return max(int(p.policy.OrdersPerS)-len(p.sentOrders), 0)
}

// isEmpty reports whether nothing runs on a machine and no run can start there. This holds
// for machines of the spare pool, which get no runs, and for those that are not up. A machine whose VM
// has reported ends of runs that are not stored is not empty: if its owner were lost before it has stored them, the
// next owner would start the tasks again.
func (p *Planner) isEmpty(st *state, m *machine) bool {
	if st.pools[m.Pool].Spare || m.State != site.Up {
		return true
	}
	return m.report != nil && m.report.Known && m.report.Runs == 0 && !m.report.Unstored && m.report.Cordoned
}

// HandleReply handles the reply to an order, or the error of the call.
func (p *Planner) HandleReply(now time.Time, o Order, refusal site.Refusal, err error) {
	in := p.intents[o.Machine]
	if in == nil || in.Order != o {
		return
	}
	in.awaitingReply = false
	switch {
	case err != nil:
		in.retryAt = now.Add(p.policy.RetryDelay)
	case refusal == site.Accepted:
		in.accepted, in.acceptedAt = true, now
		p.markStarted(in)
	case refusal == site.RefusedBusy:
		in.retryAt = now.Add(p.policy.RetryDelay)
		if in.Kind == Move || now.Sub(in.plannedAt) > withdrawAfter*p.policy.MoveTime {
			delete(p.intents, o.Machine) // a move is dropped at once and planned anew, a maintenance only after retries for four move times
		}
	default:
		if w := p.waves[o.Wave]; o.Kind == Maintain && w != nil {
			w.started[o.Machine] = true // any other refusal is final, such as RefusedWave: the wave must not wait for the machine
		}
		delete(p.intents, o.Machine)
	}
}

// markStarted marks a machine's maintenance as started in its wave; moves are ignored.
func (p *Planner) markStarted(in *intent) {
	if w := p.waves[in.Wave]; in.Kind == Maintain && w != nil {
		w.started[in.Machine] = true
	}
}
