package sched

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// A VM may restart under its ID without its owner's knowing. Calls that were meant for its earlier incarnation then reach
// the present one, whose clock has begun anew. A start order with an end of the lease on the earlier clock is carried out with
// a lease of up to Policy.MaxLease, which is never shortened and applies to all runs on the VM.

const (
	clockRounding  = 10 * time.Millisecond  // by which two readings of one clock may differ beyond its error
	timerDelay     = 200 * time.Millisecond // by which a VM may end a lease late
	longLeaseDelay = 100 * time.Millisecond // by which a lease that was just granted may exceed Policy.Lease, with timerDelay
)

// readOrderClock learns from the VM's clock in the reply to a start order how long the lease lasts that the order has
// granted, and which incarnation has carried it out.
func (s *Scheduler) readOrderClock(now time.Time, v *vm, r *run, a *StartRun) {
	if a.ClockMS <= 0 {
		return
	}
	lease := min(time.Duration(a.Order.UntilMS-a.ClockMS)*time.Millisecond, s.policy.MaxLease)
	r.leaseEnd = now.Add(s.policy.localDuration(lease) + timerDelay)
	if r.leaseEnd.After(v.leasesEnd) {
		v.leasesEnd = r.leaseEnd
		s.noteLongLease(now, v)
	}
	if v.clockMS == 0 {
		return
	}
	clock := time.Duration(a.ClockMS) * time.Millisecond
	switch {
	case clock < s.leastClock(v, r.startedAt)-clockRounding:
		s.log.WithFields(logrus.Fields{"vm": v.ID, "pool": v.Pool, "born": v.Born, "task": r.name, "run": r.number, "clock-ms": a.ClockMS}).Info("start order was answered by a later incarnation of the VM")
		r.onLater = true
		v.polled, v.clockMS = false, 0 // until a poll tells of that incarnation, it gets no runs, and its leases are not renewed
		s.emit(PollVM{VM: v.ID})
	case clock > s.mostLaterClock(v, now)+clockRounding:
		r.incarnation = v.Born
	}
}

// leastClock returns the least that the clock of a VM's known incarnation shows at a time.
func (s *Scheduler) leastClock(v *vm, t time.Time) time.Duration {
	since := t.Sub(v.clockAt)
	if since < 0 {
		since = s.policy.localDuration(since)
	} else {
		since = time.Duration(float64(since) * (1 - s.policy.ClockError))
	}
	return time.Duration(v.clockMS)*time.Millisecond + since
}

// mostLaterClock returns the most that the clock of a later incarnation of a VM than the known one shows at a time: it begins
// as the clock of the known one did, after that has answered last.
func (s *Scheduler) mostLaterClock(v *vm, t time.Time) time.Duration {
	return time.Duration(v.firstClockMS)*time.Millisecond + s.policy.localDuration(t.Sub(v.polledAt))
}

// releaseFormer releases the runs of a VM whose incarnation has ended: those that it certainly had, and those whose start
// orders were answered before the given time, when no later incarnation was up. It is zero if one is up now. Runs stay whose
// start orders are under way, or may have been carried out by a later incarnation.
func (s *Scheduler) releaseFormer(v *vm, why string, noLaterBefore time.Time) {
	laterUp := noLaterBefore.IsZero()
	for _, r := range slices.Backward(v.runList) {
		doubtful := r.incarnation == 0 && r.answeredAt.After(noLaterBefore) && (laterUp || r.phase != startUnverified)
		if r.startInFlight || r.onLater || doubtful {
			r.startOrder.recall()   // its lease is by the clock of the former incarnation
			r.stopConfirmed = false // it was the former incarnation that confirmed the stop
			continue
		}
		s.stats.Lost++
		s.releaseRun(r, why)
	}
	v.orphans = map[string]int64{}
}

// awaitFormerStarts has a new owner that has not reached a restarted VM wait for runs that an earlier owner has started there
// by the clock of the earlier incarnation.
func (s *Scheduler) awaitFormerStarts(now time.Time, v *vm) {
	until, waits := s.unverified[v.ID]
	if !waits {
		return
	}
	if longest := now.Add(s.formerOwnerNotice + s.policy.localDuration(s.policy.MaxLease) + leaseMargin); longest.After(until) {
		s.unverified[v.ID], v.leasesEnd = longest, longest
		s.noteLongLease(now, v)
	}
}

// longLease is an element of the list that is stored under longLeasesKey.
type longLease struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	VM       string
	LeftMS   int64 // when the record was written
}

// noteLongLease records for the next owner that a lease on a VM may be longer than Policy.Lease.
func (s *Scheduler) noteLongLease(now time.Time, v *vm) {
	if usual := now.Add(s.policy.localDuration(s.policy.Lease) + timerDelay + longLeaseDelay); v.leasesEnd.After(usual) {
		s.longLeases[v.ID], s.longLeasesDirty = v.leasesEnd, true
	}
}

func (s *Scheduler) forgetLongLease(vm string) {
	if _, noted := s.longLeases[vm]; noted {
		delete(s.longLeases, vm)
		s.longLeasesDirty = true
	}
}

// afterLongLease returns the later of a time and the end of the long lease on a VM, if there is one.
func (s *Scheduler) afterLongLease(vm string, t time.Time) time.Time {
	return latest(s.longLeases[vm], t)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// longLeasesRecord returns the record of long leases if it has changed: a tombstone once there are none.
func (s *Scheduler) longLeasesRecord(now time.Time) ([]site.Record, error) {
	var list []longLease
	for id, until := range s.longLeases {
		if !until.After(now) {
			delete(s.longLeases, id)
			s.longLeasesDirty = true
			continue
		}
		list = append(list, longLease{VM: id, LeftMS: until.Sub(now).Milliseconds()})
	}
	if !s.longLeasesDirty {
		return nil, nil
	}
	r := site.Record{Key: longLeasesKey}
	if len(list) > 0 {
		var err error
		if r.Value, err = jobs.Encode(&list); err != nil {
			return nil, err
		}
	}
	s.longLeasesDirty = false
	return []site.Record{r}, nil
}

// restoreLongLeases loads the long leases that an earlier owner has recorded. How long ago that was is not known, so each
// counts with all that was left then.
func (s *Scheduler) restoreLongLeases(now time.Time, value []byte) error {
	list, err := jobs.Decode[[]longLease](value)
	if err != nil {
		return err
	}
	for _, x := range *list {
		left := min(time.Duration(x.LeftMS)*time.Millisecond, s.policy.LateCall+s.policy.localDuration(s.policy.MaxLease))
		s.longLeases[x.VM] = now.Add(left + timerDelay)
	}
	s.longLeasesDirty = true
	return nil
}

// awaitLongLeases has a new owner wait for the long leases on VMs that may hold runs of an earlier one.
func (s *Scheduler) awaitLongLeases() {
	for id, until := range s.unverified {
		s.unverified[id] = s.afterLongLease(id, until)
		if v := s.vms[id]; v != nil {
			v.leasesEnd = s.afterLongLease(id, v.leasesEnd)
		}
	}
}
