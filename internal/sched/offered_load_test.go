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
	const every, work, rate = 25, 8.0, 320.0
	o := &offeredLoad{}
	for ms := 0; ms < 3000; ms += every {
		o.add(at(ms), work)
		seen := o.rate(at(ms + every))
		if ms+every >= 300 {
			assert.Assert(t, seen >= rate/2, "measured %.0f after %d ms", seen, ms+every)
		}
		assert.Assert(t, seen <= 1.15*rate, "measured %.0f after %d ms", seen, ms+every)
	}
	assert.Assert(t, o.rate(at(3000)) >= 0.9*rate)
	assert.Equal(t, o.rate(at(4100)), 0.0)
}

// TestSingleJobIsNoBurst checks that a single job counts over a second, not as a burst.
func TestSingleJobIsNoBurst(t *testing.T) {
	o := &offeredLoad{}
	o.add(at(0), 20)
	for ms := 10; ms < 1000; ms += 10 {
		assert.Assert(t, o.rate(start.Add(time.Duration(ms)*time.Millisecond)) <= 20/0.9+0.01)
	}
}
