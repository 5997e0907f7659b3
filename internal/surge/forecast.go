package surge

import (
	"math"
	"time"
)

// Forecast is a prediction of a pool's load. Its zero value predicts nothing.
type Forecast struct {
	Rate   float64       // predicted rate in core-seconds per second
	Error  float64       // standard error of Rate
	Begun  bool          // the peak has begun
	Chance float64       // that the load has risen to Rate by the end of the horizon
	Wait   time.Duration // expected time from the end of the horizon to the rise, if it is later
	// Quiet is the time from the end of the horizon for which no peak is expected, 0 if
	// the past does not show it.
	Quiet time.Duration
	// Ended reports that a peak has just ended, and EndRate the rate since, plus two
	// standard errors.
	Ended   bool
	EndRate float64
	JobWork float64 // mean core-seconds of the jobs
}

// Prior errors, which count half as much as a past prediction of the same age: of a height, as a share of it, and of
// a time between two onsets, as a share of that time.
const (
	priorError       = 0.5
	priorTimingError = 0.25
	priorCount       = 0.5
	minHeightError   = 0.05 // even equal heights are measured no better than this
	errorDecay       = 0.8  // weight of a past prediction relative to the next one
)

// Forecast predicts the load at the end of the horizon.
func (h *History) Forecast(now time.Time, horizon time.Duration) Forecast {
	f := Forecast{JobWork: h.jobWork}
	if h.current == nil && !h.endFrom.IsZero() && len(h.peaks) > 0 {
		rate, stdErr := h.sinceEnd.rate(now.Sub(h.endFrom))
		f.Ended, f.EndRate = now.Sub(h.endFrom) < recentTime, rate+2*stdErr
	}
	if len(h.peaks) < 1 {
		return f
	}
	height, relErr := h.heightForecast()
	weight := math.Max(1-relErr-h.alarms/float64(len(h.peaks)+1), 0)
	if h.current != nil {
		h.forecastCurrent(now, &f, height, relErr, weight)
		return f
	}
	f.Quiet = max(h.shortestPause()-now.Sub(h.endFrom)-horizon, 0)
	next, timeErr, ok := h.nextOnset()
	if !ok || now.After(next.Add(2*timeErr)) {
		return f // the peak has not come: the rhythm is broken
	}
	f.Rate, f.Error = weight*height, relErr*height
	ahead := next.Sub(now.Add(horizon))
	f.Chance = weight * h.trust() * normalCDF(-ahead.Seconds()/timeErr.Seconds())
	f.Wait = max(ahead, 0) + timeErr
	f.Quiet = max(f.Quiet, ahead-2*timeErr)
	return f
}

// forecastCurrent predicts the rest of a peak that has begun: the usual height and the rate
// observed so far, each weighted by the inverse of its squared error.
func (h *History) forecastCurrent(now time.Time, f *Forecast, height, relErr, weight float64) {
	var sum Totals
	var observed, stdErr float64
	for i := len(h.recent) - 1; i >= 0; i-- {
		if h.recent[i].from.Before(h.current.onset) {
			break
		}
		sum.add(h.recent[i].Totals)
		observed, stdErr = sum.rate(now.Sub(h.recent[i].from))
		if now.Sub(h.recent[i].from) >= 4*resolution {
			break
		}
	}
	if h.rising(now) {
		stdErr = math.Max(stdErr, height) // the rate observed so far says little about the height
	}
	stdErr = math.Max(stdErr, minHeightError*height)
	prior, data := 1/math.Pow(relErr*height, 2), 1/math.Pow(stdErr, 2)
	predicted := (prior*height + data*observed) / (prior + data)
	f.Rate = observed + weight*(predicted-observed)
	f.Error = 1 / math.Sqrt(prior+data)
	f.Chance, f.Begun = 1, true
}

// rising reports whether the current peak is within the time in which the past ones rose.
func (h *History) rising(now time.Time) bool {
	longest := time.Duration(0)
	for _, p := range h.peaks {
		longest = max(longest, p.rise)
	}
	return now.Sub(h.current.onset) < longest
}

// heightForecast returns the predicted height of the next peak and its relative error: the mean
// of the errors that the same prediction had for the past peaks.
func (h *History) heightForecast() (height, relErr float64) {
	count := priorCount * math.Pow(errorDecay, float64(len(h.peaks)-1))
	sum := priorError * count
	for i := 1; i < len(h.peaks); i++ {
		predicted, actual := medianHeight(h.peaks[:i]), h.peaks[i].height
		w := math.Pow(errorDecay, float64(len(h.peaks)-1-i))
		sum += w * math.Abs(actual-predicted) / math.Max(actual, predicted)
		count += w
	}
	return h.usualHeight(), math.Max(sum/count, minHeightError)
}

// shortestPause returns the shortest time from the end of a peak to the next onset.
func (h *History) shortestPause() time.Duration {
	if len(h.peaks) < 3 {
		return 0 // a single pause does not show how short pauses are
	}
	shortest := time.Duration(math.MaxInt64)
	for i := 1; i < len(h.peaks); i++ {
		shortest = min(shortest, h.peaks[i].onset.Sub(h.peaks[i-1].end))
	}
	return shortest
}

// intervalRules predict the next time between two onsets from the past ones: the usual one, one
// like the last, and one that continues a drift.
var intervalRules = []func(past []float64) float64{
	func(past []float64) float64 {
		return median(append([]float64(nil), past[max(len(past)-5, 0):]...))
	},
	func(past []float64) float64 { return past[len(past)-1] },
	func(past []float64) float64 {
		n := len(past)
		if n < 2 {
			return past[n-1]
		}
		return 2*past[n-1] - past[n-2]
	},
}

// nextOnset predicts the next onset by the rule that predicted the past ones best. It predicts
// none if the error exceeds an eighth of the time between two onsets: the load has no rhythm.
func (h *History) nextOnset() (next time.Time, timeErr time.Duration, ok bool) {
	if len(h.peaks) < 3 {
		return time.Time{}, 0, false
	}
	var past []float64
	for i := 1; i < len(h.peaks); i++ {
		past = append(past, h.peaks[i].onset.Sub(h.peaks[i-1].onset).Seconds())
	}
	best, bestErr := 0.0, math.Inf(1)
	for _, rule := range intervalRules {
		predicted := rule(past)
		count := priorCount * math.Pow(errorDecay, float64(len(past)-1))
		sum := priorTimingError * predicted * count
		for i := 1; i < len(past); i++ {
			w := math.Pow(errorDecay, float64(len(past)-1-i))
			sum += w * math.Abs(past[i]-rule(past[:i]))
			count += w
		}
		if e := sum / count; predicted > 0 && e < bestErr {
			best, bestErr = predicted, e
		}
	}
	if best == 0 || bestErr > best/8 {
		return time.Time{}, 0, false
	}
	timeErr = max(time.Duration(bestErr*float64(time.Second)), resolution)
	return h.peaks[len(h.peaks)-1].onset.Add(time.Duration(best * float64(time.Second))), timeErr, true
}

// scoreOnset compares an onset with its prediction, if there was one.
func (h *History) scoreOnset(onset time.Time) {
	next, timeErr, ok := h.nextOnset()
	if !ok {
		return
	}
	const decay = 0.6 // about the last three count, so that a change of rhythm shows at once
	h.hits, h.misses = decay*h.hits, decay*h.misses
	if onset.Sub(next).Abs() <= 2*timeErr+resolution {
		h.hits++
	} else {
		h.misses++
	}
}

// trust returns the share of the last predicted onsets that came when predicted.
func (h *History) trust() float64 { return (h.hits + 1) / (h.hits + h.misses + 1) }

// normalCDF returns the probability that a standard normal variable is below x.
func normalCDF(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
