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

// certainlyAfter reports whether a moment at which leases end has passed and no later owner had claimed the partition by
// then, which could have renewed them.
func (s *Scheduler) certainlyAfter(now, leasesEnd time.Time) bool {
	if s.tenure == nil || !now.After(leasesEnd) {
		return now.After(leasesEnd)
	}
	confirmed := s.tenure.ConfirmedSince(leasesEnd)
	s.awaitsTenure = s.awaitsTenure || !confirmed
	return confirmed
}

// AwaitsConfirmation reports whether the last round has left something undecided until the ownership is confirmed.
func (s *Scheduler) AwaitsConfirmation() bool { return s.awaitsTenure }
