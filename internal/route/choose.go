package route

import (
	"math/rand/v2"
	"time"
)

// scanLimit bounds how many workers one choice looks at.
const scanLimit = 24

// Choose returns the worker for one attempt and counts the request in, or nil
// if every worker is leaving, at its connection limit or excluded. It takes the
// least loaded of the workers it looks at; one that fails fast has few requests
// in flight, so failing workers are quarantined rather than ranked.
func (p *Pool) Choose(now time.Time, exclude *Worker) *Worker {
	n := len(p.Workers)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range n {
		w := p.Workers[(start+i)%n]
		if w != exclude && !w.leaving.Load() && w.takeTrial(now) {
			w.Begin()
			return w
		}
		if i >= scanLimit {
			break
		}
	}
	if w := p.least(now, start, exclude, p.ejectedShare(now) <= maxEjectShare); w != nil {
		w.Begin()
		return w
	}
	return nil
}

// least prefers workers that are listed as up and not in quarantine, but takes
// any that is not leaving: the list may be wrong, and if most of a pool is in
// quarantine the failures are not the workers' own.
func (p *Pool) least(now time.Time, start int, exclude *Worker, eject bool) *Worker {
	var best, fallback *Worker
	var bestLoad, fallbackLoad int64
	n := len(p.Workers)
	seen := 0
	for i := range n {
		w := p.Workers[(start+i)%n]
		if w == exclude || w.leaving.Load() || w.inFlight.Load() >= p.ConnsPerWorker {
			continue
		}
		load := w.load()
		if w.down.Load() || (eject && w.Quarantined(now)) {
			if fallback == nil || load < fallbackLoad {
				fallback, fallbackLoad = w, load
			}
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad = w, load
		}
		if seen++; seen >= scanLimit {
			break
		}
	}
	if best != nil {
		return best
	}
	return fallback
}

// load ranks workers by this entry's own requests in flight. Each entry spreads
// its share of the slots evenly, and so all together do; were the others' last
// reports added, all entries would send to the same workers until the next ones.
func (w *Worker) load() int64 { return w.inFlight.Load() }

func (p *Pool) ejectedShare(now time.Time) float64 {
	out := 0
	for _, w := range p.Workers {
		if w.Quarantined(now) {
			out++
		}
	}
	return float64(out) / float64(len(p.Workers))
}
