package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// fault is a kind of fault. inject starts it and returns the function that ends it, nil if
// it ends by itself.
type fault struct {
	name   string
	weight int // relative frequency
	inject func(run *Run, r *rand.Rand) (end func())
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
	{"log refuses all calls", 2, func(run *Run, _ *rand.Rand) func() {
		return run.injectStoreFault(func(s *emul.Store) { s.Down = true }, func(s *emul.Store) { s.Down = false })
	}},
	{"log answers slowly", 2, func(run *Run, r *rand.Rand) func() {
		delay := time.Duration(50+r.IntN(450)) * time.Millisecond
		return run.injectStoreFault(func(s *emul.Store) { s.Delay = delay }, func(s *emul.Store) { s.Delay = 0 })
	}},
	{"log loses replies to appends", 2, func(run *Run, _ *rand.Rand) func() {
		const percent = 33
		return run.injectStoreFault(func(s *emul.Store) { s.LosePercent = percent }, func(s *emul.Store) { s.LosePercent = 0 })
	}},
	{"partitions reassigned", 2, func(run *Run, _ *rand.Rand) func() { run.platform.Store.Rebalance(); return nil }},
	{"fault on the link from an entry to the log", 4, entryLinkFault(func(e *Entry) *Link { return e.Log })},
	{"fault on the link from an entry to the fleet inventory", 2, entryLinkFault(func(e *Entry) *Link { return e.Fleet })},
	{"fault on the link from other entries to an entry", 3, entryLinkFault(func(e *Entry) *Link { return e.Peers })},
	{"fault on the link from callers to an entry", 2, entryLinkFault(func(e *Entry) *Link { return e.Callers })},
	{"fault on the link to a VM that runs on", 4, disruptVMLink},
	{"VM executes orders late", 3, delayVMOrders},
	{"VM fails all runs", 2, func(run *Run, r *rand.Rand) func() {
		return injectVMFault(run, r, func(w *emul.Worker) { w.FailAllRuns = true }, func(w *emul.Worker) { w.FailAllRuns = false })
	}},
	{"VM crashes", 4, crashVM},
	{"configuration changes", 2, func(run *Run, _ *rand.Rand) func() { run.configure(); return nil }},
	{"maintenance wave", 1, func(run *Run, r *rand.Rand) func() { run.requestWave(r); return nil }},
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

func (run *Run) randomEntry(r *rand.Rand) *Entry { return run.entries[r.IntN(len(run.entries))] }

// restartAfter starts an entry after a delay.
func (run *Run) restartAfter(e *Entry, delay time.Duration) {
	time.Sleep(delay)
	if err := e.Start(); err != nil {
		run.reportViolation("%v", err)
	}
}

// randomDuration returns a duration from 200 ms up to, but not including, 200 ms + spread.
func randomDuration(r *rand.Rand, spread time.Duration) time.Duration {
	const minimum = 200 * time.Millisecond
	return minimum + time.Duration(r.Int64N(int64(spread)))
}

// restartEntry returns a fault that terminates a random entry with stop and starts it again
// after a random delay; action is the name of stop in the log.
func restartEntry(action string, stop func(*Entry)) func(*Run, *rand.Rand) func() {
	return func(run *Run, r *rand.Rand) func() {
		e, delay := run.randomEntry(r), randomDuration(r, 2*time.Second)
		run.log("%s %s", action, e.Name)
		stop(e)
		run.restartAfter(e, delay)
		return nil
	}
}

func rollingRestart(run *Run, r *rand.Rand) func() {
	delay := randomDuration(r, time.Second)
	for _, e := range run.entries {
		run.log("stop %s for the rolling restart", e.Name)
		e.Stop()
		run.restartAfter(e, delay)
	}
	return nil
}

func pauseEntry(run *Run, r *rand.Rand) func() {
	e := run.randomEntry(r)
	run.log("pause %s", e.Name)
	e.Signal(syscall.SIGSTOP)
	return func() {
		run.log("resume %s", e.Name)
		e.Signal(syscall.SIGCONT)
	}
}

func reloadEntry(run *Run, r *rand.Rand) func() {
	run.randomEntry(r).Signal(syscall.SIGHUP)
	return nil
}

func killAllEntries(run *Run, r *rand.Rand) func() {
	delay := randomDuration(r, time.Second)
	for _, e := range run.entries {
		e.Kill()
	}
	for _, e := range run.entries {
		run.restartAfter(e, delay/time.Duration(len(run.entries)))
	}
	return nil
}

func (run *Run) injectStoreFault(inject, restore func(*emul.Store)) func() {
	run.platform.Store.SetFaults(inject)
	return func() { run.platform.Store.SetFaults(restore) }
}

// entryLinkFault returns a fault on one of the links of a random entry, which linkOf selects.
func entryLinkFault(linkOf func(*Entry) *Link) func(*Run, *rand.Rand) func() {
	return func(run *Run, r *rand.Rand) func() {
		e := run.randomEntry(r)
		run.log("link of %s: %s", e.Name, injectLinkFault(linkOf(e), r))
		return linkOf(e).ClearFaults
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

func disruptVMLink(run *Run, r *rand.Rand) func() {
	vms := run.platform.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	l := run.vmLink(vm.ID)
	run.markDelayed(vm.ID)
	run.log("link to VM %s of pool %s: %s", vm.ID, vm.Pool, injectLinkFault(l, r))
	return func() {
		run.markDelayed(vm.ID)
		l.ClearFaults()
	}
}

func injectVMFault(run *Run, r *rand.Rand, inject, restore func(*emul.Worker)) func() {
	vms := run.platform.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	run.log("fault injected into VM %s of pool %s", vm.ID, vm.Pool)
	vm.SetFaults(inject)
	return func() { vm.SetFaults(restore) }
}

func delayVMOrders(run *Run, r *rand.Rand) func() {
	delay := 2*time.Second + randomDuration(r, 3*time.Second)
	return injectVMFault(run, r, func(w *emul.Worker) {
		run.markDelayed(w.ID)
		w.OrderDelay = delay
	}, func(w *emul.Worker) {
		run.markDelayed(w.ID)
		w.OrderDelay = 0
	})
}

func crashVM(run *Run, r *rand.Rand) func() {
	vms := run.platform.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	run.log("VM %s of pool %s crashes", vm.ID, vm.Pool)
	run.platform.Crash(vm)
	return func() {
		if err := run.platform.Repair(); err != nil {
			run.reportViolation("%v", err)
		}
	}
}
