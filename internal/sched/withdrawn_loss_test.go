package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestLossOfVMThatAnswersAgainIsWithdrawn guards against a long-running task that is taken for one that crashes its VMs, since
// they were cut off and returned to an owner that did not remember that.
func TestLossOfVMThatAnswersAgainIsWithdrawn(t *testing.T) {
	a := testVM("a")
	const expired = 5000 // ms
	tests := []struct {
		name    string
		back    func(r *fixture)
		crashes int
	}{
		{"to the same owner", func(r *fixture) { r.poll(6000, "a", site.VMStatus{}) }, 0},
		{"to the next owner", func(r *fixture) {
			r.takeover(6000, a)
			r.poll(6010, "a", site.VMStatus{})
		}, 0},
		{"after it was not listed", func(r *fixture) {
			r.s.SetVMs(at(5500), nil)
			r.rounds(5500, 5700)
			r.s.SetVMs(at(5900), []site.VM{a})
			r.poll(6000, "a", site.VMStatus{})
		}, 0},
		{"restarted, to the next owner", func(r *fixture) {
			r.takeover(6000, a)
			r.s.HandlePoll(at(6010), "a", at(6010), &site.VMStatus{Born: 2, ClockMS: 10})
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, a)
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, Lasts: true, MayMiss: 1}))
			run := r.starts(10)[0]
			r.poll(30, "a", site.VMStatus{Running: []site.Run{running(run)}})
			r.flush(40)
			r.rounds(1000, expired)
			task := func() *task { return r.s.jobs[jobID].findTask(jobs.TaskID{Job: jobID}) }
			assert.Equal(t, len(task().crashes), 1)
			tt.back(r)
			assert.Equal(t, len(task().crashes), tt.crashes)
		})
	}
}
