package admit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/fuzz"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// TestMain sets the defaults for rapid: 1000 checks per property, with 60 steps on average.
func TestMain(m *testing.M) { fuzz.Main(m, 1000, 60) }

var testStart = time.Unix(1_000_000, 0)

// completion is the end of a request in a simulated load.
type completion struct {
	at          time.Time
	serviceTime time.Duration
	it          *Item
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// loadResult counts the outcomes of a simulated load.
type loadResult struct {
	inTime, late, refusedAtOnce, refusedLater int
	longestRefusedWait                        time.Duration // longest time until a request was refused
	lastGrantedWait                           time.Duration // wait of the last request that was granted
}

// simulateLoad simulates an open-loop load on a queue: rate requests a second for the given
// number of seconds, then a hundredth of this rate for two seconds, in which the backlog can
// drain.
func simulateLoad(seed uint64, slots int, rate, seconds float64, meanServiceTime, timeout time.Duration) loadResult {
	rnd := rand.New(rand.NewPCG(seed, 0))
	q := NewQueue(slots)
	var l loadResult
	var running completionHeap
	undecided := map[*Item]time.Time{} // by request: time of its arrival
	now := testStart
	recordDecided := func(now time.Time) {
		for it, at := range undecided {
			switch {
			case it.Granted:
				serviceTime := time.Duration(float64(meanServiceTime) * (0.5 + rnd.Float64()))
				heap.Push(&running, completion{now.Add(serviceTime), serviceTime, it})
				l.lastGrantedWait = now.Sub(at)
				if now.Add(serviceTime).After(it.Deadline) {
					l.late++
				} else {
					l.inTime++
				}
			case it.RetryAfter > 0:
				l.longestRefusedWait = max(l.longestRefusedWait, now.Sub(at))
				if now.Equal(at) {
					l.refusedAtOnce++
				} else {
					l.refusedLater++
				}
			default:
				continue
			}
			delete(undecided, it)
		}
	}
	end := testStart.Add(time.Duration(seconds * float64(time.Second)))
	for nextArrival := testStart; nextArrival.Before(end.Add(2 * time.Second)); {
		for len(running) > 0 && !running[0].at.After(nextArrival) {
			ended := heap.Pop(&running).(completion)
			now = ended.at
			q.Done(now, ended.serviceTime)
			recordDecided(now)
		}
		now = nextArrival
		it := NewItem(fleet.Normal, now.Add(timeout))
		undecided[it] = now
		q.Offer(now, it)
		recordDecided(now)
		r := rate
		if now.After(end) {
			r = rate / 100
		}
		nextArrival = nextArrival.Add(time.Duration(rnd.ExpFloat64() / r * float64(time.Second)))
	}
	return l
}

// TestBurstKeepsGoodput guards against an overload that lowers the goodput, grants requests
// that miss their deadline, refuses requests only after they have waited, or leaves a backlog
// after the burst.
func TestBurstKeepsGoodput(t *testing.T) {
	const slots, seconds = 9, 6.0
	mean := 60 * time.Millisecond
	capacity := slots / mean.Seconds()
	tests := []struct {
		name    string
		factor  float64 // of the capacity
		timeout time.Duration
	}{
		{"slightly over capacity", 1.3, time.Second},
		{"five times the capacity", 5, time.Second},
		{"tight deadline", 3, 250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := simulateLoad(1, slots, capacity*tt.factor, seconds, mean, tt.timeout)
			t.Logf("%+v", l)
			assert.Assert(t, float64(l.inTime) >= 0.95*capacity*seconds, "%d requests met their deadline", l.inTime)
			assert.Assert(t, l.late <= l.inTime/100, "%d granted requests were late, %d were in time", l.late, l.inTime)
			assert.Assert(t, l.refusedLater <= l.refusedAtOnce/100, "%d requests were refused after waiting", l.refusedLater)
			assert.Assert(t, l.lastGrantedWait < 10*time.Millisecond, "the last request, 2 s after the burst, waited %s", l.lastGrantedWait)
		})
	}
}

// TestQueueAgainstOracle calls the queue at random and checks it against an oracle that
// tracks only which requests were offered, granted, refused and finished. It guards
// against grants after the deadline, more running requests than the limit, slots left
// free while requests wait, and a lower priority that starts first.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		q := NewQueue(limit)
		var waiting, running []*Item
		checkDecided := func() {
			var undecided []*Item
			for _, it := range waiting {
				switch {
				case it.Granted:
					assert.Assert(t, !now.After(it.Deadline), "granted after its deadline")
					running = append(running, it)
				case it.RetryAfter > 0:
					assert.Assert(t, it.RetryAfter >= minRetryAfter)
				default:
					undecided = append(undecided, it)
				}
			}
			waiting = undecided
			assert.Equal(t, q.Waiting(), len(waiting))
			assert.Equal(t, q.Running(), len(running))
			assert.Assert(t, len(waiting) == 0 || len(running) >= limit, "requests wait while slots are free")
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				p := fleet.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				it := NewItem(p, now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms"))*time.Millisecond))
				waiting = append(waiting, it)
				before := len(running)
				q.Offer(now, it)
				checkDecided()
				assert.Assert(t, len(running) <= max(limit, before), "more requests run than the limit allows")
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("no request runs")
				}
				running = running[1:]
				highest := fleet.Priority(priorityCount)
				for _, it := range waiting {
					highest = min(highest, it.Priority)
				}
				before := len(running)
				q.Done(now, time.Duration(rapid.IntRange(1, 100).Draw(t, "held"))*time.Millisecond)
				checkDecided()
				for _, it := range running[before:] {
					for _, other := range waiting {
						assert.Assert(t, it.Priority <= other.Priority, "a request of lower priority started first")
					}
				}
			},
			"expire": func(t *rapid.T) {
				if len(waiting) > 0 {
					q.Expire(waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "i")])
					checkDecided()
				}
			},
			"limit": func(t *rapid.T) {
				limit = rapid.IntRange(0, 6).Draw(t, "limit")
				q.SetLimit(now, limit)
				checkDecided()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestShares guards against shares that are not proportional to the entries' demands, or that
// leave an idle entry without a slot.
func TestShares(t *testing.T) {
	tests := []struct {
		name   string
		slots  int
		own    int
		others []int
		want   int
	}{
		{"only entry", 80, 500, nil, 80},
		{"equal demands", 80, 10, []int{10, 10, 10, 10, 10, 10, 10, 10}, 9},
		{"idle entry beside a busy one", 80, 0, []int{100}, 1},
		{"busy entry beside idle ones", 80, 100, []int{0, 0, 0, 0, 0, 0, 0, 0}, 75},
		{"no slots", 0, 100, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, Share(tt.slots, tt.own, tt.others), tt.want)
		})
	}
}

// TestRetryBudgetBoundsAttempts guards against more retries than the budget's percentage of
// the successes and its initial tokens allow.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	b := NewRetryBudget(10)
	taken := 0
	for range 1000 {
		b.RecordSuccess()
		for b.Take() {
			taken++
		}
	}
	assert.Assert(t, taken <= 1000/10+maxRetryTokens/2, "%d retries for 1000 successes", taken)
}
