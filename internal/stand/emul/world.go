package emul

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Options are how a platform is to be.
type Options struct {
	Pools    map[string]int // machines
	MoveTime time.Duration  // a machine is away for a move or its maintenance
	// Lookup tells what no order says of a task.
	Lookup func(task string) Task
	// Address returns where a VM is to be reached, nil for where it listens.
	Address func(vm, listens string) (string, error)
	Drift   float64 // of the clock of every third VM, which is so much slower
}

// Platform is a platform with machines in pools.
type Platform struct {
	Store          *Store
	Ledger         *Ledger
	LogAddr        string
	FleetAddr      string
	opts           Options
	mu             sync.Mutex
	machines       map[string]*machine
	fences         map[string]int64  // highest fencing token, by machine
	holders        map[string]string // of an order, by machine and fencing token
	waves          map[int64]*waveUnderWay
	lives          int
	acceptedOrders []string // accepted orders for machines
	violations     []string // orders that no mover may give
	servers        []*http.Server
	quit           chan struct{}
}

type machine struct {
	name  string
	pool  string
	state string
	vm    *Worker
}

// waveUnderWay counts the machines that are away for a wave.
type waveUnderWay struct {
	atOnce, away int
}

// NewPlatform starts a platform whose pools have so many machines; each task takes
// workFor.
func NewPlatform(pools map[string]int, workFor time.Duration) (*Platform, error) {
	const moveTime = 200 * time.Millisecond
	return Start(Options{Pools: pools, MoveTime: moveTime, Lookup: func(string) Task { return Task{Duration: workFor} }})
}

// Start starts a platform.
func Start(o Options) (*Platform, error) {
	w := &Platform{
		Store: NewStore(4), Ledger: &Ledger{}, opts: o, waves: map[int64]*waveUnderWay{}, holders: map[string]string{},
		machines: map[string]*machine{}, fences: map[string]int64{}, quit: make(chan struct{}),
	}
	var err error
	if w.LogAddr, err = w.listen(w.Store); err != nil {
		return nil, err
	}
	if w.FleetAddr, err = w.listen(http.HandlerFunc(w.serveFleet)); err != nil {
		return nil, err
	}
	for pool, n := range o.Pools {
		for i := range n {
			m := &machine{name: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, state: "up"}
			w.machines[m.name] = m
			if err := w.boot(m); err != nil {
				return nil, err
			}
		}
	}
	go w.beat()
	return w, nil
}

func (w *Platform) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Close ends everything.
func (w *Platform) Close() {
	close(w.quit)
	for _, s := range w.servers {
		s.Close()
	}
	for _, vm := range w.VMs() {
		vm.Kill("gone")
	}
}

// VMs returns the VMs that are up.
func (w *Platform) VMs() []*Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*Worker
	for _, m := range w.machines {
		if m.vm != nil {
			list = append(list, m.vm)
		}
	}
	return list
}

// boot starts a new life of a machine.
func (w *Platform) boot(m *machine) error {
	w.lives++
	vm, err := NewWorker(fmt.Sprintf("i-%d", w.lives), m.name, m.pool, w.Ledger, w.opts.Lookup)
	if err != nil {
		return err
	}
	if w.opts.Address != nil {
		if vm.address, err = w.opts.Address(vm.ID, vm.address); err != nil {
			return err
		}
	}
	if w.lives%3 == 0 {
		vm.drift = w.opts.Drift
	}
	m.vm, m.state = vm, "up"
	w.Store.Put("keyed.servers", vm.ID, vm.Report("ready"))
	return nil
}

// Crash ends a VM without notice; its entry in the list goes later.
func (w *Platform) Crash(vm *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.vm == vm {
			vm.Kill("gone")
			m.vm, m.state = nil, "down"
			time.AfterFunc(500*time.Millisecond, func() { w.Store.Put("keyed.servers", vm.ID, nil) })
		}
	}
}

// Repair starts a new life on each machine that is down.
func (w *Platform) Repair() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.state == "down" {
			if err := w.boot(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// beat renews the VMs' entries, as they do themselves.
func (w *Platform) beat() {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.quit:
			return
		}
		for _, vm := range w.VMs() {
			w.Store.Put("keyed.servers", vm.ID, vm.Report("ready"))
		}
	}
}

func (w *Platform) serveFleet(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/v1/machines" {
		rows := []map[string]any{}
		for _, m := range w.machines {
			id := ""
			if m.vm != nil {
				id = m.vm.ID
			}
			rows = append(rows, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z", "labels": []string{"a", "r1-1"},
				"capacity": map[string]int{"cpu": vmCPU, "memMb": vmMemMB}, "id": id,
			})
		}
		reply(rw, map[string]any{"machines": rows, "nextToken": nil})
		return
	}
	w.order(rw, r)
}

// order moves or maintains a machine; w.mu is held.
func (w *Platform) order(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&b) != nil || err != nil || w.machines[b.Machine] == nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	m := w.machines[b.Machine]
	switch {
	case fence < w.fences[b.Machine]:
		rw.WriteHeader(http.StatusConflict)
		reply(rw, map[string]string{"reason": "fence"})
		return
	case m.state != "up":
		rw.WriteHeader(http.StatusConflict)
		reply(rw, map[string]string{"reason": "busy"})
		return
	}
	w.judge(b.Machine, b.Wave, fence, r.Header.Get("X-Lease-Holder"))
	w.fences[b.Machine] = fence
	w.acceptedOrders = append(w.acceptedOrders, fmt.Sprintf("%s %s %d", b.Machine, b.Pool, b.Wave))
	m.vm.Kill("ordered away")
	w.Store.Put("keyed.servers", m.vm.ID, nil)
	m.vm, m.state = nil, "moving"
	if b.Pool == "" {
		m.state = "upkeep"
	} else {
		m.pool = b.Pool
	}
	time.AfterFunc(w.opts.MoveTime, func() { w.back(m, b.Wave) })
	reply(rw, struct{}{})
}

// back ends an order for a machine.
func (w *Platform) back(m *machine, wave int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.waves[wave]; x != nil {
		x.away--
	}
	select {
	case <-w.quit:
	default:
		_ = w.boot(m) // without a port the machine stays away, which its test will see
	}
}

// judge notes orders that no mover may give; w.mu is held.
func (w *Platform) judge(machine string, wave, fence int64, holder string) {
	key := fmt.Sprintf("%s %d", machine, fence)
	if first := w.holders[key]; first != "" && first != holder {
		w.violations = append(w.violations, fmt.Sprintf("%s and %s order %s with the fencing token %d", first, holder, machine, fence))
	}
	w.holders[key] = holder
	if x := w.waves[wave]; x != nil {
		if x.away++; x.away > x.atOnce {
			w.violations = append(w.violations, fmt.Sprintf("wave %d: %d machines are away, %d may be", wave, x.away, x.atOnce))
		}
	}
}

// Violations returns orders that no mover may give.
func (w *Platform) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// AcceptedOrders returns the accepted orders.
func (w *Platform) AcceptedOrders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.acceptedOrders...)
}
