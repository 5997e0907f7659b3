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

// Options configure an emulated platform.
type Options struct {
	Pools    map[string]int // number of machines by pool
	MoveTime time.Duration  // time for which a machine is out of service for a move or maintenance
	// Lookup returns the properties of a task that the run-start call does not carry.
	Lookup func(task string) Task
	// Address returns the address to publish for a VM, such as that of a proxy that
	// injects faults. If nil, VMs publish the address that they listen on.
	Address func(vm, listenAddress string) (string, error)
	// EntryAddress returns the address under which the VM list shows a VM to one entry, given the published one. If nil,
	// all entries are shown the published one.
	EntryAddress func(entry, vm, address string) (string, error)
	// Sender names the sender of a call to a VM by its IP address; nil for none.
	Sender     func(ip string) string
	Drift      float64         // fraction by which the clock of every third VM runs slow
	RepairTime time.Duration   // until a VM that a task has crashed is back
	Unguarded  map[string]bool // pools whose VMs start what exceeds their capacity
	Partitions int             // of the job topic; 4 if it is 0
	RackSize   int             // machines of each pool in a rack; 4 if it is 0
	RecordLag  time.Duration   // until the record of a crashed VM leaves the VM list; 500 ms if it is 0
	// DataCentres are the names of the data centres, over which the racks are spread; z if there are none.
	DataCentres []string
}

// Platform is an emulated platform: a log, and an inventory of machines in pools whose VMs
// run tasks.
type Platform struct {
	Store          *Store
	Ledger         *Ledger
	LogAddr        string
	FleetAddr      string
	opts           Options
	mu             sync.Mutex
	machines       map[string]*machine
	fencingTokens  map[string]int64  // highest fencing token, by machine
	leaseHolders   map[string]string // lease holder of an order, by machine and fencing token
	waves          map[int64]*requestedWave
	incarnations   int
	acceptedOrders []string          // "machine pool wave" of each accepted order; the pool of a maintenance order is empty
	violations     []string          // accepted orders that violate a rule for owners, see checkOrder
	quotas         []publishedQuotas // of all configurations so far
	servers        []*http.Server
	closed         chan struct{}
	disturbedAt    time.Time // see DisturbedAt

	cutOffMu    sync.Mutex            // of its own, as it is locked while the store's lock is held
	cutOff      map[string]bool       // entries that the log turns away
	appendHooks map[string]appendHook // by entry; see AtNextAppend
}

// machine is a VM slot, over all incarnations of its VM.
type machine struct {
	name  string
	rack  string
	zone  string // data centre
	pool  string
	state string  // up, down, moving or upkeep (in maintenance)
	vm    *Worker // nil while the machine is down or out of service
	kept  *Worker // whose ID the next incarnation of its VM has; nil for a new one
}

// requestedWave is a maintenance wave that the operator has requested. atOnce is the maximum number
// of machines that may be out of service for it at the same time, outOfService their present number.
type requestedWave struct {
	atOnce, outOfService int
}

// NewPlatform starts a platform with the given number of machines by pool, on which each
// task runs for workFor. It is a short form of Start for tests that need no other options.
func NewPlatform(pools map[string]int, workFor time.Duration) (*Platform, error) {
	const moveTime = 200 * time.Millisecond
	return Start(Options{Pools: pools, MoveTime: moveTime, Lookup: func(string) Task { return Task{Duration: workFor} }})
}

// Start starts a platform with the given options.
func Start(o Options) (*Platform, error) {
	o.setDefaults()
	p := &Platform{
		Store: NewStore(o.Partitions), Ledger: &Ledger{}, opts: o, waves: map[int64]*requestedWave{}, leaseHolders: map[string]string{}, cutOff: map[string]bool{}, appendHooks: map[string]appendHook{},
		machines: map[string]*machine{}, fencingTokens: map[string]int64{}, closed: make(chan struct{}),
	}
	var err error
	if p.LogAddr, err = p.serve(p.Store); err != nil {
		return nil, err
	}
	if p.FleetAddr, err = p.serve(http.HandlerFunc(p.serveFleet)); err != nil {
		return nil, err
	}
	for pool, n := range o.Pools {
		for i := range n {
			rack := i / o.RackSize
			m := &machine{name: fmt.Sprintf("m-%s-%d", pool, i), rack: fmt.Sprintf("r1-%d", rack), zone: o.DataCentres[rack%len(o.DataCentres)], pool: pool, state: "up"}
			p.machines[m.name] = m
			if err := p.boot(m); err != nil {
				return nil, err
			}
		}
	}
	p.putOddRecords()
	go p.renewVMRecords()
	return p, nil
}

func (o *Options) setDefaults() {
	if o.Partitions == 0 {
		o.Partitions = 4
	}
	if o.RackSize == 0 {
		o.RackSize = 4
	}
	if o.RecordLag == 0 {
		o.RecordLag = 500 * time.Millisecond
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"z"}
	}
}

// serve starts a server for h on a free port of loopback and returns its address.
func (p *Platform) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// LogAddress starts a listener of the log for one entry and returns its address. The log answers the
// entry's calls there with 503 while CutOff turns it away.
func (p *Platform) LogAddress(entry string) (string, error) {
	return p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isCutOff(entry) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		before, after := p.takeAppendHook(entry, r)
		if before != nil {
			before()
		}
		p.Store.ServeHTTP(p.vmListFor(entry, r, &cutOffWriter{ResponseWriter: w, platform: p, entry: entry, beforeReply: after}), r)
	}))
}

// CutOff sets the entries that the log turns away and admits all others again.
func (p *Platform) CutOff(entries ...string) {
	p.cutOffMu.Lock()
	defer p.cutOffMu.Unlock()
	p.cutOff = map[string]bool{}
	for _, e := range entries {
		p.cutOff[e] = true
	}
}

func (p *Platform) isCutOff(entry string) bool {
	p.cutOffMu.Lock()
	defer p.cutOffMu.Unlock()
	return p.cutOff[entry]
}

// cutOffWriter aborts a response to an entry that was cut off after its call arrived. Otherwise a
// read that waits for new records would still deliver them.
type cutOffWriter struct {
	http.ResponseWriter
	platform    *Platform
	entry       string
	beforeReply func() // called before the reply is written; may be nil
}

// Write writes data unless the entry has been cut off.
func (w *cutOffWriter) Write(data []byte) (int, error) {
	if f := w.beforeReply; f != nil {
		w.beforeReply = nil
		f()
	}
	if w.platform.isCutOff(w.entry) {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(data)
}

// Close stops the platform's servers and kills all VMs.
func (p *Platform) Close() {
	close(p.closed)
	for _, s := range p.servers {
		s.Close()
	}
	for _, vm := range p.VMs() {
		vm.Kill("gone")
	}
}

// VMs returns the VMs of the machines that are in service.
func (p *Platform) VMs() []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Worker
	for _, m := range p.machines {
		if m.vm != nil {
			list = append(list, m.vm)
		}
	}
	return list
}

// boot starts a VM, the next incarnation of a machine, and publishes it in the VM list; p.mu is
// held unless the platform is starting.
func (p *Platform) boot(m *machine) error {
	p.incarnations++
	id := fmt.Sprintf("i-%d", p.incarnations)
	if m.kept != nil {
		id = m.kept.ID
	}
	vm, err := NewWorker(id, m.name, m.pool, p.Ledger, p.opts.Lookup)
	if err != nil {
		return err
	}
	if p.opts.Address != nil {
		if vm.address, err = p.opts.Address(vm.ID, vm.address); err != nil {
			return err
		}
	}
	if p.incarnations%3 == 0 {
		vm.clockDrift = p.opts.Drift
	}
	vm.Rack, vm.zone = m.rack, m.zone
	vm.onCrash, vm.Unguarded, vm.sender = p.crashByTask, p.opts.Unguarded[m.pool], p.opts.Sender
	m.vm, m.state = vm, "up"
	if m.kept != nil {
		m.kept.SetFaults(func(w *Worker) { w.next = vm })
		m.kept = nil
	}
	p.Store.Put(vmTopic, vm.ID, vm.ListRecord("ready"))
	return nil
}

// Crash ends a VM without notice. Its record stays in the VM list for Options.RecordLag, as the
// platform's list lags behind the actual state.
func (p *Platform) Crash(vm *Worker) { p.crash(vm, false) }

// CrashKeepingID ends a VM as Crash does. The machine's next VM has the same ID.
func (p *Platform) CrashKeepingID(vm *Worker) { p.crash(vm, true) }

func (p *Platform) crash(vm *Worker, keepID bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.vm == vm {
			vm.Kill(crashed)
			p.disturbedAt = time.Now()
			m.vm, m.state = nil, "down"
			if keepID {
				m.kept = vm
			}
			time.AfterFunc(p.opts.RecordLag, func() { p.removeRecord(m, vm.ID) })
		}
	}
}

// removeRecord removes a VM's record from the VM list unless the machine has a new VM of the same ID.
func (p *Platform) removeRecord(m *machine, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.vm == nil || m.vm.ID != id {
		p.Store.Put(vmTopic, id, nil)
	}
}

// Repair boots each machine that is down.
func (p *Platform) Repair() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.state == "down" {
			p.disturbedAt = time.Now()
			if err := p.boot(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// renewVMRecords rewrites the VMs' records in the VM list every 500 ms. On the platform
// each VM does this itself.
func (p *Platform) renewVMRecords() {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.closed:
			return
		}
		for _, vm := range p.VMs() {
			p.Store.Put(vmTopic, vm.ID, vm.ListRecord("ready"))
		}
	}
}

// serveFleet serves the inventory of machines: the list of machines and, on all other paths,
// orders to move or maintain a machine.
func (p *Platform) serveFleet(rw http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.URL.Path == "/v1/machines" {
		rows := []map[string]any{}
		for _, m := range p.machines {
			id := ""
			if m.vm != nil {
				id = m.vm.ID
			}
			rows = append(rows, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": VMCPU, "memMb": vmMemMB}, "id": id,
			})
		}
		reply(rw, map[string]any{"machines": rows, "nextToken": nil})
		return
	}
	p.orderMachine(rw, r)
}

// orderMachine handles an order to move a machine to a pool or, without a pool, to
// maintain it; p.mu is held.
func (p *Platform) orderMachine(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&b) != nil || err != nil || p.machines[b.Machine] == nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	m := p.machines[b.Machine]
	switch {
	case fence < p.fencingTokens[b.Machine]:
		rw.WriteHeader(http.StatusConflict)
		reply(rw, map[string]string{"reason": "fence"})
		return
	case m.state != "up":
		rw.WriteHeader(http.StatusConflict)
		reply(rw, map[string]string{"reason": "busy"})
		return
	}
	p.checkOrder(b.Machine, b.Wave, fence, r.Header.Get("X-Lease-Holder"))
	p.fencingTokens[b.Machine] = fence
	p.acceptedOrders = append(p.acceptedOrders, fmt.Sprintf("%s %s %d", b.Machine, b.Pool, b.Wave))
	m.vm.Kill("ordered away")
	p.Store.Put(vmTopic, m.vm.ID, nil)
	m.vm, m.state = nil, "moving"
	if b.Pool == "" {
		m.state = "upkeep"
	} else {
		m.pool = b.Pool
	}
	time.AfterFunc(p.opts.MoveTime, func() { p.completeOrder(m, b.Wave) })
	reply(rw, struct{}{})
}

// completeOrder boots a machine again after its move or maintenance.
func (p *Platform) completeOrder(m *machine, wave int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if requested := p.waves[wave]; requested != nil {
		requested.outOfService--
	}
	select {
	case <-p.closed:
	default:
		_ = p.boot(m) // if no port is free, the machine stays out of service and the test fails on it
	}
}

// checkOrder counts the machine of an accepted order as out of service for its wave. It records
// a violation if two lease holders use one fencing token for a machine, or if a wave has more
// machines out of service than it allows; p.mu is held.
func (p *Platform) checkOrder(machine string, wave, fence int64, holder string) {
	key := fmt.Sprintf("%s %d", machine, fence)
	if firstHolder := p.leaseHolders[key]; firstHolder != "" && firstHolder != holder {
		p.violations = append(p.violations, fmt.Sprintf("ONE %s and %s both order machine %s with fencing token %d", firstHolder, holder, machine, fence))
	}
	p.leaseHolders[key] = holder
	if requested := p.waves[wave]; requested != nil {
		if requested.outOfService++; requested.outOfService > requested.atOnce {
			p.violations = append(p.violations, fmt.Sprintf("LIMIT wave %d: %d machines are out of service, its limit is %d", wave, requested.outOfService, requested.atOnce))
		}
	}
}

// Violations returns descriptions of the accepted orders that violate a rule for owners: no
// two lease holders use the same fencing token for a machine, and a wave stays within its limit.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.violations...)
}

// AcceptedOrders returns the accepted orders, each as "machine pool wave". The pool of a
// maintenance order is empty.
func (p *Platform) AcceptedOrders() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.acceptedOrders...)
}
