package drive

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// laterPage returns an edit that replaces all pages but the first by what change makes of the first and the present
// page.
func laterPage(change func(first, page string) string) func([]byte, string) []byte {
	first := ""
	return func(page []byte, after string) []byte {
		if after == "" {
			first = string(page)
			return page
		}
		return []byte(change(first, string(page)))
	}
}

// partOfTable are faults by which an entry reads a part of a partition.
var partOfTable = []struct {
	name   string
	inject func(s *emul.Store)
}{
	{"keys do not continue", func(s *emul.Store) {
		s.EditNewest = laterPage(func(first, _ string) string { return first })
	}},
	{"values that are not base64", func(s *emul.Store) {
		s.EditNewest = laterPage(func(_, page string) string { return strings.ReplaceAll(page, `"value":"`, `"value":"*`) })
	}},
	{"more to come after no records", func(s *emul.Store) {
		s.EditNewest = laterPage(func(string, string) string { return `{"items":[],"truncated":true,"end":1000}` })
	}},
	{"page ends early", func(s *emul.Store) {
		s.EditNewest = laterPage(func(_, page string) string { return page[:len(page)/2] })
	}},
	{"empty object for a page", func(s *emul.Store) {
		s.EditNewest = laterPage(func(string, string) string { return `{}` })
	}},
	{"tail without records", func(s *emul.Store) { s.NoTail = true }},
}

func heal(s *emul.Store) { s.EditNewest, s.NoTail = nil, false }

// formerOwner stores jobs in a partition of its own number as the owner of epoch 1, and returns their IDs and its client of
// the log.
func formerOwner(t *testing.T, n *Node, partition int) ([]string, *platform.Log) {
	t.Helper()
	ids := jobIDs(50) // more than a page
	a := &site.Append{Partition: partition, Epoch: 1, Sequence: 1, ExpectEnd: -1}
	owner, err := jobs.Encode(&ownerRecord{Epoch: 1, Address: "127.0.0.1:1"})
	assert.NilError(t, err)
	a.Records = append(a.Records, site.Record{Key: ownerKey, Value: owner})
	for _, id := range ids {
		job, err := jobs.Encode(&jobs.Job{ID: id, Queue: "q", Pool: "alpha", Steps: []jobs.Step{{Count: 1, CPU: 1000}}, MaxAttempts: 1})
		assert.NilError(t, err)
		progress, err := jobs.EncodeProgress(&jobs.Progress{State: jobs.Completed, Began: true, FinalMS: time.Now().UnixMilli()})
		assert.NilError(t, err)
		a.Records = append(a.Records, site.Record{Key: "j/" + id, Value: job}, site.Record{Key: "p/" + id, Value: progress})
	}
	log := platform.NewLog(n.settings)
	t.Cleanup(log.Close)
	assert.NilError(t, log.AppendJobs(t.Context(), a, testTimeout))
	return ids, log
}

func claimant(t *testing.T, n *Node, partition int) *ownedPartition {
	t.Helper()
	part := &ownedPartition{node: n, number: partition, store: platform.NewLog(n.settings), appendTimeout: newTimeout(minAppendTimeout), log: logrus.NewEntry(logrus.StandardLogger())}
	t.Cleanup(part.store.Close)
	return part
}

// TestClaimNeedsTheWholePartition guards against an owner that restores a part of its partition: jobs that it does not
// know are lost, and done tasks start again.
func TestClaimNeedsTheWholePartition(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range partOfTable {
		partition := 100 + i
		ids, _ := formerOwner(t, c.nodes[0], partition)
		part := claimant(t, c.nodes[0], partition)
		before := incompleteReads.Get()
		c.emulator.Store.SetFaults(tt.inject)
		ctx, cancel := context.WithCancel(t.Context())
		claimed := make(chan bool, 1)
		go func() { claimed <- part.claim(ctx) }()
		c.await(tt.name+": two attempts", func() bool { return incompleteReads.Get() >= before+2 || len(claimed) > 0 })
		cancel()
		owned := <-claimed
		c.emulator.Store.SetFaults(heal)
		if owned {
			t.Errorf("%s: the partition is claimed", tt.name)
			continue
		}
		assert.Assert(t, part.claim(t.Context()), tt.name)
		for _, id := range ids {
			state, known := part.scheduler.JobState(id)
			assert.Assert(t, known && state == jobs.Completed, "%s: job %s", tt.name, id)
		}
	}
}

// TestClaimSeesChangesBetweenPages guards against a record that the former owner stores while the partition is being
// read, and that the next owner does not know.
func TestClaimSeesChangesBetweenPages(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	const partition = 100
	ids, log := formerOwner(t, c.nodes[0], partition)
	progress, err := jobs.EncodeProgress(&jobs.Progress{State: jobs.Cancelled, FinalMS: time.Now().UnixMilli()})
	assert.NilError(t, err)
	pages := 0
	c.emulator.Store.SetFaults(func(s *emul.Store) {
		s.EditNewest = laterPage(func(_, page string) string {
			if pages++; pages == 1 {
				a := &site.Append{Partition: partition, Epoch: 1, Sequence: 2, ExpectEnd: -1, Records: []site.Record{{Key: "p/" + ids[0], Value: progress}, {Key: "j/" + ids[1]}, {Key: "p/" + ids[1]}}}
				assert.NilError(t, log.AppendJobs(t.Context(), a, testTimeout))
			}
			return page
		})
	})
	part := claimant(t, c.nodes[0], partition)
	assert.Assert(t, part.claim(t.Context()))
	c.emulator.Store.SetFaults(heal)
	state, known := part.scheduler.JobState(ids[0])
	assert.Assert(t, known && state == jobs.Cancelled, "state %s", state)
	assert.Assert(t, !part.scheduler.Known(ids[1]))
	assert.Equal(t, len(part.scheduler.Queues()), 1)
}

// TestNoTaskStartsAgainWhileTheLogReturnsParts guards against done tasks that start again, and jobs that are lost, when
// an owner is lost while the log's answers lack records.
func TestNoTaskStartsAgainWhileTheLogReturnsParts(t *testing.T) {
	for _, tt := range partOfTable[:2] {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 2, map[string]int{"alpha": 4})
			ids := jobIDs(24)
			for _, id := range ids {
				c.submit(0, id, twoSteps)
			}
			c.awaitCompleted(0, ids...)
			starts := len(c.emulator.Ledger.Runs())
			c.emulator.Store.SetFaults(tt.inject)
			killed := c.owner()
			c.kill(killed)
			const parts = 2 * time.Second
			for began := time.Now(); time.Since(began) < parts; time.Sleep(100 * time.Millisecond) {
				id := ids[int(time.Since(began)/time.Millisecond)%len(ids)]
				status, _ := c.call(1-killed, http.MethodGet, "/q/"+id, "")
				if status == http.StatusGone {
					t.Errorf("job %s is unknown after %s", id, time.Since(began))
				}
				c.call(1-killed, http.MethodPost, "/q/"+id, twoSteps)
			}
			c.emulator.Store.SetFaults(heal)
			c.awaitCompleted(1-killed, ids...)
			assert.Equal(t, len(c.emulator.Ledger.Runs()), starts, "tasks of completed jobs were started again")
		})
	}
}

// TestUnreadableJobIsNeitherUnknownNorNew guards against callers that are told that their accepted job does not exist, or
// that it is accepted anew, since a record of it cannot be decoded.
func TestUnreadableJobIsNeitherUnknownNorNew(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	tests := []struct {
		name, key string
		cancel    bool // waits until it is stored
	}{
		{"progress", "p/", true},
		{"job", "j/", false},
	}
	for i, tt := range tests {
		ids, log := formerOwner(t, c.nodes[0], 100+i)
		a := &site.Append{Partition: 100 + i, Epoch: 1, Sequence: 2, ExpectEnd: -1, Records: []site.Record{{Key: tt.key + ids[0], Value: []byte("\xff")}}}
		assert.NilError(t, log.AppendJobs(t.Context(), a, testTimeout))
		before := unreadableJobs.Get()
		part := claimant(t, c.nodes[0], 100+i)
		part.waiters = map[string][]*waiter{}
		assert.Assert(t, part.claim(t.Context()))
		assert.Equal(t, unreadableJobs.Get(), before+1, tt.name)
		for _, kind := range []site.CallKind{site.ShowJob, site.SubmitJob, site.CancelJob} {
			job := &jobs.Job{ID: ids[0], Queue: "q", Pool: "alpha", Steps: []jobs.Step{{Count: 1, CPU: 1000}}, MaxAttempts: 1}
			call := &jobCall{Kind: kind, ID: ids[0], Job: job}
			w := &waiter{id: ids[0], job: job, isCancel: kind == site.CancelJob, reply: make(chan site.Reply, 1)}
			part.handle(time.Now(), call, w)
			select {
			case r := <-w.reply:
				assert.Assert(t, r.Outcome == site.Undecided && (kind != site.CancelJob || !tt.cancel), "%s: %s is answered with %s", tt.name, kind, r.Outcome)
			default:
				assert.Assert(t, kind == site.CancelJob && tt.cancel, "%s: %s is not answered", tt.name, kind)
			}
		}
	}
}
