package sched

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// SetVMs takes over the platform's list of VMs.
func (s *Scheduler) SetVMs(now time.Time, list []site.VM) {
	s.listAt = now
	listed := map[string]bool{}
	for _, u := range list {
		listed[u.ID] = true
		v := s.vms[u.ID]
		if v == nil {
			v = newVM(u)
			s.vms[u.ID] = v
		}
		if v.Born != 0 && u.Born > v.Born {
			s.reborn(now, v, u.Born)
		}
		if v.Born > u.Born {
			continue // the list lags behind what the VM said itself
		}
		v.VM, v.listed = u, true
	}
	for id, v := range s.vms {
		v.listed = v.listed && listed[id]
	}
}

// reborn releases what ran in an earlier life of a VM. Starts under way may reach the
// new life, which cannot tell them from its own, so they stay until their outcome and
// a look are known.
func (s *Scheduler) reborn(now time.Time, v *vm, born int64) {
	underWay := false
	for _, r := range v.runs {
		if r.phase == starting {
			underWay = true
			continue
		}
		s.stats.Lost++
		s.release(r, "VM restarted")
	}
	v.strays = map[string]int64{}
	v.Born, v.seen, v.saved, v.looked = born, 0, 0, false
	v.leased, v.clockMS, v.clockAt = time.Time{}, 0, time.Time{}
	if underWay {
		v.leased = now.Add(s.policy.onOurClock(s.policy.MaxLease))
	}
	v.sick, v.trial, v.failures, v.sickFor = time.Time{}, false, 0, 0
}

// Gone takes note that a VM's life has certainly ended.
func (s *Scheduler) Gone(id string) {
	v := s.vms[id]
	if v == nil {
		return
	}
	s.releaseAll(v, "VM gone")
	s.forget(v)
}

func (s *Scheduler) forget(v *vm) {
	delete(s.vms, v.ID)
	delete(s.suspect, v.ID)
	if s.held[v.ID] {
		delete(s.held, v.ID)
		s.heldNew = true
	}
}

func (s *Scheduler) releaseAll(v *vm, why string) {
	for _, r := range v.runs {
		s.stats.Lost++
		s.release(r, why)
	}
	v.strays = map[string]int64{}
}

// release takes a run that has certainly ended from its task.
func (s *Scheduler) release(r *run, why string) {
	s.log.WithField("task", r.task.id.String()).WithField("run", r.number).WithField("vm", r.vm.ID).WithField("why", why).Debug("run ended")
	delete(r.vm.runs, r.task.id.String())
	t := r.task
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if len(t.runs) == 0 && !t.done {
		t.step.idle++
	}
}

// NextPoll returns what the next look at a VM should ask. With verify, after a failed
// look, it forgets no ends, as the VM may have restarted, and grants no lease, so
// that the leases of a VM that does not answer run out. ok is false where the VM is
// not to be looked at any more.
func (s *Scheduler) NextPoll(now time.Time, id string, verify bool) (h site.StatusPoll, ok bool) {
	v := s.vms[id]
	if v == nil {
		return h, false
	}
	h = site.StatusPoll{Fence: s.Epoch, AckCursor: v.saved}
	if verify || v.clockMS == 0 {
		h.AckCursor = 0
	}
	if v.clockMS != 0 && len(v.runs) > 0 && !verify {
		h.UntilMS = v.grant(now, &s.policy)
	}
	return h, true
}

// HandlePoll takes over a look that was begun at a time.
func (s *Scheduler) HandlePoll(now time.Time, id string, begun time.Time, look *site.VMStatus) {
	v := s.vms[id]
	if v == nil {
		return
	}
	if look.Born != 0 && v.Born != 0 && look.Born != v.Born {
		if look.Born < v.Born {
			return // an answer of an earlier life
		}
		s.reborn(now, v, look.Born)
	}
	v.clockMS, v.clockAt, v.heard, v.failing = look.ClockMS, now, now, false
	for i := range look.Ended {
		if e := &look.Ended[i]; e.Sequence > v.seen {
			s.ended(now, v, e)
			v.seen = e.Sequence
		}
	}
	running := map[string]bool{}
	for i := range look.Running {
		running[look.Running[i].Task] = true
		s.running(now, v, &look.Running[i])
	}
	for name, r := range v.runs {
		if !running[name] && r.confirmed() && r.settled.Before(begun) {
			s.stats.Lost++
			s.release(r, "not on the VM")
		}
	}
	for name := range v.strays {
		if !running[name] {
			delete(v.strays, name)
		}
	}
	if !v.looked {
		s.log.WithFields(logrus.Fields{"vm": id, "pool": v.Pool, "born": v.Born, "running": len(look.Running), "ended": len(look.Ended)}).Info("VM in service")
	}
	v.looked = true
	delete(s.suspect, id)
	s.hold(v)
}

// confirmed reports whether a later look without the run shows that it has ended.
func (r *run) confirmed() bool {
	switch r.phase {
	case working:
		return true
	case uncertain, stopping:
		return r.stopped
	}
	return false
}

// running takes over a run that a VM lists.
func (s *Scheduler) running(now time.Time, v *vm, x *site.Run) {
	if r := v.runs[x.Task]; r != nil && r.number == x.Run {
		s.progress(now, r, x)
		return
	}
	why := s.adopt(now, v, x)
	if why == "" {
		return
	}
	if r := v.runs[x.Task]; r != nil && r.number > x.Run {
		return // an earlier run that is about to end
	}
	if v.strays[x.Task] != x.Run {
		s.log.WithFields(logrus.Fields{"task": x.Task, "run": x.Run, "vm": v.ID, "why": why}).Info("run not taken over; it is stopped")
	}
	v.strays[x.Task] = x.Run
	s.act(StopRun{VM: v.ID, Task: x.Task, Run: x.Run, Why: "not a run of this owner"})
}

// adopt takes over a run of an earlier owner. It returns why it did not, if so.
func (s *Scheduler) adopt(now time.Time, v *vm, x *site.Run) string {
	id, err := jobs.ParseTaskID(x.Task)
	if err != nil {
		return err.Error()
	}
	j := s.jobs[id.Job]
	switch {
	case j == nil:
		return "job is not known"
	case j.state.Final():
		return "job is " + j.state.String()
	case v.runs[x.Task] != nil:
		return "another run of the task is on the VM"
	}
	t := j.find(id)
	switch {
	case t == nil:
		return "task is not known, or its occurrence is done"
	case t.done:
		return "task is done"
	case len(t.runs) > 0:
		return "task runs elsewhere"
	case x.Run < t.lastRun:
		return "a later run has been seen"
	}
	r := &run{task: t, vm: v, number: x.Run, phase: working, settled: now, began: now, moved: now, pace: 100}
	t.lastRun = x.Run
	t.runs = append(t.runs, r)
	t.step.idle--
	v.runs[x.Task] = r
	s.begin(j)
	s.progress(now, r, x)
	s.log.WithField("task", x.Task).WithField("run", x.Run).WithField("vm", v.ID).Info("run taken over")
	return ""
}

func (s *Scheduler) begin(j *job) {
	if !j.began {
		j.began, j.dirty = true, true
	}
}

// hold asks for the job log to name a VM before it gets its first run, so that the
// next owner knows where runs may be.
func (s *Scheduler) hold(v *vm) {
	if !s.held[v.ID] && !v.leaves() {
		s.held[v.ID], s.heldNew = true, true
	}
}

// dropLeaving takes VMs that are about to leave, and hold nothing, out of the record of
// VMs that may hold runs, so that the next owner does not wait for them. One that stays
// after all is named again before its next run.
func (s *Scheduler) dropLeaving() {
	for id := range s.held {
		if v := s.vms[id]; v != nil && v.leaves() {
			delete(s.held, id)
			v.noted, s.heldNew = false, true
		}
	}
}

func (s *Scheduler) progress(now time.Time, r *run, x *site.Run) {
	if r.phase == starting || (r.phase == uncertain && !r.stopped) {
		r.phase = working
		r.settled = now
	}
	if x.Percent != r.percent {
		r.percent, r.moved = x.Percent, now
	}
	if x.Percent < 100 {
		r.atWork = time.Time{}
	} else if r.atWork.IsZero() {
		r.atWork = now
	}
	r.load = x.Load
	if x.Checkpoint != "" {
		r.task.checkpoint = x.Checkpoint
	}
}

// ended takes over the end of a run.
func (s *Scheduler) ended(now time.Time, v *vm, e *site.RunEnd) {
	id, err := jobs.ParseTaskID(e.Task)
	if err != nil {
		s.log.WithError(err).WithField("vm", v.ID).Warn("VM lists the end of what has no task's name")
		return
	}
	delete(v.strays, e.Task)
	r := v.runs[e.Task]
	if r != nil && r.number == e.Run {
		if e.How == site.Done {
			s.learn(now, r)
		}
		s.release(r, e.How.String())
	}
	j := s.jobs[id.Job]
	if j == nil || j.state.Final() {
		return
	}
	t := j.find(id)
	if t == nil || t.done {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	s.note(now, v, id.Job, e.How)
	s.begin(j)
	switch e.How {
	case site.Done:
		s.taskDone(now, j, t)
	case site.Failed:
		s.taskFailed(now, v, j, t, e)
	default:
		t.ready = now
	}
	j.dirty = true
}

func (s *Scheduler) taskDone(now time.Time, j *job, t *task) {
	s.stats.Done++
	if t.step.Lasts {
		return // it is started again however it ends
	}
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks // one end stands for all members
	}
	for _, x := range tasks {
		for _, r := range x.runs {
			s.stop(now, r, "another run is done")
		}
		j.finish(x)
	}
	if j.doneOcc == j.Occurrences() {
		s.finalize(now, j, jobs.Completed)
	}
}

func (s *Scheduler) taskFailed(now time.Time, v *vm, j *job, t *task, e *site.RunEnd) {
	s.stats.Failed++
	t.avoid = v.ID
	if t.step.Lasts {
		s.log.WithField("task", t.id.String()).WithField("run", e.Run).WithField("vm", v.ID).Info("run of a task that lasts failed")
		t.ready = now
		return
	}
	if !slices.Contains(t.failed, e.Run) {
		t.failed = append(t.failed, e.Run)
	}
	s.log.WithField("task", t.id.String()).WithField("run", e.Run).WithField("vm", v.ID).WithField("failures", len(t.failed)).Info("run failed")
	if s.failures(t) >= j.MaxAttempts {
		s.finalize(now, j, jobs.Failed)
	}
}

// failures counts the failed attempts of a task, or of its gang as a whole.
func (s *Scheduler) failures(t *task) int {
	if !t.step.Gang {
		return len(t.failed)
	}
	runs := map[int64]bool{}
	for _, x := range t.step.tasks {
		for _, n := range x.failed {
			runs[n] = true
		}
	}
	return len(runs)
}
