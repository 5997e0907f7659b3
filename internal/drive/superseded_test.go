package drive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestPausedOwnerDeniesNoJob guards against an owner that was paused and says that it knows no such job, while a later owner
// may have accepted it: another partition would accept it once more, or its cancellation would count as done.
func TestPausedOwnerDeniesNoJob(t *testing.T) {
	const unknown = "00000000000000b1"
	calls := []struct {
		name string
		call jobCall
	}{
		{"look-up before a submission", jobCall{Kind: site.ShowJob, ID: unknown, BeforeSubmit: true}},
		{"question", jobCall{Kind: site.ShowJob, ID: unknown}},
		{"cancellation", jobCall{Kind: site.CancelJob, ID: unknown}},
	}
	tests := []struct {
		name    string
		pause   time.Duration
		round   bool // a round has seen the pause, and the log has not yet confirmed the ownership
		outcome site.Outcome
	}{
		{"usual interval", idleInterval, false, site.NoSuchJob},
		{"paused", 4 * time.Second, false, site.Undecided},
		{"paused, being confirmed", 4 * time.Second, true, site.Undecided},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		part := partitionWithJob(t, c.nodes[0], 50+i)
		defer part.store.Close()
		part.lookUps = lookUps{}
		now := time.Now()
		part.lastRoundAt = now.Add(-tt.pause)
		if tt.round {
			part.round(t.Context(), now)
		}
		for _, x := range calls {
			w := &waiter{id: x.call.ID, isCancel: x.call.Kind == site.CancelJob, reply: make(chan site.Reply, 1)}
			part.handle(now, &x.call, w)
			if tt.pause < memberTTL {
				assert.Equal(t, len(w.reply), 0, "%s, %s: answered before the log has confirmed the ownership", tt.name, x.name)
				awaitReply(t, part, w)
			}
			select {
			case r := <-w.reply:
				assert.Equal(t, r.Outcome, tt.outcome, "%s, %s", tt.name, x.name)
			default:
				t.Errorf("%s, %s: no reply", tt.name, x.name)
			}
		}
	}
}
