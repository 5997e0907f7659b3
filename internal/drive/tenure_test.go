package drive

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/moves"
	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestCutOffOwnerStopsRenewingAndStarting guards against an owner that is cut off from the job log and goes on beside the
// next one: it renews leases and starts tasks on VMs that the next one does not reach.
func TestCutOffOwnerStopsRenewingAndStarting(t *testing.T) {
	tests := []struct {
		name      string
		at        time.Duration // since the latest confirmation
		confirmed bool          // again, just before
		acts      bool
	}{
		{"just confirmed", 10 * time.Millisecond, false, true},
		{"before the end", tenure.Validity - 50*time.Millisecond, false, true},
		{"at the end", tenure.Validity, false, false},
		{"long after", 30 * time.Second, false, false},
		{"confirmed again", 30 * time.Second, true, true},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			part := partitionWithJob(t, c.nodes[0], 70+i)
			defer part.store.Close()
			confirmed := time.Now()
			part.tenure = tenure.Tenure{ConfirmedAt: confirmed}
			part.flushing = true // the log does not answer
			part.round(t.Context(), confirmed)
			assert.Equal(t, part.scheduler.Stats().Started, 1)

			now := confirmed.Add(tt.at)
			part.lastRoundAt = now
			job := &jobs.Job{ID: "00000000000000a2", Queue: "q", Pool: "pool", Steps: []jobs.Step{{Count: 1, CPU: 1000, EstimateMS: 500}}, MaxAttempts: 1, SubmittedMS: now.UnixMilli()}
			assert.Assert(t, part.scheduler.Submit(now, job).Accepted)
			f, err := part.scheduler.Flush(now, 1<<20)
			assert.NilError(t, err)
			part.scheduler.Flushed(f)
			if tt.confirmed {
				part.recordConfirmation(now, now.Add(-10*time.Millisecond))
			}
			poll := part.pollAt(now, "vm", false)
			assert.Equal(t, poll.UntilMS > 0, tt.acts, "renewal")
			part.scheduler.HandlePoll(now, "vm", now, &site.VMStatus{Born: 1, ClockMS: 1000 + tt.at.Milliseconds(), Running: []site.Run{{Task: "00000000000000a1.0.0.0", Run: 1, Percent: 50}}})
			part.round(t.Context(), now)
			assert.Equal(t, part.scheduler.Stats().Started, map[bool]int{true: 2, false: 1}[tt.acts])
		})
	}
}

// TestQuietOwnerAsksForConfirmation guards against an owner whose authority ends on a healthy day since it has nothing to
// store.
func TestQuietOwnerAsksForConfirmation(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	part := partitionWithJob(t, c.nodes[0], 80)
	defer part.store.Close()
	part.tenure = tenure.Tenure{}
	part.round(t.Context(), time.Now())
	assert.Assert(t, part.flushing)
	select {
	case f := <-part.events: // of the append
		f(time.Now())
	case <-time.After(testTimeout):
		t.Fatal("the append has no result")
	}
	assert.Assert(t, !part.tenure.Expired(time.Now()))
}

// TestExpiredCoordinatorGrantsNothing guards against a quota coordinator that is cut off from the log and goes on granting
// fractions to owners that the next one does not reach: an account would run more than its limit.
func TestExpiredCoordinatorGrantsNothing(t *testing.T) {
	tests := []struct {
		name   string
		at     time.Duration // since the latest confirmation
		grants bool
	}{
		{"just confirmed", 10 * time.Millisecond, true},
		{"at the end", tenure.Validity, false},
	}
	cfg := &site.Config{Accounts: []site.Account{{Name: "a", Weight: 1, Limit: site.Resources{CPU: 1000}}}}
	now := time.Now()
	for _, tt := range tests {
		part := &ownedPartition{}
		part.confirm(now.Add(-tt.at))
		m := &mover{part: part, quotas: newQuotaRounds(1)}
		calls := []*reportCall{{Partition: 0, Pool: "alpha"}}
		m.addQuotaRequests(now, cfg, calls)
		assert.Equal(t, calls[0].Quota != nil, tt.grants, tt.name)
	}
}

// TestClaimGivesAuthorityThatEnds guards against an owner whose claim is not bounded by a confirmation, or is never confirmed
// once it waits for that.
func TestClaimGivesAuthorityThatEnds(t *testing.T) {
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	former := partitionWithJob(t, c.nodes[0], 120)
	defer former.store.Close()
	vms := []site.VM{{ID: "free", Born: 1, Pool: "pool", Address: "127.0.0.1:2", CPU: 8000, MemMB: 8000}}
	storeOwnedJob(t, former, []site.VM{{ID: "vm", Born: 1, Pool: "pool", Address: "127.0.0.1:1", CPU: 8000, MemMB: 8000}}, "127.0.0.1:1", true)
	part := partitionWithJob(t, c.nodes[0], 120)
	defer part.store.Close()
	part.tenure = tenure.Tenure{}
	assert.NilError(t, part.tryClaim(t.Context()))
	claimed := time.Now()
	assert.Assert(t, !part.tenure.Expired(claimed))
	assert.Assert(t, part.tenure.Expired(claimed.Add(tenure.Validity)))

	decide := func(now time.Time) int {
		part.scheduler.SetVMs(now, vms)
		part.scheduler.HandlePoll(now, "free", now, &site.VMStatus{Born: 1, ClockMS: 1000 + now.Sub(claimed).Milliseconds()})
		f, err := part.scheduler.Flush(now, 1<<20)
		assert.NilError(t, err)
		if f != nil {
			part.scheduler.Flushed(f)
		}
		part.scheduler.Decide(now)
		return part.scheduler.Stats().Started
	}
	const leasesEnded = 10 * time.Second // after the claim
	assert.Equal(t, decide(claimed.Add(leasesEnded)), 0)
	part.requestConfirmation(claimed)
	assert.Equal(t, len(part.pendingRecords), 1, "the end of a wait is to be confirmed")
	part.tenure.Confirm(claimed.Add(leasesEnded))
	decide(claimed.Add(leasesEnded + idleInterval)) // the losses are stored after it
	assert.Equal(t, decide(claimed.Add(leasesEnded+2*idleInterval)), 1)
}

// TestExpiredMoverSendsNoOrder guards against an order that waits for a connection and is sent after the authority of the
// mover has ended, when the next one may have ordered the machine elsewhere.
func TestExpiredMoverSendsNoOrder(t *testing.T) {
	tests := []struct {
		name string
		at   time.Duration // since the latest confirmation
		sent bool
	}{
		{"at the end", tenure.Validity, false},
		{"just confirmed", 10 * time.Millisecond, true},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		part := partitionWithJob(t, c.nodes[0], 110+i)
		defer part.store.Close()
		m := newMover(part)
		defer m.closeConns()
		var machines []site.Machine
		c.await("machine is up in its pool", func() bool {
			var err error
			machines, err = m.fleet.Machines(t.Context())
			return err == nil && machines[0].State == site.Up && machines[0].Pool == "alpha"
		})
		part.tenure = tenure.Tenure{}
		part.confirm(time.Now().Add(-tt.at))
		m.send(t.Context(), moves.Order{Kind: moves.Move, Machine: machines[0].Name, Pool: "elsewhere"})
		assert.Equal(t, slices.Contains(c.emulator.AcceptedOrders(), machines[0].Name+" elsewhere 0"), tt.sent, tt.name)
	}
}
