package moves

import (
	"math"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/surge"
)

// Costs are the costs that the planner compares, all in the same unit. Without a cost of a
// VM-second, it compares none and acts on the reports only.
type Costs struct {
	VMSecond float64 // of a VM in a pool other than the spare pool
	Move     float64 // of moving a machine
	LateJob  float64 // of a job that misses its objective
}

// enabled reports whether the planner predicts loads and compares costs.
func (c *Costs) enabled() bool { return c.VMSecond > 0 }

// worthTaking reports whether a machine should be moved for a predicted load: the jobs that would be
// late without it during a move, if the load comes, cost more than the move and the time until the
// load comes.
func (c *Costs) worthTaking(f *surge.Forecast, cores float64, moveTime time.Duration) bool {
	if f.JobWork <= 0 {
		return false
	}
	lateJobs := cores * moveTime.Seconds() / f.JobWork
	return f.Chance*lateJobs*c.LateJob > c.Move+c.VMSecond*f.Wait.Seconds()
}

// worthReturning reports whether an idle machine should leave its pool. Until it is needed again, it
// costs its VM-seconds; returning it costs a move there and one back. If that time is not known, the
// machine is returned once it has been idle for as long as a move costs, at which the total is at most
// about twice the least possible.
func (c *Costs) worthReturning(idle, quiet time.Duration) bool {
	return c.VMSecond*quiet.Seconds() > 2*c.Move || c.VMSecond*idle.Seconds() >= c.Move
}

// planningDelay is the time that a prediction must look ahead beyond a move: until the next round and the
// inventory read after the move.
const planningDelay = 300 * time.Millisecond

// need is the number of cores that a pool needs, by what they are needed for.
type need struct {
	firm     float64 // for reported load and for a peak that has begun; draws any machine that others can spare
	expected float64 // with a predicted peak that is worth moving for; draws spare and idle machines
	kept     float64 // with late jobs and those beyond their account's rate; keeps idle machines
	excess   float64 // for jobs beyond their account's rate; draws spare and idle machines after all others
	forecast surge.Forecast
}

// horizon is the time from an order until the machine gets its first run.
func (p *Planner) horizon() time.Duration { return p.policy.MoveTime + joinTime + planningDelay }

// observe updates the histories of the pools' loads with the reports.
func (p *Planner) observe(now time.Time, reports map[string]*sched.Report) {
	if !p.policy.Costs.enabled() {
		return
	}
	for pool, r := range reports {
		h := p.histories[pool]
		if h == nil {
			h = &surge.History{}
			p.histories[pool] = h
		}
		h.Observe(now, surge.Totals{Work: r.Offered, Squares: r.OfferedSquares})
	}
}

// need returns the cores that a pool needs. machine is the mean number of cores of its machines.
func (p *Planner) need(now time.Time, pool string, r *sched.Report, machine float64) need {
	firm, excess := p.demand(r), r.ExcessRate+r.Excess/p.policy.Horizon.Seconds()
	n := need{firm: firm, expected: firm, excess: firm + excess, kept: firm + excess}
	h := p.histories[pool]
	if !p.policy.Costs.enabled() || h == nil {
		return n
	}
	n.forecast = h.Forecast(now, p.horizon())
	f := &n.forecast
	rate := r.Rate - r.ExcessRate
	if f.Ended {
		rate = math.Min(rate, f.EndRate)
	}
	base := r.Lasting + p.waitingCores(r)
	predicted := f.Rate
	if r.Rate > 0 {
		predicted *= 1 - r.ExcessRate/r.Rate // the history does not tell whose jobs a peak consisted of
	}
	n.firm = base + math.Max(r.Used-r.LateUsed, rate)
	if f.Begun {
		n.firm = math.Max(n.firm, base+predicted)
	}
	n.expected = n.firm
	if f.Rate > 0 && p.policy.Costs.worthTaking(f, machine, p.policy.MoveTime) {
		n.expected = math.Max(n.expected, base+predicted)
	}
	late := r.LateUsed + r.Late/p.policy.Horizon.Seconds()
	n.excess = math.Max(n.expected, n.firm+excess)
	n.kept = math.Max(n.excess, n.firm+late)
	p.needs[pool] = n
	return n
}
