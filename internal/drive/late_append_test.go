package drive

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// TestLateAppendBesideNewOwner guards against an owner's append that the log carries out late, while another entry claims
// the partition or after it has: job states that were shown, and ends that were acknowledged, must not be undone by it,
// nor rest on it. All that knows of the ends but the log is lost.
func TestLateAppendBesideNewOwner(t *testing.T) {
	const (
		beforeRead        = iota // by the claim, of the table
		beforeFence              // and after the read
		beforeOwnerRecord        // and after the fence
		afterClaim
	)
	tests := []struct {
		name    string
		relayed bool // the log turns the owner away
		living  bool // the owner is not killed; partitions are assigned anew
		when    int  // the log carries the appends out
	}{
		{"before the fence", false, false, beforeFence},
		{"after the claim", false, false, afterClaim},
		{"relayed, before the table is read", true, false, beforeRead},
		{"relayed, before the fence", true, false, beforeFence},
		{"relayed, before the owner record", true, false, beforeOwnerRecord},
		{"relayed, after the claim", true, false, afterClaim},
		{"relayed, the owner lives, before the owner record", true, true, beforeOwnerRecord},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, map[string]int{"alpha": 2})
			ids := jobIDs(2)
			c.submit(0, ids[0], twoSteps)
			c.awaitCompleted(0, ids[0])
			owner, partition := c.owner(), c.nodes[0].partitionOf("alpha")
			epoch := c.epochs()[partition]
			var appendsOfNext atomic.Int64
			refused := false
			release := func() {
				for _, response := range c.emulator.Store.ReleaseHeld() {
					refused = refused || strings.Contains(response, "fenced")
				}
			}
			c.submit(owner, ids[1], twoSteps)
			if tt.relayed {
				c.emulator.CutOff(c.nodes[owner].settings.Entry)
			}
			c.emulator.Store.SetFaults(func(s *emul.Store) {
				s.OnAppend = func(p int, e int64) bool {
					switch {
					case p != partition || e < epoch:
						return false
					case e == epoch:
						return true
					}
					if n := int(appendsOfNext.Add(1)); n == tt.when {
						release()
					}
					return false
				}
			})
			c.await("all tasks of the first step have ended", func() bool {
				ended := 0
				for _, r := range c.emulator.Ledger.Runs() {
					if strings.HasPrefix(r.Task, ids[1]) && !r.End.IsZero() {
						ended++
					}
				}
				return ended >= 2
			})
			c.await("an append is held", func() bool { return c.emulator.Store.Held() > 0 })
			reader := (owner + 1) % len(c.nodes)
			assert.Assert(t, c.state(reader, ids[1]) != "completed", "the job is shown as completed, and its end is not stored")
			for _, vm := range c.emulator.VMs() {
				c.emulator.Crash(vm)
			}
			if tt.living {
				c.emulator.Store.Rebalance()
			} else {
				c.kill(owner)
			}
			if tt.when == beforeRead {
				release()
			}
			assert.NilError(t, c.emulator.Repair())
			c.awaitCompleted(reader, ids...)
			release()
			assert.Assert(t, tt.when < beforeOwnerRecord || refused, "no late append was refused")
			c.emulator.CutOff()
			starts, next := c.startsOf(ids[1]), c.owner()
			c.kill(next)
			last := c.owner() // knows what the log holds
			c.awaitCompleted(last, ids...)
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, c.startsOf(ids[1]), starts, "tasks of a job that was shown as completed start again")
		})
	}
}
