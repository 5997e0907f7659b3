package buffer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/fuzz"
)

// TestMain sets the defaults for rapid: 300 checks per property, with 60 steps on average.
func TestMain(m *testing.M) { fuzz.Main(m, 300, 60) }

// Weights of the two sites that the demo simulates.
var (
	institute = Weights{Move: 20, IdlePerMin: 1, ShortagePerSec: 2}
	zelena    = Weights{Move: 2, IdlePerMin: 5, ShortagePerSec: 2}
)

// bursts returns the demand pattern of both sites. Each pool has a burst in turn: it then
// needs five times its mean demand, 13 VMs, which is 1.3 times the 10 VMs that it holds.
// Between its bursts it needs a twentieth of its mean demand.
func bursts(seed uint64, minutes, burstSeconds float64) Trace {
	t := Trace{StepMs: 250}
	rnd := rand.New(rand.NewPCG(seed, 0))
	for i := range 5 {
		t.Pools = append(t.Pools, Pool{Name: fmt.Sprintf("p%d", i), Spare: i == 4, Serving: 10, MinServing: 4})
	}
	for at := 0.0; at < minutes*60; at += 0.25 {
		row := make([]float64, 5)
		for i := range row {
			row[i] = 13.0 / 100 * (0.8 + 0.4*rnd.Float64())
			if int(at/burstSeconds)%5 == i {
				row[i] = 13 * (0.95 + 0.1*rnd.Float64())
			}
		}
		t.Need = append(t.Need, row)
	}
	return t
}

// shift returns a demand that rises in one pool halfway through and stays there.
func shift() Trace {
	t := bursts(1, 10, 6)
	for i := range t.Need {
		for j := range t.Need[i] {
			t.Need[i][j] = 6.5
			if j == 0 && i > len(t.Need)/2 {
				t.Need[i][j] = 11.5
			}
		}
	}
	return t
}

// replays are the demand patterns, each with the weights of either site.
var replays = []struct {
	name  string
	trace Trace
	w     Weights
}{
	{"institute, bursts", bursts(1, 10, 6), institute},
	{"zelena, bursts", bursts(1, 10, 6), zelena},
	{"institute, long bursts", bursts(2, 20, 60), institute},
	{"zelena, long bursts", bursts(2, 20, 60), zelena},
	{"institute, shift", shift(), institute},
	{"zelena, shift", shift(), zelena},
}

// TestCostBelowBaselines guards against a planner that costs over 5 percent more than fixed
// pools or scaling by utilisation, or that violates an availability budget.
func TestCostBelowBaselines(t *testing.T) {
	for _, tt := range replays {
		t.Run(tt.name, func(t *testing.T) {
			planner := Replay(tt.trace, tt.w, NewPlanner(tt.w).Plan)
			static := Replay(tt.trace, tt.w, Static)
			threshold := Replay(tt.trace, tt.w, Threshold(0.3, 0.8))
			t.Logf("planner %+v, static %+v, threshold %+v", planner, static, threshold)
			assert.Equal(t, planner.BudgetViolations, 0)
			assert.Assert(t, planner.Weighted <= 1.05*min(static.Weighted, threshold.Weighted), "a baseline is cheaper")
		})
	}
}

// TestCostNearOptimum checks the goal that the planner costs at most 1.2 times the lower
// bound of any policy's cost, even of one that knows the whole demand.
func TestCostNearOptimum(t *testing.T) {
	for _, tt := range replays {
		t.Run(tt.name, func(t *testing.T) {
			lowerBound := LowerBound(tt.trace, tt.w)
			c := Replay(tt.trace, tt.w, NewPlanner(tt.w).Plan)
			assert.Check(t, c.Weighted <= 1.2*lowerBound, "%.2f times the lower bound of %.0f", c.Weighted/lowerBound, lowerBound)
		})
	}
}

// TestPeriodicDemandIsMetAhead guards against VMs that arrive only after a periodic demand
// has risen. A pool needs two more VMs for 10 s in every 60 s. After two equal intervals
// without this demand, the VMs must be in service before the demand rises again.
func TestPeriodicDemandIsMetAhead(t *testing.T) {
	tr := Trace{StepMs: 250, Pools: []Pool{{Name: "p", Serving: 2, MinServing: 2}, {Name: "spare", Spare: true, Serving: 4}}}
	for step := range 4 * 60 * 5 {
		need := 2.0
		if step/4%60 >= 50 {
			need = 4
		}
		tr.Need = append(tr.Need, []float64{need, 0})
	}
	missing := make([]float64, 5) // VM-seconds, by period of 240 steps
	p := NewPlanner(zelena)
	step := 0
	Replay(tr, zelena, func(now time.Time, pools []Pool) []Move {
		missing[step/240] += max(0, pools[0].Need-float64(pools[0].Serving)) / 4
		step++
		return p.Plan(now, pools)
	})
	assert.Assert(t, missing[0] > 0, "no VM is missing in the first period, which cannot be predicted")
	for period := 3; period < 5; period++ {
		assert.Equal(t, missing[period], 0.0, "VM-seconds missing in period %d", period)
	}
}

// TestVMComesFromThePoolThatNeedsItLast guards against taking a VM from a pool that soon
// needs it again, while another pool has an idle VM for longer. It also guards against
// taking a VM from a donor for a request that does not allow donors.
func TestVMComesFromThePoolThatNeedsItLast(t *testing.T) {
	r := round{requests: []request{{"c", true}}, donors: []donor{{"a", time.Unix(10, 0)}, {"b", time.Unix(20, 0)}}}
	assert.DeepEqual(t, r.match(Pool{Name: "spare", Spare: true}), []Move{{From: "b", To: "c"}})
	r = round{requests: []request{{"c", false}}, donors: []donor{{"a", time.Unix(10, 0)}}}
	assert.Equal(t, len(r.match(Pool{Name: "spare", Spare: true})), 0, "the request was filled from a donor although it does not allow that")
}

// TestPlanKeepsBudgets guards against moves that violate an availability budget, for
// random demands and budgets.
func TestPlanKeepsBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := Trace{StepMs: 250}
		for i := range 4 {
			budget := rapid.IntRange(0, 6).Draw(t, "budget")
			tr.Pools = append(tr.Pools, Pool{Name: fmt.Sprint(i), Spare: i == 0, Serving: budget + rapid.IntRange(0, 6).Draw(t, "more"), MinServing: budget})
		}
		for range 60 {
			row := make([]float64, 4)
			for j := range row {
				row[j] = rapid.Float64Range(0, 20).Draw(t, "need")
			}
			tr.Need = append(tr.Need, row)
		}
		w := Weights{Move: 0.1, IdlePerMin: 60, ShortagePerSec: 1}
		c := Replay(tr, w, func(now time.Time, pools []Pool) []Move {
			moves := NewPlanner(w).Plan(now, pools)
			assert.Assert(t, len(moves) <= maxMovesPerRound)
			return moves
		})
		assert.Equal(t, c.BudgetViolations, 0)
		assert.Assert(t, !math.IsNaN(c.Weighted))
	})
}

func BenchmarkPlan(b *testing.B) {
	// 186 pools of 145 VMs are about 27000 VMs.
	for _, n := range []int{5, 186} {
		b.Run(fmt.Sprintf("pools-%d", n), func(b *testing.B) {
			var pools []Pool
			for i := range n {
				pools = append(pools, Pool{Name: fmt.Sprint(i), Spare: i == 0, Serving: 145, MinServing: 100, Need: 120})
			}
			p := NewPlanner(zelena)
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				p.Plan(now, pools)
			}
		})
	}
}
