package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// step is a step of a job as a client sends it.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMB       int    `json:"memMb,omitempty"`
	EstimateMS  int64  `json:"estimateMs,omitempty"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	SingleRack  bool   `json:"singleRack,omitempty"`
	Requires    string `json:"requires,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
	AntiAff     int    `json:"antiAffinity,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	MayMiss     int    `json:"mayMiss,omitempty"`

	work time.Duration // of a work unit
}

// call sends a client's request to an entry.
func (s *site) call(e *entry, method, path string, body []byte) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	if s.key != "" {
		req.Header.Set("Authorization", "Token "+s.key)
	}
	c := http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		s.log.line("%s %s at %s: no answer: %v", method, path, e.name, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	text = strings.TrimSpace(string(data))
	s.log.line("%s %s at %s: %d %s", method, path, e.name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// submit hands a job in until it is accepted, as clients do that repeat with the same ID.
func (s *site) submit(e *entry, prefix, id string, steps []step) error {
	s.plant.mu.Lock()
	for i, st := range steps {
		s.plant.steps[fmt.Sprintf("%s.%d", id, i)] = unit{cpu: st.CPU, mem: st.MemMB, count: st.Count, work: st.work, gang: st.Gang, lasts: st.LongRunning}
	}
	s.plant.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "steps": steps})
	if err != nil {
		return err
	}
	for range 8 {
		if status, _ := s.call(e, http.MethodPost, prefix+id, body); status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// state asks for the state of a job.
func (s *site) state(e *entry, prefix, id string) (status int, state string) {
	status, text := s.call(e, http.MethodGet, prefix+id, nil)
	var b struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(text), &b) != nil {
		return status, ""
	}
	return status, b.State
}

// waiting asks for the number of a queue's waiting jobs; -1 if there is no answer.
func (s *site) waiting(e *entry, prefix string) int {
	status, text := s.call(e, http.MethodGet, prefix, nil)
	var b struct {
		Waiting *int `json:"waiting"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &b) != nil || b.Waiting == nil {
		return -1
	}
	return *b.Waiting
}

// awaitState waits until a job is in a state.
func (s *site) awaitState(e *entry, prefix, id, want string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, state := s.state(e, prefix, id); state == want {
			return true
		}
	}
	return false
}
