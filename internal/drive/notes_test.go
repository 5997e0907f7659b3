package drive

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNotesReachLivingEntry guards against notes of older entries that are lost with an entry that stops while some of
// the entries that it has heard of are down or stop too.
func TestNotesReachLivingEntry(t *testing.T) {
	id := jobIDs(1)[0]
	for _, down := range []int{0, 3, 4, 6} {
		stopping, living := peerNode(t), peerNode(t)
		stopping.shown.Record(time.Now(), 0, id)
		stopping.syncPeers.heardOf(living.address, time.Now())
		for i := range down {
			// The address is ordered before the others. Nothing listens there.
			address := net.JoinHostPort("127.0.0.1", fmt.Sprint(i+10))
			assert.Assert(t, address < living.address)
			stopping.syncPeers.heardOf(address, time.Now())
		}
		stopping.handOnShown(t.Context())
		t.Logf("%d entries down: %d notes at the living entry", down, len(living.shown.List(0)))
		if len(living.shown.List(0)) == 0 {
			t.Errorf("%d of %d known entries are down: the living one holds no note", down, down+1)
		}
	}
}
