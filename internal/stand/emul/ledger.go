package emul

import (
	"fmt"
	"sync"
	"time"
)

// TaskRun is one run of a task as its VM saw it.
type TaskRun struct {
	Task         string
	Run          int64
	VM           string
	Spec         string
	LongRunning  bool
	Start        time.Time
	End          time.Time // zero while it runs
	How          string
	Acknowledged bool // a status poll acknowledged the end before the lease expired
	VMHealthy    bool // no fault was injected into its VM when the run ended
}

// Ledger records the task runs of all VMs.
type Ledger struct {
	mu     sync.Mutex
	runs   []*TaskRun
	byTask map[string][]*TaskRun
}

// Runs returns a copy of all runs in the order of their starts.
func (l *Ledger) Runs() []TaskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]TaskRun, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	return out
}

// add records the start of a run and returns the number of earlier runs of its task that
// failed.
func (l *Ledger) add(r *TaskRun) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTask == nil {
		l.byTask = map[string][]*TaskRun{}
	}
	failed := 0
	for _, earlier := range l.byTask[r.Task] {
		if earlier.How == "failed" {
			failed++
		}
	}
	l.runs = append(l.runs, r)
	l.byTask[r.Task] = append(l.byTask[r.Task], r)
	return failed
}

func (l *Ledger) end(r *TaskRun, how string, sound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.End, r.How, r.VMHealthy = time.Now(), how, sound
}

// FirstViolation returns a description of the first violation found, or an empty string.
// The invariants are that a task has at most one run at a time, and that it does not start
// again once an end with outcome done has been acknowledged.
func (l *Ledger) FirstViolation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.byTask {
		for i, b := range runs {
			for _, a := range runs[:i] {
				if why := violation(a, b); why != "" {
					return why
				}
			}
		}
	}
	return ""
}

// violation checks run a against run b, a later run of the same task.
func violation(a, b *TaskRun) string {
	if a.End.IsZero() || b.Start.Before(a.End) {
		return fmt.Sprintf("%s: run %d on %s started while run %d on %s was still running", a.Task, b.Run, b.VM, a.Run, a.VM)
	}
	if a.How == "done" && a.Acknowledged {
		return fmt.Sprintf("%s: run %d on %s started after run %d was acknowledged as done", a.Task, b.Run, b.VM, a.Run)
	}
	return ""
}
