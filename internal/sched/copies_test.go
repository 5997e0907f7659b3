package sched

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/rtime"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestWeighCopy guards against copies that cost more than they are expected to bring.
func TestWeighCopy(t *testing.T) {
	straggler := rtime.Race{FirstChance: 0.9, Saved: 4, SecondTime: 1.2, Within: 0.1, EitherIn: 0.9}
	onTime := rtime.Race{FirstChance: 0.9, Saved: 4, SecondTime: 1.2, Within: 1, EitherIn: 1}
	late := rtime.Race{FirstChance: 0.9, Saved: 4, SecondTime: 1.2}
	hardlyFirst := rtime.Race{FirstChance: 0.2, Saved: 0.1, SecondTime: 0.5, Within: 0.1, EitherIn: 0.3}
	terms := copyTerms{jobWork: 8, cores: 1, baseS: 1, lateWindow: 10, inUse: 0.6, factor: 1}
	with := func(change func(*copyTerms)) copyTerms { c := terms; change(&c); return c }
	tests := []struct {
		name  string
		race  rtime.Race
		terms copyTerms
		want  bool
	}{
		{"a straggler that makes its job late", straggler, terms, true},
		{"the job is in time anyway", onTime, terms, false},
		{"a late job is less late", late, with(func(c *copyTerms) { c.jobWork = 100 }), true},
		{"a small late job", late, terms, false},
		{"the copy hardly ever ends first", hardlyFirst, with(func(c *copyTerms) { c.jobWork = 1000 }), false},
		{"large tasks of a small job in a busy pool", straggler, with(func(c *copyTerms) { c.cores, c.inUse = 10, 0.9 }), false},
		{"copies of the queue have never won", straggler, with(func(c *copyTerms) { c.factor = (&copyRecord{Predicted: 20}).factor() }), false},
	}
	for _, tt := range tests {
		g := weighCopy(&tt.race, &tt.terms)
		assert.Equal(t, g.worthwhile(), tt.want, "%s: %+v", tt.name, g)
	}
}

// copyFixture is a scheduler that knows its queue's run times, with a job of 4 tasks of 500 ms that began
// at 10 ms. Three of them are done at 510 ms.
func copyFixture(t *testing.T, step jobs.Step) (r *fixture, straggler StartRun) {
	t.Helper()
	a, b, c := testVM("a"), testVM("b"), testVM("c")
	c.Labels = []string{"a", "r1-2"}
	r = newFixture(t, a, b, c)
	r.warm()
	step.Count, step.CPU, step.EstimateMS, step.Copies = 4, 1000, 500, true
	j := testJob(jobID, step)
	j.Stretch, j.TargetMS = 1, 1000
	r.submit(0, j)
	runs := r.starts(10)
	assert.Equal(t, len(runs), 4)
	r.poll(510, runs[0].VM, site.VMStatus{Running: []site.Run{atOnePercent(runs[3])}, Ended: []site.RunEnd{ended(runs[0], 1), ended(runs[1], 2), ended(runs[2], 3)}})
	return r, runs[3]
}

// warm gives the queue a distribution in which one run in 20 takes 7 times as long.
func (r *fixture) warm() {
	for i := range 100 {
		r.s.queue("q").addTask([]float64{1, 7}[i/95])
	}
}

func ended(x StartRun, sequence int64) site.RunEnd { return end(sequence, x, site.Done) }

// atOnePercent lists a run whose progress is too small to extrapolate its end.
func atOnePercent(x StartRun) site.Run {
	listed := running(x)
	listed.Percent = 1
	return listed
}

// copyOf polls all VMs at 800 ms, when the straggler is one, and returns its copy.
func (r *fixture) copyOf(x StartRun) StartRun {
	r.t.Helper()
	r.pollAll(800, x)
	copies := r.starts(800)
	assert.Equal(r.t, len(copies), 1)
	assert.Equal(r.t, copies[0].Order.Task, x.Order.Task)
	assert.Assert(r.t, copies[0].VM != x.VM && copies[0].Order.Run > x.Order.Run)
	return copies[0]
}

// pollAll polls all VMs, of which those of the given runs list them.
func (r *fixture) pollAll(ms int, runs ...StartRun) {
	for _, vm := range []string{"a", "b", "c"} {
		status := site.VMStatus{}
		for _, x := range runs {
			if x.VM == vm {
				status.Running = append(status.Running, atOnePercent(x))
			}
		}
		r.poll(ms, vm, status)
	}
}

// TestStragglerGetsOneCopy guards against a second copy, one in the same rack although another has room,
// and a loser that is not stopped at once, whichever run wins; both may end before the next round.
func TestStragglerGetsOneCopy(t *testing.T) {
	for _, first := range []bool{true, false} {
		r, x := copyFixture(t, jobs.Step{})
		c := r.copyOf(x)
		assert.Equal(t, c.VM, "c", "the only VM of another rack")
		r.pollAll(900, x, c)
		assert.Equal(t, len(r.starts(900)), 0)
		winner, loser := c, x
		if first {
			winner, loser = x, c
		}
		r.poll(1000, winner.VM, site.VMStatus{Ended: []site.RunEnd{ended(winner, 9)}})
		stops := r.stops(1000)
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, stops[0].Run, loser.Order.Run)
		r.poll(1010, loser.VM, site.VMStatus{Ended: []site.RunEnd{ended(loser, 9)}})
		assert.Equal(t, r.s.jobs[jobID].state, jobs.Completed)
		stats := r.s.Stats()
		assert.Equal(t, stats.Copies, 1)
		assert.Equal(t, stats.CopiesWon == 1, !first)
		assert.Equal(t, stats.CopyWasteCoreMS > 0, first)
		assert.Equal(t, stats.Done, 4)
	}
}

// TestNoCopy guards against copies that take capacity from waiting jobs, run on VMs that are likely to be
// slow, exceed the attempts, or run beside a run that is not known.
func TestNoCopy(t *testing.T) {
	tests := map[string]func(r *fixture, x StartRun){
		"a task waits": func(r *fixture, _ StartRun) {
			r.submit(700, testJob("00000000000000a2", jobs.Step{Count: 1, CPU: 9000, EstimateMS: 500}))
		},
		"a job was refused":   func(r *fixture, _ StartRun) { r.s.pool("pool").refusedAt = at(700) },
		"no share for copies": func(r *fixture, _ StartRun) { r.s.policy.CopyShare = 0.04 }, // one core of 24 is 0.0417
		"no attempt left":     func(r *fixture, _ StartRun) { r.s.jobs[jobID].MaxAttempts = 1 },
		"no samples":          func(r *fixture, _ StartRun) { *r.s.queue("q") = queueStats{} },
		"VMs on probation":    func(r *fixture, x StartRun) { r.eachOther(x, func(v *vm) { v.probation = true }) },
		"slow VMs":            func(r *fixture, x StartRun) { r.eachOther(x, func(v *vm) { v.speed = 2 }) },
		"cold VMs":            func(r *fixture, x StartRun) { r.eachOther(x, func(v *vm) { v.ColdMS = 1000 }) },
		"quarantined VMs":     func(r *fixture, x StartRun) { r.eachOther(x, func(v *vm) { v.quarantinedUntil = at(9000) }) },
		"may run elsewhere": func(r *fixture, x StartRun) {
			r.s.unverified["d"] = at(9000)
			r.s.vms[x.VM].runs[x.Order.Task].task.unverified = true
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			r, x := copyFixture(t, jobs.Step{})
			change(r, x)
			r.pollAll(800, x)
			assert.Equal(t, len(r.starts(800)), 0)
		})
	}
	for name, step := range map[string]jobs.Step{"gang": {Gang: true}, "best effort": {Fills: true}} {
		r, x := copyFixture(t, step)
		r.pollAll(800, x)
		assert.Equal(t, len(r.starts(800)), 0, name)
	}
}

func (r *fixture) eachOther(x StartRun, change func(*vm)) {
	for _, v := range r.s.vms {
		if v.ID != x.VM {
			change(v)
		}
	}
}

// TestTakeoverKeepsBothRuns guards against a new owner that stops one of two runs, in whichever order it
// learns of them, and against one that keeps three, or two of a step without copies.
func TestTakeoverKeepsBothRuns(t *testing.T) {
	for _, order := range []string{"abc", "cba"} {
		r, x := copyFixture(t, jobs.Step{})
		c := r.copyOf(x)
		r.flush(800)
		third := c
		third.VM, third.Order.Run = strings.Trim("abc", x.VM+c.VM), c.Order.Run+1
		r.takeover(900, testVM("a"), testVM("b"), testVM("c"))
		for i, vm := range strings.Split(order, "") {
			for _, run := range []StartRun{x, c} {
				if run.VM == vm {
					r.poll(900+i, vm, site.VMStatus{Running: []site.Run{atOnePercent(run)}})
				}
			}
		}
		assert.Equal(t, len(r.stops(910)), 0, order)
		r.poll(920, third.VM, site.VMStatus{Running: []site.Run{atOnePercent(third)}})
		stops := r.stops(920)
		assert.Equal(t, len(stops), 1, order)
		assert.Equal(t, stops[0].Run, third.Order.Run)
		task := r.s.vms[c.VM].runs[c.Order.Task].task
		assert.Assert(t, task.runs[0].copy == nil != (task.runs[1].copy == nil), "one of them is the copy")
		r.poll(930, c.VM, site.VMStatus{Ended: []site.RunEnd{ended(c, 1)}})
		assert.Equal(t, r.stops(940)[0].Run, x.Order.Run)
		assert.Equal(t, task.step.withoutRun+len(task.runs)-1, task.step.Count-task.step.done)
	}
}

// TestOnlyRunsOfEarlierOwnersAreAdoptedBesideAnother guards against a run of this owner that is taken up
// again after it was released.
func TestOnlyRunsOfEarlierOwnersAreAdoptedBesideAnother(t *testing.T) {
	r, x := copyFixture(t, jobs.Step{})
	c := r.copyOf(x)
	r.s.releaseRun(r.s.vms[c.VM].runs[c.Order.Task], "lost")
	r.poll(820, c.VM, site.VMStatus{Running: []site.Run{atOnePercent(c)}})
	stops := r.stops(820)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, c.Order.Run)
}

// TestCheckpointsOfTwoRuns guards against a copy that starts from the first run's checkpoint, and against
// a task that goes back to the checkpoint of the run that is behind.
func TestCheckpointsOfTwoRuns(t *testing.T) {
	r, x := copyFixture(t, jobs.Step{Saves: true})
	listed := atOnePercent(x)
	listed.Checkpoint, listed.Percent = "first-40", 40
	r.poll(700, x.VM, site.VMStatus{Running: []site.Run{listed}})
	r.s.vms[x.VM].runs[x.Order.Task].startedAt = at(-2000) // so that the rest is expected to take long
	r.poll(800, x.VM, site.VMStatus{Running: []site.Run{listed}})
	c := r.starts(800)[0]
	assert.Equal(t, c.Order.Checkpoint, "")
	behind := atOnePercent(c)
	behind.Checkpoint, behind.Percent = "copy-20", 20
	r.poll(850, c.VM, site.VMStatus{Running: []site.Run{behind}})
	task := r.s.vms[x.VM].runs[x.Order.Task].task
	assert.Equal(t, task.checkpoint, "first-40")
	r.poll(900, x.VM, site.VMStatus{Ended: []site.RunEnd{end(9, x, site.Failed)}})
	r.poll(900, c.VM, site.VMStatus{Running: []site.Run{behind}})
	assert.Equal(t, len(task.failedRuns), 1)
	assert.Equal(t, len(task.runs), 1, "the copy goes on")
}

// TestRunTimesSurviveHandover guards against run times that are lost with a handover, change the record
// that older versions read, make the records too large, or are used although damaged.
func TestRunTimesSurviveHandover(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.warm()
	r.retire(10)
	_, err := jobs.Decode[formerHandover](r.jobLog[handoverKey])
	assert.NilError(t, err)
	r.takeover(20, testVM("a"))
	assert.Equal(t, r.s.queue("q").tasks.Samples(), 100)
	assert.Equal(t, len(r.s.appendRunTimes(nil, 50)), 0)

	former, err := jobs.Encode(&formerHandover{Epoch: 1, Unknown: []string{"a"}})
	assert.NilError(t, err)
	damaged, err := jobs.Encode(&[]queueRecord{{Name: "q", Tasks: []byte{1, 0xff}, Actual: -1, Declared: 5}})
	assert.NilError(t, err)
	for _, value := range [][]byte{damaged, {0xc1}} {
		s := New(2, testPolicy(), quietLog())
		s.Restore(at(0), 1, []site.Record{{Key: handoverKey, Value: former}, {Key: runTimesKey, Value: value}})
		assert.Assert(t, s.inherited != nil)
		assert.Equal(t, s.queue("q").chainRatio(), 1.0)
		assert.Equal(t, s.queue("q").tasks.Samples(), 0)
	}
}

// formerHandover is the handover record of the versions before run times were handed over.
type formerHandover struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Epoch    int64
	Tasks    map[string][]string
	Unknown  []string
}

// TestUnusualRunsAreNotCounted guards against run times of slow VMs, and of adopted runs whose start is not
// known, that enter the distribution of the queue.
func TestUnusualRunsAreNotCounted(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.warm()
	v := r.s.vms["a"]
	st := newOccurrence(newJob(testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500, Copies: true})), 0).steps[0]
	record := func(tookMS int, x run) int {
		before := r.s.queue("q").tasks.Samples()
		x.task, x.spec, x.vm, x.startedAt = st.tasks[0], st.Step, v, at(0)
		st.tasks[0].runs = []*run{&x}
		r.s.recordRun(at(tookMS), &x)
		return r.s.queue("q").tasks.Samples() - before
	}
	assert.Equal(t, record(500, run{}), 1)
	assert.Equal(t, record(50, run{adopted: true}), 0)
	for range 10 {
		record(3000, run{})
	}
	assert.Assert(t, r.s.isSlow(v))
	assert.Equal(t, record(3000, run{}), 0)
	assert.Assert(t, !r.s.isSlow(r.s.vms["b"]))
	for range 200 {
		r.s.pool("pool").speed.add(2.6, 0.02) // all VMs take 6 times as long: the declared times have changed
	}
	assert.Equal(t, record(3000, run{}), 1)
}

// TestTakeoverCountsBothRuns guards against a new owner that counts a task with two runs once: a start
// could then exceed the quota of the account. It counts both until their VMs answer, with and without a
// handover record, and the loser of a finished race until it has stopped.
func TestTakeoverCountsBothRuns(t *testing.T) {
	for _, handover := range []bool{false, true} {
		r, x := copyFixture(t, jobs.Step{})
		r.s.jobs[jobID].Account = "acme"
		var err error
		r.jobLog[jobKeyPrefix+jobID], err = jobs.Encode(r.s.jobs[jobID].Job)
		assert.NilError(t, err)
		c := r.copyOf(x)
		r.flush(800)
		if handover {
			r.retire(800)
		}
		r.takeover(900, testVM("a"), testVM("b"), testVM("c"))
		r.s.SetAccounts(accountsWithLimit(50_000))
		used := func(ms int) int { return r.grant(ms, 1).Loads[0].Used.CPU }
		assert.Assert(t, used(900) >= 2000, "handover %v: both VMs are unverified", handover)
		r.poll(910, x.VM, site.VMStatus{Running: []site.Run{atOnePercent(x)}})
		assert.Assert(t, used(910) >= 2000, "handover %v: the copy's VM is unverified", handover)
		r.pollAll(920, x, c)
		assert.Equal(t, used(920), 2000, "handover %v", handover)

		r.poll(930, x.VM, site.VMStatus{Ended: []site.RunEnd{ended(x, 9)}})
		assert.Equal(t, r.s.jobs[jobID].state, jobs.Completed)
		r.flush(930)
		r.takeover(940, testVM("a"), testVM("b"), testVM("c"))
		r.s.SetAccounts(accountsWithLimit(50_000))
		loads := r.grant(940, 1).Loads
		assert.Assert(t, len(loads) == 1 && loads[0].Used.CPU >= 1000, "the copy is being stopped")
	}
}

// TestTaskAtQuotaPreventsNoCopies guards against one account at its quota that ends copies for all jobs
// of the pool: its waiting tasks cannot use the capacity.
func TestTaskAtQuotaPreventsNoCopies(t *testing.T) {
	r, x := copyFixture(t, jobs.Step{})
	r.s.SetAccounts(accountsWithLimit(1000))
	r.grant(600, 0)
	r.submit(700, quotaJob("00000000000000a2", "acme", oneCore(1)))
	r.copyOf(x)
}

// TestCopiesLeaveIdleShareOfUsableVMs guards against copies that take the last cores which may get runs,
// while cores of VMs that do not answer count as idle.
func TestCopiesLeaveIdleShareOfUsableVMs(t *testing.T) {
	r, x := copyFixture(t, jobs.Step{})
	r.s.policy.CopyShare = 1
	r.submit(700, testJob("00000000000000a2", jobs.Step{Count: 14, CPU: 1000, EstimateMS: 5000}))
	other := ""
	for _, vm := range []string{"a", "b", "c"} {
		if vm != x.VM {
			other = vm
		}
	}
	r.s.vms[other].pollFailed = true
	assert.Equal(t, len(r.starts(710)), 14, "one of 16 usable cores is idle")
}
