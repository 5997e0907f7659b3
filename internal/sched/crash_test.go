package sched

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/blame"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// maxStartsOfDeadlyTask is the platform's bound: three crashes, then fewer than three starts.
const maxStartsOfDeadlyTask = 5

// crashSite is a pool whose VMs come back some seconds after a crash.
type crashSite struct {
	*fixture
	names []string // of the VMs
	born  map[string]int64
	lives int             // of all VMs
	ended map[string]bool // runs that VMs had when they crashed, as VM, task and number
	ms    int
}

func newCrashSite(t *testing.T, vms int) *crashSite {
	c := &crashSite{fixture: &fixture{t: t, s: New(1, testPolicy(), quietLog()), jobLog: map[string][]byte{}}, born: map[string]int64{}, ended: map[string]bool{}}
	for i := range vms {
		c.boot(fmt.Sprintf("vm%d", i))
	}
	c.list()
	c.pollAll()
	return c
}

func (c *crashSite) boot(name string) {
	c.lives++
	c.names = append(c.names, name)
	c.born[name] = int64(c.lives)
}

func (c *crashSite) list() {
	var list []site.VM
	for _, name := range c.names {
		v := testVM(name)
		v.Born = c.born[name]
		list = append(list, v)
	}
	c.s.SetVMs(at(c.ms), list)
}

func runKey(r *run) string { return fmt.Sprint(r.vm.ID, " ", r.name, " ", r.number) }

// orders runs a scheduling round and returns its start orders. VMs that are up confirm the stop orders.
func (c *crashSite) orders(ms int) []StartRun {
	c.t.Helper()
	var list []StartRun
	for _, a := range c.s.Decide(at(ms)) {
		switch a := a.(type) {
		case StartRun:
			assert.Assert(c.t, a.Dispatch.Attempt())
			list = append(list, a)
		case StopRun:
			if slices.Contains(c.names, a.VM) {
				c.s.HandleStop(at(ms), &a, site.Accepted, nil)
			}
		}
	}
	return list
}

// pollAll has each VM that is up answer a status poll with the runs that the scheduler has there.
func (c *crashSite) pollAll() {
	for _, name := range c.names {
		status := site.VMStatus{Born: c.born[name], ClockMS: int64(c.ms) + 1000}
		if v := c.s.vms[name]; v != nil && v.Born == c.born[name] {
			for task, r := range v.runs {
				if c.ended[runKey(r)] {
					continue
				}
				percent := 50
				if r.step().Lasts {
					percent = 100
				}
				status.Running = append(status.Running, site.Run{Task: task, Run: r.number, Percent: percent})
			}
		}
		c.s.HandlePoll(at(c.ms), name, at(c.ms), &status)
	}
	c.flush(c.ms)
}

// crash ends a VM. It returns as the given incarnation 3 s later, or not at all.
func (c *crashSite) crash(name, returnsAs string) {
	if v := c.s.vms[name]; v != nil {
		for _, r := range v.runList {
			c.ended[runKey(r)] = true
		}
	}
	for i, n := range c.names {
		if n == name {
			c.names = append(c.names[:i:i], c.names[i+1:]...)
			break
		}
	}
	if returnsAs != "" {
		c.boot(returnsAs)
	}
}

// TestTaskThatCrashesVMsIsGivenUp guards against a task that is started without end while it crashes one VM after the other.
func TestTaskThatCrashesVMsIsGivenUp(t *testing.T) {
	tests := []struct {
		name      string
		sameID    bool // VMs return under the identifiers that they had
		gone      bool // VMs do not return
		takeovers bool // a new owner after each crash
	}{
		{"VMs restart under the same ID", true, false, false},
		{"other incarnations answer", false, false, false},
		{"VMs stay silent", false, true, false},
		{"same ID, takeovers", true, false, true},
		{"other incarnations, takeovers", false, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCrashSite(t, 14)
			c.submit(c.ms, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
			starts := 0
			for ; c.ms < 60_000; c.ms += 100 {
				c.list()
				c.pollAll()
				for _, x := range c.starts(c.ms) {
					starts++
					returnsAs := fmt.Sprintf("%s-%d", x.VM, c.ms)
					switch {
					case tt.gone:
						returnsAs = ""
					case tt.sameID:
						returnsAs = x.VM
					}
					c.flush(c.ms)
					c.crash(x.VM, returnsAs)
					if !tt.sameID && !tt.gone {
						c.s.HandlePollFailure(at(c.ms), x.VM, site.ErrOtherIncarnation)
					}
					c.list()
					c.pollAll()
					if tt.takeovers {
						c.takeover(c.ms)
					}
				}
			}
			assert.Assert(t, starts <= maxStartsOfDeadlyTask, "the task was started %d times", starts)
			state, _ := c.s.JobState(jobID)
			assert.Equal(t, state, jobs.Failed)
		})
	}
}

// TestRunsOfEndedVMRestartAtOnce guards against tasks that wait for the leases of a VM whose machine is known
// to be down, and against runs that are released although their VM may be running them.
func TestRunsOfEndedVMRestartAtOnce(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
	first := r.starts(10)[0]
	r.poll(20, "a", site.VMStatus{Running: []site.Run{running(first)}})
	r.s.SetVMs(at(30), []site.VM{testVM("a"), testVM("b")})
	r.poll(30, "b", site.VMStatus{})
	r.flush(30)

	r.s.EndVM(at(40), site.Incarnation{VM: "a", Born: 0})
	assert.Equal(t, len(r.starts(40)), 0, "an earlier incarnation has ended")
	r.s.EndVM(at(50), site.Incarnation{VM: "a", Born: 1})
	r.flush(50)
	restarted := r.starts(50)
	assert.Equal(t, len(restarted), 1)
	assert.Equal(t, restarted[0].VM, "b")

	late := site.VMStatus{Born: 1, ClockMS: 1000, Running: []site.Run{running(first)}}
	r.s.HandlePoll(at(60), "a", at(45), &late)
	assert.Equal(t, len(r.stops(60)), 0, "a reply from before the end was taken for news")
	assert.Equal(t, r.s.vms["a"].polled, false)
}

// TestOrderUnderWayToEndedVM guards against a task that is started again while its start order may still reach
// another incarnation of the VM.
func TestOrderUnderWayToEndedVM(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
	var order StartRun
	for _, a := range r.s.Decide(at(10)) {
		order = a.(StartRun)
	}
	assert.Assert(t, order.Dispatch.Attempt())
	r.s.EndVM(at(20), site.Incarnation{VM: order.VM, Born: 1})
	r.flush(20)
	assert.Equal(t, len(r.starts(20)), 0, "started again before the order was answered")
	r.s.HandleStart(at(30), &order, site.Accepted, site.ErrNotDone)
	assert.Equal(t, len(r.starts(30)), 1)
}

// TestLostLongRunningTasksRestartAtOnce guards against long-running tasks that wait as suspects, one after the
// other, after the loss of the VM that ran them.
func TestLostLongRunningTasksRestartAtOnce(t *testing.T) {
	r := newFixture(t, testVM("a"))
	const other = "00000000000000a2"
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, Lasts: true, MayMiss: 1}))
	r.submit(0, testJob(other, jobs.Step{Count: 1, CPU: 1000, Lasts: true, MayMiss: 1}))
	assert.Equal(t, len(r.starts(10)), 2)
	r.s.SetVMs(at(30_000), []site.VM{testVM("a"), testVM("b")})
	for _, vm := range []string{"a", "b"} {
		var status site.VMStatus
		for _, x := range r.s.vms[vm].runs {
			status.Running = append(status.Running, site.Run{Task: x.task.id.String(), Run: x.number, Percent: 100})
		}
		r.poll(30_000, vm, status)
	}
	r.flush(30_000)
	r.s.EndVM(at(30_100), site.Incarnation{VM: "a", Born: 1})
	assert.Equal(t, len(r.starts(30_100)), 0, "started before the job log holds the crash")
	r.flush(30_110)
	assert.Equal(t, len(r.starts(30_110)), 2)
}

// TestDeadlyLongRunningTaskIsHeld guards against a long-running task that crashes VMs without end, and against
// the stop of the other tasks of its job, which callers did not cancel.
func TestDeadlyLongRunningTaskIsHeld(t *testing.T) {
	c := newCrashSite(t, 14)
	c.submit(c.ms, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, PerVM: 1, Lasts: true, MayMiss: 1}))
	starts := 0
	for ; c.ms < 60_000; c.ms += 100 {
		c.list()
		c.pollAll()
		for _, a := range c.s.Decide(at(c.ms)) {
			x, ok := a.(StartRun)
			assert.Assert(t, ok && x.Dispatch.Attempt(), "%T", a)
			c.s.HandleStart(at(c.ms), &x, site.Accepted, nil)
			if x.Task.Index == 0 {
				starts++
				c.crash(x.VM, fmt.Sprintf("%s-%d", x.VM, c.ms))
				c.s.EndVM(at(c.ms), site.Incarnation{VM: x.VM, Born: c.s.vms[x.VM].Born})
			}
		}
	}
	assert.Assert(t, starts > 1 && starts <= maxStartsOfDeadlyTask, "the task was started %d times", starts)
	state, _ := c.s.JobState(jobID)
	assert.Equal(t, state, jobs.Running)
}

// TestDeadlyTaskOfGangIsGivenUp guards against a gang that is started without end while one of its tasks crashes
// VMs: the ends of the others count as no attempt either.
func TestDeadlyTaskOfGangIsGivenUp(t *testing.T) {
	c := newCrashSite(t, 14)
	c.submit(c.ms, testJob(jobID, jobs.Step{Count: 3, CPU: 5000, EstimateMS: 1000, Gang: true}))
	sequence := map[string]int64{}
	starts := 0
	for ; c.ms < 60_000; c.ms += 100 {
		c.list()
		c.pollAll()
		gang := c.starts(c.ms)
		for _, x := range gang {
			if x.Task.Index == 0 {
				starts++
				c.crash(x.VM, fmt.Sprintf("%s-%d", x.VM, c.ms))
				c.s.EndVM(at(c.ms), site.Incarnation{VM: x.VM, Born: c.s.vms[x.VM].Born})
				continue
			}
			sequence[x.VM]++
			c.s.HandlePoll(at(c.ms), x.VM, at(c.ms), &site.VMStatus{
				Born: c.born[x.VM], ClockMS: int64(c.ms) + 1000, Ended: []site.RunEnd{end(sequence[x.VM], x, site.Broken)},
			})
		}
		c.flush(c.ms)
	}
	assert.Assert(t, starts > 1 && starts <= maxStartsOfDeadlyTask, "the gang was started %d times", starts)
	state, _ := c.s.JobState(jobID)
	assert.Equal(t, state, jobs.Failed)
}

// TestSuspectGetsNoCopy guards against a second VM that a task crashes by a speculative run.
func TestSuspectGetsNoCopy(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	j := testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000, Copies: true})
	j.MaxAttempts = 4
	r.submit(0, j)
	r.suspect(0, jobID)
	x := r.starts(10)[0]
	r.pollRuns(20, x.VM)
	assert.Assert(t, r.s.copyableRun(at(30), r.s.jobs[jobID].findTask(x.Task)) == nil)
}

// TestCrashDuringTakeoverCounts guards against crashes that count for nobody since the owner changes before it
// is known: the next one learns of the runs from a handover, or of suspects from their records.
func TestCrashDuringTakeoverCounts(t *testing.T) {
	for _, handedOver := range []bool{true, false} {
		r := newFixture(t, testVM("a"), testVM("b"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
		before := 0
		if !handedOver {
			r.suspect(0, jobID)
			before = 1
		}
		first := r.starts(10)[0]
		r.flush(20)
		if handedOver {
			r.retire(30)
		}
		vms := []site.VM{testVM("a"), testVM("b")}
		r.takeover(40, vms...)
		for i := range vms {
			if vms[i].ID == first.VM {
				vms[i].Born = 2
			}
		}
		r.s.SetVMs(at(3500), vms)
		crashes := r.s.jobs[jobID].findTask(first.Task).crashes
		assert.Equal(t, len(crashes), before+1, "handed over: %t", handedOver)
		assert.Equal(t, crashes[before].VM, first.VM)
	}
}

// TestSuspectsThatCrashVMsAtOnce guards against crashes that count for nobody since several suspects, which are
// tried in the same round, crash their VMs at the same time.
func TestSuspectsThatCrashVMsAtOnce(t *testing.T) {
	const vms = 20 // so that five may be on trial
	c := newCrashSite(t, vms)
	for i := range fleetVMs {
		id := fmt.Sprintf("%016x", i+1)
		c.submit(c.ms, testJob(id, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
		c.suspect(c.ms, id)
	}
	runs := c.starts(10)
	assert.Equal(t, len(runs), fleetVMs)
	for _, x := range runs {
		c.s.HandlePollFailure(at(20), x.VM, errors.New("connection reset"))
		c.s.EndVM(at(30), site.Incarnation{VM: x.VM, Born: c.born[x.VM]})
	}
	c.starts(30 + int(verdictDelay.Milliseconds()))
	c.flush(1000)
	for _, x := range runs {
		state, _ := c.s.JobState(x.Task.Job)
		assert.Equal(t, state, jobs.Failed)
	}
}

// TestCrashBeforeCordonCounts guards against a crash that counts for nobody since the VM, which looks idle
// afterwards, is cordoned before the crash is known, and against blame for the end of a VM that was about to be
// moved.
func TestCrashBeforeCordonCounts(t *testing.T) {
	for _, cordonedFirst := range []bool{false, true} {
		r := newFixture(t, testVM("a"), testVM("b"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
		first := r.starts(10)[0]
		if cordonedFirst {
			r.s.Cordon(at(15), "pool", []string{first.VM})
		}
		r.s.HandlePollFailure(at(20), first.VM, errors.New("connection reset"))
		r.s.Cordon(at(200), "pool", []string{first.VM})
		r.s.EndVM(at(400), site.Incarnation{VM: first.VM, Born: 1})
		assert.Equal(t, len(r.s.jobs[jobID].findTask(first.Task).crashes) == 0, cordonedFirst)
	}
}

// TestOperatorsSeeSuspects guards against a task that waits, or a job that failed, without a reason that an
// operator can see, also under the next owner.
func TestOperatorsSeeSuspects(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
	x := r.suspect(0, jobID)
	r.s.pool("pool").fullAt = at(0)
	view := r.s.Explain(at(10), jobID)
	assert.Assert(t, strings.Contains(view.Tasks[0].Why, "a VM crashed while it ran it"), view.Tasks[0].Why)
	assert.Assert(t, strings.Contains(view.Tasks[0].Crashes[0], "gone"))
	x.crashes = append(x.crashes, blame.Crash{VM: "a", Born: 1, Share: 1})
	assert.Assert(t, strings.Contains(r.s.Explain(at(10), jobID).Tasks[0].Why, "not started again"))
	r.s.Decide(at(1000))
	r.flush(1000)
	for range 2 {
		why := r.s.Explain(at(1000), jobID).Why
		assert.Assert(t, strings.Contains(why, jobID+".0.0.0") && strings.Contains(why, "VM a"), why)
		r.takeover(1100)
	}
}

// TestSuspectWaitsForItsRecord guards against a task that is started without end by owners that are lost in an
// outage of the log with all crashes that they have seen.
func TestSuspectWaitsForItsRecord(t *testing.T) {
	c := newCrashSite(t, 14)
	c.submit(c.ms, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
	starts := 0
	for outage := range 4 {
		for range 30 { // no flush is stored
			c.ms += 100
			c.list()
			for _, name := range c.names {
				c.s.HandlePoll(at(c.ms), name, at(c.ms), &site.VMStatus{Born: c.born[name], ClockMS: int64(c.ms) + 1000})
			}
			for _, x := range c.starts(c.ms) {
				starts++
				c.crash(x.VM, x.VM)
				c.list()
			}
		}
		assert.Assert(t, starts <= outage+1, "outage %d: started %d times without a record", outage, starts)
		c.takeover(c.ms)
		c.list()
		c.pollAll()
	}
}
