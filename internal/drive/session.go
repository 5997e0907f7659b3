package drive

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	pollWait          = time.Second            // of a look without news; a lease bears two failed looks
	minPollInterval   = 40 * time.Millisecond  // between looks, so that ends come in groups
	pollIntervalPerVM = 600 * time.Microsecond // between looks, for each VM of the shard: bounds the looks a second
	pollBackoff       = 200 * time.Millisecond // after a failed look
	maxSenders        = 3                      // connections for orders to one VM
	stuckOrderAfter   = 40 * time.Millisecond  // an order in flight for longer gets a lane beside it
	senderIdleTimeout = 20 * time.Second       // a spare lane is closed after it
	idlePollWait      = 2 * time.Second        // the longest that a VM takes, for VMs without runs
)

// vmSession speaks with one VM for a shard: one connection for looks, others for
// orders.
type vmSession struct {
	part   *ownedPartition
	id     string
	addr   string
	cancel context.CancelFunc

	mu          sync.Mutex
	queue       []sched.Action
	wake        chan struct{}
	senders     int
	idleSenders int
	lastDequeue time.Time // an order was last taken from the queue
}

func newVMSession(ctx context.Context, part *ownedPartition, id, addr string) *vmSession {
	ctx, cancel := context.WithCancel(ctx)
	s := &vmSession{part: part, id: id, addr: addr, cancel: cancel, wake: make(chan struct{}, 1)}
	go s.pollLoop(ctx)
	return s
}

func (s *vmSession) pollLoop(ctx context.Context) {
	link := platform.NewVMLink(s.addr, s.id)
	defer link.Close()
	verify := true
	for ctx.Err() == nil {
		hold, ok := s.part.nextPoll(ctx, s.id, verify)
		if !ok {
			sleep(ctx, pollBackoff)
			continue
		}
		begun := time.Now()
		look, err := link.Look(ctx, &hold)
		if ctx.Err() != nil {
			return
		}
		verify = err != nil
		s.part.post(func(now time.Time) {
			if err != nil {
				s.part.scheduler.HandlePollFailure(s.id, err)
				return
			}
			s.part.scheduler.HandlePoll(now, s.id, begun, look)
		})
		if err != nil {
			pollsFailed.Inc()
			sleep(ctx, pollBackoff)
			continue
		}
		pollsOK.Inc()
		sleep(ctx, max(minPollInterval, time.Duration(s.part.sessionCount.Load())*pollIntervalPerVM))
	}
}

// enqueue queues an order.
func (s *vmSession) enqueue(ctx context.Context, now time.Time, a sched.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, a)
	stuck := now.Sub(s.lastDequeue) > stuckOrderAfter
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

// sendLoop sends orders one after the other.
func (s *vmSession) sendLoop(ctx context.Context, first bool) {
	link := platform.NewVMLink(s.addr, s.id)
	defer link.Close()
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
	return a, true
}

// waitForOrder waits for an order; it returns false where the lane is to end.
func (s *vmSession) waitForOrder(ctx context.Context, first bool) bool {
	s.mu.Lock()
	s.idleSenders++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.idleSenders--
		s.mu.Unlock()
	}()
	var over <-chan time.Time
	if !first {
		t := time.NewTimer(senderIdleTimeout)
		defer t.Stop()
		over = t.C
	}
	select {
	case <-s.wake:
		return true
	case <-over:
		s.mu.Lock()
		s.senders--
		s.mu.Unlock()
		return false
	case <-ctx.Done():
		return false
	}
}

func (s *vmSession) send(ctx context.Context, link *platform.VMLink, a sched.Action) {
	began := time.Now()
	var report func(now time.Time)
	switch a := a.(type) {
	case sched.StartRun:
		refusal, err := link.Start(ctx, &a.Order)
		report = func(now time.Time) { s.part.scheduler.HandleStart(now, &a, refusal, err) }
	case sched.StopRun:
		refusal, err := link.Stop(ctx, a.Task, a.Run, s.part.scheduler.Epoch)
		report = func(now time.Time) { s.part.scheduler.HandleStop(now, &a, refusal, err) }
	case sched.ThrottleRun:
		refusal, err := link.Pace(ctx, a.Task, a.Run, a.Percent, s.part.scheduler.Epoch)
		report = func(time.Time) { s.part.scheduler.HandleThrottle(&a, refusal, err) }
	default:
		return
	}
	orderDuration.UpdateDuration(began)
	if ctx.Err() == nil {
		s.part.post(report)
	}
}

// nextPoll asks the shard what to send with the next look.
func (part *ownedPartition) nextPoll(ctx context.Context, id string, verify bool) (site.StatusPoll, bool) {
	h, err := runOnPartition(ctx, part, func(part *ownedPartition, now time.Time) *site.StatusPoll {
		h, ok := part.scheduler.NextPoll(now, id, verify)
		switch {
		case !ok:
			return nil
		case !verify && h.UntilMS > 0:
			h.Wait = pollWait
		case !verify:
			h.Wait = idlePollWait
		}
		return &h
	})
	if err != nil || h == nil {
		return site.StatusPoll{}, false
	}
	return *h, true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
