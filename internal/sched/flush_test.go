package sched

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestEndsOfFailedEncodingStayUnacknowledged guards against run ends that are acknowledged although the job log does not
// hold them, since the encoding of another job has failed in the flush that was to store them.
func TestEndsOfFailedEncodingStayUnacknowledged(t *testing.T) {
	const n = 4 // jobs
	for failing := 1; failing <= n; failing++ {
		t.Run(fmt.Sprintf("job %d of the flush", failing), func(t *testing.T) {
			r := newFixture(t, testVM("a"))
			for i := range n {
				r.submit(0, testJob(fmt.Sprintf("%016x", i+1), jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100}))
			}
			var status site.VMStatus
			for i, s := range r.starts(10) {
				status.Ended = append(status.Ended, end(int64(i+1), s, site.Done))
			}
			assert.Equal(t, len(status.Ended), n)
			r.poll(100, "a", status)
			calls := 0
			r.s.encode = func(p *jobs.Progress) ([]byte, error) {
				if calls++; calls == failing {
					return nil, errors.New("cannot be encoded")
				}
				return jobs.EncodeProgress(p)
			}
			for ms := 110; ms <= 120; ms += 10 {
				if f, err := r.s.Flush(at(ms), 1<<20); err == nil && f != nil {
					for _, rec := range f.Records {
						r.jobLog[rec.Key] = rec.Value
					}
					r.s.Flushed(f)
				}
				poll, ok := r.s.NextPoll(at(ms), "a", false)
				assert.Assert(t, ok)
				for id, j := range r.s.jobs {
					p, err := jobs.DecodeProgress(r.jobLog[progressKeyPrefix+id])
					stored := err == nil && p.State == jobs.Completed
					assert.Assert(t, stored || poll.AckCursor == 0, "ends up to %d are acknowledged, job %s is not stored", poll.AckCursor, id)
					assert.Assert(t, stored || j.storedState != jobs.Completed, "job %s is shown as completed", id)
				}
			}
			poll, _ := r.s.NextPoll(at(130), "a", false)
			assert.Equal(t, poll.AckCursor, int64(n), "the ends are stored and not acknowledged")
		})
	}
}
