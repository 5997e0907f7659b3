package site

import "fmt"

// PolicySettings are the time limits and thresholds of the scheduler that operators may
// change. Zero selects the default.
type PolicySettings struct {
	LeaseMS      int     `json:"lease-ms"`       // lease of the runs on a VM
	StallMS      int     `json:"stall-ms"`       // a run without progress for this long is restarted
	QuarantineMS int     `json:"quarantine-ms"`  // first quarantine of a VM after repeated failures
	QueueFactor  float64 `json:"queue-factor"`   // a job is refused if its expected wait exceeds the longest with which it meets its latency objective, times this factor
	TailHigh     float64 `json:"tail-high"`      // fraction of a task's tail latency limit above which best-effort tasks are throttled
	TailLow      float64 `json:"tail-low"`       // fraction of that limit below which the throttling is relaxed
	ParkMS       int     `json:"park-ms"`        // a machine that its pool has not needed for this long moves to the spare pool
	HorizonMS    int     `json:"horizon-ms"`     // a pool is sized so that its waiting work is done within this time
	VMSecondCost float64 `json:"vm-second-cost"` // of a VM in a pool other than the spare pool; with it, machines move by predicted loads and costs instead of ParkMS
	MoveCost     float64 `json:"move-cost"`      // of a move, in the unit of VMSecondCost
	LateJobCost  float64 `json:"late-job-cost"`  // of a job that misses its objective, in the same unit
}

// policyRange is the allowed range of one setting.
type policyRange struct {
	name     string
	value    float64
	min, max float64
}

func (p *PolicySettings) check() error {
	ranges := []policyRange{
		{"lease-ms", float64(p.LeaseMS), 2000, 60_000},
		{"stall-ms", float64(p.StallMS), 500, 600_000},
		{"quarantine-ms", float64(p.QuarantineMS), 100, 600_000},
		{"queue-factor", p.QueueFactor, 0.1, 100},
		{"tail-high", p.TailHigh, 0.1, 1},
		{"tail-low", p.TailLow, 0.05, 0.95},
		{"park-ms", float64(p.ParkMS), 100, 3_600_000},
		{"horizon-ms", float64(p.HorizonMS), 100, 600_000},
		{"vm-second-cost", p.VMSecondCost, 1e-6, 1e6},
		{"move-cost", p.MoveCost, 1e-6, 1e6},
		{"late-job-cost", p.LateJobCost, 1e-6, 1e6},
	}
	for _, r := range ranges {
		if r.value != 0 && (r.value < r.min || r.value > r.max) {
			return fmt.Errorf("policy: %s is %v, allowed are %v to %v, or 0 for the default", r.name, r.value, r.min, r.max)
		}
	}
	if set := p.VMSecondCost > 0; set != (p.MoveCost > 0) || set != (p.LateJobCost > 0) {
		return fmt.Errorf("policy: vm-second-cost %v, move-cost %v and late-job-cost %v must be set together", p.VMSecondCost, p.MoveCost, p.LateJobCost)
	}
	return nil
}
