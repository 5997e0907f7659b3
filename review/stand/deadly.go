package main

import (
	"fmt"
	"strings"
	"time"
)

// playDeadly hands in a standing job whose work units crash each worker that starts them, as a bad release of
// their image would.
func playDeadly(s *scene) ([]string, error) {
	const (
		workers = 8 // in two racks
		members = 5
		healthy = 9 // other standing jobs: one in ten is deadly
		allowed = 5 // starts of a work unit: three crashes, and fewer than three starts after them
		budget  = 3 * time.Second
		down    = 3 * time.Second
		deadly  = 300 * time.Millisecond // from the start of a work unit to the crash, and up to a third more
		watch   = 60 * time.Second
		job     = "5c0e7a21d94b36f8"
	)
	if err := s.set(3, "rest", map[string]bool{"alpha": true}); err != nil {
		return nil, err
	}
	s.store.put("keyed.op", "config", operatorConfig(3, map[string]string{"qa": "alpha"}, map[string]bool{"alpha": true}, "rest"))
	for i := range workers {
		if err := s.cloud.add(fmt.Sprintf("m%d", i+1), "alpha", 64_000, 262_144); err != nil {
			return nil, err
		}
	}
	if err := s.begin(s.entries...); err != nil {
		return nil, err
	}
	standing := map[string]any{"spec": "ledger", "steps": []map[string]any{{
		"count": members, "cpu": 5300, "memMb": 20_000, "estimateMs": 700, "longRunning": true, "antiAffinity": 1, "mayMiss": 1,
	}}}
	ledger := unit{cpu: 5300, mem: 20_000, lasts: true}
	for i := range healthy {
		id := fmt.Sprintf("a%015x", i)
		s.floor.setUnits(id, ledger)
		if !s.submit("/qa/"+id, standing, budget) {
			return nil, errNotAccepted
		}
		if !await(20*time.Second, func() bool { return s.floor.running(id) == members }) {
			return nil, fmt.Errorf("the standing job %s does not run", id)
		}
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		ledger.deadly = deadly
		s.floor.crash = func(w *worker) { s.cloud.crash(w, down) }
	}
	s.floor.setUnits(job, ledger)
	if !s.submit("/qa/"+job, standing, budget) {
		return nil, errNotAccepted
	}
	time.Sleep(watch)
	starts, crashes, lost := map[string]int{}, map[string]int{}, 0
	for _, r := range s.floor.snapshot() {
		switch {
		case strings.HasPrefix(r.task, job):
			starts[r.task]++
			if r.how == "lost" {
				crashes[r.task]++
			}
		case r.how == "lost":
			lost++
		}
	}
	var breaks []string
	for i := range members {
		task := fmt.Sprintf("%s.0.0.%d", job, i)
		s.rec.say("%s: %d starts, %d workers crashed under it", task, starts[task], crashes[task])
		if crashes[task] >= 3 && starts[task] > allowed {
			breaks = append(breaks, fmt.Sprintf("%s was started %d times, %d of them after three workers had crashed under it", task, starts[task], starts[task]-3))
		}
	}
	s.rec.say("%d runs of the other jobs were lost with their workers", lost)
	return breaks, nil
}
