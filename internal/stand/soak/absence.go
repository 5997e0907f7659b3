package soak

import (
	"cmp"
	"fmt"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// Bounds of the rule that a long-running task has to run.
const (
	restartLimit   = 6 * time.Second // from the end of its last run, until which it need not run
	absenceAllowed = 3 * time.Second // for which it may then have no run on end, while VMs have room for it
	calmBefore     = 4 * time.Second // without disturbance before that
	roomFactor     = 2               // times the room that the task needs
	maxCheckGap    = time.Second     // between two checks; after a longer one nothing is known of the room meanwhile
)

// absence is what is known of a long-running task without a run.
type absence struct {
	overdueSince time.Time // since when each check has found that it has to run; zero if the latest one has not
	reported     bool
	pool         string // of the VM of its latest run; empty if no check has seen one
}

// record records a check of the task and reports whether it violates the rule. lastEnd is when its last run ended or, if
// it never ran, its job was accepted; slots how many times its pool has room for it.
func (a *absence) record(now, lastEnd, disturbedAt time.Time, running bool, slots int) (violates bool) {
	if running || slots < roomFactor || now.Sub(lastEnd) < restartLimit || now.Sub(disturbedAt) < calmBefore {
		a.overdueSince, a.reported = time.Time{}, a.reported && !running
		return false
	}
	if a.overdueSince.IsZero() {
		a.overdueSince = now
	}
	violates = now.Sub(a.overdueSince) >= absenceAllowed && !a.reported
	a.reported = a.reported || violates
	return violates
}

// checkAbsences checks that long-running tasks run, as far as nothing disturbs.
func (harness *Harness) checkAbsences(now time.Time) {
	if now.Sub(harness.absencesAt) > maxCheckGap {
		for _, a := range harness.absences {
			a.overdueSince = time.Time{}
		}
	}
	harness.absencesAt = now
	disturbedAt := harness.disturbedAt(now)
	for _, j := range harness.registry.All() {
		j.mu.Lock()
		acceptedAt, wanted := j.acceptedAt, !j.acceptedAt.IsZero() && j.cancelSentAt.IsZero()
		j.mu.Unlock()
		if !wanted || !j.longRunning() {
			continue
		}
		for s := range j.Steps {
			if j.Steps[s].crashesVM {
				continue
			}
			for i := range j.Steps[s].Count {
				harness.checkAbsence(now, j, jobs.TaskID{Job: j.ID, Step: s, Index: i}, acceptedAt, disturbedAt)
			}
		}
	}
}

func (harness *Harness) checkAbsence(now time.Time, j *Job, id jobs.TaskID, acceptedAt, disturbedAt time.Time) {
	runs := harness.platform.Ledger.RunsOf(id.String())
	a := harness.absences[id.String()]
	if a == nil {
		a = &absence{}
		harness.absences[id.String()] = a
	}
	lastEnd, last := acceptedAt, "none"
	for i := range runs {
		if runs[i].End.After(lastEnd) {
			lastEnd, last = runs[i].End, fmt.Sprintf("run %d on VM %s%s, %s", runs[i].Run, runs[i].VM, harness.describeSender(&runs[i]), runs[i].How)
		}
	}
	running := isRunning(runs)
	if running {
		if vm := harness.findVM(runs[len(runs)-1].VM); vm != nil {
			a.pool = vm.Pool
		}
	}
	pool := cmp.Or(a.pool, harness.poolOf(j))
	slots := 0
	if !running {
		slots = harness.slots(j, id.Step, pool)
	}
	if a.record(now, lastEnd, disturbedAt, running, slots) {
		harness.reportViolation("LOST long-running task %s has no run for %s, although the VMs of pool %s have room for it %d times and nothing has disturbed for %s; last: %s",
			id, now.Sub(lastEnd).Round(100*time.Millisecond), pool, slots, now.Sub(disturbedAt).Round(100*time.Millisecond), last)
	}
}

// poolOf returns the pool of a job's queue, empty if the queue has moved.
func (harness *Harness) poolOf(j *Job) string {
	harness.mu.Lock()
	_, moved := harness.movedAt[j.Queue]
	harness.mu.Unlock()
	if moved {
		return ""
	}
	harness.publishing.Lock()
	defer harness.publishing.Unlock()
	for _, q := range harness.queues {
		if q.Name == j.Queue {
			return q.Pool
		}
	}
	return ""
}

// slots returns how many more tasks of a step the VMs of a pool have room for.
func (harness *Harness) slots(j *Job, step int, pool string) int {
	st, n := &j.Steps[step], 0
	for _, vm := range harness.platform.VMs() {
		if vm.Pool != pool {
			continue
		}
		cpu, memMB, tasks := vm.Free()
		fit := st.Count
		if st.CPU > 0 {
			fit = min(fit, cpu/st.CPU)
		}
		if st.MemMB > 0 {
			fit = min(fit, memMB/st.MemMB)
		}
		if st.PerVM > 0 {
			fit = min(fit, st.PerVM-countOfStep(tasks, j.ID, step))
		}
		n += max(fit, 0)
	}
	return n
}

// countOfStep returns how many of the given tasks are of a step.
func countOfStep(tasks []string, job string, step int) int {
	n := 0
	for _, task := range tasks {
		if id, err := jobs.ParseTaskID(task); err == nil && id.Job == job && id.Step == step {
			n++
		}
	}
	return n
}

// disturbedAt returns when a fault or planned work was last in effect.
func (harness *Harness) disturbedAt(now time.Time) time.Time {
	latest := harness.platform.DisturbedAt()
	for _, at := range []time.Time{harness.contact.disturbedAt(now), harness.faults.disturbedAt(now)} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}
