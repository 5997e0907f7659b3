package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/blame"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

const (
	fleetWindow  = 50 * time.Millisecond  // within which VMs of all racks fail for one cause
	fleetVMs     = 4                      // VMs lost within fleetWindow that were lost for one cause
	verdictDelay = 200 * time.Millisecond // from a crash until a job is given up for it; the loss of other VMs of its rack is known by then
)

// losses holds what the scheduler knows of VMs that were lost with their runs.
type losses struct {
	suspects map[*task]bool           // tasks with a record of crashes
	presumed map[string][]presumedRun // tasks that may be running on VMs that this owner has not polled, by VM
	recent   []loss                   // the losses within lossMemory
	ages     blame.Ages               // of tasks that were proved to crash VMs
}

// presumedRun is a task that may be running on a VM by the records of an earlier owner. startedAt is zero if
// they do not say since when.
type presumedRun struct {
	task      string
	startedAt time.Time
}

// loss is the loss of a VM's incarnation.
type loss struct {
	vm, rack string
	born     int64
	heardAt  time.Time // when the VM last answered; zero if it never did
	at       time.Time // when it first failed to answer
	ran      bool      // it ran a task
	suspect  bool      // it ran a suspect; several of these may crash their VMs at once
	likely   []*job    // jobs that may have caused it
}

func newLosses() losses {
	return losses{suspects: map[*task]bool{}, presumed: map[string][]presumedRun{}}
}

// restore loads where a job's suspects may be running.
func (l *losses) restore(now time.Time, j *job, p *jobs.Progress) {
	for _, n := range p.Notes {
		id := jobs.TaskID{Job: j.ID, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index}
		if t := j.findTask(id); t != nil && len(n.Crashes) > 0 {
			l.suspects[t], t.suspectSince = true, now
		}
		if n.On == "" {
			continue
		}
		x := presumedRun{task: id.String()}
		if n.StartedMS > 0 {
			x.startedAt = time.UnixMilli(n.StartedMS)
		}
		l.presumed[n.On] = append(l.presumed[n.On], x)
	}
}

// presume adds the tasks that the previous owner's handover record names.
func (l *losses) presume(h *inheritedRuns) {
	if h == nil {
		return
	}
	for name, vms := range h.vmsByTask {
		for _, vm := range vms {
			if !slices.ContainsFunc(l.presumed[vm], func(x presumedRun) bool { return x.task == name }) {
				l.presumed[vm] = append(l.presumed[vm], presumedRun{task: name})
			}
		}
	}
}

// presumedStart returns when the run of a task on a VM was started by the records of an earlier owner, now if
// they do not say.
func (l *losses) presumedStart(now time.Time, vm, task string) time.Time {
	for _, x := range l.presumed[vm] {
		if x.task == task && !x.startedAt.IsZero() && x.startedAt.Before(now) {
			return x.startedAt
		}
	}
	return now
}

// loseVM logs the loss of a VM's incarnation and splits the blame for it among the jobs that it ran, unless
// the VM was about to leave. ended is set if the incarnation has certainly ended, and is not cut off.
func (s *Scheduler) loseVM(now time.Time, v *vm, ended bool, why string) {
	s.withdrawStarts(now, v, why)
	lost := s.tasksOn(v)
	if ended {
		s.incarnationEndedAt = now
		for _, x := range lost {
			x.task.lostAt = now
		}
		for _, r := range v.runList {
			r.task.lostAt = now
		}
	}
	delete(s.losses.presumed, v.ID)
	if len(lost) > 0 {
		s.stats.LostVMs++
		s.logLostVM(now, v, why)
	}
	x := loss{vm: v.ID, rack: v.rack(), born: v.Born, heardAt: v.heardAt, at: v.failedAt, ran: len(lost) > 0}
	if x.at.IsZero() {
		x.at = now
	}
	if v.Draining || (v.cordoned && v.cordonedAt.Before(x.at)) {
		return
	}
	if x.ran {
		s.pool(v.Pool).lostAt = now
		x.suspect = slices.ContainsFunc(lost, func(y lostTask) bool { return y.task.suspected() })
		lapsed := !ended || now.Sub(v.heardAt) >= s.policy.Lease
		x.likely = s.blame(now, x.at, v, lapsed, lost)
		for _, r := range v.runList {
			r.lossCounted = r.lossCounted || !r.onLater
		}
	}
	s.checkLostTogether(now, x)
}

// lostTask is a task that a lost VM may have been running. since is when its run was started, zero if this
// owner does not know.
type lostTask struct {
	task      *task
	since     time.Time
	confirmed bool // the VM has begun the run
}

// tasksOn returns the tasks that run on a VM, or may do so by the records of an earlier owner, ordered by task.
func (s *Scheduler) tasksOn(v *vm) []lostTask {
	var list []lostTask
	for _, r := range v.runList {
		if r.onLater || (r.lossCounted && r.confirmedAt.IsZero()) {
			continue // its start order has reached a later incarnation, or is still under way after the loss of an earlier one
		}
		list = append(list, lostTask{r.task, r.startedAt, !r.confirmedAt.IsZero()})
	}
	for _, x := range s.losses.presumed[v.ID] {
		id, err := jobs.ParseTaskID(x.task)
		if err != nil || s.jobs[id.Job] == nil || s.jobs[id.Job].state.Final() {
			continue
		}
		if t := s.jobs[id.Job].findTask(id); t != nil && !t.done && len(t.runs) == 0 {
			list = append(list, lostTask{t, x.startedAt, false})
		}
	}
	slices.SortFunc(list, func(a, b lostTask) int { return a.task.id.Compare(b.task.id) })
	return list
}

// blame adds the crash of a VM to the records of the tasks that it ran, and returns the jobs that are likely
// to have caused it.
func (s *Scheduler) blame(now, failedAt time.Time, v *vm, lapsed bool, lost []lostTask) (likely []*job) {
	for _, x := range lost {
		s.explainRecent(x.task)
	}
	var list []blame.Job
	index := map[*job]int{}
	age := func(x lostTask) time.Duration {
		if x.since.IsZero() {
			return 0
		}
		return max(failedAt.Sub(x.since), 0)
	}
	for _, x := range lost {
		i, known := index[x.task.job]
		if !known {
			i = len(list)
			index[x.task.job] = i
			list = append(list, blame.Job{Age: age(x)})
		}
		list[i].Age = min(list[i].Age, age(x))
		list[i].Chance = max(list[i].Chance, x.task.chance())
	}
	shares := blame.Split(list, &s.losses.ages)
	recorded := map[*job]bool{}
	for _, x := range lost {
		t := x.task
		if t.crashes.Has(v.ID, v.Born) || age(x) >= blame.MaxAge {
			continue // in the first case, the loss of this incarnation was noticed before
		}
		t.crashes = append(t.crashes, blame.Crash{VM: v.ID, Born: v.Born, Age: age(x), Share: shares[index[t.job]], Unconfirmed: !x.confirmed, Lapsed: lapsed})
		t.suspectSince = now
		s.losses.suspects[t] = true
		recorded[t.job] = true
	}
	for j := range recorded {
		j.lost++ // awaitsRecord waits until it is stored
		j.dirty = true
	}
	for j, i := range index {
		if blame.Likely(shares[i]) {
			likely = append(likely, j)
		}
	}
	return likely
}

// explain clears all tasks of the loss of a VM's incarnation but the one that was proved to have caused it.
func (l *losses) explain(vm string, born int64, cause *task) {
	for t := range l.suspects {
		if t != cause && t.crashes.Has(vm, born) {
			l.set(t, t.crashes.Without(vm, born))
			t.cleared++
		}
	}
}

// withdraw removes the loss of a VM's incarnation, which has turned out not to have ended, from all records.
func (l *losses) withdraw(vm string, born int64) {
	l.recent = slices.DeleteFunc(l.recent, func(x loss) bool { return x.vm == vm && x.born == born })
	for t := range l.suspects {
		l.set(t, t.crashes.Without(vm, born))
	}
}

// set replaces the record of a task.
func (l *losses) set(t *task, r blame.Record) {
	if slices.Equal(r, t.crashes) {
		return
	}
	t.crashes = r
	t.job.dirty = true
	if len(r) == 0 {
		delete(l.suspects, t)
	}
}

// awaitsRecord reports whether a task waits until the job log holds its crashes: an owner that is lost with them
// in an outage of the log would be followed by one that counts from zero.
func (t *task) awaitsRecord() bool {
	return len(t.crashes) > 0 && t.job.lostStored < t.job.lost
}

// verdict returns whether the record of a task calls for its job to be given up or, if it is long-running, for
// the task not to be started again.
func (t *task) verdict() blame.Verdict {
	switch {
	case len(t.crashes) == 0:
		return blame.None
	case !t.step.Lasts:
		return t.crashes.Verdict(t.cleared)
	case t.step.deadly && t.crashes.Likely():
		return blame.Exhausted
	}
	return t.crashes.LastingVerdict(t.cleared)
}

// chance returns the chance that a task crashes VMs, for a long-running one also by the crashes under the other
// tasks of its step.
func (t *task) chance() float64 {
	highest := t.crashes.Chance()
	if t.step.Lasts {
		for _, x := range t.step.tasks {
			highest = max(highest, x.crashes.Chance())
		}
	}
	return highest
}

// lastStart reports whether one more crash under a long-running task ends its starts.
func (t *task) lastStart() bool {
	return t.step.Lasts && t.crashes.LastStart(t.cleared)
}

// recordDeadly records that a task of a long-running step was proved to crash its VMs. The others of the step
// that are likely to have done so too are not started again.
func (t *task) recordDeadly() {
	if t.step.Lasts && t.crashes.LastingVerdict(t.cleared) == blame.Proved {
		t.step.deadly = true
	}
}

// judge gives up the jobs of which the records of a task call for it. The crashes are then no evidence
// against the tasks of other jobs. A long-running job goes on without the task: its other tasks are of use, and
// may not be stopped.
func (s *Scheduler) judge(now time.Time) {
	for t := range s.losses.suspects {
		t.recordDeadly()
	}
	for t := range s.losses.suspects {
		if t.verdict() != blame.None && t.heldFor != len(t.crashes) {
			s.explainRecent(t)
		}
		verdict, crashes := t.verdict(), t.crashes
		if verdict == blame.None || now.Sub(t.suspectSince) < verdictDelay || t.job.state.Final() || t.heldFor == len(crashes) {
			continue
		}
		log := s.log.WithFields(logrus.Fields{"job": t.job.ID, "task": t.id.String(), "verdict": verdict.String(), "crashes": crashTexts(crashes), "racks": s.rackTexts(crashes)})
		if t.step.Lasts {
			log.Warn("long-running task is not started again: VMs crash while they run it")
			t.heldFor = len(crashes)
		} else {
			log.Info("job is given up: VMs crash while they run a task of it")
			s.stats.GivenUp++
			s.queue(t.job.Queue).crashes.GiveUp()
			t.job.reason = "VMs crashed while they ran task " + t.id.String() + ": " + strings.Join(crashTexts(crashes), "; ")
			s.finalize(now, t.job, jobs.Failed)
		}
		if verdict != blame.Proved {
			continue
		}
		for _, c := range crashes {
			s.losses.ages.Add(c.Age)
			s.losses.explain(c.VM, c.Born, t)
		}
	}
}
