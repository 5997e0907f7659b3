package emul

import (
	"fmt"
	"sync"
	"time"
)

// TaskRun is one run of a task, as the VM saw it.
type TaskRun struct {
	Task         string
	Run          int64
	VM           string
	Spec         string
	LongRunning  bool
	Start        time.Time
	End          time.Time // zero while it runs
	How          string
	Acknowledged bool // the end was acknowledged
	VMHealthy    bool // its VM had no fault when the run ended
}

// Ledger is what ran on all VMs.
type Ledger struct {
	mu     sync.Mutex
	runs   []*TaskRun
	byTask map[string][]*TaskRun
}

// Runs returns a copy of the record.
func (l *Ledger) Runs() []TaskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]TaskRun, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	return out
}

// add takes a run down and returns how many earlier ones of its task failed.
func (l *Ledger) add(r *TaskRun) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byTask == nil {
		l.byTask = map[string][]*TaskRun{}
	}
	failed := 0
	for _, x := range l.byTask[r.Task] {
		if x.How == "failed" {
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

// FirstViolation returns the first breach of at most one run of a task at a time, and of no
// start after a done end was noted.
func (l *Ledger) FirstViolation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.byTask {
		for i, b := range runs {
			for _, a := range runs[:i] {
				if why := breach(a, b); why != "" {
					return why
				}
			}
		}
	}
	return ""
}

// breach compares a run with a later one of its task.
func breach(a, b *TaskRun) string {
	if a.End.IsZero() || b.Start.Before(a.End) {
		return fmt.Sprintf("%s: run %d on %s began while run %d on %s went on", a.Task, b.Run, b.VM, a.Run, a.VM)
	}
	if a.How == "done" && a.Acknowledged {
		return fmt.Sprintf("%s: run %d on %s began after run %d was done", a.Task, b.Run, b.VM, a.Run)
	}
	return ""
}
