package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// submitShortTasks submits jobs that end more runs on a VM than the reply to a status poll lists.
// number is that of the outage before which it is called.
func (harness *Harness) submitShortTasks(ctx context.Context, number int) {
	const jobs, tasks, cpu = 3, 700, 10
	for i := range jobs {
		c := newCaller(harness, harness.cfg.Seed, 1<<33+uint64(number*jobs+i))
		c.submitJob(ctx, c.newJob("short-tasks", []step{{Count: tasks, CPU: cpu, EstimateMS: 600, duration: 500*time.Millisecond + randomDuration(c.r, time.Second)}}))
		harness.addCaller(c)
	}
}

// submitWaiting submits more long-running tasks than the VMs have memory for, in every third seed. They need
// few cores, so that the other jobs have as much room as without them.
func (harness *Harness) submitWaiting(ctx context.Context) {
	const jobs, cpu, memMB = 24, 50, 9000
	if harness.cfg.Seed%3 != 0 {
		return
	}
	c := newCaller(harness, harness.cfg.Seed, 1<<34)
	c.account, c.key = waitingAccount, lastingKey(waitingAccount)
	for range jobs {
		j := c.newJob("waiting", []step{{Count: 1, CPU: cpu, MemMB: memMB, LongRunning: true, MayMiss: 1}})
		j.mayWait = true
		c.submitJob(ctx, j)
	}
	harness.addCaller(c)
}

// crashingTasks is the number of tasks of the job that submitCrashing submits. They crash as many VMs of a rack at
// the same time.
const crashingTasks = 4

// submitCrashing submits a long-running job of which each task crashes its VMs, in every second seed.
func (harness *Harness) submitCrashing(ctx context.Context) {
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 2))
	if harness.cfg.Seed%2 == 0 {
		return
	}
	sleep(ctx, randomDuration(r, harness.cfg.Duration/4))
	c := newCaller(harness, harness.cfg.Seed, 1<<35)
	after := []time.Duration{0, 300 * time.Millisecond, 2 * time.Second}[r.IntN(3)]
	j := c.newJob("crashing", []step{{Count: crashingTasks, CPU: 500, EstimateMS: 100, LongRunning: true, MayMiss: 1, PerVM: 1, crashesVM: true, crashAfter: after}})
	j.mayWait = true
	harness.log("job %s of queue %s: %d long-running tasks crash their VMs after %s", j.ID, j.Queue, j.Steps[0].Count, after)
	c.submitJob(ctx, j)
	harness.addCaller(c)
}
