package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestRestartedWaitShortensNoLease guards against an owner that was paused and takes the leases of a VM for expired too early.
func TestRestartedWaitShortensNoLease(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
	r.takeover(100, testVM("a"))
	r.poll(110, "a", site.VMStatus{EndsCut: true}) // the VM stays unverified
	until := at(110).Add(10 * time.Second)
	r.s.vms["a"].leasesEnd = until // as after a restart with a start order under way
	r.s.RestartVerification(at(120))
	assert.Assert(t, !r.s.vms["a"].leasesEnd.Before(until))
}
