package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/fuzz"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// TestMain runs 400 checks of 60 steps of each property.
func TestMain(m *testing.M) { fuzz.Main(m, 400, 60) }

// model is the test oracle. It derives the expected state from the records that Fold
// reports as applied, and folds every record into two states.
type model struct {
	t *rapid.T
	// restored is a second state, which the action "snapshot" encodes and restores.
	state, restored *fleet.State
	log             []fleet.LogRecord
	pool            map[string]string // pool of each VM
	published       map[string]int    // position of each release that has come into force; detects repeats
	epochs          map[int]int64     // last epoch by shard
	holder          map[int]string    // lease holder by shard; empty if none
	members         map[string]bool   // incarnations
	inProgress      map[string]bool   // VMs with a move or maintenance in progress; unlike State.OutOfService, without failed VMs
	currentRelease  string            // release in force
	releaseNumber   int               // number in the name of the last release note that was written
}

func firstNote(vms int) fleet.Note {
	n := fleet.Note{Release: "r0"}
	for i, name := range []string{"pool-0", "pool-1", "pool-2"} {
		n.Added.Pools = append(n.Added.Pools, fleet.Pool{Name: name})
		n.Added.Services = append(n.Added.Services, fleet.Service{Name: "svc-" + name, Pool: name, TimeoutMs: 1000, MinServing: i})
	}
	for i := range vms {
		n.Added.VMs = append(n.Added.VMs, fleet.VM{
			Name: fmt.Sprintf("vm-%d", i), Pool: fmt.Sprintf("pool-%d", i%3), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			DataCentre: fmt.Sprintf("dc-%d", i%2), Slots: 8, Connections: 64,
		})
	}
	n.Added.Waves = []fleet.Wave{{Name: "w", Pools: []string{"pool-0", "pool-1"}, AtOnce: 2, MaxFailures: 1}}
	return n
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, state: fleet.NewState(), restored: fleet.NewState(), pool: map[string]string{}, published: map[string]int{}, epochs: map[int]int64{},
		holder: map[int]string{}, members: map[string]bool{}, inProgress: map[string]bool{},
	}
	n := firstNote(9)
	m.write("first", fleet.ReleasePublished{Note: n})
	for _, vm := range n.Added.VMs {
		m.pool[vm.Name] = vm.Pool
	}
	m.write("join", fleet.EntryJoined{Member: fleet.Member{Name: "e0", Incarnation: "e0"}})
	m.write("join-1", fleet.EntryJoined{Member: fleet.Member{Name: "e1", Incarnation: "e1"}})
	for i := range 3 {
		shard := fleet.ShardOf(fmt.Sprintf("pool-%d", i))
		m.write(fmt.Sprintf("lease-%d", i), fleet.LeaseTaken{Shard: shard, Holder: "e0", Epoch: 1})
	}
	m.write("wave", fleet.WaveStarted{Wave: "w"})
	return m
}

// write folds a record into both states and updates the oracle. It returns whether the record
// was applied.
func (m *model) write(op string, r fleet.Record) bool {
	data, err := fleet.Encode(r)
	assert.NilError(m.t, err)
	rec := fleet.LogRecord{Offset: m.state.Next, TimeMs: m.state.Next * 1000, OperationID: op, Data: data}
	m.log = append(m.log, rec)
	outcome := m.state.Fold(rec)
	m.restored.Fold(rec)
	m.update(r, outcome.Applied)
	return outcome.Applied
}

// update checks an applied record against the oracle and updates the oracle.
func (m *model) update(r fleet.Record, applied bool) {
	if !applied {
		return
	}
	switch r := r.(type) {
	case fleet.MoveStarted:
		assert.Equal(m.t, r.From, m.pool[r.VM])
		assert.Assert(m.t, !m.inProgress[r.VM])
		m.inProgress[r.VM] = true
	case fleet.MoveFinished:
		m.checkHolder(r.VM, r.By)
		m.pool[r.VM] = m.state.VMs[r.VM].Pool
		delete(m.inProgress, r.VM)
	case fleet.MaintenanceStarted:
		m.checkHolder(r.VM, r.By)
		assert.Assert(m.t, !m.inProgress[r.VM])
		m.inProgress[r.VM] = true
	case fleet.MaintenanceFinished:
		m.checkHolder(r.VM, r.By)
		delete(m.inProgress, r.VM)
	case fleet.MaintenanceFailed:
		m.checkHolder(r.VM, r.By)
		delete(m.inProgress, r.VM)
	case fleet.ReleasePublished:
		m.updateRelease(r.Note)
	case fleet.LeaseTaken:
		assert.Assert(m.t, r.Epoch > m.epochs[r.Shard], "an epoch was used twice")
		assert.Assert(m.t, !m.members[m.holder[r.Shard]], "a lease was taken from a member")
		m.epochs[r.Shard], m.holder[r.Shard] = r.Epoch, r.Holder
	case fleet.LeaseReleased:
		m.holder[r.Shard] = ""
	case fleet.EntryJoined:
		m.members[r.Member.Incarnation] = true
	case fleet.EntryLeft:
		delete(m.members, r.Incarnation)
	}
}

// checkHolder asserts that the writer of an applied control record holds the lease on
// the shard of the VM's pool.
func (m *model) checkHolder(vm string, by fleet.Fence) {
	shard := fleet.ShardOf(m.pool[vm])
	assert.Equal(m.t, by, fleet.Fence{Shard: shard, Epoch: m.epochs[shard]})
	assert.Assert(m.t, m.holder[shard] != "")
}

func (m *model) updateRelease(n fleet.Note) {
	assert.Equal(m.t, n.BasedOn, m.currentRelease)
	_, seen := m.published[n.Release]
	assert.Assert(m.t, !seen, "release %s came into force twice", n.Release)
	m.published[n.Release] = len(m.published)
	m.currentRelease = n.Release
	for _, vm := range n.Withdrawn.VMs {
		assert.Assert(m.t, !m.inProgress[vm], "VM %s was withdrawn during a move or maintenance", vm)
		delete(m.pool, vm)
	}
}

// anyVM draws the name of a VM. The last one, vm-9, does not exist.
func (m *model) anyVM(t *rapid.T) string {
	return fmt.Sprintf("vm-%d", rapid.IntRange(0, 9).Draw(t, "vm"))
}

// anyPool draws the name of a pool. The last one, pool-3, does not exist.
func (m *model) anyPool(t *rapid.T) string {
	return fmt.Sprintf("pool-%d", rapid.IntRange(0, 3).Draw(t, "pool"))
}

// fence draws a fence with the current epoch of the VM's shard, or a lower epoch, which
// may be one that was never granted.
func (m *model) fence(t *rapid.T, vm string) fleet.Fence {
	shard := fleet.ShardOf(m.state.VMs[vm].Pool)
	return fleet.Fence{Shard: shard, Epoch: m.state.Leases[shard].Epoch - int64(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "stale"))}
}

// check asserts after each record that both states are equal, that each VM is in the
// expected pool, and that availability budgets and wave limits hold. Package stand checks the
// same on running entries: budgets as promise P1, one pool per VM as promise P2.
func (m *model) check() {
	stateData, err := m.state.Snapshot()
	assert.NilError(m.t, err)
	restoredData, err := m.restored.Snapshot()
	assert.NilError(m.t, err)
	assert.Equal(m.t, string(stateData), string(restoredData), "two states differ after the same records")
	pools := map[string]string{}
	serving := map[string]int{}
	for name, vm := range m.state.VMs {
		pools[name] = vm.Pool
		if vm.Phase == fleet.Serving {
			serving[vm.Pool]++
		}
	}
	assert.DeepEqual(m.t, pools, m.pool)
	for pool := range m.state.Pools {
		_, n := m.state.PoolCount(pool)
		assert.Equal(m.t, n, serving[pool])
		assert.Assert(m.t, n >= m.state.MinServing(pool), "pool %s: %d serve, the budget is %d", pool, n, m.state.MinServing(pool))
	}
	inMaintenance := map[string]map[string]int{}
	total := 0
	for _, vm := range m.state.VMs {
		if vm.Phase == fleet.Maintenance {
			if inMaintenance[vm.Pool] == nil {
				inMaintenance[vm.Pool] = map[string]int{}
			}
			inMaintenance[vm.Pool][vm.DataCentre]++
			total++
		}
	}
	// 2 is the AtOnce of the only wave.
	assert.Assert(m.t, total <= 2, "%d VMs in maintenance at once", total)
	for pool, centres := range inMaintenance {
		assert.Assert(m.t, len(centres) <= 1, "pool %s is in maintenance in %v", pool, slices.Collect(maps.Keys(centres)))
	}
}

// TestFoldAgainstOracle folds random valid, stale and repeated records and compares the
// state with an oracle. It guards against records of a former lease holder, duplicates
// and restored snapshots that make two entries reach different states, and against
// records that take more VMs out of service than budgets and waves allow.
func TestFoldAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		n := 0
		op := func() string { n++; return fmt.Sprintf("op-%d", n) }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"lease": func(t *rapid.T) {
				vm := m.anyVM(t)
				f := m.fence(t, vm)
				holder := fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(t, "holder"))
				m.write(op(), fleet.LeaseTaken{Shard: f.Shard, Holder: holder, Epoch: f.Epoch + 1})
			},
			"release lease": func(t *rapid.T) {
				f := m.fence(t, m.anyVM(t))
				m.write(op(), fleet.LeaseReleased{Shard: f.Shard, Epoch: f.Epoch})
			},
			"entry restarts": func(*rapid.T) {
				name := fmt.Sprintf("e%d", rapid.IntRange(0, 1).Draw(t, "entry"))
				m.write(op(), fleet.EntryLeft{Name: name, Incarnation: name})
				if rapid.Bool().Draw(t, "stays away") {
					return
				}
				m.write(op(), fleet.EntryJoined{Member: fleet.Member{Name: name, Incarnation: name}})
			},
			"move": func(t *rapid.T) {
				vm := m.anyVM(t)
				from := rapid.SampledFrom([]string{m.state.VMs[vm].Pool, "pool-0"}).Draw(t, "from")
				m.write(op(), fleet.MoveStarted{VM: vm, From: from, To: m.anyPool(t)})
			},
			"moved": func(t *rapid.T) {
				vm := m.anyVM(t)
				m.write(op(), fleet.MoveFinished{VM: vm, By: m.fence(t, vm)})
			},
			"wave": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "start") {
					m.write(op(), fleet.WaveStarted{Wave: "w"})
				} else {
					m.write(op(), fleet.WavePauseAsked{Wave: "w"})
				}
			},
			"maintain": func(t *rapid.T) {
				vm := m.anyVM(t)
				m.write(op(), fleet.WaveStarted{Wave: "w"})
				m.write(op(), fleet.MaintenanceStarted{VM: vm, Wave: "w", By: m.fence(t, vm)})
			},
			"maintained": func(t *rapid.T) {
				vm := m.anyVM(t)
				m.write(op(), fleet.MaintenanceFinished{VM: vm, By: m.fence(t, vm)})
			},
			"failed": func(t *rapid.T) {
				vm := m.anyVM(t)
				m.write(op(), fleet.MaintenanceFailed{VM: vm, Reason: "gone", By: m.fence(t, vm)})
			},
			"release": func(t *rapid.T) {
				m.releaseNumber++
				note := fleet.Note{Release: fmt.Sprintf("r%d", m.releaseNumber), BasedOn: m.state.Release}
				if rapid.Bool().Draw(t, "old base") {
					note.BasedOn = "r0"
				}
				if rapid.Bool().Draw(t, "withdraw") {
					note.Withdrawn.VMs = []string{m.anyVM(t)}
				}
				if rapid.Bool().Draw(t, "change") {
					pool := m.anyPool(t)
					svc := fleet.Service{Name: "svc-" + pool, Pool: pool, TimeoutMs: 1000, MinServing: rapid.IntRange(0, 4).Draw(t, "budget")}
					note.Changed.Services = []fleet.Service{svc}
				}
				m.write(op(), fleet.ReleasePublished{Note: note})
			},
			"again": func(t *rapid.T) {
				old := m.log[rapid.IntRange(0, len(m.log)-1).Draw(t, "record")]
				old.Offset = m.state.Next
				assert.Assert(t, !m.state.Fold(old).Applied, "a duplicate record was applied")
				m.restored.Fold(old)
			},
			"snapshot": func(t *rapid.T) {
				data, err := m.restored.Snapshot()
				assert.NilError(t, err)
				m.restored, err = fleet.Restore(data)
				assert.NilError(t, err)
			},
		})
	})
}

// TestUndecodableRecordsAreSkipped guards against an entry that stops at, or does not
// advance past, a record that it cannot decode, such as one of a later version.
func TestUndecodableRecordsAreSkipped(t *testing.T) {
	tests := []struct{ name, data string }{
		{"no JSON", "{"},
		{"unknown kind", `{"kind":"later-version","body":{}}`},
		{"wrong body", `{"kind":"wave-started","body":[]}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := fleet.NewState()
			outcome := s.Fold(fleet.LogRecord{Offset: 7, OperationID: tt.name, Data: tt.data})
			assert.Assert(t, !outcome.Applied && outcome.Reason != "")
			assert.Equal(t, s.Next, int64(8))
		})
	}
}

// TestInvalidNoteChangesNothing guards against a rejected note that is applied in part.
func TestInvalidNoteChangesNothing(t *testing.T) {
	base := func() *fleet.State {
		s := fleet.NewState()
		assert.NilError(t, s.Apply(0, fleet.ReleasePublished{Note: firstNote(9)}))
		return s
	}
	svc := func(n int) []fleet.Service {
		return []fleet.Service{{Name: "svc-pool-0", Pool: "pool-0", TimeoutMs: 1000, MinServing: n}}
	}
	vm := fleet.VM{Name: "new", Pool: "pool-0", Address: "127.0.0.1:9", Slots: 8, Connections: 64}
	tests := []struct {
		name   string
		change func(n *fleet.Note)
		want   string
	}{
		{"base", func(n *fleet.Note) { n.BasedOn = "other" }, `/based-on: based on release "other", but "r0" is in force`},
		{"budget", func(n *fleet.Note) { n.Changed.Services = svc(4) }, "/changed/services/0/min-serving: the budget of service"},
		{"timeout", func(n *fleet.Note) {
			n.Changed.Services = []fleet.Service{{Name: "svc-pool-0", Pool: "pool-0"}}
		}, "/changed/services/0/timeout-ms: 0 ms, allowed are 1 to 60000"},
		{"pool", func(n *fleet.Note) {
			v := vm
			v.Pool = "absent"
			n.Added.VMs = []fleet.VM{v}
		}, `/added/vms/0/pool: VM "new" is in pool "absent", which does not exist`},
		{"VM in two pools", func(n *fleet.Note) {
			v := vm
			v.Name = "vm-1"
			n.Added.VMs = []fleet.VM{v}
		}, `/added/vms/0/name: "vm-1" is added but exists already`},
		{"move by note", func(n *fleet.Note) {
			v := vm
			v.Name = "vm-1"
			n.Changed.VMs = []fleet.VM{v}
		}, "/changed/vms/0/pool: VM \"vm-1\" is in pool \"pool-1\"; a VM changes its pool by a move"},
		{"address", func(n *fleet.Note) {
			v := vm
			v.Address = "host:80"
			n.Added.VMs = []fleet.VM{v}
		}, "/added/vms/0/address: address \"host:80\""},
		{"same address", func(n *fleet.Note) {
			v := vm
			v.Address = "127.0.0.1:1000"
			n.Added.VMs = []fleet.VM{v}
		}, "have the same address"},
		{"pool in use", func(n *fleet.Note) { n.Withdrawn.Pools = []string{"pool-0"} }, "which does not exist"},
		{"VMs that a budget needs", func(n *fleet.Note) { n.Withdrawn.VMs = []string{"vm-2", "vm-5"} }, "/withdrawn: the budget of service"},
		{"older system without address", func(n *fleet.Note) {
			n.Added.Services = []fleet.Service{{Name: "s", TimeoutMs: 1, HeldBy: fleet.OlderSystem}}
		}, "/added/services/0/held-by"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := base()
			before, _ := s.Snapshot()
			n := fleet.Note{Release: "r1", BasedOn: "r0"}
			tt.change(&n)
			assert.ErrorContains(t, s.Apply(9, fleet.ReleasePublished{Note: n}), tt.want)
			after, _ := s.Snapshot()
			assert.Equal(t, string(before), string(after))
		})
	}
}

// TestJoinKeepsMemberAtOtherAddress guards against replacing a member that may be alive.
// A process that listens on a member's address proves that the earlier process has
// ended; a process at another address that uses the same name does not.
func TestJoinKeepsMemberAtOtherAddress(t *testing.T) {
	s := fleet.NewState()
	join := func(incarnation, address string) error {
		m := fleet.Member{Name: "entry-1", Incarnation: incarnation, Address: address}
		return s.Apply(s.View+1, fleet.EntryJoined{Member: m})
	}
	assert.NilError(t, join("a", "10.1.0.1:8200"))
	assert.NilError(t, join("b", "10.1.0.1:8200"))
	assert.ErrorContains(t, join("c", "10.1.0.2:8200"), `entry "entry-1" is a member at 10.1.0.1:8200`)
	assert.Equal(t, s.Members["entry-1"].Incarnation, "b")
	assert.NilError(t, s.Apply(9, fleet.EntryRetired{Name: "entry-1"}))
	assert.NilError(t, join("c", "10.1.0.2:8200"))
}
