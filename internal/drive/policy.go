package drive

import (
	"time"

	"github.com/greengagelane/greengagelane/internal/moves"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// override replaces a default by a setting unless the setting is zero.
func override[T int | float64 | time.Duration](to *T, value T) {
	if value != 0 {
		*to = value
	}
}

// schedPolicy returns the scheduler's policy for an entry's settings.
func schedPolicy(s *site.Settings) sched.Policy {
	b, overrides := &s.Bounds, &s.Policy
	p := sched.DefaultPolicy(site.Millis(b.HoldMS), site.Millis(b.StopGraceMS), time.Duration(b.KeepFinalS)*time.Second)
	override(&p.CapacityNotice, site.Millis(b.CapacityNoticeMS))
	override(&p.Lease, min(site.Millis(overrides.LeaseMS), p.MaxLease))
	override(&p.StallAfter, site.Millis(overrides.StallMS))
	override(&p.Quarantine, site.Millis(overrides.QuarantineMS))
	p.QuarantineMax = max(p.QuarantineMax, p.Quarantine)
	override(&p.QueueFactor, overrides.QueueFactor)
	override(&p.TailHigh, overrides.TailHigh)
	override(&p.TailLow, overrides.TailLow)
	p.RecordBytes = s.Log.RecordBytes
	return p
}

// movesPolicy returns the planner's policy for an entry's settings.
func movesPolicy(s *site.Settings) moves.Policy {
	p := moves.DefaultPolicy(time.Duration(s.Bounds.MoveS*float64(time.Second)), s.Fleet.OrdersPerS)
	override(&p.IdleTimeout, site.Millis(s.Policy.ParkMS))
	override(&p.Horizon, site.Millis(s.Policy.HorizonMS))
	p.Costs = moves.Costs{VMSecond: s.Policy.VMSecondCost, Move: s.Policy.MoveCost, LateJob: s.Policy.LateJobCost}
	return p
}
