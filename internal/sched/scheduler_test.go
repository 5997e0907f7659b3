package sched

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

var start = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func quietLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func testPolicy() Policy {
	return DefaultPolicy(10*time.Second, 400*time.Millisecond, 2*time.Minute)
}

// fixture is a scheduler with VMs whose replies the test chooses.
type fixture struct {
	t      *testing.T
	s      *Scheduler
	jobLog map[string][]byte // records by key
}

func newFixture(t *testing.T, vms ...site.VM) *fixture {
	t.Helper()
	r := &fixture{t: t, s: New(1, testPolicy(), quietLog()), jobLog: map[string][]byte{}}
	r.s.SetVMs(at(0), vms)
	for _, v := range vms {
		r.poll(0, v.ID, site.VMStatus{})
	}
	r.flush(0)
	return r
}

func testVM(id string) site.VM {
	return site.VM{ID: id, Born: 1, Pool: "pool", Address: id + ":1", CPU: 8000, MemMB: 8000, Labels: []string{"a", "r1-1"}}
}

func testJob(id string, steps ...jobs.Step) *jobs.Job {
	return &jobs.Job{ID: id, Queue: "q", Pool: "pool", Spec: "x", Steps: steps, MaxAttempts: 2, Stretch: 2, TargetMS: 1000, SubmittedMS: start.UnixMilli()}
}

const jobID = "00000000000000a1"

// poll handles the reply to a status poll that was sent at the same time.
func (r *fixture) poll(ms int, vm string, status site.VMStatus) {
	status.Born, status.ClockMS = 1, int64(ms)+1000
	r.s.HandlePoll(at(ms), vm, at(ms), &status)
}

func (r *fixture) submit(ms int, j *jobs.Job) {
	r.t.Helper()
	assert.Assert(r.t, r.s.Submit(at(ms), j).Accepted)
	r.flush(ms)
}

func (r *fixture) flush(ms int) []site.Record {
	r.t.Helper()
	f, err := r.s.Flush(at(ms), 1<<20)
	assert.NilError(r.t, err)
	if f == nil {
		return nil
	}
	for _, rec := range f.Records {
		r.jobLog[rec.Key] = rec.Value
	}
	r.s.Flushed(f)
	return f.Records
}

// takeover replaces the scheduler by that of the next owner, which has only the job log.
func (r *fixture) takeover(ms int, vms ...site.VM) {
	r.t.Helper()
	epoch := r.s.Epoch + 1
	r.s = New(epoch, testPolicy(), quietLog())
	var records []site.Record
	for k, v := range r.jobLog {
		records = append(records, site.Record{Key: k, Value: v})
	}
	r.s.Restore(at(ms), epoch-1, records)
	r.s.SetVMs(at(ms), vms)
}

// retire hands the partition over.
func (r *fixture) retire(ms int) {
	r.t.Helper()
	r.s.Retire(1 << 18)
	r.flush(ms)
}

// starts runs a scheduling round and returns its start orders, which all succeed.
func (r *fixture) starts(ms int) []StartRun {
	r.t.Helper()
	var list []StartRun
	for _, a := range r.s.Decide(at(ms)) {
		if s, ok := a.(StartRun); ok {
			assert.Assert(r.t, s.Dispatch.Attempt())
			list = append(list, s)
			s.ClockMS = int64(ms) + 1000 // as in poll
			r.s.HandleStart(at(ms), &s, site.Accepted, nil)
		}
	}
	return list
}

func (r *fixture) stops(ms int) []StopRun {
	var list []StopRun
	for _, a := range r.s.Decide(at(ms)) {
		if s, ok := a.(StopRun); ok {
			list = append(list, s)
		}
	}
	return list
}

func end(n int64, s StartRun, how site.How) site.RunEnd {
	return site.RunEnd{Sequence: n, Task: s.Order.Task, Run: s.Order.Run, How: how}
}

func running(s StartRun) site.Run {
	return site.Run{Task: s.Order.Task, Run: s.Order.Run, Percent: 50}
}

// TestStepsRunInOrder checks that a step waits for all tasks of the step it depends on, and
// that a job is not shown as completed before the job log holds its completion.
func TestStepsRunInOrder(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, EstimateMS: 100}, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100, After: []int{0}}))
	first := r.starts(10)
	assert.Equal(t, len(first), 2)
	r.poll(20, "a", site.VMStatus{Ended: []site.RunEnd{end(1, first[0], site.Done)}, Running: []site.Run{running(first[1])}})
	assert.Equal(t, len(r.starts(20)), 0, "the second step began before the first was done")
	r.poll(30, "a", site.VMStatus{Ended: []site.RunEnd{end(2, first[1], site.Done)}})
	second := r.starts(30)
	assert.Equal(t, len(second), 1)
	r.poll(40, "a", site.VMStatus{Ended: []site.RunEnd{end(3, second[0], site.Done)}})
	state, _ := r.s.JobState(jobID)
	assert.Equal(t, state, jobs.Running, "shown as completed before it was stored")
	r.flush(50)
	state, _ = r.s.JobState(jobID)
	assert.Equal(t, state, jobs.Completed)
}

// TestNoStartBeforeVMIsRecorded adds a VM that the job log does not name yet. No run may
// start there, since after a takeover the next owner would not know of it.
func TestNoStartBeforeVMIsRecorded(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 9, CPU: 1000, EstimateMS: 1000}))
	assert.Equal(t, len(r.starts(10)), 8)
	b := testVM("b")
	r.s.SetVMs(at(20), []site.VM{testVM("a"), b})
	r.poll(30, "b", site.VMStatus{})
	assert.Equal(t, len(r.starts(40)), 0, "started on a VM that the job log does not name")
	r.flush(50)
	assert.Equal(t, len(r.starts(60)), 1)
}

// TestSilentVMLosesRunsAfterLeases has a VM stop answering. Failed polls renew no lease, so
// its runs have to restart elsewhere soon after their leases expire, and not before.
func TestSilentVMLosesRunsAfterLeases(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
	first := r.starts(10)[0]
	r.poll(20, "a", site.VMStatus{Running: []site.Run{running(first)}})
	b := testVM("b")
	r.s.SetVMs(at(30), []site.VM{testVM("a"), b})
	restartedAt := 0
	for ms := 100; restartedAt == 0 && ms < 10_000; ms += 100 {
		nextPoll, ok := r.s.NextPoll(at(ms), "a", true)
		assert.Assert(t, ok && nextPoll.UntilMS == 0 && nextPoll.AckCursor == 0)
		r.poll(ms, "b", site.VMStatus{})
		r.flush(ms)
		if len(r.starts(ms)) > 0 {
			restartedAt = ms
		}
	}
	lease := int(testPolicy().Lease.Milliseconds())
	assert.Assert(t, restartedAt > lease && restartedAt < lease+500, "started elsewhere after %d ms, the lease is %d ms", restartedAt, lease)
}

// TestFailuresCountOnceInAnyOrder reports a task's failed runs to the next owner with the
// later one first. Each has to count exactly once.
func TestFailuresCountOnceInAnyOrder(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
	one := r.starts(10)[0]
	r.poll(20, one.VM, site.VMStatus{Ended: []site.RunEnd{end(1, one, site.Failed)}})
	two := r.starts(30)[0]
	assert.Assert(t, two.VM != one.VM, "tried again on the VM where it failed")
	r.takeover(100, testVM("a"), testVM("b"))
	r.poll(110, two.VM, site.VMStatus{Ended: []site.RunEnd{end(1, two, site.Failed)}})
	r.poll(120, one.VM, site.VMStatus{Ended: []site.RunEnd{end(1, one, site.Failed)}})
	assert.Equal(t, len(r.starts(130)), 0, "started after its attempts were used up")
	r.flush(140)
	state, _ := r.s.JobState(jobID)
	assert.Equal(t, state, jobs.Failed)
}

// TestResourcesReservedForLongRunningTask fills a VM and a queue with small tasks. A
// long-running task needs the resources of several, which must not go to the queue as they
// come free one by one.
func TestResourcesReservedForLongRunningTask(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 100, CPU: 2000, EstimateMS: 1000}))
	running := r.starts(10)
	assert.Equal(t, len(running), 4)
	longRunning := testJob("00000000000000a2", jobs.Step{Count: 1, CPU: 6000, Lasts: true, MayMiss: 1})
	r.submit(20, longRunning)
	for i, s := range running[:3] {
		var status site.VMStatus
		status.Ended = []site.RunEnd{end(int64(i+1), s, site.Done)}
		for _, x := range running[i+1:] {
			status.Running = append(status.Running, site.Run{Task: x.Order.Task, Run: x.Order.Run, Percent: 50})
		}
		r.poll(100+10*i, "a", status)
		started := r.starts(100 + 10*i)
		if i < 2 {
			assert.Equal(t, len(started), 0, "free resources went to a small task")
			continue
		}
		assert.Equal(t, len(started), 1)
		assert.Equal(t, started[0].Task.Job, longRunning.ID)
	}
}

// TestEvacuationRespectsMayMiss drains a VM and cordons others, each with a task of a step
// that may miss one. Only one task may be stopped until it is available again.
func TestEvacuationRespectsMayMiss(t *testing.T) {
	for _, first := range []string{"a", "b"} {
		r := newFixture(t, testVM("a"), testVM("b"), testVM("c"), testVM("d"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 3, CPU: 1000, PerVM: 1, Lasts: true, MayMiss: 1}))
		runs := r.starts(10)
		assert.Equal(t, len(runs), 3)
		for _, s := range runs {
			r.poll(20, s.VM, site.VMStatus{Running: []site.Run{{Task: s.Order.Task, Run: s.Order.Run, Percent: 100}}})
		}
		vms := []site.VM{testVM("a"), testVM("b"), testVM("c"), testVM("d")}
		for i := range vms {
			vms[i].Draining = vms[i].ID == first
		}
		r.s.SetVMs(at(30), vms)
		r.s.Cordon(at(0), "pool", []string{"a", "b", "c"})
		stops := append(r.stops(40), r.stops(50)...)
		assert.Equal(t, len(stops), 1, "with %s draining", first)
		assert.Equal(t, len(r.stops(60)), 0)
	}
}

// TestPackCountsMemoryAndSpread checks the number of VMs for given steps. Counting only cores
// would leave a pool with too few VMs for steps with much memory or a PerVM limit.
func TestPackCountsMemoryAndSpread(t *testing.T) {
	shape := resources{cpu: 16000, mem: 32000}
	tests := []struct {
		name  string
		steps []*jobs.Step
		want  int
	}{
		{"nothing", nil, 0},
		{"by cores", []*jobs.Step{{Count: 9, CPU: 4000}}, 3},
		{"by memory", []*jobs.Step{{Count: 5, CPU: 1000, MemMB: 12000}}, 3},
		{"by spread", []*jobs.Step{{Count: 5, CPU: 1000, PerVM: 1}}, 5},
		{"steps share VMs", []*jobs.Step{{Count: 4, CPU: 4000}, {Count: 2, CPU: 8000}}, 2},
		{"too large for any VM", []*jobs.Step{{Count: 2, CPU: 20000}}, 0},
	}
	for _, tt := range tests {
		assert.Equal(t, shape.packCount(tt.steps), tt.want, tt.name)
	}
}

// TestTasksOnSilentVMsAreUnavailable has the VM of one task of a step stop answering. While
// that task is not known to be available, no other task of the step may be evacuated.
func TestTasksOnSilentVMsAreUnavailable(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"), testVM("c"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, PerVM: 1, Lasts: true, MayMiss: 1}))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2)
	available := func(ms int, s StartRun) {
		r.poll(ms, s.VM, site.VMStatus{Running: []site.Run{{Task: s.Order.Task, Run: s.Order.Run, Percent: 100}}})
	}
	available(20, runs[0])
	available(20, runs[1])
	for ms := 1000; ms <= 3000; ms += 1000 {
		available(ms, runs[0])
	}
	r.s.Cordon(at(0), "pool", []string{runs[0].VM})
	assert.Equal(t, len(r.stops(3000)), 0, "evacuated while the other task's VM does not answer")
	available(3100, runs[1])
	assert.Equal(t, len(r.stops(3100)), 1)
}
