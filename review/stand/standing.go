package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playStanding hands in one standing job for each worker that needs more room than the worker has left, and
// then ordinary jobs that have room many times over.
func playStanding(s *scene) ([]string, error) {
	const (
		workers = 2
		budget  = 3 * time.Second
		finish  = 14 * time.Second // finish_s
		limit   = 3 * time.Second  // of the rule, from then on
	)
	if err := s.set(3, "rest", map[string]bool{"alpha": true}); err != nil {
		return nil, err
	}
	s.store.put("keyed.op", "config", operatorConfig(3, map[string]string{"qa": "alpha", "qs": "alpha"}, map[string]bool{"alpha": true}, "rest"))
	for i := range workers {
		if err := s.cloud.add(fmt.Sprintf("m%d", i+1), "alpha", 16_000, 32_768); err != nil {
			return nil, err
		}
	}
	if err := s.begin(s.entries...); err != nil {
		return nil, err
	}
	standing := func(id string, count, cpu int) bool {
		s.floor.setUnits(id, unit{cpu: cpu, mem: 512, lasts: true})
		return s.submit("/qs/"+id, map[string]any{"spec": "archive", "steps": []map[string]any{{
			"count": count, "cpu": cpu, "memMb": 512, "estimateMs": 700, "longRunning": true, "antiAffinity": 1,
		}}}, budget)
	}
	if !standing("a000000000000001", workers, 6000) {
		return nil, errNotAccepted
	}
	if !await(20*time.Second, func() bool { return s.floor.running("a000000000000001") == workers }) {
		return nil, fmt.Errorf("the first standing job does not run on all workers")
	}
	if s.trouble {
		for i := range workers {
			if !standing(fmt.Sprintf("b%015x", i), 1, 12_000) {
				return nil, errNotAccepted
			}
		}
		s.rec.say("%d standing jobs of a work unit of 12 cores are accepted; each worker has 10 of 16 cores left", workers)
	}
	time.Sleep(time.Second)
	accepted := map[string]time.Time{}
	for i := range 3 {
		id := fmt.Sprintf("c%015x", i)
		s.floor.setUnits(id, unit{cpu: 1000, mem: 256, work: 800 * time.Millisecond})
		status, _ := s.entries[i].call(http.MethodPost, "/qa/"+id, map[string]any{"spec": "order", "steps": []map[string]any{{"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 800}}}, budget)
		s.rec.say("ordinary job %s: status %d", id, status)
		if status == http.StatusOK {
			accepted[id] = time.Now()
		}
	}
	if len(accepted) == 0 {
		return nil, errNotAccepted
	}
	s.rec.say("the traffic has ended")
	time.Sleep(finish + limit + time.Second)
	var breaks []string
	for id, at := range accepted {
		first := time.Time{}
		for _, r := range s.floor.snapshot() {
			if strings.HasPrefix(r.task, id) && (first.IsZero() || r.started.Before(first)) {
				first = r.started
			}
		}
		status, text := s.entries[0].call(http.MethodGet, "/qa/"+id, nil, budget)
		if first.IsZero() || first.Sub(at) > finish+limit {
			breaks = append(breaks, fmt.Sprintf("job %s, accepted at %d ms, had nothing running until %s after the end of the traffic; it is shown as %d %s; 20 of 32 cores of its service were free", id, s.rec.ms(at), finish+limit, status, strings.TrimSpace(text)))
		}
	}
	return breaks, nil
}
