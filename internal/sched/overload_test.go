package sched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/shed"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// overload plays a pool without moves whose callers ask for several times what it can do. Declared
// run times are wrong by up to a half, and refused callers return when they are told to.
type overload struct {
	t        *testing.T
	s        *Scheduler
	rnd      *rand.Rand
	vms      map[string]*overloadVM
	actualMS map[string]int                     // run time of each job's tasks
	calls    callHeap                           // to come
	first    map[string]time.Time               // first submission of each job
	objMS    map[string]float64                 // actual objective of each job
	outcome  map[string]string                  // in-time, late or refused
	refusals []time.Duration                    // Retry-After of each refusal
	running  map[string]map[string]overloadTask // by VM and task
	idle     int                                // cores that the last round left idle and no job accepted since needs; all tasks have one core
	// idleRefusals counts refusals of jobs whose first tasks would have found idle cores.
	idleRefusals int
	refusedTimes map[string]int     // by job
	tookMS       map[string]float64 // from the first submission of a completed job
	// overdue holds the jobs that were accepted after their objective could no longer be met.
	overdue map[string]bool
	flushMS int // time between two flushes to the job log; 0 for one in every step
	// idleWaits counts rounds that left cores idle while tasks waited that could start.
	idleWaits int
}

type overloadVM struct {
	sequence int64
	ended    []site.RunEnd
}

type overloadTask struct {
	run int64
	end time.Time
}

// call is a submission at a time.
type call struct {
	at  time.Time
	job *jobs.Job
	try int
}

type callHeap []call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, k int) bool { return h[i].at.Before(h[k].at) }
func (h callHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(call)) }
func (h *callHeap) Pop() any          { old := *h; x := old[len(old)-1]; *h = old[:len(old)-1]; return x }

const (
	overloadVMs     = 40 // of 8 cores
	overloadTasks   = 8  // of each step, of one core and about a second
	overloadRetries = 4  // of a refused caller
)

func newOverload(t *testing.T) *overload {
	o := &overload{
		t: t, s: New(1, testPolicy(), quietLog()), rnd: rand.New(rand.NewPCG(7, 7)), vms: map[string]*overloadVM{}, actualMS: map[string]int{},
		first: map[string]time.Time{}, objMS: map[string]float64{}, outcome: map[string]string{}, overdue: map[string]bool{}, tookMS: map[string]float64{}, refusedTimes: map[string]int{}, running: map[string]map[string]overloadTask{},
	}
	var list []site.VM
	for i := range overloadVMs {
		v := testVM(fmt.Sprintf("vm%02d", i))
		list = append(list, v)
		o.vms[v.ID], o.running[v.ID] = &overloadVM{}, map[string]overloadTask{}
	}
	o.s.SetVMs(at(0), list)
	for id := range o.vms {
		o.poll(at(0), id)
	}
	o.flush(at(0))
	return o
}

// offer adds jobs at a rate per second from one time to another.
func (o *overload) offer(fromMS, toMS int, perS float64) {
	for ms := float64(fromMS); ms < float64(toMS); ms += o.rnd.ExpFloat64() * 1000 / perS {
		actual := 700 + o.rnd.IntN(600)
		declared := int64(float64(actual) * (0.5 + o.rnd.Float64()))
		steps := []jobs.Step{{Count: overloadTasks, CPU: 1000, MemMB: 10, EstimateMS: declared}}
		if o.rnd.IntN(2) == 0 {
			steps = append(steps, jobs.Step{Count: overloadTasks, CPU: 1000, MemMB: 10, EstimateMS: declared, After: []int{0}})
		}
		j := testJob(fmt.Sprintf("%016x", len(o.first)+1), steps...)
		j.Stretch, j.TargetMS, j.SubmittedMS = 1.6, 600, at(int(ms)).UnixMilli()
		o.actualMS[j.ID], o.first[j.ID] = actual, at(int(ms))
		o.objMS[j.ID] = 1.6*float64(actual*len(steps)) + 600
		heap.Push(&o.calls, call{at: at(int(ms)), job: j})
	}
}

func (o *overload) flush(now time.Time) {
	f, err := o.s.Flush(now, 1<<24)
	assert.NilError(o.t, err)
	if f != nil {
		o.s.Flushed(f)
	}
}

func (o *overload) poll(now time.Time, id string) {
	v := o.vms[id]
	status := &site.VMStatus{Born: 1, ClockMS: now.UnixMilli()}
	for task, x := range o.running[id] {
		if now.Before(x.end) {
			status.Running = append(status.Running, site.Run{Task: task, Run: x.run, Percent: 50})
			continue
		}
		delete(o.running[id], task)
		v.sequence++
		v.ended = append(v.ended, site.RunEnd{Sequence: v.sequence, Task: task, Run: x.run, How: site.Done})
	}
	status.Ended, v.ended = v.ended, nil
	o.s.HandlePoll(now, id, now, status)
}

// play plays the calls and the runs until a time.
func (o *overload) play(untilMS int) {
	const stepMS = 20
	for ms := 0; ms < untilMS; ms += stepMS {
		now := at(ms)
		for len(o.calls) > 0 && !o.calls[0].at.After(now) {
			o.submit(now, heap.Pop(&o.calls).(call))
		}
		for id := range o.vms {
			o.poll(now, id)
		}
		if o.flushMS == 0 || ms%o.flushMS == 0 {
			o.flush(now)
		}
		for _, a := range o.s.Decide(now) {
			if x, ok := a.(StartRun); ok {
				o.running[x.VM][x.Order.Task] = overloadTask{run: x.Order.Run, end: now.Add(time.Duration(o.actualMS[x.Task.Job]) * time.Millisecond)}
				o.s.HandleStart(now, &x, site.Accepted, nil)
			}
		}
		o.countIdle()
		if o.flushMS == 0 {
			o.flush(now)
		}
		for id, first := range o.first {
			if state, known := o.s.JobState(id); known && state == jobs.Completed && o.outcome[id] == "" {
				o.outcome[id] = "late"
				o.tookMS[id] = float64(now.Sub(first).Milliseconds())
				if o.tookMS[id] <= o.objMS[id] {
					o.outcome[id] = "in-time"
				}
			}
		}
	}
}

func (o *overload) submit(now time.Time, c call) {
	j := *c.job
	j.SubmittedMS = now.UnixMilli() // as the entry sets it, which does not know of earlier submissions
	a := o.s.Submit(now, &j)
	if a.Accepted {
		o.idle -= firstTasks(&j)
		t := o.s.timing(o.s.jobs[j.ID])
		o.overdue[j.ID] = t.Classify(now) != shed.InTime
		return
	}
	if o.idle >= firstTasks(&j) {
		o.idleRefusals++
	}
	o.refusals = append(o.refusals, a.RetryAfter)
	o.refusedTimes[j.ID]++
	if c.try == overloadRetries {
		o.outcome[j.ID] = "refused"
		return
	}
	seconds := int((a.RetryAfter + time.Second - 1) / time.Second) // the header has whole seconds
	heap.Push(&o.calls, call{at: now.Add(time.Duration(seconds) * time.Second), job: c.job, try: c.try + 1})
}

// firstTasks returns the number of tasks that can start at once.
func firstTasks(j *jobs.Job) int {
	n := 0
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			n += j.Steps[i].Count
		}
	}
	return n
}

// countIdle counts the cores that are idle after a round and that no accepted job waits for.
func (o *overload) countIdle() {
	o.idle = overloadVMs * 8
	for _, tasks := range o.running {
		o.idle -= len(tasks)
	}
	if o.idle <= 0 {
		return
	}
	for _, j := range o.s.jobs {
		if j.state.Final() {
			continue
		}
		if !j.stored {
			o.idle -= firstTasks(j.Job)
		}
		for _, occ := range j.occurrences {
			for _, st := range occ.steps {
				if st.withoutRun > 0 && occ.stepReady(st) {
					o.idleWaits++
					return
				}
			}
		}
	}
}

func (o *overload) count(outcome string) int {
	n := 0
	for _, x := range o.outcome {
		if x == outcome {
			n++
		}
	}
	return n
}

// TestOverloadServesInTimeWhatThePoolCanDo guards against a pool that makes nearly all jobs late when
// its callers ask for more than it can do, as it did when it began jobs by their due times and refused
// only those that had to wait for their whole objective. In five seconds of two and of four times the
// capacity, the jobs served in time have to take at least 85 percent of what the pool can do until the
// last of them is due, and nearly all callers have to be served in the end.
func TestOverloadServesInTimeWhatThePoolCanDo(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		t.Run(fmt.Sprintf("%v times the capacity", factor), func(t *testing.T) {
			const seconds, jobWork = 5, 1.5 * overloadTasks * 1.0 // mean core-seconds
			const slack = 0.6*1.5 + 0.6                           // mean time in seconds that a job can wait and still meet its objective
			capacity := float64(overloadVMs*8) / jobWork          // jobs per second
			o := newOverload(t)
			o.offer(0, seconds*1000, factor*capacity)
			o.play(60_000)
			inTime, late, refused := o.count("in-time"), o.count("late"), o.count("refused")
			t.Logf("%d jobs: %d in time, %d late, %d refused, %d refusals", len(o.first), inTime, late, refused, len(o.refusals))
			assert.Equal(t, inTime+late+refused, len(o.first), "a job has neither ended nor been refused")
			possible := capacity * (seconds + slack)
			assert.Assert(t, float64(inTime) >= 0.85*possible, "%d jobs in time, the pool can do %.0f", inTime, possible)
			assert.Assert(t, float64(refused) <= 0.02*float64(len(o.first)), "%d callers have given up", refused)
			for _, d := range o.refusals {
				assert.Assert(t, d >= time.Second, "Retry-After %v", d)
			}
		})
	}
}

// TestBriefBackoffRefusesNoJob guards against refusals while all VMs of a pool are only briefly out of
// use, as after a refused start or a failed poll, and others are still on their way.
func TestBriefBackoffRefusesNoJob(t *testing.T) {
	r := newFixture(t, testVM("vm1"), testVM("vm2"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 5000, EstimateMS: 1000}))
	for _, a := range r.s.Decide(at(10)) {
		if x, ok := a.(StartRun); ok {
			r.s.HandleStart(at(20), &x, site.RefusedRoom, nil)
		}
	}
	r.s.HandlePollFailure(at(22), "vm2", site.ErrNotDone)
	r.s.SetArrivals(at(25), "pool", []shed.Arrival{{After: 5 * time.Second, Cores: 8}})
	j := testJob("00000000000000a2", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000})
	assert.Assert(t, r.s.Submit(at(30), j).Accepted)
}

// TestMayBeInTime guards against submissions that are held during an outage of the log although their jobs
// cannot meet their objective any more, and against a retry that counts as a new job.
func TestMayBeInTime(t *testing.T) {
	s := New(1, testPolicy(), quietLog())
	job := testJob("00000000000000a1", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000})
	job.Stretch, job.TargetMS, job.SubmittedMS = 1.5, 600, at(0).UnixMilli() // objective 2.1 s, so it may wait for 1.1 s
	s.Submit(at(0), job)
	s.Withdraw(job.ID)
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{0, true},
		{time.Second, true},
		{1200 * time.Millisecond, false},
	}
	for _, tt := range tests {
		retry := *job
		retry.SubmittedMS = at(0).Add(tt.after).UnixMilli()
		assert.Equal(t, s.MayBeInTime(at(0).Add(tt.after), &retry), tt.want, "after %s", tt.after)
	}
}

// TestHeldJobsCanBeWithdrawn guards against callers without an answer: while the log does not answer, all
// new jobs but one stay out of flushes, so that they can be refused.
func TestHeldJobsCanBeWithdrawn(t *testing.T) {
	tests := []struct {
		name          string
		hold          bool
		progress      bool // of a stored job waits for the flush
		wantWithdrawn int  // of three new jobs
	}{
		{"log answers", false, false, 0},
		{"log down", true, false, 2},
		{"log down, progress to store", true, true, 3},
	}
	for _, tt := range tests {
		s := New(1, testPolicy(), quietLog())
		if tt.progress {
			s.Submit(at(0), testJob("00000000000000b1", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
			f, err := s.Flush(at(0), 1<<20)
			assert.NilError(t, err)
			s.Flushed(f)
			s.Cancel(at(0), "00000000000000b1")
		}
		s.HoldNewJobs(tt.hold)
		ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
		for _, id := range ids {
			s.Submit(at(0), testJob(id, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
		}
		_, err := s.Flush(at(0), 1<<20)
		assert.NilError(t, err)
		withdrawn := 0
		for _, id := range ids {
			if s.Withdraw(id) {
				withdrawn++
			}
		}
		assert.Equal(t, withdrawn, tt.wantWithdrawn, tt.name)
	}
}
