package quota

import "time"

const (
	turnTime = time.Second // for which a partition may start large tasks before others get their turn
	nobody   = -1          // has the turn: the limit is divided equally
)

// turns tells which partition may start a task that needs more than an equal division of the limit gives it. Such
// partitions have the turn one after the other. An equal division has a turn between them if others wait.
type turns struct {
	holder int         // partition that has the turn, or nobody
	since  time.Time   // when the holder had what its largest task needs; zero before
	waits  []time.Time // by partition: since when it has needed a turn, or had its last one; zero if it needs none
}

// newTurns returns the turns of an account of which no partition needs one.
func newTurns() turns { return turns{holder: nobody} }

// takeTurn returns the partition that has the turn, given the targets of an equal division of a budget.
func (c *Coordinator) takeTurn(now time.Time, a *account, equal []float64, budget float64) int {
	t := &a.turns
	for len(t.waits) < len(equal) {
		t.waits = append(t.waits, time.Time{})
	}
	others := false // tasks wait that an equal division lets start
	for n := range equal {
		switch {
		case !c.needsTurn(now, a, n, equal[n], budget):
			t.waits[n] = time.Time{}
			others = others || (c.raisable(now, n) && a.need[n] > a.used[n]+epsilon)
		case t.waits[n].IsZero():
			t.waits[n] = now
		}
	}
	next := t.next()
	switch {
	case t.holder == nobody:
		if next != nobody && (!others || now.Sub(t.since) >= turnTime) {
			t.pass(now, next)
		}
	case t.waits[t.holder].IsZero():
		t.pass(now, nobody)
	case t.since.IsZero():
		if a.ceiling[t.holder] >= a.leastShare(t.holder)-epsilon {
			t.since = now
		}
	case now.Sub(t.since) >= turnTime && others:
		t.pass(now, nobody)
	case now.Sub(t.since) >= turnTime && next != nobody:
		t.pass(now, next)
	}
	return t.holder
}

// next returns the partition other than the holder that has waited longest, nobody if none waits.
func (t *turns) next() int {
	next := nobody
	for n, at := range t.waits {
		if n != t.holder && !at.IsZero() && (next == nobody || at.Before(t.waits[next])) {
			next = n
		}
	}
	return next
}

// pass gives the turn to another partition, or to nobody.
func (t *turns) pass(now time.Time, to int) {
	if t.holder != nobody && !t.waits[t.holder].IsZero() {
		t.waits[t.holder] = now
	}
	t.holder, t.since = to, time.Time{}
	if to == nobody {
		t.since = now
	}
}

// needsTurn reports whether a partition's largest task needs more than the target of an equal division, and may have it
// once all runs have ended but those of long-running tasks.
func (c *Coordinator) needsTurn(now time.Time, a *account, n int, target, budget float64) bool {
	least := a.leastShare(n)
	return c.raisable(now, n) && a.largest[n] > 0 && least > target+epsilon && least <= c.largestShare(now, a, n, budget)+epsilon
}

// leastShare returns the share with which a partition's largest task starts once its runs have ended that do end.
func (a *account) leastShare(n int) float64 { return a.lasting[n] + a.largest[n] }

// largestShare returns the largest share that a partition can get: all but that of long-running tasks in the others.
func (c *Coordinator) largestShare(now time.Time, a *account, n int, budget float64) float64 {
	for m := range c.partitions {
		if m != n && c.raisable(now, m) {
			budget -= a.lasting[m]
		}
	}
	return budget
}

// turnShare returns the share of the partition that has the turn: its largest task may start beside what it runs.
func (c *Coordinator) turnShare(now time.Time, a *account, n int, budget float64) float64 {
	return min(a.used[n]+a.largest[n], c.largestShare(now, a, n, budget))
}
