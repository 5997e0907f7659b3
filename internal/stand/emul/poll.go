package emul

import (
	"net/http"
	"time"
)

// poll serves a status poll: it renews the lease, drops the run ends that the cursor
// acknowledges, waits up to WaitMS for a run to end if none is pending, and returns the active
// runs and the first of the pending run ends. w.mu is held, but not during the wait.
func (w *Worker) poll(rw http.ResponseWriter, r *http.Request, b *workerRequest) {
	w.renewLease(b.UntilMS)
	for len(w.runEnds) > 0 && w.runEnds[0].sequence <= b.Cursor {
		w.acknowledge(w.runEnds[0].taskRun)
		w.runEnds = w.runEnds[1:]
	}
	if len(w.runEnds) == 0 && b.WaitMS > 0 && !w.awaitRunEnd(r, time.Duration(b.WaitMS)*time.Millisecond) {
		return
	}
	running, ended := [][]any{}, [][]any{}
	for name, a := range w.running {
		percent := 100
		if !a.task.LongRunning {
			percent = int(min(100*(a.resumed+time.Since(a.taskRun.Start))/max(a.task.Duration, 1), 99))
		}
		// Task, run, checkpoint, percent of the task done, CPU in use. The emulator does not simulate the
		// CPU in use.
		running = append(running, []any{name, a.taskRun.Run, a.checkpoint(time.Now(), checkpointInterval), percent, 1000})
	}
	for _, e := range w.runEnds[:min(len(w.runEnds), maxListedEnds)] {
		// Sequence number, task, run, outcome, checkpoint.
		ended = append(ended, []any{e.sequence, e.task, e.run, e.how, e.saved})
	}
	reply(rw, map[string]any{"clockMs": w.clockMS(), "born": w.startedAt.UnixMilli(), "running": running, "ended": ended})
}

// awaitRunEnd waits until a run ends, at most for the given time, and reports whether the caller still waits for the
// reply. w.mu is held, but not during the wait.
func (w *Worker) awaitRunEnd(r *http.Request, wait time.Duration) bool {
	runEnded := w.runEnded
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-runEnded:
	case <-time.After(wait):
	case <-r.Context().Done():
		return false
	}
	return true
}

// acknowledge records that the owner has acknowledged the end of a run. By the platform's
// rules the acknowledgement does not count if the VM's lease expired after the run ended, so
// the task may then run again; w.mu is held.
func (w *Worker) acknowledge(r *TaskRun) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	r.Acknowledged = r.Acknowledged || !w.leaseExpiredAt.After(r.End)
}
