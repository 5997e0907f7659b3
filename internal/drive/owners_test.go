package drive

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestShouldJoin guards against a fleet of small entries in which the first one to start owns all
// partitions and keeps them, and against small entries that take partitions from large ones.
func TestShouldJoin(t *testing.T) {
	const partitions = 16
	tests := []struct {
		name     string
		owners   []float64 // cores of the entries that share the partitions equally
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
		o := &ownerTable{}
		members := map[int]string{}
		for p := range partitions {
			if n := len(tt.owners); n > 0 {
				members[p] = memberName(fmt.Sprintf("entry-%d", p%n), fmt.Sprintf("10.0.0.%d:7060", p%n), tt.owners[p%n])
			}
		}
		o.setAssignment(members)
		assert.Equal(t, o.shouldJoin(tt.cores, partitions, tt.starting), tt.want, tt.name)
	}
}

func TestMemberNameRoundTrip(t *testing.T) {
	assert.Equal(t, parseMember(memberName("edge-1", "10.1.0.9:7060", 0.192)), member{address: "10.1.0.9:7060", cores: 0.192})
	assert.Equal(t, parseMember("edge-1@10.1.0.9:7060"), member{address: "10.1.0.9:7060"})
}
