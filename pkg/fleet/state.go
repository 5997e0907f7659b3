// Package fleet defines the state that all entries share: pools, services, VMs,
// maintenance waves, entry membership and control leases. The state is derived from the
// records of the platform's log by a pure, deterministic fold. Every entry folds the same
// records in the same order and so reaches the same state. A record that is not valid
// for the state at its offset is skipped by every entry. The package also checks release
// notes against the state, and encodes records and snapshots.
package fleet

import (
	"iter"
	"maps"
	"slices"
)

// ShardCount is the number of control shards that pools are spread over. The result of the
// fold depends on it, so it must be the same on all entries.
const ShardCount = 64

// State is the state that results from folding the log's records up to an offset. It is
// not safe for concurrent use.
type State struct {
	Next         int64                 `json:"next"`     // offset of the next record to fold
	TimeMs       int64                 `json:"time-ms"`  // platform time of the last record, Unix milliseconds
	Release      string                `json:"release"`  // release in force, empty before the first
	Releases     int64                 `json:"releases"` // offset at which it came into force
	Older        string                `json:"older"`    // address of the older system, empty if there is none
	Pools        map[string]Pool       `json:"pools"`
	Services     map[string]Service    `json:"services"`
	VMs          map[string]VM         `json:"vms"`
	Waves        map[string]Wave       `json:"waves"`
	Members      map[string]Member     `json:"members"`  // entries by name
	View         int64                 `json:"view"`     // offset of the record that created the current membership
	Past         []PastView            `json:"past"`     // earlier memberships, oldest first, retained for ClaimRetentionMs
	Leases       map[int]Lease         `json:"leases"`   // control leases by shard
	Ops          map[string]int64      `json:"ops"`      // recent operation ids and their offsets
	OpOrder      []string              `json:"op-order"` // keys of Ops, oldest first
	counts       map[string]*poolCount // derived: VM counts by pool
	outOfService map[string]bool       // derived: VMs out of service
}

// Pool is a set of VMs that serves one or more services.
type Pool struct {
	Name  string `json:"name"`
	Spare bool   `json:"spare,omitempty"` // spare pool: its VMs are in reserve for the other pools
}

// Service is the target that callers name in a request.
type Service struct {
	Name       string   `json:"name"`
	Pool       string   `json:"pool,omitempty"`         // empty while the older system holds it
	Priority   Priority `json:"priority"`               // priority of its requests
	TimeoutMs  int      `json:"timeout-ms"`             // time limit of a request that sets none; 1 to 60,000
	MinServing int      `json:"min-serving,omitempty"`  // availability budget: minimum number of serving VMs in its pool
	HeldBy     Holder   `json:"held-by"`                // which system serves it
	MeanPerSec float64  `json:"mean-per-sec,omitempty"` // declared mean demand, requests per second
}

// VM is a VM that runs a backend server.
type VM struct {
	Name        string `json:"name"`
	Pool        string `json:"pool"`
	Address     string `json:"address"` // IP address and port of the backend server
	DataCentre  string `json:"data-centre"`
	Rack        string `json:"rack"`
	Slots       int    `json:"slots"`                  // maximum number of concurrent requests
	Connections int    `json:"connections"`            // maximum number of open connections from all entries together
	Phase       Phase  `json:"phase"`                  // only a serving VM gets new requests
	Since       int64  `json:"since,omitempty"`        // offset of the record that set Phase
	MoveTo      string `json:"move-to,omitempty"`      // target pool while Phase is moving
	Wave        string `json:"wave,omitempty"`         // current wave while Phase is maintenance or failed
	Maintained  string `json:"maintained,omitempty"`   // last wave whose maintenance of the VM has finished
	LastFailure string `json:"last-failure,omitempty"` // reason while Phase is failed
}

// Wave is a maintenance wave, which drains and reboots every VM of its pools once.
type Wave struct {
	Name        string    `json:"name"`
	Pools       []string  `json:"pools"`
	AtOnce      int       `json:"at-once"`      // maximum number of VMs in maintenance at the same time, 1 to 1,000
	MaxFailures int       `json:"max-failures"` // the wave halts if more VMs than this have failed
	State       WaveState `json:"state"`
	Reason      string    `json:"reason,omitempty"` // reason for State
	Failed      int       `json:"failed,omitempty"` // number of VM failures; reset by a restart after a halt
}

// Member is an entry in the current membership.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"` // new at each start of the process
	Address     string `json:"address"`     // IP address and port for peers
	Operator    string `json:"operator"`    // IP address and port for operators
	DataCentre  string `json:"data-centre"`
}

// PastView is a former membership.
type PastView struct {
	View    int64    `json:"view"`
	EndedMs int64    `json:"ended-ms"` // platform time of the record that replaced it
	Members []Member `json:"members"`  // sorted by name
}

// Lease is an entry's right to control the pools of one shard by control records, see Fence. A
// control record whose epoch is not that of the lease is skipped.
type Lease struct {
	Holder string `json:"holder"` // incarnation of the entry; empty while no entry holds the lease
	Epoch  int64  `json:"epoch"`  // incremented each time the lease is taken
}

// poolCount holds the numbers of VMs in a pool by phase, so that a fold need not visit
// all VMs.
type poolCount struct {
	total, serving int
	maintenance    map[string]int  // VMs in maintenance by data centre
	vms            map[string]bool // names of all VMs of the pool
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
	s.rebuildCounts()
	return s
}

// SortedMembers returns the current members, sorted by name.
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

// IsMember reports whether the incarnation belongs to a current member.
func (s *State) IsMember(incarnation string) bool {
	for _, m := range s.Members {
		if m.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// MinServing returns the pool's availability budget, the minimum number of its VMs that
// must serve. It is the largest budget of the pool's services.
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
	c := s.counts[pool]
	if c == nil {
		return 0, 0
	}
	return c.total, c.serving
}

// VMsOf returns the names of the pool's VMs in unspecified order.
func (s *State) VMsOf(pool string) iter.Seq[string] {
	if c := s.counts[pool]; c != nil {
		return maps.Keys(c.vms)
	}
	return func(func(string) bool) {}
}

// OutOfService returns the names of the VMs that are not serving, sorted.
func (s *State) OutOfService() []string { return slices.Sorted(maps.Keys(s.outOfService)) }

// rebuildCounts recomputes the derived fields, which are not part of a snapshot.
func (s *State) rebuildCounts() {
	s.counts = map[string]*poolCount{}
	s.outOfService = map[string]bool{}
	for _, vm := range s.VMs {
		s.addCounts(vm, 1)
	}
}

// addCounts adds a VM to the derived fields if n is 1, and removes it if n is -1.
func (s *State) addCounts(vm VM, n int) {
	c := s.counts[vm.Pool]
	if c == nil {
		c = &poolCount{maintenance: map[string]int{}, vms: map[string]bool{}}
		s.counts[vm.Pool] = c
	}
	c.total += n
	if n > 0 {
		c.vms[vm.Name] = true
	} else {
		delete(c.vms, vm.Name)
		delete(s.outOfService, vm.Name)
	}
	if vm.Phase == Serving {
		c.serving += n
	} else if n > 0 {
		s.outOfService[vm.Name] = true
	}
	if vm.Phase == Maintenance {
		c.maintenance[vm.DataCentre] += n
	}
}

// setVM stores a VM and updates the counts.
func (s *State) setVM(vm VM) {
	s.removeVM(vm.Name)
	s.VMs[vm.Name] = vm
	s.addCounts(vm, 1)
}

func (s *State) removeVM(name string) {
	if old, ok := s.VMs[name]; ok {
		s.addCounts(old, -1)
		delete(s.VMs, name)
	}
}
