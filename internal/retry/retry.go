// Package retry decides how long to wait for the answer to a request before the request is
// repeated. It is for requests whose repeats have no further effect, such as appends with a
// sequence number.
//
// It answers a log that loses a third of its answers, and one that is up to 60 times slower than
// usual: with one fixed timeout, a lost answer holds a partition's appends up for as long as the
// slowest answer takes, or each slow answer is requested several times. The timeout follows the
// measured response times instead, as in RFC 6298. The first attempt may have a much shorter timeout than its
// repeats: a lost answer then costs little, and a log that has become slow still answers an early repeat.
//
// The package uses no clock and no network.
package retry

import "time"

// Estimator derives the timeout of the next attempt from the response times so far. Its zero
// value, with Min and Max set, is ready for use. It is not safe for concurrent use.
type Estimator struct {
	Min, Max  time.Duration // bounds of the timeout
	MinRepeat time.Duration // shortest timeout after an attempt without an answer; 0 for twice the last one

	smoothed  time.Duration // response time; 0 before the first sample
	deviation time.Duration // mean deviation from it
	backoff   time.Duration // timeout after attempts without an answer; 0 if the last sample is newer
}

// Timeout returns the time to wait for the answer to the next attempt.
func (e *Estimator) Timeout() time.Duration {
	if e.backoff > 0 {
		return e.backoff
	}
	const deviations = 4
	return min(max(e.smoothed+deviations*e.deviation, e.Min), e.Max)
}

// RecordAnswer records the response time of an attempt. A request that was repeated gives no
// sample, since its answer may have been ready for an earlier attempt; the longer timeout then stays for the next
// request, unless the answer came within Min: earlier ones were lost, as each attempt has a connection of its own.
func (e *Estimator) RecordAnswer(took time.Duration, repeated bool) {
	if !repeated || took < e.Min {
		e.backoff = 0
	}
	if repeated {
		return
	}
	if e.smoothed == 0 {
		e.smoothed, e.deviation = took, took/2
		return
	}
	e.deviation += ((e.smoothed - took).Abs() - e.deviation) / 4
	e.smoothed += (took - e.smoothed) / 8
}

// RecordTimeout records an attempt without an answer. It doubles the timeout, to MinRepeat at least.
func (e *Estimator) RecordTimeout() { e.backoff = min(max(2*e.Timeout(), e.MinRepeat), e.Max) }
