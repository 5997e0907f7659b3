package tenure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAuthorityEndsWithoutConfirmation guards against an owner that acts without end once nothing confirms its claim.
func TestAuthorityEndsWithoutConfirmation(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name         string
		confirmed    []time.Duration // begins of the checks, in the order of their answers
		at           time.Duration
		due, expired bool
	}{
		{"never confirmed", nil, 0, true, true},
		{"just confirmed", []time.Duration{0}, 10 * time.Millisecond, false, false},
		{"due", []time.Duration{0}, renewAfter, true, false},
		{"before the end", []time.Duration{0}, Validity - time.Millisecond, true, false},
		{"at the end", []time.Duration{0}, Validity, true, true},
		{"confirmed again", []time.Duration{0, Validity - 500*time.Millisecond}, Validity, false, false},
		{"answer to an earlier check", []time.Duration{Validity - 500*time.Millisecond, 0}, Validity, false, false},
		{"long cut", []time.Duration{0}, time.Hour, true, true},
	}
	for _, tt := range tests {
		var x Tenure
		for _, d := range tt.confirmed {
			x.Confirm(start.Add(d))
		}
		now := start.Add(tt.at)
		assert.Equal(t, x.Due(now), tt.due, tt.name)
		assert.Equal(t, x.Expired(now), tt.expired, tt.name)
	}
}

// TestAuthorityEndsOnSuspendedMachine guards against an owner that takes the time for which its machine was suspended for
// none, since the monotonic clock does not count it.
func TestAuthorityEndsOnSuspendedMachine(t *testing.T) {
	var x Tenure
	x.Confirm(time.Now())
	resumed := x.ConfirmedAt.Round(0).Add(Validity)
	assert.Assert(t, x.Expired(resumed))
}

// TestQuestionNeedsLaterConfirmation guards against an answer for the partition that rests on a check from before the
// question.
func TestQuestionNeedsLaterConfirmation(t *testing.T) {
	var x Tenure
	asked := time.Now()
	assert.Assert(t, !x.ConfirmedSince(asked))
	x.Confirm(asked.Add(-time.Millisecond))
	assert.Assert(t, !x.ConfirmedSince(asked))
	x.Confirm(asked.Add(time.Millisecond))
	assert.Assert(t, x.ConfirmedSince(asked))
}
