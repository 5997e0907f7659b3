package sched

import (
	"testing"

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
