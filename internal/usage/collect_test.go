package usage

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCollectorsTarget guards against a busy owner that spends its processor time on collections, and against an entry
// that keeps the memory of its busiest time.
func TestCollectorsTarget(t *testing.T) {
	tests := []struct {
		name             string
		target           int
		busy, collecting float64
		want             int
	}{
		{"much collected", 100, 0.9, 0.13, 200},
		{"still much", 200, 0.9, 0.07, 400},
		{"not beyond the largest", 400, 0.9, 0.07, 400},
		{"enough", 400, 0.6, 0.03, 400},
		{"little collected", 400, 0.1, 0.005, 200},
		{"not below the default", 100, 0.01, 0.001, 100},
		{"no collection since", 400, 0, 0, 400},
		{"not set", 0, 0.9, 0.13, 0},
	}
	for _, tt := range tests {
		v := &Interval{Busy: tt.busy, Collecting: tt.collecting}
		assert.Equal(t, nextTarget(tt.target, v), tt.want, tt.name)
	}
}
