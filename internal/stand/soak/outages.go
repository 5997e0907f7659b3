package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// entryLoss is a loss of entries. lose returns when the last one is gone; they start again meanwhile.
type entryLoss struct {
	name string
	lose func(harness *Harness, r *rand.Rand, restarts *sync.WaitGroup)
}

var entryLosses = []entryLoss{
	{"none", func(*Harness, *rand.Rand, *sync.WaitGroup) {}},
	{"owner", func(harness *Harness, r *rand.Rand, restarts *sync.WaitGroup) {
		harness.killTogether(r, restarts, []*Entry{harness.randomOwner(r)})
	}},
	{"two", func(harness *Harness, r *rand.Rand, restarts *sync.WaitGroup) {
		owner := harness.randomOwner(r)
		others := slices.DeleteFunc(slices.Clone(harness.entries), func(e *Entry) bool { return e == owner })
		harness.killTogether(r, restarts, []*Entry{owner, others[r.IntN(len(others))]})
	}},
	{"half", func(harness *Harness, r *rand.Rand, restarts *sync.WaitGroup) {
		entries := slices.Clone(harness.entries)
		r.Shuffle(len(entries), func(i, k int) { entries[i], entries[k] = entries[k], entries[i] })
		harness.killTogether(r, restarts, entries[:(len(entries)+1)/2])
	}},
	{"all", func(harness *Harness, r *rand.Rand, restarts *sync.WaitGroup) {
		harness.killTogether(r, restarts, harness.entries)
	}},
	{"rolling", stopInTurn},
}

// vmLoss is a loss of VMs. pick chooses those that are lost from vms, which is not empty and has those with the most
// ends that were not acknowledged first.
type vmLoss struct {
	name string
	pick func(vms []*emul.Worker, r *rand.Rand) []*emul.Worker
}

var vmLosses = []vmLoss{
	{"none", func([]*emul.Worker, *rand.Rand) []*emul.Worker { return nil }},
	{"one", func(vms []*emul.Worker, _ *rand.Rand) []*emul.Worker { return vms[:1] }},
	{"pool-rack", func(vms []*emul.Worker, r *rand.Rand) []*emul.Worker {
		lost := vms[r.IntN(len(vms))]
		return slices.DeleteFunc(vms, func(vm *emul.Worker) bool { return vm.Rack != lost.Rack || vm.Pool != lost.Pool })
	}},
	{"ends", func(vms []*emul.Worker, _ *rand.Rand) []*emul.Worker { return vms[:len(vms)/4] }},
	{"rack", func(vms []*emul.Worker, r *rand.Rand) []*emul.Worker {
		rack := vms[r.IntN(len(vms))].Rack
		return slices.DeleteFunc(vms, func(vm *emul.Worker) bool { return vm.Rack != rack })
	}},
	{"all", func(vms []*emul.Worker, _ *rand.Rand) []*emul.Worker { return vms }},
}

func findEntryLoss(name string) *entryLoss {
	if i := slices.IndexFunc(entryLosses, func(l entryLoss) bool { return l.name == name }); i >= 0 {
		return &entryLosses[i]
	}
	return nil
}

func findVMLoss(name string) *vmLoss {
	if i := slices.IndexFunc(vmLosses, func(l vmLoss) bool { return l.name == name }); i >= 0 {
		return &vmLosses[i]
	}
	return nil
}

// injectOutages makes the log unavailable for all entries, Load.Outages times. Near the end of each outage entries and
// VMs are lost at once. Before it a configuration is published, and before every second one a maintenance wave requested.
func (harness *Harness) injectOutages(ctx context.Context) {
	const minLength, lengthSpread, rest = 2500 * time.Millisecond, 2 * time.Second, 800 * time.Millisecond
	const minLongLength, longLengthSpread, longCalm = 8500 * time.Millisecond, 3 * time.Second, 14 * time.Second
	calm, shortest, spread := 3*time.Second, minLength, lengthSpread
	if harness.cfg.Load.LongOutages {
		calm, shortest, spread = longCalm, minLongLength, longLengthSpread
	}
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 7))
	harness.submitLongRunning(ctx)
	for n := range harness.cfg.Load.Outages {
		sleep(ctx, calm+randomDuration(r, 2*time.Second))
		harness.configure()
		if n%2 == 1 {
			harness.requestWave(r)
		}
		if harness.cfg.Load.LongLists {
			harness.submitShortTasks(ctx, n)
		}
		mode, length := r.IntN(len(outageModes)), shortest+randomDuration(r, spread)
		harness.log("outage %d: the log %s for all entries for %s", n+1, outageModes[mode], length.Round(time.Millisecond))
		harness.faultCount++
		end := harness.beginOutage(mode, harness.entries)
		sleep(ctx, length)
		harness.loseAtOnce(r)
		sleep(ctx, randomDuration(r, rest))
		harness.log("outage %d: the log answers again", n+1)
		end()
	}
	sleep(ctx, calm)
}

// loseAtOnce loses the entries and VMs that the load names. The VMs come back soon, in half of the cases under their
// former IDs.
func (harness *Harness) loseAtOnce(r *rand.Rand) {
	const vmsDown = 800 * time.Millisecond
	var restarts sync.WaitGroup
	defer restarts.Wait()
	findEntryLoss(harness.cfg.Load.LoseEntries).lose(harness, r, &restarts)
	vms := harness.vmsByEnds()
	if len(vms) > 0 {
		vms = findVMLoss(harness.cfg.Load.LoseVMs).pick(vms, r)
	}
	ends, sameIDs := 0, r.IntN(2) == 0
	for _, vm := range vms {
		ends += vm.PendingEnds()
		if sameIDs {
			harness.platform.CrashKeepingID(vm)
		} else {
			harness.platform.Crash(vm)
		}
	}
	harness.log("lost: entries %s, %d VMs, with %d ends that were not acknowledged; the VMs come back under the same ids: %t", harness.cfg.Load.LoseEntries, len(vms), ends, sameIDs)
	time.Sleep(vmsDown)
	if err := harness.platform.Repair(); err != nil {
		harness.reportViolation("%v", err)
	}
}

// killTogether kills entries at once. They start again together.
func (harness *Harness) killTogether(r *rand.Rand, restarts *sync.WaitGroup, entries []*Entry) {
	delay := randomDuration(r, 400*time.Millisecond)
	var gone sync.WaitGroup
	for _, e := range entries {
		gone.Add(1)
		restarts.Go(func() {
			e.Kill()
			gone.Done()
			harness.restartAfter(e, delay)
		})
	}
	gone.Wait()
}

// stopInTurn stops all entries, one soon after the other. Each starts again once it has stopped.
func stopInTurn(harness *Harness, r *rand.Rand, restarts *sync.WaitGroup) {
	apart := randomDuration(r, 300*time.Millisecond)
	var gone sync.WaitGroup
	for i, e := range harness.entries {
		gone.Add(1)
		restarts.Go(func() {
			time.Sleep(time.Duration(i) * apart)
			e.Stop()
			gone.Done()
			harness.restartAfter(e, 0)
		})
	}
	gone.Wait()
}
