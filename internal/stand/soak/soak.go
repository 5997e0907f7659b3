package soak

import (
	"bufio"
	"cmp"
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
	requestDeadline = 3 * time.Second        // sent with each request of a caller
	shutdownGrace   = 6 * time.Second        // from SIGTERM to SIGKILL
	moveTime        = 500 * time.Millisecond // how long a machine is out of service during a move
	repairTime      = 2 * time.Second        // until a VM that a task has crashed is back
	checkInterval   = 300 * time.Millisecond // between checks of the runs, and between readiness checks of the entries
	settleTimeout   = 60 * time.Second       // for each wait of settle, after all faults have ended

	// maxOrderDelay is the longest time from the start or end of a VM fault until an order that
	// the fault delayed takes effect. A fault lasts less than 5.2 s and delays orders by less
	// than 5.2 s, which makes 10.4 s; the rest is a margin.
	maxOrderDelay = 12 * time.Second
)

// Config configures a run of the soak.
type Config struct {
	Seed     uint64
	Duration time.Duration // how long callers send requests and faults are injected
	Entries  int
	Callers  int
	Program  string // path of the program
	Dir      string // for settings and logs
	NoFaults bool
	Keep     bool // the directories of seeds without violations, too
	Load     Load
	With     string // path of another program, of which each start of an entry picks one of the two; empty for none
}

// Harness runs the entries, callers and emulated platform of one seed, and records violated
// invariants. mu guards the fields below it.
type Harness struct {
	cfg      Config
	out      io.Writer // event log
	began    time.Time
	platform *emul.Platform
	entries  []*Entry
	registry *JobRegistry
	pools    []string     // of the configuration, apart from the spare pool rest
	contact  contact      // when entries were disturbed
	faults   contact      // when other faults were in effect
	queues   []emul.Queue // that callers submit to; publishing guards their pools

	publishing sync.Mutex // held while a version of the configuration is made and published

	mu              sync.Mutex
	violations      []string
	reported        map[string]bool        // texts of violations
	links           map[string]*Link       // by VM
	orderFaultTimes map[string][]time.Time // by VM: when faults that delay orders to it started and ended
	readyEntries    []*Entry
	version         int64                 // of the newest configuration
	vmPaths         map[vmPathKey]*vmPath // if links are cut by the calling entry
	cuts            []*cut                // that have begun and not ended
	keys            []rotatedKey          // of rotatedAccount, in the order of their versions
	waveCount       int                   // maintenance waves requested
	extraCallers    []*caller             // of jobs that belong to a fault
	movedAt         map[string]time.Time  // when a queue was last moved, by queue
	faultCount      int                   // faults injected; only injectFaults writes it, without mu

	absences   map[string]*absence // by task; only the goroutine that checks uses it
	absencesAt time.Time           // when absences were last checked
}

// Result is the result of one seed.
type Result struct {
	Violations []string // descriptions of violated invariants
	Summary    string   // one line
}

// RunSeed runs the soak with one seed and writes the event log to out.
func RunSeed(cfg Config, out io.Writer) (*Result, error) {
	if err := cfg.Load.fill(); err != nil {
		return nil, err
	}
	harness := &Harness{
		cfg: cfg, out: out, began: time.Now(), registry: &JobRegistry{jobs: map[string]*Job{}}, links: map[string]*Link{}, vmPaths: map[vmPathKey]*vmPath{}, orderFaultTimes: map[string][]time.Time{}, movedAt: map[string]time.Time{}, reported: map[string]bool{}, absences: map[string]*absence{},
		pools: cfg.Load.poolNames(), queues: cfg.Load.queues(),
	}
	defer harness.close()
	if err := harness.start(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go harness.trackReadyEntries(ctx)
	if !harness.await(harness.allEntriesReady) {
		return nil, fmt.Errorf("seed %d: entries were not ready within %s; their logs are in %s", cfg.Seed, settleTimeout, cfg.Dir)
	}
	var checks sync.WaitGroup
	checks.Add(1)
	go func() {
		defer checks.Done()
		for ctx.Err() == nil {
			harness.checkRuns()
			harness.checkAbsences(time.Now())
			sleep(ctx, checkInterval)
		}
	}()
	callers := harness.applyLoad()
	harness.settle(callers)
	stop()
	checks.Wait()
	harness.checkRuns()
	for _, e := range harness.entries {
		for _, c := range e.Crashes {
			harness.reportViolation("EXIT %s", c)
		}
	}
	if err := harness.writeRuns(); err != nil {
		return nil, err
	}
	result := &Result{Violations: harness.violations, Summary: harness.summary()}
	harness.log("%s", result.Summary)
	return result, nil
}

func (harness *Harness) start() error {
	opts := emul.Options{
		Pools: harness.cfg.Load.machines(), Partitions: harness.cfg.Load.Partitions, RackSize: harness.cfg.Load.RackSize, RecordLag: harness.cfg.recordLag(), DataCentres: harness.cfg.Load.dataCentres(), MoveTime: moveTime, Lookup: harness.registry.Lookup, Address: harness.addVMLink, Drift: 0.02,
		RepairTime: repairTime, Unguarded: map[string]bool{"delta": true},
	}
	if harness.cfg.Load.Cuts > 0 {
		opts.Address, opts.EntryAddress, opts.Sender = nil, harness.vmAddress, entryOfSource
	}
	var err error
	if harness.platform, err = emul.Start(opts); err != nil {
		return err
	}
	harness.configure()
	for i, name := range harness.cfg.entryNames() {
		logAddress, err := harness.platform.LogAddress(name)
		if err != nil {
			return err
		}
		e, err := newEntry(name, &harness.cfg, logAddress, harness.platform.FleetAddr, harness.strict())
		if err != nil {
			return err
		}
		e.contact = &harness.contact
		e.pick = rand.New(rand.NewPCG(harness.cfg.Seed, 1<<36+uint64(i)))
		harness.entries = append(harness.entries, e)
		harness.contact.names = append(harness.contact.names, name)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (harness *Harness) close() {
	for _, e := range harness.entries {
		e.close()
	}
	if harness.platform != nil {
		harness.platform.Close()
	}
	harness.mu.Lock()
	defer harness.mu.Unlock()
	for _, l := range harness.links {
		l.Close()
	}
	for _, path := range harness.vmPaths {
		path.link.Close()
	}
}

// applyLoad runs the callers and injects faults for cfg.Duration or, if Load.Outages or Load.Cuts is set, until all
// outages or cuts have ended, and returns the callers.
func (harness *Harness) applyLoad() []*caller {
	ctx, stop := harness.cfg.loadContext()
	defer stop()
	harness.submitWaiting(ctx)
	var callers []*caller
	var active sync.WaitGroup
	for i := range harness.cfg.Callers {
		c := newCaller(harness, harness.cfg.Seed, uint64(i+1))
		callers = append(callers, c)
		active.Add(1)
		go func() {
			defer active.Done()
			c.sendRequests(ctx)
		}()
	}
	active.Go(func() { harness.submitBursts(ctx) })
	active.Go(func() { harness.submitSteadily(ctx) })
	flood := newFlood(harness)
	callers = append(callers, flood)
	probe := newProbe(harness)
	active.Add(2)
	go func() {
		defer active.Done()
		flood.flood(ctx)
	}()
	go func() {
		defer active.Done()
		probe.run(ctx)
	}()
	switch {
	case harness.cfg.NoFaults:
	case harness.cfg.Load.Outages > 0:
		harness.injectOutages(ctx)
		stop()
	case harness.cfg.Load.Cuts > 0:
		if harness.cfg.Load.Pauses {
			active.Go(func() { harness.injectPauses(ctx) })
		}
		harness.injectCuts(ctx)
		stop()
	case harness.cfg.plannedOnly():
		harness.injectPlanned(ctx)
	default:
		active.Go(func() { harness.injectOutage(ctx) })
		active.Go(func() { harness.submitCrashing(ctx) })
		if harness.cfg.Load.Series {
			active.Go(func() { harness.injectSeries(ctx) })
		}
		if harness.cfg.Load.Pauses {
			active.Go(func() { harness.injectPauses(ctx) })
		}
		harness.injectFaults(ctx)
	}
	active.Wait()
	return append(callers, harness.extraCallers...)
}

func (cfg *Config) loadContext() (context.Context, context.CancelFunc) {
	if (cfg.Load.Outages > 0 || cfg.Load.Cuts > 0) && !cfg.NoFaults {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), cfg.Duration)
}

// addCaller adds the caller of jobs that belong to a fault to those whose jobs are checked.
func (harness *Harness) addCaller(c *caller) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	harness.extraCallers = append(harness.extraCallers, c)
}

// injectFaults injects faults, several at a time, until ctx is done, and returns when all have
// ended.
func (harness *Harness) injectFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 0))
	var active sync.WaitGroup
	defer active.Wait()
	for ctx.Err() == nil {
		f, duration := pickFault(r), randomDuration(r, 5*time.Second)
		// Each fault gets its own generator: faults run concurrently, and rand.Rand is not safe
		// for concurrent use.
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		harness.log("fault: %s; cleared after %s unless it ends by itself", f.name, duration.Round(time.Millisecond))
		harness.faultCount++
		active.Add(1)
		go func() {
			defer active.Done()
			ended := harness.faults.begin(time.Now(), allEntries)
			defer func() { ended(time.Now()) }()
			if end := f.inject(harness, faultRand); end != nil {
				sleep(ctx, duration)
				end()
			}
		}()
		sleep(ctx, randomDuration(r, time.Second))
	}
}

// trackReadyEntries polls the readiness of all entries, as the health check of the platform's
// load balancer does. pickEntry assigns new connections to the ready ones.
func (harness *Harness) trackReadyEntries(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*Entry
		for _, e := range harness.entries {
			if e.Ready() {
				ready = append(ready, e)
			}
		}
		harness.mu.Lock()
		harness.readyEntries = ready
		harness.mu.Unlock()
		sleep(ctx, checkInterval)
	}
}

// pickEntry returns a random entry for a new connection, a ready one if there is any.
func (harness *Harness) pickEntry(r *rand.Rand) *Entry {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	if len(harness.readyEntries) == 0 {
		return harness.entries[r.IntN(len(harness.entries))]
	}
	return harness.readyEntries[r.IntN(len(harness.readyEntries))]
}

// entryName returns the name of an entry for messages. The entry is nil if it has closed the
// connection to the caller.
func (harness *Harness) entryName(e *Entry) string {
	if e == nil {
		return "an entry"
	}
	return e.Name
}

// configure writes the next version of the configuration, with the queues of the callers and
// an unused one whose name differs in each version, and replaces a key. Versions increase but need not be
// consecutive.
func (harness *Harness) configure() {
	harness.publishing.Lock() // versions reach the log in their order
	defer harness.publishing.Unlock()
	harness.publish(harness.queues)
}

// publish writes the next version of the configuration with the given queues; harness.publishing is held.
func (harness *Harness) publish(queues []emul.Queue) {
	harness.mu.Lock()
	harness.version += 2
	version := harness.version
	accounts := harness.rotateKey(version)
	harness.mu.Unlock() // the platform locks it too, to open links to new VMs
	queues = append([]emul.Queue{{Name: fmt.Sprintf("extra-%d", version), Pool: "alpha"}}, queues...)
	if err := harness.platform.Publish(&emul.Configuration{Version: version, Queues: queues, Pools: harness.pools, Accounts: accounts}); err != nil {
		harness.reportViolation("%v", err)
	}
}

// requestWave requests a maintenance wave that includes each machine with a probability of one
// third.
func (harness *Harness) requestWave(r *rand.Rand) {
	harness.mu.Lock()
	harness.waveCount++
	number := harness.waveCount
	harness.mu.Unlock()
	var machines []string
	for _, vm := range harness.platform.VMs() {
		if r.IntN(3) == 0 {
			machines = append(machines, vm.Machine)
		}
	}
	const withinS, atOnce = 20, 2
	if err := harness.platform.RequestWave(number, withinS, atOnce, machines...); err != nil {
		harness.reportViolation("%v", err)
	}
}

// addVMLink opens a link to a VM and returns the address of the link.
func (harness *Harness) addVMLink(vm, listenAddress string) (string, error) {
	l, err := NewLink(listenAddress)
	if err != nil {
		return "", err
	}
	harness.mu.Lock()
	defer harness.mu.Unlock()
	harness.links[vm] = l
	return l.Address, nil
}

func (harness *Harness) vmLink(vm string) *Link {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	return harness.links[vm]
}

// recordOrderFault records that a fault that delays orders to a VM starts or ends now.
func (harness *Harness) recordOrderFault(vm string) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	harness.orderFaultTimes[vm] = append(harness.orderFaultTimes[vm], time.Now())
}

// orderMayBeDelayed reports whether a fault may have delayed an order that took effect on a VM at
// the given time.
func (harness *Harness) orderMayBeDelayed(vm string, at time.Time) bool {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	return slices.ContainsFunc(harness.orderFaultTimes[vm], func(faultTime time.Time) bool {
		return !at.Before(faultTime) && at.Sub(faultTime) < maxOrderDelay
	})
}

func (harness *Harness) log(format string, args ...any) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	fmt.Fprintf(harness.out, "%7.3f %s\n", time.Since(harness.began).Seconds(), fmt.Sprintf(format, args...))
}

// writeRuns writes the runs that VMs recorded to a file beside the logs, with the times of the event log.
func (harness *Harness) writeRuns() error {
	f, err := os.Create(filepath.Join(harness.cfg.Dir, "runs.log"))
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	for _, r := range harness.platform.Ledger.Runs() {
		ended := "-"
		if !r.End.IsZero() {
			ended = fmt.Sprintf("%.3f", r.End.Sub(harness.began).Seconds())
		}
		fmt.Fprintf(w, "%.3f %s %s run %d on %s from %s %s acknowledged %t account %s cpu %d\n",
			r.Start.Sub(harness.began).Seconds(), ended, r.Task, r.Run, r.VM, cmp.Or(r.Sender, "-"), cmp.Or(r.How, "running"), r.Acknowledged, cmp.Or(r.Account, "-"), r.Reserved.CPU)
	}
	return w.Flush()
}

func (harness *Harness) summary() string {
	accepted, refused := 0, 0
	for _, j := range harness.registry.All() {
		if !j.acceptedAt.IsZero() {
			accepted++
		}
		if !j.refusedAt.IsZero() {
			refused++
		}
	}
	return fmt.Sprintf("seed %d: %d faults, %d jobs accepted, %d refused, %d task runs, %d orders to move or maintain machines, %d violations",
		harness.cfg.Seed, harness.faultCount, accepted, refused, len(harness.platform.Ledger.Runs()), len(harness.platform.AcceptedOrders()), len(harness.violations))
}

// RunSeeds runs the soak with consecutive seeds, one after the other, each in a directory of its
// own below cfg.Dir. It returns the number of seeds with violations and removes the directories
// of the others unless cfg.Keep is set.
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
		result, err := RunSeed(cfg, events)
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
		}
		if len(result.Violations) > 0 || cfg.Keep {
			continue
		}
		if err := os.RemoveAll(cfg.Dir); err != nil {
			return failed, err
		}
	}
	return failed, nil
}
