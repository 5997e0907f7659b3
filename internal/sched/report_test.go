package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestReportNamesUnstoredEnds guards against a VM that seems empty to the planner while the ends of its runs
// are known to the owner only.
func TestReportNamesUnstoredEnds(t *testing.T) {
	r := newFixture(t, testVM("vm-1"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	start := r.starts(10)[0]
	r.flush(20)
	unstored := func(ms int) bool { return r.s.Report(at(ms), "pool").VMs[0].Unstored }
	assert.Assert(t, !unstored(20))
	r.poll(500, "vm-1", site.VMStatus{Ended: []site.RunEnd{{Sequence: 1, Task: start.Order.Task, Run: start.Order.Run, How: site.Done}}})
	assert.Assert(t, unstored(500))
	f, err := r.s.Flush(at(510), 1<<20)
	assert.NilError(t, err)
	r.s.FlushRefused(f)
	assert.Assert(t, unstored(510), "a refused flush stores nothing")
	r.flush(520)
	assert.Assert(t, !unstored(520))
}

// TestReportNamesVMsThatCannotBeEmptied guards against a VM that is cordoned without end, because the planner does not know
// that its long-running task may not become unavailable (review/7).
func TestReportNamesVMsThatCannotBeEmptied(t *testing.T) {
	tests := []struct {
		name string
		step jobs.Step
		lost bool // the VM of another task of the step
		want bool
	}{
		{"another task is unavailable", jobs.Step{Count: 2, PerVM: 1, Lasts: true, MayMiss: 1}, true, true},
		{"no task may be unavailable", jobs.Step{Count: 2, PerVM: 1, Lasts: true}, true, true},
		{"two tasks may be unavailable", jobs.Step{Count: 2, PerVM: 1, Lasts: true, MayMiss: 2}, true, false},
		{"all tasks are available", jobs.Step{Count: 2, PerVM: 1, Lasts: true, MayMiss: 1}, false, false},
		{"not long-running", jobs.Step{Count: 2, PerVM: 1, EstimateMS: 60_000}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"), testVM("b"))
			tt.step.CPU = 1000
			r.submit(0, testJob(jobID, tt.step))
			r.starts(10)
			for ms := 500; ms <= 8000; ms += 500 {
				r.pollRunning(ms, "a")
				if !tt.lost {
					r.pollRunning(ms, "b")
				}
				r.s.Decide(at(ms))
			}
			for _, v := range r.s.Report(at(8000), "pool").VMs {
				if v.ID == "a" {
					assert.Equal(t, v.Kept, tt.want)
				}
			}
		})
	}
}

// TestCordonsOfPoolExpire guards against the cordons of a pool that are kept by those of another pool, as when the pool has
// left the configuration and its partition has others.
func TestCordonsOfPoolExpire(t *testing.T) {
	other := testVM("b")
	other.Pool = "other"
	r := newFixture(t, testVM("a"), other)
	cordoned := func(pool string) bool { return r.s.Report(at(4000), pool).VMs[0].Cordoned }
	r.s.Cordon(at(0), "pool", []string{"a"})
	r.s.Cordon(at(0), "other", []string{"b"})
	r.s.Cordon(at(2000), "other", []string{"b"})
	r.s.ExpireCordons(at(3000), 3*time.Second)
	assert.Assert(t, cordoned("pool") && cordoned("other"))
	r.s.ExpireCordons(at(4000), 3*time.Second)
	assert.Assert(t, !cordoned("pool"))
	assert.Assert(t, cordoned("other"))
}
