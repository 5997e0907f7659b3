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
	lookWait     = time.Second            // of a look without news; a lease bears two failed looks
	lookGap      = 40 * time.Millisecond  // between looks, so that ends come in groups
	lookShare    = 600 * time.Microsecond // between looks, for each VM of the shard: bounds the looks a second
	lookRetry    = 200 * time.Millisecond // after a failed look
	maxLanes     = 3                      // connections for orders to one VM
	laneStuck    = 40 * time.Millisecond  // an order in flight for longer gets a lane beside it
	laneIdle     = 20 * time.Second       // a spare lane is closed after it
	idleLookWait = 2 * time.Second        // the longest that a VM takes, for VMs without runs
)

// session speaks with one VM for a shard: one connection for looks, others for
// orders.
type session struct {
	shard  *shard
	id     string
	addr   string
	cancel context.CancelFunc

	mu     sync.Mutex
	queue  []sched.Action
	wake   chan struct{}
	lanes  int
	idle   int
	latest time.Time // an order was last taken from the queue
}

func newSession(ctx context.Context, sh *shard, id, addr string) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{shard: sh, id: id, addr: addr, cancel: cancel, wake: make(chan struct{}, 1)}
	go s.lookLoop(ctx)
	return s
}

func (s *session) lookLoop(ctx context.Context) {
	link := platform.NewVMLink(s.addr, s.id)
	defer link.Close()
	verify := true
	for ctx.Err() == nil {
		hold, ok := s.shard.hold(ctx, s.id, verify)
		if !ok {
			sleep(ctx, lookRetry)
			continue
		}
		begun := time.Now()
		look, err := link.Poll(ctx, &hold)
		if ctx.Err() != nil {
			return
		}
		verify = err != nil
		s.shard.post(func(now time.Time) {
			if err != nil {
				s.shard.core.HandlePollFailure(s.id, err)
				return
			}
			s.shard.core.HandlePoll(now, s.id, begun, look)
		})
		if err != nil {
			looksFailed.Inc()
			sleep(ctx, lookRetry)
			continue
		}
		looks.Inc()
		sleep(ctx, max(lookGap, time.Duration(s.shard.open.Load())*lookShare))
	}
}

// push queues an order.
func (s *session) push(ctx context.Context, now time.Time, a sched.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, a)
	stuck := now.Sub(s.latest) > laneStuck
	if s.lanes == 0 || (s.idle == 0 && stuck && s.lanes < maxLanes) {
		s.lanes++
		go s.lane(ctx, s.lanes == 1)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// lane sends orders one after the other.
func (s *session) lane(ctx context.Context, first bool) {
	link := platform.NewVMLink(s.addr, s.id)
	defer link.Close()
	for ctx.Err() == nil {
		a, ok := s.pop()
		if ok {
			s.send(ctx, link, a)
			continue
		}
		if !s.await(ctx, first) {
			return
		}
	}
}

func (s *session) pop() (sched.Action, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, false
	}
	a := s.queue[0]
	s.queue = s.queue[1:]
	s.latest = time.Now()
	return a, true
}

// await waits for an order; it returns false where the lane is to end.
func (s *session) await(ctx context.Context, first bool) bool {
	s.mu.Lock()
	s.idle++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.idle--
		s.mu.Unlock()
	}()
	var over <-chan time.Time
	if !first {
		t := time.NewTimer(laneIdle)
		defer t.Stop()
		over = t.C
	}
	select {
	case <-s.wake:
		return true
	case <-over:
		s.mu.Lock()
		s.lanes--
		s.mu.Unlock()
		return false
	case <-ctx.Done():
		return false
	}
}

func (s *session) send(ctx context.Context, link *platform.VMLink, a sched.Action) {
	began := time.Now()
	var report func(now time.Time)
	switch a := a.(type) {
	case sched.StartRun:
		refusal, err := link.Start(ctx, &a.Order)
		report = func(now time.Time) { s.shard.core.HandleStart(now, &a, refusal, err) }
	case sched.StopRun:
		refusal, err := link.Stop(ctx, a.Task, a.Run, s.shard.core.Epoch)
		report = func(now time.Time) { s.shard.core.HandleStop(now, &a, refusal, err) }
	case sched.ThrottleRun:
		refusal, err := link.Throttle(ctx, a.Task, a.Run, a.Percent, s.shard.core.Epoch)
		report = func(time.Time) { s.shard.core.HandleThrottle(&a, refusal, err) }
	default:
		return
	}
	orderTime.UpdateDuration(began)
	if ctx.Err() == nil {
		s.shard.post(report)
	}
}

// hold asks the shard what to send with the next look.
func (sh *shard) hold(ctx context.Context, id string, verify bool) (site.StatusPoll, bool) {
	h, err := askShard(ctx, sh, func(sh *shard, now time.Time) *site.StatusPoll {
		h, ok := sh.core.NextPoll(now, id, verify)
		switch {
		case !ok:
			return nil
		case !verify && h.UntilMS > 0:
			h.Wait = lookWait
		case !verify:
			h.Wait = idleLookWait
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
