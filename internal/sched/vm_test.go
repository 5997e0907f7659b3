package sched

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestUnusableReason guards against a VM that gets no work without a reason that an operator can
// see, and against a reason for one that may get work.
func TestUnusableReason(t *testing.T) {
	now := time.Now()
	policy := &Policy{SilentAfter: time.Second}
	tests := []struct {
		change func(v *vm)
		want   string
	}{
		{func(*vm) {}, ""},
		{func(v *vm) { v.listed = false }, "the platform's VM list"},
		{func(v *vm) { v.Draining = true }, "draining"},
		{func(v *vm) { v.cordoned = true }, "cordoned"},
		{func(v *vm) { v.polled = false }, "has not answered"},
		{func(v *vm) { v.pollFailed, v.lastAnswer = true, now.Add(-300*time.Millisecond) }, "silent for 300ms"},
		{func(v *vm) { v.lastAnswer = now.Add(-5 * time.Second) }, "silent for 5s"},
		{func(v *vm) { v.recorded = false }, "not recorded"},
		{func(v *vm) { v.orphans["x"] = 1 }, "holds runs"},
		{func(v *vm) { v.quarantinedUntil, v.probation = now.Add(2*time.Second), true }, "quarantined for another 2s"},
		{func(v *vm) { v.backoffUntil = now.Add(50 * time.Millisecond) }, "refused a start"},
		{func(v *vm) { v.probation = true }, ""},
		{func(v *vm) { v.probation, v.runs["x"] = true, &run{} }, "on probation"},
	}
	for _, tt := range tests {
		v := newVM(site.VM{ID: "i-1"})
		v.listed, v.polled, v.recorded, v.lastAnswer = true, true, true, now
		tt.change(v)
		got := v.unusableReason(now, policy)
		assert.Assert(t, strings.HasPrefix(got, tt.want) && (tt.want == "") == (got == ""), "%q instead of %q", got, tt.want)
		assert.Equal(t, got == "", v.usable(now, policy), tt.want)
	}
}

// TestShrunkVMGetsNoRunBeyondItsCapacity guards against runs that exceed the capacity of a VM that has shrunk,
// and, on VMs that do not refuse such runs, against starts by a VM list that is too old to show it.
func TestShrunkVMGetsNoRunBeyondItsCapacity(t *testing.T) {
	tests := []struct {
		name    string
		guards  bool
		listMS  int // age of the VM list
		cpu     int // of the VM, thousandths of a core
		want    int // starts
		running int // tasks that ran before
	}{
		{"shrunk, guarded", true, 0, 4000, 2, 2},
		{"shrunk, unguarded", false, 0, 4000, 2, 2},
		{"shrunk below its runs", false, 0, 1000, 0, 2},
		{"grown again", false, 0, 8000, 6, 2},
		{"old list, guarded", true, 9000, 8000, 6, 2},
		{"old list, unguarded", false, 9000, 8000, 0, 2},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		r.s.SetPools([]site.Pool{{Name: "pool", Guards: tt.guards}})
		r.submit(0, testJob(jobID, jobs.Step{Count: tt.running, CPU: 1000, EstimateMS: 60_000}))
		assert.Equal(t, len(r.starts(10)), tt.running, tt.name)
		v := testVM("a")
		v.CPU = tt.cpu
		const now = 10_000
		r.s.SetVMs(at(now-tt.listMS), []site.VM{v})
		r.submit(now, testJob("00000000000000a2", jobs.Step{Count: 8, CPU: 1000, EstimateMS: 60_000}))
		var status site.VMStatus
		for task, x := range r.s.vms["a"].runs {
			status.Running = append(status.Running, site.Run{Task: task, Run: x.number, Percent: 50})
		}
		r.poll(now, "a", status)
		assert.Equal(t, len(r.starts(now)), tt.want, tt.name)
	}
}
