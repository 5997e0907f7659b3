package drive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/moves"
	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// TestSupersededOwnerDeniesNoJob guards against an owner that is cut off for a while and then says that it knows no such
// job, which the next owner has accepted meanwhile: a cancellation would count as done although the job runs, another
// partition would accept the job once more, or its caller would take it for lost.
func TestSupersededOwnerDeniesNoJob(t *testing.T) {
	const unknown = "00000000000000b1"
	calls := []jobCall{
		{Kind: site.ShowJob, ID: unknown, BeforeSubmit: true},
		{Kind: site.ShowJob, ID: unknown},
		{Kind: site.CancelJob, ID: unknown},
	}
	tests := []struct {
		name     string
		earlier  bool // an append is on its way when the requests come
		claimed  bool // by a later owner, before the requests come
		down     bool // appends have failed for long
		outcome  site.Outcome
		lookedUp bool
	}{
		{name: "owner", outcome: site.NoSuchJob, lookedUp: true},
		{name: "owner, append under way", earlier: true, outcome: site.NoSuchJob, lookedUp: true},
		{name: "later owner", claimed: true, outcome: site.NotOwner},
		{name: "later owner, append under way", earlier: true, claimed: true, outcome: site.NotOwner},
		{name: "log down", down: true, outcome: site.NotOwner},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		part := partitionWithJob(t, c.nodes[0], 60+i)
		defer part.store.Close()
		part.lookUps = lookUps{}
		now := time.Now()
		part.lastRoundAt = now
		if tt.earlier {
			part.pendingRecords = []controlRecord{{record: site.Record{Key: ownerKey, Value: encoded(t, 1)}}}
			part.flush(now)
			awaitEvents(t, part, 1) // its answer, which is handled after the requests
		}
		if tt.claimed {
			claimLater(t, part)
		}
		if tt.down {
			part.logDownSince = now.Add(-2 * refuseJobsAfter)
		}
		waiting := make([]*waiter, len(calls))
		asked := time.Now()
		for k := range calls {
			waiting[k] = &waiter{id: unknown, isCancel: calls[k].Kind == site.CancelJob, reply: make(chan site.Reply, 1)}
			part.handle(asked, &calls[k], waiting[k])
			assert.Equal(t, len(waiting[k].reply) == 1, tt.down, "%s: answered before a confirmation", tt.name)
		}
		awaitReply(t, part, waiting[0])
		assert.Equal(t, part.scheduler.Fenced(), tt.claimed, tt.name)
		if part.scheduler.Fenced() {
			part.dropQuestions(time.Now())
		}
		for _, w := range waiting {
			select {
			case r := <-w.reply:
				assert.Equal(t, r.Outcome, tt.outcome, tt.name)
			default:
				t.Errorf("%s: no reply", tt.name)
			}
		}
		assert.Equal(t, part.lookUps.recent(time.Now(), unknown), tt.lookedUp, tt.name)
		part.cancel()
	}
}

// TestWaitingDenialFindsNewJob guards against a denial of a job that was accepted while the request waited, and against a
// request that has timed out and takes that job's submission with it.
func TestWaitingDenialFindsNewJob(t *testing.T) {
	const id = "00000000000000b1"
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	part := partitionWithJob(t, c.nodes[0], 70)
	defer part.store.Close()
	now := time.Now()
	part.lastRoundAt = now
	show := &waiter{id: id, reply: make(chan site.Reply, 1)}
	part.handle(now, &jobCall{Kind: site.ShowJob, ID: id}, show)
	lost := &waiter{id: id, reply: make(chan site.Reply, 1)}
	part.handle(now, &jobCall{Kind: site.ShowJob, ID: id}, lost)
	job := &jobs.Job{ID: id, Queue: "q", Pool: "pool", Steps: []jobs.Step{{Count: 1, CPU: 1000, EstimateMS: 500}}, MaxAttempts: 1, Stretch: 2, TargetMS: 60_000, SubmittedMS: now.UnixMilli()}
	submit := &waiter{id: id, job: job, heldTo: now.Add(time.Minute), reply: make(chan site.Reply, 1)}
	part.handle(now, &jobCall{Kind: site.SubmitJob, ID: id, Job: job}, submit)
	part.withdraw(lost)
	assert.Equal(t, (<-lost.reply).Outcome, site.Undecided)
	awaitReply(t, part, show)
	r := <-submit.reply
	assert.Equal(t, r.Outcome, site.OK, r.Reason)
	assert.Equal(t, (<-show.reply).Outcome, site.OK)
	part.cancel()
}

// awaitReply makes the rounds of a partition that does not run until a request has its reply or the partition is lost.
func awaitReply(t *testing.T, part *ownedPartition, w *waiter) {
	t.Helper()
	for end := time.Now().Add(testTimeout); len(w.reply) == 0 && !part.scheduler.Fenced(); {
		assert.Assert(t, time.Now().Before(end), "no reply")
		select {
		case f := <-part.events:
			f(time.Now())
		case <-time.After(minFlushInterval):
		}
		part.round(t.Context(), time.Now())
	}
}

// claimLater has another owner claim the partition under a higher epoch.
func claimLater(t *testing.T, part *ownedPartition) {
	t.Helper()
	value := int64(9)
	later := &ownedPartition{node: part.node, number: part.number, store: platform.NewLog(part.node.settings), appendTimeout: newTimeout(minAppendTimeout), nextSequence: 1}
	defer later.store.Close()
	assert.NilError(t, appendClaimRecord(t.Context(), later, value, -1, epochKey, &value))
}

// awaitEvents waits until a partition that does not run has n events.
func awaitEvents(t *testing.T, part *ownedPartition, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); len(part.events) < n; {
		assert.Assert(t, time.Now().Before(end), "no events")
		time.Sleep(time.Millisecond)
	}
}

func encoded(t *testing.T, epoch int64) []byte {
	t.Helper()
	data, err := jobs.Encode(&epoch)
	assert.NilError(t, err)
	return data
}

// TestExpiredOwnerCountsNoWaitingJobs guards against an owner that is cut off and goes on counting the jobs that it knows,
// while the next one accepts others: its callers take a growing queue for a short one.
func TestExpiredOwnerCountsNoWaitingJobs(t *testing.T) {
	tests := []struct {
		name    string
		at      time.Duration // since the latest confirmation
		outcome site.Outcome
	}{
		{"just confirmed", 10 * time.Millisecond, site.OK},
		{"before the end", tenure.Validity - time.Millisecond, site.OK},
		{"at the end", tenure.Validity, site.NotOwner},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		part := partitionWithJob(t, c.nodes[0], 90+i)
		defer part.store.Close()
		now := time.Now()
		part.lastRoundAt = now
		part.tenure = tenure.Tenure{ConfirmedAt: now.Add(-tt.at)}
		w := &waiter{reply: make(chan site.Reply, 1)}
		part.handle(now, &jobCall{Kind: site.CountWaiting, Access: site.Access{Queue: "q"}}, w)
		assert.Equal(t, (<-w.reply).Outcome, tt.outcome, tt.name)
	}
}

// TestSupersededOwnerNamesNoQueues guards against an owner that is cut off for a while and then names the queues of its
// jobs, without those that the next owner has accepted: an entry that starts would not look such a job up here before
// another partition accepts it once more.
func TestSupersededOwnerNamesNoQueues(t *testing.T) {
	tests := []struct {
		name    string
		claimed bool // by a later owner
		owner   bool
	}{
		{"owner", false, true},
		{"later owner", true, false},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	n := c.nodes[0]
	for i, tt := range tests {
		part := partitionWithJob(t, n, 95+i)
		defer part.store.Close()
		n.mu.Lock()
		n.partitions[part.number] = part
		n.mu.Unlock()
		if tt.claimed {
			claimLater(t, part)
		}
		var r *queuesReply
		serveWhile(t, part, func() { r, _ = n.queuesLocal(t.Context(), &queuesCall{Partition: part.number}) })
		assert.Equal(t, r.Owner, tt.owner, tt.name)
		part.cancel()
		n.removePartition(part)
	}
}

// TestSupersededMoverWritesNoWaveState guards against a mover that is cut off for a while and then tells operators that a
// wave is completed, or is not, while the next one knows better.
func TestSupersededMoverWritesNoWaveState(t *testing.T) {
	tests := []struct {
		name    string
		wave    int64
		claimed bool // by a later owner
		written bool
	}{
		{"owner", 7, false, true},
		{"later owner", 8, true, false},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		part := partitionWithJob(t, c.nodes[0], 100+i)
		defer part.store.Close()
		if tt.claimed {
			claimLater(t, part)
		}
		m := newMover(part)
		defer m.closeConns()
		m.waveStart[tt.wave], m.storedStarted[tt.wave] = time.Now(), 0
		serveWhile(t, part, func() { m.publishWaves(t.Context(), []moves.WaveState{{Number: tt.wave, Completed: true}}) })
		assert.Equal(t, c.emulator.WaveCompleted(int(tt.wave)), tt.written, tt.name)
		part.cancel()
	}
}

// serveWhile runs the goroutine of a partition that does not run until f, which runs beside it, returns or the partition is
// lost; f has to return then.
func serveWhile(t *testing.T, part *ownedPartition, f func()) {
	t.Helper()
	part.loaded = make(chan struct{})
	close(part.loaded)
	part.lastRoundAt = time.Now()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		f()
	}()
	for end := time.Now().Add(testTimeout); ; {
		assert.Assert(t, time.Now().Before(end), "no end")
		select {
		case <-returned:
			return
		case event := <-part.events:
			event(time.Now())
		case <-time.After(minFlushInterval):
		}
		part.round(t.Context(), time.Now())
		if part.scheduler.Fenced() {
			part.dropQuestions(time.Now())
		}
	}
}
