package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestTasksWaitForNoVMThatNoMachineHas guards against tasks of an earlier owner that wait until the leases on a VM would have
// expired, although the inventory shows that it has ended; and against starts beside a VM that may run them.
func TestTasksWaitForNoVMThatNoMachineHas(t *testing.T) {
	const claimed = 1000 // ms
	tests := []struct {
		name    string
		listed  bool // VM a is in the VM list after the takeover
		answers bool // it answers the new owner, with its run
		missing bool // no machine has it
		awaited bool // the report names it
		starts  int
	}{
		{"ended", false, false, true, true, 1},
		{"cut off from the platform", false, false, false, true, 0},
		{"listed still", true, false, true, false, 0},
		{"has answered", false, true, true, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, Lasts: true, MayMiss: 1}))
			run := r.starts(10)[0]
			r.flush(20)
			list := []site.VM{testVM("b")}
			if tt.listed {
				list = append(list, testVM("a"))
			}
			r.takeover(claimed, list...)
			r.poll(claimed+10, "b", site.VMStatus{})
			if tt.answers {
				r.poll(claimed+10, "a", site.VMStatus{Running: []site.Run{running(run)}})
			}
			r.flush(claimed + 10)
			assert.Equal(t, len(r.starts(claimed+20)), 0)
			assert.Equal(t, len(r.s.Report(at(claimed+30), "pool").Awaited) == 1, tt.awaited)
			if tt.missing {
				r.s.EndAwaited(at(claimed+40), []string{"a"})
				r.flush(claimed + 40)
			}
			assert.Equal(t, len(r.starts(claimed+50)), tt.starts)
		})
	}
}
