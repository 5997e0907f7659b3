package emul

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Queue is a queue of the configuration: its path is /Name/ at host h.example.
type Queue struct{ Name, Pool string }

// MaxAttempts is how often a task may fail.
const MaxAttempts = 3

// Configure writes a configuration as the operator would: one queue at host h.example
// under /q/, whose jobs run in pool, and a spare pool named rest.
func (w *Platform) Configure(version int64, pool string, pools ...string) error {
	return w.ConfigureQueues(version, []Queue{{"q", pool}}, pools)
}

// ConfigureQueues writes a configuration with these queues and pools, and a spare pool
// named rest.
func (w *Platform) ConfigureQueues(version int64, queues []Queue, pools []string) error {
	services := []map[string]any{{"name": "rest", "spare": true}}
	for _, p := range pools {
		services = append(services, map[string]any{"name": p, "rejectsOverload": true})
	}
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": "h.example", "pathPrefix": "/" + q.Name + "/", "service": q.Pool, "timeoutMs": 3000,
			"targetRuntimeMs": 600, "maxAttempts": MaxAttempts, "stretch": 1.6,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]any{"maxBodyBytes": 262144},
	})
	if err != nil {
		return err
	}
	w.Store.Put("keyed.op", "config", data)
	return nil
}

// RequestWave asks for a maintenance wave.
func (w *Platform) RequestWave(number, withinS, atOnce int, machines ...string) error {
	data, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "withinS": withinS, "maxCount": atOnce})
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.waves[int64(number)] = &waveUnderWay{atOnce: atOnce}
	w.mu.Unlock()
	w.Store.Put("keyed.op", fmt.Sprintf("wave/%d", number), data)
	return nil
}

// WaveCompleted reports whether the system has said so.
func (w *Platform) WaveCompleted(number int) bool {
	return strings.Contains(string(w.Store.Get("keyed.status", fmt.Sprintf("wave/%d", number))), "completed")
}
