package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestUnansweredStartsOfLongRunningTasks guards against stops of tasks that are at work, beside others of their step
// that are not, because the replies to their start orders were late.
func TestUnansweredStartsOfLongRunningTasks(t *testing.T) {
	const unanswered = 100 // ms
	silent := unanswered + int(testPolicy().SilentAfter.Milliseconds())
	tests := []struct {
		name    string
		lasts   bool
		polled  int // when the VMs answer a status poll; 0 if they do not
		listed  bool
		checked int // when stops are counted
		stops   int
	}{
		{"listed", true, unanswered + 10, true, silent + 100, 0},
		{"not yet polled", true, 0, false, silent - 100, 0},
		{"not listed", true, unanswered + 10, false, unanswered + 20, 2},
		{"no poll is answered", true, 0, false, silent + 100, 2},
		{"not long-running", false, 0, false, unanswered + 10, 2},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"), testVM("b"))
		step := jobs.Step{Count: 2, CPU: 1000, PerVM: 1, EstimateMS: 9000}
		if tt.lasts {
			step.Lasts, step.MayMiss = true, 1
		}
		r.submit(0, testJob(jobID, step))
		runs := r.orders(10)
		assert.Equal(t, len(runs), 2, tt.name)
		for i := range runs {
			r.s.HandleStart(at(unanswered), &runs[i], site.Accepted, errNoAnswer)
		}
		polls, stops := 0, 0
		decide := func(ms int) {
			for _, a := range r.s.Decide(at(ms)) {
				switch a.(type) {
				case PollVM:
					polls++
				case StopRun:
					stops++
				}
			}
		}
		decide(unanswered + 1)
		if tt.polled > 0 {
			for _, x := range runs {
				status := site.VMStatus{}
				if tt.listed {
					status.Running = []site.Run{running(x)}
				}
				r.poll(tt.polled, x.VM, status)
			}
		}
		decide(tt.checked)
		assert.Equal(t, stops, tt.stops, tt.name)
		assert.Equal(t, polls > 0, tt.lasts, "%s: %d polls", tt.name, polls)
	}
}
