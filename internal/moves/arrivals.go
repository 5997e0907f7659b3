package moves

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/internal/shed"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// joinTime is how long a machine that has arrived in a pool takes to get its first run: until the
// VM list shows it, its first status poll is answered and the job log names it.
const joinTime = 150 * time.Millisecond

// arrivalStep is the resolution of arrival times.
const arrivalStep = 100 * time.Millisecond

// Arrivals returns the capacity that is expected to join a pool: that of the machines that are
// moving in, at the end of their moves, and then as much as the fleet has beyond what the other
// pools need, for which no moves are planned yet.
func (p *Planner) Arrivals(now time.Time, v *View, pool string) []shed.Arrival {
	moving := map[time.Duration]float64{} // cores by time from now, in steps of arrivalStep
	var potential float64
	for i := range v.Machines {
		m := &v.Machines[i]
		if m.State == site.Down {
			continue
		}
		cores := float64(m.CPU) / 1000
		in := p.intents[m.Name]
		switch {
		case in != nil && in.Kind == Move && in.Pool == pool:
			left := p.policy.MoveTime
			if in.accepted {
				left = max(left-now.Sub(in.acceptedAt), 0)
			}
			moving[(left + joinTime).Truncate(arrivalStep)] += cores
		case m.Pool == pool && m.State != site.Up:
			moving[(p.policy.MoveTime + joinTime).Truncate(arrivalStep)] += cores
		case m.Pool == pool:
		default:
			potential += cores
		}
	}
	var list []shed.Arrival
	for after, cores := range moving {
		list = append(list, shed.Arrival{After: after, Cores: cores})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].After < list[k].After })
	for name, r := range v.Reports {
		if name != pool {
			potential -= p.demand(r)
		}
	}
	if potential > 0 {
		list = append(list, shed.Arrival{After: p.policy.MoveTime + joinTime + arrivalStep, Cores: potential})
	}
	return list
}
