package sched

import "time"

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
	for _, o := range j.open {
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
	return holdTexts[s.holdReason(now, o, t, cands)]
}

// holdTexts says for operators why a task waits.
var holdTexts = map[holdReason]string{
	heldNone:         "it starts in the next scheduling round",
	heldDone:         "done",
	heldJobRecord:    "its job is not stored yet",
	heldSteps:        "earlier steps are not done",
	heldRetired:      "the owner hands the partition over",
	heldOwnership:    "the ownership of the partition is not confirmed",
	heldLastEnd:      "its last run has just ended",
	heldGivenUp:      "VMs crash while they run it; it is not started again",
	heldCrashRecord:  "a VM crashed while it ran it, and the job log does not hold that yet",
	heldShownJobs:    "the other entries are asked which jobs an earlier owner has shown as completed",
	heldEarlierRun:   "it may be running on a VM that has not answered since the takeover",
	heldConfirmation: "the loss of its VM may have been seen by a later owner; the ownership is not confirmed since",
	heldQuota:        "its account is at its quota in this partition",
	heldCapacity:     "the VMs may have shrunk since the VM list was read, and do not guard their capacity",
	heldService:      "no VM of the pool is in service",
	heldAdvice:       "the placement policy has not answered, or allows no VM with room",
	heldTrial:        "a VM crashed while it ran it; it waits until the pool has room, or for a VM of its own",
	heldReservation:  "the room for it is reserved for a long-running task",
	heldRoom:         "it fits on no VM now",
}
