package moves

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestMissingVMs guards against a VM that is taken for ended while a machine has it, in whatever state.
func TestMissingVMs(t *testing.T) {
	machines := []site.Machine{{Name: "m1", VM: "a", State: site.Up}, {Name: "m2", State: site.Down}, {Name: "m3", VM: "c", State: site.Down}}
	tests := []struct {
		name     string
		vms      []string
		machines []site.Machine
		want     int
	}{
		{"up", []string{"a"}, machines, 0},
		{"down, its machine still names it", []string{"c"}, machines, 0},
		{"of no machine", []string{"b"}, machines, 1},
		{"several", []string{"a", "b", "c", "d"}, machines, 2},
		{"none", nil, machines, 0},
	}
	for _, tt := range tests {
		assert.Equal(t, len(Missing(tt.vms, tt.machines)), tt.want, tt.name)
	}
}
