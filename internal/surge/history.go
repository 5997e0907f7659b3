// Package surge predicts the load that callers offer to a pool whose load peaks for a few
// seconds at several times its mean, as queues do that peak in turn. Capacity takes longer to
// move to the pool than the load takes to rise, so it has to move on a prediction.
//
// A History is fed with running totals of the submitted work. It finds the peaks, and
// predicts from the past ones the height of a peak that has just begun, and the time and
// height of the next one. All figures are measured: without two past peaks it predicts
// nothing, and a prediction has the error that the same prediction had for the past peaks.
// The package uses no clock and no network.
package surge

import (
	"math"
	"sort"
	"time"
)

const (
	sampleTime   = 1200 * time.Millisecond // of a sample of the rate outside of peaks; shorter ones are mostly 0 if jobs are few
	minSamples   = 2                       // before which no peak is looked for
	maxSamples   = 64                      // kept
	maxPeaks     = 8                       // kept for predictions; a changed rhythm has replaced an old one after as many
	recentTime   = 2400 * time.Millisecond // intervals kept for finding a first peak; single large jobs need a longer time to show a rate
	maxGap       = 2 * time.Second         // longest interval between two observations in which an onset can be dated
	resolution   = 150 * time.Millisecond  // of the observations: no time is predicted more exactly
	maxContrast  = 50                      // largest ratio of the rates in and outside of peaks that detection uses, as the lower one may be measured as 0
	endEvidence  = 4.6                     // log likelihood ratio from which a peak has ended: 100 to 1
	minPeakShare = 0.25                    // a peak with a smaller share of the usual work was no peak but a few jobs at once
)

// Totals are running totals of the work submitted to a pool since its owner took over.
type Totals struct {
	Work    float64 // core-seconds
	Squares float64 // of the core-seconds of single jobs
}

// interval is the work submitted between two observations.
type interval struct {
	from, to time.Time
	Totals
}

// peak is a time of high load.
type peak struct {
	onset  time.Time
	end    time.Time // zero while it lasts
	height float64   // mean rate
	rise   time.Duration
}

// History is the load of one pool. Its zero value is ready for use.
type History struct {
	last         Totals
	lastAt       time.Time
	firstAt      time.Time
	sample       float64       // work of the sample that is being taken
	sampleTime   time.Duration // its length so far
	samples      []float64     // ring of the latest rates
	count        int           // of all samples
	base         float64       // rate outside of peaks
	jobWork      float64       // mean core-seconds of the job that a core-second belongs to
	recent       []interval
	peaks        []peak // ended ones, oldest first
	current      *peak
	inPeak       Totals    // since the onset of the current peak, up to the possible end
	sinceEnd     Totals    // since the possible end of the current peak, or the end of the last one
	endFrom      time.Time // when that was
	onsetFrom    time.Time // possible onset
	onsetSum     float64   // log likelihood ratio of a peak since onsetFrom
	endSum       float64   // log likelihood ratio of no peak since endFrom
	alarms       float64   // decayed number of onsets that were no peaks
	hits, misses float64   // decayed numbers of onsets that came when predicted, and of others
}

// Observe adds the totals at the given time. Totals below the last ones are those of another
// owner of the pool; the work in between is not known.
func (h *History) Observe(now time.Time, t Totals) {
	gap := now.Sub(h.lastAt)
	last := h.last
	if h.lastAt.IsZero() || gap > maxGap || t.Work < last.Work {
		h.interrupt(now, t)
		return
	}
	if gap <= 0 {
		return
	}
	h.last, h.lastAt = t, now
	iv := interval{from: now.Add(-gap), to: now, Totals: Totals{Work: t.Work - last.Work, Squares: math.Max(t.Squares-last.Squares, 0)}}
	h.addSample(iv)
	if h.current != nil {
		h.findEnd(iv)
	} else {
		h.sinceEnd.add(iv.Totals)
		h.findOnset(iv)
	}
}

// interrupt starts anew after a time without observations. A peak whose end was not seen is
// dropped; the ended ones stay.
func (h *History) interrupt(now time.Time, t Totals) {
	h.last, h.lastAt = t, now
	h.recent, h.current = nil, nil
	h.onsetSum, h.endSum, h.onsetFrom, h.endFrom, h.sinceEnd = 0, 0, now, time.Time{}, Totals{}
	if h.firstAt.IsZero() {
		h.firstAt = now
	}
}

func (t *Totals) add(u Totals) {
	t.Work += u.Work
	t.Squares += u.Squares
}

// rate returns the rate of the work and its standard error over a time.
func (t Totals) rate(d time.Duration) (rate, stdErr float64) {
	s := math.Max(d.Seconds(), resolution.Seconds())
	return t.Work / s, math.Sqrt(t.Squares) / s
}

// addSample updates the base rate, the size of the jobs and the recent intervals.
func (h *History) addSample(iv interval) {
	h.sample += iv.Work
	h.sampleTime += iv.to.Sub(iv.from)
	if h.sampleTime >= sampleTime {
		rate := h.sample / h.sampleTime.Seconds()
		if len(h.samples) < maxSamples {
			h.samples = append(h.samples, rate)
		} else {
			h.samples[h.count%maxSamples] = rate
		}
		h.count++
		h.sample, h.sampleTime = 0, 0
		h.base = lowerHalfMean(h.samples)
	}
	if iv.Work > 0 {
		const weight = 0.1 // about the last ten intervals with arrivals count
		size := iv.Squares / iv.Work
		if h.jobWork == 0 {
			h.jobWork = size
		}
		h.jobWork += weight * (size - h.jobWork)
	}
	h.recent = append(h.recent, iv)
	drop := 0
	for iv.to.Sub(h.recent[drop].from) > recentTime {
		drop++
	}
	h.recent = h.recent[drop:]
}

// lowerHalfMean returns the mean of the lower half of the samples: the rate outside of peaks
// for a pool that peaks half of the time at most.
func lowerHalfMean(samples []float64) float64 {
	list := append([]float64(nil), samples...)
	sort.Float64s(list)
	list = list[:(len(list)+1)/2]
	sum := 0.0
	for _, r := range list {
		sum += r
	}
	return sum / float64(len(list))
}

// evidence returns the log likelihood ratio of a peak of the given height in an interval. Jobs
// arrive at random times, so their number in an interval has a Poisson distribution.
func (h *History) evidence(iv interval, height float64) float64 {
	if height <= 2*h.base || h.jobWork <= 0 {
		return 0
	}
	low := math.Max(h.base, height/maxContrast)
	return (iv.Work*math.Log(height/low) - (height-low)*iv.to.Sub(iv.from).Seconds()) / h.jobWork
}

// findOnset looks for the onset of a peak: like the past ones, if there are any, else of any
// height.
func (h *History) findOnset(iv interval) {
	if len(h.peaks) > 0 {
		// Half the usual height is tested for, so that lower peaks are found too.
		h.onsetSum += h.evidence(iv, h.usualHeight()/2)
		if h.onsetSum <= 0 {
			h.onsetSum, h.onsetFrom = 0, iv.to
		}
		if h.onsetSum > h.onsetEvidence() {
			h.begin(h.onsetFrom)
			return
		}
	}
	var sum Totals
	for i := len(h.recent) - 1; i >= 0; i-- {
		sum.add(h.recent[i].Totals)
		rate, stdErr := sum.rate(iv.to.Sub(h.recent[i].from))
		if h.count >= minSamples && rate-3*stdErr > 2*h.base {
			h.begin(h.firstAbove(rate / 2))
			return
		}
	}
}

// onsetEvidence returns the log likelihood ratio from which a peak has begun: the odds against
// an onset in an interval, by the number of the past peaks.
func (h *History) onsetEvidence() float64 {
	observed := h.lastAt.Sub(h.firstAt).Seconds()
	return math.Log(math.Max(observed/float64(len(h.peaks))/resolution.Seconds(), 20))
}

// firstAbove returns the start of the first recent interval whose rate exceeds a limit.
func (h *History) firstAbove(limit float64) time.Time {
	for _, iv := range h.recent {
		if iv.Work/iv.to.Sub(iv.from).Seconds() > limit {
			return iv.from
		}
	}
	return h.lastAt
}

// begin starts a peak.
func (h *History) begin(onset time.Time) {
	h.current = &peak{onset: onset}
	h.inPeak, h.sinceEnd, h.endSum, h.endFrom = Totals{}, Totals{}, 0, h.lastAt
	for _, iv := range h.recent {
		if !iv.from.Before(onset) {
			h.inPeak.add(iv.Totals)
		}
	}
}

// findEnd looks for the end of the current peak.
func (h *History) findEnd(iv interval) {
	h.sinceEnd.add(iv.Totals)
	height, _ := h.inPeak.rate(h.endFrom.Sub(h.current.onset))
	h.endSum -= h.evidence(iv, height)
	h.markRise(height)
	switch {
	case h.endSum <= 0:
		h.endSum, h.endFrom = 0, iv.to
		h.inPeak.add(h.sinceEnd)
		h.sinceEnd = Totals{}
	case h.endSum > endEvidence:
		h.finish(height)
	}
	if height <= 2*h.base {
		h.current = nil // the load stays at this level: it is the new rate outside of peaks
	}
}

// markRise sets the time that the current peak took to reach four fifths of its height.
func (h *History) markRise(height float64) {
	var sum Totals
	for i := len(h.recent) - 1; i >= 0; i-- {
		sum.add(h.recent[i].Totals)
		if d := h.lastAt.Sub(h.recent[i].from); d >= 2*resolution {
			if rate, _ := sum.rate(d); h.current.rise == 0 && rate >= 0.8*height {
				h.current.rise = h.lastAt.Sub(h.current.onset)
			}
			return
		}
	}
}

// finish ends the current peak and records it, unless it was only a few jobs at once.
func (h *History) finish(height float64) {
	p := *h.current
	h.current, h.onsetSum, h.onsetFrom = nil, 0, h.lastAt
	p.end, p.height = h.endFrom, height
	for len(h.recent) > 0 && h.recent[0].from.Before(p.end) {
		h.recent = h.recent[1:] // the arrivals of this peak are no sign of the next one
	}
	work := height * p.end.Sub(p.onset).Seconds()
	if len(h.peaks) > 0 && work < minPeakShare*h.usualWork() {
		h.alarms++
		return
	}
	h.alarms *= 0.7
	h.scoreOnset(p.onset)
	h.peaks = append(h.peaks, p)
	if len(h.peaks) > maxPeaks {
		h.peaks = append([]peak(nil), h.peaks[1:]...)
	}
}

// usualHeight returns the median height of the last peaks.
func (h *History) usualHeight() float64 { return medianHeight(h.peaks) }

// usualWork returns the median work of the last peaks.
func (h *History) usualWork() float64 {
	list := make([]float64, len(h.peaks))
	for i, p := range h.peaks {
		list[i] = p.height * p.end.Sub(p.onset).Seconds()
	}
	return median(list)
}

// medianHeight returns the median height of the last five of the given peaks, which a single
// flood does not change.
func medianHeight(peaks []peak) float64 {
	var list []float64
	for _, p := range peaks[max(len(peaks)-5, 0):] {
		list = append(list, p.height)
	}
	return median(list)
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sort.Float64s(list)
	n := len(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}
