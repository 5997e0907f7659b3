package soak

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// settle clears the faults of all links of entries, resumes and starts the entries, and boots
// the machines that are down. All other faults have been cleared before. It then waits until
// all entries are ready, all accepted jobs are finished and all maintenance waves are
// completed; each of the three waits that exceeds settleTimeout is a violation.
func (harness *Harness) settle(callers []*caller) {
	for _, e := range harness.entries {
		e.clearFaults()
		e.Signal(syscall.SIGCONT)
		if err := e.Start(); err != nil {
			harness.reportViolation("%v", err)
		}
	}
	if err := harness.platform.Repair(); err != nil {
		harness.reportViolation("%v", err)
	}
	harness.log("all faults have ended; waiting for entries, jobs and maintenance waves")
	if !harness.await(harness.allEntriesReady) {
		harness.reportViolation("READY not all entries are ready after waiting %s", settleTimeout)
	}
	if !harness.await(func() bool { return harness.countUnfinished(callers, false) == 0 }) {
		harness.countUnfinished(callers, true)
	}
	if !harness.await(harness.allWavesCompleted) {
		harness.reportViolation("WAVE a maintenance wave is not completed after waiting %s", settleTimeout)
	}
}

func (harness *Harness) allEntriesReady() bool {
	for _, e := range harness.entries {
		if !e.Ready() {
			return false
		}
	}
	return true
}

func (harness *Harness) allWavesCompleted() bool {
	for n := range harness.waveCount {
		if !harness.platform.WaveCompleted(n + 1) {
			return false
		}
	}
	return true
}

// countUnfinished queries the states of all accepted jobs, sends their cancellations again, and
// returns the number of jobs that are not finished. If report is set, it reports each of these as
// a violation.
func (harness *Harness) countUnfinished(callers []*caller, report bool) int {
	h := harness.history()
	var n atomic.Int64
	var active sync.WaitGroup
	for _, c := range callers {
		active.Go(func() {
			for _, j := range c.accepted {
				reason := harness.unfinishedReason(c, j, h)
				if reason == "" {
					continue
				}
				n.Add(1)
				if report {
					harness.reportViolation("LOST job %s (shape %s): %s, after waiting %s", j.ID, j.Shape, reason, settleTimeout)
				}
			}
		})
	}
	active.Wait()
	return int(n.Load())
}

// unfinishedReason returns why a job is not finished, empty if it is. A long-running job
// that is not cancelled counts as finished while all its tasks run, or if there is no room for them. For a cancelled job, it
// sends the cancellation again.
func (harness *Harness) unfinishedReason(c *caller, j *Job, h history) string {
	j.mu.Lock()
	cancelled := !j.cancelSentAt.IsZero()
	j.mu.Unlock()
	if cancelled {
		c.cancel(j) // again, as the first request may have been lost
	}
	state := c.queryState(j)
	switch {
	case cancelled && (state == "" || state == "running" || state == "queued"):
		return "cancelled, but its reported state (empty if the query failed) is " + state
	case !j.longRunning() && state != "completed" && state != "failed" && state != "cancelled":
		return "its reported state (empty if the query failed) is " + state
	}
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			running := isRunning(h[formatTaskID(j, s, i)])
			if mustHaveEnded := cancelled || !j.longRunning(); running == mustHaveEnded && (running || !j.mayWait) {
				return fmt.Sprintf("task %s: running is %t, but the job is reported as %s", formatTaskID(j, s, i), running, state)
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
func (harness *Harness) await(condition func() bool) bool {
	const pollInterval = 200 * time.Millisecond
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}
