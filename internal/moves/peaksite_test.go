package moves

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// peakSite is a fleet whose pools peak in turn, played with the schedulers and the planner in
// virtual time: VMs of 32 cores, moves of 1.5 s, rounds every 150 ms, and jobs of three steps
// whose declared run times are wrong, with heavy tails.
type peakSite struct {
	now        time.Time
	rng        *rand.Rand
	pools      []*peakPool
	planner    *Planner
	view       View
	vms        map[string]*simVM
	returnAt   map[string]time.Time
	boots      int
	jobs       int
	retries    []peakRetry
	inPools    time.Duration // VM time in pools other than the spare pool
	moveCount  int
	waited     map[string]time.Time // submission of the jobs that have not completed
	waits      []float64            // of completed jobs: seconds beyond the critical path
	onTime     int
	refused    int // for good
	shape      peakShape
	planFaults func(o Order) (site.Refusal, error)
	onRound    func()
}

// peakShape is the shape of a site's jobs: three steps of up to twice as many tasks as given.
type peakShape struct {
	tasks int
	cores int
	task  time.Duration // declared run time
}

// work returns the declared core-seconds of a job with the given number of tasks in a step.
func (s peakShape) work(tasks int) float64 { return 3 * float64(tasks*s.cores) * s.task.Seconds() }

type peakPool struct {
	name  string
	sched *sched.Scheduler
	load  func(s float64) float64 // offered cores by time
	due   float64                 // core-seconds due for submission
}

type peakRetry struct {
	at    time.Time
	pool  *peakPool
	job   *jobs.Job
	tries int
}

func newPeakSite(seed uint64, policy Policy, sizes []int, spare int, loads []func(float64) float64) *peakSite {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.ErrorLevel)
	s := &peakSite{now: start, rng: rand.New(rand.NewPCG(seed, 1)), vms: map[string]*simVM{}, returnAt: map[string]time.Time{}, waited: map[string]time.Time{}, planner: New(policy), shape: smallJobs}
	add := func(pool string, n int) {
		for i := range n {
			s.view.Machines = append(s.view.Machines, site.Machine{Name: fmt.Sprintf("%s%03d", pool, i), Pool: pool, CPU: peakCores * 1000})
		}
	}
	for i, n := range sizes {
		name := string(rune('a' + i))
		s.view.Pools = append(s.view.Pools, site.Pool{Name: name})
		s.pools = append(s.pools, &peakPool{name: name, load: loads[i], sched: sched.New(1, sched.DefaultPolicy(10*time.Second, 400*time.Millisecond, time.Minute), logrus.NewEntry(l))})
		add(name, n)
	}
	s.view.Pools = append(s.view.Pools, site.Pool{Name: "spare", Spare: true})
	add("spare", spare)
	for i := range s.view.Machines {
		s.boot(&s.view.Machines[i])
	}
	return s
}

func (s *peakSite) boot(m *site.Machine) {
	s.boots++
	m.State, m.VM = site.Up, fmt.Sprintf("i-%05d", s.boots)
	if m.Pool != "spare" {
		s.vms[m.VM] = &simVM{machine: m.Name, pool: m.Pool, born: s.now}
	}
}

// play runs the site for the given time.
func (s *peakSite) play(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.step()
	}
}

func (s *peakSite) step() {
	s.now = s.now.Add(peakStep)
	for i := range s.view.Machines {
		m := &s.view.Machines[i]
		if until, moving := s.returnAt[m.Name]; moving && !s.now.Before(until) {
			delete(s.returnAt, m.Name)
			s.boot(m)
		}
		if m.Pool != "spare" {
			s.inPools += peakStep
		}
	}
	s.submitAll()
	for _, p := range s.pools {
		s.runPool(p)
	}
	if s.now.Sub(start)%(3*peakStep) == 0 {
		s.plan()
	}
}

// submitAll submits the jobs that are due, and the retries of refused ones.
func (s *peakSite) submitAll() {
	for _, p := range s.pools {
		p.due += p.load(s.now.Sub(start).Seconds()) * peakStep.Seconds()
		for p.due > 0 {
			tasks := 1 + s.rng.IntN(2*s.shape.tasks-1)
			p.due -= s.shape.work(tasks)
			s.jobs++
			j := &jobs.Job{ID: fmt.Sprintf("%016x", s.jobs), Queue: p.name, Pool: p.name, Spec: "x", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600, SubmittedMS: s.now.UnixMilli()}
			for k := range 3 {
				st := jobs.Step{Count: tasks, CPU: 1000 * s.shape.cores, MemMB: 10, EstimateMS: s.shape.task.Milliseconds()}
				if k > 0 {
					st.After = []int{k - 1}
				}
				j.Steps = append(j.Steps, st)
			}
			s.submit(p, j, 0)
		}
	}
	due := s.retries
	s.retries = nil
	for _, r := range due {
		if s.now.Before(r.at) {
			s.retries = append(s.retries, r)
		} else {
			s.submit(r.pool, r.job, r.tries)
		}
	}
}

func (s *peakSite) submit(p *peakPool, j *jobs.Job, tries int) {
	if _, known := s.waited[j.ID]; !known {
		s.waited[j.ID] = s.now
	}
	a := p.sched.Submit(s.now, j)
	switch {
	case a.Accepted:
	case tries == peakTries || s.now.Add(a.RetryAfter).Sub(s.waited[j.ID]) > peakMaxAge:
		s.refused++
		delete(s.waited, j.ID)
	default:
		s.retries = append(s.retries, peakRetry{at: s.now.Add(max(a.RetryAfter, peakStep)), pool: p, job: j, tries: tries + 1})
	}
}

func (s *peakSite) runPool(p *peakPool) {
	var list []site.VM
	var ids []string
	for id, v := range s.vms {
		if v.pool == p.name {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		list = append(list, site.VM{ID: id, Born: s.vms[id].born.UnixMilli(), Pool: p.name, Address: id, CPU: peakCores * 1000, MemMB: 100_000, Labels: []string{"r1-1"}})
	}
	p.sched.SetVMs(s.now, list)
	for _, id := range ids {
		s.vms[id].poll(s.now, p.sched, id, func(*simRun) int { return int(s.now.Sub(start)/time.Second) % 100 })
	}
	for _, a := range p.sched.Decide(s.now) {
		switch a := a.(type) {
		case sched.StartRun:
			s.vms[a.VM].runs = append(s.vms[a.VM].runs, simRun{start: a, end: s.now.Add(s.runTime(a.Order.Task))})
			p.sched.HandleStart(s.now, &a, site.Accepted, nil)
		case sched.StopRun:
			p.sched.HandleStop(s.now, &a, site.Accepted, nil)
		}
	}
	if f, err := p.sched.Flush(s.now, 1<<24); err == nil && f != nil {
		p.sched.Flushed(f)
	}
	for id, from := range s.waited {
		state, ok := p.sched.JobState(id)
		if !ok || !state.Final() {
			continue
		}
		took := s.now.Sub(from)
		if state == jobs.Completed {
			s.waits = append(s.waits, math.Max(took.Seconds()-3*s.shape.task.Seconds(), 0))
			if took <= 3*s.shape.task*16/10+600*time.Millisecond {
				s.onTime++
			}
		}
		delete(s.waited, id)
	}
}

// runTime returns the actual run time of a task, which is the same with any planner: declared ones are
// wrong by 0.15, and 3 of 1,000, or 7 of 100 small jobs, run 7 times as long.
func (s *peakSite) runTime(task string) time.Duration {
	h := fnv.New64a()
	_, _ = io.WriteString(h, task)
	rng := rand.New(rand.NewPCG(h.Sum64(), 3))
	t := float64(s.shape.task) * (0.85 + 0.3*rng.Float64())
	if rng.IntN(1000) < 3 {
		t *= 7
	}
	return time.Duration(t)
}

func (s *peakSite) plan() {
	s.view.Reports, s.view.ReadStart = map[string]*sched.Report{}, s.now
	for _, p := range s.pools {
		p.sched.Cordon(s.now, p.name, s.planner.Cordons(&s.view, p.name))
		p.sched.SetArrivals(s.now, p.name, s.planner.Arrivals(s.now, &s.view, p.name))
		s.view.Reports[p.name] = p.sched.Report(s.now, p.name)
	}
	for _, o := range s.planner.Plan(s.now, &s.view) {
		refusal, err := site.Accepted, error(nil)
		if s.planFaults != nil {
			refusal, err = s.planFaults(o)
		}
		if refusal == site.Accepted && err == nil {
			s.applyMove(o)
		}
		s.planner.HandleReply(s.now, o, refusal, err)
	}
	if s.onRound != nil {
		s.onRound()
	}
}

func (s *peakSite) applyMove(o Order) {
	for i := range s.view.Machines {
		if m := &s.view.Machines[i]; m.Name == o.Machine {
			delete(s.vms, m.VM)
			m.Pool, m.State, m.VM = o.Pool, site.Moving, ""
			s.returnAt[m.Name] = s.now.Add(moveDuration)
			s.moveCount++
		}
	}
}

// meanWait returns the mean time in seconds that jobs took beyond their critical paths.
func (s *peakSite) meanWait() float64 {
	sum := 0.0
	for _, w := range s.waits {
		sum += w
	}
	return sum / math.Max(float64(len(s.waits)), 1)
}

func (s *peakSite) String() string {
	return fmt.Sprintf("%d jobs, %d on time (%.3f), %d refused, mean wait %.2f s, %.0f VM-seconds in pools, %d moves", s.jobs, s.onTime, float64(s.onTime)/float64(s.jobs), s.refused, s.meanWait(), s.inPools.Seconds(), s.moveCount)
}
