package drive

import (
	"context"
	"sync"
)

// restoration interrupts calls to the log when it answers again after an outage. Its zero value is ready for
// use.
type restoration struct {
	mu     sync.Mutex
	next   context.Context // ends at the next restoration; nil before the first call
	finish context.CancelFunc
}

// announce interrupts the calls under way.
func (r *restoration) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		r.finish()
		r.next = nil
	}
}

// upcoming returns a context that ends at the next restoration.
func (r *restoration) upcoming() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next, r.finish = context.WithCancel(context.Background())
	}
	return r.next
}

// callContext returns a context for a call to the log. It ends early when another call is answered
// after an outage: the log may never answer a call that was sent before, and each call would notice the end
// of the outage only by its own timeout.
func (r *restoration) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.upcoming(), cancel)
	return callCtx, func() {
		stop()
		cancel()
	}
}
