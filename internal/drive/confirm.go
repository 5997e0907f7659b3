package drive

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// confirmation is the latest time at which this entry is known to have had the newest
// configuration. Its zero value is ready for use.
type confirmation struct {
	mu sync.Mutex
	at time.Time // zero before the first confirmation
}

// record records a confirmation. An earlier one than the latest has no effect.
func (c *confirmation) record(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

// since reports whether there was a confirmation after the given time.
func (c *confirmation) since(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at.After(t)
}

// age returns the time since the latest confirmation; known is false before the first.
func (c *confirmation) age(now time.Time) (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return 0, false
	}
	return tenure.Elapsed(c.at, now), true
}

// ageMS returns the age in milliseconds, -1 before the first confirmation.
func (c *confirmation) ageMS(now time.Time) int64 {
	age, known := c.age(now)
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// confirmSince reads the operator's records until the configuration is confirmed after the given time, or lookUpWindow
// has passed since then. The read that watches them would confirm it only when its wait is over.
func (n *Node) confirmSince(ctx context.Context, t time.Time) {
	n.confirmMu.Lock()
	defer n.confirmMu.Unlock()
	for ctx.Err() == nil && !n.confirmed.since(t) && time.Since(t) < lookUpWindow {
		if n.confirmWatch == nil {
			n.confirmWatch = platform.NewWatch(n.settings, site.Operator, 0)
		}
		callCtx, cancel := n.logRestored.callContext(ctx)
		began := time.Now()
		changes, snapshot, err := n.confirmWatch.Next(callCtx)
		cancel()
		if err != nil {
			logrus.WithError(err).Info("configuration not confirmed after a takeover; retrying")
			sleep(ctx, claimBackoff)
			continue
		}
		for _, c := range changes {
			n.applyOperatorChange(&c, snapshot)
		}
		n.confirmed.record(began)
	}
}

// refuseUnconfirmed refuses a call that needs a key if the site requires confirmed keys and the
// configuration has not been confirmed for too long: the key may have been revoked since. It
// returns nil if the call may proceed.
func (n *Node) refuseUnconfirmed(route *site.Route, access *site.Access, now time.Time) *site.Reply {
	if !n.settings.Bounds.RevokeStrict || route.Public || access.Operator || access.Account == "" {
		return nil
	}
	if age, known := n.confirmed.age(now); known && age <= site.Millis(n.settings.Bounds.RevokeMS) {
		return nil
	}
	return &site.Reply{Outcome: site.Refused, RetryMS: 1000, Reason: "the keys in force cannot be confirmed"}
}
