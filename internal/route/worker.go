// Package route builds the routing table from the fleet state and chooses a worker for
// each attempt of a request. A Table maps services to pools and pools to workers. Its user
// stores the current Table in an atomic pointer, so that requests read it without locks.
// Pool.Choose chooses the worker, and Worker.End records the result. A Worker holds the
// statistics of a backend server VM and quarantines it after failures; the Registry keeps
// workers when a new table is built.
package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	ewmaWeight          = 0.2                    // weight of the newest sample in the moving means (EWMA) of success rate and latency
	minSuccessRate      = 0.5                    // success rate below which a worker is quarantined
	minSamples          = 5                      // results needed before a worker may be quarantined
	firstQuarantine     = 500 * time.Millisecond // doubled for each further quarantine in a row
	longestQuarantine   = 10 * time.Second
	maxQuarantinedShare = 0.5 // if a larger share of a pool is quarantined, quarantine is ignored
)

// Worker is a backend server VM with the statistics of this entry's requests to it. It
// outlives the tables that refer to it. It is safe for concurrent use without locks, as
// requests update it.
type Worker struct {
	Name    string
	Address string

	inFlight         atomic.Int64  // this entry's requests between Begin and End
	abandoned        atomic.Int64  // requests that this entry no longer waits for, but the VM may still be running
	successRate      atomic.Uint64 // float64 bits; moving mean of 1 (success) and 0 (failure)
	latency          atomic.Uint64 // float64 bits; moving mean of the response time of successful requests, in seconds
	samples          atomic.Int64  // results recorded since the start or the last successful probation
	leaving          atomic.Bool   // listed by the platform as leaving: the VM is about to go down
	down             atomic.Bool   // listed by the platform as down
	quarantinedUntil atomic.Int64  // Unix nanoseconds; 0 if healthy; keeps its value until a probation succeeds
	quarantines      atomic.Int64  // since the last successful probation
	onProbation      atomic.Bool   // the single request after a quarantine is in flight
}

// NewWorker returns a worker that is assumed to be healthy.
func NewWorker(name, address string) *Worker {
	w := &Worker{Name: name, Address: address}
	w.successRate.Store(math.Float64bits(1))
	return w
}

// SetPlatformStatus stores the VM's status from the platform's list.
func (w *Worker) SetPlatformStatus(leaving, down bool) {
	w.leaving.Store(leaving)
	w.down.Store(down)
}

// InFlight returns the number of this entry's requests that the VM may be running,
// including abandoned ones.
func (w *Worker) InFlight() int64 { return w.inFlight.Load() + w.abandoned.Load() }

// CountAbandoned counts a request as abandoned for d: this entry no longer waits for its
// response, but the VM may be running it for that long.
func (w *Worker) CountAbandoned(d time.Duration) {
	w.abandoned.Add(1)
	time.AfterFunc(d, func() { w.abandoned.Add(-1) })
}

// Leaving reports whether the VM is about to go down and must not get new requests.
func (w *Worker) Leaving() bool { return w.leaving.Load() }

// SuccessRate returns the moving mean of the success rate, from 0 to 1.
func (w *Worker) SuccessRate() float64 { return math.Float64frombits(w.successRate.Load()) }

// Latency returns the moving mean of the response time of successful requests.
func (w *Worker) Latency() time.Duration {
	return time.Duration(math.Float64frombits(w.latency.Load()) * float64(time.Second))
}

// Begin counts a request as in flight.
func (w *Worker) Begin() { w.inFlight.Add(1) }

// End ends a request that Begin counted and records its result and its response time.
func (w *Worker) End(now time.Time, ok bool, took time.Duration) {
	w.inFlight.Add(-1)
	w.RecordResult(now, ok, took)
}

// EndWithoutResult ends a request that Begin counted without recording a result. If the
// worker is on probation, another request can then be sent as its single one.
func (w *Worker) EndWithoutResult() {
	w.inFlight.Add(-1)
	w.onProbation.Store(false)
}

// RecordResult records the result of one request. It quarantines the worker once it has
// minSamples results and a success rate below minSuccessRate, or if its probation fails.
// The first quarantine lasts for firstQuarantine, each further one in a row for twice as
// long, up to longestQuarantine.
func (w *Worker) RecordResult(now time.Time, ok bool, took time.Duration) {
	value := 0.0
	if ok {
		value = 1
		updateMean(&w.latency, took.Seconds())
	}
	updateMean(&w.successRate, value)
	samples := w.samples.Add(1)
	if w.onProbation.Swap(false) {
		w.endProbation(now, ok)
		return
	}
	if !ok && samples >= minSamples && w.SuccessRate() < minSuccessRate && w.quarantinedUntil.Load() == 0 {
		w.quarantine(now)
	}
}

// endProbation quarantines the worker again after a failure. After a success it ends the
// quarantine and resets the success rate.
func (w *Worker) endProbation(now time.Time, ok bool) {
	if !ok {
		w.quarantine(now)
		return
	}
	w.quarantines.Store(0)
	w.quarantinedUntil.Store(0)
	w.samples.Store(0)
	w.successRate.Store(math.Float64bits(1))
}

// quarantine starts a quarantine. The number of doublings is limited so that the shift
// cannot overflow.
func (w *Worker) quarantine(now time.Time) {
	n := w.quarantines.Add(1)
	d := firstQuarantine << min(n-1, 10)
	w.quarantinedUntil.Store(now.Add(min(d, longestQuarantine)).UnixNano())
}

// Quarantined reports whether the worker is quarantined. On probation it counts as
// quarantined until the single request has ended.
func (w *Worker) Quarantined(now time.Time) bool {
	until := w.quarantinedUntil.Load()
	return until != 0 && (now.UnixNano() < until || w.onProbation.Load())
}

// startProbation reports whether the worker's quarantine has ended and the caller may
// send it the single request of the probation.
func (w *Worker) startProbation(now time.Time) bool {
	until := w.quarantinedUntil.Load()
	return until != 0 && now.UnixNano() >= until && w.onProbation.CompareAndSwap(false, true)
}

// updateMean updates a moving mean with a sample. A sample replaces a mean of zero, which
// stands for no sample yet.
func updateMean(mean *atomic.Uint64, sample float64) {
	for {
		old := mean.Load()
		v := math.Float64frombits(old)
		next := v + ewmaWeight*(sample-v)
		if old == 0 {
			next = sample
		}
		if mean.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
