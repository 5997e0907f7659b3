package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// maxLoggedRuns is the number of runs that the log line of a lost VM names.
const maxLoggedRuns = 8

// logLostVM logs the loss of a VM's incarnation with the runs that it takes along, the youngest first: a
// task that crashes its VM does so soon after its start.
func (s *Scheduler) logLostVM(now time.Time, v *vm, why string) {
	if len(v.runs) == 0 {
		return
	}
	s.stats.LostVMs++
	runs := v.youngestFirst()
	var tasks []string
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		tasks = append(tasks, fmt.Sprintf("%s run %d, %d ms", r.task.id, r.number, now.Sub(r.startedAt).Milliseconds()))
	}
	s.log.WithFields(logrus.Fields{
		"vm": v.ID, "pool": v.Pool, "born": v.Born, "why": why, "silent-ms": now.Sub(v.lastAnswer).Milliseconds(),
		"cordoned": v.cordoned, "draining": v.Draining, "runs": len(runs), "youngest": tasks,
	}).Info("VM lost with its runs")
}

// youngestFirst returns the VM's runs ordered by the time since their start, equal ones by task.
func (v *vm) youngestFirst() []*run {
	runs := make([]*run, 0, len(v.runs))
	for _, r := range v.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if c := b.startedAt.Compare(a.startedAt); c != 0 {
			return c
		}
		return a.task.id.Compare(b.task.id)
	})
	return runs
}
