package drive

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// recoveringPartition returns a partition of a fresh entry that holds a job of an earlier owner back, and runs
// its events until the test ends.
func recoveringPartition(t *testing.T, n *Node, id string) *ownedPartition {
	t.Helper()
	job, err := jobs.Encode(&jobs.Job{ID: id, Pool: "alpha", MaxAttempts: 1, Steps: []jobs.Step{{Count: 1, CPU: 1000}}})
	assert.NilError(t, err)
	part := &ownedPartition{
		node: n, scheduler: sched.New(2, n.policy, logrus.WithField("partition", 0)), events: make(chan func(time.Time), eventBuffer), done: make(chan struct{}), loaded: make(chan struct{}),
	}
	close(part.loaded)
	part.scheduler.Restore(time.Now(), 1, []site.Record{{Key: "j/" + id, Value: job}})
	assert.Assert(t, part.scheduler.HoldRecovered())
	n.partitions[0] = part
	go func() {
		for f := range part.events {
			f(time.Now())
		}
	}()
	t.Cleanup(func() { close(part.events) })
	return part
}

// completedAtFlush reports whether the partition's next flush stores that the job is completed.
func completedAtFlush(t *testing.T, part *ownedPartition, id string) bool {
	t.Helper()
	completed, err := runOnPartition(t.Context(), part, func(part *ownedPartition, now time.Time) *bool {
		f, err := part.scheduler.Flush(now, 1<<20)
		if f != nil {
			part.scheduler.Flushed(f)
		}
		state, known := part.scheduler.JobState(id)
		completed := err == nil && known && state == jobs.Completed
		return &completed
	})
	assert.NilError(t, err)
	return *completed
}

// peerNode returns an entry that does nothing but answer its peers.
func peerNode(t *testing.T) *Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := New(&site.Settings{Entry: "peer", IP: "127.0.0.1", Ports: []int{ln.Addr().(*net.TCPAddr).Port, 0}})
	ps := peer.NewServer(func() []string { return nil })
	n.handleShownCalls(ps)
	peer.Handle(ps, jobCallKind, func(context.Context, string, *jobCall) (*site.Reply, error) {
		return &site.Reply{Outcome: site.OK, State: jobs.Completed.String(), Unstored: true}, nil
	})
	go func() { _ = ps.Serve(t.Context(), ln) }()
	t.Cleanup(ps.Close)
	return n
}

// TestFreshOwnerLearnsOfShownJobs guards against a job that an older owner has shown as completed during an outage
// and that is started again by an entry that has just started: it knows no other entry yet, and has seen no outage.
func TestFreshOwnerLearnsOfShownJobs(t *testing.T) {
	id := jobIDs(1)[0]
	tests := []struct {
		name   string
		outage bool // the holder of the note has seen an outage
		pushes bool // the holder hears of the owner, instead of the owner of it
	}{
		{"asks entries that it hears of", true, false},
		{"is told", true, true},
		{"no outage", false, false},
	}
	for _, tt := range tests {
		holder, fresh := peerNode(t), peerNode(t)
		part := recoveringPartition(t, fresh, id)
		if tt.outage {
			holder.shown.Record(time.Now(), 0, id)
			holder.logFailedAt.Store(time.Now().UnixNano())
		} else {
			fresh.syncPeers.heardOf(holder.address, time.Now())
		}
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, func() {
			if tt.pushes {
				holder.handleClaim(0, ownerInfo{Epoch: 2, Address: fresh.address}, "test")
			} else {
				fresh.syncPeers.heardOf(holder.address, time.Now())
			}
		})
		part.collectShown(t.Context())
		assert.Equal(t, completedAtFlush(t, part, id), tt.outage, tt.name)
		if !tt.outage {
			assert.Assert(t, time.Since(began) < outageTimeout/2, "recovered jobs wait without an outage")
		}
	}
}

// TestNotesOfOlderEntriesAreKept guards against an older owner that shows a job as completed on the word of this
// version, and against notes that are lost in an upgrade: they are kept, used by an owner, and handed on.
func TestNotesOfOlderEntriesAreKept(t *testing.T) {
	id := jobIDs(1)[0]
	first, second, older := peerNode(t), peerNode(t), peerNode(t)
	part := recoveringPartition(t, second, id)
	note := &shownNote{Jobs: map[int][]string{0: {id}}}
	r, err := peer.Call[shownNote, shownNoteReply](t.Context(), older.peer(first.address), shownNoteKind, note)
	assert.NilError(t, err)
	assert.Assert(t, !r.Noted, "an older owner may show the job")
	assert.DeepEqual(t, first.shown.List(0), []string{id})
	first.syncPeers.heardOf(second.address, time.Now())
	first.handOnShown(t.Context())
	assert.DeepEqual(t, second.shown.List(0), []string{id})
	assert.Assert(t, completedAtFlush(t, part, id))
}

// TestUnstoredReplyOfOlderOwnerSaysRunning guards against callers that are shown a job as completed on the word of an
// older owner.
func TestUnstoredReplyOfOlderOwnerSaysRunning(t *testing.T) {
	relay, owner := peerNode(t), peerNode(t)
	relay.owners.recordClaim(0, ownerInfo{Epoch: 1, Address: owner.address})
	r, _ := relay.tryOwners(t.Context(), &jobCall{Kind: site.ShowJob, ID: jobIDs(1)[0], WaitMS: 1000})
	assert.Assert(t, r != nil)
	assert.DeepEqual(t, *r, site.Reply{Outcome: site.OK, State: jobs.Running.String()})
}

// TestOnlyOldOwnersAreAskedAbout guards against tasks that wait after a takeover for notes that no entry makes any more,
// and against an older owner after which nothing is asked.
func TestOnlyOldOwnersAreAskedAbout(t *testing.T) {
	owner := func(epoch int64) site.Record {
		data, err := jobs.Encode(&ownerRecord{Epoch: epoch, Address: "x"})
		assert.NilError(t, err)
		return site.Record{Key: ownerKey, Value: data}
	}
	storedOnly := func(epoch int64) site.Record {
		data, err := jobs.Encode(&epoch)
		assert.NilError(t, err)
		return site.Record{Key: storedOnlyKey, Value: data}
	}
	tests := []struct {
		name    string
		records []site.Record
		want    bool
	}{
		{"no owner", nil, true},
		{"older owner", []site.Record{owner(3)}, false},
		{"owner of this version", []site.Record{owner(3), storedOnly(3)}, true},
		{"older owner after one of this version", []site.Record{owner(4), storedOnly(3)}, false},
		{"owner of this version that has asked", []site.Record{owner(5), storedOnly(3)}, false},
	}
	for _, tt := range tests {
		part := &ownedPartition{log: logrus.WithField("partition", 0)}
		part.readControlRecords(tt.records)
		assert.Equal(t, part.storedOnly, tt.want, tt.name)
	}
}
