package route

import (
	"maps"
	"slices"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Table is one immutable view of the configuration, for the request path.
type Table struct {
	Offset       int64 // of the state that it was built from
	Release      string
	OlderSystem  *Pool // the older system as a pool of one, nil if there is none
	Services     map[string]*Service
	Pools        map[string]*Pool
	OutOfService []*Worker // VMs that are out of service
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

// Service is one service with the pool that serves it.
type Service struct {
	fleet.Service
	Pool *Pool // nil while the older system holds the service
}

// Pool is the workers that serve, and the slots they offer to all entries.
type Pool struct {
	Name           string
	Workers        []*Worker
	Slots          int   // requests that run at once, over all workers and entries
	ConnsPerWorker int64 // this entry's share of one worker's connections
}

// Registry keeps the workers between tables, so that what was seen of a VM
// survives a new table. It is not safe for concurrent use.
type Registry struct {
	maxEntries int
	workers    map[string]*Worker
}

// NewRegistry returns an empty registry. A worker's connections are divided
// among maxEntries and one replacement that runs beside an entry it replaces.
func NewRegistry(maxEntries int) *Registry {
	return &Registry{maxEntries: maxEntries, workers: map[string]*Worker{}}
}

// PerWorker returns one entry's share of a worker's connections.
func (r *Registry) PerWorker(connections int) int64 {
	return int64(max(1, connections/(r.maxEntries+1)))
}

// Build returns the table of a state. It forgets workers that the state no
// longer names and returns them in gone.
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
			t.Pools[vm.Pool].add(w, vm, r.PerWorker(vm.Connections))
		} else {
			t.OutOfService = append(t.OutOfService, w)
		}
	}
	if s.Older != "" {
		const olderName = "older-system"
		used[olderName] = true
		t.OlderSystem = &Pool{Name: olderName, Workers: []*Worker{r.worker(olderName, s.Older)}, Slots: olderAtOnce, ConnsPerWorker: olderAtOnce}
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

// olderAtOnce is how many requests one entry forwards to the older system at once.
const olderAtOnce = 256

func (p *Pool) add(w *Worker, vm fleet.VM, perWorker int64) {
	p.Workers = append(p.Workers, w)
	p.Slots += vm.Slots
	if p.ConnsPerWorker == 0 || perWorker < p.ConnsPerWorker {
		p.ConnsPerWorker = perWorker
	}
}

// worker returns the known worker of a VM, or a new one if its address changed.
func (r *Registry) worker(name, address string) *Worker {
	w := r.workers[name]
	if w == nil || w.Address != address {
		w = NewWorker(name, address)
		r.workers[name] = w
	}
	return w
}

// Find returns a worker by VM name, or nil.
func (r *Registry) Find(name string) *Worker { return r.workers[name] }

// Each calls f for every worker.
func (r *Registry) Each(f func(*Worker)) {
	for _, w := range r.workers {
		f(w)
	}
}
