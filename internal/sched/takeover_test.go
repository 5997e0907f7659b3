package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestNoStartBeforeUnverifiedVMIsPolled has an owner die right after a task of a job
// without progress in the log was started. The next owner must not start the task
// before it has looked at the VM that may run it.
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
	assert.Equal(t, len(r.starts(110)), 0, "started while another VM may run it")
	r.poll(120, first[0].VM, site.VMStatus{Running: []site.Run{running(first[0])}})
	assert.Equal(t, len(r.starts(120)), 0, "started beside the run that was taken over")
}

// TestTakeoverDelaysEvacuation has an owner stop a task for an evacuation
// and lose its partition. The next one sees the task still at work and must not stop
// another of the step before the end has had time to show.
func TestTakeoverDelaysEvacuation(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, PerVM: 1, Lasts: true, MayMiss: 1}))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2)
	r.takeover(100, testVM("a"), testVM("b"))
	atWork := func(ms int) {
		for _, s := range runs {
			r.poll(ms, s.VM, site.VMStatus{Running: []site.Run{{Task: s.Order.Task, Run: s.Order.Run, Percent: 100}}})
		}
	}
	r.s.Cordon("pool", []string{"a", "b"})
	grace := int(testPolicy().StopGrace.Milliseconds())
	atWork(100 + grace)
	assert.Equal(t, len(r.stops(100+grace)), 0)
	atWork(100 + grace + 2000)
	assert.Equal(t, len(r.stops(100+grace+2000)), 1)
}

// TestHandoverLimitsWaitToPossibleVMs has an owner leave in order while one of
// two VMs has just failed. A waiting task starts at the next owner without waiting for
// the failed VM's leases, the task that ran there does not.
func TestHandoverLimitsWaitToPossibleVMs(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 8000, EstimateMS: 500}))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2)
	const waiting = "00000000000000a2"
	r.submit(20, testJob(waiting, jobs.Step{Count: 1, CPU: 2000, EstimateMS: 500}))
	assert.Equal(t, len(r.starts(30)), 0, "there is no room")

	hand := func(ms int) {
		r.retire(ms)
		r.takeover(ms, testVM("a"), testVM("b"))
	}
	hand(40)
	hand(50) // the doubt is handed on
	onA := runs[0]
	if onA.VM != "a" {
		onA = runs[1]
	}
	r.poll(60, "a", site.VMStatus{Ended: []site.RunEnd{{Sequence: 1, Task: onA.Order.Task, Run: onA.Order.Run, How: site.Done}}})
	r.flush(70)
	got := r.starts(80)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task.Job, waiting)

	r.takeover(90, testVM("a"), testVM("b")) // without a record of this owner
	r.poll(100, "a", site.VMStatus{Ended: []site.RunEnd{{Sequence: 2, Task: got[0].Order.Task, Run: got[0].Order.Run, How: site.Failed}}})
	assert.Equal(t, len(r.starts(110)), 0, "the record of an earlier owner counts")
}

// TestRetiredOwnerDecidesNothing keeps an owner that has told the next one what is
// under way from starting more.
func TestRetiredOwnerDecidesNothing(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, EstimateMS: 500}))
	r.retire(5)
	assert.Assert(t, r.s.HandedOver())
	assert.Equal(t, len(r.starts(10)), 0)
}

// TestUnverifiedTaskSurvivesHandover has an owner killed, the next one leave
// before its first decision, and a third one. The task is still in doubt there: fuzzing
// (seed 738798) had it started twice.
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
	assert.Equal(t, len(r.starts(50)), 0, "it starts while it may run on %s", runs[0].VM)
	r.poll(60, runs[0].VM, site.VMStatus{Running: []site.Run{{Task: runs[0].Order.Task, Run: runs[0].Order.Run}}})
	assert.Equal(t, len(r.starts(70)), 0)
}

// TestDrainedVMDoesNotDelayTakeover has a VM emptied and moved away just before its owner
// is killed. The next owner need not wait for leases that the VM does not have.
func TestDrainedVMDoesNotDelayTakeover(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	run := r.starts(10)[0]
	other := map[string]string{"a": "b", "b": "a"}[run.VM]
	r.s.Cordon("pool", []string{other})
	r.poll(20, other, site.VMStatus{})
	r.poll(20, run.VM, site.VMStatus{Running: []site.Run{{Task: run.Order.Task, Run: run.Order.Run}}})
	r.starts(30)
	r.flush(30) // the mover's order comes after it
	const waiting = "00000000000000a2"
	r.submit(40, testJob(waiting, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	r.takeover(50, testVM(run.VM))
	r.poll(60, run.VM, site.VMStatus{Running: []site.Run{{Task: run.Order.Task, Run: run.Order.Run}}})
	got := r.starts(70)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task.Job, waiting)
}

// TestUncordonedVMIsRecordedAgain has a cordon end. The VM gets a run only once the job log
// names it again.
func TestUncordonedVMIsRecordedAgain(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.s.Cordon("pool", []string{"a"})
	r.poll(10, "a", site.VMStatus{})
	r.starts(20)
	r.flush(20)
	r.s.Uncordon()
	r.submit(30, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	assert.Equal(t, len(r.starts(40)), 0, "the job log does not name the VM")
	r.poll(50, "a", site.VMStatus{})
	r.flush(60)
	assert.Equal(t, len(r.starts(70)), 1)
}

// TestHandoverFollowsLastRunEnds has a task end just before its owner leaves, when more
// has changed than one flush takes. The word for the next owner is not stored before the
// end is: fuzzing (seed 14658484) had the task start again.
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
			r.table[rec.Key] = rec.Value
			stored[rec.Key] = true
		}
		r.s.Flushed(f)
		assert.Equal(t, stored["handover"], r.s.HandedOver())
	}
	r.takeover(100, testVM("a"))
	r.poll(110, "a", site.VMStatus{})
	assert.Equal(t, len(r.starts(120)), 0, "a task that is done starts again")
}
