package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLoadSizes(t *testing.T) {
	tests := []struct {
		name     string
		load     Load
		machines map[string]int
		pools    []string // of the queues
		fails    bool
	}{
		{"short form", Load{}, map[string]int{"alpha": 4, "delta": 4, "rest": 3}, []string{"alpha", "delta"}, false},
		{"large form", Load{VMs: 48, Pools: 3}, map[string]int{"alpha": 12, "delta": 12, "omega": 12, "rest": 12}, []string{"alpha", "delta", "omega"}, false},
		{"a size for each pool", Load{PoolSizes: []int{9, 11, 8}, Queues: 3}, map[string]int{"alpha": 9, "delta": 11, "rest": 8}, []string{"alpha", "delta", "alpha"}, false},
		{"the spare pool alone", Load{PoolSizes: []int{9}}, nil, nil, true},
		{"too many pools", Load{Pools: 6}, nil, nil, true},
		{"unknown loss of entries", Load{Outages: 1, LoseEntries: "some", LoseVMs: "all"}, nil, nil, true},
		{"unknown loss of VMs", Load{Outages: 1, LoseEntries: "all", LoseVMs: "some"}, nil, nil, true},
		{"unknown links to cut", Load{Cuts: 1, CutLinks: "some"}, nil, nil, true},
		{"unknown VMs of a cut", Load{Cuts: 1, CutVMs: "some"}, nil, nil, true},
		{"cuts", Load{Cuts: 1, CutLinks: "log", CutVMs: "split"}, map[string]int{"alpha": 4, "delta": 4, "rest": 3}, []string{"alpha", "delta"}, false},
		{"outages", Load{Outages: 1, LoseEntries: "all", LoseVMs: "none"}, map[string]int{"alpha": 4, "delta": 4, "rest": 3}, []string{"alpha", "delta"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.load.fill()
			if tt.fails {
				assert.Assert(t, err != nil)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, tt.load.machines(), tt.machines)
			var pools []string
			for _, q := range tt.load.queues() {
				pools = append(pools, q.Pool)
			}
			assert.DeepEqual(t, pools, tt.pools)
		})
	}
}
