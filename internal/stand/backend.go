package stand

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/oas/plat"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const rebootDuration = 1500 * time.Millisecond

// Headers in which a caller sets the service time and response size of its request.
const (
	workHeader = "Standin-Work-Us" // service time in microseconds
	sizeHeader = "Standin-Size"    // size of the response in bytes
)

// Run is one execution of a request on a backend server. Times are in Unix
// microseconds.
type Run struct {
	Key   string `json:"key"`
	VM    string `json:"vm"`
	Pool  string `json:"pool"` // pool that the entry named in its header
	Entry string `json:"entry"`
	Start int64  `json:"start"`
	End   int64  `json:"end"`  // time at which the response was written; 0 if it was not written completely
	Body  string `json:"body"` // first 8 bytes of the SHA-256 hash of the request's body, in hex
}

// Outage is an interval in which a VM was down. Times are in Unix microseconds; End is 0
// while the VM is down.
type Outage struct {
	VM          string `json:"vm"`
	Start       int64  `json:"start"`
	End         int64  `json:"end"`
	Planned     bool   `json:"planned"` // a reboot by the platform, not a fault
	RequestsCut int    `json:"cut"`     // requests that held a slot when it began
}

// Departure records when the state of a VM in the VM list changed to leaving.
type Departure struct {
	VM string `json:"vm"`
	At int64  `json:"at"` // Unix microseconds
}

// Report contains the requests, outages and departures of all VMs, and their peak use.
type Report struct {
	Runs     []Run       `json:"runs"`
	Outages  []Outage    `json:"outages"`
	Leaving  []Departure `json:"leaving"`
	MaxConns int         `json:"max-conns"` // largest number of open connections of one VM
	MaxSlots int         `json:"max-slots"` // largest number of concurrent requests on one VM
}

// Backends runs the backend servers of all VMs in one process.
type Backends struct {
	mu     sync.Mutex
	vms    []*backend
	byName map[string]*backend
	report Report
}

// backend is a VM with its backend server.
type backend struct {
	backends *Backends
	name     string
	address  string
	slots    chan struct{} // semaphore; a running request holds one slot
	maxConns int
	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	boots    int
	state    plat.VMStateState
	failAll  bool
	silent   map[net.Conn]bool // connections whose requests get no response, by the fault "silent"
	running  int               // number of requests that hold a slot
}

// NewBackends starts count VMs with backend servers on consecutive ports. Each VM has the
// given number of slots for requests and accepts up to conns connections.
func NewBackends(count, basePort, slots, conns int) (*Backends, error) {
	b := &Backends{byName: map[string]*backend{}}
	for i := range count {
		vm := &backend{
			backends: b, name: fmt.Sprintf("vm-%02d", i+1), address: fmt.Sprintf("127.0.0.1:%d", basePort+i),
			slots: make(chan struct{}, slots), maxConns: conns,
		}
		if err := vm.start(); err != nil {
			return nil, err
		}
		b.vms = append(b.vms, vm)
		b.byName[vm.name] = vm
	}
	return b, nil
}

func (v *backend) start() error {
	ln, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conns, v.silent = map[net.Conn]bool{}, map[net.Conn]bool{}
	v.boots++
	v.state = plat.VMStateStateLive
	v.server = &http.Server{Handler: v, ConnState: v.connState, ConnContext: withConn}
	go func(s *http.Server) { _ = s.Serve(ln) }(v.server)
	return nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState tracks open connections and closes those beyond maxConns.
func (v *backend) connState(c net.Conn, s http.ConnState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch s {
	case http.StateNew:
		v.conns[c] = true
		v.backends.recordConns(len(v.conns))
		if len(v.conns) > v.maxConns {
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(v.conns, c)
		delete(v.silent, c)
	}
}

func (b *Backends) recordConns(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.MaxConns = max(b.report.MaxConns, n)
}

// ServeHTTP runs one request: it waits for a slot, sleeps for the requested service time,
// and responds with bytes derived from the idempotency key. On a silent connection it does
// not respond, and with the fault "fail-all" it fails before the request runs.
func (v *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(net.Conn)
	v.mu.Lock()
	fail, silent := v.failAll, v.silent[c]
	v.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if fail {
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	}
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return
	}
	select {
	case v.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	v.addRunning(1)
	i := v.backends.recordStart(Run{
		Key: r.Header.Get(result.IdempotencyKeyHeader), VM: v.name, Pool: r.Header.Get(result.PoolHeader),
		Entry: r.Header.Get(result.EntryHeader), Start: time.Now().UnixMicro(), Body: fmt.Sprintf("%x", h.Sum(nil)[:8]),
	})
	us, _ := strconv.Atoi(r.Header.Get(workHeader))
	time.Sleep(time.Duration(us) * time.Microsecond)
	v.addRunning(-1)
	<-v.slots
	size, _ := strconv.Atoi(r.Header.Get(sizeHeader))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, err := w.Write(Content(r.Header.Get(result.IdempotencyKeyHeader), size))
	if err == nil {
		v.backends.recordEnd(i)
	}
}

// addRunning adds n to the number of running requests and records its maximum.
func (v *backend) addRunning(n int) {
	v.mu.Lock()
	v.running += n
	running := v.running
	v.mu.Unlock()
	v.backends.mu.Lock()
	defer v.backends.mu.Unlock()
	v.backends.report.MaxSlots = max(v.backends.report.MaxSlots, running)
}

func (b *Backends) recordStart(r Run) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Runs = append(b.report.Runs, r)
	return len(b.report.Runs) - 1
}

func (b *Backends) recordEnd(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Runs[i].End = time.Now().UnixMicro()
}

// Content returns size bytes derived from key, the expected response to a request with
// that idempotency key.
func Content(key string, size int) []byte {
	out := make([]byte, 0, size+sha256.Size)
	sum := sha256.Sum256([]byte(key))
	for len(out) < size {
		out = append(out, sum[:]...)
		sum = sha256.Sum256(sum[:])
	}
	return out[:size]
}

// shutDown stops a VM at once, cuts its running requests and begins an outage record.
// planned is true for a reboot and false for a fault.
func (v *backend) shutDown(planned bool) {
	v.mu.Lock()
	v.state = plat.VMStateStateDown
	server, cut := v.server, v.running
	v.mu.Unlock()
	v.backends.mu.Lock()
	v.backends.report.Outages = append(v.backends.report.Outages, Outage{VM: v.name, Start: time.Now().UnixMicro(), Planned: planned, RequestsCut: cut})
	v.backends.mu.Unlock()
	server.Close()
}

// boot starts a VM that is down and completes its outage record.
func (v *backend) boot() error {
	if err := v.start(); err != nil {
		return err
	}
	v.backends.mu.Lock()
	defer v.backends.mu.Unlock()
	for i := range v.backends.report.Outages {
		if o := &v.backends.report.Outages[i]; o.VM == v.name && o.End == 0 {
			o.End = time.Now().UnixMicro()
		}
	}
	return nil
}

func (v *backend) vmState() plat.VMState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return plat.VMState{Name: v.name, State: v.state, Boots: v.boots}
}

// BackendFault injects a fault into one VM, or into all VMs if VM is empty. The modes are:
//   - fail-all: the VM answers all requests with status 500
//   - ok: ends fail-all
//   - kill: the VM goes down at once
//   - start: boots a VM that is down
//   - leaving: the VM list shows the VM as leaving
//   - silent: requests on the connections that are now open get no response
type BackendFault struct {
	VM   string `json:"vm"`
	Mode string `json:"mode"`
}

// Control returns the control interface: the VMs' states and reboots for the platform, the
// report for the checks, and fault injection.
func (b *Backends) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		list := []plat.VMState{}
		for _, v := range b.vms {
			list = append(list, v.vmState())
		}
		writeJSON(w, list)
	})
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		defer b.mu.Unlock()
		writeJSON(w, b.report)
	})
	mux.HandleFunc("POST /vms/{vm}/reboot", func(w http.ResponseWriter, r *http.Request) {
		v := b.byName[r.PathValue("vm")]
		if v == nil {
			http.NotFound(w, r)
			return
		}
		st := v.vmState() // before the reboot, which is over once the VM list shows a higher boot count
		v.shutDown(true)
		time.AfterFunc(rebootDuration, func() { _ = v.boot() })
		writeJSON(w, st)
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f BackendFault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, v := range b.vms {
			if f.VM == "" || f.VM == v.name {
				v.setFault(f.Mode)
			}
		}
	})
	return mux
}

func (v *backend) setFault(mode string) {
	switch mode {
	case "kill":
		v.shutDown(false)
		return
	case "start":
		_ = v.boot()
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch mode {
	case "fail-all", "ok":
		v.failAll = mode == "fail-all"
	case "silent":
		for c := range v.conns {
			v.silent[c] = true
		}
	case "leaving":
		v.state = plat.VMStateStateLeaving
		v.backends.mu.Lock()
		defer v.backends.mu.Unlock()
		v.backends.report.Leaving = append(v.backends.report.Leaving, Departure{VM: v.name, At: time.Now().UnixMicro()})
	}
}

// OlderSystem returns a stand-in for the older system, which responds to every request at
// once with the expected bytes.
func OlderSystem() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		size, _ := strconv.Atoi(r.Header.Get(sizeHeader))
		_, _ = w.Write(Content(r.Header.Get(result.IdempotencyKeyHeader), size))
	})
}
