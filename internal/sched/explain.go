package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/internal/blame"
)

// TaskView describes a task for operators.
type TaskView struct {
	Task     string
	VM       string // that runs it; empty if none does
	Run      int64
	Percent  int
	Failures int
	Crashes  []string // of VMs while they ran it, unless it was cleared of them
	Why      string   // reason why it does not run, or why its run is being stopped
}

// JobView describes a job for operators.
type JobView struct {
	State string
	Pool  string
	Queue string
	Why   string     // why the job was given up; empty if it was not
	Tasks []TaskView // of the open occurrences: due and not done
}

// Explain returns a job's running tasks and why the others wait; nil for an unknown job.
func (s *Scheduler) Explain(now time.Time, id string) *JobView {
	j := s.jobs[id]
	if unreadable, _ := s.IsUnreadable(id); unreadable {
		return &JobView{State: "unknown", Why: "a record of the job cannot be decoded"}
	}
	if j == nil {
		return nil
	}
	v := &JobView{State: j.state.String(), Pool: j.Pool, Queue: j.Queue, Why: j.reason}
	if j.state.Final() {
		return v
	}
	cands := s.candidates(now, j.Pool)
	for _, o := range j.sortedOccurrences() {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				v.Tasks = append(v.Tasks, s.explainTask(now, o, t, cands))
				if len(t.runs) > 1 {
					v.Tasks = append(v.Tasks, explainRun(t.runs[1]))
				}
			}
		}
	}
	return v
}

func (s *Scheduler) explainTask(now time.Time, o *occurrence, t *task, cands []*candidate) TaskView {
	view := TaskView{Task: t.id.String(), Failures: len(t.failedRuns), Crashes: crashTexts(t.crashes)}
	if len(t.runs) > 0 {
		return explainRun(t.runs[0])
	}
	view.Why = s.whyWaiting(now, o, t, cands)
	return view
}

func explainRun(r *run) TaskView {
	return TaskView{Task: r.task.id.String(), Failures: len(r.task.failedRuns), Crashes: crashTexts(r.task.crashes), VM: r.vm.ID, Run: r.number, Percent: r.percent, Why: r.stopReason}
}

func (s *Scheduler) whyWaiting(now time.Time, o *occurrence, t *task, cands []*candidate) string {
	switch {
	case t.done:
		return "done"
	case !t.job.stored:
		return "its job is not stored yet"
	case !o.stepReady(t.step):
		return "earlier steps are not done"
	case now.Before(t.readyAt):
		return "its last run has just ended"
	case t.verdict() != blame.None:
		return "VMs crash while they run it; it is not started again"
	case t.awaitsRecord():
		return "a VM crashed while it ran it, and the job log does not hold that yet"
	case t.unverified && s.mayBeRunning(t):
		return "it may be running on a VM that has not answered since the takeover"
	case !s.quotaAllows(now, t, startedTogether(t.step)):
		return "its account is at its quota in this partition"
	case len(cands) == 0:
		return "no VM of the pool is in service"
	case t.suspected():
		return "a VM crashed while it ran it; it waits until the pool has room, or for a VM of its own"
	case !t.step.heldSince.IsZero():
		return "the room for it is reserved for a long-running task"
	case s.bestCandidate(now, t, cands) == nil:
		return "it fits on no VM now"
	}
	return "it starts in the next scheduling round"
}
