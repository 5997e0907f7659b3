package sched

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// SetVMs applies the platform's list of VMs. It adds new VMs and marks missing ones as
// unlisted; their runs stay until the leases expire.
func (s *Scheduler) SetVMs(now time.Time, list []site.VM) {
	s.listReceivedAt = now
	listed := map[string]bool{}
	for _, update := range list {
		listed[update.ID] = true
		v := s.vms[update.ID]
		if v == nil {
			v = newVM(update)
			s.vms[update.ID] = v
			v.polls = s.forgotten[update.ID]
			delete(s.forgotten, update.ID)
			s.awaitLateCalls(now, v)
		}
		if v.Born != 0 && update.Born > v.Born {
			s.handleNewIncarnation(now, v, update.Born)
		}
		if v.Born > update.Born {
			continue // the list is older than the VM's own answer
		}
		v.VM, v.listed = update, true
		s.recordSize(&update)
	}
	for id, v := range s.vms {
		v.listed = v.listed && listed[id]
	}
}

// VMsReadAt sets when the VM list that SetVMs passed was read, if that was some time ago.
func (s *Scheduler) VMsReadAt(at time.Time) { s.listReceivedAt = at }

// handleNewIncarnation releases the runs that the VM's earlier incarnation certainly had. A start order that was sent to it
// may have reached the new one, which has the same ID, so the run stays until a poll of the new one shows whether it has it.
func (s *Scheduler) handleNewIncarnation(now time.Time, v *vm, born int64) {
	s.loseVM(now, v, true, "VM restarted")
	s.releaseFormer(v, "VM restarted", time.Time{})
	s.awaitLateCalls(now, v)
	s.awaitFormerStarts(now, v)
	s.recordedVMsDirty = s.recordedVMsDirty || s.recordedVMs[v.ID] // the next owner compares the incarnations
	v.Born, v.seenSeq, v.storedSeq, v.ackedSeq, v.polled, v.ended, v.endsCut = born, 0, 0, 0, false, false, false
	v.clockMS, v.clockAt, v.firstClockMS, v.polledAt, v.failedAt, v.lapsed = 0, time.Time{}, 0, time.Time{}, time.Time{}, false
	v.restartedAt = now
	for _, r := range v.runList {
		if !r.onLater {
			r.confirmedAt = time.Time{} // the present incarnation may not have begun it
		}
		r.onLater = false
	}
	v.quarantinedUntil, v.probation, v.consecutiveFailures, v.quarantineTime, v.speed = time.Time{}, false, 0, 0, 0
	v.unreadableEnds = nil
}

// releaseRun detaches a run that has certainly ended from its VM and task. Its start order is not sent any more.
func (s *Scheduler) releaseRun(r *run, why string) {
	if s.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		s.log.WithFields(logrus.Fields{"task": r.name, "run": r.number, "vm": r.vm.ID, "why": why}).Debug("run released")
	}
	r.startOrder.recall()
	r.vm.removeRun(r)
	s.quotas.countRuns(r.task, -1)
	if r.copy != nil {
		s.logCopy(r, why)
	}
	r.task.removeRun(r)
}

// awaitLateCalls limits the harm of status polls that were sent to the earlier incarnation of a restarted VM and that
// the new one, which has the same ID, may still carry out: such a poll acknowledges run ends of the new incarnation,
// whose sequence numbers begin anew, and renews its leases.
func (s *Scheduler) awaitLateCalls(now time.Time, v *vm) {
	v.leasesEnd, v.lateAckUntil = time.Time{}, time.Time{}
	s.forgetLongLease(v.ID)
	for _, r := range v.runList {
		until := r.leaseEnd
		if until.IsZero() || r.startInFlight || r.phase == startUnverified {
			until = now.Add(s.policy.localDuration(s.policy.MaxLease))
		}
		v.leasesEnd = latest(v.leasesEnd, until)
	}
	if until := v.polls.renewals.lastInDoubt().Add(s.policy.LateCall); until.After(now) {
		v.leasesEnd = latest(v.leasesEnd, until.Add(s.policy.localDuration(s.policy.MaxLease)))
	}
	if until := v.polls.acks.lastInDoubt().Add(s.policy.LateCall); until.After(now) {
		v.lateAckUntil = until
		s.log.WithFields(logrus.Fields{"vm": v.ID, "pool": v.Pool, "for-ms": until.Sub(now).Milliseconds()}).Info("VM restarted under its ID; it gets no runs while it may still carry out an acknowledgement that was sent to its earlier incarnation")
	}
	v.polls = vmPolls{}
	s.noteLongLease(now, v)
}

// NextPoll returns the next status poll of a VM. With verify, which is set after a failed
// poll, it acknowledges no run ends, since the VM may have restarted, and renews no lease,
// so that the leases of a VM that does not answer expire. Ends that the VM no longer lists are not acknowledged again,
// since a poll that is carried out late may reach a later incarnation. ok is false if the VM is no longer polled.
func (s *Scheduler) NextPoll(now time.Time, id string, verify bool) (poll site.StatusPoll, ok bool) {
	v := s.vms[id]
	if v == nil {
		return poll, false
	}
	poll = site.StatusPoll{Fence: s.Epoch}
	verify = verify || v.clockMS == 0
	if !verify && v.firstListed > 0 && v.firstListed <= v.storedSeq {
		poll.AckCursor = v.storedSeq
		v.polls.acks.send(now)
	}
	s.logAcknowledged(now, v, poll.AckCursor)
	if !verify && !s.expired(now) && len(v.runs) > 0 {
		poll.UntilMS = v.grantLease(now, &s.policy)
		v.polls.renewals.send(now)
	}
	return poll, true
}

// HandlePoll handles the reply to a status poll that was sent at pollStart. A run that the
// reply does not list has ended if its last order was answered before pollStart.
func (s *Scheduler) HandlePoll(now time.Time, id string, pollStart time.Time, status *site.VMStatus) {
	v := s.vms[id]
	if v == nil {
		return
	}
	if v.ended && status.Born == v.Born && !pollStart.After(v.endedAt) {
		return // sent before the incarnation ended
	}
	v.ended = false
	if status.Born != 0 && v.Born != 0 && status.Born != v.Born {
		if status.Born < v.Born {
			return // late reply of an earlier incarnation
		}
		s.handleNewIncarnation(now, v, status.Born)
	}
	v.clockMS, v.clockAt, v.lastAnswer, v.heardAt, v.pollFailed, v.failedAt = status.ClockMS, now, now, now, false, time.Time{}
	if v.polledAt = pollStart; v.firstClockMS == 0 {
		v.firstClockMS = status.ClockMS
	}
	v.settlePolls(status)
	if v.lapsed || !v.polled { // a loss of this incarnation, also one that an earlier owner has recorded, was none: it was cut off
		v.lapsed = false
		s.losses.withdraw(v.ID, v.Born)
	}
	for i := range status.Ended {
		if e := &status.Ended[i]; e.Sequence > v.seenSeq {
			s.handleRunEnd(now, v, e)
			v.seenSeq = e.Sequence
		}
	}
	running := s.listed
	clear(running)
	for i := range status.Running {
		running[status.Running[i].Task] = true
		s.handleListedRun(now, v, &status.Running[i])
	}
	delete(s.losses.presumed, v.ID)
	s.setEndsCut(v, status.EndsCut)
	s.handleUnlistedRuns(now, v, pollStart, running)
	s.clearOutlived(v, pollStart)
	if !v.polled {
		s.log.WithFields(logrus.Fields{"vm": id, "pool": v.Pool, "born": v.Born, "running": len(status.Running), "ended": len(status.Ended)}).Info("VM answered a status poll and is in service")
	}
	v.polled = true
	s.verifyVM(now, v)
	s.recordVM(v)
}

// handleListedRun updates, adopts or stops a run that a VM lists. A run that cannot be
// adopted is an orphan run.
func (s *Scheduler) handleListedRun(now time.Time, v *vm, x *site.Run) {
	if r := v.runs[x.Task]; r != nil && r.number == x.Run {
		r.incarnation, r.onLater = v.Born, false
		s.updateProgress(now, r, x)
		return
	}
	why := s.adopt(now, v, x)
	if why == "" {
		return
	}
	if r := v.runs[x.Task]; r != nil && r.number > x.Run {
		return // an earlier run, which has ended or whose lease has expired; it needs no stop order
	}
	if v.orphans[x.Task] != x.Run {
		s.log.WithFields(logrus.Fields{"task": x.Task, "run": x.Run, "vm": v.ID, "why": why}).Info("orphan run cannot be adopted; stopping it")
	}
	v.orphans[x.Task] = x.Run
	s.emit(StopRun{VM: v.ID, Born: v.Born, Task: x.Task, Run: x.Run, Why: "not a run of this owner"})
}

// adopt tracks a run of an earlier owner. It returns the reason if the run cannot be
// adopted, else an empty string.
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
	t := j.findTask(id)
	switch {
	case t == nil:
		return "task is not known, or its occurrence is done"
	case t.done:
		return "task is done"
	case len(t.runs) > 0 && !s.mayBeCopy(t, x):
		return "task runs elsewhere"
	case x.Run < t.lastRun && !s.mayBeCopy(t, x):
		return "a later run has been seen"
	}
	r := &run{task: t, name: x.Task, spec: t.step.Step, vm: v, number: x.Run, phase: working, answeredAt: now, confirmedAt: now, startedAt: s.losses.presumedStart(now, v.ID, x.Task), progressAt: now, speedPercent: 100, adopted: true, incarnation: v.Born}
	t.lastRun = max(t.lastRun, x.Run)
	t.addRun(r)
	t.markCopy()
	v.addRun(r)
	s.quotas.countRuns(t, 1)
	s.markBegan(now, j)
	s.updateProgress(now, r, x)
	s.log.WithField("task", x.Task).WithField("run", x.Run).WithField("vm", v.ID).Info("run of an earlier owner adopted")
	return ""
}

func (s *Scheduler) markBegan(now time.Time, j *job) {
	if !j.began {
		j.beganAt, j.beganClass = now, s.class(now, j)
		j.began, j.dirty = true, true
		s.queue(j.Queue).crashes.Begin()
	}
}

// recordVM adds a VM to the record of VMs that may hold runs. The record is stored before
// the VM gets its first run, so that the next owner knows where runs may be.
func (s *Scheduler) recordVM(v *vm) {
	if !s.recordedVMs[v.ID] && !v.drained() {
		s.recordedVMs[v.ID], s.recordedVMsDirty = true, true
	}
}

// unrecordDrainedVMs removes drained VMs from the record of VMs that may hold runs, so that the
// next owner does not wait for them. A VM that is uncordoned is recorded again before its
// next run.
func (s *Scheduler) unrecordDrainedVMs() {
	for id := range s.recordedVMs {
		if v := s.vms[id]; v != nil && v.drained() {
			s.unrecordVM(v)
		}
	}
}

// confirm records that the VM has begun a run. Its order may have waited for long, so its progress counts from here on.
func (r *run) confirm(now time.Time) {
	r.task.job.runSeen = true
	if r.confirmedAt.IsZero() {
		r.confirmedAt, r.progressAt = now, now
	}
}

// updateProgress updates a run from a status poll. A listed run is working even if its start
// order was not answered. A long-running run is available at 100 percent.
func (s *Scheduler) updateProgress(now time.Time, r *run, x *site.Run) {
	r.confirm(now)
	if r.phase == starting || (r.phase == startUnverified && !r.stopConfirmed) {
		r.phase = working
		r.answeredAt = now
	}
	if x.Percent != r.percent {
		r.percent, r.progressAt = x.Percent, now
	}
	if x.Percent < 100 {
		r.availableSince = time.Time{}
	} else if r.availableSince.IsZero() {
		r.availableSince = now
	}
	r.reportedTailMS = x.Load
	r.task.keepCheckpoint(r, r.number, x.Percent, x.Checkpoint)
}

// handleRunEnd processes a run end that a VM reports.
func (s *Scheduler) handleRunEnd(now time.Time, v *vm, e *site.RunEnd) {
	id, err := jobs.ParseTaskID(e.Task)
	if err != nil {
		s.log.WithError(err).WithField("vm", v.ID).Warn("VM reports the end of a run with an invalid task name")
		return
	}
	delete(v.orphans, e.Task)
	r := v.runs[e.Task]
	if r != nil && r.number != e.Run {
		r = nil // the end of an earlier run
	}
	if r != nil {
		if e.How == site.Done {
			s.recordRace(r)
			s.recordRun(now, r)
		}
		s.releaseRun(r, e.How.String())
	}
	j := s.jobs[id.Job]
	s.logOverlap(j, v, id, e)
	if _, unreadable := s.unreadable[id.Job]; unreadable {
		v.unreadableEnds = append(v.unreadableEnds, unreadableEnd{job: id.Job, sequence: e.Sequence})
	}
	if j == nil || j.state.Final() {
		return
	}
	t := j.findTask(id)
	if t == nil || t.done {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	t.keepCheckpoint(r, e.Run, endProgress(e.How), e.Checkpoint)
	s.recordOutcome(now, v, id.Job, e.How)
	s.markBegan(now, j)
	j.runSeen = true
	switch e.How {
	case site.Done:
		s.taskDone(now, j, t)
	case site.Failed:
		s.taskFailed(now, v, j, t, e)
	default:
		t.readyAt = now
	}
	j.dirty = true
}

func (s *Scheduler) taskDone(now time.Time, j *job, t *task) {
	s.stats.Done++
	if t.step.Lasts {
		return // a long-running task is restarted however its run ends
	}
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks // success of one member completes the whole gang
	}
	for _, x := range tasks {
		for _, r := range slices.Backward(x.runs) {
			s.stop(now, r, "another run of the task is done")
		}
		j.finishTask(x)
		delete(s.losses.suspects, x)
	}
	if t.step.done == t.step.Count {
		s.queue(j.Queue).recordStep(t.step)
	}
	if j.doneOccs == j.Occurrences() {
		s.finalize(now, j, jobs.Completed)
	}
}

func (s *Scheduler) taskFailed(now time.Time, v *vm, j *job, t *task, e *site.RunEnd) {
	s.stats.Failed++
	t.avoidVM = v.ID
	if t.step.Lasts {
		s.log.WithField("task", t.id.String()).WithField("run", e.Run).WithField("vm", v.ID).Info("run of a long-running task failed; it is restarted")
		t.readyAt = now
		return
	}
	if !slices.Contains(t.failedRuns, e.Run) {
		t.failedRuns = append(t.failedRuns, e.Run)
	}
	s.log.WithField("task", t.id.String()).WithField("run", e.Run).WithField("vm", v.ID).WithField("failures", len(t.failedRuns)).Info("run failed")
	if s.failedAttempts(t) >= j.MaxAttempts {
		s.finalize(now, j, jobs.Failed)
	}
}

// failedAttempts counts the failed runs of a task, or those of its gang, whose members
// share run numbers.
func (s *Scheduler) failedAttempts(t *task) int {
	if !t.step.Gang {
		return len(t.failedRuns)
	}
	runs := map[int64]bool{}
	for _, x := range t.step.tasks {
		for _, n := range x.failedRuns {
			runs[n] = true
		}
	}
	return len(runs)
}
