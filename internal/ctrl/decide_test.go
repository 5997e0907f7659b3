package ctrl

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/buffer"
	"github.com/greengagelane/greengagelane/internal/fuzz"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// TestMain sets the defaults for rapid: 500 checks per property, with 150 steps on average.
func TestMain(m *testing.M) { fuzz.Main(m, 500, 150) }

const testMaintenanceTimeout = time.Minute

// fakeVM is a VM of the simulated platform.
type fakeVM struct {
	live    bool
	boots   int
	reboots int // reboots that greengagelane requested
}

// controller is the in-memory state of one entry, which is lost when the entry is
// replaced.
type controller struct {
	incarnation   string
	state         *fleet.State // folded from the log; may lag behind it
	vmList        map[string]ListedVM
	rebootResults map[string]RebootResult
	firstSeen     map[string]time.Time
}

// simulation models a log, a platform, and two controllers that race.
type simulation struct {
	t               rapid.TB
	now             time.Time
	log             []fleet.LogRecord
	state           *fleet.State // fold of the whole log
	vms             map[string]*fakeVM
	platformReboots map[string]RebootResult // the platform's results, by operation id
	controllers     []*controller
	drained         map[string]bool // by VM and offset of its phase
	incarnations    int
	neverBoots      map[string]bool // VMs that do not boot after a reboot; no test sets any
}

func newSimulation(t rapid.TB) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_000_000, 0), state: fleet.NewState(), vms: map[string]*fakeVM{},
		platformReboots: map[string]RebootResult{}, drained: map[string]bool{}, neverBoots: map[string]bool{},
	}
	n := fleet.Note{Release: "r"}
	for _, pool := range []string{"a", "b"} {
		n.Added.Pools = append(n.Added.Pools, fleet.Pool{Name: pool})
		n.Added.Services = append(n.Added.Services, fleet.Service{Name: pool, Pool: pool, TimeoutMs: 1, MinServing: 2})
	}
	for i := range 6 {
		name := fmt.Sprintf("vm-%d", i)
		n.Added.VMs = append(n.Added.VMs, fleet.VM{
			Name: name, Pool: []string{"a", "b"}[i%2], Address: fmt.Sprintf("127.0.0.1:%d", 1+i),
			DataCentre: fmt.Sprintf("dc-%d", i/3), Slots: 1, Connections: 1,
		})
		s.vms[name] = &fakeVM{live: true, boots: 1}
	}
	n.Added.Waves = []fleet.Wave{{Name: "w", Pools: []string{"a", "b"}, AtOnce: 2, MaxFailures: 1}}
	s.write("release", fleet.ReleasePublished{Note: n})
	s.write("wave", fleet.WaveStarted{Wave: "w"})
	for i := range 2 {
		s.controllers = append(s.controllers, nil)
		s.replace(i)
	}
	return s
}

// write appends a record to the log and reports whether it was applied.
func (s *simulation) write(op string, r fleet.Record) bool {
	data, err := fleet.Encode(r)
	assert.NilError(s.t, err)
	rec := fleet.LogRecord{Offset: s.state.Next, TimeMs: s.now.UnixMilli(), OperationID: op, Data: data}
	s.log = append(s.log, rec)
	return s.state.Fold(rec).Applied
}

// replace restarts an entry: a new incarnation with empty state joins under the same
// name, which removes the earlier one from the membership.
func (s *simulation) replace(i int) {
	s.incarnations++
	incarnation := fmt.Sprintf("e%d-%d", i, s.incarnations)
	s.controllers[i] = &controller{incarnation: incarnation, state: fleet.NewState(), vmList: map[string]ListedVM{}, rebootResults: map[string]RebootResult{}, firstSeen: map[string]time.Time{}}
	s.write("join-"+incarnation, fleet.EntryJoined{Member: fleet.Member{Name: fmt.Sprintf("e%d", i), Incarnation: incarnation}})
	s.catchUp(s.controllers[i])
}

func (s *simulation) catchUp(c *controller) {
	for _, rec := range s.log[c.state.Next:] {
		c.state.Fold(rec)
	}
}

func (s *simulation) readList(c *controller) {
	for name, fake := range s.vms {
		c.vmList[name] = ListedVM{Live: fake.live, Boots: fake.boots}
	}
}

func (s *simulation) decide(c *controller) []Action {
	return Decide(s.now, Input{
		State: c.state, Self: c.incarnation, VMList: c.vmList, RebootResults: c.rebootResults, MaintenanceTimeout: testMaintenanceTimeout,
		Drained: func(vm string, offset int64) bool { return s.drained[fmt.Sprint(vm, offset)] },
		FirstSeen: func(vm string, offset int64) time.Time {
			key := fmt.Sprint(vm, offset)
			if _, ok := c.firstSeen[key]; !ok {
				c.firstSeen[key] = s.now
			}
			return c.firstSeen[key]
		},
	})
}

// act executes an action. If responseLost is set, a reboot takes effect, but the
// controller does not get the response.
func (s *simulation) act(c *controller, a Action, responseLost bool) {
	switch a := a.(type) {
	case Append:
		s.write(a.OperationID, a.Record)
	case Reboot:
		if _, done := s.platformReboots[a.OperationID]; !done {
			s.reboot(a)
		}
		if !responseLost {
			c.rebootResults[a.OperationID] = s.platformReboots[a.OperationID]
		}
	}
}

// reboot executes a reboot. It checks that each VM is rebooted only once, and either as
// failed or in maintenance after it was drained.
func (s *simulation) reboot(a Reboot) {
	vm, fake := s.state.VMs[a.VM], s.vms[a.VM]
	fake.reboots++
	assert.Assert(s.t, fake.reboots == 1, "%s was rebooted twice", a.VM)
	assert.Assert(s.t, vm.Phase == fleet.Maintenance || vm.Phase == fleet.Failed, "%s was rebooted in phase %s", a.VM, vm.Phase)
	assert.Assert(s.t, vm.Phase == fleet.Failed || s.drained[fmt.Sprint(a.VM, vm.Since)], "%s was rebooted before it was drained", a.VM)
	s.platformReboots[a.OperationID] = RebootResult{Boots: fake.boots}
	fake.live = false
}

func (s *simulation) boot(name string) {
	if fake := s.vms[name]; !fake.live && !s.neverBoots[name] {
		fake.live = true
		fake.boots++
	}
}

// check verifies the recorded progress of the wave against the simulated VMs.
func (s *simulation) check(rapid.TB) {
	for name, vm := range s.state.VMs {
		fake := s.vms[name]
		if vm.Maintained == "w" {
			assert.Assert(s.t, fake.reboots == 1 && fake.boots > 1, "%s counts as maintained after %d reboots and %d boots", name, fake.reboots, fake.boots)
		}
	}
	if w := s.state.Waves["w"]; w.Failed > w.MaxFailures {
		assert.Assert(s.t, w.State == fleet.WaveHalted, "the wave is not halted after %d failures", w.Failed)
	}
}

// finish runs the controllers without faults and returns how many VMs the wave has
// maintained.
func (s *simulation) finish() int {
	for range 200 {
		for _, c := range s.controllers {
			s.catchUp(c)
			s.readList(c)
			for _, a := range s.decide(c) {
				s.act(c, a, false)
				s.catchUp(c)
			}
		}
		for name, vm := range s.state.VMs {
			s.drained[fmt.Sprint(name, vm.Since)] = true
			s.boot(name)
		}
	}
	done, _ := s.state.WaveProgress("w")
	return done
}

// TestWaveMaintainsEachVMOnce guards against VMs that a wave reboots twice, reboots with
// work on them, skips, or records as maintained without a reboot. These come about when
// two controllers race, lag behind the log, are replaced, or lose the response to a
// reboot, while VMs crash and waves are paused and started.
func TestWaveMaintainsEachVMOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		anyController := func(t *rapid.T) *controller { return s.controllers[rapid.IntRange(0, 1).Draw(t, "controller")] }
		vm := func(t *rapid.T) string { return fmt.Sprintf("vm-%d", rapid.IntRange(0, 5).Draw(t, "vm")) }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { s.check(t) },
			"act": func(t *rapid.T) {
				c := anyController(t)
				for _, a := range s.decide(c) {
					s.act(c, a, rapid.Bool().Draw(t, "answer lost"))
				}
			},
			"follow":  func(t *rapid.T) { s.catchUp(anyController(t)) },
			"list":    func(t *rapid.T) { s.readList(anyController(t)) },
			"boot":    func(t *rapid.T) { s.boot(vm(t)) },
			"crash":   func(t *rapid.T) { s.vms[vm(t)].live = false },
			"replace": func(t *rapid.T) { s.replace(rapid.IntRange(0, 1).Draw(t, "entry")) },
			"drain": func(*rapid.T) {
				for name, v := range s.state.VMs {
					s.drained[fmt.Sprint(name, v.Since)] = true
				}
			},
			"wait": func(t *rapid.T) { s.now = s.now.Add(time.Duration(rapid.IntRange(1, 70).Draw(t, "s")) * time.Second) },
			"pause": func(*rapid.T) {
				s.write(fmt.Sprint("pause-", s.state.Next), fleet.WavePauseAsked{Wave: "w"})
			},
			"start": func(*rapid.T) { s.write(fmt.Sprint("start-", s.state.Next), fleet.WaveStarted{Wave: "w"}) },
		})
		s.write("last-start", fleet.WaveStarted{Wave: "w"})
		assert.Equal(t, s.finish(), 6, "the wave did not reach every VM: %+v", s.state.Waves["w"])
	})
}

// TestWaveCountsVMsThatAreDownForAnyReason guards against a wave that takes a pool
// below its minimum of serving VMs, because it does not count VMs that are down for
// another reason than the wave.
func TestWaveCountsVMsThatAreDownForAnyReason(t *testing.T) {
	tests := []struct {
		name string
		down []string
		want int // VMs of pool a whose maintenance starts; at least 2 of its 3 must serve
	}{
		{"all up", nil, 1},
		{"one down, and it goes first", []string{"vm-0"}, 1},
		{"one down that is not next", []string{"vm-4"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(t)
			c := s.controllers[0]
			shard := fleet.ShardOf("a")
			assert.Assert(t, s.write("lease", fleet.LeaseTaken{Shard: shard, Holder: c.incarnation, Epoch: 1}))
			s.catchUp(c)
			for _, name := range tt.down {
				s.vms[name].live = false
			}
			s.readList(c)
			n := 0
			for _, a := range s.decide(c) {
				if r, ok := a.(Append); ok {
					if m, ok := r.Record.(fleet.MaintenanceStarted); ok && s.state.VMs[m.VM].Pool == "a" {
						n++
					}
				}
			}
			assert.Equal(t, n, tt.want)
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	// With leaseEvery n, the entry holds every n-th lease. There are about 145 VMs per
	// pool, but at least 5 pools.
	for _, size := range []struct{ vms, leaseEvery int }{{50, 1}, {500, 1}, {5000, 1}, {27000, 1}, {27000, 9}} {
		n, leaseEvery := size.vms, size.leaseEvery
		b.Run(fmt.Sprintf("vms-%d-leases-1-of-%d", n, leaseEvery), func(b *testing.B) {
			s, poolCount := fleet.NewState(), max(5, n/145)
			note := fleet.Note{Release: "r"}
			w := fleet.Wave{Name: "w", AtOnce: 100}
			for i := range poolCount {
				name := fmt.Sprintf("pool-%d", i)
				note.Added.Pools = append(note.Added.Pools, fleet.Pool{Name: name})
				note.Added.Services = append(note.Added.Services, fleet.Service{Name: name, Pool: name, TimeoutMs: 1000})
				w.Pools = append(w.Pools, name)
			}
			for i := range n {
				note.Added.VMs = append(note.Added.VMs, fleet.VM{
					Name: fmt.Sprintf("vm-%05d", i), Pool: fmt.Sprintf("pool-%d", i%poolCount),
					Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Slots: 8, Connections: 64,
				})
			}
			note.Added.Waves = []fleet.Wave{w}
			assert.NilError(b, s.Apply(1, fleet.ReleasePublished{Note: note}))
			_ = s.Apply(2, fleet.EntryJoined{Member: fleet.Member{Name: "e", Incarnation: "e"}})
			_ = s.Apply(3, fleet.WaveStarted{Wave: "w"})
			for shard := range fleet.ShardCount {
				if shard%leaseEvery == 0 {
					_ = s.Apply(4, fleet.LeaseTaken{Shard: shard, Holder: "e", Epoch: 1})
				}
			}
			in := Input{State: s, Self: "e", MaintenanceTimeout: testMaintenanceTimeout, FirstSeen: func(string, int64) time.Time { return time.Time{} }}
			b.ReportAllocs()
			for b.Loop() {
				Decide(time.Unix(0, 0), in)
			}
		})
	}
}

func BenchmarkRebalance(b *testing.B) {
	for _, n := range []int{50, 27000} {
		b.Run(fmt.Sprintf("vms-%d", n), func(b *testing.B) {
			s, poolCount := fleet.NewState(), max(5, n/145)
			note := fleet.Note{Release: "r"}
			offered := map[string]float64{}
			for i := range poolCount {
				name := fmt.Sprintf("pool-%d", i)
				note.Added.Pools = append(note.Added.Pools, fleet.Pool{Name: name, Spare: i == 0})
				offered[name] = 800
			}
			for i := range n {
				note.Added.VMs = append(note.Added.VMs, fleet.VM{
					Name: fmt.Sprintf("vm-%05d", i), Pool: fmt.Sprintf("pool-%d", i%poolCount),
					Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Slots: 8, Connections: 64,
				})
			}
			assert.NilError(b, s.Apply(1, fleet.ReleasePublished{Note: note}))
			p := buffer.NewPlanner(buffer.Weights{Move: 1e6, IdlePerMin: 1, ShortagePerSec: 1})
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				Rebalance(now, s, "e", p, offered)
			}
		})
	}
}
