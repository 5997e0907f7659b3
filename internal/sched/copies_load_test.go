package sched

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// unevenLoad is a load whose declared run times are off by up to wrongBy, and of whose tasks 3 in 100
// take 7 times as long.
type unevenLoad struct {
	wrongBy   float64
	slowTasks bool    // the tasks are slow wherever they run, not only single runs
	use       float64 // share of the pool's cores
	burst     float64 // factor on the load in two of every 15 seconds
	slowVMs   int     // VMs on which all runs take 4 times as long
	progress  bool    // runs report their true progress; otherwise some change that tells nothing
}

const unevenMS = 40_000 // for which jobs are submitted

type unevenRun struct {
	run        int64
	start, end time.Time
}

// uneven plays an unevenLoad against a scheduler with 40 VMs of 8 cores. Jobs that are refused do not
// return.
type uneven struct {
	load     unevenLoad
	s        *Scheduler
	rnd      *rand.Rand
	calls    callHeap
	actualMS map[string]float64
	running  map[string]map[string]unevenRun // by VM and task
	sequence map[string]int64                // of the run ends, by VM
	outcome  map[string]string

	maxCopying float64 // largest share of the pool's cores in copies at once
}

func playUneven(t *testing.T, load unevenLoad, copyShare float64, seed uint64) *uneven {
	t.Helper()
	p := testPolicy()
	p.CopyShare = copyShare
	u := &uneven{
		load: load, s: New(1, p, quietLog()), rnd: rand.New(rand.NewPCG(seed, 9)), actualMS: map[string]float64{},
		running: map[string]map[string]unevenRun{}, sequence: map[string]int64{}, outcome: map[string]string{},
	}
	var list []site.VM
	for i := range overloadVMs {
		v := testVM(fmt.Sprintf("vm%02d", i))
		v.Labels = []string{"a", fmt.Sprintf("r1-%d", i/10)}
		list = append(list, v)
		u.running[v.ID] = map[string]unevenRun{}
	}
	u.s.SetVMs(at(0), list)
	u.offer(unevenMS)
	for ms := 0; ms < unevenMS+20_000; ms += 20 {
		u.round(t, at(ms))
	}
	return u
}

func (u *uneven) offer(untilMS float64) {
	const meanWork = 1.5 * overloadTasks * 1.18 // core-seconds of a job, with its slow tasks
	rate := u.load.use * overloadVMs * 8 / meanWork
	for ms := 0.0; ms < untilMS; {
		r := rate
		if u.load.burst > 0 && int(ms/1000)%15 >= 13 {
			r *= u.load.burst
		}
		ms += u.rnd.ExpFloat64() * 1000 / r
		actual := 700 + 600*u.rnd.Float64()
		declared := int64(actual * (1 - u.load.wrongBy + 2*u.load.wrongBy*u.rnd.Float64()))
		steps := []jobs.Step{{Count: overloadTasks, CPU: 1000, MemMB: 10, EstimateMS: declared, Copies: true}}
		if u.rnd.IntN(2) == 0 {
			steps = append(steps, jobs.Step{Count: overloadTasks, CPU: 1000, MemMB: 10, EstimateMS: declared, After: []int{0}, Copies: true})
		}
		j := testJob(fmt.Sprintf("%016x", len(u.actualMS)+1), steps...)
		j.Stretch, j.TargetMS, j.SubmittedMS = 1.6, 600, at(int(ms)).UnixMilli()
		u.actualMS[j.ID] = actual
		heap.Push(&u.calls, call{at: at(int(ms)), job: j})
	}
}

func (u *uneven) round(t *testing.T, now time.Time) {
	for len(u.calls) > 0 && !u.calls[0].at.After(now) {
		c := heap.Pop(&u.calls).(call)
		if !u.s.Submit(now, c.job).Accepted {
			u.outcome[c.job.ID] = "refused"
		}
	}
	for _, id := range slices.Sorted(maps.Keys(u.running)) {
		status := &site.VMStatus{Born: 1, ClockMS: now.UnixMilli()}
		for _, task := range slices.Sorted(maps.Keys(u.running[id])) {
			x := u.running[id][task]
			if now.Before(x.end) {
				continue
			}
			u.end(id, task)
			status.Ended = append(status.Ended, site.RunEnd{Sequence: u.sequence[id], Task: task, Run: x.run, How: site.Done})
		}
		status.Running = u.listed(now, id)
		u.s.HandlePoll(now, id, now, status)
	}
	u.flush(t, now)
	for _, a := range u.s.Decide(now) {
		switch x := a.(type) {
		case StartRun:
			u.running[x.VM][x.Order.Task] = unevenRun{run: x.Order.Run, start: now, end: now.Add(u.runTime(x))}
			u.s.HandleStart(now, &x, site.Accepted, nil)
		case StopRun:
			u.end(x.VM, x.Task)
			u.s.HandlePoll(now, x.VM, now, &site.VMStatus{Born: 1, ClockMS: now.UnixMilli(), Running: u.listed(now, x.VM), Ended: []site.RunEnd{{Sequence: u.sequence[x.VM], Task: x.Task, Run: x.Run, How: site.Stopped}}})
		}
	}
	usage := u.s.copyUsage(now, "pool")
	u.maxCopying = max(u.maxCopying, usage.copying/usage.total)
	u.flush(t, now)
	for _, j := range u.s.jobs {
		if j.state == jobs.Completed && u.outcome[j.ID] == "" {
			u.outcome[j.ID] = "late"
			if took := float64(now.UnixMilli() - j.SubmittedMS); took <= 1.6*u.actualMS[j.ID]*float64(len(j.Steps))+600 {
				u.outcome[j.ID] = "in-time"
			}
		}
	}
}

func (u *uneven) flush(t *testing.T, now time.Time) {
	f, err := u.s.Flush(now, 1<<24)
	assert.NilError(t, err)
	if f != nil {
		u.s.Flushed(f)
	}
}

func (u *uneven) listed(now time.Time, vm string) []site.Run {
	var list []site.Run
	for task, x := range u.running[vm] {
		percent := int(now.UnixMilli()/1000) % minProgressPercent
		if u.load.progress {
			percent = int(100 * now.Sub(x.start) / x.end.Sub(x.start))
		}
		list = append(list, site.Run{Task: task, Run: x.run, Percent: percent})
	}
	return list
}

func (u *uneven) end(vm, task string) {
	delete(u.running[vm], task)
	u.sequence[vm]++
}

// runTime draws the time of a run. Whether it is slow depends on the task, and if slowTasks is not set
// also on the run, so that two plays with the same seed have the same stragglers.
func (u *uneven) runTime(x StartRun) time.Duration {
	var n, run uint64
	_, _ = fmt.Sscanf(x.Task.Job, "%x", &n)
	if !u.load.slowTasks && x.Order.Run > 1 {
		run = 1
	}
	rnd := rand.New(rand.NewPCG(n, uint64(x.Task.Step*100+x.Task.Index)<<1|run))
	ms := u.actualMS[x.Task.Job] * (0.9 + 0.2*rnd.Float64())
	if rnd.IntN(100) < 3 {
		ms *= 7
	}
	if x.VM < fmt.Sprintf("vm%02d", u.load.slowVMs) {
		ms *= 4
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// poolShare returns core-milliseconds as a share of the pool's cores over the time of the load.
func (u *uneven) poolShare(coreMS int) float64 { return float64(coreMS) / (overloadVMs * 8 * unevenMS) }

func (u *uneven) share(outcome string) float64 {
	n := 0
	for _, x := range u.outcome {
		if x == outcome {
			n++
		}
	}
	return float64(n) / float64(len(u.actualMS))
}

// TestCopiesServeMoreInTime guards against stragglers that make their jobs late while the pool has idle
// cores: without copies, 3 of 10 jobs are late. Copies have to halve that with declared run times that are
// off by 0.5 and by 0.9, and to raise the share of jobs in time by 0.08 at least beside slow VMs and in
// bursts. The core-seconds in copies have to stay within their share of the pool's cores.
func TestCopiesServeMoreInTime(t *testing.T) {
	tests := []struct {
		name    string
		load    unevenLoad
		maxLate float64 // late jobs, relative to those without copies
		minGain float64 // share of jobs in time, less that without copies
	}{
		{"declared times off by 0.5", unevenLoad{wrongBy: 0.5, use: 0.6}, 0.5, 0.15},
		{"declared times off by 0.9", unevenLoad{wrongBy: 0.9, use: 0.6}, 0.5, 0.15},
		{"off by 0.9, with progress", unevenLoad{wrongBy: 0.9, use: 0.6, progress: true}, 0.35, 0.2},
		{"2 slow VMs, off by 0.5", unevenLoad{wrongBy: 0.5, use: 0.6, slowVMs: 2}, 0.7, 0.1},
		{"bursts, off by 0.9", unevenLoad{wrongBy: 0.9, use: 0.5, burst: 4}, 0.8, 0.08},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before, after := playUneven(t, tt.load, 0, 1), playUneven(t, tt.load, testPolicy().CopyShare, 1)
			u, st := after, after.s.Stats()
			t.Logf("in time %.3f before, %.3f now; late %.3f, %.3f; refused %.3f, %.3f; %d copies, %d won, %.4f of the pool in copies, %.4f wasted",
				before.share("in-time"), u.share("in-time"), before.share("late"), u.share("late"), before.share("refused"), u.share("refused"),
				st.Copies, st.CopiesWon, u.poolShare(st.CopyCoreMS), u.poolShare(st.CopyWasteCoreMS))
			assert.Equal(t, before.s.Stats().Copies, 0)
			assert.Assert(t, u.share("late") <= tt.maxLate*before.share("late"))
			assert.Assert(t, u.share("in-time") >= before.share("in-time")+tt.minGain)
			assert.Assert(t, u.poolShare(st.CopyCoreMS) <= testPolicy().CopyShare)
			assert.Assert(t, u.maxCopying <= testPolicy().CopyShare, "%.3f of the cores were in copies at once", u.maxCopying)
		})
	}
}

// TestCopiesOfSlowTasksEnd guards against core-seconds that are spent without end on tasks that take long
// wherever they run: copies of these never win.
func TestCopiesOfSlowTasksEnd(t *testing.T) {
	u := playUneven(t, unevenLoad{wrongBy: 0.5, use: 0.6, slowTasks: true}, testPolicy().CopyShare, 1)
	st := u.s.Stats()
	t.Logf("%d copies, %d won, %.4f of the pool wasted", st.Copies, st.CopiesWon, u.poolShare(st.CopyWasteCoreMS))
	assert.Assert(t, u.poolShare(st.CopyWasteCoreMS) <= 0.02)
}
