package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestGangStartsAllOrNone submits a gang that fits only on two VMs. No member may start before
// all can. They must share a run number, and the success of one must complete the job.
func TestGangStartsAllOrNone(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 5, CPU: 2000, Gang: true, EstimateMS: 100}))
	assert.Equal(t, len(r.starts(10)), 0, "part of a gang was started")
	vms := []site.VM{testVM("a"), testVM("b")}
	r.s.SetVMs(at(20), vms)
	r.poll(20, "b", site.VMStatus{})
	r.flush(20)
	runs := r.starts(30)
	assert.Equal(t, len(runs), 5)
	for _, s := range runs {
		assert.Equal(t, s.Order.Run, runs[0].Order.Run)
	}
	r.poll(40, runs[0].VM, site.VMStatus{Ended: []site.RunEnd{end(1, runs[0], site.Done)}})
	r.flush(50)
	state, _ := r.s.JobState(jobID)
	assert.Equal(t, state, jobs.Completed, "the end of one member completes the gang")
}

// TestGangStaysOnOneRack submits a OneRack gang that fits on no single rack. It must wait, and
// not be spread over two racks.
func TestGangStaysOnOneRack(t *testing.T) {
	a, b := testVM("a"), testVM("b")
	b.Labels = []string{"a", "r2-1"}
	r := newFixture(t, a, b)
	r.submit(0, testJob(jobID, jobs.Step{Count: 6, CPU: 2000, Gang: true, OneRack: true, EstimateMS: 100}))
	assert.Equal(t, len(r.starts(10)), 0)
}

// TestOccurrencesStartWhenDue runs a job with three occurrences. Each must start when it is
// due, and the job must complete after the third.
func TestOccurrencesStartWhenDue(t *testing.T) {
	r := newFixture(t, testVM("a"))
	j := testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100})
	j.Repeat, j.FirstDue, j.IntervalMS = 3, start.UnixMilli()+500, 1000
	r.submit(0, j)
	seen := map[int]int{}
	var n int64
	for ms := 0; ms <= 3000; ms += 50 {
		status := site.VMStatus{}
		for _, s := range r.starts(ms) {
			seen[s.Task.Occurrence] = ms
			n++
			status.Ended = append(status.Ended, end(n, s, site.Done))
		}
		r.poll(ms, "a", status)
		r.flush(ms)
	}
	assert.DeepEqual(t, seen, map[int]int{0: 500, 1: 1500, 2: 2500})
	state, _ := r.s.JobState(jobID)
	assert.Equal(t, state, jobs.Completed)
}

// TestLabelRackAndSpread checks on which VMs tasks may run and which they prefer.
func TestLabelRackAndSpread(t *testing.T) {
	a, b := testVM("a"), testVM("b")
	b.Labels = []string{"big", "r2-1"}
	tests := []struct {
		name string
		step jobs.Step
		want map[string]int
	}{
		{"label", jobs.Step{Count: 2, CPU: 1000, Label: "big"}, map[string]int{"b": 2}},
		{"unknown label", jobs.Step{Count: 2, CPU: 1000, Label: "none"}, map[string]int{}},
		{"near its data", jobs.Step{Count: 2, CPU: 1000, Rack: "r2-1"}, map[string]int{"b": 2}},
		{"data elsewhere when full", jobs.Step{Count: 10, CPU: 1000, Rack: "r2-1"}, map[string]int{"b": 8, "a": 2}},
		{"at most one on a VM", jobs.Step{Count: 3, CPU: 1000, PerVM: 1}, map[string]int{"a": 1, "b": 1}},
		{"memory", jobs.Step{Count: 3, CPU: 100, MemMB: 5000}, map[string]int{"a": 1, "b": 1}},
		{"packed", jobs.Step{Count: 4, CPU: 1000}, map[string]int{"a": 4}},
	}
	for _, tt := range tests {
		r := newFixture(t, a, b)
		r.submit(0, testJob(jobID, tt.step))
		got := map[string]int{}
		for _, s := range r.starts(10) {
			got[s.VM]++
		}
		assert.DeepEqual(t, got, tt.want)
	}
}

// TestBestEffortTasksAreThrottled varies the tail latency of a serving task. The speed of the
// best-effort task beside it must drop when the latency is above or near its limit, and rise
// again only when it is well below.
func TestBestEffortTasksAreThrottled(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 4000, Lasts: true, TailMS: 100}))
	r.submit(0, testJob("00000000000000a2", jobs.Step{Count: 1, CPU: 8000, Fills: true, EstimateMS: 60_000}))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2, "a best-effort task needs no free core")
	speeds := func(ms, tail int) []int {
		var status site.VMStatus
		for _, s := range runs {
			x := site.Run{Task: s.Order.Task, Run: s.Order.Run, Percent: 100, Load: tail}
			if s.Task.Job != jobID {
				x.Percent, x.Load = ms/1000, 5000
			}
			status.Running = append(status.Running, x)
		}
		r.poll(ms, "a", status)
		var list []int
		for _, a := range r.s.Decide(at(ms)) {
			if p, ok := a.(ThrottleRun); ok {
				list = append(list, p.Percent)
				r.s.HandleThrottle(&p, site.Accepted, nil)
			}
		}
		return list
	}
	assert.DeepEqual(t, speeds(1000, 50), []int(nil))
	assert.DeepEqual(t, speeds(2000, 120), []int{25})
	assert.DeepEqual(t, speeds(3000, 90), []int{12})
	assert.DeepEqual(t, speeds(4000, 70), []int(nil))
	assert.DeepEqual(t, speeds(5000, 40), []int{22})
}

// TestAdviceIsRequestedOnce submits a job that needs placement advice. It must be requested
// once, and no task may start without it.
func TestAdviceIsRequestedOnce(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	j := testJob(jobID, jobs.Step{Count: 2, CPU: 1000, EstimateMS: 100})
	j.Advice = true
	r.submit(0, j)
	var asked []AskAdvice
	for ms := 10; ms <= 50; ms += 10 {
		for _, a := range r.s.Decide(at(ms)) {
			switch a := a.(type) {
			case AskAdvice:
				asked = append(asked, a)
			case StartRun:
				t.Fatalf("started without advice: %v", a)
			}
		}
	}
	assert.Equal(t, len(asked), 1)
	r.s.HandleAdvice(at(60), &asked[0], map[string]string{"b": "ticket"}, time.Second, nil)
	for _, s := range r.starts(70) {
		assert.Equal(t, s.VM, "b")
		assert.Equal(t, s.Order.Ticket, "ticket")
	}
}

// TestRunWithoutProgressIsRestarted has a run stall on a VM that answers. The run must be
// stopped soon after StallAfter, so that its task can restart.
func TestRunWithoutProgressIsRestarted(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 800}))
	first := r.starts(10)[0]
	stopped := 0
	for ms := 100; ms < 6000 && stopped == 0; ms += 100 {
		r.poll(ms, first.VM, site.VMStatus{Running: []site.Run{{Task: first.Order.Task, Run: first.Order.Run, Percent: 30}}})
		stopped = len(r.stops(ms)) * ms
	}
	limit := int(testPolicy().StallAfter.Milliseconds())
	assert.Assert(t, stopped > limit && stopped < limit+1000, "stopped after %d ms", stopped)
}

// TestVMWithStalledRunsIsQuarantined has runs of two jobs stall on one VM, which keeps
// answering. The tasks of the next job have to go elsewhere, though it has free resources.
func TestVMWithStalledRunsIsQuarantined(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob("00000000000000b1", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 800}))
	r.submit(0, testJob("00000000000000b2", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 800}))
	runs := r.starts(10)
	assert.Equal(t, runs[0].VM, runs[1].VM, "both jobs go to the fullest VM")
	stalled := site.VMStatus{}
	for _, s := range runs {
		stalled.Running = append(stalled.Running, site.Run{Task: s.Order.Task, Run: s.Order.Run, Percent: 30})
	}
	ms, stopped := 100, 0
	for ; ms < 6000 && stopped < 2; ms += 100 {
		r.poll(ms, runs[0].VM, stalled)
		r.poll(ms, map[string]string{"a": "b", "b": "a"}[runs[0].VM], site.VMStatus{})
		stopped += len(r.stops(ms))
	}
	r.submit(ms, testJob("00000000000000b3", jobs.Step{Count: 3, CPU: 1000, EstimateMS: 800}))
	starts := r.starts(ms + 10)
	assert.Equal(t, len(starts), 3)
	for _, s := range starts {
		assert.Assert(t, s.VM != runs[0].VM, "%s goes to the VM where runs stall", s.Order.Task)
	}
}

// TestLongRunningTaskEndsProbation gives a VM on probation a long-running task, which never
// ends as done. Once it has been available for as long as the quarantine, the VM has to get
// other runs again. Otherwise a task of another job waits forever (soak, seed 1120).
func TestLongRunningTaskEndsProbation(t *testing.T) {
	r := newFixture(t, testVM("a"))
	var ends []site.RunEnd
	for i, id := range []string{"00000000000000b1", "00000000000000b2", "00000000000000b3"} {
		r.submit(0, testJob(id, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 800}))
		ends = append(ends, end(int64(i+1), r.starts(10 + i)[0], site.Failed))
	}
	r.poll(20, "a", site.VMStatus{Ended: ends})
	for i := range 3 {
		r.s.Cancel(at(25), "00000000000000b"+string(rune('1'+i)))
	}
	r.submit(30, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, Lasts: true}))
	assert.Equal(t, len(r.starts(40)), 0, "the VM is quarantined")
	ms := 50 + int(testPolicy().Quarantine.Milliseconds())
	r.poll(ms, "a", site.VMStatus{})
	longRunning := r.starts(ms)
	assert.Equal(t, len(longRunning), 1)

	const other = "00000000000000a2"
	r.submit(ms, testJob(other, jobs.Step{Count: 1, CPU: 1000, Lasts: true}))
	var got []StartRun
	for end := ms + 2*int(testPolicy().Quarantine.Milliseconds()); ms < end && len(got) == 0; ms += 100 {
		r.poll(ms, "a", site.VMStatus{Running: []site.Run{{Task: longRunning[0].Order.Task, Run: longRunning[0].Order.Run, Percent: 100}}})
		got = r.starts(ms)
	}
	assert.Equal(t, len(got), 1, "the VM stays on probation")
	assert.Equal(t, got[0].Task.Job, other)
}
