// Package fleet holds the state that all entries share and the one pure fold
// that derives it from the platform's log. Every entry folds the same records
// in the same order and so reaches the same state; a record that does not fit
// the state at its offset changes nothing, for every reader alike.
package fleet

import (
	"iter"
	"maps"
	"slices"
)

// ShardCount is the number of control shards that pools are spread over.
const ShardCount = 64

// State is the folded state of the control stream. It is not safe for
// concurrent use.
type State struct {
	Next     int64              `json:"next"`    // offset of the next record to fold
	TimeMs   int64              `json:"time-ms"` // platform time of the last record, Unix milliseconds
	Release  string             `json:"release"` // release in force, empty before the first
	Releases int64              `json:"releases"`
	Older    string             `json:"older"` // address of the older system, empty if there is none
	Pools    map[string]Pool    `json:"pools"`
	Services map[string]Service `json:"services"`
	VMs      map[string]VM      `json:"vms"`
	Waves    map[string]Wave    `json:"waves"`
	Members  map[string]Member  `json:"members"` // entries by name
	View     int64              `json:"view"`    // offset of the record that made this membership
	Past     []PastView         `json:"past"`    // earlier memberships, oldest first, for ClaimRetention
	Leases   map[int]Lease      `json:"leases"`  // control leases by shard
	Ops      map[string]int64   `json:"ops"`     // recent operation ids and their offsets
	OpOrder  []string           `json:"op-order"`
	pools    map[string]*count  // derived: VM counts by pool
	out      map[string]bool    // derived: VMs out of service
}

// Pool is a set of VMs that serves one or more services.
type Pool struct {
	Name  string `json:"name"`
	Spare bool   `json:"spare,omitempty"` // VMs are taken from and returned to the spare pool
}

// Service is what callers name in a request.
type Service struct {
	Name       string   `json:"name"`
	Pool       string   `json:"pool,omitempty"`         // empty while the older system holds it
	Priority   Priority `json:"priority"`               // of its requests
	TimeoutMs  int      `json:"timeout-ms"`             // deadline of a request that names none; 1 to 60,000
	MinServing int      `json:"min-serving,omitempty"`  // availability budget: VMs of its pool that always serve
	HeldBy     Holder   `json:"held-by"`                // which system serves it
	MeanPerSec float64  `json:"mean-per-sec,omitempty"` // declared demand, requests a second
}

// VM is a backend server's machine.
type VM struct {
	Name        string `json:"name"`
	Pool        string `json:"pool"`
	Address     string `json:"address"` // IP number and port of the backend server
	DataCentre  string `json:"data-centre"`
	Rack        string `json:"rack"`
	Slots       int    `json:"slots"`                  // requests it runs at once
	Connections int    `json:"connections"`            // open connections it accepts, over all entries
	Phase       Phase  `json:"phase"`                  // only a serving VM gets new work
	Since       int64  `json:"since,omitempty"`        // offset at which Phase began
	MoveTo      string `json:"move-to,omitempty"`      // target pool while Phase is moving
	Wave        string `json:"wave,omitempty"`         // wave that the VM is in while Phase is maintenance
	Maintained  string `json:"maintained,omitempty"`   // last wave that has finished on the VM
	LastFailure string `json:"last-failure,omitempty"` // why Phase is failed
}

// Wave is a maintenance wave: every VM of its pools is drained and rebooted once.
type Wave struct {
	Name        string    `json:"name"`
	Pools       []string  `json:"pools"`
	AtOnce      int       `json:"at-once"`      // VMs in maintenance together, 1 to 1,000
	MaxFailures int       `json:"max-failures"` // the wave halts when more VMs than this have failed
	State       WaveState `json:"state"`
	Reason      string    `json:"reason,omitempty"` // of the state
	Failed      int       `json:"failed,omitempty"`
}

// Member is an entry that takes part in membership.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"` // new at each start of the process
	Address     string `json:"address"`     // IP number and port for peers
	Operator    string `json:"operator"`    // IP number and port for operators
	DataCentre  string `json:"data-centre"`
}

// PastView is a membership that a later one replaced.
type PastView struct {
	View    int64    `json:"view"`
	EndedMs int64    `json:"ended-ms"` // platform time of the record that replaced it
	Members []Member `json:"members"`  // sorted by name
}

// Lease is control over one shard of pools. A record that carries another
// epoch than the lease's is stale and is skipped.
type Lease struct {
	Holder string `json:"holder"` // incarnation
	Epoch  int64  `json:"epoch"`
}

// count is what the fold knows of a pool without visiting its VMs.
type count struct {
	total, serving int
	maintenance    map[string]int // VMs in maintenance by data centre
	vms            map[string]bool
}

// NewState returns the state before the first record.
func NewState() *State {
	s := &State{
		Pools:    map[string]Pool{},
		Services: map[string]Service{},
		VMs:      map[string]VM{},
		Waves:    map[string]Wave{},
		Members:  map[string]Member{},
		Leases:   map[int]Lease{},
		Ops:      map[string]int64{},
	}
	s.derive()
	return s
}

// SortedMembers returns the present members by name.
func (s *State) SortedMembers() []Member {
	members := make([]Member, 0, len(s.Members))
	for _, m := range s.Members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return members
}

// IsMember reports whether the incarnation belongs to a present member.
func (s *State) IsMember(incarnation string) bool {
	for _, m := range s.Members {
		if m.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// MinServing returns the number of VMs of the pool that have to serve: the
// largest budget of its services.
func (s *State) MinServing(pool string) int {
	n := 0
	for _, svc := range s.Services {
		if svc.Pool == pool && svc.HeldBy == Greengagelane {
			n = max(n, svc.MinServing)
		}
	}
	return n
}

// PoolCount returns how many VMs the pool has and how many of them serve.
func (s *State) PoolCount(pool string) (total, serving int) {
	c := s.pools[pool]
	if c == nil {
		return 0, 0
	}
	return c.total, c.serving
}

// VMsOf returns the names of the pool's VMs, in no order.
func (s *State) VMsOf(pool string) iter.Seq[string] {
	if c := s.pools[pool]; c != nil {
		return maps.Keys(c.vms)
	}
	return func(func(string) bool) {}
}

// OutOfService returns the names of the VMs that do not serve, sorted.
func (s *State) OutOfService() []string { return slices.Sorted(maps.Keys(s.out)) }

// derive recomputes the counts that are not part of a snapshot.
func (s *State) derive() {
	s.pools = map[string]*count{}
	s.out = map[string]bool{}
	for _, vm := range s.VMs {
		s.addCounts(vm, 1)
	}
}

func (s *State) addCounts(vm VM, n int) {
	c := s.pools[vm.Pool]
	if c == nil {
		c = &count{maintenance: map[string]int{}, vms: map[string]bool{}}
		s.pools[vm.Pool] = c
	}
	c.total += n
	if n > 0 {
		c.vms[vm.Name] = true
	} else {
		delete(c.vms, vm.Name)
		delete(s.out, vm.Name)
	}
	if vm.Phase == Serving {
		c.serving += n
	} else if n > 0 {
		s.out[vm.Name] = true
	}
	if vm.Phase == Maintenance {
		c.maintenance[vm.DataCentre] += n
	}
}

// setVM stores a VM and keeps the counts in step.
func (s *State) setVM(vm VM) {
	s.dropVM(vm.Name)
	s.VMs[vm.Name] = vm
	s.addCounts(vm, 1)
}

func (s *State) dropVM(name string) {
	if old, ok := s.VMs[name]; ok {
		s.addCounts(old, -1)
		delete(s.VMs, name)
	}
}
