package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	minOwnerPause = time.Second     // the time to live of a membership: a shorter pause costs an owner no partition
	maxOwnerPause = 6 * time.Second // longer than the leases of runs
)

// ownerPauses are the pauses that injectPauses draws from, each by its weight.
var ownerPauses = []struct {
	name   string
	weight int
	happen func(ctx context.Context, harness *Harness, r *rand.Rand)
}{
	{"owner paused at an append", 6, func(ctx context.Context, harness *Harness, r *rand.Rand) { harness.pauseAtAppend(ctx, r, false) }},
	{"owner paused at an append, then killed", 2, func(ctx context.Context, harness *Harness, r *rand.Rand) { harness.pauseAtAppend(ctx, r, true) }},
	{"two owners paused in turn", 2, pauseInTurn},
}

// injectPauses pauses owners, several at a time, until ctx is done, and returns when all have been resumed.
func (harness *Harness) injectPauses(ctx context.Context) {
	const between = 1500 * time.Millisecond
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 6))
	total := 0
	for i := range ownerPauses {
		total += ownerPauses[i].weight
	}
	var active sync.WaitGroup
	defer active.Wait()
	for {
		sleep(ctx, randomDuration(r, between))
		if ctx.Err() != nil {
			return
		}
		x, i := r.IntN(total), 0
		for ; x >= ownerPauses[i].weight; i++ {
			x -= ownerPauses[i].weight
		}
		eventRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		active.Go(func() { ownerPauses[i].happen(ctx, harness, eventRand) })
	}
}

// pauseAtAppend pauses an owner between an append and its answer. The append is stored at once or is held back until the
// owner goes on. The owner is resumed, or killed, after a time, or around the moment at which another entry claims the
// partition.
func (harness *Harness) pauseAtAppend(ctx context.Context, r *rand.Rand, kill bool) {
	const maxWait = 3 * time.Second // for an append
	e, stored := harness.randomOwner(r), r.IntN(2) == 0
	length, until, late := minOwnerPause+time.Duration(r.Int64N(int64(maxOwnerPause-minOwnerPause))), r.IntN(3), randomDuration(r, time.Second)
	if r.IntN(2) == 0 {
		late = 0
	}
	goesOn := make(chan struct{})
	defer close(goesOn)
	partition, paused := harness.pauseOnAppend(ctx, e, stored, goesOn, maxWait)
	if !paused {
		return
	}
	epoch, owner := harness.platform.Store.JobEpoch(partition), harness.platform.Store.Owner(partition)
	harness.log("pause %s at an append to partition %d under epoch %d, stored: %t", e.Name, partition, epoch, stored)
	switch until {
	case 0:
		sleep(ctx, length)
	case 1:
		if harness.awaitWithin(ctx, maxOwnerPause, func() bool { return harness.platform.Store.JobEpoch(partition) > epoch }) {
			sleep(ctx, late)
		}
	case 2:
		if harness.awaitWithin(ctx, maxOwnerPause, func() bool { return harness.platform.Store.Owner(partition) != owner }) {
			sleep(ctx, late)
		}
	}
	if kill {
		harness.log("kill %s, which is paused; partition %d has epoch %d", e.Name, partition, harness.platform.Store.JobEpoch(partition))
		e.Kill()
		harness.restartAfter(e, randomDuration(r, time.Second))
		return
	}
	harness.log("resume %s; partition %d has epoch %d", e.Name, partition, harness.platform.Store.JobEpoch(partition))
	e.Signal(syscall.SIGCONT)
}

// pauseOnAppend pauses an entry at its next append and returns the partition. Unless the append is to be stored at once,
// it waits until goesOn is closed. pauseOnAppend reports false if there is no append within the given time.
func (harness *Harness) pauseOnAppend(ctx context.Context, e *Entry, stored bool, goesOn <-chan struct{}, within time.Duration) (partition int, paused bool) {
	var mu sync.Mutex
	ended := false
	appended := make(chan int, 1)
	pause := func(partition int) {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			e.Signal(syscall.SIGSTOP)
			appended <- partition
		}
	}
	harness.platform.AtNextAppend(e.Name, stored, func(partition int) {
		if pause(partition); !stored {
			<-goesOn
		}
	})
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	select {
	case partition = <-appended:
		return partition, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	mu.Lock()
	defer mu.Unlock()
	ended = true
	select {
	case partition = <-appended:
		return partition, true
	default:
		return 0, false
	}
}

// awaitWithin waits until a condition holds, at most for the given time, and reports whether it does.
func (harness *Harness) awaitWithin(ctx context.Context, within time.Duration, holds func() bool) bool {
	const interval = 2 * time.Millisecond
	for end := time.Now().Add(within); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, interval) {
		if holds() {
			return true
		}
	}
	return false
}

// pauseInTurn pauses an owner, then another one, which may have taken over meanwhile, and resumes the first beside it.
func pauseInTurn(ctx context.Context, harness *Harness, r *rand.Rand) {
	pause := func() time.Duration {
		return minOwnerPause + time.Duration(r.Int64N(int64(maxOwnerPause-minOwnerPause)))
	}
	first := harness.randomOwner(r)
	harness.log("pause %s", first.Name)
	first.Signal(syscall.SIGSTOP)
	sleep(ctx, pause())
	second := harness.randomOwner(r)
	harness.log("pause %s, then resume %s", second.Name, first.Name)
	second.Signal(syscall.SIGSTOP)
	sleep(ctx, randomDuration(r, time.Second))
	first.Signal(syscall.SIGCONT)
	sleep(ctx, pause())
	harness.log("resume %s", second.Name)
	second.Signal(syscall.SIGCONT)
	first.Signal(syscall.SIGCONT) // if the two are one
}
