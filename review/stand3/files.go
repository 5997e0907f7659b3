//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// openFiles returns the number of descriptors that an entry has open.
func (e *entry) openFiles() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// lives returns how many workers have come after the first ones of their machines.
func (c *cloud) lives() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.machines {
		n += m.lives
	}
	return n
}

// playFiles lets the demand of two queues rise and fall by turns, so that machines move to and fro, and checks that jobs are
// answered for and run when the traffic has ended.
func playFiles(l *lab) error {
	const (
		machines = 300
		units    = 80 // of a job, each of which takes a worker
		other    = "titularidad"
		traffic  = 64 * time.Second
		turn     = 3 * time.Second
		interval = 100 * time.Millisecond
		maxFds   = 4100 // of the deployment's settings
		dutyPerS = 215
		finishIn = 14 * time.Second // finish_s
		asking   = 12 * time.Second
	)
	services := []string{service, other}
	for i := range machines {
		if _, err := l.addMachine(fmt.Sprintf("m-%d", i+1), services[i%2], "a", fmt.Sprintf("r1-%d", i/4+1), 16_000, 65_536, false); err != nil {
			return err
		}
	}
	if err := l.configure(services...); err != nil {
		return err
	}
	l.files, l.ordersPerS = maxFds, dutyPerS
	if err := l.startEntries(3); err != nil {
		return err
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	var mu sync.Mutex
	var accepted []string // paths of jobs
	var clients sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < traffic; n++ {
		queue := services[0]
		if l.trouble {
			queue = services[int(time.Since(began)/turn)%len(services)]
		}
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0xd000000+n)
			if l.submit(l.entries[n%len(l.entries)], id, &step{Count: units, CPU: 16_000, MemMB: 100, EstimateMS: 400, queue: queue}) == http.StatusOK {
				mu.Lock()
				accepted = append(accepted, queue+"/"+id)
				mu.Unlock()
			}
		})
		time.Sleep(interval)
		if n%40 == 0 {
			l.recordFiles()
		}
	}
	clients.Wait()
	l.record("the traffic has ended; %d jobs were accepted", len(accepted))
	time.Sleep(finishIn)
	l.recordFiles()
	end := time.Now().Add(asking)
	for _, path := range slices.Backward(accepted) { // the last ones first
		if time.Now().After(end) || l.broken() > 0 {
			break
		}
		l.checkLost(path, machines)
	}
	return nil
}

// checkLost checks, finish_s after the end of the traffic, that an accepted job gets an answer, and that it doesn't go without
// a run for 3 s while nearly all workers are idle.
func (l *lab) checkLost(path string, machines int) {
	const (
		attempts = 3 // of a client that asks for a job
		idleFor  = 3 * time.Second
		tick     = 50 * time.Millisecond
	)
	ask := func() (state string) {
		for k := 0; k < attempts && state == ""; k++ {
			state = strings.TrimSpace(l.show(l.entries[rand.IntN(len(l.entries))], path))
		}
		l.record("client GET %s: %s", path, state)
		return state
	}
	pending := func(state string) bool {
		return strings.Contains(state, "queued") || strings.Contains(state, "running")
	}
	state := ask()
	if state == "" {
		l.fail("job %s was accepted, and gets no answer", path)
		return
	}
	if !pending(state) {
		return
	}
	queue, id, _ := strings.Cut(path, "/")
	most, least := 0, machines // of the service's workers that are in use at once, and that are up
	for end := time.Now().Add(idleFor); time.Now().Before(end); time.Sleep(tick) {
		of, inUse, up := l.cloud.useOf(queue, id)
		if of > 0 || 2*inUse >= up || up-inUse < 2 {
			return
		}
		most, least = max(most, inUse), min(least, up)
	}
	if state = ask(); pending(state) {
		l.fail("job %s was accepted, is shown as %s, and has had nothing running for %s; of its service's workers %d were in use at most, and %d up at least", path, state, idleFor, most, least)
	}
}

// recordFiles records how many descriptors the entries have open.
func (l *lab) recordFiles() {
	var list []int
	for _, e := range l.entries {
		list = append(list, e.openFiles())
	}
	l.record("the entries have %d descriptors open; %d workers have come since the start", list, l.cloud.lives())
}

// useOf counts the runs of a job, the workers of a service that run something, and those that are up.
func (c *cloud) useOf(service, id string) (of, inUse, up int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker == nil || m.pool != service || m.state != "up" {
			continue
		}
		up++
		runs := m.worker.runs()
		if len(runs) > 0 {
			inUse++
		}
		for _, r := range runs {
			if strings.HasPrefix(r.task, id+".") {
				of++
			}
		}
	}
	return of, inUse, up
}
