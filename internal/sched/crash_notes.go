package sched

import (
	"fmt"
	"time"

	"github.com/greengagelane/greengagelane/internal/blame"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// crashTexts describes crashes for operators.
func crashTexts(r blame.Record) []string {
	var list []string
	for _, c := range r {
		text := fmt.Sprintf("VM %s (born %d) after %d ms, share of the blame %.2f", c.VM, c.Born, c.Age.Milliseconds(), c.Share)
		if c.Unconfirmed {
			text += ", run not confirmed"
		}
		if c.Lapsed {
			text += ", VM may have been cut off"
		}
		list = append(list, text)
	}
	return list
}

// crashNotes returns the record of a task for the job log.
func (t *task) crashNotes() []jobs.CrashNote {
	var notes []jobs.CrashNote
	for _, c := range t.crashes {
		notes = append(notes, jobs.CrashNote{VM: c.VM, Born: c.Born, AgeMS: c.Age.Milliseconds(), Percent: int(100*c.Share + 0.5), Unconfirmed: c.Unconfirmed, Lapsed: c.Lapsed})
	}
	return notes
}

// maxPlacesOfStep bounds the size of a job's progress: the places of the tasks of larger long-running steps are
// not recorded.
const maxPlacesOfStep = 256

// recordsPlace reports whether the job log has to say where a task runs, so that the next owner counts a crash
// there.
func (t *task) recordsPlace() bool {
	return len(t.runs) > 0 && (len(t.crashes) > 0 || t.cleared > 0 || (t.step.Lasts && t.step.Count <= maxPlacesOfStep))
}

// note returns the progress of a task for the job log.
func (t *task) note(occurrence int) jobs.TaskProgress {
	n := jobs.TaskProgress{
		Occurrence: occurrence, Step: t.step.number, Index: t.id.Index,
		Failed: t.failedRuns, Checkpoint: t.checkpoint, Crashes: t.crashNotes(), Cleared: t.cleared,
	}
	if t.recordsPlace() {
		n.On, n.StartedMS = t.runs[0].vm.ID, t.runs[0].startedAt.UnixMilli()
	}
	return n
}

func (t *task) restoreCrashes(notes []jobs.CrashNote) {
	t.crashes = nil
	for _, n := range notes {
		t.crashes = append(t.crashes, blame.Crash{VM: n.VM, Born: n.Born, Age: time.Duration(n.AgeMS) * time.Millisecond, Share: float64(n.Percent) / 100, Unconfirmed: n.Unconfirmed, Lapsed: n.Lapsed})
	}
}
