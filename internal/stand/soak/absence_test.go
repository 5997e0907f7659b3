package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAbsenceOfLongRunningTask guards against a check that misses a long-running task without a run, or takes one for lost
// that need not run yet.
func TestAbsenceOfLongRunningTask(t *testing.T) {
	began := time.Now()
	second := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	tests := []struct {
		name      string
		disturbed func(s float64) float64 // when something disturbed last, in seconds
		slots     func(s float64) int
		running   func(s float64) bool
		want      float64 // second of the violation; 0 for none
	}{
		{"calm, room", func(float64) float64 { return 0 }, func(float64) int { return 2 }, func(float64) bool { return false }, 9},
		{"disturbed until 5 s", func(s float64) float64 { return min(s, 5) }, func(float64) int { return 2 }, func(float64) bool { return false }, 12},
		{"disturbed once at 8 s", func(s float64) float64 {
			if s < 8 {
				return 0
			}
			return 8
		}, func(float64) int { return 2 }, func(float64) bool { return false }, 15},
		{"room for one", func(float64) float64 { return 0 }, func(float64) int { return 1 }, func(float64) bool { return false }, 0},
		{"room from 10 s on", func(float64) float64 { return 0 }, func(s float64) int {
			if s < 10 {
				return 1
			}
			return 2
		}, func(float64) bool { return false }, 13},
		{"starts again after 8 s", func(float64) float64 { return 0 }, func(float64) int { return 2 }, func(s float64) bool { return s > 8 }, 0},
		{"always disturbed", func(s float64) float64 { return s }, func(float64) int { return 2 }, func(float64) bool { return false }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := absence{}
			got := 0.0
			for tenths := range 200 {
				s := float64(tenths) / 10
				if a.record(second(s), began, second(tt.disturbed(s)), tt.running(s), tt.slots(s)) {
					assert.Equal(t, got, 0.0, "reported twice")
					got = s
				}
			}
			assert.Equal(t, got, tt.want)
		})
	}
}
