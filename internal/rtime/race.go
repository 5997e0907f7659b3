package rtime

import (
	"math"
	"sort"
)

// Race is the outlook of a run of a given age and of a second run of the same task that starts now.
// Times are ratios, as in the distribution, unless the caller scales them.
type Race struct {
	Remaining   float64 // expected time until the first run ends without a second one
	FirstChance float64 // chance that the second run ends first
	Saved       float64 // expected time by which the task ends earlier
	SecondTime  float64 // expected time that the second run takes, or is stopped after
	Within      float64 // chance that the first run ends within the time left
	EitherIn    float64 // chance that one of the two does
}

// Outlook returns the race between a run of the given age and a second run that makes its first
// progress after delay, where left is the time within which the task should end. Both are assumed to
// take independent times from the distribution, the first one more than its age. A run older than all
// samples is expected to take as long again. ok is false without samples.
func (d *Dist) Outlook(age, delay, left float64) (r Race, ok bool) {
	if d.Samples() == 0 {
		return Race{}, false
	}
	older := d.olderThan(age)
	if len(older) == 0 {
		older = []bin{{ratio: 2 * age, count: 1}}
	}
	return d.race(older, age, delay, left), true
}

// OutlookAt is Outlook for a first run that is known to end after the time remaining.
func (d *Dist) OutlookAt(remaining, delay, left float64) (r Race, ok bool) {
	if d.Samples() == 0 {
		return Race{}, false
	}
	return d.race([]bin{{ratio: remaining, count: 1}}, 0, delay, left), true
}

func (d *Dist) olderThan(age float64) []bin {
	bins := d.sorted()
	return bins[sort.Search(len(bins), func(i int) bool { return bins[i].ratio > age }):]
}

// race sums over the times of the first run, and for each over those of the second one by the sums
// that the bins hold.
func (d *Dist) race(first []bin, age, delay, left float64) Race {
	all, _ := d.below(math.Inf(1))
	secondIn, _ := d.below(math.Nextafter(left-delay, math.Inf(1)))
	var r Race
	var weights float64
	for _, x := range first {
		weights += x.count
		remaining := x.ratio - age
		faster, sum := d.below(remaining - delay)
		faster, sum = faster/all, sum/all
		r.Remaining += x.count * remaining
		r.FirstChance += x.count * faster
		r.Saved += x.count * (faster*(remaining-delay) - sum)
		r.SecondTime += x.count * (sum + faster*delay + (1-faster)*remaining)
		if remaining <= left {
			r.Within += x.count
			r.EitherIn += x.count
		} else {
			r.EitherIn += x.count * secondIn / all
		}
	}
	r.Remaining /= weights
	r.FirstChance /= weights
	r.Saved /= weights
	r.SecondTime /= weights
	r.Within /= weights
	r.EitherIn /= weights
	return r
}

// below returns the number and the sum of the samples below a ratio.
func (d *Dist) below(ratio float64) (count, sum float64) {
	bins := d.sorted()
	i := sort.Search(len(bins), func(i int) bool { return bins[i].ratio >= ratio })
	if i < len(bins) {
		return bins[i].countBelow, bins[i].sumBelow
	}
	last := &bins[len(bins)-1]
	return last.countBelow + last.count, last.sumBelow + last.count*last.ratio
}
