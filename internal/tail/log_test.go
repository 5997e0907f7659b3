package tail

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const testTimeout = time.Minute // far longer than any step of a test takes

// newLog returns a running Log on a stand-in platform that retains the given number of records, and
// a function that sets faults of the platform.
func newLog(t *testing.T, retain int) (*Log, func(faults string), context.Context) {
	t.Helper()
	h, err := stand.NewPlatform("", retain, 0).Handler()
	assert.NilError(t, err)
	server := httptest.NewServer(h)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	l := startLog(ctx, t, server.URL)
	setFaults := func(faults string) {
		res, err := server.Client().Post(server.URL+"/faults", "application/json", strings.NewReader(faults))
		assert.NilError(t, err)
		res.Body.Close()
	}
	return l, setFaults, ctx
}

// startLog returns a Log with an empty store that follows the platform's log until the context ends.
func startLog(ctx context.Context, t *testing.T, url string) *Log {
	t.Helper()
	l, err := NewLog(NewStore(nil), url)
	assert.NilError(t, err)
	go l.Run(ctx)
	return l
}

func joined(name string) fleet.Record {
	return fleet.EntryJoined{Member: fleet.Member{Name: name, Incarnation: name}}
}

// An append whose response was lost is repeated; the log must not get the record a second time.
func TestAppendWithLostResponseTakesEffectOnce(t *testing.T) {
	l, setFaults, ctx := newLog(t, 1000)
	setFaults(`{"lose-answer": 2}`)
	out, err := l.Append(ctx, "op", joined("a"))
	assert.NilError(t, err)
	assert.Assert(t, out.Applied, out.Reason)
	assert.Equal(t, l.store.Next(), int64(1), "the record must be in the log once")
}

// An append that failed during an outage of the log must succeed when it is repeated afterwards.
func TestAppendAfterAnOutage(t *testing.T) {
	l, setFaults, ctx := newLog(t, 1000)
	setFaults(`{"outage": true}`)
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err := l.Append(short, "op", joined("a"))
	assert.ErrorContains(t, err, "append op")
	setFaults(`{"outage": false}`)
	out, err := l.Append(ctx, "op", joined("a"))
	assert.NilError(t, err)
	assert.Assert(t, out.Applied)
}

// Append must not report a record as applied that the fold skipped, and must return the reason.
func TestAppendReturnsTheReasonOfASkippedRecord(t *testing.T) {
	l, _, ctx := newLog(t, 1000)
	first, err := l.Append(ctx, "op-1", fleet.ReleasePublished{Note: fleet.Note{Release: "one"}})
	assert.NilError(t, err)
	assert.Assert(t, first.Applied)
	second, err := l.Append(ctx, "op-2", fleet.ReleasePublished{Note: fleet.Note{Release: "two"}})
	assert.NilError(t, err)
	assert.Assert(t, !second.Applied)
	assert.Equal(t, second.Reason, `/based-on: based on release "", but "one" is in force`)
}

// A new entry reads a log that no longer keeps the first records, so it must start from a snapshot
// and reach the same state.
func TestNewEntryStartsFromASnapshot(t *testing.T) {
	l, _, ctx := newLog(t, 5)
	for i := range 4 {
		_, err := l.Append(ctx, fmt.Sprint("op-", i), joined(fmt.Sprint("e", i)))
		assert.NilError(t, err)
	}
	_, err := l.PublishSnapshot(ctx)
	assert.NilError(t, err)
	for i := 4; i < 8; i++ {
		_, err := l.Append(ctx, fmt.Sprint("op-", i), joined(fmt.Sprint("e", i)))
		assert.NilError(t, err)
	}
	newEntry := startLog(ctx, t, l.url)
	for newEntry.store.Next() < 8 {
		select {
		case <-newEntry.store.Changed():
		case <-ctx.Done():
			t.Fatal("the new entry did not catch up")
		}
	}
	var want, got []byte
	l.store.View(func(s *fleet.State) { want, _ = s.Snapshot() })
	newEntry.store.View(func(s *fleet.State) { got, _ = s.Snapshot() })
	assert.Equal(t, string(want), string(got))
}

// An entry that stops while it publishes a snapshot leaves an incomplete one, which must not be
// restored. Chunks may be out of order and between other records.
func TestIncompleteSnapshotsAreNotUsed(t *testing.T) {
	s := fleet.NewState()
	for i := range 3000 {
		_ = s.Apply(int64(i), joined(fmt.Sprint("entry-with-a-long-name-", i)))
	}
	s.Past = nil // remove the member lists of earlier views; the current members alone fill more than one chunk
	s.Next = 7   // identifies the snapshot below
	data, err := s.Snapshot()
	assert.NilError(t, err)
	chunks := splitSnapshot(s.Next, data)
	assert.Assert(t, len(chunks) > 1)
	record := func(c chunk) fleet.LogRecord {
		text := fmt.Sprintf(`{"next":%d,"index":%d,"count":%d,"hash":%q,"data":%q}`, c.Next, c.Index, c.Count, c.Hash, c.Data)
		return fleet.LogRecord{Data: text}
	}
	tests := []struct {
		name     string
		records  func() []fleet.LogRecord
		complete bool
	}{
		{"all chunks", func() []fleet.LogRecord { return []fleet.LogRecord{record(chunks[1]), record(chunks[0])} }, true},
		{"one is missing", func() []fleet.LogRecord { return []fleet.LogRecord{record(chunks[0])} }, false},
		{"one is damaged", func() []fleet.LogRecord {
			bad := chunks[1]
			bad.Data = "x" + bad.Data[1:]
			return []fleet.LogRecord{record(chunks[0]), record(bad)}
		}, false},
		{"other records between", func() []fleet.LogRecord {
			return []fleet.LogRecord{record(chunks[0]), {Data: "{"}, record(chunks[1])}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := newestSnapshot(tt.records())
			if !tt.complete {
				assert.ErrorIs(t, err, errNoSnapshot)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got.Next, int64(7))
		})
	}
}

// The log and several peers may deliver the same record, and a peer may deliver a record before the
// one that precedes it. If the store folded a record twice or out of order, its state would differ
// from that of other entries.
func TestRelayedRecordsAreFoldedOnce(t *testing.T) {
	s := NewStore(nil)
	data, err := fleet.Encode(joined("a"))
	assert.NilError(t, err)
	rec := fleet.LogRecord{OperationID: "op", Data: data}
	next := fleet.LogRecord{Offset: 2, OperationID: "op-2", Data: data}
	assert.Equal(t, s.Apply([]fleet.LogRecord{rec, rec, next}), 1, "a duplicate and a record after a gap must be ignored")
	assert.Equal(t, s.Next(), int64(1))
	got, ok := s.Since(0)
	assert.Assert(t, ok && len(got) == 1)
}
