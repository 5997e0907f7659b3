package emul

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQuotaViolations guards against a quota check that passes everything or that reports what is
// allowed: the overage and one task, the former limit while a new configuration spreads, and accounts
// without a limit.
func TestQuotaViolations(t *testing.T) {
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	run := func(account string, cpu int, start, end float64) *TaskRun {
		r := &TaskRun{Task: account, Account: account, Reserved: Resources{CPU: cpu}, Start: at(start)}
		if end > 0 {
			r.End = at(end)
		}
		return r
	}
	quotas := func(cpu int) map[string]Resources { return map[string]Resources{"a": {CPU: cpu}, "b": {}} }
	// The limit is lowered from 10,000 to 5,000 at 10 s.
	published := []publishedQuotas{{began, quotas(10_000)}, {at(10), quotas(5000)}}
	tests := []struct {
		name   string
		runs   []*TaskRun
		broken bool
		peak   int
	}{
		{"within the limit", []*TaskRun{run("a", 8000, 1, 0), run("a", 2000, 2, 0)}, false, 10_000},
		{"overage and one task", []*TaskRun{run("a", 11_000, 1, 0), run("a", 2000, 2, 0)}, false, 13_000},
		{"one more", []*TaskRun{run("a", 11_000, 1, 0), run("a", 2000, 2, 0), run("a", 100, 2, 0)}, true, 13_100},
		{"after an end", []*TaskRun{run("a", 11_000, 1, 2), run("a", 8000, 3, 0), run("a", 2000, 4, 0)}, false, 11_000},
		{"former limit while the new one spreads", []*TaskRun{run("a", 8000, 12, 0), run("a", 1000, 12.5, 0)}, false, 9000},
		{"new limit", []*TaskRun{run("a", 8000, 14, 0), run("a", 1000, 15, 0)}, true, 9000},
		{"no limit", []*TaskRun{run("b", 80_000, 1, 0), run("b", 1000, 2, 0)}, false, 81_000},
		{"unknown account", []*TaskRun{run("c", 80_000, 1, 0)}, false, 80_000},
	}
	for _, tt := range tests {
		p := &Platform{Ledger: &Ledger{runs: tt.runs}, quotas: published}
		violations := p.QuotaViolations(0.1)
		assert.Equal(t, len(violations) > 0, tt.broken, "%s: %v", tt.name, violations)
		assert.Equal(t, p.Ledger.PeakUse()[tt.runs[0].Account].CPU, tt.peak, tt.name)
	}
}
