package sched

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestEndsOfUnreadableJobStayUnacknowledged guards against a task that is done and starts again under an owner that can
// read its job's records, since an owner in between, which cannot, has acknowledged the end.
func TestEndsOfUnreadableJobStayUnacknowledged(t *testing.T) {
	for _, key := range []string{"j/" + jobID, "p/" + jobID} {
		t.Run(key, func(t *testing.T) {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
			run := r.starts(10)[0]
			r.poll(20, "a", site.VMStatus{Running: []site.Run{running(run)}})
			r.flush(20)
			readable := r.jobLog[key]
			r.jobLog[key] = []byte("\xff\x00garbage")
			r.takeover(100, testVM("a"))
			ends := []site.RunEnd{end(1, run, site.Done)}
			acknowledged := int64(0)
			for ms := 110; ms < 200; ms += 10 {
				r.poll(ms, "a", site.VMStatus{Ended: ends})
				r.flush(ms)
				p, ok := r.s.NextPoll(at(ms), "a", false)
				assert.Assert(t, ok)
				acknowledged = max(acknowledged, p.AckCursor)
			}
			if acknowledged > 0 {
				ends = nil
			}
			r.jobLog[key] = readable
			r.takeover(300, testVM("a"))
			r.poll(310, "a", site.VMStatus{Ended: ends})
			r.flush(310)
			assert.Equal(t, len(r.starts(320)), 0, "a done task is started again; ends up to %d were acknowledged", acknowledged)
		})
	}
}

// TestUnreadableJobBlocksNoOtherEnds guards against ends of other jobs that an unreadable one hides, and against ends that
// are kept after its cancellation.
func TestUnreadableJobBlocksNoOtherEnds(t *testing.T) {
	tests := []struct {
		name         string
		cut, cancel  bool
		acknowledged int64
	}{
		{"list of ends is complete", false, false, 1},
		{"list of ends is cut off", true, false, 3},
		{"job is cancelled", false, true, 3},
	}
	sequences := map[string]int64{"00000000000000a2.0.0.0": 1, jobID + ".0.0.0": 2, "00000000000000a2.0.0.1": 3}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
		r.submit(0, testJob("00000000000000a2", jobs.Step{Count: 2, CPU: 1000, EstimateMS: 1000}))
		var ends []site.RunEnd
		for _, x := range r.starts(10) {
			ends = append(ends, end(sequences[x.Order.Task], x, site.Done))
		}
		assert.Equal(t, len(ends), 3)
		slices.SortFunc(ends, func(x, y site.RunEnd) int { return int(x.Sequence - y.Sequence) })
		r.flush(20)
		r.jobLog["p/"+jobID] = []byte("\xff\x00garbage")
		r.takeover(100, testVM("a"))
		if tt.cancel {
			assert.Assert(t, r.s.Cancel(at(105), jobID))
		}
		r.poll(110, "a", site.VMStatus{Ended: ends, EndsCut: tt.cut})
		r.flush(120)
		p, _ := r.s.NextPoll(at(130), "a", false)
		assert.Equal(t, p.AckCursor, tt.acknowledged, tt.name)
	}
}
