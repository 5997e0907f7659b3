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
	deadline      = 3 * time.Second // of a caller's request
	shutdownGrace = 6 * time.Second // from SIGTERM to SIGKILL
	holdMS        = 10_000          // longest lease
	moveTime      = 500 * time.Millisecond
	checkEvery    = 300 * time.Millisecond
	settleLimit   = 60 * time.Second // for all jobs to end once nothing is harmed any more
	lateFor       = 12 * time.Second // an order on its way to a harmed VM may arrive so late
)

// Config says what to play.
type Config struct {
	Seed    uint64
	Length  time.Duration // of the time with faults
	Entries int
	Callers int
	Program string // path of the program
	Dir     string // for settings and logs
	Calm    bool   // without faults
}

// Run is one run of the soak.
type Run struct {
	cfg     Config
	out     io.Writer
	began   time.Time
	world   *emul.Platform
	entries []*Entry
	book    *Book
	queues  []emul.Queue

	mu       sync.Mutex
	breaches []string
	links    map[string]*Link       // of VMs
	late     map[string][]time.Time // begins and ends of faults by which orders to a VM may come late
	ready    []*Entry
	version  int64
	waves    int
	played   int
}

var pools = []string{"alpha", "beta"}

// Result is what a run has come to.
type Result struct {
	Broken  []string // promises
	Summary string   // one line
}

// Play plays one seed; what happens goes to out.
func Play(cfg Config, out io.Writer) (*Result, error) {
	run := &Run{
		cfg: cfg, out: out, began: time.Now(), book: &Book{jobs: map[string]*Job{}}, links: map[string]*Link{}, late: map[string][]time.Time{},
		queues: []emul.Queue{{Name: "qa", Pool: "alpha"}, {Name: "qb", Pool: "beta"}},
	}
	defer run.close()
	if err := run.start(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go run.balance(ctx)
	if !run.await(run.allReady) {
		return nil, fmt.Errorf("seed %d: entries are not ready within %s; logs in %s", cfg.Seed, settleLimit, cfg.Dir)
	}
	var checks sync.WaitGroup
	checks.Add(1)
	go func() {
		defer checks.Done()
		for ctx.Err() == nil {
			run.checkRuns()
			pause(ctx, checkEvery)
		}
	}()
	callers := run.load()
	run.settle(callers)
	stop()
	checks.Wait()
	run.checkRuns()
	for _, e := range run.entries {
		for _, c := range e.Crashes {
			run.breach("%s", c)
		}
	}
	result := &Result{Broken: run.breaches, Summary: run.summary()}
	run.log("%s", result.Summary)
	return result, nil
}

func (run *Run) start() error {
	var err error
	run.world, err = emul.Start(emul.Options{
		Pools: map[string]int{"alpha": 4, "beta": 4, "rest": 3}, MoveTime: moveTime, Lookup: run.book.Lookup, Address: run.linkVM, Drift: 0.02,
	})
	if err != nil {
		return err
	}
	run.configure()
	for i := range run.cfg.Entries {
		e, err := newEntry(fmt.Sprintf("entry-%d", i+1), run.cfg.Program, run.cfg.Dir, run.world.LogAddr, run.world.FleetAddr)
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
	if run.world != nil {
		run.world.Close()
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, l := range run.links {
		l.Close()
	}
}

// load has callers work while faults come, and returns the callers.
func (run *Run) load() []*caller {
	ctx, stop := context.WithTimeout(context.Background(), run.cfg.Length)
	defer stop()
	var callers []*caller
	var work sync.WaitGroup
	for i := range run.cfg.Callers {
		c := newCaller(run, run.cfg.Seed, uint64(i+1))
		callers = append(callers, c)
		work.Add(1)
		go func() {
			defer work.Done()
			c.work(ctx)
		}()
	}
	if !run.cfg.Calm {
		run.harm(ctx)
	}
	work.Wait()
	return callers
}

// harm plays faults, several at a time, until the context ends, and ends them all.
func (run *Run) harm(ctx context.Context) {
	r := rand.New(rand.NewPCG(run.cfg.Seed, 0))
	var open sync.WaitGroup
	defer open.Wait()
	for ctx.Err() == nil {
		f, long := draw(r), someTime(r, 5*time.Second)
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		run.log("fault: %s, for %s", f.name, long.Round(time.Millisecond))
		run.played++
		open.Add(1)
		go func() {
			defer open.Done()
			if end := f.begin(run, own); end != nil {
				pause(ctx, long)
				end()
			}
		}()
		pause(ctx, someTime(r, time.Second))
	}
}

// balance keeps the list of entries that take new connections, as the platform's
// balancer does.
func (run *Run) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*Entry
		for _, e := range run.entries {
			if e.Ready() {
				ready = append(ready, e)
			}
		}
		run.mu.Lock()
		run.ready = ready
		run.mu.Unlock()
		pause(ctx, checkEvery)
	}
}

// pick returns an entry for a new connection, a ready one where there is one.
func (run *Run) pick(r *rand.Rand) *Entry {
	run.mu.Lock()
	defer run.mu.Unlock()
	if len(run.ready) == 0 {
		return run.entries[r.IntN(len(run.entries))]
	}
	return run.ready[r.IntN(len(run.ready))]
}

func (run *Run) nameOf(e *Entry) string {
	if e == nil {
		return "an entry"
	}
	return e.Name
}

// configure writes the next configuration; each adds an unused queue.
func (run *Run) configure() {
	run.mu.Lock()
	run.version += 2
	version := run.version
	run.mu.Unlock()
	queues := append([]emul.Queue{{Name: fmt.Sprintf("extra-%d", version), Pool: "alpha"}}, run.queues...)
	if err := run.world.ConfigureQueues(version, queues, pools); err != nil {
		run.breach("%v", err)
	}
}

// wave asks for the maintenance of some machines.
func (run *Run) wave(r *rand.Rand) {
	run.mu.Lock()
	run.waves++
	number := run.waves
	run.mu.Unlock()
	var machines []string
	for _, vm := range run.world.VMs() {
		if r.IntN(3) == 0 {
			machines = append(machines, vm.Machine)
		}
	}
	const withinS, atOnce = 20, 2
	if err := run.world.RequestWave(number, withinS, atOnce, machines...); err != nil {
		run.breach("%v", err)
	}
}

// linkVM puts a link before a VM.
func (run *Run) linkVM(vm, listens string) (string, error) {
	l, err := NewLink(listens)
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

// markLate notes that orders on their way to a VM may be carried out late.
func (run *Run) markLate(vm string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.late[vm] = append(run.late[vm], time.Now())
}

// lateOn reports whether what happened on a VM at a time may be of an order that was late.
func (run *Run) lateOn(vm string, at time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return slices.ContainsFunc(run.late[vm], func(mark time.Time) bool {
		return !at.Before(mark) && at.Sub(mark) < lateFor
	})
}

func (run *Run) log(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	fmt.Fprintf(run.out, "%7.3f %s\n", time.Since(run.began).Seconds(), fmt.Sprintf(format, args...))
}

func (run *Run) summary() string {
	accepted, refused := 0, 0
	for _, j := range run.book.All() {
		if !j.accepted.IsZero() {
			accepted++
		}
		if !j.refused.IsZero() {
			refused++
		}
	}
	return fmt.Sprintf("seed %d: %d faults, %d jobs accepted, %d refused, %d runs, %d orders for machines, %d promises broken",
		run.cfg.Seed, run.played, accepted, refused, len(run.world.Ledger.Runs()), len(run.world.AcceptedOrders()), len(run.breaches))
}

// PlaySeeds plays seeds one after the other, each in a folder of its own below dir. The
// folder of a seed that broke nothing is removed.
func PlaySeeds(cfg Config, seeds int, out io.Writer) (int, error) {
	broken := 0
	first, dir := cfg.Seed, cfg.Dir
	for i := range seeds {
		cfg.Seed = first + uint64(i)
		cfg.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", cfg.Seed))
		if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
			return broken, err
		}
		events, err := os.Create(filepath.Join(cfg.Dir, "events.log"))
		if err != nil {
			return broken, err
		}
		result, err := Play(cfg, events)
		events.Close()
		if err != nil {
			return broken, err
		}
		fmt.Fprintln(out, result.Summary)
		for _, b := range result.Broken {
			fmt.Fprintln(out, "  "+b)
		}
		if len(result.Broken) > 0 {
			broken++
			continue
		}
		if err := os.RemoveAll(cfg.Dir); err != nil {
			return broken, err
		}
	}
	return broken, nil
}
