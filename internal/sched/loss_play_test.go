package sched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// lossPlay plays a deadly task and innocent ones on VMs of two racks, with lost orders and answers, racks that go dark,
// VMs that are cut off, and owners that are killed.
type lossPlay struct {
	*fixture
	rnd      *rand.Rand
	ms       int
	lost     float64 // share of the calls that are not carried out, and of the answers that are lost
	kills    int     // kills of the owner that are left, each shortly after a crash
	vms      map[string]*playVM
	lives    int64
	began    map[string]int // runs that a VM has begun, by task
	crashed  map[string]int // of these, runs under which a VM has crashed
	later    map[int][]func()
	log      []string
	panicked string
}

type playVM struct {
	site.VM
	up     bool
	cutOff int // until then it gets no calls
	runs   map[string]int64
}

func (p *lossPlay) chance(x float64) bool { return p.rnd.Float64() < x }

func (p *lossPlay) after(ms int, f func()) {
	at := p.ms + max(10, ms/10*10)
	p.later[at] = append(p.later[at], f)
}

func (p *lossPlay) note(format string, args ...any) {
	p.log = append(p.log, fmt.Sprintf("%d ", p.ms)+fmt.Sprintf(format, args...))
}

func (p *lossPlay) boot(id, rack string) {
	p.lives++
	v := testVM(id)
	v.Born, v.Labels = p.lives, []string{"a", rack}
	p.vms[id] = &playVM{VM: v, up: true, runs: map[string]int64{}}
}

func (p *lossPlay) list() {
	var list []site.VM
	for _, id := range slices.Sorted(maps.Keys(p.vms)) {
		if p.vms[id].up {
			list = append(list, p.vms[id].VM)
		}
	}
	p.s.SetVMs(at(p.ms), list)
}

// crash ends a VM. The inventory shows that after a while. Another one replaces it.
func (p *lossPlay) crash(id, why string) {
	v := p.vms[id]
	if v == nil || !v.up {
		return
	}
	p.note("%s crashes (%s) with %v", id, why, v.runs)
	v.up = false
	for task := range v.runs {
		p.crashed[task]++
	}
	if p.kills > 0 && p.chance(0.3) {
		p.kills--
		p.after(p.rnd.IntN(300), p.kill)
	}
	if p.chance(0.8) {
		p.after(50+p.rnd.IntN(1500), func() {
			if x := p.s.vms[id]; x != nil && x.Born == v.Born {
				p.s.EndVM(at(p.ms), site.Incarnation{VM: id, Born: v.Born})
			}
		})
	}
	p.after(3000, func() {
		if p.chance(0.5) {
			p.boot(id, v.Labels[1])
		} else {
			delete(p.vms, id)
			p.boot(fmt.Sprintf("%s-%d", id[:3], p.lives), v.Labels[1])
		}
	})
}

func (p *lossPlay) kill() {
	p.note("owner is killed")
	p.takeover(p.ms)
	p.list()
}

func (p *lossPlay) reached(v *playVM) bool {
	return v != nil && v.up && p.ms >= v.cutOff && !p.chance(p.lost)
}

// order carries an order out, with its repeats.
func (p *lossPlay) order(x StartRun, s *Scheduler, deadly bool) {
	id := x.VM
	v := p.vms[id]
	if v == nil || v.Born != s.vms[id].Born {
		v = nil
	}
	task := x.Order.Task
	for n := range 4 {
		n := n
		begin := func() {
			if !p.reached(v) || x.Repeated && n == 0 || !x.Dispatch.Attempt() {
				return
			}
			if v.runs[task] == 0 && p.s == s {
				v.runs[task] = x.Order.Run
				p.began[task]++
				p.note("%s begins run %d of %s", id, x.Order.Run, task)
				if deadly {
					p.after(30+p.rnd.IntN(300), func() { p.crash(id, "deadly") })
				}
			}
			if v.runs[task] == x.Order.Run && !p.chance(p.lost) {
				p.after(10, func() {
					if p.s == s {
						y := x
						y.Repeated = n > 0
						s.HandleStart(at(p.ms), &y, site.Accepted, nil)
					}
				})
			}
		}
		p.after(20+100*n, begin)
	}
	p.after(500, func() {
		if p.s == s {
			y := x
			y.Repeated = true
			s.HandleStart(at(p.ms), &y, site.Accepted, errNoAnswer)
		}
	})
}

func (p *lossPlay) poll(id string) {
	v := p.vms[id]
	x := p.s.vms[id]
	if x == nil {
		return
	}
	if !p.reached(v) || p.chance(p.lost) {
		p.s.HandlePollFailure(at(p.ms), id, errNoAnswer)
		return
	}
	status := site.VMStatus{Born: v.Born, ClockMS: int64(p.ms) + 1000}
	for _, task := range slices.Sorted(maps.Keys(v.runs)) {
		status.Running = append(status.Running, site.Run{Task: task, Run: v.runs[task], Percent: p.ms / 400 % 100})
	}
	p.s.HandlePoll(at(p.ms), id, at(p.ms-10), &status)
}

func playLosses(t *testing.T, seed uint64, lost float64, kills int, racks bool) (p *lossPlay) {
	const (
		vms    = 8
		deadly = "00000000000000dd"
	)
	p = &lossPlay{
		fixture: &fixture{t: t, s: New(1, testPolicy(), quietLog()), jobLog: map[string][]byte{}}, rnd: rand.New(rand.NewPCG(seed, 1)), lost: lost, kills: kills,
		vms: map[string]*playVM{}, began: map[string]int{}, crashed: map[string]int{}, later: map[int][]func(){},
	}
	defer func() {
		if r := recover(); r != nil {
			p.panicked = fmt.Sprint(r)
		}
	}()
	for i := range vms {
		p.boot(fmt.Sprintf("vm%d", i), fmt.Sprintf("r1-%d", i/4))
	}
	p.list()
	for i := range 6 {
		p.submit(0, testJob(fmt.Sprintf("%016x", i+1), jobs.Step{Count: 2, CPU: 1000, EstimateMS: 60_000}))
	}
	p.submit(0, testJob(deadly, onePlainTask()))
	for ; p.ms < 40_000; p.ms += 10 {
		for _, f := range p.later[p.ms] {
			f()
		}
		delete(p.later, p.ms)
		if p.ms%500 == 0 {
			p.list()
		}
		for i, id := range slices.Sorted(maps.Keys(p.vms)) {
			if (p.ms/10+7*i)%40 == 0 {
				p.poll(id)
			}
		}
		if racks && p.ms%4000 == 3990 {
			rack := fmt.Sprintf("r1-%d", p.rnd.IntN(2))
			for _, id := range slices.Sorted(maps.Keys(p.vms)) {
				if v := p.vms[id]; v.Labels[1] == rack && v.up {
					p.crash(id, "rack")
				}
			}
		}
		s := p.s
		for _, a := range s.Decide(at(p.ms)) {
			switch a := a.(type) {
			case StartRun:
				p.order(a, s, a.Task.Job == deadly)
			case PollVM:
				p.after(20, func() { p.poll(a.VM) })
			case StopRun:
				if v := p.vms[a.VM]; p.reached(v) && v.runs[a.Task] == a.Run {
					delete(v.runs, a.Task)
					s.HandleStop(at(p.ms), &a, site.Accepted, nil)
				}
			}
		}
		if p.ms%50 == 0 {
			p.flush(p.ms)
		}
	}
	return p
}

// TestLossPlays guards against innocent jobs that are given up, and against deadly ones that are started without end.
func TestLossPlays(t *testing.T) {
	seeds := 5
	if n, err := strconv.Atoi(os.Getenv("LOSS_PLAYS")); err == nil {
		seeds = n
	}
	for _, lost := range []float64{0, 0.3} {
		for _, kills := range []int{0, 1} {
			for _, racks := range []bool{false, true} {
				most, over, innocent, panics, failedDeadly := 0, []uint64{}, []string{}, []uint64{}, 0
				for seed := range uint64(seeds) {
					p := playLosses(t, seed, lost, kills, racks)
					if p.panicked != "" {
						panics = append(panics, seed)
						continue
					}
					n := p.began["00000000000000dd.0.0.0"]
					most = max(most, n)
					if n > maxStartsOfDeadlyTask {
						over = append(over, seed)
					}
					if state, _ := p.s.JobState("00000000000000dd"); state == jobs.Failed {
						failedDeadly++
					}
					for i := range 6 {
						id := fmt.Sprintf("%016x", i+1)
						state, known := p.s.JobState(id)
						assert.Assert(t, known)
						worst := max(p.crashed[id+".0.0.0"], p.crashed[id+".0.0.1"])
						if state == jobs.Failed && worst < 2 {
							innocent = append(innocent, fmt.Sprintf("seed %d job %d: %d crashes", seed, i+1, worst))
						}
					}
				}
				t.Logf("lost %.1f kills %d racks %t: most starts of the deadly task %d, more than allowed in seeds %v, given up %d of %d; panics in seeds %v; innocent given up: %v", lost, kills, racks, most, over, failedDeadly, seeds, panics, innocent)
				if len(over)+len(panics)+len(innocent) > 0 {
					t.Errorf("a promise is broken in %d plays", len(over)+len(panics)+len(innocent))
				}
			}
		}
	}
}
