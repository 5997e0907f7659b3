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
			var authority tenure.Tenure
			authority.Confirm(at(0))
			r.s.SetTenure(&authority)
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60000}))
			run := r.starts(10)[0]
			r.flush(20)
			other := map[string]string{"a": "b", "b": "a"}[run.VM]
			end := r.s.vms[run.VM].leasesEnd

			authority.Confirm(end.Add(tt.confirmed))
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
		var authority tenure.Tenure
		authority.Confirm(end.Add(-time.Second))
		r.s.SetTenure(&authority)
		if confirmed {
			authority.Confirm(end.Add(100 * time.Millisecond))
		}
		ms := int(end.Add(200 * time.Millisecond).Sub(at(0)).Milliseconds())
		r.poll(ms, other, site.VMStatus{})
		r.flush(ms)
		assert.Equal(t, len(r.starts(ms)) == 1, confirmed)
	}
}

// TestRestartedVMGetsNoRunsUnconfirmed guards against an owner that starts a task on a VM which has restarted, and so lost
// the fencing token of a later owner, while that one runs the task elsewhere.
func TestRestartedVMGetsNoRunsUnconfirmed(t *testing.T) {
	const restarted = 1000 // ms
	tests := []struct {
		name      string
		confirmed int // ms
		starts    int
	}{
		{"confirmed before the restart", restarted - 100, 0},
		{"confirmed afterwards", restarted + 100, 1},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		var authority tenure.Tenure
		authority.Confirm(at(0))
		r.s.SetTenure(&authority)
		r.s.HandlePoll(at(restarted), "a", at(restarted), &site.VMStatus{Born: 2, ClockMS: 10})
		r.flush(restarted)
		authority.Confirm(at(tt.confirmed))
		r.submit(restarted+150, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, Lasts: true}))
		assert.Equal(t, len(r.starts(restarted+200)), tt.starts, tt.name)
		assert.Equal(t, r.s.AwaitsConfirmation(), tt.starts == 0, tt.name)
	}
}

// TestExpiredOwnerEvacuatesNoRun guards against an owner that stops a run which a later one has adopted.
func TestExpiredOwnerEvacuatesNoRun(t *testing.T) {
	for _, expired := range []bool{false, true} {
		r := newFixture(t, testVM("a"), testVM("b"))
		var authority tenure.Tenure
		authority.Confirm(at(0))
		r.s.SetTenure(&authority)
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, Lasts: true, MayMiss: 1}))
		run := r.starts(10)[0]
		other := map[string]string{"a": "b", "b": "a"}[run.VM]
		const ms = 20000
		if !expired {
			authority.Confirm(at(ms))
		}
		draining, free := testVM(run.VM), testVM(other)
		draining.Draining = true
		r.s.SetVMs(at(ms), []site.VM{draining, free})
		r.poll(ms, run.VM, site.VMStatus{Running: []site.Run{running(run)}})
		r.poll(ms, other, site.VMStatus{})
		r.flush(ms)
		assert.Equal(t, len(r.stops(ms+10)) == 0, expired)
	}
}

// TestRunOfEndedVMIsNotRepeatedUnconfirmed guards against an owner that learns from the inventory that the machine of a run is
// down, or that its VM has restarted, and starts the task again, while a later owner has acknowledged the end of the run and
// moved the machine.
func TestRunOfEndedVMIsNotRepeatedUnconfirmed(t *testing.T) {
	const ended = 1000 // ms
	ways := []struct {
		name     string
		takeover bool // the run is of an earlier owner
		end      func(r *fixture, vm string)
	}{
		{"machine is down", false, func(r *fixture, vm string) { r.endVM(ended, vm) }},
		{"VM restarted", false, func(r *fixture, vm string) {
			r.s.HandlePoll(at(ended), vm, at(ended), &site.VMStatus{Born: 2, ClockMS: 10})
		}},
		{"machine is down, run of an earlier owner", true, func(r *fixture, vm string) { r.endVM(ended, vm) }},
	}
	for _, way := range ways {
		for _, confirmed := range []int{ended - 100, ended + 100} {
			r := newFixture(t, testVM("a"), testVM("b"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60000}))
			run := r.starts(10)[0]
			r.flush(20)
			if way.takeover {
				r.takeover(500, testVM("a"), testVM("b"))
			}
			var authority tenure.Tenure
			authority.Confirm(at(0))
			r.s.SetTenure(&authority)
			other := map[string]string{"a": "b", "b": "a"}[run.VM]
			r.poll(900, other, site.VMStatus{})
			way.end(r, run.VM)
			r.flush(ended)
			authority.Confirm(at(confirmed))
			r.poll(ended+150, other, site.VMStatus{})
			r.flush(ended + 150)
			assert.Equal(t, len(r.starts(ended+200)), map[bool]int{true: 1, false: 0}[confirmed > ended], way.name)
			assert.Equal(t, r.s.AwaitsConfirmation(), confirmed < ended, way.name)
		}
	}
}
