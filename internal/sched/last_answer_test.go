package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestCrashAfterEmptyAnswerCounts guards against a crash that counts for nobody, and against a task that is started
// again too soon: a VM that goes down may answer a last poll without its runs and without their ends.
func TestCrashAfterEmptyAnswerCounts(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		r := newFixture(t, testVM("a"), testVM("b"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000, Lasts: lasts, MayMiss: 1}))
		first := r.starts(10)[0]
		r.poll(100, first.VM, site.VMStatus{})
		assert.Equal(t, len(r.starts(110)), 0, "started again after one answer without it")
		r.s.EndVM(at(200), site.Incarnation{VM: first.VM, Born: 1})
		assert.Equal(t, len(r.s.jobs[jobID].findTask(first.Task).crashes), 1)
	}
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
	r.starts(10)
	r.poll(100, "a", site.VMStatus{})
	r.poll(200, "a", site.VMStatus{})
	assert.Equal(t, len(r.starts(210)), 1, "not started again although the VM answers without it")
}
