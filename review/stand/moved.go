package main

import (
	"fmt"
	"net/http"
	"time"
)

// playMoved drops a queue and adds it again on another service. Later one of the requests that handed a job in
// before arrives once more.
func playMoved(s *scene) ([]string, error) {
	const (
		budget = 3 * time.Second
		apply  = 2 * time.Second // configApplyMs
		work   = 4 * time.Second
		job    = "5c0e7a21d94b36f8"
	)
	services := map[string]bool{"alpha": true, "beta": true}
	if err := s.set(3, "rest", services); err != nil {
		return nil, err
	}
	keep := map[string]string{"qs": "alpha", "qt": "beta"}
	with := func(service string) map[string]string {
		return map[string]string{"qs": "alpha", "qt": "beta", "qa": service}
	}
	s.store.put("keyed.op", "config", operatorConfig(3, with("alpha"), services, "rest"))
	for i := range 2 {
		for _, pool := range []string{"alpha", "beta"} {
			if err := s.cloud.add(fmt.Sprintf("m-%s-%d", pool, i+1), pool, 64_000, 262_144); err != nil {
				return nil, err
			}
		}
	}
	if err := s.begin(s.entries...); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	s.floor.setUnits(job, unit{cpu: 2000, mem: 1024, work: work})
	body := map[string]any{"spec": "licence", "steps": []map[string]any{{"count": 3, "cpu": 2000, "memMb": 1024, "estimateMs": work.Milliseconds()}}}
	if status, _ := s.entries[0].call(http.MethodPost, "/qa/"+job, body, budget); status != http.StatusOK {
		return nil, errNotAccepted
	}
	time.Sleep(200 * time.Millisecond)
	if s.trouble {
		s.rec.say("version 5 drops the queue qa; version 8 adds it on the service beta")
		s.store.put("keyed.op", "config", operatorConfig(5, keep, services, "rest"))
		time.Sleep(500 * time.Millisecond)
		s.store.put("keyed.op", "config", operatorConfig(8, with("beta"), services, "rest"))
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(apply)
	status, _ := s.entries[1].call(http.MethodPost, "/qa/"+job, body, budget)
	s.rec.say("the same request again, at another entry: status %d", status)
	time.Sleep(2*work + 2*time.Second)
	s.rec.say("%d work units, %d runs", 3, len(s.floor.snapshot()))
	return s.floor.twice(), nil
}
