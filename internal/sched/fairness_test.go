package sched

import (
	"container/heap"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// add adds a call at a time, whose tasks run for the given time.
func (o *overload) add(ms, actualMS int, j *jobs.Job) {
	j.Stretch, j.TargetMS, j.SubmittedMS = 1.6, 600, at(ms).UnixMilli()
	o.actualMS[j.ID], o.first[j.ID] = actualMS, at(ms)
	actual := *j
	actual.Steps = nil
	for _, st := range j.Steps {
		st.EstimateMS = int64(actualMS)
		actual.Steps = append(actual.Steps, st)
	}
	o.objMS[j.ID] = float64(actual.Objective().Milliseconds())
	heap.Push(&o.calls, call{at: at(ms), job: j})
}

// TestNoRefusalWhileCoresAreIdle guards against refusals of jobs that could begin at once, as admission
// made them when it compared waiting work with the work that idle cores do in the declared task time of
// the new job: with declared times that are too short, with parallel steps, and with long chains of
// narrow steps, whose later steps occupy no cores yet. The demand has peaks of four times the mean.
func TestNoRefusalWhileCoresAreIdle(t *testing.T) {
	chain := func(declared int64) []jobs.Step {
		var steps []jobs.Step
		for i := range 5 {
			st := jobs.Step{Count: 4, CPU: 1000, MemMB: 10, EstimateMS: declared}
			if i > 0 {
				st.After = []int{i - 1}
			}
			steps = append(steps, st)
		}
		return steps
	}
	parallel := func(declared int64) []jobs.Step {
		var steps []jobs.Step
		for range 4 {
			steps = append(steps, jobs.Step{Count: 5, CPU: 1000, MemMB: 10, EstimateMS: declared})
		}
		return steps
	}
	exact := func(*overload) float64 { return 1 }
	wrong := func(o *overload) float64 { return 0.1 + 1.8*o.rnd.Float64() }
	tooShort := func(*overload) float64 { return 0.4 }
	tests := []struct {
		name    string
		factor  func(o *overload) float64 // of the declared on the actual run time
		steps   []func(declared int64) []jobs.Step
		flushMS int
	}{
		{"chains", exact, []func(int64) []jobs.Step{chain}, 0},
		{"parallel steps", exact, []func(int64) []jobs.Step{parallel}, 0},
		{"declared times wrong by 0.9", wrong, []func(int64) []jobs.Step{parallel, chain}, 0},
		{"declared times too short", tooShort, []func(int64) []jobs.Step{parallel, chain}, 0},
		{"a slow job log", exact, []func(int64) []jobs.Step{parallel, chain}, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const jobWork = 20.0 // core-seconds
			const seconds = 20
			capacity := float64(overloadVMs*8) / jobWork // jobs per second
			o := newOverload(t)
			o.flushMS = tt.flushMS
			for ms := 0.0; ms < seconds*1000; {
				rate := 0.25 * capacity
				if int(ms)%5000 < 1500 {
					rate = 2.5 * capacity
				}
				ms += o.rnd.ExpFloat64() * 1000 / rate
				actual := 700 + o.rnd.IntN(600)
				steps := tt.steps[o.rnd.IntN(len(tt.steps))](int64(float64(actual) * tt.factor(o)))
				o.add(int(ms), actual, testJob(fmt.Sprintf("%016x", len(o.first)+1), steps...))
			}
			o.play(60_000)
			late := o.late()
			t.Logf("%d jobs: %d in time, %d accepted in time and late, %d refused, %d refusals, %d while cores were idle", len(o.first), o.count("in-time"), late, o.count("refused"), len(o.refusals), o.idleRefusals)
			assert.Equal(t, o.idleRefusals, 0)
			if tt.flushMS == 0 {
				assert.Equal(t, o.idleWaits, 0)
			}
			assert.Assert(t, late <= len(o.first)*15/100, "%d accepted jobs end late", late)
		})
	}
}

// late counts the jobs that were accepted when they could still meet their objective, and ended late.
func (o *overload) late() int {
	n := 0
	for id, x := range o.outcome {
		if x == "late" && !o.overdue[id] {
			n++
		}
	}
	return n
}
