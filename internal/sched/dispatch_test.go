package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestQueuedStartIsNotSentToNextIncarnation guards against start orders that wait until their runs were released, and are
// then sent to the next incarnation of their VM: the tasks run elsewhere by then (review/12).
func TestQueuedStartIsNotSentToNextIncarnation(t *testing.T) {
	silent := func(r *fixture) { r.s.HandlePollFailure(at(100), "a", errNoAnswer) }
	tests := []struct {
		name   string
		change func(r *fixture)
		until  int  // ms, when the order has to be withdrawn and the task started elsewhere if the order was not sent
		sentOK bool // an order that was attempted before may be repeated then
	}{
		{"VM answers", func(*fixture) {}, 0, true},
		{"VM is silent", silent, 110, true},
		{"leases have expired", silent, 5000, false},
		{"VM has restarted, the list shows it", func(r *fixture) { r.s.SetVMs(at(100), listed(2)) }, 110, false},
		{"VM has restarted, a poll shows it", func(r *fixture) { r.s.HandlePoll(at(100), "a", at(90), &site.VMStatus{Born: 2, ClockMS: 1000}) }, 110, false},
		{"inventory shows it as down", func(r *fixture) { r.endVM(100, "a") }, 110, false},
		{"another VM answers at its address", func(r *fixture) { r.s.HandlePollFailure(at(100), "a", site.ErrOtherIncarnation) }, 110, false},
		{"VM is not listed", func(r *fixture) { r.s.SetVMs(at(100), listed(1)[1:]) }, 110, true},
		{"VM drains", func(r *fixture) {
			list := listed(1)
			list[0].Draining = true
			r.s.SetVMs(at(100), list)
		}, 110, true},
		{"VM is cordoned", func(r *fixture) { r.s.Cordon(at(100), "pool", []string{"a"}) }, 110, true},
	}
	for _, tt := range tests {
		for _, sent := range []bool{false, true} {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
			var first StartRun
			for _, a := range r.s.Decide(at(10)) {
				first = a.(StartRun)
			}
			assert.Assert(t, !sent || first.Dispatch.Attempt(), tt.name)
			r.s.SetVMs(at(20), listed(1))
			tt.change(r)
			ms := max(tt.until, 110)
			r.poll(ms, "b", site.VMStatus{})
			r.flush(ms)
			var again []StartRun
			for _, a := range r.s.Decide(at(ms)) {
				if x, ok := a.(StartRun); ok {
					again = append(again, x)
				}
			}
			if !sent && tt.until > 0 {
				assert.Equal(t, len(again), 1, tt.name)
				assert.Assert(t, again[0].VM == "b" || r.s.vms["a"].Born == 2, tt.name)
				assert.Equal(t, again[0].Order.Run, int64(2), tt.name)
				assert.Equal(t, r.s.Stats().Withdrawn, 1, tt.name)
				assert.Equal(t, len(r.s.jobs[jobID].findTask(first.Task).crashes), 0, "%s: the loss counts against a task that has not begun", tt.name)
			}
			assert.Equal(t, first.Dispatch.Attempt(), tt.until == 0 || (sent && tt.sentOK), "%s, sent before: %t", tt.name, sent)
		}
	}
}

// TestQueuedStartsOfRunsToBeStopped guards against tasks that start after the cancellation of their job was acknowledged, or
// after another run of theirs is done: their start orders have waited for a VM (review/15).
func TestQueuedStartsOfRunsToBeStopped(t *testing.T) {
	cancel := func(r *fixture, _ *StartRun) { assert.Assert(r.t, r.s.Cancel(at(100), jobID)) }
	done := func(r *fixture, x *StartRun) { // of a run on a VM that was cut off
		r.poll(100, "b", site.VMStatus{Ended: []site.RunEnd{{Sequence: 1, Task: x.Order.Task, Run: x.Order.Run - 1, How: site.Done}}})
	}
	for name, change := range map[string]func(r *fixture, x *StartRun){"job is cancelled": cancel, "another run is done": done} {
		for _, sent := range []bool{false, true} {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 3, CPU: 1000, EstimateMS: 9000}))
			var first *StartRun
			orders := 0
			for _, a := range r.s.Decide(at(10)) {
				x := a.(StartRun)
				orders++
				assert.Assert(t, !sent || x.Dispatch.Attempt(), name)
				if first == nil {
					first = &x
				}
			}
			assert.Equal(t, orders, 3)
			r.s.SetVMs(at(20), listed(1))
			change(r, first)
			assert.Assert(t, !first.Dispatch.Attempt(), "%s, sent before: %t", name, sent)
			stops := len(r.stopsOf(110, first))
			assert.Equal(t, stops > 0, sent, "%s: an order that was not sent needs no stop", name)
			if name == "job is cancelled" {
				want := 0
				if sent {
					want = orders
				}
				assert.Equal(t, len(r.s.vms["a"].runs), want)
			}
		}
	}
}

// TestMemberOfGangThatIsNotSent guards against members of a gang that wait for one whose start order was withdrawn.
func TestMemberOfGangThatIsNotSent(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 5000, EstimateMS: 9000, Gang: true}))
	sent := ""
	for _, a := range r.s.Decide(at(10)) {
		if x := a.(StartRun); x.VM == "b" {
			assert.Assert(t, x.Dispatch.Attempt())
			r.s.HandleStart(at(15), &x, site.Accepted, nil)
			sent = x.Order.Task
		}
	}
	r.s.HandlePollFailure(at(100), "a", errNoAnswer)
	stops := r.stops(110)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task, sent)
}
