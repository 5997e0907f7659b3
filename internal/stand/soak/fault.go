package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// fault is a row of the table of faults. inject injects the fault and returns the function
// that clears it, nil if the fault ends by itself.
type fault struct {
	name   string
	weight int // relative frequency
	inject func(harness *Harness, r *rand.Rand) (end func())
}

// faults lists the faults that injectFaults chooses from. A new fault needs an inject function
// and a row here.
var faults = []fault{
	{"entry killed", 5, restartEntry("kill", (*Entry).Kill)},
	{"entry stopped", 5, restartEntry("stop", (*Entry).Stop)},
	{"rolling restart of all entries", 2, rollingRestart},
	{"entry paused", 5, pauseEntry},
	{"SIGHUP to an entry", 1, reloadEntry},
	{"all entries killed", 1, killAllEntries},
	{"log refuses all calls", 2, func(harness *Harness, _ *rand.Rand) func() {
		return harness.injectLogFault(func(s *emul.Store) { s.Down = true }, func(s *emul.Store) { s.Down = false })
	}},
	{"log answers slowly", 2, func(harness *Harness, r *rand.Rand) func() {
		delay := time.Duration(50+r.IntN(450)) * time.Millisecond
		return harness.injectLogFault(func(s *emul.Store) { s.Delay = delay }, func(s *emul.Store) { s.Delay = 0 })
	}},
	{"log loses replies to appends", 2, func(harness *Harness, _ *rand.Rand) func() {
		const percent = 33
		return harness.injectLogFault(func(s *emul.Store) { s.LosePercent = percent }, func(s *emul.Store) { s.LosePercent = 0 })
	}},
	{"partitions reassigned", 2, func(harness *Harness, _ *rand.Rand) func() { harness.platform.Store.Rebalance(); return nil }},
	{"fault on the link from an entry to the log", 4, entryLinkFault(func(e *Entry) *Link { return e.Log })},
	{"fault on the link from an entry to the fleet inventory", 2, entryLinkFault(func(e *Entry) *Link { return e.Fleet })},
	{"fault on the link from other entries to an entry", 3, entryLinkFault(func(e *Entry) *Link { return e.Peers })},
	{"fault on the link from callers to an entry", 2, entryLinkFault(func(e *Entry) *Link { return e.Callers })},
	{"fault on the link to a running VM", 4, injectVMLinkFault},
	{"VM executes orders late", 3, delayVMOrders},
	{"VMs of a pool leave calls unanswered", 4, loseVMCalls},
	{"VM fails all runs", 2, func(harness *Harness, r *rand.Rand) func() {
		return injectVMFault(harness, r, func(w *emul.Worker) { w.FailAllRuns = true }, func(w *emul.Worker) { w.FailAllRuns = false })
	}},
	{"VM crashes", 4, crashVM},
	{"VM has less room", 4, shrinkVM},
	{"configuration changes", 2, func(harness *Harness, _ *rand.Rand) func() { harness.configure(); return nil }},
	{"queue moves to another pool", 2, func(harness *Harness, r *rand.Rand) func() { harness.moveQueue(r); return nil }},
	{"maintenance wave", 1, func(harness *Harness, r *rand.Rand) func() { harness.requestWave(r); return nil }},
}

// pickFault returns a random fault, chosen by weight.
func pickFault(r *rand.Rand) *fault {
	total := 0
	for i := range faults {
		total += faults[i].weight
	}
	x := r.IntN(total)
	for i := range faults {
		if x -= faults[i].weight; x < 0 {
			return &faults[i]
		}
	}
	return &faults[0]
}

func (harness *Harness) randomEntry(r *rand.Rand) *Entry {
	return harness.entries[r.IntN(len(harness.entries))]
}

// restartAfter starts an entry after a delay.
func (harness *Harness) restartAfter(e *Entry, delay time.Duration) {
	time.Sleep(delay)
	if err := e.Start(); err != nil {
		harness.reportViolation("%v", err)
	}
}

// randomDuration returns a duration from 200 ms up to, but not including, 200 ms + spread.
func randomDuration(r *rand.Rand, spread time.Duration) time.Duration {
	const minimum = 200 * time.Millisecond
	return minimum + time.Duration(r.Int64N(int64(spread)))
}

// restartEntry returns a fault that calls stop to terminate a random entry, and starts the entry
// again after a random delay. action describes the termination in the event log.
func restartEntry(action string, stop func(*Entry)) func(*Harness, *rand.Rand) func() {
	return func(harness *Harness, r *rand.Rand) func() {
		e, delay := harness.randomEntry(r), randomDuration(r, 2*time.Second)
		harness.log("%s %s", action, e.Name)
		stop(e)
		harness.restartAfter(e, delay)
		return nil
	}
}

func rollingRestart(harness *Harness, r *rand.Rand) func() {
	delay := randomDuration(r, time.Second)
	for _, e := range harness.entries {
		harness.log("stop %s for the rolling restart", e.Name)
		e.Stop()
		harness.restartAfter(e, delay)
	}
	return nil
}

func pauseEntry(harness *Harness, r *rand.Rand) func() {
	e := harness.randomEntry(r)
	harness.log("pause %s", e.Name)
	e.Signal(syscall.SIGSTOP)
	return func() {
		harness.log("resume %s", e.Name)
		e.Signal(syscall.SIGCONT)
	}
}

func reloadEntry(harness *Harness, r *rand.Rand) func() {
	harness.randomEntry(r).Signal(syscall.SIGHUP)
	return nil
}

func killAllEntries(harness *Harness, r *rand.Rand) func() {
	delay := randomDuration(r, time.Second)
	for _, e := range harness.entries {
		e.Kill()
	}
	for _, e := range harness.entries {
		harness.restartAfter(e, delay/time.Duration(len(harness.entries)))
	}
	return nil
}

// injectLogFault applies inject to the emulated log and returns the function that applies
// restore.
func (harness *Harness) injectLogFault(inject, restore func(*emul.Store)) func() {
	ended := harness.contact.begin(time.Now(), allEntries)
	harness.platform.Store.SetFaults(inject)
	return func() {
		harness.platform.Store.SetFaults(restore)
		ended(time.Now())
	}
}

// entryLinkFault returns a fault on one link of a random entry; linkOf selects the link.
func entryLinkFault(linkOf func(*Entry) *Link) func(*Harness, *rand.Rand) func() {
	return func(harness *Harness, r *rand.Rand) func() {
		e := harness.randomEntry(r)
		harness.log("link of %s: %s", e.Name, injectLinkFault(linkOf(e), r))
		ended := harness.contact.begin(time.Now(), e.Name)
		return func() {
			linkOf(e).ClearFaults()
			ended(time.Now())
		}
	}
}

// injectLinkFault injects a random fault into a link and returns its description.
func injectLinkFault(l *Link, r *rand.Rand) string {
	switch r.IntN(7) {
	case 0:
		l.Stall(Upstream, Downstream)
		return "stalled in both directions"
	case 1:
		l.Stall(Upstream)
		return "stalled upstream"
	case 2:
		l.Stall(Downstream)
		return "stalled downstream"
	case 3:
		l.Refuse()
		return "refused"
	case 4:
		l.Reset()
		return "reset"
	case 5:
		l.Blackhole()
		return "open connections blackholed"
	}
	delay := time.Duration(20+r.IntN(300)) * time.Millisecond
	l.SetDelay(delay)
	return "delayed by " + delay.String()
}

// injectVMLinkFault injects a fault into the link to a random VM. Orders in transit when the
// fault starts or ends may reach the VM late.
func injectVMLinkFault(harness *Harness, r *rand.Rand) func() {
	vms := harness.platform.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	l := harness.vmLink(vm.ID)
	harness.recordOrderFault(vm.ID)
	harness.log("link to VM %s of pool %s: %s", vm.ID, vm.Pool, injectLinkFault(l, r))
	return func() {
		harness.recordOrderFault(vm.ID)
		l.ClearFaults()
	}
}

func injectVMFault(harness *Harness, r *rand.Rand, inject, restore func(*emul.Worker)) func() {
	vms := harness.platform.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	harness.log("fault injected into VM %s of pool %s", vm.ID, vm.Pool)
	vm.SetFaults(inject)
	return func() { vm.SetFaults(restore) }
}

func delayVMOrders(harness *Harness, r *rand.Rand) func() {
	delay := 2*time.Second + randomDuration(r, 3*time.Second)
	return injectVMFault(harness, r, func(w *emul.Worker) {
		harness.recordOrderFault(w.ID)
		w.OrderDelay = delay
	}, func(w *emul.Worker) {
		harness.recordOrderFault(w.ID)
		w.OrderDelay = 0
	})
}

// loseVMCalls has the VMs of a random pool leave a share of their calls unanswered and carry the orders among
// them out late. The VMs that join the pool meanwhile answer.
func loseVMCalls(harness *Harness, r *rand.Rand) func() {
	pool, share := harness.pools[r.IntN(len(harness.pools))], 3+r.IntN(25)
	late := randomDuration(r, 3*time.Second)
	var affected []*emul.Worker
	for _, vm := range harness.platform.VMs() {
		if vm.Pool == pool {
			affected = append(affected, vm)
		}
	}
	set := func(share int, late time.Duration) {
		for _, vm := range affected {
			harness.recordOrderFault(vm.ID)
			vm.SetFaults(func(w *emul.Worker) { w.LosePercent, w.LateBy = share, late })
		}
	}
	harness.log("%d VMs of pool %s leave %d %% of their calls unanswered, orders take effect after %s", len(affected), pool, share, late)
	set(share, late)
	return func() { set(0, 0) }
}

// injectOutage makes the log unavailable for some time in the middle of the run; in every second seed an
// entry is killed meanwhile.
func (harness *Harness) injectOutage(ctx context.Context) {
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 1))
	begin := harness.cfg.Duration/4 + randomDuration(r, harness.cfg.Duration/4)
	length := harness.cfg.Duration/8 + randomDuration(r, harness.cfg.Duration/8)
	silent, kill := r.IntN(2) == 0, harness.cfg.Seed%2 == 0
	sleep(ctx, begin)
	harness.submitShortTasks(ctx, 0)
	harness.log("outage of the log for %s, silent: %t, an entry is killed: %t", length.Round(time.Millisecond), silent, kill)
	end := harness.injectLogFault(func(s *emul.Store) { s.Down, s.Silent = true, silent }, func(s *emul.Store) { s.Down, s.Silent = false, false })
	defer end()
	sleep(ctx, length/2)
	if kill {
		e := harness.randomEntry(r)
		harness.log("kill %s during the outage", e.Name)
		e.Kill()
		defer harness.restartAfter(e, 0)
	}
	sleep(ctx, length/2)
}

// shrinkVM reduces a VM's capacity to a part.
func shrinkVM(harness *Harness, r *rand.Rand) func() {
	cpu := 1000 * r.IntN(6)
	return injectVMFault(harness, r, func(w *emul.Worker) { w.SetCPU(cpu) }, func(w *emul.Worker) { w.SetCPU(emul.VMCPU) })
}

func crashVM(harness *Harness, r *rand.Rand) func() {
	vms := harness.platform.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	harness.log("VM %s of pool %s crashes", vm.ID, vm.Pool)
	harness.platform.Crash(vm)
	return func() {
		if err := harness.platform.Repair(); err != nil {
			harness.reportViolation("%v", err)
		}
	}
}
