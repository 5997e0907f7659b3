package fleet

import (
	"fmt"
	"maps"
	"slices"
)

// PlanNote lists what a note that CheckNote accepts would change, and the pools
// that would have no VM to spare for a move or a wave.
func (s *State) PlanNote(n Note) (changes, tight []string) {
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
			tight = append(tight, fmt.Sprintf("pool %s: %d VMs serve, its budget is %d", name, serving, need))
		}
	}
	return changes, tight
}

// diff describes the items of two maps that differ, in order of their names.
func diff[T comparable](what string, before, after map[string]T) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(after)) {
		old, ok := before[name]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s %s: added", what, name))
		case old != after[name]:
			out = append(out, fmt.Sprintf("%s %s: changed", what, name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			out = append(out, fmt.Sprintf("%s %s: withdrawn", what, name))
		}
	}
	return out
}
