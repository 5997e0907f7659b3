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

func TestMain(m *testing.M) { fuzz.Main(m, 500, 150) }

const testLimit = time.Minute

// machine is a VM of the fake platform.
type machine struct {
	live    bool
	boots   int
	reboots int // that greengagelane asked for
}

// controller is one entry's memory; it is lost when the entry is replaced.
type controller struct {
	inc      string
	state    *fleet.State // may be behind the log
	list     map[string]ListedVM
	rebooted map[string]Rebooted
	seen     map[string]time.Time
}

// site is the model: a log, a platform, and two controllers that race.
type site struct {
	t           rapid.TB
	now         time.Time
	log         []fleet.LogRecord
	full        *fleet.State
	machines    map[string]*machine
	operations  map[string]Rebooted // the platform's memory of reboots
	controllers []*controller
	drained     map[string]bool
	births      int
	broken      map[string]bool // VMs that never come back
}

func newSite(t rapid.TB) *site {
	s := &site{
		t: t, now: time.Unix(1_000_000, 0), full: fleet.NewState(), machines: map[string]*machine{},
		operations: map[string]Rebooted{}, drained: map[string]bool{}, broken: map[string]bool{},
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
		s.machines[name] = &machine{live: true, boots: 1}
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

func (s *site) write(op string, r fleet.Record) bool {
	data, err := fleet.Encode(r)
	assert.NilError(s.t, err)
	rec := fleet.LogRecord{Offset: s.full.Next, TimeMs: s.now.UnixMilli(), OperationID: op, Data: data}
	s.log = append(s.log, rec)
	return s.full.Fold(rec).Applied
}

// replace starts an entry anew; the earlier one is no member any more.
func (s *site) replace(i int) {
	s.births++
	inc := fmt.Sprintf("e%d-%d", i, s.births)
	s.controllers[i] = &controller{inc: inc, state: fleet.NewState(), list: map[string]ListedVM{}, rebooted: map[string]Rebooted{}, seen: map[string]time.Time{}}
	s.write("join-"+inc, fleet.EntryJoined{Member: fleet.Member{Name: fmt.Sprintf("e%d", i), Incarnation: inc}})
	s.follow(s.controllers[i])
}

func (s *site) follow(c *controller) {
	for _, rec := range s.log[c.state.Next:] {
		c.state.Fold(rec)
	}
}

func (s *site) readList(c *controller) {
	for name, m := range s.machines {
		c.list[name] = ListedVM{Live: m.live, Boots: m.boots}
	}
}

func (s *site) decide(c *controller) []Action {
	return Decide(s.now, Input{
		State: c.state, Self: c.inc, List: c.list, Rebooted: c.rebooted, Limit: testLimit,
		Drained: func(vm string, offset int64) bool { return s.drained[fmt.Sprint(vm, offset)] },
		Seen: func(vm string, offset int64) time.Time {
			key := fmt.Sprint(vm, offset)
			if _, ok := c.seen[key]; !ok {
				c.seen[key] = s.now
			}
			return c.seen[key]
		},
	})
}

// act carries out one action; its answer may be lost after it took effect.
func (s *site) act(c *controller, a Action, lost bool) {
	switch a := a.(type) {
	case Append:
		s.write(a.OperationID, a.Record)
	case Reboot:
		if _, done := s.operations[a.OperationID]; !done {
			s.reboot(a)
		}
		if !lost {
			c.rebooted[a.OperationID] = s.operations[a.OperationID]
		}
	}
}

// reboot is the oracle for P7 and for every VM once.
func (s *site) reboot(a Reboot) {
	vm, m := s.full.VMs[a.VM], s.machines[a.VM]
	m.reboots++
	assert.Assert(s.t, m.reboots == 1, "%s was rebooted twice", a.VM)
	assert.Assert(s.t, vm.Phase == fleet.Maintenance || vm.Phase == fleet.Failed, "%s was rebooted in phase %s", a.VM, vm.Phase)
	assert.Assert(s.t, vm.Phase == fleet.Failed || s.drained[fmt.Sprint(a.VM, vm.Since)], "%s was rebooted with work on it", a.VM)
	s.operations[a.OperationID] = Rebooted{Boots: m.boots}
	m.live = false
}

func (s *site) boot(name string) {
	if m := s.machines[name]; !m.live && !s.broken[name] {
		m.live = true
		m.boots++
	}
}

// check is the oracle for what the wave says it has done.
func (s *site) check(rapid.TB) {
	for name, vm := range s.full.VMs {
		m := s.machines[name]
		if vm.Maintained == "w" {
			assert.Assert(s.t, m.reboots == 1 && m.boots > 1, "%s counts as maintained after %d reboots and %d boots", name, m.reboots, m.boots)
		}
	}
	if w := s.full.Waves["w"]; w.Failed > w.MaxFailures {
		assert.Assert(s.t, w.State == fleet.WaveHalted, "the wave goes on after %d failures", w.Failed)
	}
}

// finish lets all settle and reports how many VMs the wave has been through.
func (s *site) finish() int {
	for range 200 {
		for _, c := range s.controllers {
			s.follow(c)
			s.readList(c)
			for _, a := range s.decide(c) {
				s.act(c, a, false)
				s.follow(c)
			}
		}
		for name, vm := range s.full.VMs {
			s.drained[fmt.Sprint(name, vm.Since)] = true
			s.boot(name)
		}
	}
	done, _ := s.full.WaveProgress("w")
	return done
}

func TestWaveAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t)
		anyOf := func(t *rapid.T) *controller { return s.controllers[rapid.IntRange(0, 1).Draw(t, "controller")] }
		vm := func(t *rapid.T) string { return fmt.Sprintf("vm-%d", rapid.IntRange(0, 5).Draw(t, "vm")) }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { s.check(t) },
			"act": func(t *rapid.T) {
				c := anyOf(t)
				for _, a := range s.decide(c) {
					s.act(c, a, rapid.Bool().Draw(t, "answer lost"))
				}
			},
			"follow":  func(t *rapid.T) { s.follow(anyOf(t)) },
			"list":    func(t *rapid.T) { s.readList(anyOf(t)) },
			"boot":    func(t *rapid.T) { s.boot(vm(t)) },
			"crash":   func(t *rapid.T) { s.machines[vm(t)].live = false },
			"replace": func(t *rapid.T) { s.replace(rapid.IntRange(0, 1).Draw(t, "entry")) },
			"drain": func(*rapid.T) {
				for name, v := range s.full.VMs {
					s.drained[fmt.Sprint(name, v.Since)] = true
				}
			},
			"wait": func(t *rapid.T) { s.now = s.now.Add(time.Duration(rapid.IntRange(1, 70).Draw(t, "s")) * time.Second) },
			"pause": func(*rapid.T) {
				s.write(fmt.Sprint("pause-", s.full.Next), fleet.WavePauseAsked{Wave: "w"})
			},
			"start": func(*rapid.T) { s.write(fmt.Sprint("start-", s.full.Next), fleet.WaveStarted{Wave: "w"}) },
		})
		s.write("last-start", fleet.WaveStarted{Wave: "w"})
		assert.Equal(t, s.finish(), 6, "the wave did not reach every VM: %+v", s.full.Waves["w"])
	})
}

// TestWaveCountsVMsThatAreDownForAnyReason takes no VM while the platform lists
// enough of the pool as down.
func TestWaveCountsVMsThatAreDownForAnyReason(t *testing.T) {
	tests := []struct {
		name string
		down []string
		want int // VMs of pool a that the wave takes; the budget is 2 of 3
	}{
		{"all up", nil, 1},
		{"one down, and it goes first", []string{"vm-0"}, 1},
		{"one down that is not next", []string{"vm-4"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t)
			c := s.controllers[0]
			shard := fleet.ShardOf("a")
			assert.Assert(t, s.write("lease", fleet.LeaseTaken{Shard: shard, Holder: c.inc, Epoch: 1}))
			s.follow(c)
			for _, name := range tt.down {
				s.machines[name].live = false
			}
			s.readList(c)
			n := 0
			for _, a := range s.decide(c) {
				if r, ok := a.(Append); ok {
					if m, ok := r.Record.(fleet.MaintenanceStarted); ok && s.full.VMs[m.VM].Pool == "a" {
						n++
					}
				}
			}
			assert.Equal(t, n, tt.want)
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ vms, every int }{{50, 1}, {500, 1}, {5000, 1}, {27000, 1}, {27000, 9}} {
		n, every := size.vms, size.every
		b.Run(fmt.Sprintf("vms-%d-leases-1-of-%d", n, every), func(b *testing.B) {
			s, pools := fleet.NewState(), max(5, n/145)
			note := fleet.Note{Release: "r"}
			w := fleet.Wave{Name: "w", AtOnce: 100}
			for i := range pools {
				name := fmt.Sprintf("pool-%d", i)
				note.Added.Pools = append(note.Added.Pools, fleet.Pool{Name: name})
				note.Added.Services = append(note.Added.Services, fleet.Service{Name: name, Pool: name, TimeoutMs: 1000})
				w.Pools = append(w.Pools, name)
			}
			for i := range n {
				note.Added.VMs = append(note.Added.VMs, fleet.VM{
					Name: fmt.Sprintf("vm-%05d", i), Pool: fmt.Sprintf("pool-%d", i%pools),
					Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Slots: 8, Connections: 64,
				})
			}
			note.Added.Waves = []fleet.Wave{w}
			assert.NilError(b, s.Apply(1, fleet.ReleasePublished{Note: note}))
			_ = s.Apply(2, fleet.EntryJoined{Member: fleet.Member{Name: "e", Incarnation: "e"}})
			_ = s.Apply(3, fleet.WaveStarted{Wave: "w"})
			for shard := range fleet.ShardCount {
				if shard%every == 0 {
					_ = s.Apply(4, fleet.LeaseTaken{Shard: shard, Holder: "e", Epoch: 1})
				}
			}
			in := Input{State: s, Self: "e", Limit: testLimit, Seen: func(string, int64) time.Time { return time.Time{} }}
			b.ReportAllocs()
			for b.Loop() {
				Decide(time.Unix(0, 0), in)
			}
		})
	}
}

// BenchmarkRebalance plans for all pools.
func BenchmarkRebalance(b *testing.B) {
	for _, n := range []int{50, 27000} {
		b.Run(fmt.Sprintf("vms-%d", n), func(b *testing.B) {
			s, pools := fleet.NewState(), max(5, n/145)
			note := fleet.Note{Release: "r"}
			offered := map[string]float64{}
			for i := range pools {
				name := fmt.Sprintf("pool-%d", i)
				note.Added.Pools = append(note.Added.Pools, fleet.Pool{Name: name, Spare: i == 0})
				offered[name] = 800
			}
			for i := range n {
				note.Added.VMs = append(note.Added.VMs, fleet.VM{
					Name: fmt.Sprintf("vm-%05d", i), Pool: fmt.Sprintf("pool-%d", i%pools),
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
