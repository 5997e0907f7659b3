// Package admit decides which requests run, wait or are refused. Each pool has
// one queue on each entry. A request that cannot be served within its deadline
// is refused at once with the time to come back; one that waits and has become
// hopeless is refused as soon as that is known. Requests that wait go by
// priority, then by deadline.
package admit

import (
	"container/heap"
	"math"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	classes       = int(fleet.Deferred) + 1
	ewmaShare     = 0.1                    // weight of the newest service time
	minRetryAfter = 100 * time.Millisecond // shortest time to come back
	initialTime   = 20 * time.Millisecond  // service time before the first answer
	waitSafety    = 1.5                    // a wait may turn out this many times the estimate
	deviations    = 2                      // mean deviations that a service time may exceed its mean by
)

// Item is one request in the queue's hands.
type Item struct {
	Priority fleet.Priority
	Deadline time.Time
	Granted  bool          // set when the request may run
	After    time.Duration // set when the request is refused: when to come back
	Wake     chan struct{} // closed once the request is granted or refused
	index    int           // place in its class's heap, -1 outside
}

// NewItem returns an item for a request.
func NewItem(p fleet.Priority, deadline time.Time) *Item {
	return &Item{Priority: p, Deadline: deadline, Wake: make(chan struct{}), index: -1}
}

// Queue is the pure core of admission: it depends on nothing but its calls and
// the times they carry. It is not safe for concurrent use.
type Queue struct {
	limit   int // requests that may run at once
	running int
	waiting [classes]itemHeap
	mean    float64 // moving mean of the time a request holds its slot, seconds
	dev     float64 // moving mean of its deviation from the mean, seconds
	refused int64
}

// NewQueue returns a queue with a limit.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, mean: initialTime.Seconds()}
}

// SetLimit changes how many requests may run at once.
func (q *Queue) SetLimit(now time.Time, limit int) {
	q.limit = limit
	q.fill(now)
}

// Demand returns the requests that run or wait.
func (q *Queue) Demand() int { return q.running + q.Waiting() }

// Running returns the requests that run.
func (q *Queue) Running() int { return q.running }

// Waiting returns the requests that wait.
func (q *Queue) Waiting() int {
	n := 0
	for i := range q.waiting {
		n += len(q.waiting[i])
	}
	return n
}

// Refused returns how many requests have been refused so far.
func (q *Queue) Refused() int64 { return q.refused }

// MeanTime returns the moving mean of the time a request holds its slot.
func (q *Queue) MeanTime() time.Duration {
	return time.Duration(q.mean * float64(time.Second))
}

// Offer decides on a request: it is granted, refused or left waiting.
func (q *Queue) Offer(now time.Time, it *Item) {
	if q.limit > 0 && q.running < q.limit && q.Waiting() == 0 {
		q.grant(it)
		return
	}
	ahead := q.ahead(it)
	if q.limit == 0 || q.hopeless(now, it, ahead) {
		q.refuse(it, q.waitFor(q.Waiting()))
		return
	}
	heap.Push(&q.waiting[it.Priority], it)
	q.shed(now)
}

// ahead counts the waiting requests that run before the item.
func (q *Queue) ahead(it *Item) int {
	n := 0
	for c := 0; c < int(it.Priority); c++ {
		n += len(q.waiting[c])
	}
	for _, other := range q.waiting[it.Priority] {
		if other.Deadline.Before(it.Deadline) {
			n++
		}
	}
	return n
}

// waitFor estimates the time until the request behind n others starts.
func (q *Queue) waitFor(n int) time.Duration {
	turns := float64(n+1) / float64(max(q.limit, 1))
	return time.Duration(turns * q.mean * float64(time.Second))
}

// hopeless reports whether a request behind n others can miss its deadline.
func (q *Queue) hopeless(now time.Time, it *Item, n int) bool {
	wait := time.Duration(waitSafety * float64(q.waitFor(n)))
	return now.Add(wait).After(q.LatestStart(it))
}

// shed refuses waiting requests of lower priority that a newer one has pushed
// past their deadline: the last of each class while it is hopeless.
func (q *Queue) shed(now time.Time) {
	ahead := 0
	for c := range q.waiting {
		ahead += len(q.waiting[c])
		for len(q.waiting[c]) > 0 {
			last := q.waiting[c].latest()
			if !q.hopeless(now, last, ahead-1) {
				break
			}
			q.drop(last)
			ahead--
		}
	}
}

// Done returns the slot of a granted request that held it for some time.
func (q *Queue) Done(now time.Time, held time.Duration) {
	q.running--
	off := held.Seconds() - q.mean
	q.mean += ewmaShare * off
	q.dev += ewmaShare * (math.Abs(off) - q.dev)
	q.fill(now)
}

// Cancel takes a request out of the queue if it still waits.
func (q *Queue) Cancel(it *Item) bool {
	if it.index < 0 {
		return false
	}
	heap.Remove(&q.waiting[it.Priority], it.index)
	return true
}

// Expire refuses a waiting request whose latest start has passed.
func (q *Queue) Expire(it *Item) {
	if it.index >= 0 {
		q.drop(it)
	}
}

// LatestStart returns when a waiting request becomes hopeless.
func (q *Queue) LatestStart(it *Item) time.Time {
	service := q.mean + deviations*q.dev
	return it.Deadline.Add(-time.Duration(service * float64(time.Second)))
}

// fill starts waiting requests while slots are free.
func (q *Queue) fill(now time.Time) {
	for q.running < q.limit {
		it := q.pop()
		if it == nil {
			return
		}
		if now.After(q.LatestStart(it)) {
			q.refuse(it, q.waitFor(q.Waiting()))
			continue
		}
		q.grant(it)
	}
}

func (q *Queue) pop() *Item {
	for c := range q.waiting {
		if len(q.waiting[c]) > 0 {
			return heap.Pop(&q.waiting[c]).(*Item)
		}
	}
	return nil
}

func (q *Queue) drop(it *Item) {
	heap.Remove(&q.waiting[it.Priority], it.index)
	q.refuse(it, q.waitFor(q.Waiting()))
}

func (q *Queue) grant(it *Item) {
	q.running++
	it.Granted = true
	close(it.Wake)
}

func (q *Queue) refuse(it *Item, after time.Duration) {
	q.refused++
	it.After = max(after, minRetryAfter)
	close(it.Wake)
}

// itemHeap orders items by deadline.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds an item at the end.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop removes the item at the end.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	it.index = -1
	*h = old[:len(old)-1]
	return it
}

// latest returns the item with the latest deadline, which is among the leaves.
func (h itemHeap) latest() *Item {
	last := h[len(h)/2]
	for _, it := range h[len(h)/2:] {
		if it.Deadline.After(last.Deadline) {
			last = it
		}
	}
	return last
}
