package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/blame"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// crashWeight is the weight of the work that a crash of a VM is expected to cost, in seconds of the VM's time.
// With one deadly job in 30, a VM whose runs have lasted for 300 ms is as little preferred as an empty one.
const crashWeight = 100

// longRunningPerVM is the preferred maximum of tasks of one long-running step on a VM. With
// more, a VM takes long to drain, and its failure ends many of them.
const longRunningPerVM = 2

// candidate is a VM with the resources that are still free in this round.
type candidate struct {
	vm          *vm
	free        resources
	usedCPU     int     // thousandths of a core in use, including best-effort tasks
	reservation         // for a long-running task
	exposure    float64 // crashLoss per core
	trial       *job    // on trial there, or for which it is emptied; excludes tasks of other jobs
}

// place starts the tasks that are ready, pool by pool.
func (s *Scheduler) place(now time.Time) {
	s.round++
	byPool := map[string][]*job{}
	if s.quotas.limited {
		s.refreshQuotas(now)
	}
	for _, j := range s.live {
		if !j.state.Final() && j.stored && len(j.occurrences) > 0 {
			byPool[j.Pool] = append(byPool[j.Pool], j)
		}
	}
	pools := slices.Sorted(maps.Keys(byPool))
	for i := range pools { // each is the first in turn, since pools compete for the quotas of accounts
		name := pools[(int64(i)+s.round)%int64(len(pools))]
		s.placePool(now, name, byPool[name])
	}
}

func (s *Scheduler) placePool(now time.Time, name string, list []*job) {
	cands := s.candidates(now, name)
	for _, j := range list {
		j.consideredIn = s.round
	}
	p := s.pool(name)
	defer func() { p.recordIdle(now, s.round, cands) }()
	if len(cands) == 0 {
		return
	}
	p.mostlyIdle = isMostlyIdle(cands)
	p.placeCores = 0
	for _, c := range cands {
		p.placeCores += float64(c.vm.CPU) / 1000
	}
	s.sortJobs(now, list)
	unplaced := &unplacedSizes{}
	copies, suspects := false, s.suspectJobs()
	if len(suspects) > 0 {
		s.placeTrials(now, list, cands)
	}
	for _, j := range list {
		copies = copies || j.copies
		for _, o := range j.open {
			for _, st := range o.steps {
				if st.withoutRun > 0 && st.done < st.Count && o.stepReady(st) && (suspects[j] || !unplaced.covers(st.Step)) {
					s.placeStep(now, j, st, cands, unplaced)
				}
			}
		}
	}
	if copies {
		s.placeCopies(now, name, list, cands)
	}
}

// unplacedSizes holds the sizes of tasks that fitted on no VM in this round. Tasks at least
// as large are skipped, which keeps a round cheap with a long queue and a full pool.
type unplacedSizes struct{ sizes []resources }

func (u *unplacedSizes) covers(st *jobs.Step) bool {
	if st.Lasts || st.Fills {
		return false // long-running tasks may use reserved VMs, best-effort tasks need no free CPU
	}
	for _, r := range u.sizes {
		if st.CPU >= r.cpu && st.MemMB >= r.mem && st.GPU >= r.gpu {
			return true
		}
	}
	return false
}

// add records the size of a step that found no VM, unless it has other constraints that
// may be the cause.
func (u *unplacedSizes) add(j *job, st *jobs.Step) {
	if !st.Lasts && !st.Fills && !st.Gang && st.Label == "" && st.PerVM == 0 && !j.Advice {
		u.sizes = append(u.sizes, resources{cpu: st.CPU, mem: st.MemMB, gpu: st.GPU})
	}
}

// candidates returns the pool's VMs that may get new runs, some of them of long-running tasks only.
func (s *Scheduler) candidates(now time.Time, pool string) []*candidate {
	if s.capacityUnknown(now, pool) {
		return nil
	}
	vms := s.sortedVMs(pool)
	list := make([]candidate, len(vms))
	cands := make([]*candidate, 0, len(vms))
	for i, v := range vms {
		if s.vmHold(now, v) != vmOpen {
			continue
		}
		c := &list[i]
		c.vm, c.free, c.trial = v, v.freeResources(), v.onTrial(now)
		for _, r := range v.runList {
			c.usedCPU += r.step().CPU
		}
		c.exposure = v.crashLoss(now) * 1000 / float64(max(v.CPU, 1))
		cands = append(cands, c)
	}
	return cands
}

// capacityUnknown reports whether the VMs of a pool may have shrunk since the VM list was read and start what exceeds
// their capacity.
func (s *Scheduler) capacityUnknown(now time.Time, pool string) bool {
	return s.unguarded[pool] && now.Sub(s.listReceivedAt) > s.policy.CapacityNotice
}

// vmHold says why a VM gets no new run of a long-running task.
func (s *Scheduler) vmHold(now time.Time, v *vm) vmHold {
	hold := v.hold(now, &s.policy)
	if hold == vmOpen && !v.restartedAt.IsZero() && !s.confirmedAfter(now, v.restartedAt) {
		return vmRestarted
	}
	return hold
}

func (s *Scheduler) placeStep(now time.Time, j *job, st *step, cands []*candidate, unplaced *unplacedSizes) {
	if j.Advice && !s.hasAdvice(now, st, cands) {
		return
	}
	if st.Gang {
		s.placeGang(now, st, cands)
		return
	}
	for _, t := range st.tasks {
		if !s.startable(now, t) {
			continue
		}
		if !s.quotaAllows(now, t, 1) {
			return
		}
		if t.suspected() {
			s.placeSuspect(now, t, cands)
			continue
		}
		c := s.bestCandidate(now, t, cands)
		if c == nil {
			if st.Lasts && !j.order.excess && !s.reserve(now, t, cands) {
				s.recordLack(now, j.Pool, st.Step)
			}
			if !st.Lasts && !st.Fills {
				s.pool(j.Pool).fullAt = now
			}
			if s.recordHeld(now, t, cands); st.heldSince.IsZero() { // reserved room depends on the run time too
				unplaced.add(j, st.Step)
			}
			return
		}
		st.heldSince = time.Time{}
		s.startOn(now, t, c, s.nextRunNumber(t))
	}
}

// startable reports whether a task has no run and may get one. A task that may still be
// running under an earlier owner's order may not.
func (s *Scheduler) startable(now time.Time, t *task) bool {
	return !t.done && len(t.runs) == 0 && s.startHold(now, t) == heldNone
}

// startHold says why a task without a run may not get one, whatever VMs there are.
func (s *Scheduler) startHold(now time.Time, t *task) holdReason {
	switch {
	case now.Before(t.readyAt):
		return heldLastEnd
	case t.verdict() != blame.None:
		return heldGivenUp
	case t.awaitsRecord():
		return heldCrashRecord
	case t.unverified && s.recoveredHeld:
		return heldShownJobs
	case t.unverified && s.mayBeRunning(t):
		return heldEarlierRun
	case !s.confirmedAfterLoss(now, t):
		return heldConfirmation
	}
	return heldNone
}

// startOn starts a task on a candidate and allocates its resources.
func (s *Scheduler) startOn(now time.Time, t *task, c *candidate, number int64) {
	s.start(now, t, c.vm, number)
	s.allocate(now, t, c)
}

// allocate allocates a task's resources on a candidate, and its part of what is spare beside reserved room.
func (s *Scheduler) allocate(now time.Time, t *task, c *candidate) {
	c.free.allocate(t.step.Step)
	c.usedCPU += t.step.CPU
	if c.reserved && s.outlasts(now, t, &c.reservation) {
		c.spare.allocate(t.step.Step)
	}
}

func (c *candidate) fits(st *jobs.Step) bool { return c.free.fits(st) }

// allocate deducts what a task reserves.
func (r *resources) allocate(st *jobs.Step) {
	if !st.Fills {
		r.cpu -= st.CPU
	}
	r.mem -= st.MemMB
	r.gpu -= st.GPU
}

// min returns the smaller of each resource.
func (r resources) min(x resources) resources {
	return resources{cpu: min(r.cpu, x.cpu), mem: min(r.mem, x.mem), gpu: min(r.gpu, x.gpu)}
}

// release returns what a task reserved.
func (r *resources) release(st *jobs.Step) {
	if !st.Fills {
		r.cpu += st.CPU
	}
	r.mem += st.MemMB
	r.gpu += st.GPU
}

// fits reports whether a task can reserve what it needs.
func (r *resources) fits(st *jobs.Step) bool {
	return (st.Fills || r.cpu >= st.CPU) && r.mem >= st.MemMB && r.gpu >= st.GPU
}

// bestCandidate returns the allowed candidate with the highest score, nil if there is none.
func (s *Scheduler) bestCandidate(now time.Time, t *task, cands []*candidate) *candidate {
	var best *candidate
	var bestScore float64
	for _, c := range cands {
		if !s.allowed(now, t, c) {
			continue
		}
		if score := s.score(t, c); best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// allowed reports whether a task may run on a candidate.
func (s *Scheduler) allowed(now time.Time, t *task, c *candidate) bool {
	return s.candidateHold(now, t, c) == vmOpen
}

// candidateHold says why a task may not run on a candidate.
func (s *Scheduler) candidateHold(now time.Time, t *task, c *candidate) vmHold {
	switch {
	case c.trial != nil && c.trial != t.job:
		return vmTrial
	case !c.fits(t.step.Step):
		return vmFull
	}
	if hold := s.unsuitable(now, t, c); hold != vmOpen {
		return hold
	}
	if c.reserved && !t.step.Lasts && !s.mayUseReserved(now, t, c) {
		return vmReserved
	}
	return vmOpen
}

// suits reports whether a task may run on a candidate, apart from the room there.
func (s *Scheduler) suits(now time.Time, t *task, c *candidate) bool {
	return s.unsuitable(now, t, c) == vmOpen
}

// unsuitable says why a task may not run on a candidate, apart from the room there.
func (s *Scheduler) unsuitable(now time.Time, t *task, c *candidate) vmHold {
	st := t.step
	switch {
	case st.Label != "" && !c.vm.Has(st.Label):
		return vmLabel
	case !st.Lasts && now.Before(c.vm.lateAckUntil):
		return vmLateCall
	case st.PerVM > 0 && c.vm.countSameStep(t) >= st.PerVM:
		return vmSameStep
	case t.job.Advice && !s.hasTicket(now, t, c):
		return vmNoTicket
	}
	return vmOpen
}

// hasTicket reports whether the placement policy allows a task on a candidate.
func (s *Scheduler) hasTicket(now time.Time, t *task, c *candidate) bool {
	_, ok := t.step.tickets[c.vm.ID]
	return ok && now.Before(t.step.adviceExpires)
}

// countSameStep returns how many tasks of the same step and occurrence are on a VM.
func (v *vm) countSameStep(t *task) int {
	n := 0
	for _, r := range v.runList {
		if r.task.step == t.step {
			n++
		}
	}
	return n
}

// score rates a candidate for a task. It starts with the VM's CPU use as a share, normally 0
// to 1, which prefers the fullest VM, so that others stay empty and can leave the pool. The
// other criteria weigh at least as much: the rack of the data and of the step's other tasks
// is preferred; the VM where the task last failed or stalled, too many long-running tasks of
// a step on one VM, and cold VMs are avoided. For best-effort tasks, all criteria but the
// last one are inverted; they go to the least used VM.
func (s *Scheduler) score(t *task, c *candidate) float64 {
	score := float64(c.usedCPU) / float64(max(c.vm.CPU, 1))
	if t.avoidVM == c.vm.ID {
		score -= 20
	}
	if t.step.Rack != "" && c.vm.rack() == t.step.Rack {
		score += 5
	}
	if t.step.OneRack && s.rackOf(t.step) == c.vm.rack() {
		score += 5
	}
	if t.step.Lasts && c.vm.countSameStep(t) >= max(t.step.MayMiss, longRunningPerVM) {
		score -= 10
	}
	if t.step.Fills {
		score = -score // spread, since best-effort tasks share the CPU that others leave
	}
	if c.vm.ColdMS > 0 {
		score--
	}
	if !t.step.Lasts {
		score -= crashWeight * s.queue(t.job.Queue).crashes.Chance() * c.exposure
	}
	return score
}

// rackOf returns the rack of a step's runs, empty if it has none.
func (s *Scheduler) rackOf(st *step) string {
	for _, t := range st.tasks {
		for _, r := range t.runs {
			return r.vm.rack()
		}
	}
	return ""
}
