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

func TestMain(m *testing.M) { fuzz.Main(m, 1000, 60) }

var epoch = time.Unix(1_000_000, 0)

// finish is the end of a request in a replayed load.
type finish struct {
	at   time.Time
	held time.Duration
	it   *Item
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at.Before(f[j].at) }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// load is what a replayed load did.
type load struct {
	inTime, late, refusedAtOnce, refusedLater int
	worstWait                                 time.Duration // of a refusal
	lastWait                                  time.Duration // of the last request served
}

// replay runs an open load of rate requests a second for some seconds against a
// queue with slots, and a light load after it.
func replay(seed uint64, slots int, rate, seconds float64, mean, timeout time.Duration) load {
	rnd := rand.New(rand.NewPCG(seed, 0))
	q := NewQueue(slots)
	var l load
	var running finishes
	offered := map[*Item]time.Time{}
	now := epoch
	settle := func(now time.Time) {
		for it, at := range offered {
			switch {
			case it.Granted:
				held := time.Duration(float64(mean) * (0.5 + rnd.Float64()))
				heap.Push(&running, finish{now.Add(held), held, it})
				l.lastWait = now.Sub(at)
				if now.Add(held).After(it.Deadline) {
					l.late++
				} else {
					l.inTime++
				}
			case it.After > 0:
				l.worstWait = max(l.worstWait, now.Sub(at))
				if now.Equal(at) {
					l.refusedAtOnce++
				} else {
					l.refusedLater++
				}
			default:
				continue
			}
			delete(offered, it)
		}
	}
	end := epoch.Add(time.Duration(seconds * float64(time.Second)))
	for next := epoch; next.Before(end.Add(2 * time.Second)); {
		for len(running) > 0 && !running[0].at.After(next) {
			f := heap.Pop(&running).(finish)
			now = f.at
			q.Done(now, f.held)
			settle(now)
		}
		now = next
		it := NewItem(fleet.Normal, now.Add(timeout))
		offered[it] = now
		q.Offer(now, it)
		settle(now)
		r := rate
		if now.After(end) {
			r = rate / 100
		}
		next = next.Add(time.Duration(rnd.ExpFloat64() / r * float64(time.Second)))
	}
	return l
}

func TestBurstKeepsGoodput(t *testing.T) {
	const slots, seconds = 9, 6.0
	mean := 60 * time.Millisecond
	capacity := slots / mean.Seconds()
	tests := []struct {
		name    string
		factor  float64 // of the capacity
		timeout time.Duration
	}{
		{"a little over", 1.3, time.Second},
		{"five times over", 5, time.Second},
		{"tight deadline", 3, 250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := replay(1, slots, capacity*tt.factor, seconds, mean, tt.timeout)
			t.Logf("%+v", l)
			assert.Assert(t, float64(l.inTime) >= 0.95*capacity*seconds, "%d in time", l.inTime)
			assert.Assert(t, l.late <= l.inTime/100, "%d of %d accepted were late", l.late, l.inTime)
			assert.Assert(t, l.refusedLater <= l.refusedAtOnce/100, "%d refused after waiting", l.refusedLater)
			assert.Assert(t, l.lastWait < 10*time.Millisecond, "the last request, 2 s after the burst, waited %s", l.lastWait)
		})
	}
}

// TestQueueAgainstOracle drives the queue with random calls. The oracle knows
// only which requests were offered, decided and finished.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		q := NewQueue(limit)
		var waiting, running []*Item
		decided := func() {
			var still []*Item
			for _, it := range waiting {
				switch {
				case it.Granted:
					assert.Assert(t, !now.After(it.Deadline), "granted after its deadline")
					running = append(running, it)
				case it.After > 0:
					assert.Assert(t, it.After >= minRetryAfter)
				default:
					still = append(still, it)
				}
			}
			waiting = still
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
				decided()
				assert.Assert(t, len(running) <= max(limit, before), "more than the limit run")
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				running = running[1:]
				best := fleet.Priority(classes)
				for _, it := range waiting {
					best = min(best, it.Priority)
				}
				before := len(running)
				q.Done(now, time.Duration(rapid.IntRange(1, 100).Draw(t, "held"))*time.Millisecond)
				decided()
				for _, it := range running[before:] {
					for _, other := range waiting {
						assert.Assert(t, it.Priority <= other.Priority, "a lower priority went first")
					}
				}
			},
			"expire": func(t *rapid.T) {
				if len(waiting) > 0 {
					q.Expire(waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "i")])
					decided()
				}
			},
			"limit": func(t *rapid.T) {
				limit = rapid.IntRange(0, 6).Draw(t, "limit")
				q.SetLimit(now, limit)
				decided()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func TestShares(t *testing.T) {
	tests := []struct {
		name   string
		slots  int
		own    int
		others []int
		want   int
	}{
		{"alone", 80, 500, nil, 80},
		{"all alike", 80, 10, []int{10, 10, 10, 10, 10, 10, 10, 10}, 9},
		{"idle beside one that is busy", 80, 0, []int{100}, 1},
		{"busy beside idle ones", 80, 100, []int{0, 0, 0, 0, 0, 0, 0, 0}, 75},
		{"no slots", 0, 100, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, Share(tt.slots, tt.own, tt.others), tt.want)
		})
	}
}

func TestRetryBudgetBoundsAttempts(t *testing.T) {
	b := NewRetryBudget(10)
	taken := 0
	for range 1000 {
		b.RecordSuccess()
		for b.Take() {
			taken++
		}
	}
	assert.Assert(t, taken <= 1000/10+maxRetryTokens/2, "%d further attempts for 1000 successes", taken)
}
