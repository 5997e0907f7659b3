package blame

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRate guards against caution with a queue that never ends, or that one job among many causes.
func TestRate(t *testing.T) {
	var r Rate
	assert.Equal(t, r.Chance(), 0.0)
	for i := range 300 {
		r.Begin()
		if i%30 == 0 {
			r.GiveUp()
		}
	}
	assert.Assert(t, r.Chance() > 0.02 && r.Chance() < 0.05, "%v with one job in 30", r.Chance())
	for range 500 {
		r.Begin()
	}
	assert.Assert(t, r.Chance() < 0.001, "%v after 500 other jobs", r.Chance())
}
