package drive

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/usage"
	"github.com/greengagelane/greengagelane/internal/vmcall"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	pollWait          = time.Second            // how long a VM may delay its reply to a status poll until a run ends; a lease outlasts two failed polls
	minPollInterval   = 40 * time.Millisecond  // between polls, so that ends of runs are reported in batches
	pollIntervalPerVM = 300 * time.Microsecond // per VM of the partition; bounds the partition's polls per second
	pollBackoff       = 200 * time.Millisecond // after the second of two failed polls, and each further one
	maxSenders        = 3                      // connections for orders to one VM
	addSenderAfter    = 40 * time.Millisecond  // another sender starts if none is idle and no order has left the queue for longer than this
	senderIdleTimeout = 20 * time.Second       // an additional sender without orders ends after this
	idlePollWait      = sched.LongestPoll      // how long a VM without runs may delay its reply
)

// vmSession communicates with one VM of a partition: one connection for status polls, up to
// maxSenders for orders.
type vmSession struct {
	part   *ownedPartition
	id     string
	addr   string
	cancel context.CancelFunc
	calls  *vmcall.VM

	mu          sync.Mutex
	queue       []queuedOrder
	wake        chan struct{}
	senders     int
	idleSenders int
	lastDequeue time.Time // when an order was last taken from the queue
}

// queuedOrder is an order that waits to be sent.
type queuedOrder struct {
	action sched.Action
	at     time.Time // when it was queued
}

func newVMSession(ctx context.Context, part *ownedPartition, id, addr string) *vmSession {
	ctx, cancel := context.WithCancel(ctx)
	s := &vmSession{part: part, id: id, addr: addr, cancel: cancel, calls: part.vmCalls.NewVM(), wake: make(chan struct{}, 1)}
	go s.pollLoop(ctx)
	return s
}

// pollLoop polls the VM's status until the session ends and passes the results to the scheduler.
// After a failed poll it verifies the VM, which may have restarted: the next poll does not
// acknowledge ended runs and does not renew leases.
func (s *vmSession) pollLoop(ctx context.Context) {
	link, end := s.openLink(ctx)
	defer end()
	verify := true
	failures := 0 // in a row
	for ctx.Err() == nil {
		poll, ok := s.part.nextPoll(ctx, s.id, verify)
		if !ok {
			sleep(ctx, pollBackoff)
			continue
		}
		sentAt, err := s.poll(ctx, link, &poll)
		if ctx.Err() != nil {
			return
		}
		verify = err != nil
		s.recordCall(err, time.Since(sentAt)-poll.Wait, failures+1, time.Since(sentAt))
		if err != nil {
			pollsFailed.Inc()
			if failures++; failures > 1 || !site.IsUnanswered(err) {
				sleep(ctx, pollBackoff)
			}
			continue
		}
		failures = 0
		pollsOK.Inc()
		sleep(ctx, max(minPollInterval, time.Duration(s.part.sessionCount.Load())*pollIntervalPerVM))
	}
}

// openLink returns a link to the VM and the function that closes it. It is closed when the session ends, too, so that its
// calls need no context.
func (s *vmSession) openLink(ctx context.Context) (link *platform.VMLink, end func()) {
	link = platform.NewVMLink(s.addr, s.id)
	stop := context.AfterFunc(ctx, link.Close)
	return link, func() {
		stop()
		link.Close()
	}
}

// enqueue queues an order. It starts a sender if there is none, or if all are busy and no
// order has left the queue for longer than addSenderAfter.
func (s *vmSession) enqueue(ctx context.Context, now time.Time, a sched.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, queuedOrder{a, now})
	stuck := now.Sub(s.lastDequeue) > addSenderAfter
	if s.senders == 0 || (s.idleSenders == 0 && stuck && s.senders < maxSenders) {
		s.senders++
		go s.sendLoop(ctx, s.senders == 1)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendLoop sends queued orders one at a time on a connection of its own.
func (s *vmSession) sendLoop(ctx context.Context, first bool) {
	link, end := s.openLink(ctx)
	defer end()
	for ctx.Err() == nil {
		a, ok := s.dequeue()
		if ok {
			s.send(ctx, link, a)
			continue
		}
		if !s.waitForOrder(ctx, first) {
			return
		}
	}
}

func (s *vmSession) dequeue() (sched.Action, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, false
	}
	a := s.queue[0]
	s.queue = s.queue[1:]
	s.lastDequeue = time.Now()
	usage.OrderWaited(s.lastDequeue.Sub(a.at))
	return a.action, true
}

// waitForOrder waits for an order. It returns false if the sender has to end; the first
// sender ends with the session only.
func (s *vmSession) waitForOrder(ctx context.Context, first bool) bool {
	s.mu.Lock()
	s.idleSenders++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.idleSenders--
		s.mu.Unlock()
	}()
	var timeout <-chan time.Time
	if !first {
		t := time.NewTimer(senderIdleTimeout)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-s.wake:
		return true
	case <-timeout:
		s.mu.Lock()
		s.senders--
		s.mu.Unlock()
		return false
	case <-ctx.Done():
		return false
	}
}

// send sends an order and passes the reply to the scheduler. An order without an answer is sent again on a
// new connection: each order has the same effect however often it is carried out.
func (s *vmSession) send(ctx context.Context, link *platform.VMLink, a sched.Action) {
	if _, ok := a.(sched.PollVM); ok {
		s.pollNow(ctx, link)
		return
	}
	began := time.Now()
	var refusal site.Refusal
	var clockMS int64
	var err error
	attempts := 0
	for repeat := true; repeat && ctx.Err() == nil && s.mayAttempt(a); {
		attempts++
		sentAt, waited := time.Now(), link.Waited()
		refusal, clockMS, err = s.sendOnce(link, a, s.calls.Timeout(sentAt.Sub(began)))
		kindOfOrder(a).Add(time.Since(sentAt) - (link.Waited() - waited))
		repeat = s.recordCall(err, time.Since(sentAt), attempts, time.Since(began))
	}
	if ctx.Err() != nil {
		return
	}
	if attempts == 0 {
		err = errNotSent
	} else {
		orderDuration.UpdateDuration(began)
	}
	s.part.post(func(now time.Time) {
		switch a := a.(type) {
		case sched.StartRun:
			a.Repeated, a.ClockMS = attempts > 1, clockMS
			s.part.scheduler.HandleStart(now, &a, refusal, err)
		case sched.StopRun:
			s.part.scheduler.HandleStop(now, &a, refusal, err)
		case sched.ThrottleRun:
			s.part.scheduler.HandleThrottle(&a, refusal, err)
		}
	})
}

// errNotSent is the result of an order that no longer holds when its turn comes.
var errNotSent = fmt.Errorf("order not sent: %w", site.ErrNotDone)

// mayAttempt reports whether an order still holds, right before an attempt to send it.
func (s *vmSession) mayAttempt(a sched.Action) bool {
	if x, ok := a.(sched.StartRun); ok {
		return !s.part.authorityEnded(time.Now()) && x.Dispatch.Attempt()
	}
	return true
}

// pollNow polls the VM's status out of turn. As in a poll after a failed one, the VM does not delay its reply.
func (s *vmSession) pollNow(ctx context.Context, link *platform.VMLink) {
	if poll, ok := s.part.nextPoll(ctx, s.id, true); ok {
		_, _ = s.poll(ctx, link, &poll) // the poll loop decides what a failure means
	}
}

// poll sends a status poll and passes the result to the scheduler.
func (s *vmSession) poll(ctx context.Context, link *platform.VMLink, poll *site.StatusPoll) (sentAt time.Time, err error) {
	sentAt = time.Now()
	waited := link.Waited()
	status, err := link.Poll(context.Background(), poll, s.calls.Timeout(0))
	usage.Poll.Add(time.Since(sentAt) - (link.Waited() - waited))
	if ctx.Err() != nil {
		return sentAt, ctx.Err()
	}
	endedAt := time.Now()
	s.part.post(func(now time.Time) {
		defer usage.Status.Since(now)
		if err != nil {
			if !site.IsUnanswered(err) {
				s.part.scheduler.SettlePoll(s.id, poll)
			}
			s.part.scheduler.HandlePollFailure(endedAt, s.id, err)
			return
		}
		s.part.scheduler.HandlePoll(now, s.id, sentAt, status)
	})
	return sentAt, err
}

func kindOfOrder(a sched.Action) usage.Kind {
	if _, ok := a.(sched.StartRun); ok {
		return usage.Start
	}
	return usage.Order
}

// sendOnce sends an order. clockMS is the VM's clock in the reply to a start, 0 if it is not known.
func (s *vmSession) sendOnce(link *platform.VMLink, a sched.Action, timeout time.Duration) (refusal site.Refusal, clockMS int64, err error) {
	ctx, epoch := context.Background(), s.part.scheduler.Epoch
	switch a := a.(type) {
	case sched.StartRun:
		return link.Start(ctx, &a.Order, timeout)
	case sched.StopRun:
		refusal, err = link.Stop(ctx, a.Task, a.Run, epoch, timeout)
		return refusal, 0, err
	case sched.ThrottleRun:
		refusal, err = link.Throttle(ctx, a.Task, a.Run, a.Percent, epoch, timeout)
		return refusal, 0, err
	}
	return site.Accepted, 0, site.ErrNotDone
}

// recordCall records the outcome of an attempt at a call and reports whether to repeat the call at once.
// response is the response time of an answered attempt, attempts and took are the number and the time of all attempts so far.
func (s *vmSession) recordCall(err error, response time.Duration, attempts int, took time.Duration) (repeat bool) {
	switch {
	case err == nil:
		s.calls.RecordAnswer(response, attempts > 1)
	case site.IsUnanswered(err) && !errors.Is(err, site.ErrOtherIncarnation):
		return s.calls.RecordSilence(attempts, took)
	}
	return false
}

// nextPoll returns the next status poll for a VM, false if the scheduler has none.
func (part *ownedPartition) nextPoll(ctx context.Context, id string, verify bool) (site.StatusPoll, bool) {
	p, err := runOnPartition(ctx, part, func(part *ownedPartition, now time.Time) *site.StatusPoll {
		return part.pollAt(now, id, verify)
	})
	if err != nil || p == nil {
		return site.StatusPoll{}, false
	}
	return *p, true
}

// pollAt returns the status poll for a VM as of now, nil if the scheduler has none.
func (part *ownedPartition) pollAt(now time.Time, id string, verify bool) *site.StatusPoll {
	p, ok := part.scheduler.NextPoll(now, id, verify)
	switch {
	case !ok:
		return nil
	case !verify && p.UntilMS > 0: // the poll renews leases: the VM has runs
		p.Wait = part.vmCalls.PollWait(pollWait)
	case !verify:
		p.Wait = part.vmCalls.PollWait(idlePollWait)
	}
	return &p
}

// sleep returns after a time, or as soon as the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
