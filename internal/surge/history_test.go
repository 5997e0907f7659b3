package surge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.UnixMilli(1_700_000_000_000)

const (
	testPeak = 4500.0
	testLow  = 50.0
	testLead = 2 * time.Second
)

// player feeds a History with jobs that arrive at random times.
type player struct {
	History
	now    time.Time
	rng    *rand.Rand
	job    float64 // mean core-seconds of a job
	due    float64
	totals Totals
}

func newPlayer(seed uint64, job float64) *player {
	return &player{now: start, rng: rand.New(rand.NewPCG(seed, 2)), job: job}
}

// play offers load at a rate for a time and calls each after each observation.
func (p *player) play(seconds, rate float64, each func()) {
	for end := p.now.Add(time.Duration(seconds * float64(time.Second))); p.now.Before(end); {
		p.now = p.now.Add(resolution)
		p.due += rate * resolution.Seconds()
		for p.due > 0 {
			work := p.job * 2 * p.rng.Float64()
			p.due -= work
			p.totals.add(Totals{work, work * work})
		}
		p.Observe(p.now, p.totals)
		if each != nil {
			each()
		}
	}
}

// TestRhythmIsPredicted guards against peaks that are not foreseen although the past shows when
// they come: with rhythms of several lengths, one that drifts, and jobs of several sizes.
func TestRhythmIsPredicted(t *testing.T) {
	for _, tt := range []struct{ period, peak, drift, job float64 }{
		{6, 1.5, 0, 14}, {18, 4.5, 0, 14}, {18, 4.5, 0, 115}, {37, 9, 0, 115}, {18, 4.5, 0.6, 14}, {25, 4.5, -1, 115},
	} {
		t.Run(fmt.Sprintf("%+v", tt), func(t *testing.T) {
			p := newPlayer(1, tt.job)
			p.play(tt.period, testLow, nil)
			for i := range 8 {
				onset := p.now
				if i >= 5 {
					next, timeErr, ok := p.nextOnset()
					assert.Assert(t, ok, "no rhythm after %d peaks", i)
					miss := math.Abs(next.Sub(onset).Seconds())
					assert.Assert(t, miss < 0.7 && timeErr < 1500*time.Millisecond, "onset predicted wrongly by %.2f s, error %v", miss, timeErr)
				}
				foundAt := time.Time{}
				p.play(tt.peak, testPeak, func() {
					if foundAt.IsZero() && p.current != nil {
						foundAt = p.now
						if f := p.Forecast(p.now, testLead); i >= 5 {
							assert.Assert(t, f.Begun && f.Rate > 0.85*testPeak && f.Rate < 1.15*testPeak, "%+v", f)
						}
					}
				})
				if i >= 2 {
					assert.Assert(t, !foundAt.IsZero() && foundAt.Sub(onset) <= 3*resolution, "onset found after %v", foundAt.Sub(onset))
				}
				p.play(tt.period+float64(i)*tt.drift-tt.peak, testLow, nil)
			}
		})
	}
}

// TestNothingIsPredictedWithoutPast guards against moves for peaks that the past does not show:
// under steady load, of few large jobs too, and at the first peak.
func TestNothingIsPredictedWithoutPast(t *testing.T) {
	for _, job := range []float64{2, 14, 115} {
		p := newPlayer(3, job)
		none := func() {
			f := p.Forecast(p.now, testLead)
			assert.Assert(t, f.Rate == 0 && f.Chance == 0 && f.Quiet == 0, "%+v", f)
		}
		p.play(120, 1000, none)
		p.play(4, 5000, none)
	}
}

// TestIrregularPeaksHaveNoOnset guards against a rhythm that is read into random pauses. The
// height is known nevertheless.
func TestIrregularPeaksHaveNoOnset(t *testing.T) {
	p := newPlayer(4, 14)
	p.play(10, testLow, nil)
	claimed := 0
	for range 30 {
		p.play(4.5, testPeak, nil)
		if _, _, ok := p.nextOnset(); ok {
			claimed++
		}
		p.play(3+30*p.rng.Float64(), testLow, nil)
	}
	height, relErr := p.heightForecast()
	assert.Assert(t, claimed <= 3, "a rhythm was claimed after %d of 30 peaks", claimed)
	assert.Assert(t, math.Abs(height-testPeak) < 0.05*testPeak && relErr < 0.1, "height %.0f, error %.2f", height, relErr)
}

// TestWrongPredictionsLoseWeight guards against a prediction that goes on although it is
// wrong: after a change of rhythm the old onset is dropped once it has passed, and the new rhythm is
// found; heights without any pattern are predicted with less weight.
func TestWrongPredictionsLoseWeight(t *testing.T) {
	p := newPlayer(5, 14)
	cycle := func(period, height float64) {
		p.play(4.5, height, nil)
		p.play(period-4.5, testLow, nil)
	}
	p.play(10, testLow, nil)
	for range 5 {
		cycle(18, testPeak)
	}
	p.play(4, testLow, nil) // the next peak does not come
	assert.Equal(t, p.Forecast(p.now, testLead).Chance, 0.0)
	for range 6 {
		cycle(27, testPeak)
	}
	next, _, ok := p.nextOnset()
	assert.Assert(t, ok && math.Abs(next.Sub(p.now).Seconds()) < 0.7, "the new rhythm is not predicted")
	_, before := p.heightForecast()
	for i := range 8 {
		cycle(27, []float64{1000, 6000, 2000, 9000}[i%4])
	}
	_, after := p.heightForecast()
	assert.Assert(t, before < 0.1 && after > 0.4, "error %.2f before, %.2f after", before, after)
}

// TestFloodIsNoPattern guards against a single flood of ten times the usual height that raises the
// predictions after it.
func TestFloodIsNoPattern(t *testing.T) {
	p := newPlayer(6, 14)
	p.play(10, testLow, nil)
	for i := range 7 {
		rate := testPeak
		if i == 4 {
			rate *= 10
		}
		p.play(4.5, rate, nil)
		p.play(13.5, testLow, nil)
	}
	height, _ := p.heightForecast()
	assert.Assert(t, math.Abs(height-testPeak) < 0.05*testPeak, "height %.0f", height)
}

// TestNewOwnerIsNoPeak guards against a new owner of the pool, whose totals begin at 0, or a
// time without reports being taken for an onset or an end.
func TestNewOwnerIsNoPeak(t *testing.T) {
	p := newPlayer(7, 14)
	p.play(30, 1000, nil)
	p.totals = Totals{}
	p.play(5, 1000, nil)
	p.now = p.now.Add(20 * time.Second)
	p.play(30, 1000, nil)
	assert.Equal(t, len(p.peaks), 0)
	assert.Assert(t, p.current == nil)
}

// TestEndIsSeen guards against machines that stay with a pool after its peak: the end is found
// within half a second, and with the past pauses the time for which the pool needs nothing.
func TestEndIsSeen(t *testing.T) {
	p := newPlayer(8, 115)
	p.play(10, testLow, nil)
	for range 4 {
		p.play(4.5, testPeak, nil)
		p.play(0.5, testLow, nil)
		assert.Assert(t, p.current == nil)
		p.play(13, testLow, nil)
	}
	p.play(4.5, testPeak, nil)
	p.play(0.5, testLow, nil)
	f := p.Forecast(p.now, testLead)
	assert.Assert(t, f.Ended && f.EndRate < testPeak/2 && f.Quiet > 8*time.Second, "%+v", f)
}
