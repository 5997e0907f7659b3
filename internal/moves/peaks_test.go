package moves

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

var (
	smallJobs  = peakShape{tasks: 8, cores: 2, task: 300 * time.Millisecond}  // 14 core-seconds on average
	mediumJobs = peakShape{tasks: 8, cores: 4, task: 300 * time.Millisecond}  // 29
	largeJobs  = peakShape{tasks: 16, cores: 4, task: 600 * time.Millisecond} // 115 core-seconds
)

const (
	peakStep   = 50 * time.Millisecond
	peakCores  = 32
	peakTries  = 4
	peakMaxAge = 3 * time.Second
)

// inTurn returns the loads of n pools that peak one after the other for the given time each:
// factor times the mean in the peak and a twentieth of it otherwise.
func inTurn(n int, mean, factor, seconds float64) []func(float64) float64 {
	list := make([]func(float64) float64, n)
	for i := range list {
		list[i] = func(t float64) float64 {
			if int(t/seconds)%n == i {
				return mean * factor
			}
			return mean / 20
		}
	}
	return list
}

func costPolicy() Policy {
	p := DefaultPolicy(moveDuration, 215)
	p.Costs = Costs{VMSecond: 0.027, Move: 0.03, LateJob: 1}
	return p
}

// Loads of quarterSite: pools with a mean of 250 cores.
const (
	peakMean   = 250.0
	peakFactor = 4.5
)

// quarterSite is a quarter of a fleet of 350 VMs in four pools and a spare pool.
func quarterSite(policy Policy, loads []func(float64) float64) *peakSite {
	policy.OrdersPerS = 54
	return newPeakSite(1, policy, []int{16, 18, 19, 21}, 14, loads)
}

// inOrder returns the loads of four pools that peak one after the other, as listed.
func inOrder(peaks []turn) []func(float64) float64 {
	list := make([]func(float64) float64, 4)
	for i := range list {
		list[i] = func(t float64) float64 {
			for _, p := range peaks {
				if t -= p.seconds; t < 0 {
					if p.pool == i {
						return peakMean * p.factor
					}
					break
				}
			}
			return peakMean / 20
		}
	}
	return list
}

// turn is a time in which one pool peaks.
type turn struct {
	pool            int
	seconds, factor float64
}

func turns(n int, of func(i int) turn) []turn {
	list := make([]turn, n)
	for i := range list {
		list[i] = of(i)
	}
	return list
}

// TestPeaksAreServedBetter guards against rules that save VM-seconds at the expense of the
// callers, or the other way round. It compares the planner with costs to the one without: jobs on time, mean
// wait and VM-seconds, in the second half of the time, when the past shows what can be predicted.
func TestPeaksAreServedBetter(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	last := 0
	shuffled := turns(40, func(int) turn {
		last = (last + 1 + rng.IntN(3)) % 4
		return turn{last, 4.5, peakFactor}
	})
	steady := func(float64) float64 { return peakMean }
	tests := []struct {
		name   string
		loads  []func(float64) float64
		onTime float64 // least gain in the share of jobs on time
		vms    float64 // largest ratio of the VM-seconds
	}{
		{"peaks of 4.5 s in turn", inTurn(4, peakMean, peakFactor, 4.5), 0.1, 1.05},
		{"peaks of 7 s in turn", inTurn(4, peakMean, peakFactor, 7), 0.01, 1.05}, // the rhythm is known from 56 s on,
		{"drifting peaks", inOrder(turns(60, func(i int) turn { return turn{i % 4, 4 + 0.05*float64(i), peakFactor} })), 0.1, 1.1},
		{"peaks in no order", inOrder(shuffled), 0, 1.05},
		{"change of rhythm", inOrder(turns(60, func(i int) turn { return turn{i % 4, []float64{4.5, 6}[min(i/16, 1)], peakFactor} })), 0, 1.25},
		{"no peaks", []func(float64) float64{steady, steady, steady, steady}, -0.01, 1.05},
		{"one flood", []func(float64) float64{steady, steady, steady, func(t float64) float64 {
			if t > 60 && t < 66 {
				return 7 * peakMean
			}
			return peakMean
		}}, -0.01, 1.05},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			type result struct{ onTime, wait, vmSeconds, cost float64 }
			costs := costPolicy().Costs
			run := func(policy Policy) result {
				s := quarterSite(policy, tt.loads)
				s.shape = mediumJobs
				s.play(54 * time.Second)
				jobs, onTime, vmTime, moves := s.jobs, s.onTime, s.inPools, s.moveCount
				s.waits = nil
				s.play(45 * time.Second)
				jobs, onTime, vmTime, moves = s.jobs-jobs, s.onTime-onTime, s.inPools-vmTime, s.moveCount-moves
				cost := costs.VMSecond*vmTime.Seconds() + costs.Move*float64(moves) + costs.LateJob*float64(jobs-onTime)
				return result{float64(onTime) / float64(jobs), s.meanWait(), vmTime.Seconds(), cost}
			}
			before, after := run(DefaultPolicy(moveDuration, 0)), run(costPolicy())
			t.Logf("on time %.3f before, %.3f after; mean wait %.2f s, %.2f s; VM-seconds %.0f, %.0f; cost %.0f, %.0f", before.onTime, after.onTime, before.wait, after.wait, before.vmSeconds, after.vmSeconds, before.cost, after.cost)
			assert.Assert(t, after.onTime >= before.onTime+tt.onTime)
			assert.Assert(t, after.wait <= 1.03*before.wait)
			assert.Assert(t, after.vmSeconds <= tt.vms*before.vmSeconds)
			assert.Assert(t, after.cost <= 1.03*before.cost)
		})
	}
}

// TestPeakFindsItsVMs guards against VMs that arrive after the callers have given up: once the past
// shows the onsets, the planner wants nine tenths of the offered load within 300 ms of an onset, while the
// report shows it later, and the pool has nine tenths of the VMs that it comes to need within a move's time
// and half a second, where they stand idle.
func TestPeakFindsItsVMs(t *testing.T) {
	for _, shape := range []peakShape{smallJobs, largeJobs} {
		s := quarterSite(costPolicy(), inTurn(4, peakMean, peakFactor, 4.5))
		s.shape = shape
		for i := range 40 { // VMs enough to stand idle
			name := fmt.Sprintf("more%02d", i)
			s.view.Machines = append(s.view.Machines, site.Machine{Name: name, Pool: "spare", CPU: peakCores * 1000, State: site.Up, VM: name})
		}
		s.play(90 * time.Second)
		const cycle, within, offered = 18 * time.Second, moveDuration + 500*time.Millisecond, 0.9 * peakMean * peakFactor
		for range 2 {
			onset, had, needed := s.now, 0, 0.0
			var wantedAt, reportedAt time.Duration
			s.onRound = func() {
				since, sum, r := s.now.Sub(onset), s.planner.Summary(&s.view)[0], s.view.Reports["a"]
				if since > 4500*time.Millisecond {
					return
				}
				needed = math.Max(needed, (sum.Used-r.LateUsed)/peakCores)
				if since <= within {
					had = sum.Machines
				}
				if wantedAt == 0 && math.Max(sum.Wanted, sum.Expected) >= offered {
					wantedAt = since
				}
				if reportedAt == 0 && r.Rate >= offered {
					reportedAt = since
				}
			}
			s.play(cycle)
			t.Logf("jobs of %.0f core-seconds: offered load wanted %v and reported %v after the onset; %d VMs after %v, %.0f needed", shape.work(shape.tasks), wantedAt, reportedAt, had, within, needed)
			assert.Assert(t, wantedAt <= 300*time.Millisecond)
			assert.Assert(t, float64(had) >= 0.9*needed)
		}
	}
}
