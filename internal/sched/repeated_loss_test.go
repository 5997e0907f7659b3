package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestTaskStartsAgainAfterSecondLossOfOneIncarnation guards against a task that waits without end for the job log to hold a
// loss of its VM that is on its record already: one that is cut off a second time, or whose loss is noticed twice.
func TestTaskStartsAgainAfterSecondLossOfOneIncarnation(t *testing.T) {
	a, b := testVM("a"), testVM("b")
	const cutOff = 5000 // ms until the leases of a silent VM have expired
	tests := []struct {
		name string
		lose func(r *fixture, first StartRun) (ms int) // loses VM a twice under the task
	}{
		{"not listed between two cuts", func(r *fixture, first StartRun) int {
			r.s.SetVMs(at(1000), nil)
			r.rounds(1000, 40+cutOff)
			r.s.SetVMs(at(6000), []site.VM{a})
			return r.returnAndCutOff(6000, first)
		}},
		{"takeover between two cuts", func(r *fixture, first StartRun) int {
			r.rounds(1000, 40+cutOff)
			r.takeover(6000, a)
			return r.returnAndCutOff(6010, first)
		}},
		{"known to be down while a start order is under way", func(r *fixture, first StartRun) int {
			r.poll(100, "a", site.VMStatus{Ended: []site.RunEnd{end(1, first, site.Failed)}})
			r.flush(100)
			second := r.orderOne(200)
			r.poll(210, "a", site.VMStatus{Running: []site.Run{running(second)}})
			r.endVM(300, "a")
			r.rounds(310, 400)
			r.s.HandlePoll(at(900), "a", at(900), &site.VMStatus{Born: 2, ClockMS: 10})
			r.flush(900)
			r.s.HandleStart(at(910), &second, site.Accepted, errNoAnswer)
			for ms := 920; ms <= 1000; ms += 20 { // the new incarnation does not have the run
				r.s.HandlePoll(at(ms), "a", at(ms), &site.VMStatus{Born: 2, ClockMS: 100})
			}
			return 1000
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, a)
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, Lasts: true, MayMiss: 1}))
			run := r.starts(10)[0]
			r.flush(20)
			r.poll(30, "a", site.VMStatus{Running: []site.Run{running(run)}})
			r.flush(40)
			ms := tt.lose(r, run)
			r.s.SetVMs(at(ms), []site.VM{a, b})
			started := 0
			for until := ms + 9000; ms < until && started == 0; ms += 100 { // as long as the users allow
				r.poll(ms, "b", site.VMStatus{})
				r.flush(ms)
				started = len(r.starts(ms))
			}
			x := r.s.jobs[jobID].findTask(jobs.TaskID{Job: jobID})
			assert.Equal(t, started, 1, "not started: %s, %d crashes", r.s.startHold(at(ms), x), len(x.crashes))
		})
	}
}

// rounds makes rounds with flushes in which no VM answers.
func (r *fixture) rounds(from, until int) {
	for ms := from; ms <= until; ms += 100 {
		r.starts(ms)
		r.flush(ms)
	}
}

// returnAndCutOff has VM a return, run the task again and fall silent, and returns when its leases have expired.
func (r *fixture) returnAndCutOff(ms int, first StartRun) int {
	r.t.Helper()
	r.poll(ms, "a", site.VMStatus{Ended: []site.RunEnd{end(1, first, site.Lapsed)}})
	r.flush(ms)
	var again []StartRun
	for ; len(again) == 0; ms += 100 {
		r.poll(ms, "a", site.VMStatus{})
		again = r.starts(ms)
		r.flush(ms)
		assert.Assert(r.t, ms < 20_000, "does not start on the VM that has returned")
	}
	r.poll(ms, "a", site.VMStatus{Running: []site.Run{running(again[0])}})
	r.rounds(ms, ms+5000)
	return ms + 5000
}
