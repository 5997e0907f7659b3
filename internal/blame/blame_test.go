package blame

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestSplit guards against blame for jobs that had run for long when their VM crashed, and for jobs that
// share a VM with one that has crashed others.
func TestSplit(t *testing.T) {
	tests := []struct {
		name string
		jobs []Job
		want []float64
	}{
		{"just started, alone", []Job{{}}, []float64{0.985}},
		{"alone for half a second", []Job{{Age: ms(500)}}, []float64{0.86}},
		{"long-running, alone", []Job{{Age: ms(60_000)}}, []float64{0.053}},
		{"of equal age", []Job{{Age: ms(10)}, {Age: ms(10)}}, []float64{0.496, 0.496}},
		{"just started beside long-running ones", []Job{{}, {Age: ms(60_000)}, {Age: ms(60_000)}}, []float64{0.984, 0.001, 0.001}},
		{"younger by half a second", []Job{{}, {Age: ms(550)}}, []float64{0.911, 0.076}},
		{"has crashed a VM before, beside one of equal age", []Job{{Chance: 0.3}, {}}, []float64{0.85, 0.023}},
		{"has crashed a VM before, beside an older one", []Job{{Chance: 0.3}, {Age: ms(550)}}, []float64{0.998, 0.002}},
		{"two suspects", []Job{{Chance: 0.3}, {Chance: 0.3}}, []float64{0.5, 0.5}},
		{"certain evidence stays finite", []Job{{Chance: 1}, {}}, []float64{0.85, 0.0005}},
		{"the order came after the crash", []Job{{Age: -ms(5)}, {Age: 0}}, []float64{0.496, 0.496}},
	}
	for _, tt := range tests {
		got := Split(tt.jobs)
		for i := range got {
			assert.Assert(t, math.Abs(got[i]-tt.want[i]) < 0.0015, "%s: %v", tt.name, got)
		}
	}
}

// TestVerdict guards against jobs that are given up for crashes that another job explains, and against tasks
// that are started without end.
func TestVerdict(t *testing.T) {
	crashes := func(shares ...float64) (r Record) {
		for i, s := range shares {
			r = append(r, Crash{VM: "vm", Born: int64(i), Share: s})
		}
		return r
	}
	tests := []struct {
		name    string
		record  Record
		want    Verdict
		suspect bool
	}{
		{"no crash", nil, None, false},
		{"one of many on the VM", crashes(0.01), None, false},
		{"likely", crashes(0.3), None, true},
		{"alone, once", crashes(1), None, true},
		{"shared, then alone", crashes(0.15, 0.95), Proved, true},
		{"old on the VM, then alone", crashes(0.01, 1), None, true},
		{"alone, then shared", crashes(1, 0.2), Proved, true},
		{"explained by another job, then nearly alone", crashes(0, 0.95), None, true},
		{"explained by another job, then alone twice", crashes(0, 0.95, 1), Proved, true},
		{"explained by other jobs twice", crashes(0, 0), None, true},
		{"likely twice", crashes(0.85, 0.85), None, true},
		{"shared twice", crashes(0.01, 0.02), None, true},
		{"shared three times", crashes(0.3, 0.3, 0.3), Exhausted, true},
		{"shared three times, once likely", crashes(0.02, 0.02, 0.3), Exhausted, true},
		{"old on the VM each time", crashes(0.02, 0.02, 0.02, 0.02), None, true},
		{"old on the VM too often", crashes(0.02, 0.02, 0.02, 0.02, 0.02), Exhausted, true},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.record.Verdict(), tt.want, tt.name)
		assert.Equal(t, tt.record.Suspect(), tt.suspect, tt.name)
	}
	lasting := []struct {
		name   string
		record Record
		want   Verdict
	}{
		{"likely, then alone", crashes(0.5, 1), None},
		{"alone twice", crashes(1, 1), Proved},
		{"shared four times", crashes(0.3, 0.3, 0.3, 0.3), None},
		{"shared five times", crashes(0.3, 0.3, 0.3, 0.3, 0.3), Exhausted},
		{"explained by other jobs", crashes(0, 0, 0, 0, 0, 0), None},
	}
	for _, tt := range lasting {
		assert.Equal(t, tt.record.LastingVerdict(), tt.want, tt.name)
	}
	r := crashes(0.4, 0.5)
	assert.DeepEqual(t, r.Without("vm", 0), Record{{VM: "vm", Born: 1, Share: 0.5}})
	assert.Assert(t, math.Abs(r.Chance()-0.7) < 1e-9)
	assert.DeepEqual(t, r.Explained("vm", 0), Record{{VM: "vm"}, {VM: "vm", Born: 1, Share: 0.5}})
	assert.DeepEqual(t, r, crashes(0.4, 0.5))
	assert.Equal(t, len(crashes(0.01).Explained("vm", 0)), 1, "the crash does not count any more")
}

// TestClearedAfter guards against a task that is cleared before it has reached the age at which its VM crashed.
func TestClearedAfter(t *testing.T) {
	r := Record{{Age: ms(400)}, {Age: ms(30)}}
	assert.Equal(t, r.ClearedAfter(), ms(850))
	assert.Assert(t, Record(nil).ClearedAfter() > 0)
}
