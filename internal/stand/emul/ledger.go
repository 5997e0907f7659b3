package emul

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// A task that crashes its VMs is not started startsAfterCrashes times after maxCrashes VMs have crashed under it.
const (
	maxCrashes         = 3
	startsAfterCrashes = 3
	crashed            = "gone" // outcome of the runs on a VM that crashes
)

// TaskRun is one run of a task, as recorded by its VM. Once it is in a ledger, the lock of the ledger guards it.
type TaskRun struct {
	Task         string
	Run          int64
	VM           string
	Sender       string // entry that ordered the start; empty if that is not known
	Spec         string
	LongRunning  bool
	Checkpoint   string // that its start carried; empty if there was none
	Account      string // client account of the job's caller; empty if it has none
	Reserved     Resources
	Start        time.Time
	End          time.Time // zero while it runs
	How          string    // outcome: done, failed, stopped, lapsed (the VM's lease expired), or the argument of Worker.Kill
	Acknowledged bool      // a status poll acknowledged the end before the VM's lease expired
	VMHealthy    bool      // no injected fault was active on its VM when the run ended
	CrashesVM    bool      // it crashes its VM
}

// Ledger records the task runs of all VMs.
type Ledger struct {
	mu     sync.Mutex
	runs   []*TaskRun
	byTask map[string][]*TaskRun
	// violations are starts that brought a VM over its capacity.
	violations []string
}

func (l *Ledger) addViolation(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
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

// end records the end of a run.
func (l *Ledger) end(r *TaskRun, how string, vmHealthy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.End, r.How, r.VMHealthy = time.Now(), how, vmHealthy
}

// RunsOf returns copies of the runs of a task in the order of their starts.
func (l *Ledger) RunsOf(task string) []TaskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []TaskRun
	for _, r := range l.byTask[task] {
		out = append(out, *r)
	}
	return out
}

// FirstViolation returns the first of Violations, or an empty string.
func (l *Ledger) FirstViolation() string {
	if list := l.Violations(); len(list) > 0 {
		return list[0]
	}
	return ""
}

// Violations returns descriptions of all violations, in no particular order of tasks, each with the name of its rule.
// The invariants are that a task has at most one run at a time, and that no run of a task starts
// after the end of a run with outcome done has been acknowledged (TWICE), that no start brings a VM over its
// capacity (LIMIT), and that a task that crashes its VMs is not started without end (CRASHES).
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.violations)
	for task, runs := range l.byTask {
		if runs[0].CrashesVM && startedAfterCrashes(runs) >= startsAfterCrashes {
			list = append(list, fmt.Sprintf("CRASHES %s: started %d times or more after %d VMs had crashed while they ran it", task, startsAfterCrashes, maxCrashes))
		}
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				if why := violation(earlier, later); why != "" {
					list = append(list, why)
				}
			}
		}
	}
	return list
}

// startedAfterCrashes returns the number of runs of a task that started after maxCrashes VMs had crashed under it.
func startedAfterCrashes(runs []*TaskRun) int {
	var ends []time.Time
	for _, r := range runs {
		if r.How == crashed {
			ends = append(ends, r.End)
		}
	}
	if len(ends) < maxCrashes {
		return 0
	}
	slices.SortFunc(ends, time.Time.Compare)
	n := 0
	for _, r := range runs {
		if r.Start.After(ends[maxCrashes-1]) {
			n++
		}
	}
	return n
}

// from names the sender for a message.
func (r *TaskRun) from() string {
	if r.Sender == "" {
		return ""
	}
	return " from " + r.Sender
}

// violation describes how two runs of a task violate an invariant, or returns an empty string.
func violation(earlier, later *TaskRun) string {
	if earlier.End.IsZero() || later.Start.Before(earlier.End) {
		return fmt.Sprintf("TWICE %s: run %d on %s%s started while run %d on %s%s was still running", earlier.Task, later.Run, later.VM, later.from(), earlier.Run, earlier.VM, earlier.from())
	}
	if earlier.How == "done" && earlier.Acknowledged {
		return fmt.Sprintf("TWICE %s: run %d on %s%s started %s after the end of run %d, which was acknowledged as done", earlier.Task, later.Run, later.VM, later.from(), later.Start.Sub(earlier.End).Round(time.Millisecond), earlier.Run)
	}
	return ""
}
