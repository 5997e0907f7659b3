package fleet

import (
	"encoding/json"
	"fmt"
)

// Snapshot returns the state as bytes. Two entries at the same offset return
// the same bytes.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(s)
}

// Restore returns the state that Snapshot wrote.
func Restore(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("restore snapshot: %w", err)
	}
	s.derive()
	return s, nil
}
