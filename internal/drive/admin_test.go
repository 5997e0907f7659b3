package drive

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestOperatorShowsAndCancelsJob guards against operator requests that fail on an entry that
// does not own the job's partition. Every entry has to show why each task waits, cancel the job,
// and report an unknown job as such.
func TestOperatorShowsAndCancelsJob(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 1})
	const id = "00000000000000f1"
	c.submit(0, id, `{"steps":[{"count":1,"cpu":1000,"longRunning":true},{"count":1,"cpu":1000,"after":[0]},{"count":1,"cpu":9000}]}`)
	c.await("task runs", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	var a *JobResponse
	c.await("answer", func() bool {
		var err error
		a, err = SendJobRequest(t.Context(), c.nodes[1].address, &JobRequest{ID: id})
		return err == nil && a.View != nil && a.View.Tasks[0].VM != ""
	})
	assert.Equal(t, a.Reply.State, "running")
	assert.Equal(t, a.View.Tasks[1].Why, "earlier steps are not done")
	assert.Equal(t, a.View.Tasks[2].Why, "it fits on no VM now")
	r, err := FetchPoolReport(t.Context(), c.nodes[0].address, "alpha")
	assert.NilError(t, err)
	assert.Equal(t, r.VMs[0].Lasting, 1)
	_, err = SendJobRequest(t.Context(), c.nodes[1].address, &JobRequest{ID: id, Cancel: true})
	assert.NilError(t, err)
	assert.Equal(t, c.state(0, id), "cancelled")
	_, err = SendJobRequest(t.Context(), c.nodes[0].address, &JobRequest{ID: "00000000000000f2"})
	assert.ErrorContains(t, err, "no partition holds the job")
}

// TestOperatorCallsDuringAChangeOfOwner guards against an operator's call that fails because the
// entry that takes it is still claiming the partition, or has just lost it. It has to ask the
// owner.
func TestOperatorCallsDuringAChangeOfOwner(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 1})
	const id = "00000000000000f3"
	c.submit(0, id, `{"steps":[{"count":1,"cpu":1000,"longRunning":true}]}`)
	other := c.nodes[1-c.owner()]
	lost, ended := make(chan struct{}), make(chan struct{})
	close(lost)
	close(ended)
	tests := []struct {
		name string
		part *ownedPartition
	}{
		{"claiming", &ownedPartition{loaded: make(chan struct{}), done: make(chan struct{}), cancel: func() {}}},
		{"ended", &ownedPartition{loaded: lost, done: ended, cancel: func() {}}},
	}
	p := other.partitionOf("alpha")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.part.releasing.Store(true) // keeps the membership from releasing it
			other.mu.Lock()
			other.partitions[p] = tt.part
			other.mu.Unlock()
			defer other.removePartition(tt.part)
			r, err := FetchPoolReport(t.Context(), other.address, "alpha")
			assert.NilError(t, err)
			assert.Equal(t, r.Pool, "alpha")
			a, err := SendJobRequest(t.Context(), other.address, &JobRequest{ID: id})
			assert.NilError(t, err)
			assert.Equal(t, a.View.Pool, "alpha")
		})
	}
}

// TestOperatorSubmitsJob guards against a job that runs twice when an operator submits its job
// file twice, to an entry that does not own the job's partition. The job has to run under its
// queue's policy.
func TestOperatorSubmitsJob(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 1})
	j, err := jobs.ParseFile("job.jsonc", []byte(`{"queue": "q", "id": "00000000000000a9", "steps": [{"tasks": 2, "cores": 1, "estimate-ms": 300}]}`))
	assert.NilError(t, err)
	entry := c.nodes[1-c.owner()].address
	for range 2 {
		a, err := SendJobRequest(t.Context(), entry, &JobRequest{ID: j.ID, Submit: j})
		assert.NilError(t, err)
		assert.Equal(t, a.Reply.Outcome, site.OK, a.Reply.Reason)
	}
	c.awaitCompleted(0, j.ID)
	assert.Equal(t, len(c.emulator.Ledger.Runs()), 2)
	j.Queue = "other"
	_, err = SendJobRequest(t.Context(), entry, &JobRequest{ID: j.ID, Submit: j})
	assert.ErrorContains(t, err, `queue "other" does not exist`)
}
