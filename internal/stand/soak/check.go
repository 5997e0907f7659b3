package soak

import (
	"fmt"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// Time limits of the invariants.
const (
	visibilityLimit = 3 * time.Second         // longest time from the acceptance of a job until every entry knows the job
	dropLimit       = 15 * time.Second        // after a queue has moved, until which an entry that was cut off may not know it
	cancelLimit     = 3 * time.Second         // longest time from the acknowledgement of a cancellation until the last start of a run of the job
	completedLimit  = time.Second             // longest time from a reply that shows a job as completed until the last start of a run of the job
	absenceLimit    = 4500 * time.Millisecond // a long-running task without a run is unavailable after this time
)

// reportViolation records and logs a violated invariant, unless the same text is already
// recorded. The text begins with the name of the violated rule.
func (harness *Harness) reportViolation(format string, args ...any) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if !harness.reported[text] {
		harness.reported[text] = true
		harness.violations = append(harness.violations, text)
		fmt.Fprintf(harness.out, "%7.3f VIOLATION %s\n", time.Since(harness.began).Seconds(), text)
	}
}

// history holds the runs that VMs recorded, by task ID, in the order of their starts.
type history map[string][]emul.TaskRun

func (harness *Harness) history() history {
	h := history{}
	for _, r := range harness.platform.Ledger.Runs() {
		h[r.Task] = append(h[r.Task], r)
	}
	return h
}

// historyOf returns the runs of one job.
func (harness *Harness) historyOf(j *Job) history {
	h := history{}
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			task := formatTaskID(j, s, i)
			h[task] = harness.platform.Ledger.RunsOf(task)
		}
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

func formatTaskID(j *Job, step, index int) string {
	return jobs.TaskID{Job: j.ID, Step: step, Index: index}.String()
}

// checkState checks the state of a job in a reply to its caller, which arrived at the time now, against the recorded
// runs.
func (harness *Harness) checkState(now time.Time, j *Job, state string) {
	h := harness.historyOf(j)
	j.mu.Lock()
	cancelled := !j.cancelSentAt.IsZero()
	if state == "completed" && j.completedAt.IsZero() {
		j.completedAt = now
	}
	j.mu.Unlock()
	switch state {
	case "completed":
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				if task := formatTaskID(j, s, i); h.countEnded(task, "done") == 0 {
					harness.reportViolation("MIXED job %s is reported as completed, but no run of task %s is done", j.ID, task)
				}
			}
		}
	case "failed":
		if !harness.attemptsExhausted(j, h) && !crashesVMs(j, h) {
			harness.reportViolation("LOST job %s is reported as failed, but none of its tasks has failed in all its attempts or has crashed two VMs", j.ID)
		}
	case "cancelled":
		if !cancelled {
			harness.reportViolation("LOST job %s is reported as cancelled, but its caller has not cancelled it", j.ID)
		}
	}
}

func (harness *Harness) attemptsExhausted(j *Job, h history) bool {
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if h.countEnded(formatTaskID(j, s, i), "failed") >= emul.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// crashesVMs reports whether a task of a job has crashed two VMs.
func crashesVMs(j *Job, h history) bool {
	for s := range j.Steps {
		if runs := h[formatTaskID(j, s, 0)]; j.Steps[s].crashesVM && len(runs) > 1 && !runs[1].End.IsZero() {
			return true
		}
	}
	return false
}

// checkRuns checks all recorded runs against the requests of callers and the replies to them.
func (harness *Harness) checkRuns() {
	for _, v := range harness.platform.Ledger.Violations() {
		harness.reportViolation("%s", v)
	}
	h := harness.history()
	for task, runs := range h {
		id, err := jobs.ParseTaskID(task)
		if err != nil {
			harness.reportViolation("UNASKED a run was started with the invalid task ID %q: %v", task, err)
			continue
		}
		j := harness.registry.Find(id.Job)
		if j == nil || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
			harness.reportViolation("UNASKED task %s was started, but no caller has submitted it", task)
			continue
		}
		for i := range runs {
			harness.checkRun(j, id, &runs[i], runs[:i], h)
		}
	}
	for _, v := range harness.platform.Violations() {
		harness.reportViolation("%s", v)
	}
	for _, v := range harness.platform.QuotaViolations(quotaOverage) {
		harness.reportViolation("%s", v)
	}
}

// checkRun checks the run r of a task. earlier holds the runs of the task that started before
// r, h the runs of all tasks.
func (harness *Harness) checkRun(j *Job, id jobs.TaskID, r *emul.TaskRun, earlier []emul.TaskRun, h history) {
	j.mu.Lock()
	refusedAt, cancelAckedAt, completedAt := j.refusedAt, j.cancelAckedAt, j.completedAt
	j.mu.Unlock()
	if r.ForeignCheckpoint() {
		harness.reportViolation("UNASKED task %s run %d was started with the checkpoint %q, which is not its own", r.Task, r.Run, r.Checkpoint)
	}
	if !completedAt.IsZero() && r.Start.Sub(completedAt) > completedLimit && !harness.orderMayBeDelayed(r.VM, r.Start) {
		harness.reportViolation("TWICE task %s run %d on VM %s was started %s after its job was shown as completed%s; %s", r.Task, r.Run, r.VM, r.Start.Sub(completedAt).Round(time.Millisecond), harness.describeSender(r), harness.contact.describe(r.Start))
	}
	if r.Spec != j.Spec {
		harness.reportViolation("UNASKED task %s was started with the spec %q instead of %q", r.Task, r.Spec, j.Spec)
	}
	if !refusedAt.IsZero() {
		harness.reportViolation("REFUSED task %s was started, but all replies to the submission of its job were refusals", r.Task)
	}
	if !cancelAckedAt.IsZero() && r.Start.Sub(cancelAckedAt) > cancelLimit && !harness.orderMayBeDelayed(r.VM, r.Start) {
		harness.reportViolation("UNASKED task %s run %d was started %s after the cancellation of its job was acknowledged%s", r.Task, r.Run, r.Start.Sub(cancelAckedAt), harness.describeSender(r))
	}
	// Without an acknowledgement, the owner may not know of a failed run and may retry the task.
	failed := 0
	for i := range earlier {
		if earlier[i].How == "failed" && earlier[i].Acknowledged && earlier[i].End.Before(r.Start) {
			failed++
		}
	}
	// Long-running tasks are restarted after any number of failed runs.
	if failed >= emul.MaxAttempts && !r.LongRunning {
		harness.reportViolation("BUDGET task %s run %d was started after %d failed runs", r.Task, r.Run, failed)
	}
	for _, a := range j.Steps[id.Step].After {
		for i := range j.Steps[a].Count {
			if !doneBefore(h[formatTaskID(j, a, i)], r.Start) {
				harness.reportViolation("ORDER task %s run %d was started before its dependency %s was done", r.Task, r.Run, formatTaskID(j, a, i))
			}
		}
	}
	// An order ended the run: a stop, or a move or maintenance of its machine, which the emulator
	// records as "ordered away". Orders that a fault may have delayed are not checked.
	if r.LongRunning && !r.End.IsZero() && (r.How == "stopped" || r.How == "ordered away") && r.VMHealthy && !harness.orderMayBeDelayed(r.VM, r.End) {
		harness.checkAvailability(j, id, r, h)
	}
}

// describeSender names the entry that ordered a start, if that is known, and says whether it was in touch.
func (harness *Harness) describeSender(r *emul.TaskRun) string {
	switch {
	case r.Sender == "":
		return ""
	case harness.contact.entryInTouch(r.Sender, r.Start):
		return " by " + r.Sender
	}
	return " by " + r.Sender + ", which was not in touch"
}

func doneBefore(runs []emul.TaskRun, t time.Time) bool {
	for i := range runs {
		if runs[i].How == "done" && runs[i].End.Before(t) {
			return true
		}
	}
	return false
}

// checkAvailability checks a run of a long-running task that ended because of an order. At that
// time at most MayMiss tasks of the step, including this one, may be unavailable. Jobs cancelled
// earlier and steps with MayMiss 0 are not checked.
func (harness *Harness) checkAvailability(j *Job, id jobs.TaskID, r *emul.TaskRun, h history) {
	j.mu.Lock()
	cancelled := !j.cancelSentAt.IsZero() && j.cancelSentAt.Before(r.End)
	j.mu.Unlock()
	st := &j.Steps[id.Step]
	if cancelled || st.MayMiss == 0 {
		return
	}
	unavailable := 0
	for i := range st.Count {
		if i != id.Index && isUnavailable(h[formatTaskID(j, id.Step, i)], r.End, j.acceptedAt) {
			unavailable++
		}
	}
	if unavailable >= st.MayMiss {
		harness.reportViolation("AVAIL task %s run %d on VM %s was %s while %d other tasks of its step were unavailable", r.Task, r.Run, r.VM, r.How, unavailable)
	}
}

// isUnavailable reports whether a long-running task was unavailable at time t: it had no active
// run, and either an order had ended its last run or that run ended more than absenceLimit
// before. For a task that had no run yet, the acceptance of its job counts instead of that end.
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
