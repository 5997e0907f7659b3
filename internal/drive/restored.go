package drive

import (
	"context"
	"sync"
)

// restoration tells goroutines when the log answers again after an outage. Its zero value is ready for
// use.
type restoration struct {
	mu   sync.Mutex
	next chan struct{} // closed at the next restoration; nil if nobody waits
}

// announce wakes all that wait.
func (r *restoration) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		close(r.next)
		r.next = nil
	}
}

func (r *restoration) wait() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = make(chan struct{})
	}
	return r.next
}

// callContext returns a context for a call to the log. It ends early when another call is answered
// after an outage: the log may never answer a call that was sent before, and each call would notice the end
// of the outage only by its own timeout.
func (r *restoration) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancel(ctx)
	restored := r.wait()
	go func() {
		select {
		case <-restored:
			cancel()
		case <-callCtx.Done():
		}
	}()
	return callCtx, cancel
}
