package buffer

import (
	"math"
	"time"
)

// Trace is a demand over time, on which tests compare the planner's cost with that of
// baselines. Need, in VMs, has one row for each step and one column for each pool.
type Trace struct {
	StepMs int         `json:"step-ms"`
	Pools  []Pool      `json:"pools"` // state at the start; Need is not used
	Need   [][]float64 `json:"need"`
}

// Cost is the cost of a policy on a trace.
type Cost struct {
	Moves            int
	IdleMin          float64 // idle VM-minutes; VMs of the spare pool and VMs within an availability budget do not count
	ShortageSec      float64 // missing VM-seconds
	Weighted         float64 // sum of the costs of moves, idle and missing VMs by the weights
	BudgetViolations int     // number of steps in which a pool had fewer VMs in service than its availability budget, summed over the pools
}

// Policy returns the moves to start at one step.
type Policy func(now time.Time, pools []Pool) []Move

// Static is a baseline policy that never moves a VM.
func Static(time.Time, []Pool) []Move { return nil }

// Threshold returns a baseline policy that scales by utilisation: in each step, a pool
// gets a VM if its utilisation is above the upper bound and releases one if it is below
// the lower.
func Threshold(lower, upper float64) Policy {
	return func(_ time.Time, pools []Pool) []Move {
		spare := ""
		free := 0
		for _, pl := range pools {
			if pl.Spare {
				spare, free = pl.Name, pl.Serving-pl.MinServing
			}
		}
		var moves []Move
		for _, pl := range pools {
			utilisation := pl.Need / float64(max(pl.Serving+pl.Arriving, 1))
			switch {
			case pl.Spare:
			case utilisation > upper && free > 0:
				moves = append(moves, Move{From: spare, To: pl.Name})
				free--
			case utilisation < lower && pl.Serving > pl.MinServing:
				moves = append(moves, Move{From: pl.Name, To: spare})
			}
		}
		return moves
	}
}

// arrival is a VM that is moving to a pool.
type arrival struct {
	to   int // index of the pool
	step int // the step in which it arrives
}

// Replay simulates a policy on a trace and returns its cost. A moving VM is out of
// service for moveTime. A move that would violate the availability budget of the pool that
// the VM leaves is skipped.
func Replay(t Trace, w Weights, policy Policy) Cost {
	pools := append([]Pool(nil), t.Pools...)
	step := time.Duration(t.StepMs) * time.Millisecond
	now := time.Unix(0, 0)
	var c Cost
	var moving []arrival
	for i, need := range t.Need {
		now = now.Add(step)
		for j := range pools {
			pools[j].Need = need[j]
		}
		moving = arrive(pools, moving, i)
		c.add(pools, step)
		for _, m := range policy(now, append([]Pool(nil), pools...)) {
			from, to := poolIndex(pools, m.From), poolIndex(pools, m.To)
			if pools[from].Serving <= pools[from].MinServing {
				continue
			}
			pools[from].Serving--
			pools[to].Arriving++
			moving = append(moving, arrival{to: to, step: i + int(moveTime/step)})
			c.Moves++
		}
	}
	c.Weighted = w.total(c)
	return c
}

// arrive puts the VMs that have arrived by a step into service and returns those that are
// still moving.
func arrive(pools []Pool, moving []arrival, step int) []arrival {
	var remaining []arrival
	for _, a := range moving {
		if a.step > step {
			remaining = append(remaining, a)
			continue
		}
		pools[a.to].Arriving--
		pools[a.to].Serving++
	}
	return remaining
}

// poolIndex returns the index of the named pool, or -1.
func poolIndex(pools []Pool, name string) int {
	for i := range pools {
		if pools[i].Name == name {
			return i
		}
	}
	return -1
}

// add adds the idle and missing VMs of one step.
func (c *Cost) add(pools []Pool, step time.Duration) {
	for _, pl := range pools {
		if pl.Serving < pl.MinServing {
			c.BudgetViolations++
		}
		if pl.Spare {
			continue
		}
		serving := float64(pl.Serving)
		c.ShortageSec += max(0, math.Ceil(pl.Need)-serving) * step.Seconds()
		idle := serving - max(math.Ceil(pl.Need), float64(pl.MinServing))
		c.IdleMin += max(0, idle) * step.Minutes()
	}
}

// total returns the weighted sum of moves, idle and missing VMs.
func (w Weights) total(c Cost) float64 {
	return w.Move*float64(c.Moves) + w.IdlePerMin*c.IdleMin + w.ShortagePerSec*c.ShortageSec
}

const (
	subgradientSteps    = 300  // iterations of the subgradient ascent
	subgradientStepSize = 0.05 // price change per excess VM in the first iteration
)

// LowerBound returns a lower bound of the cost of any policy, even one that knows the
// whole trace and whose VMs move instantly. It is the bound of a Lagrangian relaxation of
// the limited number of VMs: each level above the availability budgets is optimised on its
// own, at a price per held VM and step, and the price of the VMs above the budgets is
// subtracted. A subgradient ascent raises the price of the steps in which the levels hold
// more VMs than there are, and lowers that of the others.
func LowerBound(t Trace, w Weights) float64 {
	price := make([]float64, len(t.Need))
	best := 0.0
	for iteration := range subgradientSteps {
		total, excess := relaxedCost(t, w, price)
		best = max(best, total)
		size := subgradientStepSize / math.Sqrt(float64(iteration+1))
		for i, n := range excess {
			price[i] = max(0, price[i]+size*n)
		}
	}
	return best
}

// relaxedCost returns the lower bound for the given price of each step. For each step,
// excess is the number of VMs that the levels above the availability budgets hold, minus
// the number of VMs that all pools together have above their budgets.
func relaxedCost(t Trace, w Weights, price []float64) (total float64, excess []float64) {
	excess = make([]float64, len(t.Need))
	aboveBudgets := 0
	for _, pl := range t.Pools {
		aboveBudgets += pl.Serving - pl.MinServing
	}
	for i := range excess {
		excess[i] = -float64(aboveBudgets)
		total -= price[i] * float64(aboveBudgets)
	}
	for j, pl := range t.Pools {
		if pl.Spare {
			continue
		}
		top := pl.Serving
		for _, need := range t.Need {
			top = max(top, int(math.Ceil(need[j])))
		}
		for k := pl.MinServing + 1; k <= top; k++ {
			total += cheapestLevelCost(t, w, j, k, price, excess)
		}
	}
	return total, excess
}

// cheapestLevelCost returns the cost of the cheapest sequence of states, held or not, for
// level k of pool j by dynamic programming. It adds one to excess for each step in which
// the level is held.
func cheapestLevelCost(t Trace, w Weights, j, k int, price, excess []float64) float64 {
	step := (time.Duration(t.StepMs) * time.Millisecond).Seconds()
	heldCost, notHeldCost := 0.0, math.Inf(1)
	if k > t.Pools[j].Serving {
		heldCost, notHeldCost = notHeldCost, heldCost
	}
	// switched[i] records whether the cheapest sequence in which the level is held (index 0)
	// or not held (index 1) in step i changes its state just before that step.
	switched := make([][2]bool, len(t.Need))
	for i, need := range t.Need {
		switched[i] = [2]bool{notHeldCost+w.Move < heldCost, heldCost+w.Move < notHeldCost}
		heldCost, notHeldCost = min(heldCost, notHeldCost+w.Move), min(notHeldCost, heldCost+w.Move)
		heldCost += price[i]
		if math.Ceil(need[j]) >= float64(k) {
			notHeldCost += step * w.ShortagePerSec
		} else {
			heldCost += step * w.IdlePerMin / 60
		}
	}
	isHeld := heldCost < notHeldCost
	for i := len(t.Need) - 1; i >= 0; i-- {
		if isHeld {
			excess[i]++
		}
		if isHeld && switched[i][0] || !isHeld && switched[i][1] {
			isHeld = !isHeld
		}
	}
	return min(heldCost, notHeldCost)
}
