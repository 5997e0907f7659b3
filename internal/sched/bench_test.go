package sched

import (
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// BenchmarkDecide measures a scheduling round in a pool of busy VMs with a queue that takes
// the VMs two seconds.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{50, 350, 5000, 27000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchDecide(b, n) })
	}
}

func benchDecide(b *testing.B, n int) {
	const tasksPerVM = 10
	s := New(1, testPolicy(), quietLog())
	var vms []site.VM
	for i := range n {
		v := testVM(fmt.Sprintf("vm-%05d", i))
		v.CPU, v.MemMB = tasksPerVM*1000, 100_000
		vms = append(vms, v)
	}
	s.SetVMs(at(0), vms)
	for _, v := range vms {
		s.HandlePoll(at(0), v.ID, at(0), &site.VMStatus{Born: 1, ClockMS: 1000})
	}
	flushAll(b, s)
	for i := range n {
		j := testJob(fmt.Sprintf("%016x", i), jobs.Step{Count: 2 * tasksPerVM, CPU: 1000, MemMB: 1000, EstimateMS: 1000})
		s.Submit(at(0), j)
	}
	flushAll(b, s)
	started := s.Decide(at(10))
	for _, a := range started {
		if x, ok := a.(StartRun); ok {
			s.HandleStart(at(10), &x, site.Accepted, nil)
		}
	}
	b.ResetTimer()
	for range b.N {
		s.Decide(at(20))
	}
	b.ReportMetric(float64(len(started)), "starts-first-round")
}

// BenchmarkCopies measures the search for stragglers in a pool whose VMs are all in use by steps that
// allow copies; a round in 50 ms contains it.
func BenchmarkCopies(b *testing.B) {
	for _, n := range []int{350, 5000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			s := New(1, testPolicy(), quietLog())
			var vms []site.VM
			for i := range n {
				vms = append(vms, testVM(fmt.Sprintf("vm-%05d", i)))
			}
			s.SetVMs(at(0), vms)
			for _, v := range vms {
				s.HandlePoll(at(0), v.ID, at(0), &site.VMStatus{Born: 1, ClockMS: 1000})
			}
			flushAll(b, s)
			for i := range n {
				j := testJob(fmt.Sprintf("%016x", i), jobs.Step{Count: 7, CPU: 1000, EstimateMS: 1000, Copies: true})
				j.Stretch = 100
				s.Submit(at(0), j)
			}
			flushAll(b, s)
			for _, a := range s.Decide(at(10)) {
				if x, ok := a.(StartRun); ok {
					s.HandleStart(at(10), &x, site.Accepted, nil)
				}
			}
			for i := range 100 {
				s.queue("q").tasks.Add([]float64{1, 7}[i/95])
			}
			b.ResetTimer()
			for range b.N {
				s.pool("pool").copiesAt = at(0)
				s.Decide(at(1200)) // all runs are older than usual, and all jobs in time
			}
		})
	}
}

func flushAll(b *testing.B, s *Scheduler) {
	for {
		f, err := s.Flush(at(0), 1<<30)
		assert.NilError(b, err)
		if f == nil {
			return
		}
		s.Flushed(f)
	}
}
