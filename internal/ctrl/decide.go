// Package ctrl decides over pools: which entry holds a control lease, when a
// drained VM changes its pool, and which VM a maintenance wave takes next. Decide
// is a pure function of the time, the folded state and what was observed; the
// driver around it only carries out its actions.
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

// Action is one thing to do. The set is sealed: Append and Reboot.
type Action interface{ action() }

// Append writes a record to the log.
type Append struct {
	OperationID string
	Record      fleet.Record
}

// Reboot asks the platform to reboot a VM, once for an operation id.
type Reboot struct {
	OperationID string
	VM          string
}

func (Append) action() {}
func (Reboot) action() {}

// ListedVM is what the platform's VM list said of a VM.
type ListedVM struct {
	Live    bool
	Leaving bool
	Boots   int
}

// Rebooted is the platform's answer to a reboot: the VM's boots at that moment.
type Rebooted struct {
	Boots int
}

// Input is what Decide looks at.
type Input struct {
	State    *fleet.State
	Self     string                                  // incarnation
	Drained  func(vm string, offset int64) bool      // no entry sends work to the VM any more
	List     map[string]ListedVM                     // by VM; empty if the list is not known
	Rebooted map[string]Rebooted                     // by reboot operation id
	Seen     func(vm string, offset int64) time.Time // when this entry first saw the VM's phase
	Limit    time.Duration                           // after which a VM in maintenance has failed
}

// Decide returns the actions that are due.
func Decide(now time.Time, in Input) []Action {
	d := &decider{Input: in, now: now, shards: usedShards(in.State)}
	d.leases()
	for _, name := range in.State.OutOfService() {
		vm := in.State.VMs[name]
		if d.holds(vm.Pool) {
			d.advance(vm)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(in.State.Waves)) {
		if w := in.State.Waves[name]; w.State == fleet.WaveRunning {
			d.wave(w)
		}
	}
	return d.actions
}

type decider struct {
	Input
	now     time.Time
	shards  []int
	actions []Action
}

func (d *decider) append(r fleet.Record, format string, args ...any) {
	d.actions = append(d.actions, Append{OperationID: fmt.Sprintf(format, args...), Record: r})
}

// usedShards returns the shards that have pools.
func usedShards(s *fleet.State) []int {
	used := map[int]bool{}
	for name := range s.Pools {
		used[fleet.ShardOf(name)] = true
	}
	return slices.Sorted(maps.Keys(used))
}

// leases takes the free shards that rendezvous hashing gives to this entry, and
// returns those that it gives to another member now.
func (d *decider) leases() {
	members := d.State.SortedMembers()
	for _, shard := range d.shards {
		lease := d.State.Leases[shard]
		mine := preferred(members, shard) == d.Self
		held := lease.Holder != "" && d.State.IsMember(lease.Holder)
		switch {
		case mine && !held:
			d.append(fleet.LeaseTaken{Shard: shard, Holder: d.Self, Epoch: lease.Epoch + 1},
				"lease-%d-%d-%s", shard, lease.Epoch+1, d.Self)
		case !mine && lease.Holder == d.Self:
			d.append(fleet.LeaseReleased{Shard: shard, Epoch: lease.Epoch}, "lease-release-%d-%d", shard, lease.Epoch)
		}
	}
}

// preferred returns the incarnation that a shard belongs to.
func preferred(members []fleet.Member, shard int) string {
	if len(members) == 0 {
		return ""
	}
	score := func(m fleet.Member) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d", m.Name, shard)) }
	best := slices.MaxFunc(members, func(a, b fleet.Member) int { return cmp.Compare(score(a), score(b)) })
	return best.Incarnation
}

func (d *decider) holds(pool string) bool {
	return d.State.Leases[fleet.ShardOf(pool)].Holder == d.Self
}

func (d *decider) fence(pool string) fleet.Fence {
	shard := fleet.ShardOf(pool)
	return fleet.Fence{Shard: shard, Epoch: d.State.Leases[shard].Epoch}
}

// advance takes a VM that is out of service one step further.
func (d *decider) advance(vm fleet.VM) {
	by := d.fence(vm.Pool)
	switch vm.Phase {
	case fleet.Moving:
		if d.Drained(vm.Name, vm.Since) {
			d.append(fleet.MoveFinished{VM: vm.Name, By: by}, "moved-%s-%d-%d", vm.Name, vm.Since, by.Epoch)
		}
	case fleet.Maintenance, fleet.Failed:
		d.maintain(vm, by)
	}
}

// maintain reboots a drained VM and puts it back once the platform has shown a
// boot after the reboot. The platform answers the same operation id with the
// same boots, so another entry can take over at any step.
func (d *decider) maintain(vm fleet.VM, by fleet.Fence) {
	start := vm.Since
	operationID := fmt.Sprintf("reboot-%s-%s", vm.Wave, vm.Name)
	asked, known := d.Rebooted[operationID]
	listed := d.List[vm.Name]
	switch {
	case known && listed.Live && listed.Boots > asked.Boots:
		d.append(fleet.MaintenanceFinished{VM: vm.Name, By: by}, "maintained-%s-%d-%d", vm.Name, start, by.Epoch)
	case vm.Phase == fleet.Maintenance && d.now.Sub(d.Seen(vm.Name, start)) > d.Limit:
		reason := fmt.Sprintf("not back within %s", d.Limit)
		d.append(fleet.MaintenanceFailed{VM: vm.Name, Reason: reason, By: by}, "failed-%s-%d-%d", vm.Name, start, by.Epoch)
	case !known && (vm.Phase == fleet.Failed || d.Drained(vm.Name, start)):
		d.actions = append(d.actions, Reboot{OperationID: operationID, VM: vm.Name})
	}
}

// wave takes at most one further VM per pool and round, if the budget allows it
// with every VM counted as down that is down for any reason.
func (d *decider) wave(w fleet.Wave) {
	for _, pool := range w.Pools {
		if !d.holds(pool) {
			continue
		}
		vm, ok := d.nextInWave(w, pool)
		if !ok {
			continue
		}
		by := d.fence(pool)
		r := fleet.MaintenanceStarted{VM: vm.Name, Wave: w.Name, By: by}
		d.append(r, "maintain-%s-%s-%d-%d", w.Name, vm.Name, d.State.Next, by.Epoch)
	}
}

// nextInWave returns the pool's next VM in order of data centre and rack, so that
// maintenance stays within one failure domain.
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
	after := up
	if d.isUp(next.Name) {
		after--
	}
	return next, after >= d.State.MinServing(pool)
}

// isUp reports whether the platform lists the VM as live. A VM that the list does
// not name counts as up, since the list lags.
func (d *decider) isUp(vm string) bool {
	l, ok := d.List[vm]
	return !ok || (l.Live && !l.Leaving)
}

func compareDomains(a, b fleet.VM) int {
	return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
}
