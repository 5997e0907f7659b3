package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestPoolWithSplitRoomNeedsAnotherVM guards against a long-running task that waits without end beside spare machines, as the
// pool has the room, but on no single VM.
func TestPoolWithSplitRoomNeedsAnotherVM(t *testing.T) {
	tests := []struct {
		name    string
		waiting jobs.Step
		until   int // ms
		minVMs  int
	}{
		{"room is split", jobs.Step{CPU: 8000}, 2700, 3},
		{"for a moment", jobs.Step{CPU: 8000}, 1500, 2},
		{"label", jobs.Step{CPU: 8000, Label: "a"}, 2700, 2},
		{"too large for any VM", jobs.Step{CPU: 9000}, 2700, 1},
		{"fits", jobs.Step{CPU: 3000}, 2700, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"), testVM("b"))
			r.submit(0, testJob("00000000000000b0", jobs.Step{Count: 1, CPU: 4000, Lasts: true, MayMiss: 1}))
			first := r.starts(10)[0]
			r.submit(20, testJob(jobID, jobs.Step{Count: 1, CPU: 4000, EstimateMS: 100}))
			short := r.starts(30)[0]
			assert.Equal(t, short.VM, first.VM)
			r.submit(40, testJob("00000000000000b1", jobs.Step{Count: 1, CPU: 4000, Lasts: true, MayMiss: 1}))
			assert.Assert(t, r.starts(50)[0].VM != first.VM)
			r.poll(60, short.VM, site.VMStatus{Running: []site.Run{running(first)}, Ended: []site.RunEnd{end(1, short, site.Done)}})
			tt.waiting.Count, tt.waiting.Lasts, tt.waiting.MayMiss = 1, true, 1
			r.submit(70, testJob("00000000000000b2", tt.waiting))
			for ms := 100; ms <= tt.until; ms += 100 {
				r.pollRunning(ms, "a", "b")
				r.starts(ms)
			}
			assert.Equal(t, r.s.Report(at(tt.until), "pool").MinVMs, tt.minVMs)
		})
	}
}
