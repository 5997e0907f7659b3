package emul

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLedgerNamesAllViolations guards against a check that reports one violation of many, or without its rule.
func TestLedgerNamesAllViolations(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	run := func(task string, n int64, start, end int, how string, acknowledged bool) *TaskRun {
		r := &TaskRun{Task: task, Run: n, VM: "i-1", Start: at(start), How: how, Acknowledged: acknowledged}
		if end > 0 {
			r.End = at(end)
		}
		return r
	}
	tests := []struct {
		name string
		runs []*TaskRun
		want int // violations of TWICE
	}{
		{"again after a stop", []*TaskRun{run("a", 1, 0, 5, "stopped", true), run("a", 2, 6, 0, "", false)}, 0},
		{"again after an end that is not acknowledged", []*TaskRun{run("a", 1, 0, 5, "done", false), run("a", 2, 6, 0, "", false)}, 0},
		{"again after an acknowledged end", []*TaskRun{run("a", 1, 0, 5, "done", true), run("a", 2, 6, 0, "", false)}, 1},
		{"two at once, still running", []*TaskRun{run("a", 1, 0, 0, "", false), run("a", 2, 6, 0, "", false)}, 1},
		{"two at once, ended", []*TaskRun{run("a", 1, 0, 8, "stopped", false), run("a", 2, 6, 9, "done", false)}, 1},
		{"two tasks", []*TaskRun{run("a", 1, 0, 0, "", false), run("a", 2, 6, 0, "", false), run("b", 1, 0, 5, "done", true), run("b", 2, 6, 0, "", false)}, 2},
	}
	for _, tt := range tests {
		l := &Ledger{}
		for _, r := range tt.runs {
			l.add(r)
		}
		list := l.Violations()
		assert.Equal(t, len(list), tt.want, tt.name)
		for _, v := range list {
			assert.Assert(t, strings.HasPrefix(v, "TWICE "), v)
		}
	}
}
