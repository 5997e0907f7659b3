// Package sched decides for the jobs of one partition of the job log: which are
// taken in, which task runs on which VM, what is stopped, retried and given up. It
// has no clock, no network and no goroutine. Its driver hands in what was observed,
// with the time, and carries out the actions that Decide returns.
package sched

import "time"

// Policy holds the limits and weights of the decisions.
type Policy struct {
	MaxLease            time.Duration // longest lease that a VM takes
	Lease               time.Duration // granted to a VM's runs with each look
	ClockError          float64       // largest relative error of a VM's clock
	StopGrace           time.Duration // longest time that a stop takes
	KeepFinal           time.Duration // a final job is answered for this long
	Backoff             time.Duration // before a refused or failed order is tried again
	StallAfter          time.Duration // a run without progress for this long is restarted
	SilentAfter         time.Duration // a VM that has not answered for this long gets nothing new
	Quarantine          time.Duration // first rest of a VM that fails what it starts
	QuarantineMax       time.Duration
	ConsecutiveFailures int     // failed runs in a row, of two jobs or more, that quarantine a VM
	TailHigh            float64 // share of a tail bound above which fillers slow down
	TailLow             float64 // share of a tail bound below which fillers speed up
	QueueFactor         float64 // of a pool's capacity times a job's objective, the most work queued
}

// localDuration returns the longest time that a span on a VM's clock takes on ours.
func (p *Policy) localDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + p.ClockError))
}

// DefaultPolicy returns the policy for a site with the given bounds.
func DefaultPolicy(hold, stopGrace, keepFinal time.Duration) Policy {
	const lease = 4 * time.Second // two failed looks of 1 s, a takeover of 1.5 s and 0.5 s of slack
	return Policy{
		MaxLease:            hold,
		Lease:               min(lease, hold),
		ClockError:          0.02, // the platform's bound
		StopGrace:           stopGrace,
		KeepFinal:           keepFinal,
		Backoff:             300 * time.Millisecond, // several round trips, well below a task's run time
		StallAfter:          2500 * time.Millisecond,
		SilentAfter:         1500 * time.Millisecond, // longer than the wait of a look
		Quarantine:          2 * time.Second,
		QuarantineMax:       8 * time.Second,
		ConsecutiveFailures: 3,
		TailHigh:            0.8,
		TailLow:             0.6,
		QueueFactor:         1,
	}
}
