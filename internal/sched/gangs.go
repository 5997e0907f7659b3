package sched

import (
	"sort"
	"time"
)

// placeGang starts all tasks of a gang at once or none. It tries single racks first if the
// step requires one rack or prefers one.
func (s *Scheduler) placeGang(now time.Time, st *step, cands []*candidate) {
	var number int64
	for _, t := range st.tasks {
		if !s.startable(now, t) {
			return
		}
		number = max(number, s.nextRunNumber(t))
	}
	if !s.quotaAllows(now, st.tasks[0], len(st.tasks)) {
		return
	}
	if st.OneRack || st.Rack != "" {
		for _, rack := range racks(cands, st.Rack) {
			if s.startGang(now, st, number, onRack(cands, rack)) {
				return
			}
		}
		if st.OneRack {
			return
		}
	}
	if !s.startGang(now, st, number, cands) {
		s.recordHeld(now, st.tasks[0], cands)
	}
}

// racks returns the candidates' racks, the preferred one first.
func racks(cands []*candidate, preferred string) []string {
	var list []string
	seen := map[string]bool{}
	for _, c := range cands {
		if r := c.vm.rack(); !seen[r] {
			seen[r] = true
			list = append(list, r)
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i] == preferred && list[k] != preferred })
	return list
}

func onRack(cands []*candidate, rack string) []*candidate {
	var list []*candidate
	for _, c := range cands {
		if c.vm.rack() == rack {
			list = append(list, c)
		}
	}
	return list
}

func (s *Scheduler) startGang(now time.Time, st *step, number int64, cands []*candidate) bool {
	before := make([]candidate, len(cands))
	for i, c := range cands {
		before[i] = *c
	}
	chosen := make([]*candidate, 0, len(st.tasks))
	perVM := map[*vm]int{}
	for _, t := range st.tasks {
		var eligible []*candidate
		for _, c := range cands {
			if st.PerVM == 0 || c.vm.countSameStep(t)+perVM[c.vm] < st.PerVM {
				eligible = append(eligible, c)
			}
		}
		c := s.bestCandidate(now, t, eligible)
		if c == nil {
			for i := range cands {
				*cands[i] = before[i]
			}
			return false
		}
		s.allocate(now, t, c)
		perVM[c.vm]++
		chosen = append(chosen, c)
	}
	st.heldSince = time.Time{}
	for i, t := range st.tasks {
		s.start(now, t, chosen[i].vm, number)
	}
	return true
}
