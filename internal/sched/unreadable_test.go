package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestJobWithUnreadableRecordStartsNothing guards against done tasks that start again, and jobs that are lost, since a
// record of their job cannot be decoded.
func TestJobWithUnreadableRecordStartsNothing(t *testing.T) {
	const other = "00000000000000a2"
	const jobKey, progressKey = "j/" + jobID, "p/" + jobID
	later, err := jobs.Encode(&[]any{1, true, 0, 1, []int{0}, 0, []any{}, []any{}, "", "field of a later version"})
	assert.NilError(t, err)
	tests := []struct {
		name, key   string
		value       func(former []byte) []byte
		cancellable bool
	}{
		{"progress that ends early", progressKey, func(v []byte) []byte { return v[:len(v)/2] }, true},
		{"progress of other bytes", progressKey, func([]byte) []byte { return []byte("\xff\x00garbage") }, true},
		{"progress of a later version", progressKey, func([]byte) []byte { return later }, true},
		{"job that ends early", jobKey, func(v []byte) []byte { return v[:len(v)/2] }, false},
		{"job that fails its check", jobKey, func([]byte) []byte { return []byte{0x80} }, false},
		{"no job", jobKey, func([]byte) []byte { return nil }, false},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, EstimateMS: 1000}))
		first := r.starts(10)
		assert.Equal(t, len(first), 2)
		r.poll(20, "a", site.VMStatus{Running: []site.Run{running(first[1])}, Ended: []site.RunEnd{end(1, first[0], site.Done)}})
		r.submit(30, testJob(other, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
		r.flush(30)
		former := r.jobLog[tt.key]
		broken := tt.value(former)
		r.jobLog[tt.key] = broken
		r.takeover(100, testVM("a"))
		r.poll(110, "a", site.VMStatus{})
		r.flush(110)
		for _, a := range r.starts(120) {
			assert.Equal(t, a.Task.Job, other, tt.name)
		}
		assert.Assert(t, r.s.Known(jobID), "%s: the job is not known", tt.name)
		_, shown := r.s.JobState(jobID)
		assert.Assert(t, !shown, "%s: the job has a state", tt.name)
		assert.Assert(t, !r.s.Submit(at(130), testJob(jobID, jobs.Step{Count: 2, CPU: 1000})).Accepted, tt.name)
		assert.Equal(t, len(r.s.Unreadable()), 1, tt.name)
		r.flush(140)
		assert.DeepEqual(t, r.jobLog[tt.key], broken)
		if tt.cancellable {
			assert.Assert(t, r.s.Cancel(at(150), jobID), tt.name)
			r.flush(150)
			assert.Assert(t, r.s.FinalStored(jobID), tt.name)
			r.takeover(200, testVM("a"))
			state, known := r.s.JobState(jobID)
			assert.Assert(t, known && state == jobs.Cancelled, tt.name)
			continue
		}
		assert.Assert(t, !r.s.Cancel(at(150), jobID), tt.name)
		r.jobLog[tt.key] = former // an owner that can read it
		r.takeover(200, testVM("a"))
		r.poll(210, "a", site.VMStatus{})
		r.flush(210)
		for _, a := range r.starts(220) {
			assert.Assert(t, a.Order.Task != first[0].Order.Task, "%s: a done task is started again", tt.name)
		}
	}
}

// TestUnreadableListOfVMsDelaysStarts guards against a task that runs twice, on a VM that the platform does not list at the
// moment, since the record of the VMs that may hold runs cannot be decoded.
func TestUnreadableListOfVMsDelaysStarts(t *testing.T) {
	for _, handover := range []bool{false, true} {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000}))
		assert.Equal(t, len(r.starts(10)), 1)
		if handover {
			r.retire(50)
		}
		r.jobLog[vmsKey] = []byte("\xff")
		r.takeover(100, testVM("b"))
		r.poll(110, "b", site.VMStatus{})
		r.flush(110)
		assert.Equal(t, len(r.starts(120)), 0, "started while a VM that is not listed may be running it")
		lease := int(testPolicy().Lease.Milliseconds())
		r.poll(lease, "b", site.VMStatus{})
		assert.Equal(t, len(r.starts(lease)), 0)
		r.poll(3*lease, "b", site.VMStatus{})
		assert.Equal(t, len(r.starts(3*lease)), 1, "not started after all leases have expired")
	}
}
