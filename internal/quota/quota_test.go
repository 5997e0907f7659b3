package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// exchangeAll makes a round of a coordinator in which the owners of the given partitions reply, with
// their loads.
func exchangeAll(c *Coordinator, now time.Time, partitions []int, accounts []site.Account, owners map[int]*Holder, loads map[int][]Load) {
	requests, _ := c.Round(now, partitions, accounts)
	for n, h := range owners {
		if r := requests[n]; r != nil {
			reply := h.Handle(now, 1, r)
			reply.Loads = loads[n]
			c.HandleReply(now, n, reply)
		}
	}
}

func oneAccount() []site.Account {
	return []site.Account{{Name: "a", Weight: 1, Limit: site.Resources{CPU: limit}}}
}

// TestNewCoordinatorWaitsForAllPartitions guards against a new coordinator that allocates what a
// partition holds of which it has no reply yet, and against one that waits for ever.
func TestNewCoordinatorWaitsForAllPartitions(t *testing.T) {
	c, now, answering := NewCoordinator(1), testStart, &Holder{}
	round := func() {
		now = now.Add(150 * time.Millisecond)
		loads := []Load{{Account: "a", Demand: site.Resources{CPU: 5 * limit}}}
		exchangeAll(c, now, []int{0, 1}, oneAccount(), map[int]*Holder{0: answering}, map[int][]Load{0: loads})
	}
	for now.Sub(testStart) < UnknownAfter {
		round()
		assert.Equal(t, answering.Fraction(now, "a"), 0.0, "after %s", now.Sub(testStart))
	}
	for range 3 {
		round()
	}
	assert.Equal(t, answering.Fraction(now, "a"), 0.5, "the other partition counts with the even share")
}

// TestSilentPartitionKeepsItsCeiling guards against quota that is allocated twice when the coordinator
// cannot reach an owner that goes on starting tasks after its last reply.
func TestSilentPartitionKeepsItsCeiling(t *testing.T) {
	c, now := NewCoordinator(1), testStart
	owners := map[int]*Holder{0: {}, 1: {}}
	busy := []Load{{Account: "a", Demand: site.Resources{CPU: limit}}}
	for range 5 {
		now = now.Add(150 * time.Millisecond)
		exchangeAll(c, now, []int{0, 1}, oneAccount(), owners, map[int][]Load{0: busy})
	}
	held := owners[0].Fraction(now, "a")
	assert.Assert(t, held > 0.9)
	lost := owners[0]
	delete(owners, 0)
	for range 60 { // 9 s
		now = now.Add(150 * time.Millisecond)
		exchangeAll(c, now, []int{0, 1}, oneAccount(), owners, map[int][]Load{1: busy})
		assert.Assert(t, held+owners[1].Fraction(now, "a") <= 1+epsilon, "the silent owner may run %v", held)
	}
	assert.Equal(t, lost.Fraction(now, "a"), 0.5, "a silent owner starts within the even share")
}

// TestLostPoolReturnsItsQuota guards against quota that stays with a partition whose pools the
// configuration no longer has.
func TestLostPoolReturnsItsQuota(t *testing.T) {
	c, now := NewCoordinator(1), testStart
	owners := map[int]*Holder{0: {}, 1: {}}
	busy := map[int][]Load{0: {{Account: "a", Demand: site.Resources{CPU: limit}}}}
	for _, partitions := range [][]int{{0, 1}, {0}} {
		for range 60 {
			now = now.Add(150 * time.Millisecond)
			exchangeAll(c, now, partitions, oneAccount(), owners, busy)
		}
	}
	assert.Assert(t, owners[0].Fraction(now, "a") > 1-epsilon)
}

// BenchmarkRound measures a round of the coordinator with the replies. All accounts have work in all
// partitions, and their demand changes with each round.
func BenchmarkRound(b *testing.B) {
	for _, partitions := range []int{4, 186} {
		for _, accounts := range []int{20, 200, 770} {
			b.Run(fmt.Sprintf("accounts-%d-partitions-%d", accounts, partitions), func(b *testing.B) { benchRound(b, accounts, partitions) })
		}
	}
}

func benchRound(b *testing.B, accounts, partitions int) {
	var list []site.Account
	for i := range accounts {
		list = append(list, site.Account{Name: fmt.Sprintf("account-%03d", i), Weight: 1, Limit: site.Resources{CPU: 1_000_000}})
	}
	var numbers []int
	for p := range partitions {
		numbers = append(numbers, p)
	}
	c, now, holders := NewCoordinator(1), testStart, make([]Holder, partitions)
	round := 0
	run := func() {
		now, round = now.Add(150*time.Millisecond), round+1
		requests, _ := c.Round(now, numbers, list)
		for _, p := range numbers {
			b.StopTimer()
			reply := holders[p].Handle(now, 1, requests[p])
			for i := range accounts {
				reply.Loads = append(reply.Loads, Load{Account: list[i].Name, Used: site.Resources{CPU: 1000}, Demand: site.Resources{CPU: 10_000 * ((i*7 + p*13 + round*31) % 100)}})
			}
			b.StartTimer()
			c.HandleReply(now, p, reply)
		}
	}
	for range 3 {
		run()
	}
	b.ResetTimer()
	for range b.N {
		run()
	}
}

// TestPending guards against an owner that waits for a planning round for its first fractions, and against rounds
// without end once all owners have theirs.
func TestPending(t *testing.T) {
	c, now := NewCoordinator(1), testStart
	owners := map[int]*Holder{0: {}}
	round := func() {
		now = now.Add(40 * time.Millisecond)
		exchangeAll(c, now, []int{0, 1}, oneAccount(), owners, nil)
	}
	assert.Assert(t, c.Pending(), "before the first round")
	for range 3 {
		round()
		assert.Assert(t, c.Pending(), "the owner of partition 1 has not replied")
	}
	owners[1] = &Holder{}
	round()
	assert.Assert(t, c.Pending(), "the owner of partition 1 has replied, but holds nothing yet")
	round()
	assert.Assert(t, !c.Pending(), "all owners hold fractions")
	owners[0] = &Holder{}
	round()
	assert.Assert(t, c.Pending(), "partition 0 has an owner that holds nothing yet")
}

// TestFormerCoordinatorsGrantsEndInTime guards against quota that is allocated twice when a new coordinator does not reach
// an owner to which a former one, whose authority has not ended yet, still grants more than the even share.
func TestFormerCoordinatorsGrantsEndInTime(t *testing.T) {
	const callTimeout = 250 * time.Millisecond // for a request that the former coordinator has sent last
	former, now := NewCoordinator(1), testStart
	reached, unreached := &Holder{}, &Holder{}
	busy := []Load{{Account: "a", Demand: site.Resources{CPU: 5 * limit}}}
	for range 5 {
		now = now.Add(150 * time.Millisecond)
		exchangeAll(former, now, []int{0, 1}, oneAccount(), map[int]*Holder{0: reached, 1: unreached}, map[int][]Load{1: busy})
	}
	assert.Assert(t, unreached.Fraction(now, "a") > 0.9)
	claimed, next := now, NewCoordinator(2) // just after the former one was confirmed
	for now.Sub(claimed) < 2*UnknownAfter {
		now = now.Add(50 * time.Millisecond)
		if now.Sub(claimed) < tenure.Validity+callTimeout {
			exchangeAll(former, now, []int{0, 1}, oneAccount(), map[int]*Holder{1: unreached}, map[int][]Load{1: busy})
		}
		exchangeAll(next, now, []int{0, 1}, oneAccount(), map[int]*Holder{0: reached}, map[int][]Load{0: busy})
		sum := reached.Fraction(now, "a") + unreached.Fraction(now, "a")
		assert.Assert(t, sum <= 1+epsilon, "%f after %s", sum, now.Sub(claimed))
	}
	assert.Equal(t, reached.Fraction(now, "a"), 0.5)
}
