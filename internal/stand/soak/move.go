package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// moveQueue drops a random queue and adds it again with another pool, while a job of it runs whose submission is
// then repeated at all entries.
func (harness *Harness) moveQueue(r *rand.Rand) {
	const pauseAtEntries = 300 * time.Millisecond
	i, pause := r.IntN(len(harness.queues)), randomDuration(r, time.Second)
	c := newCaller(harness, r.Uint64(), 0)
	j := c.newJob("moved", []step{{Count: 3, CPU: 200, EstimateMS: 4000, duration: 4 * time.Second}})
	j.Queue = harness.queues[i].Name
	c.submitJob(context.Background(), j)
	harness.dropAndAdd(i, pause)
	if len(c.accepted) == 0 {
		return
	}
	for _, e := range harness.entries {
		time.Sleep(pauseAtEntries)
		c.repeatSubmission(j, e)
	}
	harness.addCaller(c)
}

// dropAndAdd drops a queue and adds it with another pool after a pause.
func (harness *Harness) dropAndAdd(i int, pause time.Duration) {
	harness.publishing.Lock()
	defer harness.publishing.Unlock()
	q := &harness.queues[i]
	harness.log("queue %s of pool %s is dropped, and added with another pool after %s", q.Name, q.Pool, pause)
	harness.setMoved(q.Name)
	harness.publish(slices.Delete(slices.Clone(harness.queues), i, i+1))
	time.Sleep(pause)
	q.Pool = harness.pools[(slices.Index(harness.pools, q.Pool)+1)%len(harness.pools)]
	harness.publish(harness.queues)
	harness.setMoved(q.Name)
}

// setMoved records that a queue is being moved.
func (harness *Harness) setMoved(queue string) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	harness.movedAt[queue] = time.Now()
}

// isDropped reports whether a status says that an entry does not know a queue, which was dropped lately.
func (harness *Harness) isDropped(queue string, status int) bool {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	at, moved := harness.movedAt[queue]
	return status == http.StatusNotFound && moved && time.Since(at) < dropLimit
}
