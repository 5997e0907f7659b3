package fair

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_700_000_000_000)

// TestLevel compares with what can be computed by hand.
func TestLevel(t *testing.T) {
	tests := []struct {
		name     string
		capacity float64
		claims   []Claim
		want     float64
	}{
		{"all demand fits", 100, []Claim{{1, 60}, {3, 40}}, math.Inf(1)},
		{"no claims", 0, nil, math.Inf(1)},
		{"in proportion to the weights", 100, []Claim{{1, 500}, {3, 500}}, 25},
		{"what one leaves goes to the others", 100, []Claim{{2, 10}, {1, 500}, {1, 500}}, 45},
		{"no capacity", 0, []Claim{{1, 1}}, 0},
	}
	for _, tt := range tests {
		assert.Equal(t, Level(tt.capacity, tt.claims), tt.want, tt.name)
	}
}

// TestLevelUsesTheCapacity guards against capacity that is divided twice or not at all: in an overload
// the shares add up to the capacity.
func TestLevelUsesTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		figure := rapid.Float64Range(0.01, 1000)
		claims := make([]Claim, rapid.IntRange(1, 30).Draw(t, "accounts"))
		demand := 0.0
		for i := range claims {
			claims[i] = Claim{Weight: figure.Draw(t, "weight"), Demand: figure.Draw(t, "demand")}
			demand += claims[i].Demand
		}
		capacity := rapid.Float64Range(0, 1).Draw(t, "part") * demand
		level, sum := Level(capacity, claims), 0.0
		for _, c := range claims {
			sum += min(c.Demand, level*c.Weight)
		}
		assert.Assert(t, math.Abs(sum-capacity) <= 1e-6*demand, "shares of %v of a capacity of %v", sum, capacity)
	})
}

// TestBucket guards against jobs within an account's rate that are classed as beyond it, and the
// reverse: of 30 jobs a second at a rate of 10, all of the first second's tokens and then every third
// are within it.
func TestBucket(t *testing.T) {
	b := &Bucket{}
	within := 0
	for i := range 300 {
		if b.Take(start.Add(time.Duration(i)*time.Second/30), 10) {
			within++
		}
	}
	assert.Assert(t, within >= 108 && within <= 110, "%d jobs within the rate in 10 s", within)
	for range 10 {
		assert.Assert(t, b.Take(start.Add(time.Minute), 10))
	}
	assert.Assert(t, !b.Take(start.Add(time.Minute), 10))
	assert.Assert(t, !b.Take(start.Add(time.Second), 10), "a time before the last one adds no tokens")
	assert.Assert(t, (&Bucket{}).Take(start, 0.1), "a small rate allows single jobs")
}
