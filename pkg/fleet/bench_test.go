package fleet_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// vmCounts are the fleet sizes for which the benchmarks run.
var vmCounts = []int{50, 500, 5000, 27000}

// largeState returns a state with one pool per 145 VMs, but at least 5 pools: 186 pools
// for the largest fleet.
func largeState(b testing.TB, vms int) *fleet.State {
	n, pools := fleet.Note{Release: "r"}, max(5, vms/145)
	for i := range pools {
		name := fmt.Sprintf("pool-%d", i)
		n.Added.Pools = append(n.Added.Pools, fleet.Pool{Name: name})
		n.Added.Services = append(n.Added.Services, fleet.Service{Name: name, Pool: name, TimeoutMs: 1000})
	}
	for i := range vms {
		n.Added.VMs = append(n.Added.VMs, fleet.VM{
			Name: fmt.Sprintf("vm-%05d", i), Pool: fmt.Sprintf("pool-%d", i%pools), DataCentre: "dc", Rack: "rack",
			Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Slots: 8, Connections: 64,
		})
	}
	s := fleet.NewState()
	assert.NilError(b, s.Apply(0, fleet.ReleasePublished{Note: n}))
	return s
}

// BenchmarkFold measures folding a MoveStarted record, including its decoding. Only the first
// record is applied. All later ones, with new operation ids, are rejected because the VM is
// already moving.
func BenchmarkFold(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms-%d", n), func(b *testing.B) {
			s := largeState(b, n)
			data, err := fleet.Encode(fleet.MoveStarted{VM: "vm-00000", From: "pool-0", To: "pool-1"})
			assert.NilError(b, err)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Fold(fleet.LogRecord{Offset: int64(i), OperationID: fmt.Sprint(i), Data: data})
			}
		})
	}
}

// BenchmarkRelease measures applying a decoded release note that changes one service.
func BenchmarkRelease(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms-%d", n), func(b *testing.B) {
			s := largeState(b, n)
			for i := 0; b.Loop(); i++ {
				note := fleet.Note{Release: fmt.Sprint(i), BasedOn: s.Release}
				note.Changed.Services = []fleet.Service{{Name: "pool-0", Pool: "pool-0", TimeoutMs: 1 + i%1000}}
				assert.NilError(b, s.Apply(int64(i), fleet.ReleasePublished{Note: note}))
			}
		})
	}
}

// BenchmarkSnapshot measures writing and restoring a snapshot, and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms-%d", n), func(b *testing.B) {
			s := largeState(b, n)
			var data []byte
			for b.Loop() {
				data, _ = s.Snapshot()
				_, _ = fleet.Restore(data)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkMemory reports the heap size of a state.
func BenchmarkMemory(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms-%d", n), func(b *testing.B) {
			for b.Loop() {
				data, _ := largeState(b, n).Snapshot()
				before := heapBytes()
				s, _ := fleet.Restore(data)
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(s)
				runtime.KeepAlive(data)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC() // completes the sweep of the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
