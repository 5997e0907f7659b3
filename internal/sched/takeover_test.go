package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestNoStartBeforeUnverifiedVMIsPolled has an owner die right after it started a task of a
// job without progress in the job log. The next owner must not start the task before it has
// polled the VM that may be running it.
func TestNoStartBeforeUnverifiedVMIsPolled(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
	first := r.starts(10)
	assert.Equal(t, len(first), 1)
	other := "b"
	if first[0].VM == "b" {
		other = "a"
	}
	r.takeover(100, testVM("a"), testVM("b"))
	r.poll(110, other, site.VMStatus{})
	assert.Equal(t, len(r.starts(110)), 0, "started while another VM may be running it")
	r.poll(120, first[0].VM, site.VMStatus{Running: []site.Run{running(first[0])}})
	assert.Equal(t, len(r.starts(120)), 0, "started beside the run that was adopted")
}

// TestTakeoverDelaysEvacuation has an owner lose its partition. That owner may have ordered a
// stop for an evacuation just before, and the next owner still sees the stopped task as
// available. It must not stop a task of the step until the VMs have had time to report the
// end of such a run.
func TestTakeoverDelaysEvacuation(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, PerVM: 1, Lasts: true, MayMiss: 1}))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2)
	r.takeover(100, testVM("a"), testVM("b"))
	pollAvailable := func(ms int) {
		for _, s := range runs {
			r.poll(ms, s.VM, site.VMStatus{Running: []site.Run{{Task: s.Order.Task, Run: s.Order.Run, Percent: 100}}})
		}
	}
	r.s.Cordon(at(0), "pool", []string{"a", "b"})
	grace := int(testPolicy().StopGrace.Milliseconds())
	pollAvailable(100 + grace)
	assert.Equal(t, len(r.stops(100+grace)), 0)
	pollAvailable(100 + grace + 2000) // 2000 ms exceed reportDelay in Restore
	assert.Equal(t, len(r.stops(100+grace+2000)), 1)
}

// TestHandoverLimitsWaitToPossibleVMs hands a partition over just after one of two VMs has
// failed. The next owner must delay a task only for the VMs on which the task may be running
// by the handover record: it starts a waiting task without waiting for the failed VM's
// leases, but not the task that ran there.
func TestHandoverLimitsWaitToPossibleVMs(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 8000, EstimateMS: 500}))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2)
	const waiting = "00000000000000a2"
	r.submit(20, testJob(waiting, jobs.Step{Count: 1, CPU: 2000, EstimateMS: 500}))
	assert.Equal(t, len(r.starts(30)), 0, "no VM has enough free resources")

	handOver := func(ms int) {
		r.retire(ms)
		r.takeover(ms, testVM("a"), testVM("b"))
	}
	handOver(40)
	handOver(50) // this owner has not polled the VMs, so the tasks stay unverified for the next one
	onA := runs[0]
	if onA.VM != "a" {
		onA = runs[1]
	}
	r.poll(60, "a", site.VMStatus{Ended: []site.RunEnd{{Sequence: 1, Task: onA.Order.Task, Run: onA.Order.Run, How: site.Done}}})
	r.flush(70)
	got := r.starts(80)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task.Job, waiting)

	r.takeover(90, testVM("a"), testVM("b")) // without a handover record of this owner
	r.poll(100, "a", site.VMStatus{Ended: []site.RunEnd{{Sequence: 2, Task: got[0].Order.Task, Run: got[0].Order.Run, How: site.Failed}}})
	assert.Equal(t, len(r.starts(110)), 0, "the handover record of an earlier owner was used")
}

// TestRetiredOwnerStartsNoRuns has an owner store its handover record. The owner must not
// start runs afterwards, since the record would not contain them.
func TestRetiredOwnerStartsNoRuns(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, EstimateMS: 500}))
	r.retire(5)
	assert.Assert(t, r.s.HandedOver())
	assert.Equal(t, len(r.starts(10)), 0)
}

// TestUnverifiedTaskSurvivesHandover kills an owner and lets the next one hand over before
// its first decision. The task must still be unverified for the third owner, which otherwise
// starts it a second time (fuzzing, seed 738798).
func TestUnverifiedTaskSurvivesHandover(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 1)
	r.takeover(20, testVM("a"), testVM("b"))
	r.retire(25)
	r.takeover(30, testVM("a"), testVM("b"))
	other := map[string]string{"a": "b", "b": "a"}[runs[0].VM]
	r.poll(40, other, site.VMStatus{})
	assert.Equal(t, len(r.starts(50)), 0, "started while it may be running on %s", runs[0].VM)
	r.poll(60, runs[0].VM, site.VMStatus{Running: []site.Run{{Task: runs[0].Order.Task, Run: runs[0].Order.Run}}})
	assert.Equal(t, len(r.starts(70)), 0)
}

// TestDrainedVMDoesNotDelayTakeover cordons an empty VM. The VM then leaves the VM list, as in
// a move, and the owner is killed. The next owner must not wait for the VM, which holds no
// leases.
func TestDrainedVMDoesNotDelayTakeover(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	run := r.starts(10)[0]
	other := map[string]string{"a": "b", "b": "a"}[run.VM]
	r.s.Cordon(at(0), "pool", []string{other})
	r.poll(20, other, site.VMStatus{})
	r.poll(20, run.VM, site.VMStatus{Running: []site.Run{{Task: run.Order.Task, Run: run.Order.Run}}})
	r.starts(30)
	r.flush(30) // the move is ordered only after this
	const waiting = "00000000000000a2"
	r.submit(40, testJob(waiting, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	r.takeover(50, testVM(run.VM))
	r.poll(60, run.VM, site.VMStatus{Running: []site.Run{{Task: run.Order.Task, Run: run.Order.Run}}})
	got := r.starts(70)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task.Job, waiting)
}

// TestUncordonedVMIsRecordedAgain uncordons a drained VM, which the job log no longer names.
// The VM may get a run only once the job log names it again, or the next owner would not know
// that it may hold runs.
func TestUncordonedVMIsRecordedAgain(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.s.Cordon(at(0), "pool", []string{"a"})
	r.poll(10, "a", site.VMStatus{})
	r.starts(20)
	r.flush(20)
	r.s.Cordon(at(25), "pool", nil)
	r.submit(30, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	assert.Equal(t, len(r.starts(40)), 0, "the job log does not name the VM")
	r.poll(50, "a", site.VMStatus{})
	r.flush(60)
	assert.Equal(t, len(r.starts(70)), 1)
}

// TestHandoverFollowsLastRunEnds ends tasks just before a handover, with more changes than
// fit into one flush. The handover record must not be stored before the ends are, or the
// next owner starts the tasks again (fuzzing, seed 14658484).
func TestHandoverFollowsLastRunEnds(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	run := r.starts(10)[0]
	r.submit(15, testJob("00000000000000a2", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	second := r.starts(20)[0]
	var ends []site.RunEnd
	for i, s := range []StartRun{run, second} {
		ends = append(ends, site.RunEnd{Sequence: int64(i + 1), Task: s.Order.Task, Run: s.Order.Run, How: site.Done})
	}
	r.poll(30, "a", site.VMStatus{Ended: ends})
	r.s.Retire(1 << 18)
	for ms := 40; ms < 100 && !r.s.HandedOver(); ms += 10 {
		f, err := r.s.Flush(at(ms), 2)
		assert.NilError(t, err)
		stored := map[string]bool{}
		for _, rec := range f.Records {
			r.jobLog[rec.Key] = rec.Value
			stored[rec.Key] = true
		}
		r.s.Flushed(f)
		assert.Equal(t, stored["handover"], r.s.HandedOver())
	}
	r.takeover(100, testVM("a"))
	r.poll(110, "a", site.VMStatus{})
	assert.Equal(t, len(r.starts(120)), 0, "a done task was started again")
}
