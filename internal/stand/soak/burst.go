package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Of so many jobs of a load, one is cancelled.
const (
	burstCancelledOf  = 4
	steadyCancelledOf = 20
)

// submitBursts submits bursts of jobs of many short tasks until ctx is done, so that hundreds of tasks end in any outage.
// Each job's caller asks for its state until it is completed.
func (harness *Harness) submitBursts(ctx context.Context) {
	const pause, window = 2500 * time.Millisecond, 500 * time.Millisecond
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 3))
	var active sync.WaitGroup
	defer active.Wait()
	for burst := uint64(0); ctx.Err() == nil && harness.cfg.Load.BurstJobs > 0; burst++ {
		for i := range harness.cfg.Load.BurstJobs {
			c := newCaller(harness, harness.cfg.Seed, 1<<37+burst<<16+uint64(i))
			c.mayGiveUp = true
			delay := time.Duration(r.Int64N(int64(window)))
			active.Go(func() {
				sleep(ctx, delay)
				c.followJob(ctx, c.manyShortTasks(), burstCancelledOf)
			})
			harness.addCaller(c)
		}
		sleep(ctx, randomDuration(r, pause))
	}
}

// manyShortTasks returns a job with dozens of tasks. Every third one writes checkpoints.
func (c *caller) manyShortTasks() *Job {
	const minTasks, maxTasks, cpu = 20, 60, 200
	duration := time.Duration(100+c.r.IntN(800)) * time.Millisecond
	saves := c.r.IntN(3) == 0
	if saves || c.r.IntN(4) == 0 {
		duration *= 4
	}
	steps := []step{{Count: minTasks + c.r.IntN(maxTasks-minTasks), CPU: cpu, EstimateMS: duration.Milliseconds(), duration: duration, Saves: saves}}
	if c.r.IntN(4) == 0 {
		steps = append(steps, step{Count: 3, CPU: cpu, EstimateMS: duration.Milliseconds(), duration: duration, After: []int{0}})
	}
	return c.newJob("many-short-tasks", steps)
}

// followJob submits a job and asks for its state until it has ended. One of cancelledOf jobs is cancelled instead.
func (c *caller) followJob(ctx context.Context, j *Job, cancelledOf int) {
	const interval, cancelWithin = 150 * time.Millisecond, 5 * time.Second
	cancelAfter := time.Now().Add(time.Duration(c.r.Int64N(int64(cancelWithin))))
	cancels := c.r.IntN(cancelledOf) == 0
	c.submitJob(ctx, j)
	for len(c.accepted) > 0 && ctx.Err() == nil {
		if cancels && time.Now().After(cancelAfter) {
			c.cancelUntilAcknowledged(ctx, j)
			return
		}
		if state := c.queryState(j); state == "completed" || (state == "failed" && j.hopeless()) {
			break
		}
		sleep(ctx, interval)
	}
	if len(c.accepted) > 0 && c.r.IntN(4) == 0 {
		sleep(ctx, time.Duration(c.r.Int64N(int64(cancelWithin))))
		c.repeatSubmission(j, nil) // seconds after it was accepted
	}
}

// cancelUntilAcknowledged repeats a cancellation until a reply acknowledges it or ctx is done.
func (c *caller) cancelUntilAcknowledged(ctx context.Context, j *Job) {
	const interval = 300 * time.Millisecond
	acknowledged := func() bool {
		j.mu.Lock()
		defer j.mu.Unlock()
		return !j.cancelAckedAt.IsZero()
	}
	for c.cancel(j); !acknowledged() && ctx.Err() == nil; c.cancel(j) {
		sleep(ctx, interval)
	}
}
