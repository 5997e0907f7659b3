package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestFailureThatIsListedAgainCountsOnce guards against a job that is shown as failed before a task of it has failed as
// often as it may: each owner counts the ends that VMs list, some of which an earlier one has stored.
func TestFailureThatIsListedAgainCountsOnce(t *testing.T) {
	tests := []struct {
		name string
		step jobs.Step
	}{
		{"task", onePlainTask()},
		{"gang", jobs.Step{Count: 2, CPU: 1000, EstimateMS: 9000, Gang: true}},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, tt.step))
		var ends []site.RunEnd
		for i, x := range r.starts(10) {
			ends = append(ends, end(int64(i+1), x, site.Failed))
		}
		for owner := range 4 {
			ms := 100 * (owner + 1)
			r.poll(ms, "a", site.VMStatus{Ended: ends})
			r.flush(ms)
			state, known := r.s.JobState(jobID)
			assert.Assert(t, known && !state.Final(), "%s: owner %d: %s", tt.name, owner, state)
			r.takeover(ms+10, testVM("a"))
		}
	}
}

// TestFailureIsShownOnceStored guards against a job that is shown as failed by an owner that can no longer store it: the
// next one knows nothing of that and goes on.
func TestFailureIsShownOnceStored(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	j := testJob(jobID, onePlainTask())
	j.MaxAttempts = 1
	r.submit(0, j)
	x := r.starts(10)[0]
	r.poll(100, x.VM, site.VMStatus{Ended: []site.RunEnd{end(1, x, site.Failed)}})
	f, err := r.s.Flush(at(100), 1<<20)
	assert.NilError(t, err)
	state, _ := r.s.JobState(jobID)
	assert.Assert(t, !state.Final(), "shown as %s before it is stored", state)
	r.s.FlushRefused(f)
	state, _ = r.s.JobState(jobID)
	assert.Assert(t, !state.Final(), "shown as %s though the log refused it", state)
}

// TestAcceptedJobSurvivesOwners guards against an accepted job that is unknown to the next owner, which callers see as gone.
func TestAcceptedJobSurvivesOwners(t *testing.T) {
	r := newFixture(t, testVM("a"))
	assert.Assert(t, r.s.Submit(at(0), testJob(jobID, onePlainTask())).Accepted)
	_, known := r.s.JobState(jobID)
	assert.Assert(t, !known, "acknowledged before it is stored")
	r.flush(10)
	for owner := range 3 {
		r.takeover(100*(owner+1), testVM("a"))
		state, known := r.s.JobState(jobID)
		assert.Assert(t, known && !state.Final(), "owner %d", owner)
	}
}
