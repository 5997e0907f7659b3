package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestLateStartIsNoStall guards against a run that is stopped as soon as it begins, and a VM that is quarantined, since
// its start order waited for longer than a run may go without progress (soak seed 7).
func TestLateStartIsNoStall(t *testing.T) {
	stall := int(testPolicy().StallAfter.Milliseconds())
	late := 10 + stall + 100
	tests := []struct {
		name    string
		answer  func(r *fixture, x *StartRun)
		checked int // ms
		stalled int // runs
	}{
		{"accepted late", func(r *fixture, x *StartRun) { r.s.HandleStart(at(late), x, site.Accepted, nil) }, late + 100, 0},
		{"listed before the answer", func(r *fixture, x *StartRun) {
			r.poll(late, x.VM, atBegin(x))
		}, late + 100, 0},
		{"no progress after that", func(r *fixture, x *StartRun) { r.s.HandleStart(at(late), x, site.Accepted, nil) }, late + stall + 100, 1},
	}
	for _, tt := range tests {
		for _, lasts := range []bool{false, true} {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100, Lasts: lasts}))
			x := r.orders(10)
			assert.Equal(t, len(x), 1, tt.name)
			tt.answer(r, &x[0])
			r.poll(tt.checked-50, x[0].VM, atBegin(&x[0]))
			r.s.Decide(at(tt.checked))
			assert.Equal(t, r.s.Stats().Stalled, tt.stalled, "%s, long-running: %t", tt.name, lasts)
			assert.Equal(t, len(r.stops(tt.checked)), tt.stalled, tt.name)
			assert.Equal(t, r.s.vms["a"].consecutiveFailures > 0, tt.stalled > 0, tt.name)
		}
	}
}

// atBegin returns the status of a VM on which a run has made no progress yet.
func atBegin(x *StartRun) site.VMStatus {
	return site.VMStatus{Running: []site.Run{{Task: x.Order.Task, Run: x.Order.Run}}}
}
