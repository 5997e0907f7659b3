package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// unansweredCrash starts the only task that waits on a VM that has just answered. The VM crashes before it has answered
// the order.
func (c *crashSite) unansweredCrash() bool {
	c.t.Helper()
	list := c.orders(c.ms)
	for _, x := range list {
		c.flush(c.ms)
		born := c.born[x.VM]
		c.crash(x.VM, x.VM+"x")
		c.s.HandleStart(at(c.ms+50), &x, site.Accepted, errNoAnswer)
		c.s.EndVM(at(c.ms+90), site.Incarnation{VM: x.VM, Born: born})
		c.flush(c.ms + 90)
	}
	return len(list) > 0
}

// TestDeadlyTaskWithLostCrash guards against a task that is started three times more after three VMs have crashed under
// it: the first crash is lost with its owner, and some orders are not answered.
func TestDeadlyTaskWithLostCrash(t *testing.T) {
	tests := []struct {
		name     string
		answered []bool // whether the VM answers the order before it crashes, from the second start on
	}{
		{"all answered", []bool{true, true, true, true, true, true}},
		{"none answered", []bool{false, false, false, false, false, false}},
		{"the second start answered", []bool{true, false, false, false, false, false}},
		{"the third start answered", []bool{false, true, false, false, false, false}},
		{"the fourth start answered", []bool{false, false, true, false, false, false}},
		{"the fifth start answered", []bool{false, false, false, true, false, false}},
	}
	for _, tt := range tests {
		for _, lost := range []bool{false, true} {
			c := newCrashSite(t, 14)
			c.submit(c.ms, testJob(jobID, onePlainTask()))
			starts := 0
			for ; c.ms < 60_000; c.ms += 100 {
				c.list()
				c.pollAll()
				for _, x := range c.orders(c.ms) {
					starts++
					c.flush(c.ms)
					born := c.born[x.VM]
					c.crash(x.VM, x.VM+"x")
					if starts == 1 && lost {
						c.takeover(c.ms + 20) // the owner is killed with the VM
						continue
					}
					i := starts - 1
					if lost {
						i--
					}
					if i < len(tt.answered) && tt.answered[i] {
						c.s.HandleStart(at(c.ms+10), &x, site.Accepted, nil)
					} else {
						c.s.HandleStart(at(c.ms+50), &x, site.Accepted, errNoAnswer)
					}
					c.s.EndVM(at(c.ms+90), site.Incarnation{VM: x.VM, Born: born})
					c.flush(c.ms + 90)
				}
			}
			state, _ := c.s.JobState(jobID)
			t.Logf("%s, first crash lost %t: %d starts, %s", tt.name, lost, starts, state)
			if starts > maxStartsOfDeadlyTask {
				t.Errorf("%s, first crash lost %t: %d starts", tt.name, lost, starts)
			}
		}
	}
}

// TestCutOffVMsThatEndLater guards against a job that is given up for VMs that were cut off, whose runs ended with their
// leases, and that ended long after.
func TestCutOffVMsThatEndLater(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"), testVM("c"))
	r.submit(0, testJob(jobID, onePlainTask()))
	for i := range 2 {
		ms := 30_000 * i
		for _, id := range []string{"a", "b", "c"} {
			if v := r.s.vms[id]; !v.lapsed && !v.ended {
				r.pollRuns(ms, id)
			}
		}
		x := r.starts(ms + 10)
		assert.Equal(t, len(x), 1)
		r.s.HandlePollFailure(at(ms+900), x[0].VM, errNoAnswer) // cut off
		r.s.Decide(at(ms + 5000))                               // its leases have run out
		r.flush(ms + 5000)
		r.endVM(ms+20_000, x[0].VM) // an upkeep, a move or a crash, with nothing running
		r.s.Decide(at(ms + 20_500))
		r.flush(ms + 20_500)
	}
	assert.Assert(t, !r.s.jobs[jobID].state.Final(), "%s: %v", r.s.jobs[jobID].state, crashTexts(r.s.jobs[jobID].findTask(jobs.TaskID{Job: jobID}).crashes))
}

// TestInnocentTaskOnSilentVMs plays an innocent task whose VMs fall silent before they receive the order.
func TestInnocentTaskOnSilentVMs(t *testing.T) {
	c := newCrashSite(t, 14)
	c.submit(c.ms, testJob(jobID, onePlainTask()))
	starts := 0
	for ; c.ms < 60_000 && starts < 5; c.ms += 100 {
		c.list()
		c.pollAll()
		if c.unansweredCrash() {
			starts++
		}
	}
	state, _ := c.s.JobState(jobID)
	assert.Assert(t, state != jobs.Failed, "given up after %d orders, of which no VM has begun one", starts)
}

// TestUnreadableProgressIsNoProgress guards against done tasks that start again since the progress record of their job
// cannot be decoded, as if there were none.
func TestUnreadableProgressIsNoProgress(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, EstimateMS: 9000}))
	x := r.starts(10)
	assert.Equal(t, len(x), 2)
	r.poll(20, "a", site.VMStatus{Running: []site.Run{running(x[1])}, Ended: []site.RunEnd{end(1, x[0], site.Done)}})
	r.flush(20)
	poll, _ := r.s.NextPoll(at(30), "a", false)
	assert.Equal(t, poll.AckCursor, int64(1))
	r.jobLog["p/"+jobID] = r.jobLog["p/"+jobID][:3]
	r.takeover(100, testVM("a"))
	r.poll(110, "a", site.VMStatus{Running: []site.Run{running(x[1])}})
	r.flush(110)
	for _, again := range r.starts(120) {
		assert.Assert(t, again.Task != x[0].Task, "%s starts again", again.Task)
	}
}

// TestRefusedTombstoneLeavesNoProgress guards against a job that is shown as completed by the progress of an earlier job
// of the same ID, which was dropped while the log refused the tombstone.
func TestRefusedTombstoneLeavesNoProgress(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, onePlainTask()))
	x := r.starts(10)
	r.poll(20, "a", site.VMStatus{Ended: []site.RunEnd{end(1, x[0], site.Done)}})
	r.flush(20)
	ms := 20 + int(testPolicy().KeepFinal.Milliseconds()) + 1000
	f, err := r.s.Flush(at(ms), 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, f != nil)
	r.s.FlushRefused(f)
	r.poll(ms, "a", site.VMStatus{})
	r.submit(ms+100, testJob(jobID, onePlainTask()))
	r.takeover(ms+200, testVM("a"))
	state, known := r.s.JobState(jobID)
	assert.Assert(t, known)
	assert.Assert(t, state != jobs.Completed, "a job of which no task has run is shown as %s", state)
}

// TestRackLostAfterVMWasCutOff guards against a panic: a VM was cut off until its leases had run out, answers again and
// is lost with its rack.
func TestRackLostAfterVMWasCutOff(t *testing.T) {
	r := newFixture(t, rackVM("a", "r1-1"), rackVM("b", "r1-1"), rackVM("c", "r1-1"), rackVM("d", "r1-1"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 4, CPU: 5000, EstimateMS: 9000}))
	assert.Equal(t, len(r.starts(10)), 4)
	for _, id := range []string{"a", "b", "c", "d"} {
		r.pollRuns(20, id)
	}
	r.s.HandlePollFailure(at(100), "a", errNoAnswer)
	for ms := 200; ms <= 5600; ms += 200 {
		for _, id := range []string{"b", "c", "d"} {
			r.pollRuns(ms, id)
		}
		r.s.Decide(at(ms))
	}
	assert.Assert(t, r.s.vms["a"].lapsed)
	r.flush(5600)
	r.pollRuns(5700, "a")
	for _, id := range []string{"a", "b", "c", "d"} { // the rack goes dark
		r.s.HandlePollFailure(at(6500), id, errNoAnswer)
	}
	r.endVM(6600, "a")
	r.endVM(6700, "b")
}

// TestSuspectStartsOnSlowVMs guards against a suspect that waits for ever for a VM that has just answered, while all
// answers take long.
func TestSuspectStartsOnSlowVMs(t *testing.T) {
	tests := []struct {
		name   string
		vms    []string
		takeMS int // from a poll to its answer
		paceMS int // between rounds
	}{
		{"one VM", []string{"a", "b"}, 300, 20},
		{"one VM, two seconds", []string{"a", "b"}, 2000, 20},
		{"one VM, rare rounds", []string{"a", "b"}, 300, 180},
		{"several VMs", []string{"a", "b", "c", "d", "e"}, 700, 80},
	}
	for _, tt := range tests {
		var vms []site.VM
		for _, id := range tt.vms {
			vms = append(vms, testVM(id))
		}
		r := newFixture(t, vms...)
		r.submit(0, testJob(jobID, onePlainTask()))
		x := r.orderOne(10)
		r.s.HandleStart(at(100), &x, site.Accepted, errNoAnswer)
		r.endVM(600, x.VM)
		answers := map[int]string{}
		startedAt := 0
		for ms := 700; ms < 20_000 && startedAt == 0; ms++ {
			if id := answers[ms]; id != "" {
				r.poll(ms, id, site.VMStatus{})
			}
			if (ms-700)%tt.paceMS != 0 {
				continue
			}
			for _, a := range r.s.Decide(at(ms)) {
				switch a := a.(type) {
				case PollVM:
					answers[ms+tt.takeMS] = a.VM
				case StartRun:
					startedAt = ms
				}
			}
			r.flush(ms)
		}
		t.Logf("%s: started at %d ms", tt.name, startedAt)
		if startedAt == 0 {
			t.Errorf("%s: a suspect is not started within 20 s", tt.name)
		}
	}
}

// TestRackLossAfterCutOffIsOneCause guards against blame for the loss of a rack: one of its VMs had been cut off until its
// leases had run out, and had answered again.
func TestRackLossAfterCutOffIsOneCause(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		r := newFixture(t, rackVM("a", "r1-1"), rackVM("b", "r1-1"), rackVM("c", "r1-1"), rackVM("d", "r1-1"), rackVM("e", "r1-2"))
		for i := range 5 {
			r.submit(0, testJob(fmt.Sprintf("%016x", i+1), jobs.Step{Count: 1, CPU: 5000, EstimateMS: 60_000}))
		}
		assert.Equal(t, len(r.starts(10)), 5)
		ids := []string{"a", "b", "c", "d", "e"}
		for _, id := range ids {
			r.pollRuns(20, id)
		}
		if cutOff {
			r.s.HandlePollFailure(at(100), "a", errNoAnswer)
		}
		for ms := 200; ms <= 5600; ms += 200 {
			for _, id := range ids {
				if id != "a" || !cutOff {
					r.pollRuns(ms, id)
				}
			}
			r.starts(ms)
			r.flush(ms)
		}
		for ms := 5700; ms <= 6400; ms += 100 {
			for _, id := range ids {
				r.pollRuns(ms, id)
			}
			r.starts(ms)
			r.flush(ms)
		}
		var onA *task
		for _, x := range r.s.vms["a"].runs {
			onA = x.task
		}
		assert.Assert(t, onA != nil, "no run on a")
		for _, id := range ids[:4] { // the rack goes dark
			r.s.HandlePollFailure(at(6500), id, errNoAnswer)
		}
		for i, id := range ids[:4] {
			r.endVM(6600+50*i, id)
		}
		r.s.Decide(at(7000))
		t.Log(cutOff, crashTexts(onA.crashes))
		for _, c := range onA.crashes {
			if c.VM == "a" && c.Share > 0 {
				t.Errorf("cut off before %t: share %.2f of the blame for the loss of a rack", cutOff, c.Share)
			}
		}
	}
}

// TestOrderAgeClearsNoSuspect guards against a suspect that is cleared since its order is old: the order was repeated, and
// the VM has begun the run just now.
func TestOrderAgeClearsNoSuspect(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, onePlainTask()))
	first := r.starts(10)
	assert.Equal(t, len(first), 1)
	r.endVM(110, first[0].VM) // after 100 ms
	r.pollUp(490)
	x := r.orderOne(500)
	r.poll(650, x.VM, site.VMStatus{}) // its order is under way, and has not arrived
	r.poll(800, x.VM, site.VMStatus{Running: []site.Run{{Task: x.Order.Task, Run: x.Order.Run, Percent: 1}}})
	crashes := r.s.jobs[jobID].findTask(jobs.TaskID{Job: jobID}).crashes
	assert.Equal(t, len(crashes), 1, "cleared by a run that is 150 ms old at most, after a crash at 100 ms")
}
