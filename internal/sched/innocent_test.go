package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// crashUnderRun starts the only task that waits, has the VM confirm it and crash, and returns the VM.
func (r *fixture) crashUnderRun(ms int) string {
	r.t.Helper()
	x := r.starts(ms)
	assert.Equal(r.t, len(x), 1)
	r.endVM(ms+50, x[0].VM)
	return x[0].VM
}

// TestJobIsNotGivenUpForUnconfirmedCrashes guards against a job that is shown as failed although no two VMs have
// crashed under a task of it: a VM had been silent before the order, or was cut off.
func TestJobIsNotGivenUpForUnconfirmedCrashes(t *testing.T) {
	vms := func() []site.VM { return []site.VM{testVM("a"), testVM("b"), testVM("c")} }
	tests := []struct {
		name string
		step jobs.Step
		play func(r *fixture) (ms int) // returns when the last loss is known
	}{
		{"second order not answered before the loss is known", onePlainTask(), func(r *fixture) int {
			r.crashUnderRun(10)
			r.endVM(400, r.orderOne(100).VM)
			return 400
		}},
		{"second order not answered", onePlainTask(), func(r *fixture) int {
			r.crashUnderRun(10)
			x := r.orderOne(100)
			r.s.HandleStart(at(200), &x, site.Accepted, errNoAnswer)
			r.endVM(400, x.VM)
			return 400
		}},
		{"first order not answered", onePlainTask(), func(r *fixture) int {
			r.endVM(400, r.orderOne(10).VM)
			r.s.HandleStart(at(500), &StartRun{VM: "a", Order: site.Start{Task: jobID + ".0.0.0", Run: 1}}, site.Accepted, errNoAnswer)
			r.s.HandleStart(at(500), &StartRun{VM: "b", Order: site.Start{Task: jobID + ".0.0.0", Run: 1}}, site.Accepted, errNoAnswer)
			r.s.HandleStart(at(500), &StartRun{VM: "c", Order: site.Start{Task: jobID + ".0.0.0", Run: 1}}, site.Accepted, errNoAnswer)
			r.pollUp(510)
			r.crashUnderRun(510)
			return 560
		}},
		{"three orders, one of them answered", onePlainTask(), func(r *fixture) int {
			r.crashUnderRun(10)
			for i := range 2 {
				r.pollUp(1000 * (i + 1))
				x := r.orderOne(1000 * (i + 1))
				r.s.HandleStart(at(1000*(i+1)+100), &x, site.Accepted, errNoAnswer)
				r.endVM(1000*(i+1)+400, x.VM)
			}
			return 2400
		}},
		{"second order certainly not carried out", onePlainTask(), func(r *fixture) int {
			r.crashUnderRun(10)
			x := r.orderOne(100)
			r.endVM(110, x.VM)
			r.s.HandleStart(at(120), &x, site.Accepted, site.ErrNotDone)
			return 120
		}},
		{"second order reaches another incarnation", onePlainTask(), func(r *fixture) int {
			r.crashUnderRun(10)
			x := r.orderOne(100)
			r.s.HandleStart(at(120), &x, site.Accepted, site.ErrOtherIncarnation)
			r.flush(120)
			return 120
		}},
		{"VM restarts under the same ID", onePlainTask(), func(r *fixture) int {
			first := r.crashUnderRun(10)
			x := r.orderOne(100)
			r.s.HandleStart(at(200), &x, site.Accepted, errNoAnswer)
			list := vms()
			for i := range list {
				if list[i].ID == x.VM || list[i].ID == first {
					list[i].Born = 2
				}
			}
			r.s.SetVMs(at(400), list)
			r.flush(400)
			return 400
		}},
		{"owner killed after the second order", onePlainTask(), func(r *fixture) int {
			r.crashUnderRun(10)
			x := r.orderOne(100)
			r.flush(100)
			r.takeover(150, vms()...)
			r.endVM(400, x.VM)
			return 400
		}},
		{"handover after the second order", onePlainTask(), func(r *fixture) int {
			r.crashUnderRun(10)
			x := r.orderOne(100)
			r.retire(110)
			r.takeover(150, vms()...)
			r.endVM(400, x.VM)
			return 400
		}},
		{"owner killed after the loss under the second order", onePlainTask(), func(r *fixture) int {
			r.crashUnderRun(10)
			r.endVM(200, r.orderOne(100).VM)
			r.takeover(250, vms()...)
			return 250
		}},
		{"gang", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000, Gang: true}, func(r *fixture) int {
			r.crashUnderRun(10)
			r.endVM(400, r.orderOne(100).VM)
			return 400
		}},
		{"may have copies", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000, Copies: true}, func(r *fixture) int {
			r.crashUnderRun(10)
			r.endVM(400, r.orderOne(100).VM)
			return 400
		}},
		{"VMs are cut off until their leases have run out", onePlainTask(), func(r *fixture) int {
			for i := range 2 {
				ms := 6000 * i
				for _, id := range []string{"a", "b", "c"} {
					if v := r.s.vms[id]; !v.lapsed {
						r.pollRuns(ms, id)
					}
				}
				x := r.starts(ms + 10)
				assert.Equal(r.t, len(x), 1)
				r.s.HandlePollFailure(at(ms+900), x[0].VM, errNoAnswer)
				r.s.Decide(at(ms + 5000))
				r.flush(ms + 5000)
			}
			return 11_000
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, vms()...)
			r.submit(0, testJob(jobID, tt.step))
			ms := tt.play(r) + int(verdictDelay.Milliseconds()) + 10
			r.s.Decide(at(ms))
			r.flush(ms)
			state, known := r.s.JobState(jobID)
			assert.Assert(t, known)
			assert.Assert(t, !state.Final(), "%s: %v", state, crashTexts(r.s.jobs[jobID].findTask(jobs.TaskID{Job: jobID}).crashes))
		})
	}
}

// TestUnansweredDeadlyTaskIsGivenUp guards against a task that is started without end since it crashes its VMs
// before they have answered the start order.
func TestUnansweredDeadlyTaskIsGivenUp(t *testing.T) {
	tests := []struct {
		name  string
		known string // how the owner learns of a crash
		after string // what happens then
	}{
		{"machine is down", "inventory", ""},
		{"machine is down before the order is given up on", "inventory first", ""},
		{"restarts under the same ID", "restart", ""},
		{"another incarnation answers", "other", ""},
		{"leases run out", "leases", ""},
		{"takeovers after kills", "inventory", "kill"},
		{"takeovers after handovers", "inventory", "handover"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
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
					c.crash(x.VM, map[bool]string{true: x.VM, false: fmt.Sprintf("%s-%d", x.VM, c.ms)}[tt.known == "restart"])
					c.s.HandlePollFailure(at(c.ms), x.VM, errNoAnswer)
					if tt.known == "inventory first" {
						c.s.EndVM(at(c.ms), site.Incarnation{VM: x.VM, Born: born})
					}
					c.s.HandleStart(at(c.ms+50), &x, site.Accepted, errNoAnswer)
					switch tt.known {
					case "inventory":
						c.s.EndVM(at(c.ms+90), site.Incarnation{VM: x.VM, Born: born})
					case "other":
						c.s.HandlePollFailure(at(c.ms+90), x.VM, site.ErrOtherIncarnation)
					}
					c.flush(c.ms + 90)
					switch tt.after {
					case "kill":
						c.takeover(c.ms + 90)
					case "handover":
						c.retire(c.ms + 90)
						c.takeover(c.ms + 90)
					}
				}
			}
			assert.Assert(t, starts > 1 && starts <= maxStartsOfDeadlyTask, "the task was started %d times", starts)
			state, _ := c.s.JobState(jobID)
			assert.Equal(t, state, jobs.Failed)
		})
	}
}

// TestSuspectIsStartedOnVMThatAnswers guards against a second crash under a task on a VM that had fallen silent
// before the order, while it is not known whether the first one had begun its run.
func TestSuspectIsStartedOnVMThatAnswers(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, onePlainTask()))
	x := r.orderOne(10)
	r.s.HandleStart(at(100), &x, site.Accepted, errNoAnswer)
	r.endVM(600, x.VM)
	polled := map[string]bool{}
	for _, a := range r.s.Decide(at(700)) {
		switch a := a.(type) {
		case PollVM:
			polled[a.VM] = true
		case StartRun:
			t.Fatalf("started on %s, which last answered 700 ms ago", a.VM)
		}
	}
	assert.Equal(t, len(polled), 1)
	r.pollUp(710)
	r.orderOne(720)
}

// TestVMThatEndsAfterItsLeasesProvesNothing guards against a job that is given up for the crash of a VM that was cut off
// before: its runs may have ended with their leases, before the crash.
func TestVMThatEndsAfterItsLeasesProvesNothing(t *testing.T) {
	tests := []struct {
		name string
		end  func(r *fixture, ms int, vm string)
	}{
		{"machine is down", func(r *fixture, ms int, vm string) { r.endVM(ms, vm) }},
		{"another incarnation answers", func(r *fixture, ms int, vm string) {
			r.s.HandlePollFailure(at(ms), vm, site.ErrOtherIncarnation)
		}},
		{"restarts under the same ID", func(r *fixture, ms int, vm string) {
			r.s.HandlePoll(at(ms), vm, at(ms), &site.VMStatus{Born: 2, ClockMS: 1})
		}},
		{"takeover before", func(r *fixture, ms int, vm string) {
			r.flush(ms)
			r.takeover(ms, testVM("a"), testVM("b"), testVM("c"))
			r.endVM(ms, vm)
		}},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"), testVM("b"), testVM("c"))
		r.submit(0, testJob(jobID, onePlainTask()))
		r.crashUnderRun(10)
		r.pollUp(100)
		x := r.starts(110)
		assert.Equal(t, len(x), 1)
		r.s.HandlePollFailure(at(120), x[0].VM, errNoAnswer)
		r.s.Decide(at(5000))
		r.flush(5000)
		r.s.Decide(at(5300))
		tt.end(r, 5400, x[0].VM)
		r.s.Decide(at(5700))
		r.s.Decide(at(6000))
		assert.Assert(t, !r.s.jobs[jobID].state.Final(), "%s: given up", tt.name)
		assert.Equal(t, len(r.s.jobs[jobID].findTask(x[0].Task).crashes), 2, "%s: the loss does not count towards the limit", tt.name)
	}
}

// TestOrderUnderWayCountsOnce guards against one start that counts as two crashes, since its VM restarts twice before
// the order is given up on.
func TestOrderUnderWayCountsOnce(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, onePlainTask()))
	x := r.orderOne(10)
	for born := int64(2); born < 4; born++ {
		v := testVM("a")
		v.Born = born
		r.s.SetVMs(at(100*int(born)), []site.VM{v})
	}
	assert.Equal(t, len(r.s.jobs[jobID].findTask(x.Task).crashes), 1)
}
