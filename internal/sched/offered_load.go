package sched

import (
	"math"
	"time"
)

// offeredLoad counts the work that callers offer.
type offeredLoad struct {
	slots [slotCount]loadSlot // by time
	last  int64               // number of the latest slot
}

// loadSlot is the work of one slot.
type loadSlot struct {
	sum        float64 // core-seconds
	sumSquares float64 // of the jobs' core-seconds; their root is how far the sum is off
}

const (
	slotLength = 100 * time.Millisecond
	slotCount  = 10 // a second: some jobs even of the largest kind
	// burstSlots are enough to see a burst that is several times the mean, long before
	// the slots of a second show all of it.
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
}

// rate returns core-seconds a second: the mean of the last second, or what has come
// since a surge began, less its error.
func (o *offeredLoad) rate(now time.Time) float64 {
	o.advance(now)
	mean, _ := o.rateOver(now, slotCount)
	surge, off := o.rateOver(now, burstSlots)
	return math.Max(mean, surge-off)
}

// rateOver returns the rate rateOver the latest slots and its standard error.
func (o *offeredLoad) rateOver(now time.Time, slots int64) (rate, off float64) {
	var sum, squares float64
	for k := o.last - slots + 1; k <= o.last; k++ {
		s := &o.slots[k%slotCount]
		sum += s.sum
		squares += s.sumSquares
	}
	since := now.Sub(time.UnixMilli((o.last - slots + 1) * slotLength.Milliseconds())).Seconds()
	return sum / since, math.Sqrt(squares) / since
}
