// Package ctrl controls pools: it starts moves of VMs between pools, finishes a move
// once the VM is drained, and takes VMs through maintenance waves. Each pool belongs to
// a shard. The entry that holds the control lease of the shard controls the pool; this
// package also assigns these leases to entries.
//
// Decide and Rebalance compute the actions that are due from the time, the state
// folded from the log, and what this entry has observed. Decide keeps no state between
// calls; the planner that Rebalance calls does. Driver calls both periodically and
// executes their actions: it appends records to the log and asks the platform for
// reboots.
package ctrl

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Action is one action for the driver: an Append or a Reboot.
type Action interface{ action() }

// Append appends a record to the log. Records with an operation id that the log has seen
// recently are skipped, so an append can be repeated safely.
type Append struct {
	OperationID string
	Record      fleet.Record
}

// Reboot asks the platform to reboot a VM. The platform reboots once per operation id.
type Reboot struct {
	OperationID string
	VM          string
}

func (Append) action() {}
func (Reboot) action() {}

// ListedVM is a VM as the platform lists it. A VM that is neither live nor leaving is
// down.
type ListedVM struct {
	Live    bool
	Leaving bool // about to go down; must not get new requests
	Boots   int  // number of boots so far
}

// RebootResult is the platform's response to a reboot call.
type RebootResult struct {
	Boots int // the VM's number of boots before the reboot
}

// Input holds the arguments of Decide.
type Input struct {
	State              *fleet.State
	Self               string                                  // this entry's incarnation
	Drained            func(vm string, offset int64) bool      // whether every entry has stopped sending requests to the VM and has none in flight on it; offset is that of the record that took the VM out of service
	VMList             map[string]ListedVM                     // by VM name; empty until the list has been read
	RebootResults      map[string]RebootResult                 // by reboot operation id
	FirstSeen          func(vm string, offset int64) time.Time // when this entry first saw the phase that began at the offset
	MaintenanceTimeout time.Duration                           // time since FirstSeen after which a VM in maintenance counts as failed
}

// Decide returns the actions that are due.
func Decide(now time.Time, in Input) []Action {
	d := &decider{Input: in, now: now, shards: usedShards(in.State)}
	d.updateLeases()
	for _, name := range in.State.OutOfService() {
		vm := in.State.VMs[name]
		if d.holdsLease(vm.Pool) {
			d.advance(vm)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(in.State.Waves)) {
		if w := in.State.Waves[name]; w.State == fleet.WaveRunning {
			d.advanceWave(w)
		}
	}
	return d.actions
}

// decider computes the actions of one call to Decide.
type decider struct {
	Input
	now     time.Time
	shards  []int
	actions []Action
}

// append adds an Append action. The format and its arguments give the operation id.
func (d *decider) append(r fleet.Record, format string, args ...any) {
	d.actions = append(d.actions, Append{OperationID: fmt.Sprintf(format, args...), Record: r})
}

// usedShards returns the shards that have pools, in order.
func usedShards(s *fleet.State) []int {
	used := map[int]bool{}
	for name := range s.Pools {
		used[fleet.ShardOf(name)] = true
	}
	return slices.Sorted(maps.Keys(used))
}

// updateLeases takes the leases of the shards that rendezvous hashing assigns to this
// entry, unless a member still holds them, and releases its leases of shards assigned
// to another member.
func (d *decider) updateLeases() {
	members := d.State.SortedMembers()
	for _, shard := range d.shards {
		lease := d.State.Leases[shard]
		assigned := preferredHolder(members, shard) == d.Self
		held := lease.Holder != "" && d.State.IsMember(lease.Holder)
		switch {
		case assigned && !held:
			d.append(fleet.LeaseTaken{Shard: shard, Holder: d.Self, Epoch: lease.Epoch + 1},
				"lease-%d-%d-%s", shard, lease.Epoch+1, d.Self)
		case !assigned && lease.Holder == d.Self:
			d.append(fleet.LeaseReleased{Shard: shard, Epoch: lease.Epoch}, "lease-release-%d-%d", shard, lease.Epoch)
		}
	}
}

// preferredHolder returns the incarnation that rendezvous hashing assigns a shard to.
// It hashes the entry's name, so that a restart of the entry does not change the result.
func preferredHolder(members []fleet.Member, shard int) string {
	if len(members) == 0 {
		return ""
	}
	score := func(m fleet.Member) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d", m.Name, shard)) }
	best := slices.MaxFunc(members, func(a, b fleet.Member) int { return cmp.Compare(score(a), score(b)) })
	return best.Incarnation
}

func (d *decider) holdsLease(pool string) bool {
	return d.State.Leases[fleet.ShardOf(pool)].Holder == d.Self
}

// fence returns the fencing token for control records about a pool: the lease epoch of its
// shard.
func (d *decider) fence(pool string) fleet.Fence {
	shard := fleet.ShardOf(pool)
	return fleet.Fence{Shard: shard, Epoch: d.State.Leases[shard].Epoch}
}

// advance adds the next action for a VM that is out of service, if one is due.
func (d *decider) advance(vm fleet.VM) {
	leaseFence := d.fence(vm.Pool)
	switch vm.Phase {
	case fleet.Moving:
		if d.Drained(vm.Name, vm.Since) {
			d.append(fleet.MoveFinished{VM: vm.Name, By: leaseFence}, "moved-%s-%d-%d", vm.Name, vm.Since, leaseFence.Epoch)
		}
	case fleet.Maintenance, fleet.Failed:
		d.maintain(vm, leaseFence)
	}
}

// maintain reboots a VM and returns it to service once the platform lists a boot after
// the reboot. A VM in maintenance is rebooted once it is drained, a failed VM without
// waiting for that. A VM in maintenance that is not back within MaintenanceTimeout is
// recorded as failed. The platform returns the same boot count for the same operation id,
// so another entry can take over at any step.
func (d *decider) maintain(vm fleet.VM, leaseFence fleet.Fence) {
	since := vm.Since
	operationID := fmt.Sprintf("reboot-%s-%s", vm.Wave, vm.Name)
	reboot, accepted := d.RebootResults[operationID]
	listed := d.VMList[vm.Name]
	switch {
	case accepted && listed.Live && listed.Boots > reboot.Boots:
		d.append(fleet.MaintenanceFinished{VM: vm.Name, By: leaseFence}, "maintained-%s-%d-%d", vm.Name, since, leaseFence.Epoch)
	case vm.Phase == fleet.Maintenance && d.now.Sub(d.FirstSeen(vm.Name, since)) > d.MaintenanceTimeout:
		reason := fmt.Sprintf("not back within %s", d.MaintenanceTimeout)
		d.append(fleet.MaintenanceFailed{VM: vm.Name, Reason: reason, By: leaseFence}, "failed-%s-%d-%d", vm.Name, since, leaseFence.Epoch)
	case !accepted && (vm.Phase == fleet.Failed || d.Drained(vm.Name, since)):
		d.actions = append(d.actions, Reboot{OperationID: operationID, VM: vm.Name})
	}
}

// advanceWave starts the maintenance of at most one VM per pool and call, if the
// wave's limits and the pool's minimum of serving VMs allow it. A VM that the platform
// lists as down or leaving is not counted as serving, whatever the reason. The operation
// id includes the next log offset: the log skips a repeated id even if the first record
// was rejected, and the start may become valid later.
func (d *decider) advanceWave(w fleet.Wave) {
	for _, pool := range w.Pools {
		if !d.holdsLease(pool) {
			continue
		}
		vm, ok := d.nextInWave(w, pool)
		if !ok {
			continue
		}
		leaseFence := d.fence(pool)
		r := fleet.MaintenanceStarted{VM: vm.Name, Wave: w.Name, By: leaseFence}
		d.append(r, "maintain-%s-%s-%d-%d", w.Name, vm.Name, d.State.Next, leaseFence.Epoch)
	}
}

// nextInWave returns the pool's next VM in order of data centre and rack, so that
// maintenance stays within one failure domain. It returns false if there is none or
// if it may not start yet.
func (d *decider) nextInWave(w fleet.Wave, pool string) (fleet.VM, bool) {
	var next fleet.VM
	up, found := 0, false
	for name := range d.State.VMsOf(pool) {
		vm := d.State.VMs[name]
		if vm.Phase != fleet.Serving {
			continue
		}
		if d.isUp(vm.Name) {
			up++
		}
		if vm.Maintained != w.Name && (!found || compareDomains(vm, next) < 0) {
			next, found = vm, true
		}
	}
	if !found || d.State.CheckMaintenance(next.Name, w.Name) != nil {
		return next, false
	}
	remaining := up
	if d.isUp(next.Name) {
		remaining--
	}
	return next, remaining >= d.State.MinServing(pool)
}

// isUp reports whether the VM counts as serving: unless the platform lists it as down or
// leaving. A VM missing from the list counts as up, since the list may be out of date.
func (d *decider) isUp(vm string) bool {
	l, ok := d.VMList[vm]
	return !ok || (l.Live && !l.Leaving)
}

// compareDomains orders VMs by failure domain: data centre, then rack. VMs in the same
// rack are ordered by name.
func compareDomains(a, b fleet.VM) int {
	return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
}
