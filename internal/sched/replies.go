package sched

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// HandleStart handles the reply to a start order. A start without a reply may have been
// carried out, so the run is stopped unless a status poll lists it first. So is a run whose repeated
// start was refused, since the earlier attempt may still be carried out. A repeated start is refused
// as old if the run has been on the VM and has ended.
func (s *Scheduler) HandleStart(now time.Time, a *StartRun, refusal site.Refusal, err error) {
	notBegun := !a.Repeated && ((err == nil && refusal != site.Accepted) || errors.Is(err, site.ErrNotDone) || errors.Is(err, site.ErrOtherIncarnation))
	if a.Repeated || (site.IsUnanswered(err) && !errors.Is(err, site.ErrOtherIncarnation)) {
		s.recordLateStart(now, a)
	}
	if notBegun && errors.Is(err, site.ErrOtherIncarnation) {
		s.releaseNotBegun(a)
	}
	v := s.answeringVM(now, a.VM, err)
	if v == nil {
		return
	}
	if err == nil {
		v.heardAt = now
	}
	r := v.runs[a.Order.Task]
	if r == nil || r.number != a.Order.Run {
		return
	}
	r.answeredAt, r.startInFlight = now, false
	accepted := err == nil && (refusal == site.Accepted || (a.Repeated && refusal == site.RefusedOld))
	if accepted {
		r.confirm(now)
	}
	if err == nil {
		s.readOrderClock(now, v, r, a)
	}
	switch {
	case v.ended && (!accepted || r.incarnation == v.Born || a.ClockMS == 0):
		s.stats.Lost++
		s.settleLost(r, accepted, notBegun)
		s.releaseRun(r, "machine is down")
	case accepted:
		if r.phase == starting {
			r.phase = working // or ended already; a poll that begins later shows which
		}
	case err == nil && refusal == site.RefusedFence:
		s.fencedBy(a.VM, "start")
	case notBegun:
		s.handleRefusedStart(now, r, refusal, err)
	case r.phase == starting:
		r.phase = startUnverified
		r.stopReason = "start not answered"
		if r.step().Lasts { // a poll may list it; to stop it would take it away beside others that are away
			r.awaitsPoll, r.nextStopAt = true, now.Add(s.policy.SilentAfter)
			s.emit(PollVM{VM: v.ID})
		}
		s.log.WithError(err).WithFields(logrus.Fields{
			"task": a.Order.Task, "run": r.number, "vm": v.ID, "repeated": a.Repeated, "refusal": refusal.String(),
		}).Info("start order not answered; the run is stopped")
	}
}

// releaseNotBegun releases a run whose start order another incarnation of the VM has turned away: the loss of the
// earlier one does not count against its task.
func (s *Scheduler) releaseNotBegun(a *StartRun) {
	if v := s.vms[a.VM]; v != nil {
		if r := v.runs[a.Order.Task]; r != nil && r.number == a.Order.Run && r.confirmedAt.IsZero() {
			s.releaseRun(r, "another incarnation of the VM answered")
		}
	}
}

// settleLost handles the reply to a start order whose VM is known to have ended: it tells whether the crash happened
// under the run.
func (s *Scheduler) settleLost(r *run, begun, notBegun bool) {
	t, v := r.task, r.vm
	switch {
	case begun:
		s.losses.set(t, t.crashes.Confirmed(v.ID, v.Born))
	case notBegun && r.confirmedAt.IsZero():
		s.losses.set(t, t.crashes.Without(v.ID, v.Born))
	}
}

// handleRefusedStart releases a run whose start was refused or certainly not carried out.
// After RefusedLate, the estimate of the VM's clock may be wrong, so the VM is used again only
// after a poll.
func (s *Scheduler) handleRefusedStart(now time.Time, r *run, refusal site.Refusal, err error) {
	s.log.WithError(err).WithField("task", r.task.id.String()).WithField("run", r.number).WithField("vm", r.vm.ID).WithField("refusal", refusal.String()).Info("start order refused")
	t := r.task
	switch refusal {
	case site.RefusedTicket:
		delete(t.step.tickets, r.vm.ID)
		t.step.adviceRetryAt = now
	case site.RefusedLate:
		r.vm.polled = false
	case site.RefusedOld:
	default:
		r.vm.backoffUntil = now.Add(s.policy.Backoff)
	}
	s.releaseRun(r, "start refused")
}

// HandleStop handles the reply to a stop order.
func (s *Scheduler) HandleStop(now time.Time, a *StopRun, refusal site.Refusal, err error) {
	s.settleLateStart(now, a, refusal, err)
	v := s.answeringVM(now, a.VM, err)
	if v == nil {
		return
	}
	if err == nil {
		v.heardAt = now
	}
	if err == nil && refusal == site.RefusedFence {
		s.fencedBy(a.VM, "stop")
		return
	}
	r := v.runs[a.Task]
	if r == nil || r.number != a.Run {
		return
	}
	r.stopInFlight = false
	if err != nil {
		r.nextStopAt = now.Add(s.policy.Backoff)
		return
	}
	if a.Born != v.Born {
		return // an earlier incarnation may have confirmed it
	}
	r.stopConfirmed, r.answeredAt = true, now
}

// HandlePollFailure handles a status poll that failed at the given time.
func (s *Scheduler) HandlePollFailure(at time.Time, id string, err error) {
	v := s.answeringVM(at, id, err)
	if v == nil {
		return
	}
	v.pollFailed = true
	if site.IsUnanswered(err) {
		v.polls.acks.fail()
		v.polls.renewals.fail()
	}
	if v.failedAt.IsZero() {
		v.failedAt = at
	}
	if errors.Is(err, site.ErrFenced) {
		s.fencedBy(id, "status poll")
	}
}

// answeringVM returns the VM that a call went to, nil if it is not known. It removes the VM
// if another incarnation answered.
func (s *Scheduler) answeringVM(now time.Time, id string, err error) *vm {
	if errors.Is(err, site.ErrOtherIncarnation) {
		s.RemoveVM(now, id)
	}
	return s.vms[id]
}
