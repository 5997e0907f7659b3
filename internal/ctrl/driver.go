package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/buffer"
	"github.com/greengagelane/greengagelane/internal/oas/plat"
	"github.com/greengagelane/greengagelane/internal/tail"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	decideInterval = 200 * time.Millisecond
	listInterval   = 500 * time.Millisecond
	actionTimeout  = 3 * time.Second // of one append or reboot call
	listTimeout    = 1 * time.Second // of one read of the VM list
)

// Driver periodically calls Decide and Rebalance and executes their actions. The
// exported fields are set before Run.
type Driver struct {
	Self               string // this entry's incarnation
	Store              *tail.Store
	Log                *tail.Log
	MaintenanceTimeout time.Duration                                     // see Input.MaintenanceTimeout
	Drained            func(now time.Time, vm string, offset int64) bool // see Input.Drained
	Fresh              func(now time.Time) bool                          // whether this entry's state is current
	OnVMList           func(map[string]ListedVM)                         // called with each new VM list
	Offered            func(now time.Time) map[string]float64            // offered load in slots, by pool
	Planner            *buffer.Planner                                   // nil if VMs move by command only

	mu            sync.Mutex
	vmList        map[string]ListedVM
	rebootResults map[string]RebootResult
	phaseSeen     map[phaseKey]time.Time // when this entry first saw each phase
	pending       map[string]bool        // operation ids of actions being executed
}

// phaseKey identifies a phase of a VM by the offset of the record that started it.
type phaseKey struct {
	vm     string
	offset int64
}

// Run reads the VM list and executes due actions until the context ends.
func (d *Driver) Run(ctx context.Context) {
	d.vmList = map[string]ListedVM{}
	d.rebootResults = map[string]RebootResult{}
	d.phaseSeen = map[phaseKey]time.Time{}
	d.pending = map[string]bool{}
	go d.runEvery(ctx, listInterval, d.readList)
	d.runEvery(ctx, decideInterval, d.runRound)
}

// runEvery calls f immediately and then once per interval until the context ends.
func (d *Driver) runEvery(ctx context.Context, every time.Duration, f func(context.Context)) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// readList reads the platform's VM list. On failure the previous list stays in use.
func (d *Driver) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := d.Log.Platform().ListVMs(ctx)
	if err != nil {
		logrus.WithError(err).Debug("cannot read the VM list from the platform; using the previous list")
		return
	}
	vmList := make(map[string]ListedVM, len(vms))
	for _, vm := range vms {
		vmList[vm.Name] = ListedVM{
			Live:    vm.State == plat.VMStateStateLive,
			Leaving: vm.State == plat.VMStateStateLeaving,
			Boots:   vm.Boots,
		}
	}
	d.mu.Lock()
	d.vmList = vmList
	d.mu.Unlock()
	d.OnVMList(vmList)
}

// runRound starts every due action that is not already being executed. It does nothing
// while the entry's state is not current.
func (d *Driver) runRound(ctx context.Context) {
	now := time.Now()
	if !d.Fresh(now) {
		return
	}
	for _, a := range d.decide(now) {
		id := operationIDOf(a)
		if d.markPending(id) {
			go d.execute(ctx, id, a)
		}
	}
}

// decide runs Decide and Rebalance on one consistent state. Drained reads the store
// itself and must not be called under the store's lock, so its results are collected
// first.
func (d *Driver) decide(now time.Time) []Action {
	drained := map[phaseKey]bool{}
	for _, k := range d.outOfServicePhases() {
		drained[k] = d.Drained(now, k.vm, k.offset)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	in := Input{
		Self: d.Self, VMList: d.vmList, RebootResults: d.rebootResults, MaintenanceTimeout: d.MaintenanceTimeout,
		Drained:   func(vm string, offset int64) bool { return drained[phaseKey{vm, offset}] },
		FirstSeen: func(vm string, offset int64) time.Time { return d.firstSeen(now, phaseKey{vm, offset}) },
	}
	var actions []Action
	var offered map[string]float64
	if d.Planner != nil {
		offered = d.Offered(now)
	}
	d.Store.View(func(s *fleet.State) {
		in.State = s
		actions = Decide(now, in)
		if d.Planner != nil {
			actions = append(actions, Rebalance(now, s, d.Self, d.Planner, offered)...)
		}
	})
	return actions
}

// outOfServicePhases returns the phases of the out-of-service VMs in pools whose
// lease this entry holds.
func (d *Driver) outOfServicePhases() []phaseKey {
	var out []phaseKey
	d.Store.View(func(s *fleet.State) {
		for _, name := range s.OutOfService() {
			vm := s.VMs[name]
			if s.Leases[fleet.ShardOf(vm.Pool)].Holder == d.Self {
				out = append(out, phaseKey{name, vm.Since})
			}
		}
	})
	return out
}

// firstSeen returns when this entry first saw a phase. For a new phase it records and
// returns now.
func (d *Driver) firstSeen(now time.Time, k phaseKey) time.Time {
	if at, ok := d.phaseSeen[k]; ok {
		return at
	}
	d.phaseSeen[k] = now
	return now
}

func operationIDOf(a Action) string {
	switch a := a.(type) {
	case Append:
		return a.OperationID
	case Reboot:
		return a.OperationID
	}
	return ""
}

// markPending reports whether the operation may start, and marks it as pending.
func (d *Driver) markPending(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[id] {
		return false
	}
	d.pending[id] = true
	return true
}

// execute executes an action. A failed action stays due, so a later round returns it
// again.
func (d *Driver) execute(ctx context.Context, id string, a Action) {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.pending, id)
	}()
	switch a := a.(type) {
	case Append:
		out, err := d.Log.Append(ctx, a.OperationID, a.Record)
		if err != nil {
			logrus.WithError(err).WithField("operation", id).Warn("cannot append a control record to the log; it is retried while it is due")
		} else if !out.Applied {
			logrus.WithFields(logrus.Fields{"operation": id, "reason": out.Reason}).Info("control record was appended but not applied")
		}
	case Reboot:
		d.reboot(ctx, a)
	}
}

func (d *Driver) reboot(ctx context.Context, a Reboot) {
	res, err := d.Log.Platform().RebootVM(ctx, plat.RebootVMParams{VM: a.VM, OperationID: a.OperationID})
	if err != nil {
		logrus.WithError(err).WithField("vm", a.VM).Warn("reboot call failed; it is retried under the same operation id")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebootResults[a.OperationID] = RebootResult{Boots: res.Boots}
}
