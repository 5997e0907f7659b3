package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

var testStart = time.Unix(1_000_000, 0)

func newPool(n int, perWorker int64) *Pool {
	p := &Pool{Name: "p", ConnsPerWorker: perWorker}
	for i := range n {
		p.Workers = append(p.Workers, NewWorker(fmt.Sprintf("vm-%d", i), ""))
	}
	return p
}

// TestEntriesTogetherSpreadEvenly guards against entries that, without knowing each
// other's load, together overload a worker. Nine entries have equal shares of 80 slots,
// which are nine slots each after rounding up. Each entry sends nine requests to a pool of
// ten workers.
func TestEntriesTogetherSpreadEvenly(t *testing.T) {
	total := map[string]int64{}
	for range 9 {
		p := newPool(10, 6)
		for range 9 {
			w := p.Choose(testStart, nil)
			assert.Equal(t, w.InFlight(), int64(1), "a worker got a second request before each worker had one")
			total[w.Name]++
		}
	}
	for name, n := range total {
		assert.Assert(t, n <= 9, "%s has %d requests", name, n)
	}
}

// TestFailingWorkerGetsFewRequests guards against a worker that attracts requests by
// failing them at once, which makes it the least loaded.
func TestFailingWorkerGetsFewRequests(t *testing.T) {
	p := newPool(10, 6)
	bad := p.Workers[3]
	now := testStart
	var busy []*Worker
	failures := 0
	for range 5000 {
		now = now.Add(time.Millisecond)
		w := p.Choose(now, nil)
		assert.Assert(t, w != nil)
		if w == bad {
			failures++
			w.End(now, false, time.Millisecond)
			continue
		}
		busy = append(busy, w)
		if len(busy) >= 20 {
			busy[0].End(now, true, 20*time.Millisecond)
			busy = busy[1:]
		}
	}
	assert.Assert(t, failures <= 5000/100, "%d of 5000 requests went to the failing worker", failures)
	assert.Assert(t, failures > minSamples, "the failing worker is not tried again after its quarantine")
}

// TestChoose guards against requests to workers that are leaving, at their connection limit
// or down, and against a request that is refused although only workers listed as down
// remain.
func TestChoose(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(p *Pool)
		want  string // "" means none
	}{
		{"leaving workers get no work", func(p *Pool) {
			p.Workers[0].SetPlatformStatus(true, false)
			p.Workers[1].SetPlatformStatus(true, false)
		}, ""},
		{"a worker listed as down is chosen last", func(p *Pool) { p.Workers[0].SetPlatformStatus(false, true) }, "vm-1"},
		{"a worker listed as down is chosen if no other is left", func(p *Pool) {
			p.Workers[0].SetPlatformStatus(false, true)
			p.Workers[1].SetPlatformStatus(true, false)
		}, "vm-0"},
		{"connections are limited", func(p *Pool) {
			for range 2 {
				p.Workers[1].Begin()
			}
		}, "vm-0"},
		{"all connections in use", func(p *Pool) {
			for range 2 {
				p.Workers[0].Begin()
				p.Workers[1].Begin()
			}
		}, ""},
		{"fewer requests in flight", func(p *Pool) { p.Workers[0].Begin() }, "vm-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(2, 2)
			tt.setUp(p)
			got := ""
			if w := p.Choose(testStart, nil); w != nil {
				got = w.Name
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestPoolThatFailsAsAWholeIsNotQuarantined guards against refusing all requests to a pool
// whose workers all fail for a common cause.
func TestPoolThatFailsAsAWholeIsNotQuarantined(t *testing.T) {
	p := newPool(4, 8)
	used := map[string]bool{}
	for range 200 {
		w := p.Choose(testStart, nil)
		w.End(testStart, false, time.Millisecond)
		used[w.Name] = true
	}
	w := p.Choose(testStart, nil)
	assert.Assert(t, w != nil)
	assert.Equal(t, len(used), 4)
}

// TestBuildKeepsConnectionsWithinTheWorkersLimit guards against entries that together open
// more connections than a worker accepts, even while an entry and its replacement run at
// the same time. It also checks that a VM that is moving is out of service.
func TestBuildKeepsConnectionsWithinTheWorkersLimit(t *testing.T) {
	s := fleet.NewState()
	s.Pools["p"] = fleet.Pool{Name: "p"}
	s.VMs["vm"] = fleet.VM{Name: "vm", Pool: "p", Slots: 8, Connections: 64}
	s.VMs["out"] = fleet.VM{Name: "out", Pool: "p", Slots: 8, Connections: 64, Phase: fleet.Moving}
	for _, entries := range []int{1, 7, 8, 9, 63} {
		table, _ := NewRegistry(entries).Build(s)
		p := table.Pools["p"]
		assert.Assert(t, p.ConnsPerWorker*int64(entries+1) <= 64)
		assert.Equal(t, len(p.Workers), 1)
		assert.Equal(t, len(table.OutOfService), 1)
	}
}

// TestChooseAllocatesNothing guards against garbage collection caused by the choice of a
// worker for each request.
func TestChooseAllocatesNothing(t *testing.T) {
	p := newPool(145, 1000)
	n := testing.AllocsPerRun(1000, func() {
		w := p.Choose(testStart, nil)
		w.End(testStart, true, time.Millisecond)
	})
	assert.Equal(t, n, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 145, 1000} {
		b.Run(fmt.Sprintf("workers-%d", n), func(b *testing.B) {
			p := newPool(n, 1<<40)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					p.Choose(testStart, nil).End(testStart, true, time.Millisecond)
				}
			})
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{50, 500, 5000, 27000} {
		b.Run(fmt.Sprintf("vms-%d", n), func(b *testing.B) {
			s := fleet.NewState()
			pools := max(5, n/145)
			for i := range pools {
				name := fmt.Sprintf("pool-%d", i)
				s.Pools[name] = fleet.Pool{Name: name}
			}
			for i := range n {
				name := fmt.Sprintf("vm-%05d", i)
				s.VMs[name] = fleet.VM{Name: name, Pool: fmt.Sprintf("pool-%d", i%pools), Slots: 8, Connections: 64}
			}
			r := NewRegistry(9)
			b.ReportAllocs()
			for b.Loop() {
				r.Build(s)
			}
		})
	}
}
