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
	l := follow(ctx, t, server.URL)
	fault := func(faults string) {
		res, err := server.Client().Post(server.URL+"/faults", "application/json", strings.NewReader(faults))
		assert.NilError(t, err)
		res.Body.Close()
	}
	return l, fault, ctx
}

func follow(ctx context.Context, t *testing.T, url string) *Log {
	t.Helper()
	l, err := NewLog(NewStore(nil), url)
	assert.NilError(t, err)
	go l.Run(ctx)
	return l
}

func joined(name string) fleet.Record {
	return fleet.EntryJoined{Member: fleet.Member{Name: name, Incarnation: name}}
}

func TestAppendWithLostResponseTakesEffectOnce(t *testing.T) {
	l, fault, ctx := newLog(t, 1000)
	fault(`{"lose-answer": 2}`)
	out, err := l.Append(ctx, "op", joined("a"))
	assert.NilError(t, err)
	assert.Assert(t, out.Applied, out.Reason)
	assert.Equal(t, l.store.Next(), int64(1), "the record must be in the log once")
}

func TestAppendAfterAnOutage(t *testing.T) {
	l, fault, ctx := newLog(t, 1000)
	fault(`{"outage": true}`)
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err := l.Append(short, "op", joined("a"))
	assert.ErrorContains(t, err, "append op")
	fault(`{"outage": false}`)
	out, err := l.Append(ctx, "op", joined("a"))
	assert.NilError(t, err)
	assert.Assert(t, out.Applied)
}

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
	late := follow(ctx, t, l.url)
	for late.store.Next() < 8 {
		select {
		case <-late.store.Changed():
		case <-ctx.Done():
			t.Fatal("the new entry did not catch up")
		}
	}
	var one, two []byte
	l.store.View(func(s *fleet.State) { one, _ = s.Snapshot() })
	late.store.View(func(s *fleet.State) { two, _ = s.Snapshot() })
	assert.Equal(t, string(one), string(two))
}

func TestIncompleteSnapshotsAreNotUsed(t *testing.T) {
	s := fleet.NewState()
	for i := range 3000 {
		_ = s.Apply(int64(i), joined(fmt.Sprint("entry-with-a-long-name-", i)))
	}
	s.Past = nil
	s.Next = 7
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
