package claim

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/pkg/result"
)

const (
	maxSavedBodyBytes  = 64 << 10 // a larger body is not kept for other copies
	maxSavedTotalBytes = 16 << 20 // beyond it the oldest bodies are dropped
)

// SavedResponse is the final response to a request, kept for its other copies.
type SavedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcomes holds the pending or final outcome of each request that this entry has
// claimed or is claiming, by request id. It is safe for concurrent use.
type Outcomes struct {
	mu         sync.Mutex
	byKey      map[string]*outcome
	byStart    []*outcome // oldest first
	savedBytes int        // sum over the saved bodies
}

// outcome is the state of the first copy of a request on this entry: pending until done is
// closed, then final.
type outcome struct {
	key     string
	started time.Time
	done    chan struct{}   // closed once the outcome is known
	saved   *SavedResponse  // nil if the response is not kept
	token   uint64          // see Claim.Token
	notRun  bool            // the request did not run, so another copy may register
	problem *result.Problem // set by Resolve
}

// NewOutcomes returns empty Outcomes.
func NewOutcomes() *Outcomes {
	return &Outcomes{byKey: map[string]*outcome{}}
}

// Begin registers the first copy of a request and returns true, or returns false
// if another copy is registered.
func (o *Outcomes) Begin(now time.Time, key string, token uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	if oc, ok := o.byKey[key]; ok && !oc.notRun {
		return false
	}
	oc := &outcome{key: key, started: now, done: make(chan struct{}), token: token}
	o.byKey[key] = oc
	o.byStart = append(o.byStart, oc)
	return true
}

// expire removes outcomes past their retention. While the saved bodies exceed their
// limit, it also drops the oldest responses. The outcomes of these stay in byKey, but
// leave byStart, so later calls do not remove them.
func (o *Outcomes) expire(now time.Time) {
	for len(o.byStart) > 0 {
		oc := o.byStart[0]
		old := now.Sub(oc.started) > Retention
		if !old && o.savedBytes <= maxSavedTotalBytes {
			return
		}
		if old && o.byKey[oc.key] == oc {
			delete(o.byKey, oc.key)
		}
		if oc.saved != nil {
			o.savedBytes -= len(oc.saved.Body)
			oc.saved = nil
		}
		o.byStart = o.byStart[1:]
	}
}

// Finish stores the response to a request and wakes the copies that wait for it. A
// nil response means that there is none to send to them.
func (o *Outcomes) Finish(key string, saved *SavedResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	oc := o.byKey[key]
	if oc == nil {
		return
	}
	if saved != nil && len(saved.Body) <= maxSavedBodyBytes {
		oc.saved = saved
		o.savedBytes += len(saved.Body)
	}
	close(oc.done)
}

// Abandon marks a request as not run, so that another copy may register.
func (o *Outcomes) Abandon(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if oc := o.byKey[key]; oc != nil {
		oc.notRun = true
		close(oc.done)
	}
}

// Resolve sets the outcome of a request whose claim this entry did not get, wakes the
// copies that wait for it, and removes the request.
func (o *Outcomes) Resolve(key string, saved *SavedResponse, p *result.Problem) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if oc := o.byKey[key]; oc != nil {
		oc.saved, oc.problem = saved, p
		delete(o.byKey, key)
		close(oc.done)
	}
}

// Result is the outcome of the first copy of a request. It is sent between entries.
type Result struct {
	Known bool           // the first copy is registered on the entry that returns the result
	Free  bool           // the first copy did not run
	Saved *SavedResponse // its response, nil if none is kept
	Token uint64         // of the first copy's claim

	Problem *result.Problem // the error to return instead of a response, nil if there is none
}

// Wait waits for the result of the first copy and returns it. If none is registered, it
// returns the zero Result. If the context ends first, it returns a Result with only
// Known set.
func (o *Outcomes) Wait(ctx context.Context, key string) Result {
	o.mu.Lock()
	oc := o.byKey[key]
	o.mu.Unlock()
	if oc == nil {
		return Result{}
	}
	select {
	case <-oc.done:
	case <-ctx.Done():
		return Result{Known: true}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return Result{Known: true, Free: oc.notRun, Saved: oc.saved, Token: oc.token, Problem: oc.problem}
}
