package fleet

import (
	"encoding/json"
	"fmt"
)

// Snapshot encodes the state. All entries return the same bytes at the same offset.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(s)
}

// Restore decodes a state that Snapshot encoded.
func Restore(data []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("restore snapshot: %w", err)
	}
	s.rebuildCounts()
	return s, nil
}
