package admit

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/result"
)

// offeredLoadEWMAWeight is the weight of the newest measurement, which covers the time since
// the previous call of MeasureOfferedLoad, in the moving mean of the offered load.
const offeredLoadEWMAWeight = 0.3

// Gate is the admission queue of one entry for one pool. It is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	queue     *Queue
	unlimited bool // admits every request; the baseline that admission control is compared with

	arrived    int64 // requests since measuredAt
	measuredAt time.Time
	offered    float64 // offered load: moving mean of the slots that all arriving requests would occupy
}

// NewGate returns a gate that lets limit requests run at once. An unlimited gate admits
// every request without counting it: its load and its offered load are 0.
func NewGate(limit int, unlimited bool) *Gate {
	return &Gate{queue: NewQueue(limit), unlimited: unlimited}
}

// Load is the load of one pool at one entry. Each entry reports it to the other entries.
type Load struct {
	Demand  int // requests that run or wait
	Running int
	Refused int64 // requests refused since the gate was created
}

// Load returns the gate's current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Demand: g.queue.Demand(), Running: g.queue.Running(), Refused: g.queue.Refused()}
}

// MeanServiceTime returns the moving mean of the service time.
func (g *Gate) MeanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.MeanServiceTime()
}

// SetLimit sets how many requests may run at once.
func (g *Gate) SetLimit(now time.Time, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetLimit(now, limit)
}

// MeasureOfferedLoad returns the number of slots that the offered load, including
// refused requests, would occupy. It is a moving mean that each call updates with the
// requests since the previous call.
func (g *Gate) MeasureOfferedLoad(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.measuredAt.IsZero() {
		g.measuredAt = now
	}
	dt := now.Sub(g.measuredAt).Seconds()
	if dt <= 0 {
		return g.offered
	}
	slots := float64(g.arrived) / dt * g.queue.MeanServiceTime().Seconds()
	g.offered += offeredLoadEWMAWeight * (slots - g.offered)
	g.arrived, g.measuredAt = 0, now
	return g.offered
}

// Enter returns nil once the request may run, or the refusal. It waits until the latest
// time at which the request can start to meet its deadline, or until the context ends.
func (g *Gate) Enter(ctx context.Context, now time.Time, p fleet.Priority, deadline time.Time) *result.Problem {
	if g.unlimited {
		return nil
	}
	it := NewItem(p, deadline)
	g.mu.Lock()
	g.arrived++
	g.queue.Offer(now, it)
	latestStart := g.queue.LatestStart(it)
	g.mu.Unlock()
	select {
	case <-it.Decided:
	default:
		g.wait(ctx, it, latestStart.Sub(now))
	}
	if it.Granted {
		return nil
	}
	return result.Refuse(503, it.RetryAfter, "the service is at its capacity")
}

// wait returns once the request is granted or refused. It refuses the request when maxWait
// has passed or the context has ended.
func (g *Gate) wait(ctx context.Context, it *Item, maxWait time.Duration) {
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-it.Decided:
		return
	case <-t.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Expire(it)
}

// Leave releases the slot of a request that Enter admitted and that has ended.
func (g *Gate) Leave(now time.Time, serviceTime time.Duration) {
	if g.unlimited {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Done(now, serviceTime)
}
