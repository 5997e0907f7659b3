package route

import (
	"math/rand/v2"
	"time"
)

// scanLimit bounds the cost of Choose in large pools. It limits the search for a worker
// whose probation is due, and the number of healthy workers whose load is compared.
const scanLimit = 24

// Choose returns the worker for one attempt and counts the request as in flight. It
// returns nil if every worker is leaving, at its connection limit or excluded. The
// argument exclude is the worker of the previous attempt, or nil. A worker whose
// quarantine has ended gets a single request on probation; otherwise the least loaded
// worker is chosen. Load alone would favour a worker that fails fast, as it has few
// requests in flight; failing workers are therefore quarantined.
func (p *Pool) Choose(now time.Time, exclude *Worker) *Worker {
	n := len(p.Workers)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range n {
		w := p.Workers[(start+i)%n]
		if w != exclude && !w.leaving.Load() && w.startProbation(now) {
			w.Begin()
			return w
		}
		if i >= scanLimit {
			break
		}
	}
	if w := p.leastLoaded(now, start, exclude, p.quarantinedShare(now) <= maxQuarantinedShare); w != nil {
		w.Begin()
		return w
	}
	return nil
}

// leastLoaded returns the least loaded of the workers that the platform does not list as
// down and that are not quarantined. If there is none, it falls back to the least loaded
// of the others, since the list may be wrong. It never returns a worker that is leaving,
// at its connection limit or excluded. If skipQuarantined is false, quarantined workers
// count as healthy: when most of a pool is quarantined, the failures probably have a
// common cause outside the workers.
func (p *Pool) leastLoaded(now time.Time, start int, exclude *Worker, skipQuarantined bool) *Worker {
	var best, fallback *Worker
	var bestLoad, fallbackLoad int64
	n := len(p.Workers)
	compared := 0
	for i := range n {
		w := p.Workers[(start+i)%n]
		if w == exclude || w.leaving.Load() || w.inFlight.Load() >= p.ConnsPerWorker {
			continue
		}
		load := w.load()
		if w.down.Load() || (skipQuarantined && w.Quarantined(now)) {
			if fallback == nil || load < fallbackLoad {
				fallback, fallbackLoad = w, load
			}
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad = w, load
		}
		if compared++; compared >= scanLimit {
			break
		}
	}
	if best != nil {
		return best
	}
	return fallback
}

// load returns the load by which workers are compared: this entry's requests in flight,
// without abandoned ones (see CountAbandoned) and without those of other entries. Each
// entry spreads its requests evenly over the workers, so the total over all entries is
// even, too. If the load that other entries report counted as well, all entries would send
// to the same workers until the next reports.
func (w *Worker) load() int64 { return w.inFlight.Load() }

// quarantinedShare returns the share of the workers that are quarantined or on probation.
func (p *Pool) quarantinedShare(now time.Time) float64 {
	n := 0
	for _, w := range p.Workers {
		if w.Quarantined(now) {
			n++
		}
	}
	return float64(n) / float64(len(p.Workers))
}
