package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// settle ends all faults, and then waits until all entries are ready, all accepted jobs are
// finished and all maintenance waves are completed. Each wait that takes longer than
// settleTimeout is a violation.
func (run *Run) settle(callers []*caller) {
	for _, e := range run.entries {
		e.clearFaults()
		e.Signal(syscall.SIGCONT)
		if err := e.Start(); err != nil {
			run.reportViolation("%v", err)
		}
	}
	if err := run.platform.Repair(); err != nil {
		run.reportViolation("%v", err)
	}
	run.log("all faults have ended; waiting for entries, jobs and maintenance waves")
	if !run.await(run.allReady) {
		run.reportViolation("not all entries are ready %s after the last fault", settleTimeout)
	}
	if !run.await(func() bool { return run.countUnfinished(callers, false) == 0 }) {
		run.countUnfinished(callers, true)
	}
	if !run.await(run.wavesDone) {
		run.reportViolation("a maintenance wave is not completed %s after the last fault", settleTimeout)
	}
}

func (run *Run) allReady() bool {
	for _, e := range run.entries {
		if !e.Ready() {
			return false
		}
	}
	return true
}

func (run *Run) wavesDone() bool {
	for n := range run.waveCount {
		if !run.platform.WaveCompleted(n + 1) {
			return false
		}
	}
	return true
}

// countUnfinished returns the number of accepted jobs that are not finished, and reports each
// as a violation if report is set.
func (run *Run) countUnfinished(callers []*caller, report bool) int {
	h := run.history()
	n := 0
	for _, c := range callers {
		for _, j := range c.accepted {
			reason := run.unfinishedReason(c, j, h)
			if reason == "" {
				continue
			}
			n++
			if report {
				run.reportViolation("job %s (%s): %s, %s after the last fault", j.ID, j.Shape, reason, settleTimeout)
			}
		}
	}
	return n
}

// unfinishedReason returns why a job is not finished, empty if it is. A long-running job
// that is not cancelled counts as finished while all its tasks run.
func (run *Run) unfinishedReason(c *caller, j *Job, h history) string {
	j.mu.Lock()
	cancelled := !j.cancelSentAt.IsZero()
	j.mu.Unlock()
	if cancelled {
		c.cancel(j) // repeated, as the acknowledgement may have been lost
	}
	state := c.queryState(j)
	switch {
	case cancelled && (state == "" || state == "running" || state == "queued"):
		return "cancelled, but reported as " + state
	case !j.longRunning() && state != "completed" && state != "failed" && state != "cancelled":
		return "reported as " + state
	}
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			running := isRunning(h[taskName(j, s, i)])
			if mustHaveEnded := cancelled || !j.longRunning(); running == mustHaveEnded {
				return fmt.Sprintf("task %s is running: %t, and the job is reported as %s", taskName(j, s, i), running, state)
			}
		}
	}
	return ""
}

func isRunning(runs []emul.TaskRun) bool {
	for i := range runs {
		if runs[i].End.IsZero() {
			return true
		}
	}
	return false
}

// await polls condition for up to settleTimeout and reports whether it became true.
func (run *Run) await(condition func() bool) bool {
	const pollInterval = 200 * time.Millisecond
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}
