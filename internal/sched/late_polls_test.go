package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// rebornVM plays a VM that comes back under its ID, for a scheduler that polls it.
type rebornVM struct {
	*fixture
	*simVM
}

func (r *rebornVM) reboot(ms int, born int64) {
	r.simVM = &simVM{id: r.id, born: born, bornAt: at(ms), up: true, running: map[string]int64{}, highestRun: map[string]int64{}}
}

// carryOut carries a status poll out.
func (r *rebornVM) carryOut(ms int, p *site.StatusPoll) {
	r.renew(at(ms), min(p.UntilMS, r.clock(at(ms))+testPolicy().MaxLease.Milliseconds()))
	for len(r.ends) > 0 && r.ends[0].Sequence <= p.AckCursor {
		r.ends = r.ends[1:]
	}
}

// pollOnce polls the VM, which answers.
func (r *rebornVM) pollOnce(ms int, verify bool) {
	p, ok := r.s.NextPoll(at(ms), r.id, verify)
	assert.Assert(r.t, ok)
	r.carryOut(ms, &p)
	status := &site.VMStatus{Born: r.born, ClockMS: r.clock(at(ms)), Ended: append([]site.RunEnd(nil), r.ends...), Answers: p}
	for task, run := range r.running {
		status.Running = append(status.Running, site.Run{Task: task, Run: run, Percent: 50})
	}
	r.s.HandlePoll(at(ms), r.id, at(ms), status)
}

// startAll carries out the start orders of a round and returns their number.
func (r *rebornVM) startAll(ms int) int {
	list := r.starts(ms)
	for _, s := range list {
		r.renew(at(ms), s.Order.UntilMS)
		r.running[s.Order.Task] = s.Order.Run
	}
	return len(list)
}

// TestLatePollOfEarlierLifeLosesNoEnd guards against a status poll that was sent to a VM, was not answered, and is carried
// out after the VM has come back under its ID: it acknowledges ends that no owner knows, whose tasks would start again.
func TestLatePollOfEarlierLifeLosesNoEnd(t *testing.T) {
	const doomed, next = "00000000000000a1", "00000000000000a2"
	tests := []struct {
		name      string
		forgotten bool // the VM leaves the VM list and is forgotten before it comes back
		backAt    int  // ms
		lateAt    int  // ms, when the poll is carried out
	}{
		{"back at once", false, 400, 2400},
		{"back at once, later", false, 400, 12_400},
		{"back after it was forgotten", true, 9000, 12_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
			r.reboot(0, 1)
			r.submit(0, testJob(doomed, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100}))
			assert.Equal(t, r.startAll(10), 1)
			r.finish(doomed+".0.0.0", site.Done)
			r.pollOnce(100, false)
			r.flush(110)
			late, ok := r.s.NextPoll(at(120), "a", false)
			assert.Assert(t, ok && late.AckCursor == 1, "%+v", late)
			r.s.HandlePollFailure(at(220), "a", errNoAnswer)

			list := []site.VM{testVM("a")}
			if tt.forgotten {
				r.s.SetVMs(at(300), nil)
				r.s.Decide(at(8000))
				assert.Assert(t, r.s.vms["a"] == nil)
			}
			r.reboot(tt.backAt, 2)
			list[0].Born = 2
			r.s.SetVMs(at(tt.backAt), list)
			j := testJob(next, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100})
			j.SubmittedMS, j.TargetMS = at(tt.backAt).UnixMilli(), 60_000
			r.submit(tt.backAt, j)
			started := 0
			for ms := tt.backAt + 20; ms <= 20_000; ms += 20 {
				if ms == tt.lateAt+60-tt.lateAt%20 {
					r.carryOut(ms, &late)
				}
				if len(r.running) > 0 && len(r.ends) == 0 && ms >= tt.lateAt+40-tt.lateAt%20 { // ends just before the late poll
					r.finish(next+".0.0.0", site.Done)
					continue
				}
				r.pollOnce(ms, false)
				started += r.startAll(ms)
				r.flush(ms)
			}
			state, _ := r.s.JobState(next)
			assert.Equal(t, started, 1, "starts of a task that is done")
			assert.Equal(t, state, jobs.Completed)
		})
	}
}

// TestLatePollOfEarlierLifeProlongsLeases guards against a task that starts elsewhere while its VM, which is cut off,
// still runs it, as its lease was renewed by a status poll that was sent before the VM came back under its ID.
func TestLatePollOfEarlierLifeProlongsLeases(t *testing.T) {
	r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
	r.reboot(-60_000, 1) // its clock is far ahead of that of the next life
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60_000}))
	r.pollOnce(5, false)
	assert.Equal(t, r.startAll(10), 1)
	r.pollOnce(100, false)
	late, ok := r.s.NextPoll(at(200), "a", false)
	assert.Assert(t, ok && late.UntilMS > 0)
	r.s.HandlePollFailure(at(300), "a", errNoAnswer)
	r.reboot(400, 2)
	cutAt := 0
	for ms := 500; cutAt == 0; ms += 20 {
		assert.Assert(t, ms < 5000, "the task does not start on the VM that came back")
		r.pollOnce(ms, false)
		r.flush(ms)
		if r.startAll(ms) > 0 {
			cutAt = ms + 200
		}
	}
	r.pollOnce(cutAt-100, false)
	r.carryOut(cutAt-50, &late)
	r.s.HandlePollFailure(at(cutAt), "a", errNoAnswer) // it is cut off from now on
	r.s.SetVMs(at(cutAt), []site.VM{testVM("b")})
	for ms := cutAt + 100; ms < 40_000; ms += 100 {
		r.s.HandlePoll(at(ms), "b", at(ms), &site.VMStatus{Born: 1, ClockMS: int64(ms)})
		r.flush(ms)
		if n := len(r.starts(ms)); n > 0 {
			assert.Assert(t, !at(ms).Before(r.lease), "starts on another VM %s before the lease ends", r.lease.Sub(at(ms)).Round(time.Millisecond))
			return
		}
	}
	t.Fatal("the task does not start again")
}

// TestOnlyPollsInDoubtDelayRuns guards against a VM that came back under its ID and waits for runs although no poll of its
// earlier life can still be carried out.
func TestOnlyPollsInDoubtDelayRuns(t *testing.T) {
	tests := []struct {
		name    string
		result  error // of the last poll that acknowledged ends; nil for an answer
		backAt  int   // ms
		delayed bool
	}{
		{"answered", nil, 1000, false},
		{"not sent", site.ErrNotDone, 1000, false},
		{"not answered", errNoAnswer, 1000, true},
		{"not answered, back much later", errNoAnswer, 20_000, false},
	}
	for _, tt := range tests {
		r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
		r.reboot(0, 1)
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100}))
		assert.Equal(t, r.startAll(10), 1, tt.name)
		r.finish(jobID+".0.0.0", site.Done)
		r.pollOnce(100, false)
		r.flush(110)
		p, _ := r.s.NextPoll(at(120), "a", false)
		assert.Equal(t, p.AckCursor, int64(1), tt.name)
		if tt.result == nil {
			r.s.HandlePoll(at(130), "a", at(120), &site.VMStatus{Born: 1, ClockMS: 1130, Answers: p})
		} else {
			if !site.IsUnanswered(tt.result) {
				r.s.SettlePoll("a", &p)
			}
			r.s.HandlePollFailure(at(130), "a", tt.result)
		}
		r.reboot(tt.backAt, 2)
		r.pollOnce(tt.backAt+10, true)
		r.flush(tt.backAt + 20)
		r.pollOnce(tt.backAt+30, false)
		assert.Equal(t, !r.s.vms["a"].usable(at(tt.backAt+40), &r.s.policy), tt.delayed, tt.name)
	}
}

// TestLongRunningTasksStartOnVMThatCameBack guards against long-running tasks that wait for a poll of the VM's earlier life.
func TestLongRunningTasksStartOnVMThatCameBack(t *testing.T) {
	for _, lasts := range []bool{true, false} {
		r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
		r.reboot(0, 1)
		r.submit(0, testJob("00000000000000a1", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100}))
		assert.Equal(t, r.startAll(10), 1)
		r.finish("00000000000000a1.0.0.0", site.Done)
		r.pollOnce(100, false)
		r.flush(110)
		late, ok := r.s.NextPoll(at(120), "a", false)
		assert.Assert(t, ok && late.AckCursor == 1)
		r.s.HandlePollFailure(at(220), "a", errNoAnswer)
		r.reboot(400, 2)
		list := []site.VM{testVM("a")}
		list[0].Born = 2
		r.s.SetVMs(at(400), list)
		step := jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100}
		if lasts {
			step.Lasts, step.MayMiss = true, 1
		}
		j := testJob("00000000000000a2", step)
		j.SubmittedMS, j.TargetMS = at(400).UnixMilli(), 60_000
		r.submit(400, j)
		started := 0
		for ms := 420; ms < 2000; ms += 20 {
			r.pollOnce(ms, false)
			r.flush(ms)
			started += r.startAll(ms)
		}
		assert.Equal(t, started > 0, lasts, "long-running: %t", lasts)
	}
}
