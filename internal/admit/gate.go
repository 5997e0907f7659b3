package admit

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/result"
)

// offeredShare is the weight of the newest measurement of the offered load.
const offeredShare = 0.3

// Gate is the queue of one pool, shared by the requests of one entry.
type Gate struct {
	mu   sync.Mutex
	q    *Queue
	open bool // lets everyone in; for comparisons only

	arrived int64 // requests since the last Measure
	since   time.Time
	offered float64 // moving mean of the slots that all arriving requests would fill
}

// NewGate returns a gate with a limit. An open gate refuses nothing.
func NewGate(limit int, open bool) *Gate {
	return &Gate{q: NewQueue(limit), open: open}
}

// Load is what an entry tells its peers about one pool.
type Load struct {
	Demand  int // requests that run or wait
	Running int
	Refused int64
}

// Load returns the gate's present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Demand: g.q.Demand(), Running: g.q.Running(), Refused: g.q.Refused()}
}

// MeanTime returns the moving mean of the time a request holds its slot.
func (g *Gate) MeanTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.MeanTime()
}

// SetLimit changes how many requests may run at once.
func (g *Gate) SetLimit(now time.Time, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.q.SetLimit(now, limit)
}

// MeasureOfferedLoad returns the slots that the arriving requests, refused ones included,
// would fill, as a moving mean over the calls.
func (g *Gate) MeasureOfferedLoad(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() {
		g.since = now
	}
	dt := now.Sub(g.since).Seconds()
	if dt <= 0 {
		return g.offered
	}
	slots := float64(g.arrived) / dt * g.q.MeanTime().Seconds()
	g.offered += offeredShare * (slots - g.offered)
	g.arrived, g.since = 0, now
	return g.offered
}

// Enter waits until the request may run. It returns nil, or the refusal.
func (g *Gate) Enter(ctx context.Context, now time.Time, p fleet.Priority, deadline time.Time) *result.Problem {
	if g.open {
		return nil
	}
	it := NewItem(p, deadline)
	g.mu.Lock()
	g.arrived++
	g.q.Offer(now, it)
	latest := g.q.LatestStart(it)
	g.mu.Unlock()
	select {
	case <-it.Wake:
	default:
		g.wait(ctx, it, latest.Sub(now))
	}
	if it.Granted {
		return nil
	}
	return result.Refuse(503, it.After, "the service is at its capacity")
}

// wait returns once the item is decided; it expires at its latest start and is
// cancelled with its caller.
func (g *Gate) wait(ctx context.Context, it *Item, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-it.Wake:
		return
	case <-t.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.q.Expire(it)
}

// Leave returns the slot of a request that Enter let in.
func (g *Gate) Leave(now time.Time, held time.Duration) {
	if g.open {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.q.Done(now, held)
}
