package rtime

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
	for i := range bins {
		if bins[i].ratio > age {
			return bins[i:]
		}
	}
	return nil
}

// race sums over the pairs of run times, less than 100 of each.
func (d *Dist) race(first []bin, age, delay, left float64) Race {
	var r Race
	var sum float64
	for _, x := range first {
		remaining := x.ratio - age
		for _, y := range d.sorted() {
			second := y.ratio + delay
			weight := x.count * y.count
			sum += weight
			r.Remaining += weight * remaining
			r.SecondTime += weight * max(min(remaining, second), 0)
			if second < remaining {
				r.FirstChance += weight
				r.Saved += weight * (remaining - second)
			}
			if remaining <= left {
				r.Within += weight
			}
			if min(remaining, second) <= left {
				r.EitherIn += weight
			}
		}
	}
	r.Remaining /= sum
	r.FirstChance /= sum
	r.Saved /= sum
	r.SecondTime /= sum
	r.Within /= sum
	r.EitherIn /= sum
	return r
}
