package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestNoStartWhileFormerOwnerRenewsLease cuts an owner off from the log and the other entries. It goes on polling its VMs
// until one that the next owner has reached refuses a call, and the next owner does not reach the VM with the run.
func TestNoStartWhileFormerOwnerRenewsLease(t *testing.T) {
	const claimed = 1000 // ms
	tests := []struct {
		lastRenewal time.Duration // after the next owner's first poll
		pause       time.Duration // of the next owner, after its claim
	}{{0, 0}, {200 * time.Millisecond, 0}, {time.Second, 0}, {LongestPoll, 0}, {LongestPoll, 3 * time.Second}, {LongestPoll, 9 * time.Second}}
	for _, c := range tests {
		t.Run(fmt.Sprintf("%s after a pause of %s", c.lastRenewal, c.pause), func(t *testing.T) {
			r := newFixture(t, testVM("a"), testVM("b"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, Lasts: true, MayMiss: 1}))
			run := r.starts(10)[0]
			r.flush(20)
			other := map[string]string{"a": "b", "b": "a"}[run.VM]
			former := r.s

			r.takeover(claimed, testVM("a"), testVM("b"))
			r.s.FormerOwnerMayContinue(FormerOwnerNotice)
			resumed := claimed + int(c.pause.Milliseconds())
			if c.pause > 0 {
				r.s.RestartVerification(at(resumed))
			}
			r.poll(resumed+10, other, site.VMStatus{})
			r.flush(resumed + 10)

			renewed := resumed + int(c.lastRenewal.Milliseconds())
			status := site.VMStatus{Born: 1, ClockMS: int64(renewed) + 1000, Running: []site.Run{running(run)}}
			former.HandlePoll(at(renewed), run.VM, at(renewed), &status)
			_, ok := former.NextPoll(at(renewed), run.VM, false)
			assert.Assert(t, ok)
			until := former.vms[run.VM].leasesEnd

			const step, last = 50, claimed + 30000
			for ms := resumed + 20; ms < last; ms += step {
				r.poll(ms, other, site.VMStatus{})
				r.flush(ms)
				if len(r.starts(ms)) > 0 {
					assert.Assert(t, at(ms).After(until), "started %s before the lease of the former owner's run had expired", until.Sub(at(ms)))
					return
				}
			}
			t.Fatal("the task does not run again")
		})
	}
}

// TestNextOwnerWaitsForLeasesOnlyOnceFormerOwnerHasEnded guards against a longer wait after owners that are known to have
// ended.
func TestNextOwnerWaitsForLeasesOnlyOnceFormerOwnerHasEnded(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
	run := r.starts(10)[0]
	other := map[string]string{"a": "b", "b": "a"}[run.VM]
	r.takeover(100, testVM("a"), testVM("b"))
	p := testPolicy()
	wait := int((p.localDuration(p.Lease) + leaseMargin).Milliseconds())
	r.poll(100+wait, other, site.VMStatus{})
	r.flush(100 + wait)
	assert.Equal(t, len(r.starts(100+wait-10)), 0)
	assert.Equal(t, len(r.starts(100+wait+10)), 1)
}

// TestVMThatAnsweredIsNotWaitedForLonger guards against a longer wait for a VM that is lost after it has answered a new owner:
// the former one renews no leases there.
func TestVMThatAnsweredIsNotWaitedForLonger(t *testing.T) {
	const claimed, answered, rounds = 1000, 1010, 100 // ms
	p := testPolicy()
	wait := int((p.localDuration(p.Lease) + leaseMargin).Milliseconds())
	for _, mayContinue := range []bool{false, true} {
		r := newFixture(t, testVM("a"), testVM("b"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60_000}))
		run := r.starts(10)[0]
		r.flush(20)
		other := map[string]string{"a": "b", "b": "a"}[run.VM]
		r.takeover(claimed, testVM("a"), testVM("b"))
		if mayContinue {
			r.s.FormerOwnerMayContinue(FormerOwnerNotice)
		}
		r.poll(answered, run.VM, site.VMStatus{Running: []site.Run{running(run)}})
		started := 0
		for ms := answered + 10; started == 0 && ms < 20_000; ms += 10 {
			r.poll(ms, other, site.VMStatus{})
			r.flush(ms)
			if len(r.starts(ms)) > 0 {
				started = ms - answered
			}
		}
		assert.Assert(t, started > wait-20 && started < wait+rounds, "former owner may continue: %t; started %d ms after the answer", mayContinue, started)
	}
}

// TestEndOfFormerOwnerShortensTheWait guards against a wait for an owner that is known to have ended, and against one that ends
// before the leases that it granted last.
func TestEndOfFormerOwnerShortensTheWait(t *testing.T) {
	p := testPolicy()
	lease := p.localDuration(p.Lease) + leaseMargin
	tests := []struct {
		name  string
		ended time.Duration // after the claim, when that became known; 0 if it did not
		want  time.Duration // after the claim
	}{
		{"not known", 0, FormerOwnerNotice + lease},
		{"soon", 500 * time.Millisecond, 500*time.Millisecond + lease},
		{"at the end of its authority", FormerOwnerNotice, FormerOwnerNotice + lease},
		{"later", FormerOwnerNotice + time.Second, FormerOwnerNotice + lease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"), testVM("b"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
			run := r.starts(10)[0]
			other := map[string]string{"a": "b", "b": "a"}[run.VM]
			const claimed, step = 100, 50
			r.takeover(claimed, testVM("a"), testVM("b"))
			r.s.FormerOwnerMayContinue(FormerOwnerNotice)
			for ms := claimed; ms < claimed+20_000; ms += step {
				if ended := at(claimed).Add(tt.ended); tt.ended > 0 && at(ms).Equal(ended) {
					r.s.FormerOwnerHasEnded(ended)
				}
				r.poll(ms, other, site.VMStatus{})
				r.flush(ms)
				if len(r.starts(ms)) > 0 {
					waited := at(ms).Sub(at(claimed))
					assert.Assert(t, waited > tt.want && waited <= tt.want+step*time.Millisecond, "started after %s, not after %s", waited, tt.want)
					return
				}
			}
			t.Fatal("the task does not run again")
		})
	}
}
