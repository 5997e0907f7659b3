package fleet

import "fmt"

// applyJoined adds an entry. An earlier incarnation of its name has ended if the
// new one listens on its address; else both might be alive, and the majorities of
// the view before and after would not have to meet.
func (s *State) applyJoined(offset int64, r EntryJoined) error {
	m := r.Member
	if m.Name == "" || m.Incarnation == "" {
		return fmt.Errorf("entry %q of incarnation %q has no full name", m.Name, m.Incarnation)
	}
	if s.IsMember(m.Incarnation) {
		return fmt.Errorf("incarnation %q is already a member", m.Incarnation)
	}
	if old, ok := s.Members[m.Name]; ok && old.Address != m.Address {
		return fmt.Errorf("entry %q is a member at %s; it has to be removed before one at %s joins", m.Name, old.Address, m.Address)
	}
	s.closeView()
	s.Members[m.Name] = m
	s.View = offset
	return nil
}

func (s *State) applyLeft(offset int64, r EntryLeft) error {
	m, ok := s.Members[r.Name]
	if !ok || m.Incarnation != r.Incarnation {
		return fmt.Errorf("incarnation %q of entry %q is not a member", r.Incarnation, r.Name)
	}
	if len(r.Witnesses) > 0 {
		if err := s.checkWitnesses(r); err != nil {
			return err
		}
	}
	s.removeMember(offset, r.Name)
	return nil
}

// checkWitnesses admits the removal of a silent entry. A majority at the present
// view has to be in touch, so that two halves that lost each other can never
// both go on: any majority of this view meets any majority of the next.
func (s *State) checkWitnesses(r EntryLeft) error {
	if r.BasedOn != s.View {
		return fmt.Errorf("removal of entry %q is based on view %d, the view is %d", r.Name, r.BasedOn, s.View)
	}
	heard := map[string]bool{}
	for _, w := range r.Witnesses {
		if w == r.Incarnation {
			return fmt.Errorf("entry %q is a witness of its own removal", r.Name)
		}
		if s.IsMember(w) {
			heard[w] = true
		}
	}
	if 2*len(heard) <= len(s.Members) {
		return fmt.Errorf("removal of entry %q has %d witnesses of %d members, no majority", r.Name, len(heard), len(s.Members))
	}
	return nil
}

func (s *State) applyRetired(offset int64, r EntryRetired) error {
	if _, ok := s.Members[r.Name]; !ok {
		return fmt.Errorf("entry %q is not a member", r.Name)
	}
	s.removeMember(offset, r.Name)
	return nil
}

func (s *State) removeMember(offset int64, name string) {
	s.closeView()
	delete(s.Members, name)
	s.View = offset
}

// closeView remembers the present membership before it changes.
func (s *State) closeView() {
	if len(s.Members) > 0 {
		s.Past = append(s.Past, PastView{View: s.View, EndedMs: s.TimeMs, Members: s.SortedMembers()})
	}
	keep := 0
	for keep < len(s.Past) && s.Past[keep].EndedMs+ClaimRetentionMs < s.TimeMs {
		keep++
	}
	s.Past = s.Past[keep:]
}
