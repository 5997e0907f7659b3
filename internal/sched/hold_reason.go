package sched

import "time"

//go:generate ../../.bin/enumer -type=holdReason -trimprefix=held -transform=kebab -output=holdreason_enumer.go

// holdReason says why a task does not run.
type holdReason int

const (
	heldNone         holdReason = iota // it may start
	heldDone                           // it is done
	heldJobRecord                      // the job log does not hold its job
	heldSteps                          // steps that it depends on are not done
	heldRetired                        // the partition is being handed over
	heldOwnership                      // the ownership of the partition is not confirmed
	heldLastEnd                        // its last run has just ended
	heldGivenUp                        // too many VMs have crashed under it
	heldCrashRecord                    // the job log does not hold all crashes under it
	heldShownJobs                      // the jobs that an earlier owner has shown as completed are not known
	heldEarlierRun                     // it may be running on a VM that this owner has not heard of
	heldConfirmation                   // the ownership is not confirmed since its VM ended
	heldQuota                          // its account is at its quota
	heldCapacity                       // the capacity of the pool's VMs is not known
	heldService                        // no VM of the pool is in service
	heldAdvice                         // the placement policy has allowed no VM yet
	heldTrial                          // a suspect waits for a VM of its own, or for others that are on trial
	heldReservation                    // room is reserved for long-running tasks
	heldRoom                           // it fits on no VM

	// The others are of tasks with a run.

	heldStart    // its start order is not answered
	heldVerify   // its start order was not answered and no status poll has listed it
	heldStop     // it is being stopped
	heldEnd      // its VM lists it neither as running nor as ended
	heldAnswer   // its VM does not answer
	heldProgress // it is not at work yet
)

//go:generate ../../.bin/enumer -type=vmHold -trimprefix=vm -transform=kebab -output=vmhold_enumer.go

// vmHold says why a VM gets no run, or none of a task.
type vmHold int

const (
	vmOpen        vmHold = iota // it may get one
	vmUnlisted                  // the platform does not list it
	vmDraining                  // the platform will take it out of its pool
	vmCordoned                  // it is about to be moved or maintained
	vmUnanswered                // it has not answered this owner
	vmSilent                    // it has stopped answering
	vmUnrecorded                // the job log does not name it
	vmOrphans                   // it has runs that this owner does not track
	vmQuarantined               // runs of several jobs failed there
	vmBackoff                   // it has refused a start
	vmProbation                 // it gets one run at a time
	vmRestarted                 // the ownership is not confirmed since it restarted
	vmTrial                     // it is kept for a suspect of another job
	vmFull                      // it has no room
	vmLabel                     // it lacks the label
	vmLateCall                  // a call to its earlier incarnation may arrive
	vmSameStep                  // it has as many tasks of the step as may run there
	vmNoTicket                  // the placement policy has not allowed it
	vmReserved                  // its room is reserved
)

// holdReason says why a task without a run waits. cands are the VMs of its pool that may get runs.
func (s *Scheduler) holdReason(now time.Time, o *occurrence, t *task, cands []*candidate) holdReason {
	switch {
	case t.done:
		return heldDone
	case !t.job.stored:
		return heldJobRecord
	case !o.stepReady(t.step):
		return heldSteps
	case s.retired:
		return heldRetired
	case s.expired(now):
		return heldOwnership
	}
	if held := s.startHold(now, t); held != heldNone {
		return held
	}
	switch {
	case !s.quotaAllows(now, t, startedTogether(t.step)):
		return heldQuota
	case s.capacityUnknown(now, t.job.Pool):
		return heldCapacity
	case len(cands) == 0:
		return heldService
	case t.job.Advice && !now.Before(t.step.adviceExpires):
		return heldAdvice
	case !t.step.heldSince.IsZero():
		return heldReservation
	case s.bestCandidate(now, t, cands) == nil:
		return heldRoom
	case t.suspected():
		return heldTrial
	}
	return heldNone
}

// holdReason says why a task with this run is not at work.
func (r *run) holdReason(now time.Time, p *Policy) holdReason {
	switch {
	case r.phase == starting:
		return heldStart
	case r.phase == startUnverified:
		return heldVerify
	case r.phase == stopping:
		return heldStop
	case now.Sub(r.vm.lastAnswer) >= p.SilentAfter:
		return heldAnswer
	case r.endUnknown:
		return heldEnd
	}
	return heldProgress
}
