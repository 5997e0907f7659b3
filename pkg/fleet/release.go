package fleet

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// Note is a release note: the pools, services, VMs and waves that an operator adds,
// changes and withdraws.
type Note struct {
	Release   string    `json:"release"`
	BasedOn   string    `json:"based-on"` // release that must be in force when the note is applied; empty for the first note
	Added     Items     `json:"added,omitzero"`
	Changed   Items     `json:"changed,omitzero"`
	Withdrawn Withdrawn `json:"withdrawn,omitzero"`
}

// Items are complete definitions; a changed item replaces the earlier definition.
type Items struct {
	OlderSystem string    `json:"older-system,omitempty"` // IP address and port
	Pools       []Pool    `json:"pools,omitempty"`
	Services    []Service `json:"services,omitempty"`
	VMs         []VM      `json:"vms,omitempty"`
	Waves       []Wave    `json:"waves,omitempty"`
}

// Withdrawn names the items that a release removes.
type Withdrawn struct {
	Pools    []string `json:"pools,omitempty"`
	Services []string `json:"services,omitempty"`
	VMs      []string `json:"vms,omitempty"`
	Waves    []string `json:"waves,omitempty"`
}

// NoteError is the reason why a note is rejected and its location in the note.
type NoteError struct {
	Pointer string // JSON pointer into the note, such as /added/vms/3/pool
	Reason  string
}

// Error returns the pointer and the reason.
func (e *NoteError) Error() string { return e.Pointer + ": " + e.Reason }

func noteErrorf(pointer, format string, args ...any) error {
	return &NoteError{Pointer: pointer, Reason: fmt.Sprintf(format, args...)}
}

// CheckNote returns an error if the note cannot be put in force on this state. It does
// not change the state.
func (s *State) CheckNote(n Note) error {
	_, err := s.withNote(0, n)
	return err
}

func (s *State) applyNote(offset int64, n Note) error {
	next, err := s.withNote(offset, n)
	if err != nil {
		return err
	}
	s.Pools, s.Services, s.VMs, s.Waves, s.Older = next.Pools, next.Services, next.VMs, next.Waves, next.Older
	s.Release = n.Release
	s.Releases = offset
	s.rebuildCounts()
	return nil
}

// withNote returns the pools, services, VMs, waves and older system's address that result
// from applying the note. The other fields of the returned state are not set.
func (s *State) withNote(offset int64, n Note) (*State, error) {
	if n.Release == "" || n.Release == s.Release {
		return nil, noteErrorf("/release", "release name %q is empty or already in force", n.Release)
	}
	if n.BasedOn != s.Release {
		return nil, noteErrorf("/based-on", "based on release %q, but %q is in force", n.BasedOn, s.Release)
	}
	next := &State{
		Pools: maps.Clone(s.Pools), Services: maps.Clone(s.Services), VMs: maps.Clone(s.VMs),
		Waves: maps.Clone(s.Waves), Older: s.Older,
	}
	steps := []func() error{
		func() error { return next.withdraw(n.Withdrawn) },
		func() error { return next.put("/added", n.Added, offset, false) },
		func() error { return next.put("/changed", n.Changed, offset, true) },
		func() error { return next.checkConsistency(n) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (s *State) withdraw(w Withdrawn) error {
	for i, name := range w.VMs {
		pointer := fmt.Sprintf("/withdrawn/vms/%d", i)
		vm, ok := s.VMs[name]
		if !ok {
			return noteErrorf(pointer, "VM %q does not exist", name)
		}
		if vm.Phase == Moving || vm.Phase == Maintenance {
			return noteErrorf(pointer, "VM %q is in phase %s", name, vm.Phase)
		}
	}
	if err := withdrawFrom(s.VMs, "/withdrawn/vms", w.VMs); err != nil {
		return err
	}
	if err := withdrawFrom(s.Services, "/withdrawn/services", w.Services); err != nil {
		return err
	}
	if err := withdrawFrom(s.Waves, "/withdrawn/waves", w.Waves); err != nil {
		return err
	}
	return withdrawFrom(s.Pools, "/withdrawn/pools", w.Pools)
}

func withdrawFrom[T any](m map[string]T, pointer string, names []string) error {
	for i, name := range names {
		if _, ok := m[name]; !ok {
			return noteErrorf(fmt.Sprintf("%s/%d", pointer, i), "%q does not exist", name)
		}
		delete(m, name)
	}
	return nil
}

// put adds or changes items. With mustExist the items replace existing ones; without it
// they must be new. A changed wave keeps its state, reason and number of failures, and an
// added one starts as declared: only records about the wave set these fields.
func (s *State) put(pointer string, items Items, offset int64, mustExist bool) error {
	if items.OlderSystem != "" {
		s.Older = items.OlderSystem
	}
	for i, p := range items.Pools {
		if err := putInto(s.Pools, fmt.Sprintf("%s/pools/%d/name", pointer, i), p.Name, p, mustExist); err != nil {
			return err
		}
	}
	for i, svc := range items.Services {
		if err := putInto(s.Services, fmt.Sprintf("%s/services/%d/name", pointer, i), svc.Name, svc, mustExist); err != nil {
			return err
		}
	}
	for i, vm := range items.VMs {
		if err := s.putVM(fmt.Sprintf("%s/vms/%d", pointer, i), vm, offset, mustExist); err != nil {
			return err
		}
	}
	for i, w := range items.Waves {
		old := s.Waves[w.Name]
		w.State, w.Reason, w.Failed = old.State, old.Reason, old.Failed
		if err := putInto(s.Waves, fmt.Sprintf("%s/waves/%d/name", pointer, i), w.Name, w, mustExist); err != nil {
			return err
		}
	}
	return nil
}

func putInto[T any](m map[string]T, pointer, name string, item T, mustExist bool) error {
	if name == "" {
		return noteErrorf(pointer, "the name is empty")
	}
	if _, ok := m[name]; ok != mustExist {
		if mustExist {
			return noteErrorf(pointer, "%q is changed but does not exist", name)
		}
		return noteErrorf(pointer, "%q is added but exists already", name)
	}
	m[name] = item
	return nil
}

// putVM adds or changes a VM's definition. It keeps the fields that control records
// set, such as Phase and Wave.
func (s *State) putVM(pointer string, vm VM, offset int64, mustExist bool) error {
	old := s.VMs[vm.Name]
	if mustExist && old.Pool != vm.Pool && old.Name != "" {
		return noteErrorf(pointer+"/pool", "VM %q is in pool %q; a VM changes its pool by a move, not by a note", vm.Name, old.Pool)
	}
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		return noteErrorf(pointer+"/address", "address %q of VM %q is not an IP address and port", vm.Address, vm.Name)
	}
	if vm.Slots < 1 || vm.Slots > 1024 {
		return noteErrorf(pointer+"/slots", "%d slots, allowed are 1 to 1024", vm.Slots)
	}
	if vm.Connections < vm.Slots || vm.Connections > 65535 {
		return noteErrorf(pointer+"/connections", "%d connections, allowed are %d (the slots) to 65535", vm.Connections, vm.Slots)
	}
	vm.Phase, vm.Since, vm.MoveTo, vm.Wave = old.Phase, old.Since, old.MoveTo, old.Wave
	vm.Maintained, vm.LastFailure = old.Maintained, old.LastFailure
	if !mustExist {
		vm.Since = offset
	}
	return putInto(s.VMs, pointer+"/name", vm.Name, vm, mustExist)
}

// checkConsistency checks the references and limits between items after the whole note
// has been applied.
func (s *State) checkConsistency(n Note) error {
	s.rebuildCounts()
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		if err := s.checkService(n, s.Services[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Waves)) {
		if err := s.checkWave(n, s.Waves[name]); err != nil {
			return err
		}
	}
	addresses := make(map[string]string, len(s.VMs))
	for _, name := range slices.Sorted(maps.Keys(s.VMs)) {
		vm := s.VMs[name]
		if _, ok := s.Pools[vm.Pool]; !ok {
			return noteErrorf(n.pointer("vms", name, "pool"), "VM %q is in pool %q, which does not exist", name, vm.Pool)
		}
		if other, ok := addresses[vm.Address]; ok {
			return noteErrorf(n.pointer("vms", name, "address"), "VMs %q and %q have the same address %s", other, name, vm.Address)
		}
		addresses[vm.Address] = name
	}
	return nil
}

func (s *State) checkService(n Note, svc Service) error {
	pointerTo := func(field string) string { return n.pointer("services", svc.Name, field) }
	if svc.TimeoutMs < 1 || svc.TimeoutMs > 60_000 {
		return noteErrorf(pointerTo("timeout-ms"), "%d ms, allowed are 1 to 60000", svc.TimeoutMs)
	}
	if svc.HeldBy == OlderSystem {
		if s.Older == "" {
			return noteErrorf(pointerTo("held-by"), "service %q is held by the older system, but no note sets the older system's address", svc.Name)
		}
		return nil
	}
	if _, ok := s.Pools[svc.Pool]; !ok {
		return noteErrorf(pointerTo("pool"), "service %q names pool %q, which does not exist", svc.Name, svc.Pool)
	}
	total, serving := s.PoolCount(svc.Pool)
	if svc.MinServing < 0 || svc.MinServing > total {
		return noteErrorf(pointerTo("min-serving"), "the budget of service %q is %d VMs, but pool %q has %d", svc.Name, svc.MinServing, svc.Pool, total)
	}
	affected := n.affectsBudget(svc)
	if affected && svc.MinServing > serving {
		return noteErrorf(pointerTo("min-serving"), "the budget of service %q is %d VMs, but only %d of pool %q serve", svc.Name, svc.MinServing, serving, svc.Pool)
	}
	return nil
}

// affectsBudget reports whether the note may affect the service's availability budget.
// Only then is the budget checked against the serving VMs: a note must not worsen a
// shortage that failures have caused, but the shortage must not block unrelated notes.
func (n Note) affectsBudget(svc Service) bool {
	sameName := func(o Service) bool { return o.Name == svc.Name }
	return slices.ContainsFunc(n.Added.Services, sameName) || slices.ContainsFunc(n.Changed.Services, sameName) ||
		len(n.Withdrawn.VMs) > 0
}

func (s *State) checkWave(n Note, w Wave) error {
	if w.AtOnce < 1 || w.AtOnce > 1000 {
		return noteErrorf(n.pointer("waves", w.Name, "at-once"), "%d VMs at once, allowed are 1 to 1000", w.AtOnce)
	}
	for _, pool := range w.Pools {
		if _, ok := s.Pools[pool]; !ok {
			return noteErrorf(n.pointer("waves", w.Name, "pools"), "wave %q names pool %q, which does not exist", w.Name, pool)
		}
	}
	return nil
}

// pointer returns the JSON pointer of a field of the named item in the note. If the note
// does not define the item, the cause is a withdrawal and the pointer is /withdrawn.
func (n Note) pointer(section, name, field string) string {
	for _, part := range []struct {
		key   string
		items Items
	}{{"added", n.Added}, {"changed", n.Changed}} {
		if i := slices.Index(part.items.names(section), name); i >= 0 {
			return strings.Join([]string{"", part.key, section, fmt.Sprint(i), field}, "/")
		}
	}
	return "/withdrawn"
}

func (it Items) names(section string) []string {
	var names []string
	switch section {
	case "services":
		for _, svc := range it.Services {
			names = append(names, svc.Name)
		}
	case "vms":
		for _, vm := range it.VMs {
			names = append(names, vm.Name)
		}
	case "waves":
		for _, w := range it.Waves {
			names = append(names, w.Name)
		}
	}
	return names
}
