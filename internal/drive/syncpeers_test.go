package drive

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNextSyncPeer guards against an entry that asks the same uninformed or silent peers again while
// others could help, and against an entry that the log accepts and that asks others than owners.
func TestNextSyncPeer(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name     string
		owners   []string
		rejected bool
		prepare  func(s *syncPeers)
		want     string
	}{
		{"none is known", nil, true, func(*syncPeers) {}, ""},
		{"owners in turn", []string{"a", "b"}, false, func(s *syncPeers) {
			s.recordCall("a", ago(time.Second), true, ago(time.Second))
			s.recordCall("b", ago(2*time.Second), true, ago(time.Hour))
		}, "b"},
		{"only owners while the log answers", []string{"a"}, false, func(s *syncPeers) {
			s.recordCall("a", ago(time.Second), true, ago(time.Second))
			s.heardOf("b", now)
		}, "a"},
		{"one that was heard of", []string{"a"}, true, func(s *syncPeers) {
			s.recordCall("a", ago(time.Second), true, ago(time.Second))
			s.heardOf("b", now)
		}, "b"},
		{"not one without an answer", []string{"a", "b"}, true, func(s *syncPeers) {
			s.recordCall("a", ago(time.Second), false, time.Time{})
			s.recordCall("b", ago(500*time.Millisecond), true, ago(600*time.Millisecond))
		}, "b"},
		{"not an uninformed one", []string{"a", "b"}, true, func(s *syncPeers) {
			s.recordCall("a", ago(time.Second), true, ago(4*time.Second))
			s.recordCall("b", ago(500*time.Millisecond), true, ago(600*time.Millisecond))
		}, "b"},
		{"an uninformed one after a while", []string{"a", "b"}, true, func(s *syncPeers) {
			s.recordCall("a", ago(3*time.Second), true, ago(7*time.Second))
			s.recordCall("b", ago(500*time.Millisecond), true, ago(600*time.Millisecond))
		}, "a"},
		{"the only one", []string{"a"}, true, func(s *syncPeers) {
			s.recordCall("a", ago(time.Second), false, time.Time{})
		}, "a"},
	}
	for _, tt := range tests {
		var s syncPeers
		tt.prepare(&s)
		assert.Equal(t, s.next(now, tt.owners, tt.rejected), tt.want, tt.name)
	}
}

// TestSyncPeersAreBounded guards against memory and replies that grow with the number of entries
// that ever called.
func TestSyncPeersAreBounded(t *testing.T) {
	var s syncPeers
	now := time.Now()
	for i := range 1000 {
		s.heardOf(fmt.Sprint(i), now.Add(time.Duration(i-1000)*time.Millisecond))
	}
	assert.Equal(t, len(s.known), maxSyncPeers)
	assert.DeepEqual(t, s.namePeers(now, "999"), map[string]int64{"998": 2, "997": 3, "996": 4, "995": 5})
	assert.DeepEqual(t, s.namePeers(now, "998"), map[string]int64{"999": 1, "994": 6, "993": 7, "992": 8}) // each is named in turn
	assert.Equal(t, len(s.namePeers(now.Add(namedWithin), "")), 0)
}
