package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// plannedWork lists the planned work that injectPlanned chooses from.
var plannedWork = []struct {
	name string
	do   func(harness *Harness, r *rand.Rand)
}{
	{"entry stopped", func(harness *Harness, r *rand.Rand) { restartEntry("stop", (*Entry).Stop)(harness, r) }},
	{"rolling restart of all entries", func(harness *Harness, r *rand.Rand) { rollingRestart(harness, r) }},
	{"configuration changes", func(harness *Harness, _ *rand.Rand) { harness.configure() }},
	{"maintenance wave", func(harness *Harness, r *rand.Rand) { harness.requestWave(r) }},
	{"SIGHUP to an entry", func(harness *Harness, r *rand.Rand) { harness.randomEntry(r).Signal(syscall.SIGHUP) }},
}

// injectPlanned has planned work done, several pieces at a time, until ctx is done, and returns when all has ended.
func (harness *Harness) injectPlanned(ctx context.Context) {
	const pause = 2 * time.Second
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 5))
	var active sync.WaitGroup
	defer active.Wait()
	for ctx.Err() == nil {
		work, workRand := &plannedWork[r.IntN(len(plannedWork))], rand.New(rand.NewPCG(r.Uint64(), 0))
		harness.log("planned: %s", work.name)
		harness.faultCount++
		active.Go(func() { work.do(harness, workRand) })
		sleep(ctx, randomDuration(r, pause))
	}
}
