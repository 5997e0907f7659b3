package rtime

import (
	"bytes"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func heavyTailed(n int) *Dist {
	d := &Dist{}
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		ratio := 0.8 + 0.4*rnd.Float64()
		if i%33 == 0 {
			ratio *= 7
		}
		d.Add(ratio)
	}
	return d
}

// TestQuantile guards against quantiles that are off by more than a bin, and against a tail that
// is lost when the counts are halved: 3 of 100 samples have to stay visible for ever.
func TestQuantile(t *testing.T) {
	for _, n := range []int{300, 5000} {
		d := heavyTailed(n)
		median, samples := d.Quantile(0.5)
		assert.Assert(t, math.Abs(median-1) < 0.1, "%d: median %v", n, median)
		assert.Assert(t, samples <= maxCount && samples >= min(n, maxCount/2), "%d: %d samples", n, samples)
		q99, _ := d.Quantile(0.99)
		assert.Assert(t, q99 > 5 && q99 < 9, "%d: quantile 0.99 is %v", n, q99)
		q90, _ := d.Quantile(0.9)
		assert.Assert(t, q90 < 1.3, "%d: quantile 0.9 is %v", n, q90)
	}
}

// TestEmpty guards against an empty distribution that answers anything but ratio 1, or panics.
func TestEmpty(t *testing.T) {
	d := &Dist{}
	for _, ratio := range []float64{0, -1, math.NaN()} {
		d.Add(ratio)
	}
	ratio, n := d.Quantile(0.9)
	assert.Equal(t, ratio, 1.0)
	assert.Equal(t, n, 0)
	_, ok := d.Outlook(1, 0, 1)
	assert.Assert(t, !ok)
	assert.Equal(t, len(d.Encode()), 0)
}

// TestOutOfRange guards against infinite or huge ratios that are lost or break the histogram.
func TestOutOfRange(t *testing.T) {
	d := &Dist{}
	for _, ratio := range []float64{1e-9, 1e300, math.Inf(1)} {
		d.Add(ratio)
	}
	assert.Equal(t, d.Samples(), 3)
	low, _ := d.Quantile(0)
	high, _ := d.Quantile(1)
	assert.Assert(t, low < 0.02 && high > 90, "%v to %v", low, high)
}

// TestOutlook guards against wrong chances. Runs take 1 in nine of ten cases and 7 in one; a
// second run may take 7 as well.
func TestOutlook(t *testing.T) {
	d := &Dist{}
	for i := range 100 {
		ratio := 1.0
		if i%10 == 0 {
			ratio = 7
		}
		d.Add(ratio)
	}
	tests := []struct {
		name                           string
		age, delay, left               float64
		remaining, first, within, both float64
	}{
		{"a new run", 0, 0.1, 2, 1.6, 0.09, 0.9, 0.99},
		{"a straggler", 2, 0, 3, 5, 0.9, 0, 0.9},
		{"a straggler shortly before its end", 6.5, 0, 1, 0.5, 0, 1, 1},
		{"no time left for a second run", 2, 0.5, 1, 5, 0.9, 0, 0},
		{"older than all samples", 20, 0, 2, 20, 1, 0, 0.9},
	}
	for _, tt := range tests {
		r, ok := d.Outlook(tt.age, tt.delay, tt.left)
		assert.Assert(t, ok)
		near := func(what string, got, want float64) {
			assert.Assert(t, math.Abs(got-want) <= 0.05*want+0.03, "%s: %s is %v, not %v", tt.name, what, got, want)
		}
		if tt.age != 6.5 { // half a unit is within a bin of the tail
			near("remaining time", r.Remaining, tt.remaining)
		}
		near("chance of the second run", r.FirstChance, tt.first)
		near("chance of the first to be in time", r.Within, tt.within)
		near("chance of either to be in time", r.EitherIn, tt.both)
	}
	r, _ := d.OutlookAt(0.5, 0, 1)
	assert.Equal(t, r.FirstChance, 0.0)
}

// TestEncode guards against encodings that are too large for the handover record or do not
// restore the distribution.
func TestEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Dist{}
		for _, ratio := range rapid.SliceOfN(rapid.Float64Range(0.001, 200), 1, 1500).Draw(t, "ratios") {
			d.Add(ratio)
		}
		data := d.Encode()
		assert.Assert(t, len(data) <= 300, "%d bytes", len(data))
		restored, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, restored.sorted(), d.sorted(), cmp.AllowUnexported(bin{}))
	})
}

// TestDecodeDamaged guards against a panic, or a distribution that is not usable, after a damaged
// record or one of another version.
func TestDecodeDamaged(t *testing.T) {
	for name, data := range map[string][]byte{
		"other version": {version + 1, 1},
		"huge count":    append([]byte{version}, binary.AppendUvarint(nil, math.MaxUint64)...),
		"huge sum":      append([]byte{version}, bytes.Repeat(binary.AppendUvarint(nil, maxCount), 3)...),
		"too many bins": append([]byte{version}, make([]byte, 400)...),
		"cut off":       {version, 1, 0x80},
		"no sample":     {version, 0},
	} {
		d, err := Decode(data)
		assert.Assert(t, err != nil, name)
		assert.Equal(t, d.Samples(), 0, name)
	}
	rapid.Check(t, func(t *rapid.T) {
		data := heavyTailed(100).Encode()
		data = data[:rapid.IntRange(0, len(data)).Draw(t, "length")]
		if len(data) > 0 {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		d, _ := Decode(data)
		d.Add(1)
		ratio, n := d.Quantile(0.5)
		assert.Assert(t, ratio > 0 && n > 0)
	})
}
