package usage

import (
	"runtime/metrics"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLackOfProcessorTimeIsNoticed guards against a process whose goroutines wait for the processor and which counts as
// one that has enough of it.
func TestLackOfProcessorTimeIsNoticed(t *testing.T) {
	buckets := []float64{0, 0.001, 0.02, 0.1}
	tests := []struct {
		name       string
		from, to   []uint64
		mean, long time.Duration
		short      bool
	}{
		{"nothing ran", []uint64{5, 0, 7}, []uint64{5, 0, 7}, 0, 0, false},
		{"short waits", []uint64{0, 0, 0}, []uint64{95, 5, 0}, 50 * time.Microsecond, 0, false},
		{"one wait in ten is long", []uint64{0, 0, 0}, []uint64{90, 0, 10}, 2 * time.Millisecond, 20 * time.Millisecond, false},
		{"most waits are long", []uint64{1000, 0, 0}, []uint64{1010, 0, 90}, 18 * time.Millisecond, 20 * time.Millisecond, true},
	}
	for _, tt := range tests {
		v := &Interval{}
		v.setWaits(&metrics.Float64Histogram{Counts: tt.from, Buckets: buckets}, &metrics.Float64Histogram{Counts: tt.to, Buckets: buckets})
		assert.Equal(t, v.MeanWait.Round(time.Microsecond), tt.mean, tt.name)
		assert.Equal(t, v.LongWait.Round(time.Microsecond), tt.long, tt.name)
		assert.Equal(t, v.Short(), tt.short, tt.name)
	}
}

// TestLackOfProcessorTimeIsLoggedOnce guards against a line for each second of a long lack, and against none for its end.
func TestLackOfProcessorTimeIsLoggedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		second              int
		short, begins, ends bool
	}{
		{0, false, false, false},
		{1, true, true, false},
		{2, true, false, false},
		{5, true, false, false},
		{6, true, true, false},
		{7, false, false, true},
		{8, false, false, false},
		{9, true, true, false},
	}
	var s shortage
	for _, tt := range tests {
		begins, ends := s.next(start.Add(time.Duration(tt.second)*time.Second), tt.short)
		assert.Equal(t, begins, tt.begins, "second %d", tt.second)
		assert.Equal(t, ends, tt.ends, "second %d", tt.second)
	}
}

// TestLineNamesWorkByKind guards against a line that does not tell on which kind of work the time went.
func TestLineNamesWorkByKind(t *testing.T) {
	from := TakeSample(time.Unix(1000, 0))
	Poll.Add(3 * time.Millisecond)
	Poll.Add(2 * time.Millisecond)
	OrderWaited(8 * time.Millisecond)
	f := Between(from, TakeSample(time.Unix(1001, 0))).fields()
	assert.Equal(t, f["poll-ms"], 5.0)
	assert.Equal(t, f["poll-count"], int64(2))
	assert.Equal(t, f["order-queue-ms"], 8.0)
	_, found := f["start-ms"]
	assert.Assert(t, !found, "no start order was sent")
}
