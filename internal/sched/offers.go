package sched

import (
	"math"
	"time"
)

// offers counts the work that callers offer.
type offers struct {
	slots [offerSlots]offered // by time
	last  int64               // number of the latest slot
}

// offered is the work of one slot.
type offered struct {
	sum     float64 // core-seconds
	squares float64 // of the jobs' core-seconds; their root is how far the sum is off
}

const (
	offerSlot  = 100 * time.Millisecond
	offerSlots = 10 // a second: some jobs even of the largest kind
	// surgeSlots are enough to see a burst that is several times the mean, long before
	// the slots of a second show all of it.
	surgeSlots = 4
)

func (o *offers) advance(now time.Time) {
	n := now.UnixMilli() / offerSlot.Milliseconds()
	if n < o.last || n-o.last >= offerSlots {
		o.slots = [offerSlots]offered{}
	} else {
		for k := o.last + 1; k <= n; k++ {
			o.slots[k%offerSlots] = offered{}
		}
	}
	o.last = n
}

func (o *offers) add(now time.Time, work float64) {
	o.advance(now)
	s := &o.slots[o.last%offerSlots]
	s.sum += work
	s.squares += work * work
}

// rate returns core-seconds a second: the mean of the last second, or what has come
// since a surge began, less its error.
func (o *offers) rate(now time.Time) float64 {
	o.advance(now)
	mean, _ := o.over(now, offerSlots)
	surge, off := o.over(now, surgeSlots)
	return math.Max(mean, surge-off)
}

// over returns the rate over the latest slots and its standard error.
func (o *offers) over(now time.Time, slots int64) (rate, off float64) {
	var sum, squares float64
	for k := o.last - slots + 1; k <= o.last; k++ {
		s := &o.slots[k%offerSlots]
		sum += s.sum
		squares += s.squares
	}
	since := now.Sub(time.UnixMilli((o.last - slots + 1) * offerSlot.Milliseconds())).Seconds()
	return sum / since, math.Sqrt(squares) / since
}
