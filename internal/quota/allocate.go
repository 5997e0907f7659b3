package quota

import (
	"math"
	"time"

	"github.com/greengagelane/greengagelane/internal/fair"
)

// allocate sets the fractions of an account for the next requests. It lowers fractions to their
// targets, and raises others only by what no partition may hold or use.
func (c *Coordinator) allocate(now time.Time, a *account) {
	free, complete := c.unallocated(now, a)
	if !complete {
		return // a partition may hold what this coordinator does not know of
	}
	if !c.mustChange(now, a, free) {
		return
	}
	target := c.targets(now, a)
	var wanted float64 // sum of the raises
	for n, t := range target {
		if c.raisable(now, n) {
			wanted += max(0, t-a.counted(n))
		}
	}
	part := 0.0 // of the raises that is possible now
	if wanted > epsilon {
		part = min(1, max(0, free)/wanted)
	}
	for n, t := range target {
		if p := c.partitions[n]; p == nil || !p.listed || !p.known {
			continue
		}
		next := min(t, a.sent[n])
		if c.raisable(now, n) {
			counted := a.counted(n)
			next = min(t, counted+part*max(0, t-counted))
		}
		c.setFraction(now, a, n, next)
	}
}

// counted returns what counts against the limit in a partition: the fraction that its owner may
// hold, or what is running there if that is more.
func (a *account) counted(n int) float64 { return max(a.ceiling[n], a.used[n]) }

// unallocated returns the part of the limit that no partition may hold or use. complete is false
// while a partition has not reported to this coordinator; after UnknownAfter it counts with the even
// share.
func (c *Coordinator) unallocated(now time.Time, a *account) (free float64, complete bool) {
	free = 1
	for n, p := range c.partitions {
		switch {
		case p == nil:
		case p.known:
			free -= a.counted(n)
		case now.Sub(p.since) < UnknownAfter:
			return 0, false
		default:
			free -= 1 / float64(c.count)
		}
	}
	return free, true
}

// raisable reports whether a partition may get a larger fraction: its owner replies, so that the
// fraction is useful and is known to be held soon.
func (c *Coordinator) raisable(now time.Time, n int) bool {
	p := c.partitions[n]
	return p != nil && p.listed && p.known && now.Sub(p.repliedAt) < freshFor
}

// mustChange reports whether the fractions of an account have to change: a partition needs more than
// it gets, part of the limit is not allocated, or the account has no work and does not have the
// default fractions. Otherwise they stay, so that short variations of the load change nothing.
func (c *Coordinator) mustChange(now time.Time, a *account, free float64) bool {
	if math.Abs(free) > epsilon {
		return true
	}
	idle := a != c.defaults && a.idle(now)
	for n := range c.partitions {
		if !c.raisable(now, n) {
			continue
		}
		if a.need[n] > a.sent[n]+epsilon || a.sent[n] < a.ceiling[n]-epsilon || (idle && !equal(a.sent[n], c.defaults.sent[n])) {
			return true
		}
	}
	return false
}

// targets returns the fractions that the partitions should have. Those that do not reply keep what
// counts for them; the rest of the limit is divided among the others.
func (c *Coordinator) targets(now time.Time, a *account) []float64 {
	target := make([]float64, len(c.partitions))
	if a != c.defaults && a.idle(now) {
		copy(target, c.defaults.sent)
		return target
	}
	budget := 1.0
	for n, p := range c.partitions {
		switch {
		case p == nil || c.raisable(now, n):
		case p.known:
			target[n] = a.ceiling[n]
			budget -= a.counted(n)
		default:
			budget -= 1 / float64(c.count)
		}
	}
	budget = max(budget, 0)
	c.divide(now, a, target, budget, nobody)
	if n := c.takeTurn(now, a, target, budget); n != nobody {
		target[n] = c.turnShare(now, a, n, budget)
		c.divide(now, a, target, budget-target[n], n)
	}
	return target
}

// divide divides a budget among the partitions that reply, but one: each gets its need, and an equal part of the rest.
// If the needs exceed the budget, they are served max-min.
func (c *Coordinator) divide(now time.Time, a *account, target []float64, budget float64, but int) {
	sum := 0.0
	var claims []fair.Claim
	floor := floorShare / float64(max(c.count, 1))
	for n := range target {
		if n != but && c.raisable(now, n) {
			target[n] = max(a.need[n], floor)
			sum += target[n]
			claims = append(claims, fair.Claim{Weight: 1, Demand: target[n]})
		}
	}
	rest := max(budget-sum, 0) / float64(max(len(claims), 1))
	level := fair.Level(budget, claims)
	for n := range target {
		if n != but && c.raisable(now, n) {
			target[n] = min(target[n], level) + rest
		}
	}
}

// setFraction sets the fraction of the next request to a partition.
func (c *Coordinator) setFraction(now time.Time, a *account, n int, f float64) {
	from := a.sent[n]
	if equal(f, from) {
		return
	}
	a.sent[n] = f
	p := c.partitions[n]
	p.dirty = true
	c.changes = append(c.changes, Change{Account: a.name, Partition: n, From: from, To: f, Used: a.used[n], Need: a.need[n], Age: now.Sub(p.repliedAt)})
}

// equal reports whether two fractions differ by no more than rounding errors.
func equal(a, b float64) bool { return math.Abs(a-b) < epsilon }
