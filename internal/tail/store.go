// Package tail follows the control stream of the platform's log. Records that it reads from the
// log, or that peers relay, are folded in order of their offsets into the state of a Store. Log
// also appends records and returns their outcomes, and it writes and restores snapshots of the
// state, since the log keeps only the newest records.
package tail

import (
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	// minRecentRecords is the number of the newest folded records that the store keeps for peers
	// that are behind. It lets them grow to twice that number before it discards the older ones.
	minRecentRecords = 2048
	// maxOutcomes is the number of outcomes that are kept, so that Log.Append can look up the outcome
	// of its record. The oldest are discarded.
	maxOutcomes = 4096
)

// Store holds the state that the records have been folded into. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	state        *fleet.State
	recent       []fleet.LogRecord        // the newest folded records, by offset
	outcomes     map[string]fleet.Outcome // by operation id
	outcomeOrder []string                 // operation ids, oldest first
	changed      chan struct{}            // closed and replaced after each change
	lastLogRead  time.Time                // start of the newest read that reached the end of the log
	onFold       func(fleet.LogRecord, fleet.Outcome)
}

// NewStore returns a store with the empty state. onFold may be nil; it is called for each folded
// record, in order and under the store's lock, so it must not call the store.
func NewStore(onFold func(fleet.LogRecord, fleet.Outcome)) *Store {
	return &Store{
		state:    fleet.NewState(),
		outcomes: map[string]fleet.Outcome{},
		changed:  make(chan struct{}),
		onFold:   onFold,
	}
}

// View calls f with the state. f must neither retain nor modify it.
func (s *Store) View(f func(*fleet.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.state)
}

// Next returns the offset of the next record to fold.
func (s *Store) Next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Next
}

// Apply folds the records whose offset is the next one and ignores all others, so that the log and
// several peers may deliver the same records. It returns the number of records folded.
func (s *Store) Apply(records []fleet.LogRecord) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, rec := range records {
		if rec.Offset != s.state.Next {
			continue
		}
		s.fold(rec)
		n++
	}
	if n > 0 {
		s.notify()
	}
	return n
}

func (s *Store) fold(rec fleet.LogRecord) {
	out := s.state.Fold(rec)
	s.recent = append(s.recent, rec)
	if len(s.recent) > 2*minRecentRecords {
		s.recent = append([]fleet.LogRecord(nil), s.recent[minRecentRecords:]...)
	}
	if _, ok := s.outcomes[rec.OperationID]; !ok {
		s.outcomes[rec.OperationID] = out
		s.outcomeOrder = append(s.outcomeOrder, rec.OperationID)
	}
	if len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
	if s.onFold != nil {
		s.onFold(rec, out)
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Restore replaces the state by the restored one if that is newer, and reports whether it did. It
// discards the recent records, since they do not reach up to the new state.
func (s *Store) Restore(restored *fleet.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restored.Next <= s.state.Next {
		return false
	}
	s.state = restored
	s.recent = nil
	s.notify()
	return true
}

// Changed returns a channel that is closed at the next change of the state.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Since returns the folded records from an offset on, or false if the oldest of them are no
// longer kept. For an offset beyond the state it returns no records and true.
func (s *Store) Since(offset int64) ([]fleet.LogRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) == 0 || offset < s.recent[0].Offset {
		return nil, offset == s.state.Next
	}
	i := offset - s.recent[0].Offset
	if i > int64(len(s.recent)) {
		return nil, true
	}
	return append([]fleet.LogRecord(nil), s.recent[i:]...), true
}

// Outcome returns the outcome of an operation, if its record was folded recently.
func (s *Store) Outcome(operationID string) (fleet.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, ok := s.outcomes[operationID]
	return out, ok
}

// LastLogRead returns the start time of the newest read that reached the end of the log. The state
// contains all records that the log had at that time.
func (s *Store) LastLogRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLogRead
}

// RecordLogRead records that a read that began at the given time reached the end of the log.
func (s *Store) RecordLogRead(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if began.After(s.lastLogRead) {
		s.lastLogRead = began
	}
}
