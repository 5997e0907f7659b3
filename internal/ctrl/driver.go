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
	roundEvery  = 200 * time.Millisecond
	listEvery   = 500 * time.Millisecond
	actionLimit = 3 * time.Second
	callLimit   = 1 * time.Second
)

// Driver carries out what Decide returns.
type Driver struct {
	Self               string
	Store              *tail.Store
	Log                *tail.Log
	MaintenanceTimeout time.Duration // after which a VM in maintenance has failed
	Drained            func(now time.Time, vm string, offset int64) bool
	Fresh              func(now time.Time) bool
	OnVMList           func(map[string]ListedVM)              // called with each new VM list
	Offered            func(now time.Time) map[string]float64 // slots that arriving requests would fill, by pool
	Planner            *buffer.Planner                        // nil if VMs move by command only

	mu       sync.Mutex
	list     map[string]ListedVM
	rebooted map[string]Rebooted
	seen     map[phaseKey]time.Time
	pending  map[string]bool // operation ids under way
}

type phaseKey struct {
	vm     string
	offset int64
}

// Run decides and acts until the context ends.
func (d *Driver) Run(ctx context.Context) {
	d.list = map[string]ListedVM{}
	d.rebooted = map[string]Rebooted{}
	d.seen = map[phaseKey]time.Time{}
	d.pending = map[string]bool{}
	go d.follow(ctx, listEvery, d.readList)
	d.follow(ctx, roundEvery, d.round)
}

func (d *Driver) follow(ctx context.Context, every time.Duration, f func(context.Context)) {
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

// readList reads the platform's VM list; while it fails, the last one stands.
func (d *Driver) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	vms, err := d.Log.Platform().ListVMs(ctx)
	if err != nil {
		logrus.WithError(err).Debug("VM list not read")
		return
	}
	list := make(map[string]ListedVM, len(vms))
	for _, vm := range vms {
		list[vm.Name] = ListedVM{
			Live:    vm.State == plat.VMStateStateLive,
			Leaving: vm.State == plat.VMStateStateLeaving,
			Boots:   vm.Boots,
		}
	}
	d.mu.Lock()
	d.list = list
	d.mu.Unlock()
	d.OnVMList(list)
}

func (d *Driver) round(ctx context.Context) {
	now := time.Now()
	if !d.Fresh(now) {
		return
	}
	for _, a := range d.decide(now) {
		id := operationOf(a)
		if d.begin(id) {
			go d.act(ctx, id, a)
		}
	}
}

// decide runs Decide on a consistent view. Drained is asked outside the store's
// lock, so what it will say of each VM is collected first.
func (d *Driver) decide(now time.Time) []Action {
	drained := map[phaseKey]bool{}
	for _, k := range d.phases() {
		drained[k] = d.Drained(now, k.vm, k.offset)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	in := Input{
		Self: d.Self, List: d.list, Rebooted: d.rebooted, Limit: d.MaintenanceTimeout,
		Drained: func(vm string, offset int64) bool { return drained[phaseKey{vm, offset}] },
		Seen:    func(vm string, offset int64) time.Time { return d.firstSeen(now, phaseKey{vm, offset}) },
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

// phases lists the VMs that are out of service in pools that this entry holds.
func (d *Driver) phases() []phaseKey {
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

func (d *Driver) firstSeen(now time.Time, k phaseKey) time.Time {
	if at, ok := d.seen[k]; ok {
		return at
	}
	d.seen[k] = now
	return now
}

func operationOf(a Action) string {
	switch a := a.(type) {
	case Append:
		return a.OperationID
	case Reboot:
		return a.OperationID
	}
	return ""
}

func (d *Driver) begin(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[id] {
		return false
	}
	d.pending[id] = true
	return true
}

func (d *Driver) act(ctx context.Context, id string, a Action) {
	ctx, cancel := context.WithTimeout(ctx, actionLimit)
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
			logrus.WithError(err).WithField("operation", id).Warn("control record not written")
		} else if !out.Applied {
			logrus.WithFields(logrus.Fields{"operation": id, "reason": out.Reason}).Info("control record skipped")
		}
	case Reboot:
		d.reboot(ctx, a)
	}
}

func (d *Driver) reboot(ctx context.Context, a Reboot) {
	res, err := d.Log.Platform().RebootVM(ctx, plat.RebootVMParams{VM: a.VM, OperationID: a.OperationID})
	if err != nil {
		logrus.WithError(err).WithField("vm", a.VM).Warn("reboot not confirmed; it is asked for again under the same operation id")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rebooted[a.OperationID] = Rebooted{Boots: res.Boots}
}
