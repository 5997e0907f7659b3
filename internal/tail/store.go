// Package tail keeps the folded state of the control stream current: it reads
// the platform's log, takes records that peers relay, appends records, and
// tells writers what became of them.
package tail

import (
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	// recentRecords is how many folded records are kept for peers that are behind.
	recentRecords = 2048
	// recentOutcomes is how many outcomes are kept for writers that ask late.
	recentOutcomes = 4096
)

// Store holds the folded state. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	state    *fleet.State
	recent   []fleet.LogRecord // the newest folded records, in order
	outcomes map[string]fleet.Outcome
	order    []string
	changed  chan struct{} // closed and replaced after each batch
	logSeen  time.Time     // start of the last read that the log answered
	onFold   func(fleet.LogRecord, fleet.Outcome)
}

// NewStore returns a store before the first record. onFold is called in order
// for each folded record and must not call the store.
func NewStore(onFold func(fleet.LogRecord, fleet.Outcome)) *Store {
	return &Store{
		state:    fleet.NewState(),
		outcomes: map[string]fleet.Outcome{},
		changed:  make(chan struct{}),
		onFold:   onFold,
	}
}

// View runs f on the state. f must neither keep nor change it.
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

// Apply folds the records that follow the state and ignores all others, so that
// the log and several peers may deliver the same ones.
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
	if len(s.recent) > 2*recentRecords {
		s.recent = append([]fleet.LogRecord(nil), s.recent[recentRecords:]...)
	}
	if _, ok := s.outcomes[rec.OperationID]; !ok {
		s.outcomes[rec.OperationID] = out
		s.order = append(s.order, rec.OperationID)
	}
	if len(s.order) > recentOutcomes {
		delete(s.outcomes, s.order[0])
		s.order = s.order[1:]
	}
	if s.onFold != nil {
		s.onFold(rec, out)
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Restore replaces the state by a newer one.
func (s *Store) Restore(next *fleet.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Next <= s.state.Next {
		return false
	}
	s.state = next
	s.recent = nil
	s.notify()
	return true
}

// Changed returns a channel that is closed after the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Since returns recent records from an offset on, or false if they are no
// longer kept.
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

// Outcome returns what became of an operation, if it has been folded recently.
func (s *Store) Outcome(operationID string) (fleet.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, ok := s.outcomes[operationID]
	return out, ok
}

// LastLogRead returns the start of the last read that the log answered.
func (s *Store) LastLogRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logSeen
}

// SawLog notes that the log answered a read that began at the given time.
func (s *Store) SawLog(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if began.After(s.logSeen) {
		s.logSeen = began
	}
}
