package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBurstIsSeenEarly guards against a slow reaction to a burst. It submits 40 jobs a second
// of 8 core-seconds each after a time without any. From 300 ms on, the measured rate must be
// at least half of the actual one; it must never exceed the actual one by more than 15 percent.
func TestBurstIsSeenEarly(t *testing.T) {
	const intervalMS, jobCoreSeconds, offeredRate = 25, 8.0, 320.0 // the rate in core-seconds per second
	o := &offeredLoad{}
	for ms := 0; ms < 3000; ms += intervalMS {
		o.add(at(ms), jobCoreSeconds)
		measured := o.rate(at(ms + intervalMS))
		if ms+intervalMS >= 300 {
			assert.Assert(t, measured >= offeredRate/2, "measured %.0f after %d ms", measured, ms+intervalMS)
		}
		assert.Assert(t, measured <= 1.15*offeredRate, "measured %.0f after %d ms", measured, ms+intervalMS)
	}
	assert.Assert(t, o.rate(at(3000)) >= 0.9*offeredRate)
	assert.Equal(t, o.rate(at(4100)), 0.0)
}

// TestSingleJobIsNoBurst checks that a single job counts over a second, not as a burst.
func TestSingleJobIsNoBurst(t *testing.T) {
	o := &offeredLoad{}
	o.add(at(0), 20)
	for ms := 10; ms < 1000; ms += 10 {
		assert.Assert(t, o.rate(start.Add(time.Duration(ms)*time.Millisecond)) <= 20/0.9+0.01) // the window covers 0.9 to 1 s, as its latest slot is incomplete
	}
}
