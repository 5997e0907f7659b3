package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// submitSteadily submits Load.JobsPerSecond jobs a second until ctx is done, in turns most of them to one pool. Each
// job's caller asks for its state until it has ended.
func (harness *Harness) submitSteadily(ctx context.Context) {
	const turn, others = 4500 * time.Millisecond, 4 // a pool's turn, and the part of its load that the other pools get
	rate := harness.cfg.Load.JobsPerSecond
	if rate == 0 {
		return
	}
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 6))
	var active sync.WaitGroup
	defer active.Wait()
	for began, n := time.Now(), uint64(0); ctx.Err() == nil; n++ {
		c := newCaller(harness, harness.cfg.Seed, 1<<38+n)
		c.mayGiveUp = true
		j := c.jobOfSteps(harness.cfg.Load.FailingShare)
		turnOf := harness.pools[int(time.Since(began)/turn)%len(harness.pools)]
		j.Queue = harness.queueOf(r, turnOf, others)
		active.Go(func() { c.followJob(ctx, j, steadyCancelledOf) })
		harness.addCaller(c)
		sleep(ctx, time.Duration(r.Int64N(int64(2*time.Second)/int64(rate))))
	}
}

// queueOf returns a random queue, any of a given pool so many times as likely as another.
func (harness *Harness) queueOf(r *rand.Rand, pool string, times int) string {
	harness.publishing.Lock()
	defer harness.publishing.Unlock()
	weight := func(q *emul.Queue) int {
		if q.Pool == pool {
			return times
		}
		return 1
	}
	total := 0
	for i := range harness.queues {
		total += weight(&harness.queues[i])
	}
	x, i := r.IntN(total), 0
	for ; x >= weight(&harness.queues[i]); i++ {
		x -= weight(&harness.queues[i])
	}
	return harness.queues[i].Name
}

// jobOfSteps returns a job of 1 to 3 steps of 2 to 12 tasks, one after the other. In failingShare of a hundred jobs
// each task fails once or more, up to all its attempts. Some tasks write checkpoints.
func (c *caller) jobOfSteps(failingShare int) *Job {
	const minTasks, maxTasks, minCPU, maxCPU = 2, 12, 250, 1000
	failing := 0
	if c.r.IntN(100) < failingShare {
		failing = 1 + c.r.IntN(emul.MaxAttempts)
	}
	var steps []step
	for i := range 1 + c.r.IntN(3) {
		duration := time.Duration(400+c.r.IntN(1600)) * time.Millisecond
		st := step{Count: minTasks + c.r.IntN(maxTasks-minTasks+1), CPU: minCPU + c.r.IntN(maxCPU-minCPU), EstimateMS: duration.Milliseconds(), duration: duration, Saves: c.r.IntN(4) == 0}
		if i > 0 {
			st.After = []int{i - 1}
		} else {
			st.failingRuns = failing
		}
		steps = append(steps, st)
	}
	return c.newJob("steps", steps)
}

// Resources of the tasks of long-running jobs that leave little room.
const (
	scarceCPU   = 300 // thousandths of a core
	minScarceMB = 2500
	maxScarceMB = 9000 // no two tasks of this size fit on a VM
)

// submitLongRunning submits Load.LongRunningJobs long-running jobs to the queues in turn.
func (harness *Harness) submitLongRunning(ctx context.Context) {
	c := newCaller(harness, harness.cfg.Seed, 1<<39)
	queues := harness.cfg.Load.queues()
	for i := range harness.cfg.Load.LongRunningJobs {
		st := step{Count: 3 + c.r.IntN(3), CPU: 700, EstimateMS: 100, LongRunning: true, MayMiss: 1, PerVM: 1}
		if harness.cfg.Load.ScarceRoom {
			st.CPU, st.MemMB = scarceCPU, minScarceMB+c.r.IntN(maxScarceMB-minScarceMB)
		}
		j := c.newJob("long-running", []step{st})
		j.Queue, j.mayWait = queues[i%len(queues)].Name, harness.cfg.Load.ScarceRoom
		c.submitJob(ctx, j)
	}
	harness.addCaller(c)
}
