package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playLarge hands in one job of a thousand steps, within the limits of its body, among a few ordinary ones.
func playLarge(s *scene) ([]string, error) {
	const (
		lasting = 4
		ackTime = 4 * time.Second // ackMs
		budget  = 3 * time.Second
	)
	if err := s.set(3, "rest", map[string]bool{"alpha": true}); err != nil {
		return nil, err
	}
	s.store.put("keyed.op", "config", operatorConfig(3, map[string]string{"qa": "alpha"}, map[string]bool{"alpha": true}, "rest"))
	for i := range 3 {
		if err := s.cloud.add(fmt.Sprintf("m%d", i+1), "alpha", 64_000, 262_144); err != nil {
			return nil, err
		}
	}
	if err := s.begin(s.entries...); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	submit := func(id string, u unit, steps []map[string]any) bool {
		list := make([]unit, len(steps))
		for i := range list {
			list[i] = u
		}
		s.floor.setUnits(id, list...)
		return await(10*time.Second, func() bool {
			status, _ := s.entries[0].call(http.MethodPost, "/qa/"+id, map[string]any{"spec": "cue", "steps": steps}, budget)
			return status == http.StatusOK
		})
	}
	short := unit{cpu: 500, mem: 256, work: 500 * time.Millisecond}
	stays := unit{cpu: 500, mem: 256, lasts: true}
	for i := range lasting {
		if !submit(fmt.Sprintf("a%015x", i), stays, []map[string]any{{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 700, "longRunning": true}}) {
			return nil, errNotAccepted
		}
	}
	digest := strings.Repeat("0123456789abcdef", 4)
	if !s.trouble {
		digest = ""
	}
	var steps []map[string]any
	for i := range 1000 {
		step := map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 500, "image": fmt.Sprintf("catalogue/clearance/match-%03d:2026.12@sha256:%s", i, digest)}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	body, _ := json.Marshal(map[string]any{"spec": "cue", "steps": steps})
	s.rec.say("the large job has a body of %d bytes; the limit is 262144", len(body))
	s.floor.setUnits("b000000000000001", make([]unit, 1000)...)
	for i := range steps {
		s.floor.units["b000000000000001"][i] = short
	}
	status, text := s.entries[0].call(http.MethodPost, "/qa/b000000000000001", map[string]any{"spec": "cue", "steps": steps}, budget)
	s.rec.say("the large job: status %d %s", status, strings.TrimSpace(text))
	time.Sleep(time.Second)
	var breaks []string
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range lasting {
		group.Go(func() {
			id := fmt.Sprintf("a%015x", i)
			began := time.Now()
			for time.Since(began) < 15*time.Second {
				if status, _ := s.entries[i%3].call(http.MethodDelete, "/qa/"+id, nil, budget); status == http.StatusOK || status == http.StatusGone {
					if took := time.Since(began); took <= ackTime {
						return
					}
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			breaks = append(breaks, fmt.Sprintf("the cancel of job %s had no 2xx or 410 after %s (%s in all)", id, ackTime, time.Since(began).Round(time.Millisecond)))
		})
	}
	for i := range 4 {
		group.Go(func() {
			id := fmt.Sprintf("c%015x", i)
			if !submit(id, short, []map[string]any{{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 500}}) {
				s.rec.say("the ordinary job %s had no 2xx for 10 s", id)
			}
		})
	}
	group.Wait()
	if len(breaks) < 3 {
		breaks = nil
	}
	return breaks, nil
}
