package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// The users' bounds.
const (
	visible    = 3 * time.Second         // an accepted job is known
	cancelTime = 3 * time.Second         // no start after a cancel's acknowledgement
	noticeTime = 4500 * time.Millisecond // a task that is not at work for so long is away
)

// breach notes a broken promise once.
func (run *Run) breach(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(run.breaches, text) {
		run.breaches = append(run.breaches, text)
		fmt.Fprintf(run.out, "%7.3f BROKEN %s\n", time.Since(run.began).Seconds(), text)
	}
}

// history is what has run, by task.
type history map[string][]emul.TaskRun

func (run *Run) history() history {
	h := history{}
	for _, r := range run.world.Ledger.Runs() {
		h[r.Task] = append(h[r.Task], r)
	}
	return h
}

// ended counts the runs of a task that ended in a way.
func (h history) ended(task, how string) int {
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

// judgeState holds a state that a caller was told against what has run.
func (run *Run) judgeState(j *Job, state string) {
	h := run.history()
	j.mu.Lock()
	cancelled := !j.cancel.IsZero()
	j.mu.Unlock()
	switch state {
	case "completed":
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				if task := taskName(j, s, i); h.ended(task, "done") == 0 {
					run.breach("job %s is shown as completed, %s is not done", j.ID, task)
				}
			}
		}
	case "failed":
		if !run.exhausted(j, h) {
			run.breach("job %s is shown as failed without cause", j.ID)
		}
	case "cancelled":
		if !cancelled {
			run.breach("job %s is shown as cancelled, nobody cancelled it", j.ID)
		}
	}
}

func (run *Run) exhausted(j *Job, h history) bool {
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if h.ended(taskName(j, s, i), "failed") >= emul.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// checkRuns holds all runs against what callers sent and were told.
func (run *Run) checkRuns() {
	if broken := run.world.Ledger.FirstViolation(); broken != "" {
		run.breach("%s", broken)
	}
	h := run.history()
	for task, runs := range h {
		id, err := jobs.ParseTaskID(task)
		if err != nil {
			run.breach("start of %q: %v", task, err)
			continue
		}
		j := run.book.Find(id.Job)
		if j == nil || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
			run.breach("%s was started, nobody handed it in", task)
			continue
		}
		for i := range runs {
			run.checkRun(j, id, &runs[i], runs[:i], h)
		}
	}
	for _, b := range run.world.Violations() {
		run.breach("%s", b)
	}
}

func (run *Run) checkRun(j *Job, id jobs.TaskID, r *emul.TaskRun, earlier []emul.TaskRun, h history) {
	j.mu.Lock()
	refused, ended := j.refused, j.ended
	j.mu.Unlock()
	if r.Spec != j.Spec {
		run.breach("%s was started with the spec %q, not %q", r.Task, r.Spec, j.Spec)
	}
	if !refused.IsZero() {
		run.breach("%s runs, its caller was told that it never would", r.Task)
	}
	if !ended.IsZero() && r.Start.Sub(ended) > cancelTime && !run.lateOn(r.VM, r.Start) {
		run.breach("%s run %d was started %s after its job's cancel was acknowledged", r.Task, r.Run, r.Start.Sub(ended))
	}
	failed := 0
	for i := range earlier {
		if earlier[i].How == "failed" && earlier[i].Acknowledged && earlier[i].End.Before(r.Start) {
			failed++
		}
	}
	if failed >= emul.MaxAttempts && !r.LongRunning {
		run.breach("%s run %d was started after %d failures", r.Task, r.Run, failed)
	}
	for _, a := range j.Steps[id.Step].After {
		for i := range j.Steps[a].Count {
			if !doneBy(h[taskName(j, a, i)], r.Start) {
				run.breach("%s run %d was started before %s was done", r.Task, r.Run, taskName(j, a, i))
			}
		}
	}
	if r.LongRunning && !r.End.IsZero() && (r.How == "stopped" || r.How == "ordered away") && r.VMHealthy && !run.lateOn(r.VM, r.End) {
		run.checkAvailability(j, id, r, h)
	}
}

func doneBy(runs []emul.TaskRun, t time.Time) bool {
	for i := range runs {
		if runs[i].How == "done" && runs[i].End.Before(t) {
			return true
		}
	}
	return false
}

// checkAvailability judges an order that ended a task that lasts.
func (run *Run) checkAvailability(j *Job, id jobs.TaskID, r *emul.TaskRun, h history) {
	j.mu.Lock()
	cancelled := !j.cancel.IsZero() && j.cancel.Before(r.End)
	j.mu.Unlock()
	st := &j.Steps[id.Step]
	if cancelled || st.MayMiss == 0 {
		return
	}
	away := 0
	for i := range st.Count {
		if i != id.Index && isAway(h[taskName(j, id.Step, i)], r.End, j.accepted) {
			away++
		}
	}
	if away >= st.MayMiss {
		run.breach("%s run %d on %s was %s while %d other tasks of its step were away", r.Task, r.Run, r.VM, r.How, away)
	}
}

// isAway reports whether a task that lasts was away at a time: ended by an order, or
// not at work for long.
func isAway(runs []emul.TaskRun, t, accepted time.Time) bool {
	last, how := accepted, ""
	for i := range runs {
		r := &runs[i]
		if r.Start.Before(t) && (r.End.IsZero() || !r.End.Before(t)) {
			return false
		}
		if r.Start.Before(t) && r.End.After(last) {
			last, how = r.End, r.How
		}
	}
	return how == "stopped" || how == "ordered away" || t.Sub(last) > noticeTime
}
