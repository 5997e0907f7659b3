package drive

import (
	"time"

	"github.com/greengagelane/greengagelane/internal/moves"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// set replaces a default by a setting that is given.
func set[T int | float64 | time.Duration](to *T, value T) {
	if value != 0 {
		*to = value
	}
}

// schedPolicy returns the scheduler's policy for an entry's settings.
func schedPolicy(s *site.Settings) sched.Policy {
	b, own := &s.Bounds, &s.Policy
	p := sched.DefaultPolicy(site.Millis(b.HoldMS), site.Millis(b.StopGraceMS), time.Duration(b.KeepFinalS)*time.Second)
	set(&p.Lease, min(site.Millis(own.LeaseMS), p.MaxLease))
	set(&p.StallAfter, site.Millis(own.StallMS))
	set(&p.Quarantine, site.Millis(own.QuarantineMS))
	p.QuarantineMax = max(p.QuarantineMax, p.Quarantine)
	set(&p.QueueFactor, own.QueueFactor)
	set(&p.TailHigh, own.TailHigh)
	set(&p.TailLow, own.TailLow)
	return p
}

// movesPolicy returns the planner's policy for an entry's settings.
func movesPolicy(s *site.Settings) moves.Policy {
	p := moves.DefaultPolicy(time.Duration(s.Bounds.MoveS * float64(time.Second)))
	set(&p.IdleTimeout, site.Millis(s.Policy.ParkMS))
	set(&p.Horizon, site.Millis(s.Policy.HorizonMS))
	return p
}
