package moves

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Parameters of the simulated site, whose pools get bursts of jobs in turn.
const (
	simStep       = 50 * time.Millisecond
	burstDuration = 6 * time.Second
	moveDuration  = 1500 * time.Millisecond
	jobInterval   = 250 * time.Millisecond // during a burst: 4 jobs a second of 16 core-seconds each
	taskDuration  = time.Second
	vmCores       = 8
)

type simRun struct {
	start sched.StartRun
	end   time.Time
}

type simVM struct {
	machine string
	pool    string
	runs    []simRun
	ended   []site.RunEnd
	lastSeq int64
	born    time.Time
}

// simulation runs schedulers and a planner against a simulated fleet in virtual time.
type simulation struct {
	now                time.Time
	schedulers         map[string]*sched.Scheduler
	vms                map[string]*simVM
	planner            *Planner
	view               View
	returnAt           map[string]time.Time // by moving machine: when it is back in service
	incarnations       int
	machineTimeInPools time.Duration        // total time that machines spent in pools other than the spare pool
	deadlines          map[string]time.Time // by ID of the accepted jobs that have not completed
	onTime             int                  // jobs that completed by their deadline
	submitted          int
}

func newSimulation(perPool, spare int, withMoves bool) *simulation {
	l := logrus.New()
	l.SetOutput(io.Discard)
	sim := &simulation{now: start, schedulers: map[string]*sched.Scheduler{}, vms: map[string]*simVM{}, returnAt: map[string]time.Time{}, deadlines: map[string]time.Time{}}
	if withMoves {
		sim.planner = New(DefaultPolicy(moveDuration, 0))
	}
	policy := sched.DefaultPolicy(10*time.Second, 400*time.Millisecond, time.Minute)
	for _, pool := range []string{"a", "b", "c", "spare"} {
		sim.view.Pools = append(sim.view.Pools, site.Pool{Name: pool, Spare: pool == "spare"})
		n := perPool
		if pool == "spare" {
			n = spare
		} else {
			sim.schedulers[pool] = sched.New(1, policy, logrus.NewEntry(l))
		}
		for i := range n {
			m := site.Machine{Name: fmt.Sprintf("%s%d", pool, i), Pool: pool, CPU: vmCores * 1000}
			sim.view.Machines = append(sim.view.Machines, m)
			sim.boot(&sim.view.Machines[len(sim.view.Machines)-1])
		}
	}
	return sim
}

func (sim *simulation) boot(m *site.Machine) {
	sim.incarnations++
	m.State, m.VM = site.Up, fmt.Sprintf("i-%d", sim.incarnations)
	if sim.schedulers[m.Pool] != nil {
		sim.vms[m.VM] = &simVM{machine: m.Name, pool: m.Pool, born: sim.now}
	}
}

// step advances the simulation by one step: it finishes moves, submits jobs, polls the
// VMs, runs the schedulers and plans moves.
func (sim *simulation) step(burstPool string, arrivals int) {
	sim.now = sim.now.Add(simStep)
	for i := range sim.view.Machines {
		m := &sim.view.Machines[i]
		if returnTime, moving := sim.returnAt[m.Name]; moving && !sim.now.Before(returnTime) {
			delete(sim.returnAt, m.Name)
			sim.boot(m)
		}
		if m.Pool != "spare" {
			sim.machineTimeInPools += simStep
		}
	}
	for range arrivals {
		sim.submit(burstPool)
	}
	for pool, s := range sim.schedulers {
		sim.runScheduler(pool, s)
	}
	if sim.planner != nil && sim.now.Sub(start)%(5*simStep) == 0 {
		sim.plan()
	}
}

func (sim *simulation) submit(pool string) {
	sim.submitted++
	j := &jobs.Job{
		ID: fmt.Sprintf("%016x", sim.submitted), Queue: pool, Pool: pool, Spec: "x", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600, SubmittedMS: sim.now.UnixMilli(),
		Steps: []jobs.Step{
			{Count: 8, CPU: 1000, MemMB: 10, EstimateMS: taskDuration.Milliseconds()},
			{Count: 8, CPU: 1000, MemMB: 10, EstimateMS: taskDuration.Milliseconds(), After: []int{0}},
		},
	}
	if sim.schedulers[pool].Submit(sim.now, j).Accepted {
		sim.deadlines[j.ID] = sim.now.Add(j.Objective())
	}
}

func (sim *simulation) runScheduler(pool string, s *sched.Scheduler) {
	var list []site.VM
	for id, v := range sim.vms {
		if v.pool == pool {
			list = append(list, site.VM{ID: id, Born: v.born.UnixMilli(), Pool: pool, Address: id, CPU: vmCores * 1000, MemMB: 10_000, Labels: []string{"r1-1"}})
		}
	}
	s.SetVMs(sim.now, list)
	for id, v := range sim.vms {
		if v.pool == pool {
			v.poll(sim.now, s, id, func(r *simRun) int { return 100 - int(100*r.end.Sub(sim.now)/taskDuration) })
		}
	}
	for _, a := range s.Decide(sim.now) {
		switch a := a.(type) {
		case sched.StartRun:
			v := sim.vms[a.VM]
			v.runs = append(v.runs, simRun{start: a, end: sim.now.Add(taskDuration)})
			s.HandleStart(sim.now, &a, site.Accepted, nil)
		case sched.StopRun:
			s.HandleStop(sim.now, &a, site.Accepted, nil)
		}
	}
	if f, err := s.Flush(sim.now, 1<<20); err == nil && f != nil {
		s.Flushed(f)
	}
	for id, due := range sim.deadlines {
		if state, ok := s.JobState(id); ok && state == jobs.Completed {
			if !sim.now.After(due) {
				sim.onTime++
			}
			delete(sim.deadlines, id)
		}
	}
}

// poll answers a status poll of the VM's scheduler, if one is due. percent is the progress of a run.
func (v *simVM) poll(now time.Time, s *sched.Scheduler, id string, percent func(r *simRun) int) {
	nextPoll, ok := s.NextPoll(now, id, false)
	if !ok {
		return
	}
	for len(v.ended) > 0 && v.ended[0].Sequence <= nextPoll.AckCursor {
		v.ended = v.ended[1:]
	}
	status := &site.VMStatus{Born: v.born.UnixMilli(), ClockMS: 1000 + now.Sub(v.born).Milliseconds()}
	var running []simRun
	for _, r := range v.runs {
		if now.Before(r.end) {
			running = append(running, r)
			status.Running = append(status.Running, site.Run{Task: r.start.Order.Task, Run: r.start.Order.Run, Percent: percent(&r)})
			continue
		}
		v.lastSeq++
		v.ended = append(v.ended, site.RunEnd{Sequence: v.lastSeq, Task: r.start.Order.Task, Run: r.start.Order.Run, How: site.Done})
	}
	v.runs = running
	status.Ended = v.ended
	s.HandlePoll(now, id, now, status)
}

func (sim *simulation) plan() {
	sim.view.Reports = map[string]*sched.Report{}
	sim.view.ReadStart = sim.now
	for pool, s := range sim.schedulers {
		s.Cordon(sim.now, pool, sim.planner.Cordons(&sim.view, pool))
		s.SetArrivals(sim.now, pool, sim.planner.Arrivals(sim.now, &sim.view, pool))
		sim.view.Reports[pool] = s.Report(sim.now, pool)
	}
	for _, o := range sim.planner.Plan(sim.now, &sim.view) {
		for i := range sim.view.Machines {
			if m := &sim.view.Machines[i]; m.Name == o.Machine {
				delete(sim.vms, m.VM)
				m.Pool, m.State, m.VM = o.Pool, site.Moving, ""
				sim.returnAt[m.Name] = sim.now.Add(moveDuration)
			}
		}
		sim.planner.HandleReply(sim.now, o, site.Accepted, nil)
	}
}

// run simulates two bursts of each pool, then 200 steps without arrivals so that the last
// jobs can complete. It returns the share of jobs that met their latency objective.
func (sim *simulation) run() float64 {
	pools := []string{"a", "b", "c"}
	for burst := range 6 {
		for t := time.Duration(0); t < burstDuration; t += simStep {
			arrivals := 0
			if t%jobInterval == 0 {
				arrivals = 1
			}
			sim.step(pools[burst%3], arrivals)
		}
	}
	for range 200 {
		sim.step("a", 0)
	}
	return float64(sim.onTime) / float64(sim.submitted)
}

// TestMovesHelpJobsInBursts guards against moves that come too late or take capacity
// from where it is needed. Each pool in turn gets 64 core-seconds of work a second for
// six seconds, on a fleet of 96 cores with 32 in each pool. With moves there is also a
// spare pool of 32 cores; the time of its machines counts only while they are in another
// pool. More jobs must meet their latency objective, with less machine time per such job,
// than with fixed pools.
func TestMovesHelpJobsInBursts(t *testing.T) {
	fixed := newSimulation(4, 0, false)
	fixedShare := fixed.run()
	moving := newSimulation(4, 0, true)
	for i := range 4 {
		m := site.Machine{Name: fmt.Sprintf("spare%d", i), Pool: "spare", CPU: vmCores * 1000}
		moving.view.Machines = append(moving.view.Machines, m)
		moving.boot(&moving.view.Machines[len(moving.view.Machines)-1])
	}
	movingShare := moving.run()
	t.Logf("jobs on time: %.2f with fixed pools, %.2f with moves; machine-seconds in pools: %.0f and %.0f",
		fixedShare, movingShare, fixed.machineTimeInPools.Seconds(), moving.machineTimeInPools.Seconds())
	const target = 0.62 // share of the jobs' total value that users require to be completed on time; all jobs here have the same value
	assert.Assert(t, movingShare >= target, "share of jobs on time: %.2f", movingShare)
	assert.Assert(t, movingShare > fixedShare)
	perJob := func(sim *simulation) float64 { return sim.machineTimeInPools.Seconds() / float64(sim.onTime) }
	assert.Assert(t, perJob(moving) < perJob(fixed), "more machine time per job on time than with fixed pools")
}
