package drive

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testPartitions = 16

var testStart = time.UnixMilli(1_700_000_000_000)

// ownersOf returns a table in which entries with the given cores share the partitions equally.
func ownersOf(cores ...float64) *ownerTable {
	o := &ownerTable{}
	members := map[int]string{}
	for p := range testPartitions {
		if n := len(cores); n > 0 {
			members[p] = memberName(fmt.Sprintf("entry-%d", p%n), fmt.Sprintf("10.0.0.%d:7060", p%n), cores[p%n])
		}
	}
	o.setAssignment(testStart, members, testPartitions)
	return o
}

// TestShouldJoin guards against a fleet of small entries in which the first one to start owns all
// partitions and keeps them, and against small entries that take partitions from large ones.
func TestShouldJoin(t *testing.T) {
	tests := []struct {
		name     string
		owners   []float64
		cores    float64
		starting bool
		want     bool
	}{
		{"nobody owns anything", nil, 0.1, true, true},
		{"the first of equal small entries owns all", []float64{0.1}, 0.1, true, true},
		{"the first large entry owns all, others may follow", []float64{0.8}, 0.2, true, false},
		{"another large entry", []float64{0.8}, 0.8, true, true},
		{"a single large entry is left", []float64{0.8}, 0.2, false, true},
		{"large entries own two each", []float64{0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8}, 0.2, false, false},
		{"small entries own two each, a large one starts", []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, 0.8, true, true},
		{"a small entry helps a larger one that owns all", []float64{0.3}, 0.2, false, true},
	}
	for _, tt := range tests {
		self := member{address: "10.0.1.1:7060", cores: tt.cores}
		assert.Equal(t, ownersOf(tt.owners...).shouldJoin(testStart, self, testPartitions, tt.starting), tt.want, tt.name)
	}
}

// TestSmallEntryLeavesToLargeOnes guards against a small entry that keeps the partitions that it got
// after a loss of all entries. An entry that has left must have no reason to join again.
func TestSmallEntryLeavesToLargeOnes(t *testing.T) {
	self := member{address: "10.0.0.0:7060", cores: 0.2} // the first of the owners
	tests := []struct {
		name   string
		owners []float64
		want   bool
	}{
		{"large entries own the others", []float64{0.2, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8}, true},
		{"one large entry would own all", []float64{0.2, 0.8}, false},
		{"all are equal", []float64{0.2, 0.2}, false},
		{"no other", []float64{0.2}, false},
	}
	for _, tt := range tests {
		assert.Equal(t, ownersOf(tt.owners...).shouldLeave(self, testPartitions), tt.want, tt.name)
		if tt.want {
			assert.Assert(t, !ownersOf(tt.owners[1:]...).shouldJoin(testStart, self, testPartitions, false), tt.name)
		}
	}
	assert.Assert(t, firstJoinDelay(0.8) < firstJoinDelay(0.2))
}

// TestSmallEntriesWaitForLargeOnesAfterAnOutage guards against small entries that take partitions when
// an outage of the log has ended all memberships. They take them only if no large one does.
func TestSmallEntriesWaitForLargeOnesAfterAnOutage(t *testing.T) {
	small, large := member{address: "10.0.1.1:7060", cores: 0.2}, member{address: "10.0.0.1:7060", cores: 0.8}
	o := ownersOf(0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8)
	back := testStart.Add(5 * time.Second)
	o.setAssignment(back, map[int]string{0: memberName("large", large.address, large.cores)}, testPartitions)
	assert.Assert(t, !o.shouldJoin(back.Add(time.Second), small, testPartitions, false))
	assert.Assert(t, o.shouldJoin(back.Add(time.Second), large, testPartitions, false))
	assert.Assert(t, o.shouldJoin(back.Add(strongerGrace+time.Second), small, testPartitions, false))
}

func TestMemberNameRoundTrip(t *testing.T) {
	assert.Equal(t, parseMember(memberName("edge-1", "10.1.0.9:7060", 0.192)), member{address: "10.1.0.9:7060", cores: 0.192})
	assert.Equal(t, parseMember("edge-1@10.1.0.9:7060"), member{address: "10.1.0.9:7060"})
}

// TestPartitionsSettleOnce guards against partitions that the first of several entries claims and has to give to the
// others within the same second, as after a loss of all entries.
func TestPartitionsSettleOnce(t *testing.T) {
	c := newCluster(t, 3, map[string]int{"alpha": 2})
	for i := range c.nodes {
		c.kill(i)
	}
	before := c.epochs()
	time.Sleep(memberTTL) // the group forgets the entries
	c.prepare = func(n *Node) { n.settleDelay = 500 * time.Millisecond }
	for i := range c.nodes {
		c.run(i, c.nodes[i].settings)
	}
	c.await("all partitions owned", func() bool { return c.ownedPartitions() == partitions })
	for p, epoch := range c.epochs() {
		assert.Equal(t, epoch, before[p]+1, "partition %d", p)
	}
}
