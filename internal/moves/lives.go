package moves

import (
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// endRetention is how long the owner of a pool is told of an incarnation that has ended; reports may fail.
const endRetention = 2 * time.Second

// Lives finds incarnations of VMs that have ended, from successive inventories. A VM that crashes is known to
// be gone from its machine's state, long before its leases expire. The inventory also tells it from a VM that
// is cut off, whose machine stays up.
//
// It answers crashes of single VMs and racks: the tasks that these ran can be started elsewhere at once.
type Lives struct {
	present map[string]life // by machine, of those that were up in the last inventory
	ended   []ended
}

// life is an incarnation of a machine's VM.
type life struct {
	site.Incarnation
	pool string
}

type ended struct {
	life
	at time.Time
}

// Observe compares an inventory with the one before. bornAt returns the start of a VM's present incarnation
// according to the VM list, 0 if it is not known.
func (l *Lives) Observe(now time.Time, machines []site.Machine, bornAt func(vm string) int64) {
	present := make(map[string]life, len(machines))
	for i := range machines {
		m := &machines[i]
		before, known := l.present[m.Name]
		gone := m.State == site.Down && m.VM == ""
		replaced := m.State == site.Up && m.VM != "" && m.VM != before.VM
		switch {
		case known && before.Born != 0 && (gone || replaced):
			l.ended = append(l.ended, ended{before, now})
		case known && before.VM == m.VM && before.Born != 0:
			present[m.Name] = before
			continue
		}
		if m.State == site.Up && m.VM != "" {
			present[m.Name] = life{site.Incarnation{VM: m.VM, Born: bornAt(m.VM)}, m.Pool}
		}
	}
	l.present = present
	for len(l.ended) > 0 && now.Sub(l.ended[0].at) > endRetention {
		l.ended = l.ended[1:]
	}
}

// Missing returns those of the given VMs that no machine has according to an inventory.
func Missing(vms []string, machines []site.Machine) []string {
	present := make(map[string]bool, len(machines))
	for i := range machines {
		present[machines[i].VM] = true
	}
	return slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return present[vm] })
}

// Ended returns the incarnations of a pool's VMs that have ended recently.
func (l *Lives) Ended(now time.Time, pool string) []site.Incarnation {
	var list []site.Incarnation
	for _, e := range l.ended {
		if e.pool == pool {
			x := e.Incarnation
			x.AgeMS = now.Sub(e.at).Milliseconds()
			list = append(list, x)
		}
	}
	return list
}
