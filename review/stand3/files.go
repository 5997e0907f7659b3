package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
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
		attempts = 3 // of a client that asks for a job
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
	if err := l.startEntries(1); err != nil {
		return err
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	e := l.entries[0]
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
			if l.submit(e, id, &step{Count: units, CPU: 16_000, MemMB: 100, EstimateMS: 400, queue: queue}) == http.StatusOK {
				mu.Lock()
				accepted = append(accepted, queue+"/"+id)
				mu.Unlock()
			}
		})
		time.Sleep(interval)
		if n%40 == 0 {
			l.record("entry %s has %d descriptors open; %d workers have come since the start", e.name, e.openFiles(), l.cloud.lives())
		}
	}
	clients.Wait()
	l.record("the traffic has ended; %d jobs were accepted", len(accepted))
	time.Sleep(finishIn)
	l.record("entry %s has %d descriptors open", e.name, e.openFiles())
	for end := time.Now().Add(asking); time.Now().Before(end) && l.broken() == 0; { // jobs among those accepted
		path := accepted[rand.IntN(len(accepted))]
		state := ""
		for range attempts {
			if state = l.show(e, path); state != "" {
				break
			}
		}
		l.record("client GET %s: %s", path, strings.TrimSpace(state))
		time.Sleep(interval)
		if state == "" {
			l.fail("job %s was accepted, and gets no answer %s after the end of the traffic", path, finishIn)
		}
	}
	return nil
}
