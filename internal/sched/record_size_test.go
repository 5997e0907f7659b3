package sched

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// flushChecked flushes and checks that the job log can hold each record.
func (r *fixture) flushChecked(ms, limit int) {
	r.t.Helper()
	for _, rec := range r.flush(ms) {
		assert.Assert(r.t, len(rec.Key)+len(rec.Value)+5 <= limit, "record %s has %d bytes", rec.Key, len(rec.Value))
	}
}

// TestRecordsFitTheJobLog guards against a job whose record the job log refuses, which stops the log of its
// partition.
func TestRecordsFitTheJobLog(t *testing.T) {
	const limit = 1 << 14
	policy := testPolicy()
	policy.RecordBytes = limit
	newSite := func(t *testing.T) *fixture {
		r := newFixture(t, testVM("a"))
		r.s.policy = policy
		return r
	}
	t.Run("job", func(t *testing.T) {
		r := newSite(t)
		steps := make([]jobs.Step, 1000)
		for i := range steps {
			steps[i] = jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}
		}
		assert.ErrorContains(t, r.s.CheckRecord(testJob(jobID, steps...)), "the job log takes 16384")
		assert.NilError(t, r.s.CheckRecord(testJob(jobID, steps[:10]...)))
	})
	t.Run("schedule with all occurrences due", func(t *testing.T) {
		r := newSite(t)
		j := testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100}, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100, After: []int{0}})
		j.Repeat, j.IntervalMS, j.FirstDue = 90_000, 1, start.UnixMilli()-200_000
		assert.Assert(t, r.s.Submit(at(0), j).Accepted)
		r.flushChecked(0, limit)
		sequence := int64(0)
		for ms := 10; ms < 3000; ms += 10 {
			var ends []site.RunEnd
			for _, x := range r.starts(ms) {
				sequence++
				ends = append(ends, end(sequence, x, site.Done))
			}
			r.poll(ms, "a", site.VMStatus{Ended: ends})
			r.flushChecked(ms, limit)
		}
		assert.Assert(t, r.s.jobs[jobID].doneOccs > 500, "%d occurrences done", r.s.jobs[jobID].doneOccs)
		state, _ := r.s.JobState(jobID)
		assert.Equal(t, state, jobs.Running)
	})
	t.Run("checkpoints", func(t *testing.T) {
		r := newSite(t)
		r.submit(0, testJob(jobID, jobs.Step{Count: 8, CPU: 1000, EstimateMS: 9000, Saves: true}))
		var status site.VMStatus
		for _, x := range r.starts(10) {
			status.Running = append(status.Running, site.Run{Task: x.Order.Task, Run: x.Order.Run, Percent: 50, Checkpoint: strings.Repeat("x", limit/4)})
		}
		r.poll(20, "a", status)
		r.s.jobs[jobID].dirty = true
		r.flushChecked(30, limit)
		state, _ := r.s.JobState(jobID)
		assert.Equal(t, state, jobs.Running)
	})
	t.Run("progress that cannot be made to fit", func(t *testing.T) {
		r := newSite(t)
		const other = "00000000000000a2"
		r.submit(0, testJob(jobID, jobs.Step{Count: 2000, CPU: 1, EstimateMS: 9000}))
		r.submit(0, testJob(other, jobs.Step{Count: 1, CPU: 1, EstimateMS: 9000}))
		for _, x := range r.s.jobs[jobID].occurrences {
			t.Fatalf("occurrence %d", x.number)
		}
		r.starts(10)
		for _, x := range r.s.jobs[jobID].occurrences[0].steps[0].tasks {
			x.failedRuns = []int64{1}
		}
		r.s.jobs[jobID].dirty, r.s.jobs[other].dirty = true, true
		r.flushChecked(20, limit)
		state, _ := r.s.JobState(jobID)
		assert.Equal(t, state, jobs.Failed)
		state, _ = r.s.JobState(other)
		assert.Equal(t, state, jobs.Running)
		assert.Assert(t, strings.Contains(r.s.Explain(at(20), jobID).Why, "the job log takes"))
	})
}
