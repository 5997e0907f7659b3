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

// Headers by which callers tell a backend server how to behave.
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
	End   int64  `json:"end"`  // 0 if the response was not written completely
	Body  string `json:"body"` // hash of the request's body
}

// Outage is an interval in which a VM was down. Times are in Unix microseconds.
type Outage struct {
	VM          string `json:"vm"`
	Start       int64  `json:"start"`
	End         int64  `json:"end"`
	Planned     bool   `json:"planned"`
	RequestsCut int    `json:"cut"` // requests in flight when it began
}

// Departure records when a VM changed to the state leaving, in Unix microseconds.
type Departure struct {
	VM string `json:"vm"`
	At int64  `json:"at"`
}

// Report contains all records of the backend servers.
type Report struct {
	Runs     []Run       `json:"runs"`
	Outages  []Outage    `json:"outages"`
	Leaving  []Departure `json:"leaving"`
	MaxConns int         `json:"max-conns"` // largest number of open connections of one VM
	MaxSlots int         `json:"max-slots"` // largest number of concurrent requests on one VM
}

// Backends runs many backend servers in one process.
type Backends struct {
	mu     sync.Mutex
	vms    []*backend
	byName map[string]*backend
	report Report
}

type backend struct {
	backends *Backends
	name     string
	address  string
	slots    chan struct{}
	maxConns int
	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	boots    int
	state    plat.VMStateState
	failAll  bool
	silent   map[net.Conn]bool // connections on which requests get no response any more
	running  int
}

// NewBackends starts count backend servers on consecutive ports.
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

// connState tracks open connections and closes those beyond the VM's limit.
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
// and responds with bytes derived from the idempotency key.
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

// shutDown stops a VM at once and cuts its running requests.
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

// boot starts a VM that is down and ends its outage record.
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

// BackendFault changes the fault mode of one VM, or of all VMs if VM is empty.
type BackendFault struct {
	VM   string `json:"vm"`
	Mode string `json:"mode"` // fail-all, ok, kill, start, leaving, silent
}

// Control returns the control interface: the VM list and reboots for the platform, the
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
		st := v.vmState()
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

// OlderSystem returns a handler that plays the older system and responds to every request.
func OlderSystem() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		size, _ := strconv.Atoi(r.Header.Get(sizeHeader))
		_, _ = w.Write(Content(r.Header.Get(result.IdempotencyKeyHeader), size))
	})
}
