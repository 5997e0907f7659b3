// Package rtime holds distributions of run times relative to what was expected of them.
//
// It answers load whose declared run times are wrong by up to 0.9 and whose run times are
// heavy-tailed: 3 of 100 tasks run 7 times as long as the others. A mean describes neither. A
// distribution tells how long steps last in most cases, which runs are stragglers, how long a run is
// still expected to take at its age, and whether a second run would end before it.
//
// The package uses no clock and no network. Package sched records run times and asks.
package rtime

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Geometry of the histograms. Ratios are recorded in thousandths.
const (
	unit     = 1000
	minValue = 10      // ratio 0.01
	maxValue = 100_000 // ratio 100
	digits   = 1       // bins are at most a sixteenth wide
	maxCount = 512     // samples at which the counts are halved
	version  = 1       // of the encoding
)

// Dist is a distribution of ratios. The zero value is empty and ready for use.
type Dist struct {
	hist *hdrhistogram.Histogram // nil while empty
	bins []bin                   // of hist, in ascending order; nil if out of date
}

// bin is a bin of the histogram that contains samples.
type bin struct {
	ratio, count float64
	countBelow   float64 // samples of the bins before it
	sumBelow     float64 // sum of these samples
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minValue, maxValue, digits) }

// Add records a ratio. Ratios that are not positive numbers are ignored; ratios out of range are
// recorded at its end.
func (d *Dist) Add(ratio float64) {
	if math.IsNaN(ratio) || ratio <= 0 {
		return
	}
	if d.hist == nil {
		d.hist = newHistogram()
	}
	if d.hist.TotalCount() >= maxCount {
		d.halve()
	}
	value := int64(min(max(ratio*unit, minValue), maxValue))
	if err := d.hist.RecordValue(value); err == nil {
		d.bins = nil
	}
}

// halve halves the counts. What rounding takes from a bin goes to the next one, so that bins of
// single samples, which make up the tail, keep their weight together.
func (d *Dist) halve() {
	s := d.hist.Export()
	carry := int64(0)
	for i, n := range s.Counts {
		n += carry
		s.Counts[i], carry = n/2, n%2
	}
	d.hist = hdrhistogram.Import(s)
}

// Samples returns the number of samples, of which older ones have been halved.
func (d *Dist) Samples() int {
	if d == nil || d.hist == nil {
		return 0
	}
	return int(d.hist.TotalCount())
}

// Quantile returns the ratio that a share q of the samples does not exceed, with the number of
// samples; 1 without samples.
func (d *Dist) Quantile(q float64) (ratio float64, samples int) {
	n := d.Samples()
	if n == 0 {
		return 1, 0
	}
	below := q * float64(n)
	sum := 0.0
	for _, b := range d.sorted() {
		sum += b.count
		if sum >= below {
			return b.ratio, n
		}
	}
	return d.bins[len(d.bins)-1].ratio, n
}

// sorted returns the bins that contain samples, each with the middle of its range.
func (d *Dist) sorted() []bin {
	if d.bins == nil && d.hist != nil {
		count, sum := 0.0, 0.0
		for _, b := range d.hist.Distribution() {
			if b.Count == 0 {
				continue
			}
			x := bin{ratio: float64(b.From+b.To) / 2 / unit, count: float64(b.Count), countBelow: count, sumBelow: sum}
			count, sum = count+x.count, sum+x.count*x.ratio
			d.bins = append(d.bins, x)
		}
	}
	return d.bins
}

// Encode returns the encoding of a distribution, nil if it is empty: a byte for the version, then
// the counts of the bins without the zeros at the end, of which nearly all take a byte.
func (d *Dist) Encode() []byte {
	if d.Samples() == 0 {
		return nil
	}
	counts := d.hist.Export().Counts
	for counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	data := []byte{version}
	for _, n := range counts {
		data = binary.AppendUvarint(data, uint64(n))
	}
	return data
}

// Decode returns the distribution that Encode encoded. If the data are damaged or of another
// version, it returns an empty distribution and an error.
func Decode(data []byte) (*Dist, error) {
	if len(data) == 0 {
		return &Dist{}, nil
	}
	if data[0] != version {
		return &Dist{}, fmt.Errorf("distribution of run times of version %d, known is %d", data[0], version)
	}
	s := newHistogram().Export()
	sum := uint64(0)
	for i, rest := 0, data[1:]; len(rest) > 0; i++ {
		n, size := binary.Uvarint(rest)
		sum += n
		if size <= 0 || n > maxCount || sum > maxCount || i >= len(s.Counts) {
			return &Dist{}, fmt.Errorf("distribution of run times is damaged at bin %d", i)
		}
		s.Counts[i], rest = int64(n), rest[size:]
	}
	if sum == 0 {
		return &Dist{}, errors.New("distribution of run times without samples")
	}
	return &Dist{hist: hdrhistogram.Import(s)}, nil
}
