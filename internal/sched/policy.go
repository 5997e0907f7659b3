// Package sched schedules the jobs of one partition of the job log: admission,
// prioritisation, placement, leases of runs, retries, evacuation of VMs, throttling, and
// takeover from an earlier owner.
//
// A Scheduler has no clock, no network and no goroutine. Its driver passes in submissions,
// VM lists, status polls and replies, with the time, and carries out the actions that
// Decide returns. Flush returns the records that the job log has to store next. Callers
// see accepted jobs and final states, and VMs get their run ends acknowledged, only once
// these records are stored and Flushed is called.
package sched

import "time"

// Policy holds the time limits and thresholds of scheduling decisions. It is not the
// placement policy, which is an external service.
type Policy struct {
	MaxLease            time.Duration // longest lease that a VM accepts
	Lease               time.Duration // granted with a start and renewed with each status poll; at most MaxLease
	ClockError          float64       // bound of the relative error of a VM's clock
	CapacityNotice      time.Duration // age of the VM list up to which VMs that do not guard their capacity get runs: it may have shrunk since
	StopGrace           time.Duration // longest time that a VM takes to stop a run
	LateCall            time.Duration // after which a VM no longer carries out a call that it left unanswered
	KeepFinal           time.Duration // time for which final jobs can be queried
	RecordBytes         int           // limit of the job log for a record; 0 for none
	Backoff             time.Duration // before a refused or failed order is repeated
	StallAfter          time.Duration // time without progress after which a run is restarted
	SilentAfter         time.Duration // time without an answer after which a VM's runs count as unavailable; from 1 s after that, the VM gets no new runs
	Quarantine          time.Duration // length of the first quarantine; also how long a long-running task must be available to end probation
	QuarantineMax       time.Duration // longest quarantine
	ConsecutiveFailures int           // failed runs in a row, of at least two jobs, that quarantine a VM
	TailHigh            float64       // share of Step.TailMS above which best-effort tasks are slowed down
	TailLow             float64       // share of Step.TailMS below which best-effort tasks are sped up
	CopyShare           float64       // largest share of a pool's cores in speculative runs; 0 for none
	QueueFactor         float64       // longest time that a new job may have to wait, as a multiple of the longest with which it meets its latency objective
}

// localDuration returns the longest time on the local clock that d on a VM's clock takes.
func (p *Policy) localDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + p.ClockError))
}

// DefaultPolicy returns the policy for a platform with the given bounds.
func DefaultPolicy(maxLease, stopGrace, keepFinal time.Duration) Policy {
	const lease = 4 * time.Second // two failed polls of 1 s, a takeover of 1.5 s and 0.5 s of slack
	return Policy{
		MaxLease:            maxLease,
		Lease:               min(lease, maxLease),
		ClockError:          0.02, // guaranteed by the platform
		CapacityNotice:      3 * time.Second,
		StopGrace:           stopGrace,
		LateCall:            15 * time.Second, // the platform says seconds
		KeepFinal:           keepFinal,
		Backoff:             300 * time.Millisecond, // several round trips, well below a task's run time
		StallAfter:          2500 * time.Millisecond,
		SilentAfter:         1500 * time.Millisecond, // longer than a status poll may wait
		Quarantine:          2 * time.Second,
		QuarantineMax:       8 * time.Second,
		ConsecutiveFailures: 3,
		TailHigh:            0.8,
		TailLow:             0.6,
		CopyShare:           0.05, // 3 stragglers in 100 tasks need 0.03 of the work of the others
		QueueFactor:         1.2,
	}
}
