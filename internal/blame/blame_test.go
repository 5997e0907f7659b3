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
		{"alone for half a second", []Job{{Age: ms(500)}}, []float64{0.649}},
		{"long-running, alone", []Job{{Age: ms(60_000)}}, []float64{0.002}},
		{"of equal age", []Job{{Age: ms(10)}, {Age: ms(10)}}, []float64{0.495, 0.495}},
		{"just started beside long-running ones", []Job{{}, {Age: ms(60_000)}, {Age: ms(60_000)}}, []float64{0.985, 0.0000, 0.0000}},
		{"younger by half a second", []Job{{}, {Age: ms(550)}}, []float64{0.963, 0.023}},
		{"has crashed a VM before, beside one of equal age", []Job{{Chance: 0.3}, {}}, []float64{0.850, 0.023}},
		{"has crashed a VM before, beside an older one", []Job{{Chance: 0.3}, {Age: ms(550)}}, []float64{0.999, 0.0006}},
		{"two suspects", []Job{{Chance: 0.3}, {Chance: 0.3}}, []float64{0.500, 0.500}},
		{"certain evidence stays finite", []Job{{Chance: 1}, {}}, []float64{0.850, 0.0005}},
		{"the order came after the crash", []Job{{Age: -ms(5)}, {Age: 0}}, []float64{0.496, 0.496}},
	}
	for _, tt := range tests {
		got := Split(tt.jobs, &Ages{})
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
		assert.Equal(t, tt.record.Verdict(0), tt.want, tt.name)
		assert.Equal(t, tt.record.Suspect(), tt.suspect, tt.name)
	}
	lasting := []struct {
		name   string
		record Record
		want   Verdict
	}{
		{"likely, then alone", crashes(0.5, 1), Proved},
		{"unlikely, then alone", crashes(0.05, 1), None},
		{"alone twice", crashes(1, 1), Proved},
		{"shared three times", crashes(0.3, 0.3, 0.3), None},
		{"shared four times", crashes(0.3, 0.3, 0.3, 0.3), Exhausted},
		{"lost with others each time", crashes(0, 0, 0, 0), Exhausted},
	}
	for _, tt := range lasting {
		assert.Equal(t, tt.record.LastingVerdict(0), tt.want, tt.name)
	}
	unconfirmed := func(r Record, doubtful ...int) Record {
		for _, i := range doubtful {
			r[i].Unconfirmed = true
		}
		return r
	}
	doubtful := []struct {
		name   string
		record Record
		want   Verdict
	}{
		{"alone twice, once unconfirmed", unconfirmed(crashes(1, 1), 1), None},
		{"alone three times, twice unconfirmed", unconfirmed(crashes(1, 1, 1), 0, 2), None},
		{"alone three times, once unconfirmed", unconfirmed(crashes(1, 1, 1), 0), Proved},
		{"shared three times, once unconfirmed", unconfirmed(crashes(0.3, 0.3, 0.3), 1), Exhausted},
		{"shared three times, twice unconfirmed", unconfirmed(crashes(0.3, 0.3, 0.3), 1, 2), None},
		{"always unconfirmed, three times", unconfirmed(crashes(1, 1, 1), 0, 1, 2), None},
		{"always unconfirmed, too often", unconfirmed(crashes(1, 1, 1, 1), 0, 1, 2, 3), Exhausted},
		{"explained by others or unconfirmed, too often", unconfirmed(crashes(0, 0, 1, 1, 1), 2, 3, 4), Exhausted},
	}
	for _, tt := range doubtful {
		assert.Equal(t, tt.record.Verdict(0), tt.want, tt.name)
	}
	for cleared := range maxUnlikely {
		assert.Equal(t, crashes(0.02).Verdict(cleared) == Exhausted, cleared+1 == maxUnlikely, "%d crashes cleared", cleared)
		assert.Equal(t, crashes(0.02).LastingVerdict(cleared) == Exhausted, cleared+1 == maxUnlikely, "%d crashes cleared", cleared)
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

// TestAges guards against ages that are learnt wrongly: a run far from the age of the proved crashes must have
// less of the blame than before, one near it more, also if it is older.
func TestAges(t *testing.T) {
	var a Ages
	list := []Job{{Age: ms(10)}, {Age: ms(150)}}
	before := Split(list, &a)
	assert.Assert(t, before[0] > 0.8 && before[0] < certainShare)
	for range 3 {
		a.Add(ms(20))
	}
	assert.Assert(t, Split(list, &a)[0] > 0.93)
	var late Ages
	for range 3 {
		late.Add(ms(200))
	}
	assert.Assert(t, Split(list, &late)[1] > before[1])
	assert.Assert(t, Split(list, &late)[1] > 0.5)
	for range 200 {
		a.Add(ms(60_000))
	}
	assert.Assert(t, Split(list, &a)[0] < 0.9, "old ages are not forgotten")
}
