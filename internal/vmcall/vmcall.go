// Package vmcall decides how long an entry waits for a VM's answer to an order or a status poll,
// and when it repeats the call.
//
// It answers VMs that leave a few calls in a hundred unanswered for some seconds, links that lose
// packets, and connections that fall silent. A job of a dozen tasks depends on some thirty calls, so with
// one long timeout most jobs wait for one call that was lost. A call to a VM that is known to answer
// within milliseconds is given up, or repeated, soon after that time.
//
// The number of calls that are given up early is bounded by a share of all calls. If a whole rack is
// dark or the entry itself is slow, nearly all calls stay unanswered and repeats would only add load;
// the calls then have the longest timeout.
//
// A status poll whose answer the VM may delay until a run ends tells of a lost call only after that
// delay, and so do the ends of runs. While calls stay unanswered, polls therefore ask for shorter delays.
//
// The package uses no clock and no network.
package vmcall

import (
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/retry"
)

const (
	minTimeout = 100 * time.Millisecond // a VM answers within milliseconds; an entry that shares its cores may read the answer late
	maxTimeout = 800 * time.Millisecond // of all attempts of a call together, and of each one while too many calls stay unanswered

	earnedPerAnswer = 0.5 // calls that may be given up early for each call that was answered
	maxEarned       = 50  // calls

	lossWeight  = 0.02                   // of one call in the share of lost calls; about the last fifty count
	lossDelay   = 10 * time.Millisecond  // that lost polls may add to the report of a run's end, on average
	minPollWait = 200 * time.Millisecond // for which a VM may delay its answer to a poll, however many polls are lost
)

// Group holds what the calls to the VMs of one partition share. It is safe for concurrent use.
type Group struct {
	mu     sync.Mutex
	usual  retry.Estimator // of all VMs; the prior of a VM that has not answered yet
	earned float64         // calls that may be given up early
	lost   float64         // decaying share of the answered calls that were repeats: their VMs are up, and the earlier attempts were lost
}

// NewGroup returns a group of VMs that have not been called yet.
func NewGroup() *Group {
	return &Group{usual: retry.Estimator{Min: minTimeout, Max: maxTimeout}, earned: maxEarned}
}

// VM holds the response times of one VM.
type VM struct {
	group    *Group
	response retry.Estimator
	answered bool // has answered a call
}

// NewVM returns a VM that has not been called yet.
func (g *Group) NewVM() *VM {
	return &VM{group: g, response: retry.Estimator{Min: minTimeout, Max: maxTimeout}}
}

// Timeout returns how long to wait for an answer, in addition to the time for which the VM was asked
// to delay it. spent is the time that earlier attempts at the call took.
func (v *VM) Timeout(spent time.Duration) time.Duration {
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	left := max(maxTimeout-spent, minTimeout)
	if v.group.earned < 1 {
		return left
	}
	return min(v.estimator().Timeout(), left)
}

// estimator returns the response times of the VM, or of all VMs until it has answered.
func (v *VM) estimator() *retry.Estimator {
	if v.answered {
		return &v.response
	}
	return &v.group.usual
}

// PollWait returns the time for which a VM may delay its answer to a status poll, at most longest.
func (g *Group) PollWait(longest time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost*float64(longest) <= float64(lossDelay) {
		return longest
	}
	return max(time.Duration(float64(lossDelay)/g.lost), min(minPollWait, longest))
}

// RecordAnswer records an answered call. took is the time beyond that for which the VM was asked to
// delay its answer; it is not known, and negative, if the answer came earlier. repeated is set if an
// earlier attempt may be the one that was answered.
func (v *VM) RecordAnswer(took time.Duration, repeated bool) {
	g := v.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.earned = min(g.earned+earnedPerAnswer, maxEarned)
	g.lost -= lossWeight * g.lost
	if repeated {
		g.lost += lossWeight
	}
	if took < 0 || repeated {
		return
	}
	g.usual.RecordAnswer(took, false)
	v.response.RecordAnswer(took, false)
	v.answered = true
}

// RecordSilence records a call that was not answered in time, and reports whether to repeat it at
// once. attempts is the number of attempts so far and took their time. One lost call says nothing about the
// response time, so the timeout grows from the second one in a row.
func (v *VM) RecordSilence(attempts int, took time.Duration) bool {
	g := v.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if attempts > 1 {
		v.response.RecordTimeout()
	}
	if g.earned < 1 {
		return false
	}
	g.earned--
	return took+v.estimator().Timeout() <= maxTimeout
}
