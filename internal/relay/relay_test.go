package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestFirst guards against an owner that wastes time on calls that the log does not answer, and against appends that
// are relayed while one answer is lost.
func TestFirst(t *testing.T) {
	tests := []struct {
		served              bool
		refused, unanswered int
		want                bool
	}{
		{true, 0, 0, false},
		{true, 0, 1, false},
		{true, 0, 2, true},
		{true, 1, 0, true},
		{false, 0, 0, true},
	}
	for _, tt := range tests {
		assert.Equal(t, First(tt.served, tt.refused, tt.unanswered), tt.want, "%+v", tt)
	}
}

// TestServes guards against an entry that passes appends on to a log that does not answer it either.
func TestServes(t *testing.T) {
	tests := []struct {
		name             string
		answered, failed time.Time
		want             bool
	}{
		{"never called", time.Time{}, time.Time{}, false},
		{"answered", at(-100), time.Time{}, true},
		{"failed since", at(-500), at(-50), false},
		{"lost an answer", at(-400), at(-50), true},
		{"answers again", at(-50), at(-100), true},
		{"silent", at(-2000), at(-9000), false},
	}
	for _, tt := range tests {
		assert.Equal(t, Serves(at(0), tt.answered, tt.failed), tt.want, tt.name)
	}
}

// TestNext guards against an owner that asks the same entries in vain, and against one that asks again before each
// append although an entry has just stored one.
func TestNext(t *testing.T) {
	known := []string{"a", "b", "c"}
	tests := []struct {
		name    string
		record  map[string]Outcome // outcomes at 0 ms
		now     int
		known   []string
		offset  int
		address string
		ask     bool
	}{
		{"first", nil, 0, known, 0, "a", true},
		{"spread", nil, 0, known, 4, "b", true},
		{"none known", nil, 0, nil, 3, "", false},
		{"stored the last append", map[string]Outcome{"b": Stored}, 100, known, 0, "b", false},
		{"stored one long ago", map[string]Outcome{"b": Stored}, 5000, known, 0, "a", true},
		{"has left", map[string]Outcome{"b": Stored}, 100, []string{"a"}, 0, "a", true},
		{"not served", map[string]Outcome{"a": LogFails, "b": Refused}, 100, known, 0, "c", true},
		{"asked again", map[string]Outcome{"a": LogFails}, 1000, known, 0, "a", true},
		{"silent", map[string]Outcome{"a": Unreachable, "b": Unanswered}, 1000, known, 0, "c", true},
		{"earlier version", map[string]Outcome{"a": Unsupported}, 29_999, known, 0, "b", true},
		{"none is served", map[string]Outcome{"a": LogFails, "b": LogFails, "c": LogFails}, 100, known, 0, "", false},
	}
	for _, tt := range tests {
		p := &Peers{}
		for address, o := range tt.record {
			p.Record(at(0), address, o)
		}
		address, ask := p.Next(at(tt.now), tt.known, tt.offset)
		assert.Equal(t, address, tt.address, tt.name)
		assert.Equal(t, ask, tt.ask, tt.name)
	}
}

// TestQuestionsAreBounded guards against owners that flood the fleet with questions while the log is away for all.
func TestQuestionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var known []string
		for i := range rapid.IntRange(1, 200).Draw(t, "entries") {
			known = append(known, fmt.Sprint(i))
		}
		p := &Peers{}
		var asked []time.Time
		now := at(0)
		for range 500 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			address, ask := p.Next(now, known, 7)
			if address == "" {
				continue
			}
			assert.Assert(t, ask, "an append is sent without a question")
			asked = append(asked, now)
			p.Record(now, address, rapid.SampledFrom([]Outcome{LogFails, Unreachable, Unsupported}).Draw(t, "outcome"))
		}
		for i := maxQuestions; i < len(asked); i++ {
			assert.Assert(t, asked[i].Sub(asked[i-maxQuestions]) >= questionPeriod, "%d questions within %s", maxQuestions+1, asked[i].Sub(asked[i-maxQuestions]))
		}
	})
}
