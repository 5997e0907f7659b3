package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// pollRunning has each VM report all runs that the scheduler has there as running.
func (r *fixture) pollRunning(ms int, vms ...string) {
	for _, vm := range vms {
		var status site.VMStatus
		for task, x := range r.s.vms[vm].runs {
			percent := 0
			if x.step().Lasts {
				percent = 100
			}
			status.Running = append(status.Running, site.Run{Task: task, Run: x.number, Percent: percent})
		}
		r.poll(ms, vm, status)
	}
}

// TestLongRunningTasksThatCannotFitReserveNothing guards against jobs that are accepted and never start: room
// for a long-running task was reserved on VMs where only long-running tasks, which never end, were in its way.
func TestLongRunningTasksThatCannotFitReserveNothing(t *testing.T) {
	gpuVM := func(id string) site.VM {
		v := testVM(id)
		v.GPU = 4
		return v
	}
	tests := []struct {
		name     string
		there    jobs.Step // one on each VM
		waiting  jobs.Step // two jobs of it
		takeover bool
		shrink   bool // the VMs lose half of their cores before the jobs come
	}{
		{name: "cores", there: jobs.Step{CPU: 3000}, waiting: jobs.Step{CPU: 6000}},
		{name: "memory", there: jobs.Step{CPU: 100, MemMB: 5000}, waiting: jobs.Step{CPU: 100, MemMB: 5000}},
		{name: "accelerators", there: jobs.Step{CPU: 100, GPU: 2}, waiting: jobs.Step{CPU: 100, GPU: 3}},
		{name: "best-effort task and memory", there: jobs.Step{CPU: 8000, MemMB: 5000, Fills: true}, waiting: jobs.Step{CPU: 100, MemMB: 5000}},
		{name: "label of no VM", there: jobs.Step{CPU: 1000}, waiting: jobs.Step{CPU: 1000, Label: "z"}},
		{name: "tasks of the step on each VM", there: jobs.Step{CPU: 1000}, waiting: jobs.Step{Count: 3, CPU: 1000, PerVM: 1}},
		{name: "takeover", there: jobs.Step{CPU: 3000}, waiting: jobs.Step{CPU: 6000}, takeover: true},
		{name: "VMs with less room", there: jobs.Step{CPU: 2000}, waiting: jobs.Step{CPU: 5000}, shrink: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			vms := []site.VM{gpuVM("a"), gpuVM("b")}
			r := newFixture(t, vms...)
			tt.there.Lasts, tt.there.Count, tt.there.PerVM, tt.there.MayMiss = true, 2, 1, 1
			tt.waiting.Lasts, tt.waiting.Count, tt.waiting.MayMiss = true, max(tt.waiting.Count, 1), 1
			r.submit(0, testJob("00000000000000b0", tt.there))
			assert.Equal(t, len(r.starts(10)), 2)
			if tt.shrink {
				for i := range vms {
					vms[i].CPU /= 2
				}
				r.s.SetVMs(at(15), vms)
			}
			r.submit(20, testJob("00000000000000b1", tt.waiting))
			r.submit(20, testJob("00000000000000b2", tt.waiting))
			r.starts(30)
			if tt.takeover {
				r.takeover(40, vms...)
				r.s.evacuateFrom = at(0)
				for _, v := range vms {
					r.poll(50, v.ID, site.VMStatus{Running: []site.Run{{Task: fmt.Sprintf("00000000000000b0.0.0.%d", map[string]int{"a": 0, "b": 1}[v.ID]), Run: 1, Percent: 100}}})
				}
			}
			r.pollRunning(60, "a", "b")
			r.submit(70, testJob(jobID, jobs.Step{Count: 2, CPU: 500, EstimateMS: 800}))
			assert.Equal(t, len(r.starts(80)), 2, "ordinary tasks do not start beside free cores")
		})
	}
}

// TestReservationKeepsOffOnlyWhatWouldDelay guards against reserved room that stays idle although a task would
// end before it is needed or fits beside the long-running task, and against tasks that delay the long-running one.
func TestReservationKeepsOffOnlyWhatWouldDelay(t *testing.T) {
	tests := []struct {
		name  string
		task  jobs.Step
		start bool
	}{
		{"ends in time", jobs.Step{CPU: 2000, EstimateMS: 1000}, true},
		{"too long", jobs.Step{CPU: 2000, EstimateMS: 9000}, false},
		{"run time not declared", jobs.Step{CPU: 2000}, false},
		{"long, fits beside it", jobs.Step{CPU: 1000, EstimateMS: 9000}, true},
		{"long, memory does not fit beside it", jobs.Step{CPU: 1000, MemMB: 3000, EstimateMS: 9000}, false},
		{"long, gang", jobs.Step{CPU: 2000, EstimateMS: 9000, Gang: true}, false},
		{"gang ends in time", jobs.Step{CPU: 2000, EstimateMS: 1000, Gang: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 5000, EstimateMS: 10_000}))
			assert.Equal(t, len(r.starts(10)), 1)
			r.submit(20, testJob("00000000000000b1", jobs.Step{Count: 1, CPU: 7000, MemMB: 6000, Lasts: true, MayMiss: 1}))
			assert.Equal(t, len(r.starts(30)), 0)
			r.pollRunning(40, "a")
			tt.task.Count = 1
			r.submit(50, testJob("00000000000000a2", tt.task))
			assert.Equal(t, len(r.starts(60)) == 1, tt.start)
		})
	}
}

// TestHeldTaskGetsRoomInMostlyIdlePool guards against a task that waits for as long as a long-running one waits
// for a slow run, in a pool where little is in use; and against a reservation without effect in a full pool.
func TestHeldTaskGetsRoomInMostlyIdlePool(t *testing.T) {
	patience := int(reservePatience.Milliseconds())
	for _, inUse := range []int{3000, 6000} {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: inUse, EstimateMS: 60_000}))
		assert.Equal(t, len(r.starts(10)), 1)
		r.submit(20, testJob("00000000000000b1", jobs.Step{Count: 1, CPU: 8000, Lasts: true, MayMiss: 1}))
		r.submit(20, testJob("00000000000000a2", jobs.Step{Count: 1, CPU: 2000, EstimateMS: 60_000}))
		assert.Equal(t, len(r.starts(30)), 0)
		r.pollRunning(patience, "a")
		assert.Equal(t, len(r.starts(patience)), 0, "started before its patience has ended")
		r.pollRunning(patience+100, "a")
		assert.Equal(t, len(r.starts(patience+100)), map[int]int{3000: 1, 6000: 0}[inUse], "%d thousandths of a core in use", inUse)
	}
}

// TestReservationsLeaveVMsForOtherTasks guards against long-running tasks that reserve all VMs of a pool.
func TestReservationsLeaveVMsForOtherTasks(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	var vms []site.VM
	for _, name := range names {
		vms = append(vms, testVM(name))
	}
	r := newFixture(t, vms...)
	r.submit(0, testJob(jobID, jobs.Step{Count: 4, CPU: 5000, EstimateMS: 10_000, PerVM: 1}))
	assert.Equal(t, len(r.starts(10)), 4)
	for i := range 4 {
		r.submit(20, testJob(fmt.Sprintf("00000000000000b%d", i), jobs.Step{Count: 1, CPU: 7000, Lasts: true, MayMiss: 1}))
	}
	r.submit(20, testJob("00000000000000a2", jobs.Step{Count: 4, CPU: 3000, EstimateMS: 60_000, PerVM: 1}))
	assert.Equal(t, len(r.starts(30)), len(names)-len(names)/reservedShare)
}
