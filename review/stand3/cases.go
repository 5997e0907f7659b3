//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	cancelLimit = 3000 * time.Millisecond // cancel_ms of the pages
	service     = "buscador"
)

// addMachines starts machines with workers of 64 cores of a kind, two in a rack.
func (l *lab) addMachines(n int, kind string, gated bool) ([]*worker, error) {
	var list []*worker
	for i := range n {
		w, err := l.addMachine(fmt.Sprintf("m-%d", i+1), service, kind, fmt.Sprintf("r1-%d", i/2+1), 64_000, 262_144, gated)
		if err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, nil
}

// begin starts entries and waits until a first job has run on a worker.
func (l *lab) begin(entries int, first *step) error {
	if err := l.configure(service); err != nil {
		return err
	}
	if err := l.startEntries(entries); err != nil {
		return err
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	for i := range 20 {
		id := fmt.Sprintf("%016x", 0xa0+i)
		if l.submit(l.entries[0], id, first) != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		return await("the first job has ended", 10*time.Second, func() bool { return l.completed(id) })
	}
	return fmt.Errorf("no job was accepted")
}

func (l *lab) completed(id string) bool {
	return strings.Contains(l.show(l.entries[0], service+"/"+id), "completed")
}

// playCancel cancels a job while its worker leaves calls unanswered, and checks that none of its work units starts later
// than cancel_ms after the cancelling was acknowledged.
func playCancel(l *lab) error {
	const (
		job      = "00000000000000c1"
		overtime = 350 * time.Millisecond // beyond cancel_ms, for which the worker leaves calls unanswered
	)
	workers, err := l.addMachines(12, "a", false)
	if err != nil {
		return err
	}
	w := workers[0] // an empty pool fills its workers one after the other
	if err := l.begin(3, &step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 300}); err != nil {
		return err
	}
	var mu sync.Mutex
	var acknowledged time.Time
	l.onStart = func(w *worker, r *unitRun) {
		mu.Lock()
		defer mu.Unlock()
		if late := time.Since(acknowledged); strings.HasPrefix(r.task, job) && !acknowledged.IsZero() && late > cancelLimit {
			go l.fail("%s run %d started on %s %d ms after the cancelling of its job was acknowledged", r.task, r.number, w.id, late.Milliseconds())
		}
	}
	time.Sleep(time.Second)
	if l.trouble {
		w.setMute(true)
	}
	if got := l.submit(l.entries[1], job, &step{Count: 48, CPU: 1000, MemMB: 500, EstimateMS: 20_000}); got != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %d", got)
	}
	time.Sleep(150 * time.Millisecond)
	if got := l.cancel(l.entries[2], job); got != http.StatusOK {
		return fmt.Errorf("the cancelling was not acknowledged: %d", got)
	}
	mu.Lock()
	acknowledged = time.Now()
	mu.Unlock()
	time.Sleep(cancelLimit + overtime)
	if l.trouble {
		w.setMute(false)
	}
	time.Sleep(8 * time.Second)
	return nil
}

// playKind restarts an idle worker under its ID as one of another kind, and checks that no work unit starts on a worker
// without the label that it requires.
func playKind(l *lab) error {
	const (
		wanted, other = "a", "b"
		restarts      = 8
		downFor       = 600 * time.Millisecond
		settleTime    = 3 * time.Second
	)
	if _, err := l.addMachines(7, other, false); err != nil {
		return err
	}
	w, err := l.addMachine("m-8", service, wanted, "r1-4", 64_000, 262_144, false)
	if err != nil {
		return err
	}
	l.onStart = func(w *worker, r *unitRun) { // w.mu is held
		if r.unit.requires != "" && r.unit.requires != w.kind {
			go l.fail("%s run %d requires label %q and started on %s, which has the labels %s and %s", r.task, r.number, r.unit.requires, w.id, w.kind, w.rack)
		}
	}
	first := &step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 300, Requires: wanted}
	if err := l.begin(3, first); err != nil {
		return err
	}
	restart := func(kind string) error {
		if !l.trouble {
			time.Sleep(downFor)
			return nil
		}
		w.end("crash")
		time.Sleep(downFor)
		w.mu.Lock()
		w.kind = kind
		w.mu.Unlock()
		return w.boot()
	}
	for i := range restarts {
		time.Sleep(settleTime)
		time.AfterFunc(downFor/2, func() { l.submit(l.entries[i%len(l.entries)], fmt.Sprintf("%016x", 0xb0+i), first) })
		if err := restart(other); err != nil {
			return err
		}
		time.Sleep(settleTime)
		if err := restart(wanted); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// playCloud lets the list of machines be unavailable for some seconds while the first order of a wave is on its way, and
// checks that no upkeep ends a work unit that lasts while mayMiss others of its step are away.
func playCloud(l *lab) error {
	const (
		outage         = 5 * time.Second
		standing, late = "00000000000000d1", "00000000000000d2"
	)
	var workers []*worker
	for i := range 2 {
		w, err := l.addMachine(fmt.Sprintf("m-%d", i+1), service, "a", fmt.Sprintf("r1-%d", i+1), 16_000, 65_536, false)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	if err := l.begin(3, &step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 300}); err != nil {
		return err
	}
	l.cloud.onEnd = func(name string, runs []*unitRun) {
		now, away := time.Now(), map[string]int{}
		for _, r := range runs {
			if !r.unit.lasts || r.unit.mayMiss == 0 || (r.percent(now) < 100 && !r.stopping) {
				continue
			}
			of := r.task[:strings.LastIndex(r.task, ".")]
			if away[of] >= r.unit.mayMiss && !r.stopping {
				go l.fail("the upkeep of %s has ended %s run %d, at work, while %d others of its step were away by orders; mayMiss is %d", name, r.task, r.number, away[of], r.unit.mayMiss)
			}
			away[of]++
		}
	}
	if got := l.submit(l.entries[0], standing, &step{Count: 1, CPU: 14_000, MemMB: 1000, Lasts: true}); got != http.StatusOK {
		return fmt.Errorf("the standing job was not accepted: %d", got)
	}
	var empty *worker
	if err := await("the standing job runs", 10*time.Second, func() bool {
		for i, w := range workers {
			if len(w.runs()) == 1 {
				empty = workers[1-i]
			}
		}
		return empty != nil
	}); err != nil {
		return err
	}
	const recent = "00000000000000d3" // runs on the other worker until just before the wave
	if got := l.submit(l.entries[0], recent, &step{Count: 1, CPU: 4000, MemMB: 1000, EstimateMS: 500}); got != http.StatusOK {
		return fmt.Errorf("the short job was not accepted: %d", got)
	}
	if err := await("the short job has ended", 10*time.Second, func() bool { return l.completed(recent) }); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	began := make(chan struct{})
	var once sync.Once
	l.cloud.mu.Lock()
	l.cloud.onOrder = func(_ string, wave int64) (lost bool) { // l.cloud.mu is held
		if wave > 0 {
			once.Do(func() {
				lost = l.trouble
				l.cloud.silent = l.trouble
				l.record("first order of the wave; the cloud is unavailable from now on: %v", l.trouble)
				close(began)
			})
		}
		return lost
	}
	l.cloud.mu.Unlock()
	l.store.Put("keyed.op", "wave/1", []byte(fmt.Sprintf(`{"wave":1,"machines":[%q],"withinS":25,"maxCount":1}`, empty.machine)))
	select {
	case <-began:
	case <-time.After(20 * time.Second):
		return fmt.Errorf("the wave was not begun")
	}
	outageEnds := time.After(outage)
	time.Sleep(200 * time.Millisecond)
	if got := l.submit(l.entries[1], late, &step{Count: 3, CPU: 4000, MemMB: 1000, Lasts: true, MayMiss: 1}); got != http.StatusOK {
		return fmt.Errorf("the second job was not accepted: %d", got)
	}
	<-outageEnds
	if l.trouble {
		l.cloud.setSilent(false)
	}
	time.Sleep(12 * time.Second)
	return nil
}

// playLate delays the order to start a work unit, restarts its worker under its ID meanwhile, and checks that no two runs of
// the work unit go on at the same time.
func playLate(l *lab) error {
	const (
		job     = "00000000000000e1"
		delayed = job + ".0.0.0" // the unit whose order is delayed, one of several
		units   = 8
		delay   = 8 * time.Second // of the order
		crashAt = 1500 * time.Millisecond
		downFor = 600 * time.Millisecond
	)
	workers, err := l.addMachines(8, "a", false)
	if err != nil {
		return err
	}
	if err := l.begin(3, &step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 300}); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	var victim *worker
	var until time.Time
	late := func(w *worker, b *callBody) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if !l.trouble || b.Task != delayed {
			return 0
		}
		if victim == nil {
			victim, until = w, time.Now().Add(time.Second)
		}
		if w != victim || b.Run != 1 || time.Now().After(until) {
			return 0
		}
		return delay
	}
	for _, w := range workers {
		w.mu.Lock()
		w.late = func(b *callBody) time.Duration { return late(w, b) }
		w.mu.Unlock()
	}
	l.onStart = l.checkTwice(workers)
	if got := l.submit(l.entries[1], job, &step{Count: units, CPU: 1000, MemMB: 100, EstimateMS: 20_000}); got != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %d", got)
	}
	if l.trouble {
		if err := await("a start is on its way", 5*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return victim != nil }); err != nil {
			return err
		}
		time.Sleep(crashAt)
		victim.end("crash")
		time.Sleep(downFor)
		if err := victim.boot(); err != nil {
			return err
		}
	}
	time.Sleep(delay + 4*time.Second)
	return nil
}

// playReborn lets one of several workers crash, silently, as a job is handed in, brings it back under its ID after some
// seconds, and checks that no two runs of a work unit go on at the same time.
func playReborn(l *lab) error {
	const (
		job     = "00000000000000f1"
		units   = 60
		darkFor = 5 * time.Second
	)
	workers, err := l.addMachines(8, "a", true)
	if err != nil {
		return err
	}
	if err := l.begin(3, &step{Count: 2, CPU: 1000, MemMB: 100, EstimateMS: 300}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	l.onStart = l.checkTwice(workers)
	w := workers[0] // an empty pool fills its workers one after the other
	if l.trouble {
		w.gate.set(true)
		w.end("crash, dark")
	}
	back := time.After(darkFor)
	if got := l.submit(l.entries[1], job, &step{Count: units, CPU: 1000, MemMB: 500, EstimateMS: 20_000}); got != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %d", got)
	}
	<-back
	if l.trouble {
		if err := w.boot(); err != nil {
			return err
		}
		w.gate.set(false)
	}
	time.Sleep(8 * time.Second)
	return nil
}

// checkTwice returns a function that checks, when a run starts, that no other run of its work unit goes on.
func (l *lab) checkTwice(workers []*worker) func(w *worker, r *unitRun) {
	return func(w *worker, r *unitRun) { // w.mu is held
		x := *r
		go func() {
			for _, other := range workers {
				for _, y := range other.runs() {
					if other != w && y.task == x.task {
						l.fail("%s run %d started on %s while run %d goes on on %s", x.task, x.number, w.id, y.number, other.id)
					}
				}
			}
		}()
	}
}
