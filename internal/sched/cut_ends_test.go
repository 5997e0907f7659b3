package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestCutListOfRunEndsRestartsNoTask guards against tasks that are started again though they have ended as done:
// a VM lists a limited number of run ends at a time, and a run whose end is left out is not listed at all.
func TestCutListOfRunEndsRestartsNoTask(t *testing.T) {
	type play struct {
		*fixture
		runs []StartRun
	}
	cut := func(p *play, ms int) { // lists the end of the first run only
		p.poll(ms, "a", site.VMStatus{Ended: []site.RunEnd{end(1, p.runs[0], site.Done)}, EndsCut: true})
	}
	tests := []struct {
		name   string
		before func(p *play) // the runs of p have been started on VM a
	}{
		{"same owner", func(p *play) { cut(p, 100) }},
		{"cut list twice", func(p *play) { cut(p, 100); cut(p, 200) }},
		{"takeover after a kill", func(p *play) {
			p.takeover(50, testVM("a"), testVM("b"))
			p.poll(60, "b", site.VMStatus{})
			cut(p, 100)
		}},
		{"takeover after a handover", func(p *play) {
			p.retire(50)
			p.takeover(50, testVM("a"), testVM("b"))
			p.poll(60, "b", site.VMStatus{})
			cut(p, 100)
		}},
		{"handover by an owner that saw a cut list", func(p *play) {
			p.takeover(50, testVM("a"), testVM("b"))
			cut(p, 100)
			p.retire(110)
			p.takeover(120, testVM("a"), testVM("b"))
			p.poll(130, "b", site.VMStatus{})
			cut(p, 140)
		}},
		{"stop of a run that has ended", func(p *play) {
			for _, x := range p.runs {
				r := p.s.vms["a"].runs[x.Order.Task]
				p.s.stop(at(90), r, "test")
				p.s.HandleStop(at(95), &StopRun{VM: "a", Born: 1, Task: x.Order.Task, Run: x.Order.Run}, site.Accepted, nil)
			}
			cut(p, 100)
		}},
		{"start order without an answer", func(p *play) {
			for _, x := range p.runs {
				r := p.s.vms["a"].runs[x.Order.Task]
				r.phase, r.stopConfirmed = startUnverified, true
			}
			cut(p, 100)
		}},
		{"list stays cut for longer than a stalled run may take", func(p *play) {
			limit := int(testPolicy().StallAfter.Milliseconds())
			for ms := 100; ms < 2*limit; ms += 100 {
				cut(p, ms)
				for _, a := range p.s.Decide(at(ms)) {
					_, isStop := a.(StopRun)
					assert.Assert(p.t, !isStop, "a run that has ended is stopped as stalled")
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 3, CPU: 1000, EstimateMS: 60_000}))
			p := &play{fixture: r, runs: r.starts(10)}
			assert.Equal(t, len(p.runs), 3)
			r.s.SetVMs(at(20), []site.VM{testVM("a"), testVM("b")})
			r.poll(20, "b", site.VMStatus{})
			r.flush(20)
			tt.before(p)
			const later = 30_000
			cut(p, later)
			r.flush(later)
			r.poll(later, "b", site.VMStatus{})
			r.flush(later)
			assert.Equal(t, len(r.starts(later+10)), 0, "a task was started again while the list of run ends was cut off")
			ends := []site.RunEnd{end(2, p.runs[1], site.Done), end(3, p.runs[2], site.Done)}
			r.poll(later+20, "a", site.VMStatus{Ended: ends})
			r.flush(later + 20)
			state, _ := r.s.JobState(jobID)
			assert.Equal(t, state, jobs.Completed)
		})
	}
}

// TestRunsOfVMWithCutListRestartAfterLeases guards against tasks that wait for ever for run ends that were left
// out of a cut list, by a VM that no longer answers: the ends are void once its leases have expired.
func TestRunsOfVMWithCutListRestartAfterLeases(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, EstimateMS: 60_000}))
		runs := r.starts(10)
		vms := []site.VM{testVM("a"), testVM("b")}
		if takeover {
			r.takeover(20, vms...)
		}
		r.s.SetVMs(at(20), vms)
		const answeredAt, step = 30, 100
		r.poll(answeredAt, "a", site.VMStatus{Ended: []site.RunEnd{end(1, runs[0], site.Done)}, EndsCut: true})
		restartedAt := 0
		for ms := step; restartedAt == 0 && ms < 10_000; ms += step {
			r.poll(ms, "b", site.VMStatus{})
			r.flush(ms)
			if len(r.starts(ms)) > 0 {
				restartedAt = ms
			}
		}
		p := testPolicy()
		earliest := answeredAt + int(p.Lease.Milliseconds())
		latest := answeredAt + int((p.localDuration(p.Lease) + leaseMargin).Milliseconds()) + step
		assert.Assert(t, restartedAt > earliest && restartedAt <= latest, "takeover %t: started elsewhere after %d ms, not between %d and %d ms", takeover, restartedAt, earliest, latest)
	}
}

// TestLongRunningTaskWithUnlistedEndIsUnavailable guards against an evacuation beyond MayMiss: a task whose run
// has ended counts as unavailable also while the VM's list of run ends is cut off.
func TestLongRunningTaskWithUnlistedEndIsUnavailable(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"), testVM("c"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, PerVM: 1, Lasts: true, MayMiss: 1}))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2)
	for _, x := range runs {
		r.poll(20, x.VM, site.VMStatus{Running: []site.Run{{Task: x.Order.Task, Run: x.Order.Run, Percent: 100}}})
	}
	r.poll(30, runs[1].VM, site.VMStatus{EndsCut: true})
	r.poll(30, runs[0].VM, site.VMStatus{Running: []site.Run{{Task: runs[0].Order.Task, Run: runs[0].Order.Run, Percent: 100}}})
	r.s.Cordon(at(0), "pool", []string{runs[0].VM})
	assert.Equal(t, len(r.stops(40)), 0)
}

// TestVMWithCutListIsNotDrained guards against a move of a VM that holds ends of runs that its owner does not
// know of; the tasks would have to run again.
func TestVMWithCutListIsNotDrained(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.s.Cordon(at(0), "pool", []string{"a"})
	r.poll(10, "a", site.VMStatus{EndsCut: true})
	assert.Assert(t, !r.s.vms["a"].drained())
	r.poll(20, "a", site.VMStatus{})
	assert.Assert(t, r.s.vms["a"].drained())
}
