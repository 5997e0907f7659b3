package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestRunsRenewedByLaterOwnerAreNotTakenForLapsed guards against an owner that does not reach a VM, takes its runs for ended
// once its own leases there have expired, and starts their tasks elsewhere, while a later owner that reaches the VM has
// renewed them.
func TestRunsRenewedByLaterOwnerAreNotTakenForLapsed(t *testing.T) {
	tests := []struct {
		name      string
		confirmed time.Duration // latest confirmation, relative to the end of the leases
		starts    int
	}{
		{"confirmed before the leases ended", -time.Second, 0},
		{"confirmed as the leases ended", 0, 0},
		{"confirmed afterwards", time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"), testVM("b"))
			var x tenure.Tenure
			x.Confirm(at(0))
			r.s.SetTenure(&x)
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60000}))
			run := r.starts(10)[0]
			r.flush(20)
			other := map[string]string{"a": "b", "b": "a"}[run.VM]
			end := r.s.vms[run.VM].leasesEnd

			x.Confirm(end.Add(tt.confirmed))
			ms := int(end.Add(500 * time.Millisecond).Sub(at(0)).Milliseconds())
			r.poll(ms, other, site.VMStatus{})
			r.flush(ms)
			starts := len(r.starts(ms))
			assert.Equal(t, r.s.AwaitsConfirmation(), tt.starts == 0)
			r.poll(ms+500, other, site.VMStatus{})
			r.flush(ms + 500) // the loss of the VM
			assert.Equal(t, starts+len(r.starts(ms+500)), tt.starts)
		})
	}
}

// TestNextOwnersAdoptedRunIsNotTakenForLapsed guards against an owner whose wait for the runs of an earlier one has ended and
// that starts their tasks, while a later owner has adopted and renewed them.
func TestNextOwnersAdoptedRunIsNotTakenForLapsed(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		r := newFixture(t, testVM("a"), testVM("b"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60000}))
		run := r.starts(10)[0]
		r.flush(20)
		other := map[string]string{"a": "b", "b": "a"}[run.VM]
		r.takeover(1000, testVM("a"), testVM("b"))
		end := r.s.unverified[run.VM]
		var x tenure.Tenure
		x.Confirm(end.Add(-time.Second))
		r.s.SetTenure(&x)
		if confirmed {
			x.Confirm(end.Add(100 * time.Millisecond))
		}
		ms := int(end.Add(200 * time.Millisecond).Sub(at(0)).Milliseconds())
		r.poll(ms, other, site.VMStatus{})
		r.flush(ms)
		assert.Equal(t, len(r.starts(ms)) == 1, confirmed)
	}
}
