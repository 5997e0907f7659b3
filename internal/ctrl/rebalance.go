package ctrl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/buffer"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Rebalance returns Append actions for the moves that the planner proposes. Every
// entry plans for all pools, since the planner weighs the pools against each other,
// but starts only moves out of pools whose shard's lease it holds. Offered is the
// offered load of each pool, in slots.
func Rebalance(now time.Time, s *fleet.State, self string, p *buffer.Planner, offered map[string]float64) []Action {
	var pools []buffer.Pool
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		pools = append(pools, plannerPool(s, name, offered[name]))
	}
	var actions []Action
	chosen := map[string]bool{}
	for _, m := range p.Plan(now, pools) {
		shard := fleet.ShardOf(m.From)
		lease := s.Leases[shard]
		vm, ok := pickVM(s, m.From, chosen)
		if lease.Holder != self || !ok {
			continue
		}
		chosen[vm.Name] = true
		actions = append(actions, Append{
			OperationID: fmt.Sprintf("rebalance-%s-%d-%d", vm.Name, vm.Since, lease.Epoch),
			Record:      fleet.MoveStarted{VM: vm.Name, From: m.From, To: m.To, By: fleet.Fence{Shard: shard, Epoch: lease.Epoch}},
		})
	}
	return actions
}

// plannerPool returns the planner's input for a pool. It converts the offered load from
// slots to VMs by the mean number of slots of the pool's VMs.
func plannerPool(s *fleet.State, name string, offered float64) buffer.Pool {
	total, serving := s.PoolCount(name)
	pl := buffer.Pool{Name: name, Spare: s.Pools[name].Spare, Serving: serving, MinServing: s.MinServing(name)}
	slots := 0
	for vm := range s.VMsOf(name) {
		slots += s.VMs[vm].Slots
	}
	if total > 0 && slots > 0 {
		pl.Need = offered * float64(total) / float64(slots)
	}
	for _, vm := range s.OutOfService() {
		if v := s.VMs[vm]; v.Phase == fleet.Moving && v.MoveTo == name {
			pl.Arriving++
		}
	}
	return pl
}

// pickVM returns a serving VM from the data centre with the most of the pool's
// serving VMs, so that the remaining ones stay spread over data centres. It skips the
// VMs that are already chosen.
func pickVM(s *fleet.State, pool string, chosen map[string]bool) (fleet.VM, bool) {
	perDataCentre := map[string]int{}
	var serving []fleet.VM
	for name := range s.VMsOf(pool) {
		vm := s.VMs[name]
		if vm.Phase == fleet.Serving && !chosen[name] {
			serving = append(serving, vm)
			perDataCentre[vm.DataCentre]++
		}
	}
	if len(serving) == 0 {
		return fleet.VM{}, false
	}
	best := slices.MinFunc(serving, func(a, b fleet.VM) int {
		return cmp.Or(cmp.Compare(perDataCentre[b.DataCentre], perDataCentre[a.DataCentre]), cmp.Compare(a.Name, b.Name))
	})
	return best, true
}
