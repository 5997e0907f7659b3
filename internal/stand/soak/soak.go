package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

const (
	requestDeadline = 3 * time.Second // of a request from a caller
	shutdownGrace   = 6 * time.Second // from SIGTERM to SIGKILL
	maxLeaseMS      = 10_000          // longest lease on a VM
	moveTime        = 500 * time.Millisecond
	checkInterval   = 300 * time.Millisecond
	settleTimeout   = 60 * time.Second // for each wait of settle, after all faults have ended
	maxOrderDelay   = 12 * time.Second // from the begin or end of a VM fault to the latest execution of an order that it delayed
)

// Config configures a run of the soak.
type Config struct {
	Seed     uint64
	Duration time.Duration // how long callers send requests and faults are injected
	Entries  int
	Callers  int
	Program  string // path of the program
	Dir      string // for settings and logs
	NoFaults bool   // no faults are injected
}

// Run is one run of the soak, with one seed. mu guards the fields below it.
type Run struct {
	cfg      Config
	out      io.Writer // event log
	began    time.Time
	platform *emul.Platform
	entries  []*Entry
	registry *JobRegistry
	queues   []emul.Queue // that callers submit to

	mu           sync.Mutex
	violations   []string
	links        map[string]*Link       // by VM
	delayMarks   map[string][]time.Time // by VM: when faults that delay orders to it began and ended
	readyEntries []*Entry
	version      int64 // of the platform's configuration
	waveCount    int   // maintenance waves requested
	faultCount   int   // faults injected
}

var pools = []string{"alpha", "beta"}

// Result is the result of a run.
type Result struct {
	Violations []string // descriptions of violated promises
	Summary    string   // one line
}

// Play runs the soak with one seed and writes its events to out.
func Play(cfg Config, out io.Writer) (*Result, error) {
	run := &Run{
		cfg: cfg, out: out, began: time.Now(), registry: &JobRegistry{jobs: map[string]*Job{}}, links: map[string]*Link{}, delayMarks: map[string][]time.Time{},
		queues: []emul.Queue{{Name: "qa", Pool: "alpha"}, {Name: "qb", Pool: "beta"}},
	}
	defer run.close()
	if err := run.start(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go run.trackReadyEntries(ctx)
	if !run.await(run.allReady) {
		return nil, fmt.Errorf("seed %d: entries are not ready within %s; logs in %s", cfg.Seed, settleTimeout, cfg.Dir)
	}
	var checks sync.WaitGroup
	checks.Add(1)
	go func() {
		defer checks.Done()
		for ctx.Err() == nil {
			run.checkRuns()
			sleep(ctx, checkInterval)
		}
	}()
	callers := run.applyLoad()
	run.settle(callers)
	stop()
	checks.Wait()
	run.checkRuns()
	for _, e := range run.entries {
		for _, c := range e.Crashes {
			run.reportViolation("%s", c)
		}
	}
	result := &Result{Violations: run.violations, Summary: run.summary()}
	run.log("%s", result.Summary)
	return result, nil
}

func (run *Run) start() error {
	var err error
	run.platform, err = emul.Start(emul.Options{
		Pools: map[string]int{"alpha": 4, "beta": 4, "rest": 3}, MoveTime: moveTime, Lookup: run.registry.Lookup, Address: run.addVMLink, Drift: 0.02,
	})
	if err != nil {
		return err
	}
	run.configure()
	for i := range run.cfg.Entries {
		e, err := newEntry(fmt.Sprintf("entry-%d", i+1), run.cfg.Program, run.cfg.Dir, run.platform.LogAddr, run.platform.FleetAddr)
		if err != nil {
			return err
		}
		run.entries = append(run.entries, e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (run *Run) close() {
	for _, e := range run.entries {
		e.close()
	}
	if run.platform != nil {
		run.platform.Close()
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, l := range run.links {
		l.Close()
	}
}

// applyLoad runs the callers and injects faults for cfg.Length, and returns the callers.
func (run *Run) applyLoad() []*caller {
	ctx, stop := context.WithTimeout(context.Background(), run.cfg.Duration)
	defer stop()
	var callers []*caller
	var active sync.WaitGroup
	for i := range run.cfg.Callers {
		c := newCaller(run, run.cfg.Seed, uint64(i+1))
		callers = append(callers, c)
		active.Add(1)
		go func() {
			defer active.Done()
			c.sendRequests(ctx)
		}()
	}
	if !run.cfg.NoFaults {
		run.injectFaults(ctx)
	}
	active.Wait()
	return callers
}

// injectFaults injects faults, several at a time, until ctx is done, and returns when all have
// ended.
func (run *Run) injectFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(run.cfg.Seed, 0))
	var active sync.WaitGroup
	defer active.Wait()
	for ctx.Err() == nil {
		f, duration := pickFault(r), randomDuration(r, 5*time.Second)
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		run.log("fault: %s, for %s", f.name, duration.Round(time.Millisecond))
		run.faultCount++
		active.Add(1)
		go func() {
			defer active.Done()
			if end := f.inject(run, faultRand); end != nil {
				sleep(ctx, duration)
				end()
			}
		}()
		sleep(ctx, randomDuration(r, time.Second))
	}
}

// trackReadyEntries updates the list of ready entries, to which new connections go, as the
// platform's balancer does.
func (run *Run) trackReadyEntries(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*Entry
		for _, e := range run.entries {
			if e.Ready() {
				ready = append(ready, e)
			}
		}
		run.mu.Lock()
		run.readyEntries = ready
		run.mu.Unlock()
		sleep(ctx, checkInterval)
	}
}

// pickEntry returns a random entry for a new connection, a ready one if there is any.
func (run *Run) pickEntry(r *rand.Rand) *Entry {
	run.mu.Lock()
	defer run.mu.Unlock()
	if len(run.readyEntries) == 0 {
		return run.entries[r.IntN(len(run.entries))]
	}
	return run.readyEntries[r.IntN(len(run.readyEntries))]
}

func (run *Run) nameOf(e *Entry) string {
	if e == nil {
		return "an entry"
	}
	return e.Name
}

// configure writes the next version of the configuration, with the queues of the callers and
// an unused one whose name differs in each version.
func (run *Run) configure() {
	run.mu.Lock()
	run.version += 2
	version := run.version
	run.mu.Unlock()
	queues := append([]emul.Queue{{Name: fmt.Sprintf("extra-%d", version), Pool: "alpha"}}, run.queues...)
	if err := run.platform.ConfigureQueues(version, queues, pools); err != nil {
		run.reportViolation("%v", err)
	}
}

// requestWave requests a maintenance wave for about a third of the machines.
func (run *Run) requestWave(r *rand.Rand) {
	run.mu.Lock()
	run.waveCount++
	number := run.waveCount
	run.mu.Unlock()
	var machines []string
	for _, vm := range run.platform.VMs() {
		if r.IntN(3) == 0 {
			machines = append(machines, vm.Machine)
		}
	}
	const withinS, atOnce = 20, 2
	if err := run.platform.RequestWave(number, withinS, atOnce, machines...); err != nil {
		run.reportViolation("%v", err)
	}
}

// addVMLink opens a link to a VM and returns the address of the link.
func (run *Run) addVMLink(vm, listenAddress string) (string, error) {
	l, err := NewLink(listenAddress)
	if err != nil {
		return "", err
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.links[vm] = l
	return l.Address, nil
}

func (run *Run) vmLink(vm string) *Link {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.links[vm]
}

// markDelayed records that the VM may execute orders late that are under way to it now.
func (run *Run) markDelayed(vm string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.delayMarks[vm] = append(run.delayMarks[vm], time.Now())
}

// mayBeDelayed reports whether an event on a VM at the given time may be the effect of an
// order that a fault delayed.
func (run *Run) mayBeDelayed(vm string, at time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return slices.ContainsFunc(run.delayMarks[vm], func(mark time.Time) bool {
		return !at.Before(mark) && at.Sub(mark) < maxOrderDelay
	})
}

func (run *Run) log(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	fmt.Fprintf(run.out, "%7.3f %s\n", time.Since(run.began).Seconds(), fmt.Sprintf(format, args...))
}

func (run *Run) summary() string {
	accepted, refused := 0, 0
	for _, j := range run.registry.All() {
		if !j.acceptedAt.IsZero() {
			accepted++
		}
		if !j.refusedAt.IsZero() {
			refused++
		}
	}
	return fmt.Sprintf("seed %d: %d faults, %d jobs accepted, %d refused, %d runs, %d orders for machines, %d violations",
		run.cfg.Seed, run.faultCount, accepted, refused, len(run.platform.Ledger.Runs()), len(run.platform.AcceptedOrders()), len(run.violations))
}

// RunSeeds runs the soak with consecutive seeds, one after the other, each in a folder of its
// own below cfg.Dir. It returns the number of seeds with violations and removes the folders of
// the others.
func RunSeeds(cfg Config, seeds int, out io.Writer) (int, error) {
	failed := 0
	first, dir := cfg.Seed, cfg.Dir
	for i := range seeds {
		cfg.Seed = first + uint64(i)
		cfg.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", cfg.Seed))
		if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
			return failed, err
		}
		events, err := os.Create(filepath.Join(cfg.Dir, "events.log"))
		if err != nil {
			return failed, err
		}
		result, err := Play(cfg, events)
		events.Close()
		if err != nil {
			return failed, err
		}
		fmt.Fprintln(out, result.Summary)
		for _, v := range result.Violations {
			fmt.Fprintln(out, "  "+v)
		}
		if len(result.Violations) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(cfg.Dir); err != nil {
			return failed, err
		}
	}
	return failed, nil
}
