package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// idleVM is what admission regards as idle on a VM.
type idleVM struct {
	vm   *vm
	free resources
}

// recordIdle records what a round left idle, without VMs whose cores are all in use. Of the tasks that
// waited in the round, only those beyond the quotas of their accounts could use it.
func (p *pool) recordIdle(now time.Time, round int64, cands []*candidate) {
	p.leftIdle, p.placedRound = p.leftIdle[:0], round
	for _, c := range cands {
		if now.Before(c.vm.lateAckUntil) {
			continue
		}
		free := c.free
		if c.reserved {
			free = free.min(c.spare)
		}
		if free.cpu > 0 {
			p.leftIdle = append(p.leftIdle, idleVM{c.vm, free})
		}
	}
}

// measureIdle sets pool.idle to what the last round left idle, less the tasks of the jobs that no round
// has considered yet and that the quotas of their accounts allow. Resources that came free since are not idle: the next round gives them to the
// tasks that wait.
func (s *Scheduler) measureIdle(now time.Time, name string) {
	p := s.pool(name)
	p.idle = p.idle[:0]
	if p.placedRound == s.round {
		p.idle = append(p.idle, p.leftIdle...)
	} else { // the last round found no jobs in the pool
		for _, v := range s.sortedVMs(name) {
			if v.usable(now, &s.policy) {
				p.idle = append(p.idle, idleVM{v, v.freeResources()})
			}
		}
	}
	if len(p.idle) == 0 {
		return
	}
	for _, j := range s.live {
		if j.Pool == name && !j.state.Final() && j.consideredIn != s.round && s.firstTasksWithinQuota(now, j) {
			p.takeIdle(j)
		}
	}
}

// takeIdle deducts a job's first tasks from the idle VMs and reports whether all of them fit. It ignores
// that a gang may need VMs of one rack, and placement advice.
func (p *pool) takeIdle(j *job) bool {
	all := true
	for i := range j.Steps {
		if st := &j.Steps[i]; len(st.After) == 0 {
			all = takeIdleStep(p.idle, st) && all
		}
	}
	return all
}

// fitsIdle reports whether a job's first tasks fit into the idle VMs, and deducts them only if so.
func (p *pool) fitsIdle(j *job) bool {
	p.idleBefore = append(p.idleBefore[:0], p.idle...)
	if p.takeIdle(j) {
		return true
	}
	p.idle, p.idleBefore = p.idleBefore, p.idle
	return false
}

// takeIdleStep deducts as many of a step's tasks as fit from the idle VMs and reports whether all do.
func takeIdleStep(idle []idleVM, st *jobs.Step) bool {
	left := st.Count
	for i := range idle {
		x := &idle[i]
		if left == 0 {
			break
		}
		if st.Label != "" && !x.vm.Has(st.Label) {
			continue
		}
		for n := 0; left > 0 && (st.PerVM == 0 || n < st.PerVM) && x.free.fits(st); n++ {
			x.free.allocate(st)
			left--
		}
	}
	return left == 0
}
