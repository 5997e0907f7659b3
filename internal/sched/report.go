package sched

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// Report is what the planner of moves and maintenance learns of a pool.
type Report struct {
	Pool    string
	Used    float64 // cores of runs that do not last
	Lasting float64 // cores of tasks that last, with those that wait for a VM
	MinVMs  int     // VMs that the tasks that last need at least, by their spread
	Waiting float64 // core-seconds of tasks that could start and are still in time
	Width   float64 // cores that these tasks could use at once
	Late    float64 // core-seconds of tasks that could start, of jobs past their objective
	Rate    float64 // core-seconds that callers offer a second, with what is refused
	VMs     []VMReport
}

// VMReport is the use of one VM.
type VMReport struct {
	ID       string
	Runs     int
	Lasting  int // runs of tasks that last
	Cordoned bool
	Known    bool // it has been looked at
	CPU      int  // thousandths of a core in use
}

// Report sums up a pool. Cores stand for the resource of which a task needs the
// largest share of a VM: a task with a quarter of a VM's memory counts as a quarter of
// its cores.
func (s *Scheduler) Report(now time.Time, pool string) *Report {
	r := &Report{Pool: pool, Rate: s.pool(pool).offeredLoad.rate(now)}
	shape := s.largestVM(pool)
	for _, v := range s.sortedVMs(pool) {
		u := VMReport{ID: v.ID, Runs: len(v.runs), Cordoned: v.cordoned, Known: v.polled}
		for _, x := range v.runs {
			u.CPU += x.step().CPU
			if x.step().Lasts {
				u.Lasting++
			} else {
				r.Used += shape.equivalentCores(x.step())
			}
		}
		r.VMs = append(r.VMs, u)
	}
	var lasting []*jobs.Step
	for _, j := range s.jobs {
		if j.Pool != pool || j.state.Final() {
			continue
		}
		for i := range j.Steps {
			if st := &j.Steps[i]; st.Lasts {
				lasting = append(lasting, st)
				r.Lasting += float64(st.Count) * shape.equivalentCores(st)
			}
		}
		s.addDemand(j, shape, r, j.Repeat > 0 || !now.After(j.deadline))
	}
	r.MinVMs = shape.packCount(lasting)
	return r
}

func (s *Scheduler) addDemand(j *job, shape resources, r *Report, inTime bool) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.Lasts || !o.stepReady(st) {
				continue
			}
			cores := float64(st.withoutRun) * shape.equivalentCores(st.Step)
			work := cores * float64(st.EstimateMS) / 1000 * s.pool(j.Pool).workRatio
			if !inTime {
				r.Late += work
				continue
			}
			r.Width += cores
			r.Waiting += work
		}
	}
}

// largestVM returns the size of a pool's largest VM, as last seen.
func (s *Scheduler) largestVM(pool string) resources {
	p := s.pool(pool)
	for _, v := range s.vms {
		if v.Pool == pool {
			p.largestVM = resources{cpu: max(p.largestVM.cpu, v.CPU), mem: max(p.largestVM.mem, v.MemMB), gpu: max(p.largestVM.gpu, v.GPU)}
		}
	}
	return p.largestVM
}

// equivalentCores returns the share of a VM that a task needs, in equivalentCores of that VM.
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

// packCount returns how many VMs of a shape hold all tasks of the steps, the largest first.
func (r resources) packCount(steps []*jobs.Step) int {
	sort.SliceStable(steps, func(i, k int) bool { return r.equivalentCores(steps[i]) > r.equivalentCores(steps[k]) })
	var free []resources
	for _, st := range steps {
		left := st.Count
		for i := 0; left > 0; i++ {
			if i == len(free) {
				free = append(free, r)
			}
			n := free[i].allocate(st, left)
			left -= n
			if n == 0 && free[i] == r { // it fits on no VM of the pool
				free = free[:i]
				break
			}
		}
	}
	return len(free)
}

// allocate places up to n tasks of a step and returns how many fit.
func (r *resources) allocate(st *jobs.Step, n int) int {
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

// Cordon keeps new runs off the given VMs of a pool, and lets them off again that
// are not among them.
func (s *Scheduler) Cordon(pool string, ids []string) {
	set := map[string]bool{}
	for _, id := range ids {
		set[id] = true
	}
	for _, v := range s.vms {
		if v.Pool == pool {
			v.cordoned = set[v.ID]
		}
	}
}

// Uncordon lets all VMs get runs again.
func (s *Scheduler) Uncordon() {
	for _, v := range s.vms {
		v.cordoned = false
	}
}
