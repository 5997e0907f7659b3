package fleet

import (
	"fmt"
	"maps"
	"slices"
)

// PlanNote describes the changes that a note would make. It also lists the pools that
// would have no more serving VMs than their availability budget, so that no VM of them
// could leave service for a move or a wave. Both are nil for a note that CheckNote rejects.
func (s *State) PlanNote(n Note) (changes, atBudget []string) {
	next, err := s.withNote(s.Next, n)
	if err != nil {
		return nil, nil
	}
	changes = append(changes, diff("pool", s.Pools, next.Pools)...)
	changes = append(changes, diff("service", s.Services, next.Services)...)
	changes = append(changes, diff("VM", s.VMs, next.VMs)...)
	for name, w := range next.Waves {
		if _, ok := s.Waves[name]; !ok {
			changes = append(changes, fmt.Sprintf("wave %s over %v, %d at once: added", name, w.Pools, w.AtOnce))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(next.Pools)) {
		_, serving := next.PoolCount(name)
		if need := next.MinServing(name); need > 0 && serving <= need {
			atBudget = append(atBudget, fmt.Sprintf("pool %s: %d VMs serve, its budget is %d", name, serving, need))
		}
	}
	return changes, atBudget
}

// diff describes the items that were added, changed or withdrawn between two maps,
// sorted by name; withdrawn ones come last.
func diff[T comparable](kind string, before, after map[string]T) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(after)) {
		old, ok := before[name]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s %s: added", kind, name))
		case old != after[name]:
			out = append(out, fmt.Sprintf("%s %s: changed", kind, name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			out = append(out, fmt.Sprintf("%s %s: withdrawn", kind, name))
		}
	}
	return out
}
