package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// pollsInDoubt tells whether a VM may still carry out status polls of one kind. Those of the poll loop follow one
// another; the zero value is ready for use.
type pollsInDoubt struct {
	sentAt     time.Time // of the poll under way; zero if there is none
	unanswered time.Time // when the last poll was sent that was not answered; zero if there was none
}

// send records that a poll is sent.
func (p *pollsInDoubt) send(now time.Time) {
	p.fail()
	p.sentAt = now
}

// settle records that the poll under way was answered, and so carried out or refused, or that it was not sent.
func (p *pollsInDoubt) settle() { p.sentAt = time.Time{} }

// fail records that the poll under way, if any, was not answered.
func (p *pollsInDoubt) fail() {
	if !p.sentAt.IsZero() {
		p.unanswered, p.sentAt = p.sentAt, time.Time{}
	}
}

// lastInDoubt returns when the last poll was sent that was not answered or is under way.
func (p *pollsInDoubt) lastInDoubt() time.Time {
	if !p.sentAt.IsZero() {
		return p.sentAt
	}
	return p.unanswered
}

// vmPolls are the status polls that a VM may still carry out.
type vmPolls struct {
	acks     pollsInDoubt // that acknowledge run ends
	renewals pollsInDoubt // that renew leases
}

func (p vmPolls) lastInDoubt() time.Time {
	if a, r := p.acks.lastInDoubt(), p.renewals.lastInDoubt(); a.After(r) {
		return a
	}
	return p.renewals.lastInDoubt()
}

// SettlePoll records that a status poll was answered, and so carried out or refused, or that it was not sent. Another one
// may be under way.
func (s *Scheduler) SettlePoll(id string, poll *site.StatusPoll) {
	if v := s.vms[id]; v != nil {
		v.polls.settle(poll)
	}
}

func (p *vmPolls) settle(poll *site.StatusPoll) {
	if poll.AckCursor > 0 {
		p.acks.settle()
	}
	if poll.UntilMS > 0 {
		p.renewals.settle()
	}
}

// settlePolls records the answer to a status poll, and the first run end that it lists.
func (v *vm) settlePolls(status *site.VMStatus) {
	v.polls.settle(&status.Answers)
	v.firstListed = 0
	for i := range status.Ended {
		if n := status.Ended[i].Sequence; v.firstListed == 0 || n < v.firstListed {
			v.firstListed = n
		}
	}
}
