package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// seriesEvents are the events that a series draws from, each by its weight. They happen at random moments within or
// soon after an outage of the log, and overlap.
var seriesEvents = []struct {
	name   string
	weight int
	happen func(ctx context.Context, harness *Harness, r *rand.Rand)
}{
	{"owner killed", 4, func(_ context.Context, harness *Harness, r *rand.Rand) { harness.restartOwner(r, (*Entry).Kill) }},
	{"owner stopped", 3, func(_ context.Context, harness *Harness, r *rand.Rand) { harness.restartOwner(r, (*Entry).Stop) }},
	{"owner paused", 3, pauseOwner},
	{"partitions reassigned", 3, func(_ context.Context, harness *Harness, _ *rand.Rand) { harness.platform.Store.Rebalance() }},
	{"all entries lost", 3, func(_ context.Context, harness *Harness, r *rand.Rand) { harness.loseAllEntries(r) }},
	{"rolling restart", 2, func(_ context.Context, harness *Harness, r *rand.Rand) { rollingRestart(harness, r) }},
	{"rack lost", 4, func(ctx context.Context, harness *Harness, r *rand.Rand) { harness.loseRack(ctx, r) }},
	{"VMs with ends lost", 4, func(ctx context.Context, harness *Harness, r *rand.Rand) { harness.loseVMsWithEnds(ctx, r) }},
	{"jobs cancelled", 4, func(ctx context.Context, harness *Harness, r *rand.Rand) { harness.cancelJobs(ctx, r) }},
	{"jobs cancelled after a takeover", 4, func(ctx context.Context, harness *Harness, r *rand.Rand) { harness.cancelAfterTakeover(ctx, r) }},
	{"queue moves and comes back", 2, moveQueueAndBack},
	{"maintenance wave", 2, func(_ context.Context, harness *Harness, r *rand.Rand) { harness.requestWave(r) }},
	{"second outage", 2, func(ctx context.Context, harness *Harness, r *rand.Rand) {
		harness.outage(ctx, r, randomDuration(r, 2*time.Second))
	}},
}

// injectSeries injects outages of the log with other events until ctx is done, and returns when all have ended.
func (harness *Harness) injectSeries(ctx context.Context) {
	const pause, maxOutage, after, maxEvents = 3 * time.Second, 5 * time.Second, time.Second, 5
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 4))
	total := 0
	for i := range seriesEvents {
		total += seriesEvents[i].weight
	}
	var active sync.WaitGroup
	defer active.Wait()
	for {
		sleep(ctx, randomDuration(r, pause))
		if ctx.Err() != nil {
			return
		}
		length, outageRand := randomDuration(r, maxOutage), rand.New(rand.NewPCG(r.Uint64(), 0))
		active.Go(func() { harness.outage(ctx, outageRand, length) })
		for range 2 + r.IntN(maxEvents-1) {
			x, i := r.IntN(total), 0
			for ; x >= seriesEvents[i].weight; i++ {
				x -= seriesEvents[i].weight
			}
			at := time.Duration(r.Int64N(int64(length + after)))
			eventRand := rand.New(rand.NewPCG(r.Uint64(), 0))
			active.Go(func() {
				if sleep(ctx, at); ctx.Err() == nil {
					harness.log("series: %s", seriesEvents[i].name)
					ended := harness.faults.begin(time.Now(), allEntries)
					seriesEvents[i].happen(ctx, harness, eventRand)
					ended(time.Now())
				}
			})
		}
		sleep(ctx, length)
	}
}

// outage makes the log unavailable for all entries or for some of them.
func (harness *Harness) outage(ctx context.Context, r *rand.Rand, length time.Duration) {
	mode := r.IntN(len(outageModes))
	var affected []*Entry
	share := []int{100, 100, 30, 60}[r.IntN(4)]
	for _, e := range harness.entries {
		if r.IntN(100) < share {
			affected = append(affected, e)
		}
	}
	harness.log("series: the log %s for %d of %d entries for %s", outageModes[mode], len(affected), len(harness.entries), length.Round(time.Millisecond))
	end := harness.beginOutage(mode, affected)
	defer end()
	sleep(ctx, length)
}

// outageModes are the ways in which the log is unavailable, by the number that beginOutage takes.
var outageModes = []string{"refuses calls", "resets connections", "is silent"}

// beginOutage makes the log unavailable for entries and returns the function that ends that.
func (harness *Harness) beginOutage(mode int, affected []*Entry) (end func()) {
	var names []string
	var ends []func()
	for _, e := range affected {
		names = append(names, e.Name)
		ended := harness.contact.begin(time.Now(), e.Name)
		ends = append(ends, func() { ended(time.Now()) })
		switch mode {
		case 0:
			e.Log.Reset()
		case 1:
			e.Log.Refuse()
			ends = append(ends, e.Log.ClearFaults)
		case 2:
			e.Log.Stall(Upstream, Downstream)
			ends = append(ends, e.Log.ClearFaults)
		}
	}
	if mode == 0 {
		harness.platform.CutOff(names...)
		ends = append(ends, func() { harness.platform.CutOff() })
	}
	return func() {
		for _, end := range slices.Backward(ends) {
			end()
		}
	}
}

// randomOwner returns an entry that a random partition is assigned to, any entry if there is none.
func (harness *Harness) randomOwner(r *rand.Rand) *Entry {
	owners := harness.platform.Store.Owners()
	if len(owners) == 0 {
		return harness.randomEntry(r)
	}
	if e := harness.entryOfMember(owners[r.IntN(len(owners))]); e != nil {
		return e
	}
	return harness.randomEntry(r)
}

// entryOfMember returns the entry that a member of the log's group is, nil if there is none.
func (harness *Harness) entryOfMember(member string) *Entry {
	i := slices.IndexFunc(harness.entries, func(e *Entry) bool { return strings.HasPrefix(member, e.Name+"@") })
	if i < 0 {
		return nil
	}
	return harness.entries[i]
}

func (harness *Harness) restartOwner(r *rand.Rand, stop func(*Entry)) {
	e := harness.randomOwner(r)
	harness.log("%s goes", e.Name)
	stop(e)
	harness.restartAfter(e, randomDuration(r, 2*time.Second))
}

func pauseOwner(ctx context.Context, harness *Harness, r *rand.Rand) {
	e := harness.randomOwner(r)
	harness.log("pause %s", e.Name)
	e.Signal(syscall.SIGSTOP)
	sleep(ctx, randomDuration(r, 4*time.Second))
	e.Signal(syscall.SIGCONT)
	harness.log("resume %s", e.Name)
}

// loseAllEntries kills all entries at once and starts them again together.
func (harness *Harness) loseAllEntries(r *rand.Rand) {
	delay := randomDuration(r, time.Second)
	var active sync.WaitGroup
	for _, e := range harness.entries {
		active.Go(func() {
			e.Kill()
			harness.restartAfter(e, delay)
		})
	}
	active.Wait()
}

// loseRack crashes all VMs of a rack; in half of the cases they come back under their former IDs.
func (harness *Harness) loseRack(ctx context.Context, r *rand.Rand) {
	vms := harness.platform.VMs()
	if len(vms) == 0 {
		return
	}
	rack := vms[r.IntN(len(vms))].Rack
	vms = slices.DeleteFunc(vms, func(vm *emul.Worker) bool { return vm.Rack != rack })
	harness.loseVMs(ctx, r, vms)
}

// loseVMsWithEnds crashes the VMs with the most ends that have not been acknowledged.
func (harness *Harness) loseVMsWithEnds(ctx context.Context, r *rand.Rand) {
	vms := harness.vmsByEnds()
	harness.loseVMs(ctx, r, vms[:len(vms)*(1+r.IntN(3))/4])
}

// vmsByEnds returns the VMs, those with the most ends that have not been acknowledged first.
func (harness *Harness) vmsByEnds() []*emul.Worker {
	vms := harness.platform.VMs()
	ends := map[*emul.Worker]int{}
	for _, vm := range vms {
		ends[vm] = vm.PendingEnds()
	}
	slices.SortFunc(vms, func(a, b *emul.Worker) int { return ends[b] - ends[a] })
	return vms
}

func (harness *Harness) loseVMs(ctx context.Context, r *rand.Rand, vms []*emul.Worker) {
	apart := []time.Duration{time.Nanosecond, 100 * time.Millisecond}[r.IntN(2)] // at most
	sameIDs := r.IntN(2) == 0
	harness.log("%d VMs crash; they come back under the same ids: %t", len(vms), sameIDs)
	for _, vm := range vms {
		sleep(ctx, time.Duration(r.Int64N(int64(apart))))
		if sameIDs {
			harness.platform.CrashKeepingID(vm)
		} else {
			harness.platform.Crash(vm)
		}
	}
	sleep(ctx, randomDuration(r, 2*time.Second))
	if err := harness.platform.Repair(); err != nil {
		harness.reportViolation("%v", err)
	}
}

// cancelJobs cancels some accepted jobs, over connections of their own.
func (harness *Harness) cancelJobs(ctx context.Context, r *rand.Rand) {
	const share = 6 // one of so many jobs
	var active sync.WaitGroup
	for _, j := range harness.registry.All() {
		j.mu.Lock()
		open := !j.acceptedAt.IsZero() && j.cancelSentAt.IsZero() && j.completedAt.IsZero() && !j.mayWait
		j.mu.Unlock()
		if !open || r.IntN(share) > 0 {
			continue
		}
		c := newCaller(harness, r.Uint64(), 0)
		c.account, c.key = j.Account, lastingKey(j.Account)
		active.Go(func() { c.cancelUntilAcknowledged(ctx, j) })
	}
	active.Wait()
}

// cancelAfterTakeover cancels jobs while another entry takes over from a killed owner, and after that.
func (harness *Harness) cancelAfterTakeover(ctx context.Context, r *rand.Rand) {
	const rounds = 3
	e := harness.randomOwner(r)
	harness.log("kill %s", e.Name)
	e.Kill()
	for range rounds {
		sleep(ctx, randomDuration(r, time.Second))
		harness.cancelJobs(ctx, r)
	}
	harness.restartAfter(e, 0)
}

// moveQueueAndBack moves a queue to another pool, in which its jobs run, and soon back.
func moveQueueAndBack(_ context.Context, harness *Harness, r *rand.Rand) {
	i := r.IntN(len(harness.queues))
	harness.dropAndAdd(i, randomDuration(r, time.Second))
	for range len(harness.pools) - 1 {
		time.Sleep(randomDuration(r, time.Second))
		harness.dropAndAdd(i, randomDuration(r, 300*time.Millisecond))
	}
}
