package drive

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/vmcall"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// TestPausedOwnerConfirmsItsOwnership guards against an owner that was paused, for which another entry
// has taken over, and that starts tasks on VMs that have not heard of the later owner: a task would run
// twice.
func TestPausedOwnerConfirmsItsOwnership(t *testing.T) {
	tests := []struct {
		name      string
		pause     time.Duration
		suspended bool // the monotonic clock does not count the pause
		claimed   bool // by a later owner, during the pause
		held      bool // the round after the pause decides nothing
		started   int  // in the end
	}{
		{"usual interval", idleInterval, false, false, false, 1},
		{"long pause", 4 * time.Second, false, false, true, 1},
		{"long pause, later owner", 4 * time.Second, false, true, true, 0},
		{"suspended", 4 * time.Second, true, false, true, 1},
		{"suspended, later owner", 4 * time.Second, true, true, true, 0},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		part := partitionWithJob(t, c.nodes[0], i)
		now := time.Now()
		part.lastRoundAt = now.Add(-tt.pause)
		if tt.suspended {
			part.lastRoundAt = now
			now = afterSuspension(now, tt.pause)
		}
		if tt.claimed {
			value := int64(9)
			later := &ownedPartition{node: c.nodes[0], number: part.number, store: platform.NewLog(c.nodes[0].settings), appendTimeout: newTimeout(minAppendTimeout), nextSequence: 1}
			assert.NilError(t, appendClaimRecord(t.Context(), later, value, -1, epochKey, &value))
			later.store.Close()
		}
		part.round(t.Context(), now)
		assert.Equal(t, part.scheduler.Stats().Started == 0, tt.held, tt.name)
		if tt.held {
			awaitConfirmed(t, part, now)
			if !part.scheduler.Fenced() {
				part.tenure.Confirm(now) // the append began by the machine's clock, which is behind
				part.round(t.Context(), now.Add(idleInterval))
			}
		}
		assert.Equal(t, part.scheduler.Fenced(), tt.claimed, tt.name)
		assert.Equal(t, part.scheduler.Stats().Started, tt.started, tt.name)
		part.cancel()
		part.store.Close()
	}
}

// awaitConfirmed runs a partition's events until its ownership is confirmed or refused.
func awaitConfirmed(t *testing.T, part *ownedPartition, now time.Time) {
	t.Helper()
	for part.unconfirmed && !part.scheduler.Fenced() {
		select {
		case f := <-part.events: // of the append
			f(now)
		case <-time.After(testTimeout):
			t.Fatal("the append has no result")
		}
	}
}

// partitionWithJob returns a partition of a topic of its own number that is not running, with a job that
// waits to be started.
func partitionWithJob(t *testing.T, n *Node, number int) *ownedPartition {
	t.Helper()
	part := &ownedPartition{
		node: n, number: 100 + number, store: platform.NewLog(n.settings), appendTimeout: newTimeout(minAppendTimeout), nextSequence: 1,
		log: logrus.NewEntry(logrus.StandardLogger()), events: make(chan func(time.Time), eventBuffer), done: make(chan struct{}),
		vmCalls: vmcall.NewGroup(), sessions: map[string]*vmSession{}, waiters: map[string][]*waiter{},
	}
	part.ctx, part.cancel = t.Context(), func() {}
	now := time.Now()
	part.scheduler = sched.New(1, n.policy, part.log)
	part.scheduler.SetTenure(&part.tenure)
	storeJob(t, part.scheduler, now)
	part.tenure.Confirm(now)
	return part
}

// storeJob gives a scheduler a VM and a job that waits to be started, and returns their records.
func storeJob(t *testing.T, s *sched.Scheduler, now time.Time) []site.Record {
	t.Helper()
	s.SetVMs(now, []site.VM{{ID: "vm", Born: 1, Pool: "pool", Address: "127.0.0.1:1", CPU: 8000, MemMB: 8000}})
	s.HandlePoll(now, "vm", now, &site.VMStatus{Born: 1, ClockMS: 1000})
	job := &jobs.Job{ID: "00000000000000a1", Queue: "q", Pool: "pool", Steps: []jobs.Step{{Count: 1, CPU: 1000, EstimateMS: 500}}, MaxAttempts: 1, SubmittedMS: now.UnixMilli()}
	assert.Assert(t, s.Submit(now, job).Accepted)
	f, err := s.Flush(now, 1<<20)
	assert.NilError(t, err)
	s.Flushed(f)
	return f.Records
}

// TestPausedOwnerWaitsAgainForUnverifiedVMs guards against an owner that was paused right after its claim and takes the
// VMs that it could not poll meanwhile for silent: an earlier owner that did not know of the claim may have renewed the
// leases there, so a task would run twice.
func TestPausedOwnerWaitsAgainForUnverifiedVMs(t *testing.T) {
	const lease = 4500 * time.Millisecond // and margins
	tests := []struct {
		name    string
		claimed time.Duration // before the end of the pause
		pause   time.Duration
		polled  bool // the VM that may hold a run of the earlier owner answers after the pause
		started int
	}{
		{"paused after the claim", 5 * time.Second, 5 * time.Second, false, 0},
		{"paused after the claim, VM answers", 5 * time.Second, 5 * time.Second, true, 1},
		{"leases expired before the pause", 5*time.Second + lease, 5 * time.Second, false, 1},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		part := partitionWithJob(t, c.nodes[0], 10+i)
		now := time.Now()
		status := &site.VMStatus{Born: 1, ClockMS: 1000}
		vms := []site.VM{{ID: "vm", Born: 1, Pool: "pool", Address: "127.0.0.1:1", CPU: 8000, MemMB: 8000}, {ID: "free", Born: 1, Pool: "pool", Address: "127.0.0.1:2", CPU: 8000, MemMB: 8000}}
		part.scheduler = sched.New(2, c.nodes[0].policy, part.log)
		part.scheduler.SetTenure(&part.tenure)
		part.scheduler.Restore(now.Add(-tt.claimed), 1, storeJob(t, sched.New(1, c.nodes[0].policy, part.log), now))
		part.scheduler.SetVMs(now, vms)
		part.scheduler.Decide(now.Add(-tt.pause))
		part.scheduler.HandlePoll(now, "free", now, status)
		f, err := part.scheduler.Flush(now, 1<<20)
		assert.NilError(t, err)
		part.scheduler.Flushed(f)
		part.lastRoundAt = now.Add(-tt.pause)
		part.round(t.Context(), now)
		if tt.polled {
			part.scheduler.HandlePoll(now, "vm", now, status)
		}
		awaitConfirmed(t, part, now)
		part.round(t.Context(), now.Add(idleInterval))
		assert.Equal(t, part.scheduler.Stats().Started, tt.started, tt.name)
		part.cancel()
		part.store.Close()
	}
}

// TestConfirmationBeforeSecondPauseDoesNotCount guards against an owner that is paused between the append that confirms its
// ownership and its answer, for which another entry takes over meanwhile, and that starts tasks all the same.
func TestConfirmationBeforeSecondPauseDoesNotCount(t *testing.T) {
	const pause = 4 * time.Second
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	part := partitionWithJob(t, c.nodes[0], 20)
	defer part.store.Close()
	now := time.Now()
	part.lastRoundAt = now.Add(-pause)
	part.round(t.Context(), now)
	for len(part.events) < 2 { // the answer to the append, which stays unread
		time.Sleep(time.Millisecond)
	}

	value := int64(9)
	later := &ownedPartition{node: c.nodes[0], number: part.number, store: platform.NewLog(c.nodes[0].settings), appendTimeout: newTimeout(minAppendTimeout), nextSequence: 1}
	defer later.store.Close()
	assert.NilError(t, appendClaimRecord(t.Context(), later, value, -1, epochKey, &value))
	now = now.Add(pause)
	part.scheduler.HandlePoll(now, "vm", now, &site.VMStatus{Born: 1, ClockMS: 1000 + pause.Milliseconds()})
	part.round(t.Context(), now)
	for end := time.Now().Add(testTimeout); !part.scheduler.Fenced() && time.Now().Before(end); now = now.Add(idleInterval) {
		select {
		case f := <-part.events:
			f(now)
		case <-time.After(10 * time.Millisecond):
		}
		part.round(t.Context(), now)
		assert.Equal(t, part.scheduler.Stats().Started, 0, "a task was started under a lower epoch than the later owner's")
	}
	assert.Assert(t, part.scheduler.Fenced())
}
