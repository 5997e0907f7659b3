package emul

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// checkpointInterval is the work between two checkpoints of a run.
const checkpointInterval = 200 * time.Millisecond

// checkpoint returns the run's newest checkpoint, which names the task and the work saved, in milliseconds. It
// is empty if the task writes none. An ended run has saved all its work, which an interval of 1 gives.
func (a *activeRun) checkpoint(now time.Time, interval time.Duration) string {
	if !a.task.Saves {
		return ""
	}
	worked := a.resumed + now.Sub(a.taskRun.Start).Truncate(interval)
	if worked < time.Millisecond {
		return ""
	}
	return fmt.Sprintf("%s/%d", a.taskRun.Task, worked.Milliseconds())
}

// savedWork returns the work that a checkpoint holds.
func savedWork(checkpoint string) time.Duration {
	_, ms, _ := strings.Cut(checkpoint, "/")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// ForeignCheckpoint reports whether the run was started with a checkpoint that is not its task's.
func (r *TaskRun) ForeignCheckpoint() bool {
	return r.Checkpoint != "" && !strings.HasPrefix(r.Checkpoint, r.Task+"/")
}

// PendingEnds returns the number of run ends that the VM lists and that have not been acknowledged.
func (w *Worker) PendingEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runEnds)
}
