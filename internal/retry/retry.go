// Package retry decides how long to wait for the answer to a request before the request is
// repeated. It is for requests whose repeats have no further effect, such as appends with a
// sequence number.
//
// It answers a log that loses a third of its answers, and one that is up to 60 times slower than
// usual: with one fixed timeout, a lost answer holds a partition's appends up for as long as the
// slowest answer takes, or each slow answer is requested several times. The timeout follows the
// measured response times instead, as in RFC 6298, but one silence does not lengthen it: a lost answer says
// nothing about the response time.
//
// The package uses no clock and no network.
package retry

import "time"

// Estimator derives the timeout of the next attempt from the response times so far. Its zero
// value, with Min and Max set, is ready for use. It is not safe for concurrent use.
type Estimator struct {
	Min, Max time.Duration // bounds of the timeout

	smoothed  time.Duration // response time; 0 before the first sample
	deviation time.Duration // mean deviation from it
	backoff   time.Duration // timeout after attempts without an answer; 0 if the last sample is newer
	silent    bool          // the last attempt had no answer
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
// sample, since its answer may be to any attempt; the longer timeout then stays for the next request.
func (e *Estimator) RecordAnswer(took time.Duration, repeated bool) {
	e.silent = false
	if repeated {
		return
	}
	e.backoff = 0
	if e.smoothed == 0 {
		e.smoothed, e.deviation = took, took/2
		return
	}
	e.deviation += ((e.smoothed - took).Abs() - e.deviation) / 4
	e.smoothed += (took - e.smoothed) / 8
}

// RecordTimeout records an attempt without an answer. From the second one in a row it doubles the timeout.
func (e *Estimator) RecordTimeout() {
	if e.silent {
		e.backoff = min(2*e.Timeout(), e.Max)
	}
	e.silent = true
}
