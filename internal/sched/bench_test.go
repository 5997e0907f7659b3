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
	s := idlePool(b, n, tasksPerVM*1000, 100_000)
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
			s := idlePool(b, n, 8000, 8000)
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

// idlePool returns a scheduler with idle VMs of the given size.
func idlePool(b *testing.B, n, cpu, memMB int) *Scheduler {
	b.Helper()
	s := New(1, testPolicy(), quietLog())
	var vms []site.VM
	for i := range n {
		v := testVM(fmt.Sprintf("vm-%05d", i))
		v.CPU, v.MemMB = cpu, memMB
		vms = append(vms, v)
	}
	s.SetVMs(at(0), vms)
	for _, v := range vms {
		s.HandlePoll(at(0), v.ID, at(0), &site.VMStatus{Born: 1, ClockMS: 1000})
	}
	flushAll(b, s)
	return s
}

// accountsFixture returns a scheduler with a full pool of 100 VMs of 64 cores, 2,000 waiting jobs and the
// given number of accounts.
func accountsFixture(b *testing.B, accounts int) *Scheduler {
	b.Helper()
	s := idlePool(b, 100, 64_000, 1_000_000)
	var list []site.Account
	for i := range accounts {
		list = append(list, site.Account{Name: fmt.Sprintf("account-%03d", i), Weight: float64(5 + i%50)})
	}
	s.SetAccounts(list)
	for i := range 2100 {
		j := testJob(fmt.Sprintf("%016x", i), jobs.Step{Count: 64, CPU: 1000, MemMB: 1000, EstimateMS: 1000})
		j.TargetMS = 60_000
		if accounts > 0 {
			j.Account = list[i%accounts].Name
		}
		s.Submit(at(0), j)
	}
	flushAll(b, s)
	s.Decide(at(10))
	return s
}

func benchAccounts(b *testing.B, bench func(b *testing.B, s *Scheduler, accounts int)) {
	for _, n := range []int{0, 20, 200, 770} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) { bench(b, accountsFixture(b, n), n) })
	}
}

// BenchmarkSubmit measures the decision on a job, within one measurement of the pool's load.
func BenchmarkSubmit(b *testing.B) {
	benchAccounts(b, func(b *testing.B, s *Scheduler, accounts int) {
		var list []*jobs.Job
		for i := range b.N {
			j := testJob(fmt.Sprintf("%016x", 1_000_000+i), jobs.Step{Count: 8, CPU: 1000, MemMB: 1000, EstimateMS: 1000})
			if accounts > 0 {
				j.Account = fmt.Sprintf("account-%03d", i%accounts)
			}
			list = append(list, j)
		}
		s.Submit(at(20), testJob("fffffffffffffff1", jobs.Step{Count: 8, CPU: 1000, MemMB: 1000, EstimateMS: 1000}))
		b.ReportAllocs()
		b.ResetTimer()
		for _, j := range list {
			s.Submit(at(20), j)
		}
	})
}

// BenchmarkMeasureLoad measures the load of a pool, once in loadTTL while jobs are submitted.
func BenchmarkMeasureLoad(b *testing.B) {
	benchAccounts(b, func(b *testing.B, s *Scheduler, _ int) {
		b.ReportAllocs()
		for range b.N {
			s.pool("pool").loadAt = at(0)
			s.measureLoad(at(30), "pool")
		}
	})
}

// BenchmarkSortJobs measures the order of 2,100 jobs.
func BenchmarkSortJobs(b *testing.B) {
	benchAccounts(b, func(b *testing.B, s *Scheduler, _ int) {
		var list []*job
		for _, j := range s.jobs {
			list = append(list, j)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			s.sortJobs(at(20), list)
		}
	})
}
