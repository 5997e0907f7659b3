package emul

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLedgerReportsStartsBeyondRoom guards against a check that overlooks a start beyond the capacity of a VM
// that does not guard it, or reports one that its owner could not know of yet.
func TestLedgerReportsStartsBeyondRoom(t *testing.T) {
	tests := []struct {
		name   string
		shrunk time.Duration // ago
		cpu    int           // of the task
		want   bool          // a violation
	}{
		{"fits", time.Minute, 3000, false},
		{"beyond", time.Minute, 5000, true},
		{"beyond, not known yet", time.Second, 5000, false},
		{"beyond all that it had", time.Second, 9000, true},
	}
	for _, tt := range tests {
		l := &Ledger{}
		w := &Worker{ID: "i-1", ledger: l, capacity: []capacityChange{{cpu: VMCPU}, {from: time.Now().Add(-tt.shrunk), cpu: 4000}}}
		w.checkRoom(&workerRequest{Task: "t", Run: 1}, Task{CPU: tt.cpu})
		assert.Equal(t, l.FirstViolation() != "", tt.want, tt.name)
	}
}

// TestLedgerReportsStartsOfDeadlyTask guards against a check that overlooks a task that is started without end
// though it crashes its VMs.
func TestLedgerReportsStartsOfDeadlyTask(t *testing.T) {
	l := &Ledger{}
	for n := range maxCrashes + startsAfterCrashes {
		assert.Equal(t, l.FirstViolation(), "")
		r := &TaskRun{Task: "t", Run: int64(n), CrashesVM: true, Start: time.Now()}
		l.add(r)
		l.end(r, crashed, true)
	}
	assert.Assert(t, l.FirstViolation() != "")
}
