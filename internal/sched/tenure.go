package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/internal/tenure"
)

// SetTenure sets until when the owner may act on its claim. Once its authority has ended, the scheduler starts no task,
// evacuates no run and renews no lease. The scheduler keeps t, which its caller goes on confirming.
func (s *Scheduler) SetTenure(t *tenure.Tenure) { s.tenure = t }

// expired reports whether another entry may own the partition.
func (s *Scheduler) expired(now time.Time) bool { return s.tenure != nil && s.tenure.Expired(now) }

// confirmedAfter reports whether a moment has passed and no later owner had claimed the partition by then. Such an owner
// could have renewed leases that were to end then, or started tasks elsewhere. If that is not known yet, the scheduler
// awaits a confirmation.
func (s *Scheduler) confirmedAfter(now, at time.Time) bool {
	if s.tenure == nil || !now.After(at) {
		return now.After(at)
	}
	confirmed := s.tenure.ConfirmedSince(at)
	s.awaitsTenure = s.awaitsTenure || !confirmed
	return confirmed
}

// confirmedAfterLoss reports whether no later owner had claimed the partition when the incarnation of the VM that may have run
// a task was known to have ended. Such an owner may have read the end of the run before, and ended the incarnation itself.
func (s *Scheduler) confirmedAfterLoss(now time.Time, t *task) bool {
	at := t.lostAt
	if t.unverified && s.incarnationEndedAt.After(at) { // which VMs may have run it is not always known
		at = s.incarnationEndedAt
	}
	return s.tenure == nil || at.IsZero() || s.confirmedAfter(now, at)
}

// AwaitsConfirmation reports whether the last round has left something undecided until the ownership is confirmed.
func (s *Scheduler) AwaitsConfirmation() bool { return s.awaitsTenure }
