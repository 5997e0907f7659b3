package drive

import (
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestCompletedJobIsShownDuringOutage guards against callers that see a job as running until the log is
// back although all its tasks have ended, and against a task that starts again after that, when the owner and
// the VMs that listed the ends are lost before the log is back.
func TestCompletedJobIsShownDuringOutage(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	ids := jobIDs(2)
	for _, id := range ids {
		c.submit(0, id, twoSteps)
	}
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = true })
	owner := c.owner()
	for i := range c.nodes {
		for _, id := range ids {
			c.await("job "+id+" shown as completed", func() bool { return c.state(i, id) == "completed" })
		}
	}
	c.kill(owner)
	for _, vm := range c.emulator.VMs() {
		c.emulator.Crash(vm)
	}
	assert.NilError(t, c.emulator.Repair())
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = false })
	c.awaitCompleted((owner+1)%len(c.nodes), ids...)
	starts := map[string]int{}
	for _, r := range c.emulator.Ledger.Runs() {
		starts[r.Task]++
	}
	for task, n := range starts {
		assert.Equal(t, n, 1, task)
	}
}

// TestShownJobSurvivesRollingStop guards against a task that starts again after its job was shown as completed,
// when all entries are stopped in turn during the outage of the log and the VMs that listed the ends crash.
func TestShownJobSurvivesRollingStop(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	id := jobIDs(1)[0]
	c.submit(0, id, twoSteps)
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = true })
	owner := c.owner()
	c.await("the job is shown as completed", func() bool { return c.state(owner, id) == "completed" })
	for _, vm := range c.emulator.VMs() {
		c.emulator.Crash(vm)
	}
	for i := range c.nodes {
		c.restart((owner + i) % len(c.nodes))
	}
	assert.NilError(t, c.emulator.Repair())
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = false })
	c.awaitCompleted(owner, id)
	starts := map[string]int{}
	for _, r := range c.emulator.Ledger.Runs() {
		starts[r.Task]++
	}
	for task, n := range starts {
		assert.Equal(t, n, 1, task)
	}
}

// TestCompletedJobNeedsWitness guards against a job that is shown as completed while no other entry knows.
func TestCompletedJobNeedsWitness(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 2})
	id := jobIDs(1)[0]
	c.submit(0, id, twoSteps)
	c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = true })
	c.await("all tasks end", func() bool {
		done := 0
		for _, r := range c.emulator.Ledger.Runs() {
			if r.How == "done" {
				done++
			}
		}
		return done == 6
	})
	assert.Equal(t, c.state(0, id), "running")
	c.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = false })
	c.awaitCompleted(0, id)
}

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

// peerNode returns an entry that does nothing but answer its peers.
func peerNode(t *testing.T) *Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := New(&site.Settings{Entry: "peer", IP: "127.0.0.1", Ports: []int{ln.Addr().(*net.TCPAddr).Port, 0}})
	ps := peer.NewServer(func() []string { return nil })
	n.handleShownCalls(ps)
	go func() { _ = ps.Serve(t.Context(), ln) }()
	t.Cleanup(ps.Close)
	return n
}

// TestFreshOwnerLearnsOfShownJobs guards against a job that was shown as completed during an outage and is
// started again by an entry that has just started: it knows no other entry yet, and has seen no outage.
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
		completed, err := runOnPartition(t.Context(), part, func(part *ownedPartition, _ time.Time) *bool {
			completed := part.scheduler.CompletedUnstored(id)
			return &completed
		})
		assert.NilError(t, err)
		assert.Equal(t, *completed, tt.outage, tt.name)
		if !tt.outage {
			assert.Assert(t, time.Since(began) < outageTimeout/2, "recovered jobs wait without an outage")
		}
	}
}
