package sched

import (
	"math"
	"time"
)

// offeredLoad measures the work that callers submit, including refused jobs, over a
// sliding window of slots.
type offeredLoad struct {
	slots [slotCount]loadSlot // ring, indexed by slot number
	last  int64               // number of the latest slot, counted from the Unix epoch
	total loadSlot            // since this owner took over
}

// loadSlot is the work submitted in one slot.
type loadSlot struct {
	sum        float64 // core-seconds
	sumSquares float64 // of the core-seconds of single jobs; the root is the standard error of sum
}

const (
	slotLength = 100 * time.Millisecond
	slotCount  = 10 // one second, which contains several jobs even of the largest kind
	// burstSlots is the length in slots of the window for detecting bursts: 400 ms, enough
	// to detect a burst of several times the mean rate well before the mean over one second
	// shows it.
	burstSlots = 4
)

func (o *offeredLoad) advance(now time.Time) {
	n := now.UnixMilli() / slotLength.Milliseconds()
	if n < o.last || n-o.last >= slotCount {
		o.slots = [slotCount]loadSlot{}
	} else {
		for k := o.last + 1; k <= n; k++ {
			o.slots[k%slotCount] = loadSlot{}
		}
	}
	o.last = n
}

func (o *offeredLoad) add(now time.Time, work float64) {
	o.advance(now)
	s := &o.slots[o.last%slotCount]
	s.sum += work
	s.sumSquares += work * work
	o.total.sum += work
	o.total.sumSquares += work * work
}

// rate returns the offered load in core-seconds per second. It is the larger of the mean
// over the last second, and the mean over the burst slots less the standard error of the
// latter.
func (o *offeredLoad) rate(now time.Time) float64 {
	o.advance(now)
	mean, _ := o.rateOver(now, slotCount)
	burst, stdErr := o.rateOver(now, burstSlots)
	return math.Max(mean, burst-stdErr)
}

// rateOver returns the rate over the latest slots and its standard error.
func (o *offeredLoad) rateOver(now time.Time, slots int64) (rate, stdErr float64) {
	var sum, squares float64
	for k := o.last - slots + 1; k <= o.last; k++ {
		s := &o.slots[k%slotCount]
		sum += s.sum
		squares += s.sumSquares
	}
	since := now.Sub(time.UnixMilli((o.last - slots + 1) * slotLength.Milliseconds())).Seconds()
	return sum / since, math.Sqrt(squares) / since
}
