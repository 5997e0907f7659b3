package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playEnds runs many jobs of short work units while the store is down. The ends of their runs can't be taken
// note of meanwhile, so that more than 500 of them wait on each worker.
func playEnds(s *scene) ([]string, error) {
	const (
		workers  = 2
		jobs     = 64
		width    = 32
		cores    = 64_000
		memory   = 262_144
		outage   = 4500 * time.Millisecond
		unitCPU  = 500
		unitMem  = 256
		unitWork = 700 * time.Millisecond
		budget   = 3 * time.Second
		finish   = 30 * time.Second
	)
	if err := s.set(3, "rest", map[string]bool{"alpha": true}); err != nil {
		return nil, err
	}
	config := operatorConfig(3, map[string]string{"qa": "alpha"}, map[string]bool{"alpha": true}, "rest")
	for _, r := range config["routes"].([]map[string]any) {
		r["targetRuntimeMs"] = 10_000 // a queue of batches, which may wait
	}
	s.store.put("keyed.op", "config", config)
	for i := range workers {
		if err := s.cloud.add(fmt.Sprintf("m%d", i+1), "alpha", cores, memory); err != nil {
			return nil, err
		}
	}
	if err := s.begin(s.entries...); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	id := func(i int) string { return fmt.Sprintf("5c0e7a21%08x", i) }
	body := map[string]any{"spec": "cue", "steps": []map[string]any{{"count": width, "cpu": unitCPU, "memMb": unitMem, "estimateMs": unitWork.Milliseconds()}}}
	var mu sync.Mutex
	var group sync.WaitGroup
	var accepted []string
	for i := range jobs {
		s.floor.setUnits(id(i), unit{cpu: unitCPU, mem: unitMem, work: unitWork})
		group.Go(func() {
			status, _ := s.entries[i%len(s.entries)].call(http.MethodPost, "/qa/"+id(i), body, budget)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				accepted = append(accepted, id(i))
			}
		})
	}
	group.Wait()
	s.rec.say("%d of %d jobs of %d work units are accepted", len(accepted), jobs, width)
	if len(accepted) < jobs*3/4 {
		return nil, errNotAccepted
	}
	if s.trouble {
		s.rec.say("the store is down for %s", outage)
		s.store.setOutage(reset, s.names()...)
		time.Sleep(outage)
		for _, w := range s.cloud.workers() {
			s.rec.say("%s has %d ends that were not taken note of", w.id, w.pending())
		}
		s.store.setOutage(sound, s.names()...)
		s.rec.say("the store is back")
	}
	end := time.Now().Add(finish)
	for i, job := range accepted {
		if !await(time.Until(end), func() bool {
			status, text := s.entries[i%len(s.entries)].call(http.MethodGet, "/qa/"+job, nil, budget)
			return status == http.StatusOK && contains(text, "completed")
		}) {
			s.rec.say("job %s was not completed in time", job)
		}
	}
	time.Sleep(time.Second)
	s.rec.say("%d work units, %d runs", len(accepted)*width, len(s.floor.snapshot()))
	return s.floor.twice(), nil
}

// pending returns the number of ends that were not taken note of.
func (w *worker) pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}
