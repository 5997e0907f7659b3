package drive

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/relay"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// TestOwnerStoresThroughAnotherEntry guards against jobs that wait, and ends that stay unstored, while the log turns
// the owner alone away: the owner has to store both under its own epoch, and to leave a handover record.
func TestOwnerStoresThroughAnotherEntry(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	ids := jobIDs(2)
	c.submit(0, ids[0], twoSteps)
	owner := c.owner()
	partition := c.nodes[0].partitionOf("alpha")
	epoch := c.epochs()[partition]
	c.emulator.CutOff(c.nodes[owner].settings.Entry)
	status, body := c.call(owner, http.MethodPost, "/q/"+ids[1], twoSteps)
	assert.Equal(t, status, http.StatusOK, body)
	assert.Equal(t, c.epochs()[partition], epoch, "another entry has taken over")
	c.awaitCompleted((owner+1)%3, ids...)
	c.await("a new owner", func() bool { return c.epochs()[partition] > epoch })
	next := c.nodes[c.owner()].lookupPartition(partition)
	inherited, err := runOnPartition(t.Context(), next, func(part *ownedPartition, _ time.Time) *bool {
		inherited := part.scheduler.Inherited()
		return &inherited
	})
	assert.NilError(t, err)
	assert.Assert(t, *inherited, "the former owner has left no handover record")
}

// relayNode returns an entry that relays appends, with the time of the log's last answer to it, and its address at
// the emulated log.
func relayNode(t *testing.T, emulator *emul.Platform, name string, answeredAt time.Time) *Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	logAddress, err := emulator.LogAddress(name)
	assert.NilError(t, err)
	n := New(&site.Settings{Entry: name, IP: "127.0.0.1", Ports: []int{ln.Addr().(*net.TCPAddr).Port, 0}, Log: site.LogSettings{Address: logAddress, Partitions: partitions}})
	n.logAnsweredAt.Store(answeredAt.UnixNano())
	ps := peer.NewServer(func() []string { return nil })
	n.handleRelayCalls(ps)
	go func() { _ = ps.Serve(t.Context(), ln) }()
	t.Cleanup(func() { ps.Close(); n.closeRelayLogs() })
	return n
}

// TestRelayedAppend guards against an append that is taken for refused although another entry may have sent it, which
// would give its sequence number to other records, against calls to a log that is away for all, and against an entry
// of an earlier version whose answer is taken for the log's.
func TestRelayedAppend(t *testing.T) {
	tests := []struct {
		name     string
		fail     func(s *emul.Store) // the log, for the entry that relays
		answered time.Duration       // before now, when it last answered that entry
		earlier  bool                // that entry knows no relayed appends
		stored   bool
		notDone  bool // nothing was stored, for certain
		appends  int  // calls that reach the log
	}{
		{"stored", func(*emul.Store) {}, 0, false, true, false, 1},
		{"the log refuses", func(s *emul.Store) { s.Down = true }, 0, false, false, true, 0},
		{"the log does not answer", func(s *emul.Store) { s.Silent = true }, 0, false, false, false, 0},
		{"the answer is lost", func(s *emul.Store) { s.LoseNextReply = true }, 0, false, false, false, 1},
		{"the log is away for the entry too", func(*emul.Store) {}, time.Minute, false, false, true, 0},
		{"entry of an earlier version", func(*emul.Store) {}, 0, true, false, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			emulator, err := emul.NewPlatform(map[string]int{"alpha": 1}, 300*time.Millisecond)
			assert.NilError(t, err)
			defer emulator.Close()
			helper := relayNode(t, emulator, "helper", time.Now().Add(-tt.answered))
			if tt.earlier {
				helper = peerNode(t)
			}
			away := relayNode(t, emulator, "away", time.Time{}) // the log serves it no more than the owner
			owner := relayNode(t, emulator, "owner", time.Time{})
			emulator.CutOff("owner")
			owner.syncPeers.heardOf(helper.address, time.Now())
			owner.syncPeers.heardOf(away.address, time.Now())
			part := &ownedPartition{
				node: owner, number: 1, log: logrus.WithField("partition", 1), store: platform.NewLog(owner.settings), appendTimeout: newTimeout(minAppendTimeout),
				scheduler: sched.New(1, owner.policy, logrus.WithField("partition", 1)), ctx: t.Context(), events: make(chan func(time.Time), eventBuffer), done: make(chan struct{}),
			}
			defer part.store.Close()
			emulator.Store.SetFaults(tt.fail)
			a := &site.Append{Partition: 1, Epoch: 1, Sequence: 7, ExpectEnd: -1, Records: []site.Record{{Key: "k", Value: []byte("v")}, {Key: "tombstone"}}}
			err = part.attempt(t.Context(), a, &attempts{})
			assert.Equal(t, err == nil, tt.stored, "%v", err)
			assert.Equal(t, errors.Is(err, site.ErrNotDone), tt.notDone, "%v", err)
			if tt.stored {
				assert.Equal(t, string(emulator.Store.JobRecord(1, "k")), "v")
			}
			emulator.Store.SetFaults(func(s *emul.Store) { assert.Equal(t, s.Appends, tt.appends) })
		})
	}
}

// TestLessCertain guards against two ways of an append of which the certain refusal of one hides that the other may
// have stored it.
func TestLessCertain(t *testing.T) {
	unanswered := errors.New("no answer")
	tests := []struct {
		name            string
		relayed, direct error
		notDone         bool
	}{
		{"both refused", site.ErrNotDone, site.ErrNotDone, true},
		{"relay unanswered", unanswered, site.ErrNotDone, false},
		{"log unanswered", site.ErrNotDone, unanswered, false},
		{"both unanswered", unanswered, unanswered, false},
	}
	for _, tt := range tests {
		assert.Equal(t, errors.Is(lessCertain(tt.relayed, tt.direct), site.ErrNotDone), tt.notDone, tt.name)
	}
}

// TestDoubtfulAppendKeepsItsNumber guards against a flush that returns to the scheduler while a relay's call may still
// be carried out: its sequence number would go to other records, for which the log would answer with the success of the
// earlier ones.
func TestDoubtfulAppendKeepsItsNumber(t *testing.T) {
	tests := []struct {
		name     string
		inDoubt  bool // another entry sends the append, and the log leaves it unanswered
		requeued bool // the flush returns to the scheduler
	}{
		{"refused on both ways", false, true},
		{"refused by the log, in doubt with the relay", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			emulator, err := emul.NewPlatform(map[string]int{"alpha": 1}, 300*time.Millisecond)
			assert.NilError(t, err)
			defer emulator.Close()
			answeredAt := time.Time{}
			if tt.inDoubt {
				answeredAt = time.Now()
			}
			helper, owner := relayNode(t, emulator, "helper", answeredAt), relayNode(t, emulator, "owner", time.Time{})
			emulator.CutOff("owner")
			owner.syncPeers.heardOf(helper.address, time.Now())
			part := partitionWithJob(t, owner, 0)
			part.number = 1
			defer part.store.Close()
			emulator.Store.SetFaults(func(s *emul.Store) { s.OnAppend = func(int, int64) bool { return true } })
			const seq = 7
			part.flushing, part.nextSequence = true, seq+1
			f, err := part.scheduler.Flush(time.Now(), 1<<20)
			assert.NilError(t, err)
			if f == nil {
				f = &sched.Flush{}
			}
			f.Records = append(f.Records, site.Record{Key: "k", Value: []byte("v")})
			go part.append(f, nil, seq)
			handleEvents := func(until func() bool) {
				for end := time.Now().Add(4 * requeueAfter); time.Now().Before(end) && !until(); {
					select {
					case event := <-part.events:
						event(time.Now())
					case <-time.After(10 * time.Millisecond):
					}
				}
			}
			handleEvents(func() bool { return !part.flushing })
			assert.Equal(t, !part.flushing, tt.requeued)
			if tt.requeued {
				assert.Equal(t, part.nextSequence, int64(seq))
				return
			}
			emulator.Store.SetFaults(func(s *emul.Store) { s.OnAppend = nil })
			emulator.Store.ReleaseHeld()
			emulator.CutOff()
			handleEvents(func() bool { return !part.flushing })
			assert.Assert(t, !part.flushing, "the append has no result")
			assert.Equal(t, part.nextSequence, int64(seq+1))
			table, err := part.store.JobTable(t.Context(), part.number)
			assert.NilError(t, err)
			assert.Equal(t, table.End, int64(1), "the records are stored once")
		})
	}
}

// TestUnknownRelayOutcomeIsInDoubt guards against an outcome of a later version that is taken for a refusal: the sequence
// number would go to other records, which the log would take for a repeat.
func TestUnknownRelayOutcomeIsInDoubt(t *testing.T) {
	tests := []struct {
		outcome relay.Outcome
		notDone bool
	}{
		{relay.Ready, true},
		{relay.LogFails, true},
		{relay.Refused, true},
		{relay.Unreachable, true},
		{relay.Unsupported, true},
		{relay.Unanswered, false},
		{relay.Fenced, false},
		{relay.OutOfSequence, false},
		{relay.Unsupported + 1, false},
		{-1, false},
	}
	for _, tt := range tests {
		err := relayError(tt.outcome)
		assert.Assert(t, err != nil, tt.outcome)
		assert.Equal(t, errors.Is(err, site.ErrNotDone), tt.notDone, tt.outcome)
	}
	assert.NilError(t, relayError(relay.Stored))
}
