package claim

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/pkg/result"
)

const (
	maxAnswerBytes   = 64 << 10 // a larger answer is not kept for other copies
	maxOutcomesBytes = 16 << 20
)

// SavedResponse is the final answer of a request, kept for its other copies.
type SavedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcomes holds, for each request id that this entry owns, the answer or the
// wait for it. It is safe for concurrent use.
type Outcomes struct {
	mu    sync.Mutex
	byKey map[string]*outcome
	order []*outcome // by start
	bytes int
}

type outcome struct {
	key     string
	started time.Time
	done    chan struct{}
	saved   *SavedResponse // nil if the answer was not kept
	token   uint64         // of the claim, set once it has been asked for
	gone    bool           // the request did not run and its id is free again
	problem *result.Problem
}

// NewOutcomes returns an empty store.
func NewOutcomes() *Outcomes {
	return &Outcomes{byKey: map[string]*outcome{}}
}

// Begin registers the first copy of a request and returns true, or returns false
// if another copy is registered.
func (o *Outcomes) Begin(now time.Time, key string, token uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	if oc, ok := o.byKey[key]; ok && !oc.gone {
		return false
	}
	oc := &outcome{key: key, started: now, done: make(chan struct{}), token: token}
	o.byKey[key] = oc
	o.order = append(o.order, oc)
	return true
}

func (o *Outcomes) expire(now time.Time) {
	for len(o.order) > 0 {
		oc := o.order[0]
		old := now.Sub(oc.started) > Retention
		if !old && o.bytes <= maxOutcomesBytes {
			return
		}
		if old && o.byKey[oc.key] == oc {
			delete(o.byKey, oc.key)
		}
		if oc.saved != nil {
			o.bytes -= len(oc.saved.Body)
			oc.saved = nil
		}
		o.order = o.order[1:]
	}
}

// Finish stores the answer; nil means that there is none to pass on.
func (o *Outcomes) Finish(key string, saved *SavedResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	oc := o.byKey[key]
	if oc == nil {
		return
	}
	if saved != nil && len(saved.Body) <= maxAnswerBytes {
		oc.saved = saved
		o.bytes += len(saved.Body)
	}
	close(oc.done)
}

// Abandon frees the id of a request that certainly did not run.
func (o *Outcomes) Abandon(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if oc := o.byKey[key]; oc != nil {
		oc.gone = true
		close(oc.done)
	}
}

// Resolve gives the copies that wait what was learned of a request that another
// entry owns, and forgets it.
func (o *Outcomes) Resolve(key string, saved *SavedResponse, p *result.Problem) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if oc := o.byKey[key]; oc != nil {
		oc.saved, oc.problem = saved, p
		delete(o.byKey, key)
		close(oc.done)
	}
}

// Result is what became of the first copy of a request.
type Result struct {
	Known bool           // this entry knows the id
	Free  bool           // the first copy did not run
	Saved *SavedResponse // its answer, nil if none was kept
	Token uint64         // of its claim

	Problem *result.Problem // what was learned instead of an answer, nil if nothing was
}

// Wait returns the first copy's result once there is one, or at the context's
// end.
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
	return Result{Known: true, Free: oc.gone, Saved: oc.saved, Token: oc.token, Problem: oc.problem}
}
