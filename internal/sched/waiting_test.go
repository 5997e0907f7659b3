package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestUnansweredStartLeavesJobWaiting guards against a count of waiting jobs that lacks those of which a start order was sent
// to a VM that does not answer: callers take a growing queue for a short one.
func TestUnansweredStartLeavesJobWaiting(t *testing.T) {
	tests := []struct {
		name    string
		answer  func(r *fixture, x *StartRun)
		waiting int
	}{
		{"sent", func(*fixture, *StartRun) {}, 1},
		{"not answered", func(r *fixture, x *StartRun) { r.s.HandleStart(at(600), x, 0, errNoAnswer) }, 1},
		{"accepted", func(r *fixture, x *StartRun) { r.s.HandleStart(at(20), x, site.Accepted, nil) }, 0},
		{"listed", func(r *fixture, x *StartRun) {
			r.poll(30, x.VM, site.VMStatus{Running: []site.Run{running(*x)}})
		}, 0},
		{"ended", func(r *fixture, x *StartRun) {
			r.poll(30, x.VM, site.VMStatus{Ended: []site.RunEnd{{Sequence: 1, Task: x.Order.Task, Run: x.Order.Run, How: site.Failed}}})
		}, 0},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
		assert.Equal(t, r.s.Waiting("q"), 1)
		runs := r.orders(10)
		tt.answer(r, &runs[0])
		assert.Equal(t, r.s.Waiting("q"), tt.waiting, tt.name)
	}
}
