package emul

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestForeignCheckpoint guards against a check that overlooks a start with the checkpoint of another task.
func TestForeignCheckpoint(t *testing.T) {
	began := time.Now()
	a := &activeRun{taskRun: &TaskRun{Task: "t.0.0.1", Start: began}, task: Task{Saves: true}, resumed: time.Second}
	tests := []struct {
		name       string
		checkpoint string
		saved      time.Duration
		foreign    bool
	}{
		{"none", "", 0, false},
		{"at an interval", a.checkpoint(began.Add(500*time.Millisecond), checkpointInterval), 1400 * time.Millisecond, false},
		{"at the end", a.checkpoint(began.Add(500*time.Millisecond), 1), 1500 * time.Millisecond, false},
		{"of another task", "t.0.0.10/200", 200 * time.Millisecond, true},
		{"unreadable", "x", 0, true},
	}
	for _, tt := range tests {
		r := &TaskRun{Task: "t.0.0.1", Checkpoint: tt.checkpoint}
		assert.Equal(t, r.ForeignCheckpoint(), tt.foreign, tt.name)
		assert.Equal(t, savedWork(tt.checkpoint), tt.saved, tt.name)
	}
	a.task.Saves = false
	assert.Equal(t, a.checkpoint(began.Add(time.Second), 1), "")
}

// TestCrashKeepingID guards against a VM that comes back under its ID and is then missing in the VM list, since the
// record of its former incarnation is removed late.
func TestCrashKeepingID(t *testing.T) {
	const lag = 20 * time.Millisecond
	for _, keep := range []bool{false, true} {
		p, err := Start(Options{Pools: map[string]int{"p": 1}, Lookup: func(string) Task { return Task{} }, RecordLag: lag})
		assert.NilError(t, err)
		before := p.VMs()[0]
		p.crash(before, keep)
		assert.NilError(t, p.Repair())
		after := p.VMs()[0]
		time.Sleep(5 * lag)
		assert.Equal(t, after.ID == before.ID, keep)
		assert.Assert(t, after != before)
		assert.Assert(t, len(p.Store.Get("keyed.servers", after.ID)) > 0, "same ID: %t", keep)
		p.Close()
	}
}

// TestLatePollReachesNextLife guards against an emulator in which a status poll that is carried out late cannot
// acknowledge ends of a VM that has come back under its ID.
func TestLatePollReachesNextLife(t *testing.T) {
	const late = 300 * time.Millisecond
	for _, keep := range []bool{false, true} {
		p, err := Start(Options{Pools: map[string]int{"p": 1}, Lookup: func(string) Task { return Task{Duration: time.Millisecond} }, RecordLag: time.Millisecond})
		assert.NilError(t, err)
		before := p.VMs()[0]
		before.SetFaults(func(w *Worker) { w.LosePercent, w.LateBy = 100, late })
		ctx, cancel := context.WithTimeout(t.Context(), late/10)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+before.address+"/v1/hold", strings.NewReader(`{"ackCursor":1,"waitMs":2000}`))
		assert.NilError(t, err)
		req.Header.Set("X-Expect-Instance", before.ID)
		_, err = http.DefaultClient.Do(req)
		assert.ErrorContains(t, err, "deadline")
		cancel()
		p.crash(before, keep)
		assert.NilError(t, p.Repair())
		after := p.VMs()[0]
		after.mu.Lock()
		after.leaseEnd = time.Now().Add(time.Minute)
		after.beginRun(&workerRequest{Task: "0000000000000001.0.0.0", Run: 1}, Task{Duration: time.Millisecond})
		after.mu.Unlock()
		time.Sleep(2 * late)
		assert.Equal(t, p.Ledger.Runs()[0].Acknowledged, keep, "same ID: %t", keep)
		p.Close()
	}
}
