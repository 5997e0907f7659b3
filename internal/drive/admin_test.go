package drive

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
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
	for _, n := range c.nodes {
		v, err := FetchVM(t.Context(), n.address, r.VMs[0].ID)
		assert.NilError(t, err)
		assert.Equal(t, v.Pool+" "+v.VM.Unusable, "alpha ")
		_, err = FetchVM(t.Context(), n.address, "i-none")
		assert.ErrorContains(t, err, "no pool has this VM")
	}
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

// TestOperatorListsAccounts guards against an account's load that is missing from or wrong in what
// an entry collects: of pools that other entries own, of accounts without jobs, and of accounts that
// the configuration no longer has.
func TestOperatorListsAccounts(t *testing.T) {
	c := newCluster(t, 2, map[string]int{"alpha": 1, "delta": 1})
	c.publish(5, "alpha", map[string][]string{"a": {"key-a"}, "b": {"key-b"}})
	c.awaitVersion(5, 0, 1)
	c.awaitStatus(http.StatusOK, 0, "key-a", http.MethodPost, "/q/00000000000000d1", `{"steps":[{"count":2,"cpu":1000,"memMb":100,"longRunning":true}]}`)
	c.awaitStatus(http.StatusOK, 0, "key-b", http.MethodPost, "/q/00000000000000d2", `{"steps":[{"count":1,"cpu":9000}]}`)
	c.publish(6, "alpha", map[string][]string{"b": {"key-b"}, "c": {"key-c"}})
	c.awaitVersion(6, 0, 1)
	perWeight := 8 / 11.0 // cores of the VM, by the weights of a, which is removed, and b
	want := []AccountLoad{
		{Name: "a", Pools: map[string]sched.AccountReport{"alpha": {Running: 1, Used: site.Resources{CPU: 2000, MemMB: 200}, Share: perWeight}}},
		{Name: "b", Configured: true, Weight: 10, Pools: map[string]sched.AccountReport{"alpha": {Waiting: 1, Share: 10 * perWeight, Demand: site.Resources{CPU: 9000}}}},
		{Name: "c", Configured: true, Weight: 10, Pools: map[string]sched.AccountReport{}},
	}
	for i := range c.nodes {
		var resp *AccountsResponse
		c.await("both tasks run", func() bool {
			var err error
			resp, err = FetchAccounts(t.Context(), c.nodes[i].address, &AccountsRequest{})
			assert.NilError(t, err)
			return len(resp.Missing) == 0 && len(resp.Accounts) == 3 && resp.Accounts[0].Pools["alpha"].Used.CPU == 2000
		})
		assert.Equal(t, resp.Version, int64(6))
		assert.DeepEqual(t, resp.Accounts, want)
		one, err := FetchAccounts(t.Context(), c.nodes[i].address, &AccountsRequest{Name: "b"})
		assert.NilError(t, err)
		assert.DeepEqual(t, one.Accounts, want[1:2])
		_, err = FetchAccounts(t.Context(), c.nodes[i].address, &AccountsRequest{Name: "d"})
		assert.ErrorContains(t, err, `account "d": no client account has this name`)
	}
}

// TestAccountLoadMetrics guards against loads that are not summed over pools and small accounts, and
// against those of a pool that another entry owns by now.
func TestAccountLoadMetrics(t *testing.T) {
	var l accountLoads
	now := time.Now()
	l.record(now.Add(-time.Minute), "lost", map[string]sched.AccountReport{"a": {Waiting: 100}})
	l.record(now, "alpha", map[string]sched.AccountReport{"a": {Waiting: 1, Running: 2, Used: site.Resources{CPU: 1500}}, "b": {Running: 1}, "c": {Running: 1}})
	l.record(now, "beta", map[string]sched.AccountReport{"a": {Waiting: 3, Used: site.Resources{CPU: 500}}})
	l.record(now, "gamma", nil)
	var out strings.Builder
	l.write(&out, now, func(account string) string {
		if account == "a" {
			return account
		}
		return otherAccounts
	})
	assert.Equal(t, out.String(), `greengagelane_account_jobs{account="a",state="waiting"} 4
greengagelane_account_jobs{account="a",state="running"} 2
greengagelane_account_cores{account="a"} 2
greengagelane_account_jobs{account="other",state="waiting"} 0
greengagelane_account_jobs{account="other",state="running"} 2
greengagelane_account_cores{account="other"} 0
`)
}

// TestAccountLabelsAreBounded guards against metrics whose number grows with the accounts, or with the
// changes of their weights over time.
func TestAccountLabelsAreBounded(t *testing.T) {
	var l accountLabels
	labels := map[string]bool{}
	for change := range 10 {
		var accounts []site.Account
		for i := range 770 {
			accounts = append(accounts, site.Account{Name: fmt.Sprint(i), Weight: float64((i + 100*change) % 770)})
		}
		l.setAccounts(accounts)
		for i := range accounts {
			labels[l.label(accounts[i].Name)] = true
		}
		if change == 0 {
			assert.Equal(t, l.label("769"), "769")
			assert.Equal(t, l.label("749"), otherAccounts)
		}
	}
	assert.Equal(t, len(labels), maxAccountLabels+1)
	assert.Equal(t, l.label(""), noAccount)
}

// TestOperatorFindsJobBesideMissingOwner guards against an operator's request that fails as one partition has no owner, while
// another one holds the job.
func TestOperatorFindsJobBesideMissingOwner(t *testing.T) {
	const held, id = 1, "00000000000000a1"
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	part := partitionWithJob(t, c.nodes[0], 99)
	defer part.store.Close()
	n := New(&site.Settings{Entry: "asked", IP: "127.0.0.1", Ports: []int{1, 2}, Log: site.LogSettings{Partitions: held + 1}})
	n.partitions[held] = part
	tests := []struct {
		name string
		req  JobRequest
		want string // state, or outcome of a cancellation
	}{
		{"show", JobRequest{ID: id}, "queued"},
		{"cancel", JobRequest{ID: id, Cancel: true}, ""},
	}
	for _, tt := range tests {
		var resp *JobResponse
		var err error
		serveWhile(t, part, func() { resp, err = n.handleJobRequest(t.Context(), &tt.req) })
		assert.NilError(t, err, tt.name)
		assert.Equal(t, resp.Reply.Outcome, site.OK, tt.name)
		assert.Equal(t, resp.Partition, held, tt.name)
		assert.Equal(t, resp.Reply.State, tt.want, tt.name)
	}
}
