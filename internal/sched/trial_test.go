package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/blame"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// pollRuns has a VM list all runs that the scheduler has there.
func (r *fixture) pollRuns(ms int, vm string) {
	var status site.VMStatus
	for task, x := range r.s.vms[vm].runs {
		status.Running = append(status.Running, site.Run{Task: task, Run: x.number, Percent: 100})
	}
	r.poll(ms, vm, status)
}

// suspect gives the first task of a job a record of one crash, of a VM of its own.
func (r *fixture) suspect(ms int, id string) *task {
	t := r.s.jobs[id].findTask(jobs.TaskID{Job: id})
	t.crashes, t.suspectSince = blame.Record{{VM: "gone-" + id, Born: 1, Age: 10 * time.Millisecond, Share: 0.5}}, at(ms)
	r.s.losses.suspects[t] = true
	return t
}

// TestSuspectWaitsWhilePoolIsFull guards against a suspect that takes a VM from waiting tasks, and against a
// long-running one that is missed meanwhile.
func TestSuspectWaitsWhilePoolIsFull(t *testing.T) {
	const suspect, waiting = "00000000000000b1", "00000000000000b2"
	for _, lasts := range []bool{false, true} {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 7, CPU: 1000, EstimateMS: 1000}))
		r.submit(0, testJob(waiting, jobs.Step{Count: 1, CPU: 2000, EstimateMS: 1000}))
		assert.Equal(t, len(r.starts(10)), 7)
		r.submit(20, testJob(suspect, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000, Lasts: lasts, MayMiss: 1}))
		r.suspect(20, suspect)
		r.pollRuns(30, "a")
		assert.Equal(t, len(r.starts(30)) == 1, lasts)
		r.s.Cancel(at(40), waiting)
		r.pollRuns(400, "a")
		assert.Equal(t, len(r.starts(400)) == 1, !lasts, "the pool has room")
	}
}

// TestSuspectWaitsNotForEver guards against a suspect that is never started since its pool stays full.
func TestSuspectWaitsNotForEver(t *testing.T) {
	const suspect, waiting = "00000000000000b1", "00000000000000b2"
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 7, CPU: 1000, EstimateMS: 60_000}))
	r.submit(0, testJob(waiting, jobs.Step{Count: 1, CPU: 2000, EstimateMS: 60_000}))
	assert.Equal(t, len(r.starts(10)), 7)
	r.submit(20, testJob(suspect, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
	r.suspect(20, suspect)
	patience := int(fullPatience.Milliseconds())
	for ms := 100; ms < patience; ms += 100 {
		r.pollRuns(ms, "a")
		assert.Equal(t, len(r.starts(ms)), 0)
	}
	r.pollRuns(patience+100, "a")
	assert.Equal(t, len(r.starts(patience+100)), 1)
}

// TestTrialLeavesNoDoubt guards against a suspect that is tried beside a run that has just started: a crash would
// not tell which of them caused it.
func TestTrialLeavesNoDoubt(t *testing.T) {
	const old, young, suspect = "00000000000000b1", "00000000000000b2", "00000000000000b3"
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(old, jobs.Step{Count: 5, CPU: 1000, EstimateMS: 9000}))
	oldVM := r.starts(10)[0].VM
	r.submit(900, testJob(young, jobs.Step{Count: 1, CPU: 4000, EstimateMS: 9000}))
	r.pollRuns(900, "a")
	r.pollRuns(900, "b")
	youngVM := r.starts(910)[0].VM
	assert.Assert(t, youngVM != oldVM)
	r.submit(950, testJob(suspect, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
	r.suspect(950, suspect)
	assert.Equal(t, r.starts(960)[0].VM, oldVM)
}

// TestNothingIsStartedBesideSuspect guards against runs that are lost with a suspect that has not proved itself,
// and against a VM that stays reserved for it afterwards.
func TestNothingIsStartedBesideSuspect(t *testing.T) {
	const suspect, other = "00000000000000b1", "00000000000000b2"
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(suspect, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
	x := r.suspect(0, suspect)
	assert.Equal(t, len(r.starts(10)), 1)
	r.submit(20, testJob(other, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
	assert.Equal(t, len(r.starts(30)), 0)
	polled := false
	for _, a := range r.s.Decide(at(100)) {
		_, isPoll := a.(PollVM)
		polled = polled || isPoll
	}
	assert.Assert(t, polled, "the VM is not asked whether it has outlived the suspect")
	r.pollRuns(110, "a")
	assert.Equal(t, len(x.crashes), 0)
	assert.Equal(t, len(r.starts(120)), 1)
}
