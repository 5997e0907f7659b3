package drive

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// formerState is what another entry finds at the address of a former owner.
type formerState int

const (
	ended   formerState = iota // a later process at its address does not own the partition
	refuses                    // connections are refused
	silent                     // connections are accepted, and no call is answered
)

// formerOwnerCase is a series of claims of a partition after the loss of its owner.
type formerOwnerCase struct {
	name   string
	former formerState
	sole   bool          // the former owner has recorded that the ones before it have ended
	claims []int         // entries that claim the partition one after the other
	owned  time.Duration // by all but the last; 0 if they end at once
	notice bool          // the last one waits until the former owner has heard of a claim
}

const ownedForLong = sched.FormerOwnerNotice + time.Second

// TestFormerOwnerIsNotForgottenByFurtherClaims guards against an owner that does not wait for one which is cut off and may
// still renew leases, since a further owner between the two, or an earlier attempt of its own, has claimed the partition.
func TestFormerOwnerIsNotForgottenByFurtherClaims(t *testing.T) {
	playClaims(t, []formerOwnerCase{
		{"former owner has ended", ended, true, []int{0}, 0, false},
		{"former owner has ended, another entry between", ended, true, []int{1, 0}, idleInterval, false},
		{"former owner has ended early, or is of the version before", ended, false, []int{0}, 0, true},
		{"former owner is silent", silent, true, []int{0}, 0, true},
		{"former owner is silent, another entry between", silent, true, []int{1, 0}, 0, true},
		{"former owner is silent, another entry between, which owned for a short time", silent, true, []int{1, 0}, idleInterval, true},
		{"former owner is silent, another entry between, which owned for long", silent, true, []int{1, 0}, ownedForLong, false},
		{"former owner is silent, answer to the claim was lost", silent, true, []int{0, 0}, 0, true},
	})
}

// TestOwnerThatRefusesConnectionsMayContinue guards against an owner that does not wait for one whose link refuses
// connections: it may still renew leases, and the task of such a run would run twice at once (review/6).
func TestOwnerThatRefusesConnectionsMayContinue(t *testing.T) {
	playClaims(t, []formerOwnerCase{
		{"one claim", refuses, true, []int{0}, 0, true},
		{"another entry between", refuses, true, []int{1, 0}, 0, true},
		{"another entry between, which owned for a short time", refuses, true, []int{1, 0}, idleInterval, true},
		{"another entry between, which owned for long", refuses, true, []int{1, 0}, ownedForLong, false},
		{"answer to the claim was lost", refuses, true, []int{0, 0}, 0, true},
	})
}

// playClaims plays the claims and checks how long the last owner waits before it starts a task of the former one.
func playClaims(t *testing.T, tests []formerOwnerCase) {
	t.Helper()
	const lease = 4 * time.Second
	c := newCluster(t, 2, map[string]int{"alpha": 1})
	vms := []site.VM{
		{ID: "vm", Born: 1, Pool: "pool", Address: "127.0.0.1:1", CPU: 8000, MemMB: 8000},
		{ID: "free", Born: 1, Pool: "pool", Address: "127.0.0.1:2", CPU: 8000, MemMB: 8000},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			switch tt.former {
			case ended:
				servePeer(t, ln, answerYield(false))
			case refuses:
				ln.Close()
			}
			defer ln.Close()
			former := partitionWithJob(t, c.nodes[0], 30+i)
			defer former.store.Close()
			storeOwnedJob(t, former, vms[:1], ln.Addr().String(), tt.sole)

			var part *ownedPartition
			for k, n := range tt.claims {
				part = partitionWithJob(t, c.nodes[n], 30+i)
				defer part.store.Close()
				assert.NilError(t, part.tryClaim(t.Context()))
				if k < len(tt.claims)-1 && tt.owned > 0 {
					own(t, part, vms, tt.owned)
				}
			}
			claimed, s := time.Now(), part.scheduler
			var waited time.Duration
			for ; s.Stats().Started == 0 && waited < 20*time.Second; waited += 50 * time.Millisecond {
				now := claimed.Add(waited)
				part.tenure.Confirm(now)
				s.SetVMs(now, vms)
				s.HandlePoll(now, "free", now, &site.VMStatus{Born: 1, ClockMS: 1000 + waited.Milliseconds()})
				f, err := s.Flush(now, 1<<20)
				assert.NilError(t, err)
				if f != nil {
					s.Flushed(f)
				}
				s.Decide(now)
			}
			assert.Equal(t, waited > lease+sched.LongestPoll, tt.notice, "a task of the former owner was started %s after the claim", waited)
		})
	}
}

// own has an owner that reaches one of its VMs make rounds for some time.
func own(t *testing.T, part *ownedPartition, vms []site.VM, length time.Duration) {
	t.Helper()
	now := time.Now()
	for end := now.Add(length); !now.After(end); now = now.Add(idleInterval) {
		part.scheduler.SetVMs(now, vms)
		part.scheduler.HandlePoll(now, "free", now, &site.VMStatus{Born: 1, ClockMS: 1000})
		part.round(t.Context(), now)
		for part.flushing {
			select {
			case f := <-part.events:
				f(now)
			case <-time.After(testTimeout):
				t.Fatal("the append has no result")
			}
		}
	}
}

// storeOwnedJob stores a partition's records as its first owner does: a job that may be running on a VM, and the owner.
func storeOwnedJob(t *testing.T, part *ownedPartition, vms []site.VM, address string, sole bool) {
	t.Helper()
	now := time.Now()
	s := sched.New(1, part.node.policy, part.log)
	s.SetVMs(now, vms)
	s.HandlePoll(now, vms[0].ID, now, &site.VMStatus{Born: 1, ClockMS: 1000})
	job := &jobs.Job{ID: "00000000000000a1", Queue: "q", Pool: "pool", Steps: []jobs.Step{{Count: 1, CPU: 1000, EstimateMS: 500}}, MaxAttempts: 1, SubmittedMS: now.UnixMilli()}
	assert.Assert(t, s.Submit(now, job).Accepted)
	f, err := s.Flush(now, 1<<20)
	assert.NilError(t, err)
	owner, err := jobs.Encode(&ownerRecord{Epoch: 1, Address: address})
	assert.NilError(t, err)
	records := append(f.Records, site.Record{Key: ownerKey, Value: owner})
	if sole {
		epoch, err := jobs.Encode(&s.Epoch)
		assert.NilError(t, err)
		records = append(records, site.Record{Key: soleOwnerKey, Value: epoch})
	}
	a := &site.Append{Partition: part.number, Epoch: 1, Sequence: 1, ExpectEnd: -1, Records: records}
	assert.NilError(t, part.store.AppendJobs(t.Context(), a, testTimeout))
}
