package buffer

import (
	"math"
	"time"
)

// Trace is a recorded demand: one row per step, one column per pool, in VMs.
type Trace struct {
	StepMs int         `json:"step-ms"`
	Pools  []Pool      `json:"pools"` // as they are at the start; Need is not used
	Need   [][]float64 `json:"need"`
}

// Cost is what a policy cost on a trace.
type Cost struct {
	Moves       int
	IdleMin     float64 // VM-minutes idle above the budgets, the spare pool left out
	ShortS      float64 // VM-seconds missing
	Weighted    float64
	BudgetFails int // steps in which a pool served with fewer VMs than its budget
}

// Policy returns the moves of one step.
type Policy func(now time.Time, pools []Pool) []Move

// Static never moves a VM.
func Static(time.Time, []Pool) []Move { return nil }

// Threshold is scaling by utilisation: one VM in above the upper bound, one out
// below the lower.
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
			use := pl.Need / float64(max(pl.Serving+pl.Arriving, 1))
			switch {
			case pl.Spare:
			case use > upper && free > 0:
				moves = append(moves, Move{From: spare, To: pl.Name})
				free--
			case use < lower && pl.Serving > pl.MinServing:
				moves = append(moves, Move{From: pl.Name, To: spare})
			}
		}
		return moves
	}
}

// arrival is a VM on its way.
type arrival struct {
	to   int
	step int
}

// Replay runs a policy on a trace. A VM that moves serves nowhere for moveTime.
func Replay(t Trace, w Weights, policy Policy) Cost {
	pools := append([]Pool(nil), t.Pools...)
	step := time.Duration(t.StepMs) * time.Millisecond
	now := time.Unix(0, 0)
	var c Cost
	var travel []arrival
	for i, need := range t.Need {
		now = now.Add(step)
		for j := range pools {
			pools[j].Need = need[j]
		}
		travel = arrive(pools, travel, i)
		c.add(pools, step)
		for _, m := range policy(now, append([]Pool(nil), pools...)) {
			from, to := find(pools, m.From), find(pools, m.To)
			if pools[from].Serving <= pools[from].MinServing {
				continue
			}
			pools[from].Serving--
			pools[to].Arriving++
			travel = append(travel, arrival{to: to, step: i + int(moveTime/step)})
			c.Moves++
		}
	}
	c.Weighted = w.total(c)
	return c
}

func arrive(pools []Pool, travel []arrival, step int) []arrival {
	var still []arrival
	for _, a := range travel {
		if a.step > step {
			still = append(still, a)
			continue
		}
		pools[a.to].Arriving--
		pools[a.to].Serving++
	}
	return still
}

func find(pools []Pool, name string) int {
	for i := range pools {
		if pools[i].Name == name {
			return i
		}
	}
	return -1
}

func (c *Cost) add(pools []Pool, step time.Duration) {
	for _, pl := range pools {
		if pl.Serving < pl.MinServing {
			c.BudgetFails++
		}
		if pl.Spare {
			continue
		}
		held := float64(pl.Serving)
		c.ShortS += max(0, math.Ceil(pl.Need)-held) * step.Seconds()
		idle := held - max(math.Ceil(pl.Need), float64(pl.MinServing))
		c.IdleMin += max(0, idle) * step.Minutes()
	}
}

func (w Weights) total(c Cost) float64 {
	return w.Move*float64(c.Moves) + w.IdlePerMin*c.IdleMin + w.ShortagePerSec*c.ShortS
}

const (
	boundRounds = 300 // of the ascent towards the best lower bound
	boundStep   = 0.05
)

// Optimum is a lower bound of what any policy costs that knows the whole trace
// and whose VMs move at once. Each level is chosen on its own at a price for a
// held VM that varies over time; what the price earns for the VMs that exist is
// taken off again (Lagrangian relaxation), and the prices are raised where too
// many VMs would be held.
func Optimum(t Trace, w Weights) float64 {
	price := make([]float64, len(t.Need))
	best := 0.0
	for n := range boundRounds {
		total, held := relaxed(t, w, price)
		best = max(best, total)
		size := boundStep / math.Sqrt(float64(n+1))
		for i, over := range held {
			price[i] = max(0, price[i]+size*over)
		}
	}
	return best
}

// relaxed returns the bound for some prices, and by how many VMs more are held at
// each step than exist.
func relaxed(t Trace, w Weights, price []float64) (total float64, over []float64) {
	over = make([]float64, len(t.Need))
	free := 0
	for _, pl := range t.Pools {
		free += pl.Serving - pl.MinServing
	}
	for i := range over {
		over[i] = -float64(free)
		total -= price[i] * float64(free)
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
			total += optimumOfLevel(t, w, j, k, price, over)
		}
	}
	return total, over
}

// optimumOfLevel returns the cost of the cheapest sequence of held and not held,
// and adds the steps in which the level is held.
func optimumOfLevel(t Trace, w Weights, j, k int, price, over []float64) float64 {
	step := (time.Duration(t.StepMs) * time.Millisecond).Seconds()
	held, out := 0.0, math.Inf(1)
	if k > t.Pools[j].Serving {
		held, out = out, held
	}
	came := make([][2]bool, len(t.Need)) // whether the level changed hands before the step, by its state in it: held, out
	for i, need := range t.Need {
		came[i] = [2]bool{out+w.Move < held, held+w.Move < out}
		held, out = min(held, out+w.Move), min(out, held+w.Move)
		held += price[i]
		if math.Ceil(need[j]) >= float64(k) {
			out += step * w.ShortagePerSec
		} else {
			held += step * w.IdlePerMin / 60
		}
	}
	isHeld := held < out
	for i := len(t.Need) - 1; i >= 0; i-- {
		if isHeld {
			over[i]++
		}
		if isHeld && came[i][0] || !isHeld && came[i][1] {
			isHeld = !isHeld
		}
	}
	return min(held, out)
}
