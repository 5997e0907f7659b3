package moves

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestLives guards against incarnations that are taken for ended though their VMs run, which would start
// their tasks twice, and against ends that go unseen.
func TestLives(t *testing.T) {
	up := func(vm string) site.Machine { return site.Machine{Name: "m", Pool: "pool", State: site.Up, VM: vm} }
	down := site.Machine{Name: "m", Pool: "pool", State: site.Down}
	tests := []struct {
		name     string
		views    [][]site.Machine // one a second
		want     string
		unlisted bool // the VM list does not contain the VM
	}{
		{"stays up", [][]site.Machine{{up("i-1")}, {up("i-1")}}, "", false},
		{"goes down", [][]site.Machine{{up("i-1")}, {down}}, "i-1", false},
		{"is back at the next look", [][]site.Machine{{up("i-1")}, {up("i-2")}}, "i-1", false},
		{"down from the start", [][]site.Machine{{down}, {up("i-1")}}, "", false},
		{"moves", [][]site.Machine{{up("i-1")}, {{Name: "m", Pool: "pool", State: site.Moving}}}, "", false},
		{"is missing", [][]site.Machine{{up("i-1")}, {}}, "", false},
		{"unknown state with a VM", [][]site.Machine{{up("i-1")}, {{Name: "m", Pool: "pool", VM: "i-1"}}}, "", false},
		{"start not known", [][]site.Machine{{up("i-1")}, {down}}, "", true},
		{"long ago", [][]site.Machine{{up("i-1")}, {down}, {down}, {down}, {down}}, "", false},
	}
	for _, tt := range tests {
		var l Lives
		born := map[string]int64{"i-1": 7, "i-2": 8}
		if tt.unlisted {
			born = nil
		}
		for i, view := range tt.views {
			l.Observe(time.Unix(int64(i), 0), view, func(vm string) int64 { return born[vm] })
		}
		got := ""
		now := time.Unix(int64(len(tt.views)), 0)
		for _, e := range l.Ended(now, "pool") {
			got += e.VM
			assert.Equal(t, e.Born, born[e.VM], tt.name)
			assert.Assert(t, e.AgeMS >= 1000, "%s: the last inventory was read a second ago", tt.name)
		}
		assert.Equal(t, got, tt.want, tt.name)
		assert.Equal(t, len(l.Ended(now, "other")), 0, tt.name)
	}
}

// TestLivesKeepsTheStart guards against a start that is read from the VM list after the next incarnation has
// begun under the same identifier: its runs would be released with those of the one that has ended.
func TestLivesKeepsTheStart(t *testing.T) {
	var l Lives
	machine := site.Machine{Name: "m", Pool: "pool", State: site.Up, VM: "i-1"}
	l.Observe(time.Unix(0, 0), []site.Machine{machine}, func(string) int64 { return 7 })
	l.Observe(time.Unix(1, 0), []site.Machine{machine}, func(string) int64 { return 9 })
	l.Observe(time.Unix(2, 0), []site.Machine{{Name: "m", Pool: "pool"}}, func(string) int64 { return 9 })
	assert.DeepEqual(t, l.Ended(time.Unix(3, 0), "pool"), []site.Incarnation{{VM: "i-1", Born: 7, AgeMS: 1000}})
}
