// Package admit is the admission control of an entry: it decides which requests run, wait
// or are refused, and which may be retried. An entry has one Gate for each pool. A request
// passes Gate.Enter before it is sent to a worker and Gate.Leave once it has ended. The
// Gate adds locking and waiting to a Queue, which makes the decisions. If a slot is free
// and no request waits, an arriving request runs at once. Otherwise it waits, and it is
// refused with a retry-after time as soon as it is expected to miss its deadline, on
// arrival or later. Waiting requests start in the order of priority, then of deadline.
// Share divides a pool's slots among the entries, which gives the limits of their Gates.
// RetryBudget limits retries.
//
// A request occupies one slot while it runs. Its service time is how long it runs. Moving
// means are exponentially weighted (EWMA).
package admit

import (
	"container/heap"
	"math"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	priorityCount         = int(fleet.Deferred) + 1 // Deferred is the lowest priority
	serviceTimeEWMAWeight = 0.1                     // weight of the newest service time in the moving means
	minRetryAfter         = 100 * time.Millisecond  // shortest retry-after time of a refusal
	initialServiceTime    = 20 * time.Millisecond   // mean service time assumed before any request has ended
	waitSafetyFactor      = 1.5                     // a request is refused unless it would meet its deadline after this multiple of its estimated wait, as the wait may exceed the estimate
	serviceTimeDeviations = 2                       // the latest start allows for a service time of the mean plus this many mean absolute deviations
)

// Item is one request that was offered to a queue.
type Item struct {
	Priority   fleet.Priority
	Deadline   time.Time
	Granted    bool          // the request may run; valid once Decided is closed
	RetryAfter time.Duration // positive once the request is refused
	Decided    chan struct{} // closed once the request is granted or refused
	index      int           // index in the heap of its priority; -1 if it does not wait
}

// NewItem returns an item for a request.
func NewItem(p fleet.Priority, deadline time.Time) *Item {
	return &Item{Priority: p, Deadline: deadline, Decided: make(chan struct{}), index: -1}
}

// Queue is the admission queue of one pool. It uses no clock: its callers pass the time.
// It is not safe for concurrent use.
type Queue struct {
	limit           int // requests that may run at once
	running         int
	waiting         [priorityCount]itemHeap
	meanServiceTime float64 // moving mean of the service time, in seconds
	meanDeviation   float64 // moving mean of the service time's absolute deviation from its mean, in seconds
	refused         int64
}

// NewQueue returns a queue that lets limit requests run at once.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, meanServiceTime: initialServiceTime.Seconds()}
}

// SetLimit sets how many requests may run at once. If slots are free, it starts waiting
// requests, see startWaiting.
func (q *Queue) SetLimit(now time.Time, limit int) {
	q.limit = limit
	q.startWaiting(now)
}

// Demand returns the number of requests that run or wait.
func (q *Queue) Demand() int { return q.running + q.Waiting() }

// Running returns the number of requests that run.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	n := 0
	for i := range q.waiting {
		n += len(q.waiting[i])
	}
	return n
}

// Refused returns the number of requests refused since the queue was created.
func (q *Queue) Refused() int64 { return q.refused }

// MeanServiceTime returns the moving mean of the service time.
func (q *Queue) MeanServiceTime() time.Duration {
	return time.Duration(q.meanServiceTime * float64(time.Second))
}

// Offer grants a request if a slot is free and no request waits. If not, it refuses the
// request if the limit is 0 or the request may miss its deadline, and otherwise queues it.
// Since a queued request delays those that start after it, Offer then refuses the waiting
// requests that may now miss their deadlines.
func (q *Queue) Offer(now time.Time, it *Item) {
	if q.limit > 0 && q.running < q.limit && q.Waiting() == 0 {
		q.grant(it)
		return
	}
	ahead := q.countAhead(it)
	if q.limit == 0 || q.mayMissDeadline(now, it, ahead) {
		q.refuse(it, q.estimateWait(q.Waiting()))
		return
	}
	heap.Push(&q.waiting[it.Priority], it)
	q.shed(now)
}

// countAhead returns the number of waiting requests that start before the item.
func (q *Queue) countAhead(it *Item) int {
	n := 0
	for priority := 0; priority < int(it.Priority); priority++ {
		n += len(q.waiting[priority])
	}
	for _, other := range q.waiting[it.Priority] {
		if other.Deadline.Before(it.Deadline) {
			n++
		}
	}
	return n
}

// estimateWait estimates the time until the request behind n others starts.
func (q *Queue) estimateWait(n int) time.Duration {
	serviceTimes := float64(n+1) / float64(max(q.limit, 1))
	return time.Duration(serviceTimes * q.meanServiceTime * float64(time.Second))
}

// mayMissDeadline reports whether a request behind n others may miss its deadline,
// allowing for a wait longer than the estimate.
func (q *Queue) mayMissDeadline(now time.Time, it *Item, n int) bool {
	wait := time.Duration(waitSafetyFactor * float64(q.estimateWait(n)))
	return now.Add(wait).After(q.LatestStart(it))
}

// shed refuses waiting requests that may now miss their deadline because newer requests
// start before them. It checks each priority from the latest deadline to the earliest,
// since requests with a later deadline wait longer.
func (q *Queue) shed(now time.Time) {
	ahead := 0
	for priority := range q.waiting {
		ahead += len(q.waiting[priority])
		for len(q.waiting[priority]) > 0 {
			last := q.waiting[priority].latestDeadline()
			if !q.mayMissDeadline(now, last, ahead-1) {
				break
			}
			q.removeAndRefuse(last)
			ahead--
		}
	}
}

// Done releases the slot of a granted request that has ended and starts waiting requests.
func (q *Queue) Done(now time.Time, serviceTime time.Duration) {
	q.running--
	deviation := serviceTime.Seconds() - q.meanServiceTime
	q.meanServiceTime += serviceTimeEWMAWeight * deviation
	q.meanDeviation += serviceTimeEWMAWeight * (math.Abs(deviation) - q.meanDeviation)
	q.startWaiting(now)
}

// Cancel removes a request that still waits, without counting it as refused. It reports
// whether the request was removed.
func (q *Queue) Cancel(it *Item) bool {
	if it.index < 0 {
		return false
	}
	heap.Remove(&q.waiting[it.Priority], it.index)
	return true
}

// Expire refuses a request if it still waits.
func (q *Queue) Expire(it *Item) {
	if it.index >= 0 {
		q.removeAndRefuse(it)
	}
}

// LatestStart returns the time by which a request must start to meet its deadline,
// allowing for a service time longer than the mean.
func (q *Queue) LatestStart(it *Item) time.Time {
	service := q.meanServiceTime + serviceTimeDeviations*q.meanDeviation
	return it.Deadline.Add(-time.Duration(service * float64(time.Second)))
}

// startWaiting starts waiting requests while slots are free. It refuses those that are
// past their latest start.
func (q *Queue) startWaiting(now time.Time) {
	for q.running < q.limit {
		it := q.pop()
		if it == nil {
			return
		}
		if now.After(q.LatestStart(it)) {
			q.refuse(it, q.estimateWait(q.Waiting()))
			continue
		}
		q.grant(it)
	}
}

func (q *Queue) pop() *Item {
	for priority := range q.waiting {
		if len(q.waiting[priority]) > 0 {
			return heap.Pop(&q.waiting[priority]).(*Item)
		}
	}
	return nil
}

func (q *Queue) removeAndRefuse(it *Item) {
	heap.Remove(&q.waiting[it.Priority], it.index)
	q.refuse(it, q.estimateWait(q.Waiting()))
}

func (q *Queue) grant(it *Item) {
	q.running++
	it.Granted = true
	close(it.Decided)
}

// refuse refuses a request. The callers pass as retryAfter the estimated wait behind all
// waiting requests, after which a retry can expect a slot.
func (q *Queue) refuse(it *Item, retryAfter time.Duration) {
	q.refused++
	it.RetryAfter = max(retryAfter, minRetryAfter)
	close(it.Decided)
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

// latestDeadline returns the item with the latest deadline. It searches the second half of
// the slice, which contains all leaves of the heap; no other item has a later deadline.
func (h itemHeap) latestDeadline() *Item {
	last := h[len(h)/2]
	for _, it := range h[len(h)/2:] {
		if it.Deadline.After(last.Deadline) {
			last = it
		}
	}
	return last
}
