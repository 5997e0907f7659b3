//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machine is a machine of the cloud.
type machine struct {
	name, pool, state string
	worker            *worker // nil while it is out of service
	fence             int64
	lives             int
	waves             map[int64]bool // of which it has begun its upkeep
}

// cloud is the platform's list of machines and its orders.
type cloud struct {
	lab *lab

	mu       sync.Mutex
	machines map[string]*machine
	silent   bool                                  // leaves all calls unanswered, and does nothing for them
	onOrder  func(machine string, wave int64) bool // called before an order; it is left unanswered, and not carried out, if that returns true
	onEnd    func(m string, runs []*unitRun)       // called with the runs that an order has ended
}

func (c *cloud) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
	c.lab.record("cloud leaves calls unanswered: %v", silent)
}

// ServeHTTP serves the calls of the cloud.
func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	order := r.URL.Path != "/v1/machines"
	if order {
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		c.lab.record("order  %s %s pool %q wave %d by %s fence %s", r.URL.Path, b.Machine, b.Pool, b.Wave, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"))
	}
	c.mu.Lock()
	silent := c.silent
	if order && !silent && c.onOrder != nil {
		silent = c.onOrder(b.Machine, b.Wave)
	}
	c.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !order {
		c.list(rw)
		return
	}
	c.order(rw, r, b.Machine, b.Pool, b.Wave)
}

// list lists the machines; c.mu is held.
func (c *cloud) list(rw http.ResponseWriter) {
	rows := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		m := c.machines[name]
		row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{}, "capacity": map[string]int{"cpu": 0}, "id": ""}
		if w := m.worker; w != nil {
			row["capacity"] = map[string]int{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}
			row["labels"] = []string{w.kind, w.rack}
			if w.up() {
				row["id"] = w.id
			} else {
				row["state"] = "down"
			}
		}
		rows = append(rows, row)
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": rows, "nextToken": nil}) // the caller may have left
}

// order carries out an order; c.mu is held.
func (c *cloud) order(rw http.ResponseWriter, r *http.Request, name, pool string, wave int64) {
	answer := func(status int, reason string) {
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason}) // the caller may have left
	}
	m := c.machines[name]
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	switch {
	case m == nil || err != nil:
		answer(http.StatusBadRequest, "")
		return
	case fence < m.fence:
		answer(http.StatusConflict, "fence")
		return
	case (pool != "" && m.pool == pool) || (pool == "" && m.waves[wave]):
		m.fence = fence
		answer(http.StatusOK, "")
		return
	case m.state != "up":
		answer(http.StatusConflict, "busy")
		return
	}
	m.fence = fence
	w := m.worker
	ended := w.end("order for " + name)
	c.lab.store.Put("keyed.servers", w.id, nil)
	if c.onEnd != nil {
		c.onEnd(name, ended)
	}
	away, takes := "moving", moveTime
	if pool == "" {
		away, takes = "upkeep", upkeepTime
		m.waves[wave] = true
	} else {
		m.pool = pool
	}
	m.state = away
	time.AfterFunc(takes, func() { c.back(m, w) })
	answer(http.StatusOK, "")
}

// back brings a machine back with a new worker.
func (c *cloud) back(m *machine, old *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.lives++
	w := &worker{
		id: fmt.Sprintf("%s-%d", m.name, m.lives), machine: m.name, service: m.pool, rack: old.rack,
		cpu: old.cpu, memMB: old.memMB, kind: old.kind, lab: c.lab,
	}
	if err := w.boot(); err != nil {
		c.lab.record("machine %s stays out of service: %v", m.name, err)
		return
	}
	m.worker, m.state = w, "up"
}
