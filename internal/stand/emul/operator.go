package emul

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Queue is a job queue of the configuration. Its path is /Name/ on host h.example.
type Queue struct{ Name, Pool string }

// MaxAttempts is the number of failed runs after which a task fails and is not retried.
const MaxAttempts = 3

// Configure writes a configuration as the operator would. It has the given pools, a spare pool
// named rest, and one queue under /q/ on host h.example. The jobs of the queue run in pool, which
// must be one of pools or rest.
func (p *Platform) Configure(version int64, pool string, pools ...string) error {
	return p.ConfigureQueues(version, []Queue{{"q", pool}}, pools)
}

// ConfigureQueues writes a configuration with the given queues and pools, and adds a spare pool
// named rest.
func (p *Platform) ConfigureQueues(version int64, queues []Queue, pools []string) error {
	return p.configure(map[string]any{"version": version}, queues, pools)
}

// Account is a client account of the configuration.
type Account struct {
	Name, Key string
	CPU       int // limit in thousandths of a core
}

// ConfigureAccounts writes a configuration as ConfigureQueues does, with client accounts.
func (p *Platform) ConfigureAccounts(version int64, queues []Queue, pools []string, accounts []Account) error {
	rows := []map[string]any{}
	for _, a := range accounts {
		rows = append(rows, map[string]any{"name": a.Name, "apiKeys": []string{a.Key}, "weight": 1, "maxCount": map[string]int{"cpu": a.CPU}})
	}
	return p.configure(map[string]any{"version": version, "tenants": rows}, queues, pools)
}

// configure adds the queues and pools to a configuration and writes it.
func (p *Platform) configure(config map[string]any, queues []Queue, pools []string) error {
	// The configuration calls pools services.
	poolRows := []map[string]any{{"name": "rest", "spare": true}}
	for _, name := range pools {
		poolRows = append(poolRows, map[string]any{"name": name, "rejectsOverload": true})
	}
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": "h.example", "pathPrefix": "/" + q.Name + "/", "service": q.Pool, "timeoutMs": 3000,
			"targetRuntimeMs": 600, "maxAttempts": MaxAttempts, "stretch": 1.6,
		})
	}
	config["routes"], config["services"], config["limits"] = routes, poolRows, map[string]any{"maxBodyBytes": 262144}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	p.Store.Put("keyed.op", "config", data)
	return nil
}

// RequestWave writes the operator's request for a maintenance wave. withinS is its time limit
// in seconds, atOnce the maximum number of machines that may be out of service together.
func (p *Platform) RequestWave(number, withinS, atOnce int, machines ...string) error {
	data, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "withinS": withinS, "maxCount": atOnce})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.waves[int64(number)] = &requestedWave{atOnce: atOnce}
	p.mu.Unlock()
	p.Store.Put("keyed.op", fmt.Sprintf("wave/%d", number), data)
	return nil
}

// WaveCompleted reports whether greengagelane has reported the wave as completed.
func (p *Platform) WaveCompleted(number int) bool {
	return strings.Contains(string(p.Store.Get("keyed.status", fmt.Sprintf("wave/%d", number))), "completed")
}
