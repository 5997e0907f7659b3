package entry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/mesh"
	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// fillStatus adds the pools, VMs, waves and leases, each sorted by name.
func fillStatus(st *oper.Status, s *fleet.State) {
	st.View = s.View
	for name, p := range s.Pools {
		total, serving := s.PoolCount(name)
		st.Pools = append(st.Pools, oper.PoolStatus{Name: name, Spare: p.Spare, Vms: total, Serving: serving, MinServing: s.MinServing(name)})
	}
	slices.SortFunc(st.Pools, func(a, b oper.PoolStatus) int { return cmp.Compare(a.Name, b.Name) })
	for _, vm := range s.VMs {
		st.Vms = append(st.Vms, oper.VMStatus{
			Name: vm.Name, Pool: vm.Pool, Phase: vm.Phase.String(), Reason: phaseReason(vm),
			DataCentre: vm.DataCentre, Rack: vm.Rack,
		})
	}
	slices.SortFunc(st.Vms, func(a, b oper.VMStatus) int { return cmp.Compare(a.Name, b.Name) })
	for name, w := range s.Waves {
		done, total := s.WaveProgress(name)
		st.Waves = append(st.Waves, oper.WaveStatus{Name: name, State: w.State.String(), Done: done, Total: total, Failed: w.Failed, Reason: w.Reason})
	}
	slices.SortFunc(st.Waves, func(a, b oper.WaveStatus) int { return cmp.Compare(a.Name, b.Name) })
	for shard, l := range s.Leases {
		st.Leases = append(st.Leases, oper.LeaseStatus{Shard: shard, Holder: l.Holder, Epoch: l.Epoch})
	}
	slices.SortFunc(st.Leases, func(a, b oper.LeaseStatus) int { return cmp.Compare(a.Shard, b.Shard) })
}

// phaseReason describes why a VM is in its phase.
func phaseReason(vm fleet.VM) string {
	switch vm.Phase {
	case fleet.Moving:
		return fmt.Sprintf("moving to pool %s since offset %d", vm.MoveTo, vm.Since)
	case fleet.Maintenance:
		return fmt.Sprintf("in wave %s since offset %d", vm.Wave, vm.Since)
	case fleet.Failed:
		return fmt.Sprintf("failed in wave %s at offset %d: %s", vm.Wave, vm.Since, vm.LastFailure)
	default:
		return fmt.Sprintf("serving since offset %d", vm.Since)
	}
}

// memberStatus returns the status of each entry. An entry's routing table is built from all log
// records before Offset, so the newest release is in force at the entry if Offset is greater than
// the offset of the record that published the release. SilentMs is the time since this entry sent
// the heartbeat call that the member last answered; it is 0 for this entry and for a member that
// has not answered any.
func (e *Entry) memberStatus(now time.Time) []oper.MemberStatus {
	out := []oper.MemberStatus{}
	var release string
	var releaseOffset int64
	e.store.View(func(s *fleet.State) { release, releaseOffset = s.Release, s.Releases })
	e.mesh.EachMember(func(m fleet.Member, lastHeartbeat mesh.Heartbeat, heartbeatRequestedAt time.Time) {
		st := oper.MemberStatus{Name: m.Name, Incarnation: m.Incarnation, DataCentre: m.DataCentre, OperatorAddress: m.Operator, Offset: lastHeartbeat.RoutingOffset}
		if m.Incarnation == e.self.Incarnation {
			st.Offset = e.handler.Table().Offset
		} else if !heartbeatRequestedAt.IsZero() {
			st.SilentMs = now.Sub(heartbeatRequestedAt).Milliseconds()
		}
		if st.Offset > releaseOffset {
			st.Release = release
		}
		out = append(out, st)
	})
	return out
}
