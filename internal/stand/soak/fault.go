package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// fault harms the running system for a time. It returns how to end the harm, nil if
// it ends by itself.
type fault struct {
	name   string
	weight int // how often it comes, against the others
	begin  func(run *Run, r *rand.Rand) (end func())
}

// faults is the table of faults; a new one is one function and one line here.
var faults = []fault{
	{"entry killed", 5, endEntry("kill", (*Entry).End)},
	{"entry told to stop", 5, endEntry("stop", (*Entry).Stop)},
	{"entries stopped in turn", 2, rollEntries},
	{"entry paused", 5, pauseEntry},
	{"settings of an entry changed", 1, hupEntry},
	{"all entries killed", 1, killAll},
	{"log refuses all", 2, func(run *Run, _ *rand.Rand) func() {
		return run.store(func(s *emul.Store) { s.Down = true }, func(s *emul.Store) { s.Down = false })
	}},
	{"log slow", 2, func(run *Run, r *rand.Rand) func() {
		delay := time.Duration(50+r.IntN(450)) * time.Millisecond
		return run.store(func(s *emul.Store) { s.Delay = delay }, func(s *emul.Store) { s.Delay = 0 })
	}},
	{"log loses answers", 2, func(run *Run, _ *rand.Rand) func() {
		const percent = 33
		return run.store(func(s *emul.Store) { s.LosePercent = percent }, func(s *emul.Store) { s.LosePercent = 0 })
	}},
	{"partitions dealt anew", 2, func(run *Run, _ *rand.Rand) func() { run.world.Store.Rebalance(); return nil }},
	{"entry cut from the log", 4, linkFault(func(e *Entry) *Link { return e.Log })},
	{"entry cut from the inventory", 2, linkFault(func(e *Entry) *Link { return e.Fleet })},
	{"entry cut from other entries", 3, linkFault(func(e *Entry) *Link { return e.Peers })},
	{"entry cut from callers", 2, linkFault(func(e *Entry) *Link { return e.Callers })},
	{"VM cut off, running on", 4, cutVM},
	{"VM carries orders out late", 3, lateVM},
	{"VM fails all", 2, func(run *Run, r *rand.Rand) func() {
		return vmFault(run, r, func(w *emul.Worker) { w.FailAllRuns = true }, func(w *emul.Worker) { w.FailAllRuns = false })
	}},
	{"VM crashes", 4, crashVM},
	{"configuration changes", 2, func(run *Run, _ *rand.Rand) func() { run.configure(); return nil }},
	{"maintenance wave", 1, func(run *Run, r *rand.Rand) func() { run.wave(r); return nil }},
}

// draw picks a fault by weight.
func draw(r *rand.Rand) *fault {
	sum := 0
	for i := range faults {
		sum += faults[i].weight
	}
	x := r.IntN(sum)
	for i := range faults {
		if x -= faults[i].weight; x < 0 {
			return &faults[i]
		}
	}
	return &faults[0]
}

func (run *Run) anyEntry(r *rand.Rand) *Entry { return run.entries[r.IntN(len(run.entries))] }

// back starts an entry again after a short while.
func (run *Run) back(e *Entry, after time.Duration) {
	time.Sleep(after)
	if err := e.Start(); err != nil {
		run.breach("%v", err)
	}
}

func someTime(r *rand.Rand, most time.Duration) time.Duration {
	const least = 200 * time.Millisecond
	return least + time.Duration(r.Int64N(int64(most)))
}

// endEntry ends an entry in a way and starts it again after a while.
func endEntry(how string, end func(*Entry)) func(*Run, *rand.Rand) func() {
	return func(run *Run, r *rand.Rand) func() {
		e, after := run.anyEntry(r), someTime(r, 2*time.Second)
		run.log("%s %s", how, e.Name)
		end(e)
		run.back(e, after)
		return nil
	}
}

func rollEntries(run *Run, r *rand.Rand) func() {
	after := someTime(r, time.Second)
	for _, e := range run.entries {
		run.log("stop %s in turn", e.Name)
		e.Stop()
		run.back(e, after)
	}
	return nil
}

func pauseEntry(run *Run, r *rand.Rand) func() {
	e := run.anyEntry(r)
	run.log("pause %s", e.Name)
	e.Signal(syscall.SIGSTOP)
	return func() {
		run.log("resume %s", e.Name)
		e.Signal(syscall.SIGCONT)
	}
}

func hupEntry(run *Run, r *rand.Rand) func() {
	run.anyEntry(r).Signal(syscall.SIGHUP)
	return nil
}

func killAll(run *Run, r *rand.Rand) func() {
	after := someTime(r, time.Second)
	for _, e := range run.entries {
		e.End()
	}
	for _, e := range run.entries {
		run.back(e, after/time.Duration(len(run.entries)))
	}
	return nil
}

func (run *Run) store(harm, heal func(*emul.Store)) func() {
	run.world.Store.SetFaults(harm)
	return func() { run.world.Store.SetFaults(heal) }
}

// linkFault harms one of an entry's links in one of several ways.
func linkFault(of func(*Entry) *Link) func(*Run, *rand.Rand) func() {
	return func(run *Run, r *rand.Rand) func() {
		e := run.anyEntry(r)
		run.log("%s: %s", e.Name, harm(of(e), r))
		return of(e).Heal
	}
}

// harm harms a link and says how.
func harm(l *Link, r *rand.Rand) string {
	switch r.IntN(7) {
	case 0:
		l.Hold(Up, Down)
		return "silent both ways"
	case 1:
		l.Hold(Up)
		return "silent on the way there"
	case 2:
		l.Hold(Down)
		return "silent on the way back"
	case 3:
		l.Refuse()
		return "refused"
	case 4:
		l.Reset()
		return "reset"
	case 5:
		l.Silence()
		return "open connections silent for good"
	}
	by := time.Duration(20+r.IntN(300)) * time.Millisecond
	l.Slow(by)
	return "slower by " + by.String()
}

func cutVM(run *Run, r *rand.Rand) func() {
	vms := run.world.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	l := run.vmLink(vm.ID)
	run.markLate(vm.ID)
	run.log("%s of %s: %s", vm.ID, vm.Pool, harm(l, r))
	return func() {
		run.markLate(vm.ID)
		l.Heal()
	}
}

func vmFault(run *Run, r *rand.Rand, harm, heal func(*emul.Worker)) func() {
	vms := run.world.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	run.log("%s of %s", vm.ID, vm.Pool)
	vm.SetFaults(harm)
	return func() { vm.SetFaults(heal) }
}

func lateVM(run *Run, r *rand.Rand) func() {
	late := 2*time.Second + someTime(r, 3*time.Second)
	return vmFault(run, r, func(w *emul.Worker) {
		run.markLate(w.ID)
		w.OrderDelay = late
	}, func(w *emul.Worker) {
		run.markLate(w.ID)
		w.OrderDelay = 0
	})
}

func crashVM(run *Run, r *rand.Rand) func() {
	vms := run.world.VMs()
	if len(vms) == 0 {
		return nil
	}
	vm := vms[r.IntN(len(vms))]
	run.log("%s of %s crashes", vm.ID, vm.Pool)
	run.world.Crash(vm)
	return func() {
		if err := run.world.Repair(); err != nil {
			run.breach("%v", err)
		}
	}
}
