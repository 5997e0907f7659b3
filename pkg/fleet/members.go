package fleet

import "fmt"

// applyJoined adds an entry to the membership. If a member has the same name, the entry
// replaces it only if it listens on the same address, which proves that the earlier
// incarnation has ended. Otherwise both might be alive, and a majority of the view before
// might not intersect a majority of the view after.
func (s *State) applyJoined(offset int64, r EntryJoined) error {
	m := r.Member
	if m.Name == "" || m.Incarnation == "" {
		return fmt.Errorf("entry name %q and incarnation %q: both are required", m.Name, m.Incarnation)
	}
	if s.IsMember(m.Incarnation) {
		return fmt.Errorf("incarnation %q is already a member", m.Incarnation)
	}
	if old, ok := s.Members[m.Name]; ok && old.Address != m.Address {
		return fmt.Errorf("entry %q is a member at %s; it must be removed before an entry at %s can join under this name", m.Name, old.Address, m.Address)
	}
	s.archiveView()
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

// checkWitnesses checks the removal of a silent entry. Witnesses from a majority of the
// current view are required, so that at most one side of a network partition can
// continue: any majority of this view intersects any majority of the next one.
func (s *State) checkWitnesses(r EntryLeft) error {
	if r.BasedOn != s.View {
		return fmt.Errorf("removal of entry %q is based on view %d, the current view is %d", r.Name, r.BasedOn, s.View)
	}
	witnesses := map[string]bool{}
	for _, w := range r.Witnesses {
		if w == r.Incarnation {
			return fmt.Errorf("entry %q is a witness of its own removal", r.Name)
		}
		if s.IsMember(w) {
			witnesses[w] = true
		}
	}
	if 2*len(witnesses) <= len(s.Members) {
		return fmt.Errorf("removal of entry %q has %d witnesses of %d members, which is not a majority", r.Name, len(witnesses), len(s.Members))
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
	s.archiveView()
	delete(s.Members, name)
	s.View = offset
}

// archiveView adds the current membership to Past before it changes, and drops past
// views that ended more than ClaimRetentionMs ago.
func (s *State) archiveView() {
	if len(s.Members) > 0 {
		s.Past = append(s.Past, PastView{View: s.View, EndedMs: s.TimeMs, Members: s.SortedMembers()})
	}
	expired := 0
	for expired < len(s.Past) && s.Past[expired].EndedMs+ClaimRetentionMs < s.TimeMs {
		expired++
	}
	s.Past = s.Past[expired:]
}
