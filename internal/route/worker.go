// Package route holds the immutable routing table that each request reads
// through one atomic pointer, and the choice of a worker within a pool.
package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	ewmaShare     = 0.2 // weight of the newest sample
	ejectRate     = 0.5 // success rate below which a worker is quarantined
	ejectSamples  = 5   // answers that are needed to judge a worker
	ejectFirst    = 500 * time.Millisecond
	ejectLongest  = 10 * time.Second
	maxEjectShare = 0.5 // share of a pool that may be in quarantine
)

// Worker is a backend server VM with what this entry has seen of it. It outlives
// the tables that name it. Its fields are atomics, written on the request path.
type Worker struct {
	Name    string
	Address string

	inFlight   atomic.Int64  // this entry's requests
	abandoned  atomic.Int64  // requests given up here that the VM may still run
	success    atomic.Uint64 // float64 bits, moving mean of 1 (answered) and 0 (failed)
	latency    atomic.Uint64 // float64 bits, moving mean in seconds
	samples    atomic.Int64
	leaving    atomic.Bool
	down       atomic.Bool
	ejectUntil atomic.Int64 // Unix nanoseconds
	ejections  atomic.Int64 // in a row
	trial      atomic.Bool  // one request tries a worker whose quarantine has ended
}

// NewWorker returns a worker that counts as healthy.
func NewWorker(name, address string) *Worker {
	w := &Worker{Name: name, Address: address}
	w.success.Store(math.Float64bits(1))
	return w
}

// SetPlatformStatus stores what the platform's VM list says.
func (w *Worker) SetPlatformStatus(leaving, down bool) {
	w.leaving.Store(leaving)
	w.down.Store(down)
}

// InFlight returns this entry's requests that the VM may be running, those that
// the entry has given up included.
func (w *Worker) InFlight() int64 { return w.inFlight.Load() + w.abandoned.Load() }

// CountAbandoned counts a request that may still run on the VM for some time.
func (w *Worker) CountAbandoned(still time.Duration) {
	w.abandoned.Add(1)
	time.AfterFunc(still, func() { w.abandoned.Add(-1) })
}

// Leaving reports whether the VM may not get new work.
func (w *Worker) Leaving() bool { return w.leaving.Load() }

// Success returns the moving mean of the success rate, 0 to 1.
func (w *Worker) Success() float64 { return math.Float64frombits(w.success.Load()) }

// Latency returns the moving mean of the time to an answer.
func (w *Worker) Latency() time.Duration {
	return time.Duration(math.Float64frombits(w.latency.Load()) * float64(time.Second))
}

// Begin counts a request in.
func (w *Worker) Begin() { w.inFlight.Add(1) }

// End counts a request out and learns from it. Took is the time to its answer.
func (w *Worker) End(now time.Time, ok bool, took time.Duration) {
	w.inFlight.Add(-1)
	w.Learn(now, ok, took)
}

// EndWithoutResult counts a request out without learning from it.
func (w *Worker) EndWithoutResult() {
	w.inFlight.Add(-1)
	w.trial.Store(false)
}

// Learn takes in the result of one request and quarantines the worker once most
// of its answers are failures, for twice as long each time in a row.
func (w *Worker) Learn(now time.Time, ok bool, took time.Duration) {
	value := 0.0
	if ok {
		value = 1
		fold(&w.latency, took.Seconds())
	}
	fold(&w.success, value)
	samples := w.samples.Add(1)
	if w.trial.Swap(false) {
		w.endTrial(now, ok)
		return
	}
	if !ok && samples >= ejectSamples && w.Success() < ejectRate && w.ejectUntil.Load() == 0 {
		w.eject(now)
	}
}

func (w *Worker) endTrial(now time.Time, ok bool) {
	if !ok {
		w.eject(now)
		return
	}
	w.ejections.Store(0)
	w.ejectUntil.Store(0)
	w.samples.Store(0)
	w.success.Store(math.Float64bits(1))
}

func (w *Worker) eject(now time.Time) {
	n := w.ejections.Add(1)
	d := ejectFirst << min(n-1, 10)
	w.ejectUntil.Store(now.Add(min(d, ejectLongest)).UnixNano())
}

// Quarantined reports whether the worker is out for its failures. After its time
// it stays out until one trial request has been answered.
func (w *Worker) Quarantined(now time.Time) bool {
	until := w.ejectUntil.Load()
	return until != 0 && (now.UnixNano() < until || w.trial.Load())
}

// takeTrial claims the one trial request after a quarantine.
func (w *Worker) takeTrial(now time.Time) bool {
	until := w.ejectUntil.Load()
	return until != 0 && now.UnixNano() >= until && w.trial.CompareAndSwap(false, true)
}

// fold moves a mean towards a sample; a first sample replaces a zero mean.
func fold(mean *atomic.Uint64, sample float64) {
	for {
		old := mean.Load()
		v := math.Float64frombits(old)
		next := v + ewmaShare*(sample-v)
		if old == 0 {
			next = sample
		}
		if mean.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
