package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
	rackSize   = 4 // machines
)

func text(rec *record, what, task string, a, b *run) string {
	end := "still running"
	if !a.ended.IsZero() {
		end = fmt.Sprintf("%s at %d ms", a.how, rec.ms(a.ended))
	}
	return fmt.Sprintf("%s: %s: run %d on %s from %d ms (%s), run %d on %s from %d ms",
		what, task, a.number, a.worker, rec.ms(a.started), end, b.number, b.worker, rec.ms(b.started))
}

// cloud holds the machines.
type cloud struct {
	rec     *record
	floor   *floor
	store   *store
	address string
	spare   string
	rejects map[string]bool // by service

	mu       sync.Mutex
	machines []*machineState
	fences   map[string]int64
	lives    int
}

type machineState struct {
	name, pool, state string
	rack              string
	cpu, mem          int
	waves             map[int64]bool
	w                 *worker
}

func newCloud(rec *record, f *floor, s *store, spare string, rejects map[string]bool) (*cloud, error) {
	c := &cloud{rec: rec, floor: f, store: s, spare: spare, rejects: rejects, fences: map[string]int64{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: c, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	return c, nil
}

// add puts a machine into a pool.
func (c *cloud) add(name, pool string, cpu, mem int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machineState{name: name, pool: pool, state: "up", rack: fmt.Sprintf("r1-%d", 1+len(c.machines)/rackSize), cpu: cpu, mem: mem, waves: map[int64]bool{}}
	c.machines = append(c.machines, m)
	return c.boot(m)
}

// boot starts a worker on a machine, none in the spare pool; c.mu is held.
func (c *cloud) boot(m *machineState) error {
	m.state = "up"
	if m.pool == c.spare {
		return nil
	}
	c.lives++
	var err error
	m.w, err = newWorker(fmt.Sprintf("w%d", c.lives), m.name, m.pool, m.rack, m.cpu, m.mem, c.rejects[m.pool], c.floor, c.store)
	return err
}

func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, m := range c.machines {
		if m.w != nil {
			list = append(list, m.w)
		}
	}
	return list
}

// ServeHTTP serves the list of machines and orders for them.
func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/machines" {
		c.list(rw)
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&b) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Lease-Holder")
	status, reason := c.carryOut(b.Machine, b.Pool, b.Wave, fence, r.URL.Path == "/v1/machine-upkeep")
	c.rec.add("cloud: %s %s pool %q wave %d from %s, fence %d: %d %s", r.URL.Path, b.Machine, b.Pool, b.Wave, holder, fence, status, reason)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if reason != "" {
		writeJSON(rw, map[string]any{"reason": reason})
		return
	}
	writeJSON(rw, struct{}{})
}

func (c *cloud) list(rw http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range c.machines {
		id := ""
		if m.w != nil {
			id = m.w.id
		}
		rows = append(rows, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.mem}, "id": id,
		})
	}
	writeJSON(rw, map[string]any{"machines": rows, "nextToken": nil})
}

// carryOut carries out an order for a machine.
func (c *cloud) carryOut(name, pool string, wave, fence int64, upkeep bool) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var m *machineState
	for _, x := range c.machines {
		if x.name == name {
			m = x
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, "machine"
	case fence < c.fences[name]:
		return http.StatusConflict, "fence"
	}
	c.fences[name] = fence
	switch {
	case upkeep && m.waves[wave], !upkeep && m.pool == pool:
		return http.StatusOK, "" // done already
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	took := moveTime
	if m.state = "moving"; upkeep {
		m.state, took = "upkeep", upkeepTime
		m.waves[wave] = true
	} else {
		m.pool = pool
	}
	if m.w != nil {
		m.w.kill()
		m.w = nil
	}
	time.AfterFunc(took, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = c.boot(m)
	})
	return http.StatusOK, ""
}

// crash ends a worker at once; its machine is back after some time.
func (c *cloud) crash(w *worker, down time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.w != w {
			continue
		}
		c.rec.add("%s crashes", w.id)
		m.w, m.state = nil, "down"
		w.kill()
		time.AfterFunc(down, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_ = c.boot(m)
			c.rec.add("%s is back as %s", m.name, m.w.id)
		})
	}
}
