package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// Limits that callers are promised.
const (
	visibilityLimit = 3 * time.Second         // every entry knows a job this long after its acceptance
	cancelLimit     = 3 * time.Second         // no run of a job starts later than this after its acknowledged cancellation
	absenceLimit    = 4500 * time.Millisecond // a long-running task is unavailable if it has not run for longer than this
)

// reportViolation records and logs a violated promise, each text only once.
func (run *Run) reportViolation(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(run.violations, text) {
		run.violations = append(run.violations, text)
		fmt.Fprintf(run.out, "%7.3f VIOLATION %s\n", time.Since(run.began).Seconds(), text)
	}
}

// history holds the runs that VMs recorded, by task name, in the order of their starts.
type history map[string][]emul.TaskRun

func (run *Run) history() history {
	h := history{}
	for _, r := range run.platform.Ledger.Runs() {
		h[r.Task] = append(h[r.Task], r)
	}
	return h
}

// countEnded returns the number of runs of a task that ended in the given way.
func (h history) countEnded(task, how string) int {
	n := 0
	for i := range h[task] {
		if h[task][i].How == how {
			n++
		}
	}
	return n
}

func taskName(j *Job, step, index int) string {
	return jobs.TaskID{Job: j.ID, Step: step, Index: index}.String()
}

// checkState checks a job state that a caller was told against the recorded runs.
func (run *Run) checkState(j *Job, state string) {
	h := run.history()
	j.mu.Lock()
	cancelled := !j.cancelSentAt.IsZero()
	j.mu.Unlock()
	switch state {
	case "completed":
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				if task := taskName(j, s, i); h.countEnded(task, "done") == 0 {
					run.reportViolation("job %s is reported as completed, but no run of task %s is done", j.ID, task)
				}
			}
		}
	case "failed":
		if !run.attemptsExhausted(j, h) {
			run.reportViolation("job %s is reported as failed, but none of its tasks has failed in all its attempts", j.ID)
		}
	case "cancelled":
		if !cancelled {
			run.reportViolation("job %s is reported as cancelled, but its caller has not cancelled it", j.ID)
		}
	}
}

func (run *Run) attemptsExhausted(j *Job, h history) bool {
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if h.countEnded(taskName(j, s, i), "failed") >= emul.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// checkRuns checks all recorded runs against the requests of callers and the replies to them.
func (run *Run) checkRuns() {
	if violation := run.platform.Ledger.FirstViolation(); violation != "" {
		run.reportViolation("%s", violation)
	}
	h := run.history()
	for task, runs := range h {
		id, err := jobs.ParseTaskID(task)
		if err != nil {
			run.reportViolation("a run was started with the invalid task name %q: %v", task, err)
			continue
		}
		j := run.registry.Find(id.Job)
		if j == nil || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
			run.reportViolation("task %s was started, but no caller has submitted it", task)
			continue
		}
		for i := range runs {
			run.checkRun(j, id, &runs[i], runs[:i], h)
		}
	}
	for _, v := range run.platform.Violations() {
		run.reportViolation("%s", v)
	}
}

func (run *Run) checkRun(j *Job, id jobs.TaskID, r *emul.TaskRun, earlier []emul.TaskRun, h history) {
	j.mu.Lock()
	refusedAt, cancelAckedAt := j.refusedAt, j.cancelAckedAt
	j.mu.Unlock()
	if r.Spec != j.Spec {
		run.reportViolation("task %s was started with the spec %q instead of %q", r.Task, r.Spec, j.Spec)
	}
	if !refusedAt.IsZero() {
		run.reportViolation("task %s was started, but all replies to the submission of its job were rejections", r.Task)
	}
	if !cancelAckedAt.IsZero() && r.Start.Sub(cancelAckedAt) > cancelLimit && !run.mayBeDelayed(r.VM, r.Start) {
		run.reportViolation("task %s run %d was started %s after the cancellation of its job was acknowledged", r.Task, r.Run, r.Start.Sub(cancelAckedAt))
	}
	failed := 0
	for i := range earlier {
		if earlier[i].How == "failed" && earlier[i].Acknowledged && earlier[i].End.Before(r.Start) {
			failed++
		}
	}
	if failed >= emul.MaxAttempts && !r.LongRunning {
		run.reportViolation("task %s run %d was started after %d failed runs", r.Task, r.Run, failed)
	}
	for _, a := range j.Steps[id.Step].After {
		for i := range j.Steps[a].Count {
			if !doneBefore(h[taskName(j, a, i)], r.Start) {
				run.reportViolation("task %s run %d was started before its dependency %s was done", r.Task, r.Run, taskName(j, a, i))
			}
		}
	}
	if r.LongRunning && !r.End.IsZero() && (r.How == "stopped" || r.How == "ordered away") && r.VMHealthy && !run.mayBeDelayed(r.VM, r.End) {
		run.checkAvailability(j, id, r, h)
	}
}

func doneBefore(runs []emul.TaskRun, t time.Time) bool {
	for i := range runs {
		if runs[i].How == "done" && runs[i].End.Before(t) {
			return true
		}
	}
	return false
}

// checkAvailability checks a run of a long-running task that an order ended: no more than
// MayMiss tasks of the step, this one included, may be unavailable then.
func (run *Run) checkAvailability(j *Job, id jobs.TaskID, r *emul.TaskRun, h history) {
	j.mu.Lock()
	cancelled := !j.cancelSentAt.IsZero() && j.cancelSentAt.Before(r.End)
	j.mu.Unlock()
	st := &j.Steps[id.Step]
	if cancelled || st.MayMiss == 0 {
		return
	}
	unavailable := 0
	for i := range st.Count {
		if i != id.Index && isUnavailable(h[taskName(j, id.Step, i)], r.End, j.acceptedAt) {
			unavailable++
		}
	}
	if unavailable >= st.MayMiss {
		run.reportViolation("task %s run %d on VM %s was %s while %d other tasks of its step were unavailable", r.Task, r.Run, r.VM, r.How, unavailable)
	}
}

// isUnavailable reports whether a long-running task was unavailable at time t: it had no
// run, and either an order had ended its last one or absenceLimit had passed since.
func isUnavailable(runs []emul.TaskRun, t, acceptedAt time.Time) bool {
	lastEnd, how := acceptedAt, ""
	for i := range runs {
		r := &runs[i]
		if r.Start.Before(t) && (r.End.IsZero() || !r.End.Before(t)) {
			return false
		}
		if r.Start.Before(t) && r.End.After(lastEnd) {
			lastEnd, how = r.End, r.How
		}
	}
	return how == "stopped" || how == "ordered away" || t.Sub(lastEnd) > absenceLimit
}
