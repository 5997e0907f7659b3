package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestPollOutOfTurnSettlesNoOther guards against a status poll out of turn that is not sent, and after which the poll of the
// poll loop, which the VM may still carry out, is forgotten.
func TestPollOutOfTurnSettlesNoOther(t *testing.T) {
	for _, outOfTurn := range []bool{false, true} {
		r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
		r.reboot(0, 1)
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100}))
		assert.Equal(t, r.startAll(10), 1)
		r.finish(jobID+".0.0.0", site.Done)
		r.pollOnce(100, false)
		r.flush(110)
		p, _ := r.s.NextPoll(at(120), "a", false)
		assert.Equal(t, p.AckCursor, int64(1))
		if outOfTurn {
			_, _ = r.s.NextPoll(at(130), "a", true)
			r.s.HandlePollFailure(at(140), "a", site.ErrNotDone)
		}
		r.s.HandlePollFailure(at(220), "a", errNoAnswer)
		r.reboot(400, 2)
		r.pollOnce(410, true)
		r.flush(420)
		r.pollOnce(430, false)
		assert.Assert(t, !r.s.vms["a"].usable(at(440), &r.s.policy), "out of turn: %t; the VM gets runs while the poll of its earlier life may reach it", outOfTurn)
	}
}
