package emul

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Queue is a job queue of the configuration. Its path is /Name/ on host h.example.
type Queue struct {
	Name, Pool string
	Public     bool // callers need no key
}

// Account is a client account of the configuration.
type Account struct {
	Name   string
	Keys   []string
	Weight float64
	Limit  Resources // quota; 0 for no limit
}

// Resources are amounts of what tasks reserve on VMs.
type Resources struct {
	CPU   int `json:"cpu"` // thousandths of a core
	MemMB int `json:"memMb"`
	GPU   int `json:"gpu"` // number of accelerators
}

// Configuration is a version of the operator's configuration, without the spare pool named rest,
// which all versions have.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Pools    []string
	Accounts []Account // nil if the site has no client accounts
}

// publishedQuotas are the quotas of a configuration and the time at which it was published.
type publishedQuotas struct {
	at     time.Time
	limits map[string]Resources // by account
}

// MaxAttempts is the number of failed runs after which a task fails and is not retried.
const MaxAttempts = 3

// Configure writes a configuration as the operator would. It has the given pools, a spare pool
// named rest, and one queue under /q/ on host h.example. The jobs of the queue run in pool, which
// must be one of pools or rest.
func (p *Platform) Configure(version int64, pool string, pools ...string) error {
	return p.Publish(&Configuration{Version: version, Queues: []Queue{{Name: "q", Pool: pool}}, Pools: pools})
}

// Publish writes a configuration as the operator would.
func (p *Platform) Publish(c *Configuration) error {
	// The configuration calls pools services, and client accounts tenants.
	poolRows := []map[string]any{{"name": "rest", "spare": true}}
	for _, name := range c.Pools {
		poolRows = append(poolRows, map[string]any{"name": name, "rejectsOverload": !p.opts.Unguarded[name]})
	}
	var routes []map[string]any
	for _, q := range c.Queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": "h.example", "pathPrefix": "/" + q.Name + "/", "service": q.Pool, "timeoutMs": 3000,
			"targetRuntimeMs": 600, "maxAttempts": MaxAttempts, "stretch": 1.6, "public": q.Public,
		})
	}
	config := map[string]any{"version": c.Version, "routes": routes, "services": poolRows, "limits": map[string]any{"maxBodyBytes": 262144}}
	quotas := publishedQuotas{at: time.Now(), limits: map[string]Resources{}}
	if c.Accounts != nil {
		tenants := []map[string]any{}
		for _, a := range c.Accounts {
			tenants = append(tenants, map[string]any{"name": a.Name, "apiKeys": a.Keys, "weight": a.Weight, "maxCount": a.Limit, "priority": 0})
			quotas.limits[a.Name] = a.Limit
		}
		config["tenants"] = tenants
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.quotas = append(p.quotas, quotas)
	p.mu.Unlock()
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
