package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestCancelOfJobInDoubt guards against a cancellation that is answered as if there were no such job while the
// append of the job is in doubt, after which the job is stored and runs.
func TestCancelOfJobInDoubt(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		for _, stored := range []bool{false, true} {
			r := newFixture(t, testVM("a"))
			assert.Assert(t, r.s.Submit(at(0), testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500, Lasts: lasts, MayMiss: 1})).Accepted)
			f, err := r.s.Flush(at(0), 1<<20)
			assert.NilError(t, err)
			assert.Assert(t, r.s.Cancel(at(10), jobID), "answered as unknown")
			assert.Assert(t, !r.s.FinalStored(jobID), "acknowledged before it is stored")
			if stored {
				for _, rec := range f.Records {
					r.jobLog[rec.Key] = rec.Value
				}
				r.s.Flushed(f)
			} else {
				r.s.FlushRefused(f)
			}
			assert.Equal(t, len(r.starts(20)), 0)
			r.flush(30)
			assert.Assert(t, r.s.FinalStored(jobID))
			r.takeover(40, testVM("a"))
			r.poll(50, "a", site.VMStatus{})
			assert.Equal(t, len(r.starts(60)), 0)
			state, known := r.s.JobState(jobID)
			assert.Assert(t, known)
			assert.Equal(t, state, jobs.Cancelled)
		}
	}
}
