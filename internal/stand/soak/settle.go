package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// settle ends all harm and waits until all jobs have come to their end.
func (run *Run) settle(callers []*caller) {
	for _, e := range run.entries {
		e.heal()
		e.Signal(syscall.SIGCONT)
		if err := e.Start(); err != nil {
			run.breach("%v", err)
		}
	}
	if err := run.world.Repair(); err != nil {
		run.breach("%v", err)
	}
	run.log("all is healed")
	if !run.await(run.allReady) {
		run.breach("not all entries are ready %s after the last fault", settleLimit)
	}
	if !run.await(func() bool { return run.openJobs(callers, false) == 0 }) {
		run.openJobs(callers, true)
	}
	if !run.await(run.wavesDone) {
		run.breach("a maintenance wave is not completed %s after the last fault", settleLimit)
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
	for n := range run.waves {
		if !run.world.WaveCompleted(n + 1) {
			return false
		}
	}
	return true
}

// openJobs counts the accepted jobs that have not come to their end.
func (run *Run) openJobs(callers []*caller, report bool) int {
	h := run.history()
	n := 0
	for _, c := range callers {
		for _, j := range c.mine {
			why := run.open(c, j, h)
			if why == "" {
				continue
			}
			n++
			if report {
				run.breach("job %s (%s): %s, %s after the last fault", j.ID, j.Shape, why, settleLimit)
			}
		}
	}
	return n
}

// open says why a job has not come to its end, empty if it has.
func (run *Run) open(c *caller, j *Job, h history) string {
	j.mu.Lock()
	cancelled := !j.cancel.IsZero()
	j.mu.Unlock()
	if cancelled {
		c.cancel(j) // until it is acknowledged
	}
	state := c.ask(j)
	switch {
	case cancelled && (state == "" || state == "running" || state == "queued"):
		return "cancelled, shown as " + state
	case !j.lasts() && state != "completed" && state != "failed" && state != "cancelled":
		return "shown as " + state
	}
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			running := runsNow(h[taskName(j, s, i)])
			if final := cancelled || !j.lasts(); running == final {
				return fmt.Sprintf("%s runs: %t, shown as %s", taskName(j, s, i), running, state)
			}
		}
	}
	return ""
}

func runsNow(runs []emul.TaskRun) bool {
	for i := range runs {
		if runs[i].End.IsZero() {
			return true
		}
	}
	return false
}

func (run *Run) await(ok func() bool) bool {
	const poll = 200 * time.Millisecond
	for end := time.Now().Add(settleLimit); time.Now().Before(end); time.Sleep(poll) {
		if ok() {
			return true
		}
	}
	return false
}
