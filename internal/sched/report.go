package sched

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/internal/quota"
	"github.com/greengagelane/greengagelane/internal/shed"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Report is the load of a pool, for the planner of VM moves and maintenance. Cores and
// core-seconds are counted as equivalentCores does, except in VMReport. Periodic jobs always
// count as within their objective.
type Report struct {
	Pool    string
	Used    float64 // cores of runs that are not long-running
	Lasting float64 // cores of long-running tasks, including those that wait for a VM
	MinVMs  int     // least number of VMs that can hold the long-running tasks
	Waiting float64 // core-seconds of waiting tasks that could start, of jobs within their objective
	Width   float64 // cores that the tasks in Waiting could use at once
	Late    float64 // core-seconds of waiting tasks that could start, of jobs past their objective
	Rate    float64 // offered load in core-seconds per second, including refused jobs
	VMs     []VMReport
	// Offered is the work submitted since this owner took over, including refused jobs, in
	// core-seconds, and OfferedSquares the sum of the squares of the single jobs' work. The planner
	// derives the arrivals between two reports from them.
	Offered        float64
	OfferedSquares float64
	LateUsed       float64 // the part of Used of jobs past their objective
	Excess         float64 // core-seconds of waiting tasks of jobs beyond their account's rate; part of Waiting
	ExcessRate     float64 // the part of Rate of jobs beyond their account's rate
	// Awaited are VMs that may hold runs of an earlier owner, have not answered since the takeover and are not in the
	// VM list: they have ended, or are cut off from the platform.
	Awaited []string
	// Accounts is the load of each client account with jobs in the pool; nil on sites without
	// accounts.
	Accounts map[string]AccountReport
	// Quota is the partition's reply to the quota coordinator; nil unless the call carried a request.
	Quota *quota.Reply
}

// VMReport is the load of one VM.
type VMReport struct {
	ID       string
	Runs     int
	Lasting  int // runs of long-running tasks
	Cordoned bool
	Known    bool   // this owner has polled it successfully
	CPU      int    // thousandths of a core in use
	Capacity int    // thousandths of a core; 0 if not reported
	Unstored bool   // it has reported ends of runs that the job log does not hold yet; they would be lost with it
	Unusable string // why it gets no new run; empty if it may get one
	Kept     bool   // it cannot be emptied now: it has a long-running run that may not be stopped
}

// Report returns the load of a pool.
func (s *Scheduler) Report(now time.Time, pool string) *Report {
	r := &Report{Pool: pool, Rate: s.pool(pool).offeredLoad.rate(now), Accounts: s.accountReports(now, pool)}
	total := s.pool(pool).offeredLoad.total
	r.Offered, r.OfferedSquares = total.sum, total.sumSquares
	r.ExcessRate = min(s.pool(pool).offeredBeyondRate.rate(now), r.Rate)
	largest := s.largestVM(pool)
	late := map[*job]bool{} // by job with runs: whether it is past its objective
	for _, v := range s.sortedVMs(pool) {
		u := VMReport{ID: v.ID, Runs: len(v.runs), Capacity: v.CPU, Cordoned: v.cordoned, Known: v.polled, Unstored: v.seenSeq > v.storedSeq, Unusable: v.unusableReason(now, &s.policy)}
		for _, x := range v.runList {
			u.CPU += x.step().CPU
			if x.step().Lasts {
				u.Lasting++
				u.Kept = u.Kept || s.isKept(now, x)
			} else {
				cores := largest.equivalentCores(x.step())
				r.Used += cores
				j := x.task.job
				isLate, known := late[j]
				if !known {
					isLate = s.class(now, j) != shed.InTime
					late[j] = isLate
				}
				if isLate {
					r.LateUsed += cores
				}
			}
		}
		r.VMs = append(r.VMs, u)
	}
	r.Awaited = s.awaitedVMs(pool)
	var longRunning []*jobs.Step
	for _, j := range s.live {
		if j.Pool != pool || j.state.Final() {
			continue
		}
		for i := range j.Steps {
			if st := &j.Steps[i]; st.Lasts {
				longRunning = append(longRunning, st)
				r.Lasting += float64(st.Count) * largest.equivalentCores(st)
			}
		}
		s.addDemand(j, largest, r, s.class(now, j) == shed.InTime)
	}
	r.MinVMs = largest.packCount(longRunning)
	if waits := s.pool(pool).trialsWait; !waits.IsZero() && now.Sub(waits) < trialPatience {
		r.MinVMs++ // for a suspect
	}
	if s.pool(pool).lack.needsVM(now) {
		r.MinVMs = max(r.MinVMs, len(r.VMs)+1) // their room is split among tasks that stay where they are
	}
	return r
}

func (s *Scheduler) addDemand(j *job, largest resources, r *Report, withinObjective bool) {
	for _, o := range j.open {
		for _, st := range o.steps {
			if st.Lasts || !o.stepReady(st) {
				continue
			}
			cores := float64(st.withoutRun) * largest.equivalentCores(st.Step)
			work := cores * float64(st.EstimateMS) / 1000 * s.pool(j.Pool).workRatio
			if !withinObjective {
				r.Late += work
				continue
			}
			r.Width += cores
			r.Waiting += work
			if j.beyondRate {
				r.Excess += work
			}
		}
	}
}

// largestVM returns the capacity of a pool's largest VM so far. It is kept when the pool
// has no VMs.
func (s *Scheduler) largestVM(pool string) resources {
	return s.pool(pool).largestVM
}

// recordSize records the capacity of a VM in that of its pool's largest VM.
func (s *Scheduler) recordSize(v *site.VM) {
	p := s.pool(v.Pool)
	p.largestVM = resources{cpu: max(p.largestVM.cpu, v.CPU), mem: max(p.largestVM.mem, v.MemMB), gpu: max(p.largestVM.gpu, v.GPU)}
}

// equivalentCores returns the size of a task in cores of a VM with capacity r, by the
// resource of which it needs the largest share: a task with a quarter of the VM's memory
// counts as a quarter of its cores.
func (r resources) equivalentCores(st *jobs.Step) float64 {
	cpu := float64(st.CPU)
	if st.Fills {
		cpu = 0
	}
	if r.mem > 0 {
		cpu = max(cpu, float64(st.MemMB)/float64(r.mem)*float64(r.cpu))
	}
	if r.gpu > 0 {
		cpu = max(cpu, float64(st.GPU)/float64(r.gpu)*float64(r.cpu))
	}
	return cpu / 1000
}

// packCount returns how many VMs with capacity r hold all tasks of the steps, packed
// first-fit with the largest tasks first. Tasks too large for such a VM are ignored.
func (r resources) packCount(steps []*jobs.Step) int {
	sort.SliceStable(steps, func(i, k int) bool { return r.equivalentCores(steps[i]) > r.equivalentCores(steps[k]) })
	var free []resources
	for _, st := range steps {
		remaining := st.Count
		for i := 0; remaining > 0; i++ {
			if i == len(free) {
				free = append(free, r)
			}
			n := free[i].allocateUpTo(st, remaining)
			remaining -= n
			if n == 0 && free[i] == r { // too large for any VM of the pool
				free = free[:i]
				break
			}
		}
	}
	return len(free)
}

// allocateUpTo subtracts up to n tasks of a step and returns how many fit.
func (r *resources) allocateUpTo(st *jobs.Step, n int) int {
	if st.PerVM > 0 {
		n = min(n, st.PerVM)
	}
	placed := 0
	for placed < n && r.cpu >= st.CPU && r.mem >= st.MemMB && r.gpu >= st.GPU {
		r.cpu -= st.CPU
		r.mem -= st.MemMB
		r.gpu -= st.GPU
		placed++
	}
	return placed
}

// Cordon keeps new runs off the given VMs of a pool and uncordons its other VMs.
func (s *Scheduler) Cordon(now time.Time, pool string, ids []string) {
	s.pool(pool).cordonsAt = now
	set := map[string]bool{}
	for _, id := range ids {
		set[id] = true
	}
	for _, v := range s.vms {
		if v.Pool == pool {
			if set[v.ID] && !v.cordoned {
				v.cordonedAt = now
			}
			v.cordoned = set[v.ID]
		}
	}
}

// ExpireCordons uncordons the VMs of pools whose cordons were not renewed within the given time.
func (s *Scheduler) ExpireCordons(now time.Time, ttl time.Duration) {
	for _, v := range s.vms {
		if v.cordoned && now.Sub(s.pool(v.Pool).cordonsAt) > ttl {
			v.cordoned = false
		}
	}
}
