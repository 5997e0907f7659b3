package route

import (
	"maps"
	"slices"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Table is the routing table of one fleet state. It is immutable; requests read it
// without locks.
type Table struct {
	Offset       int64 // offset of the first record of the fleet's log that is not part of the fleet state that the table was built from
	Release      string
	OlderSystem  *Pool // pool whose single worker is the older system, which holds services not yet taken over; nil if there is none
	Services     map[string]*Service
	Pools        map[string]*Pool
	OutOfService []*Worker // workers of VMs that are out of service
}

// PoolOf returns the pool that serves a service, or nil.
func (t *Table) PoolOf(service string) *Pool {
	svc := t.Services[service]
	switch {
	case svc == nil:
		return nil
	case svc.HeldBy == fleet.OlderSystem:
		return t.OlderSystem
	}
	return svc.Pool
}

// Service is a service with the pool that serves it.
type Service struct {
	fleet.Service
	Pool *Pool // nil while the older system holds the service
}

// Pool holds the workers of a pool that are in service.
type Pool struct {
	Name           string
	Workers        []*Worker
	Slots          int   // requests that may run at once over all workers; admit.Share divides them among the entries, but each entry may use all slots of the older system
	ConnsPerWorker int64 // connections that this entry may open to each worker: its share of the lowest connection limit among the workers
}

// Registry keeps the workers between tables, so that the statistics of a VM survive a
// new table. It is not safe for concurrent use.
type Registry struct {
	maxEntries int
	workers    map[string]*Worker
}

// NewRegistry returns an empty registry. A worker's connections are divided among
// maxEntries entries and one more, since an entry and its replacement may run at the
// same time.
func NewRegistry(maxEntries int) *Registry {
	return &Registry{maxEntries: maxEntries, workers: map[string]*Worker{}}
}

// ConnectionShare returns one entry's share of a worker's connections, at least one.
func (r *Registry) ConnectionShare(connections int) int64 {
	return int64(max(1, connections/(r.maxEntries+1)))
}

// Build returns the routing table of a fleet state. It removes the workers that the state
// no longer names from the registry and returns them in gone.
func (r *Registry) Build(s *fleet.State) (t *Table, gone []*Worker) {
	t = &Table{Offset: s.Next, Release: s.Release, Services: map[string]*Service{}, Pools: map[string]*Pool{}}
	for name := range s.Pools {
		t.Pools[name] = &Pool{Name: name}
	}
	used := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(s.VMs)) {
		vm := s.VMs[name]
		w := r.worker(vm.Name, vm.Address)
		used[vm.Name] = true
		if vm.Phase == fleet.Serving {
			t.Pools[vm.Pool].add(w, vm, r.ConnectionShare(vm.Connections))
		} else {
			t.OutOfService = append(t.OutOfService, w)
		}
	}
	if s.Older != "" {
		const olderSystemName = "older-system"
		used[olderSystemName] = true
		t.OlderSystem = &Pool{Name: olderSystemName, Workers: []*Worker{r.worker(olderSystemName, s.Older)}, Slots: olderSystemLimit, ConnsPerWorker: olderSystemLimit}
	}
	for name, svc := range s.Services {
		t.Services[name] = &Service{Service: svc, Pool: t.Pools[svc.Pool]}
	}
	for name, w := range r.workers {
		if !used[name] {
			gone = append(gone, w)
			delete(r.workers, name)
		}
	}
	return t, gone
}

// olderSystemLimit is the number of requests that one entry forwards to the older system
// at once, each on its own connection.
const olderSystemLimit = 256

// add adds the worker of a VM in service; connectionShare is this entry's share of the
// VM's connections.
func (p *Pool) add(w *Worker, vm fleet.VM, connectionShare int64) {
	p.Workers = append(p.Workers, w)
	p.Slots += vm.Slots
	if p.ConnsPerWorker == 0 || connectionShare < p.ConnsPerWorker {
		p.ConnsPerWorker = connectionShare
	}
}

// worker returns the worker of a VM. The worker is a new one if the VM is new or its
// address has changed.
func (r *Registry) worker(name, address string) *Worker {
	w := r.workers[name]
	if w == nil || w.Address != address {
		w = NewWorker(name, address)
		r.workers[name] = w
	}
	return w
}

// Find returns the worker of a VM by the VM's name, or nil.
func (r *Registry) Find(name string) *Worker { return r.workers[name] }

// Each calls f for every worker.
func (r *Registry) Each(f func(*Worker)) {
	for _, w := range r.workers {
		f(w)
	}
}
