package sched

import (
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

const (
	reservedShare   = 2               // at most one of this many VMs of a pool is reserved, but at least one VM
	backfillMargin  = 2               // factor on the expected run time of a task that is to end before reserved room is needed
	overrunShare    = 4               // a run past its expected end is expected to take another one of this many parts of its time so far
	reservePatience = 2 * time.Second // for which tasks of a step may be kept off reserved room in a pool that is mostly idle
	mostlyIdle      = 0.5             // share of its cores below which a pool is
)

// reservation is room on a VM that is kept for a long-running task, which fits on no VM now. Otherwise smaller
// tasks would take each core as it comes free. Tasks that end before the room is complete, or that fit beside
// the long-running task, may use the VM.
type reservation struct {
	reserved bool
	from     time.Time // when the runs in its way are expected to have ended
	spare    resources // that is left beside it from then on
}

// reserve reserves room for a long-running task on the candidate that can have it soonest, unless enough of the
// pool's VMs are reserved. Only runs that end are waited for: long-running ones stay. It reports whether room may come
// free.
func (s *Scheduler) reserve(now time.Time, t *task, cands []*candidate) bool {
	var best *candidate
	var found reservation
	limit := max(len(cands)/reservedShare, 1)
	for _, c := range cands {
		if c.reserved {
			if limit--; limit == 0 {
				return true
			}
			continue
		}
		if c.trial != nil || !s.suits(now, t, c) {
			continue
		}
		if x, ok := s.roomFor(now, t.step.Step, c); ok && (best == nil || x.from.Before(found.from)) {
			best, found = c, x
		}
	}
	if best != nil {
		best.reservation = found
	}
	return best != nil
}

// lack is the time for which a pool has had no room for a long-running task, and none that comes free.
type lack struct{ since, latest time.Time }

const (
	lackAfter = 2 * time.Second        // of lack, the pool needs another VM
	lackGap   = 500 * time.Millisecond // between two rounds that find it, after which it counts as over
)

// recordLack records that a task finds no room, unless it fits on no VM of the pool's largest size.
func (s *Scheduler) recordLack(now time.Time, pool string, st *jobs.Step) {
	p, largest := s.pool(pool), s.largestVM(pool)
	if st.Label != "" || !largest.fits(st) {
		return
	}
	if now.Sub(p.lack.latest) > lackGap {
		p.lack.since = now
	}
	p.lack.latest = now
}

// needsVM reports whether a long-running task waits for another VM.
func (l *lack) needsVM(now time.Time) bool {
	return now.Sub(l.latest) <= lackGap && l.latest.Sub(l.since) >= lackAfter
}

// roomFor returns the reservation of room for a task of a step on a candidate; ok is false if the runs that end
// do not leave enough.
func (s *Scheduler) roomFor(now time.Time, st *jobs.Step, c *candidate) (x reservation, ok bool) {
	type ending struct {
		run *run
		at  time.Time
	}
	var list []ending
	for _, r := range c.vm.runs {
		if at, ends := s.expectedEnd(now, r); ends {
			list = append(list, ending{r, at})
		}
	}
	slices.SortFunc(list, func(a, b ending) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return a.run.task.id.Compare(b.run.task.id)
	})
	free, from := c.free, now
	for _, e := range list {
		if free.fits(st) {
			break
		}
		free.release(e.run.step())
		from = e.at
	}
	if !free.fits(st) {
		return reservation{}, false
	}
	free.allocate(st)
	return reservation{reserved: true, from: from, spare: free}, true
}

// expectedEnd returns when a run is expected to end; ends is false for a long-running one.
func (s *Scheduler) expectedEnd(now time.Time, r *run) (at time.Time, ends bool) {
	if r.phase == stopping || r.endUnknown {
		return now, true
	}
	if r.step().Lasts {
		return time.Time{}, false
	}
	if left, known := r.remaining(now); known {
		return now.Add(left), true
	}
	elapsed := now.Sub(r.startedAt)
	left := s.expectedRunTime(r.task) - elapsed
	return now.Add(max(left, elapsed/overrunShare)), true
}

// expectedRunTime returns the declared run time of a task, corrected by that of the pool's latest runs; 0 if none
// is declared.
func (s *Scheduler) expectedRunTime(t *task) time.Duration {
	return time.Duration(s.pool(t.job.Pool).workRatio * float64(t.step.EstimateMS) * float64(time.Millisecond))
}

// outlasts reports whether a task that is started now may still run when the reserved room is needed.
func (s *Scheduler) outlasts(now time.Time, t *task, x *reservation) bool {
	d := s.expectedRunTime(t)
	return d <= 0 || now.Add(backfillMargin*d).After(x.from)
}

// mayUseReserved reports whether a task that is not long-running may start on a candidate with reserved room.
func (s *Scheduler) mayUseReserved(now time.Time, t *task, c *candidate) bool {
	switch {
	case c.spare.fits(t.step.Step) || !s.outlasts(now, t, &c.reservation):
		return true
	case t.step.heldSince.IsZero() || now.Sub(t.step.heldSince) < reservePatience:
		return false
	}
	return s.pool(t.job.Pool).mostlyIdle
}

// recordHeld records whether reservations alone keep a step's tasks from starting.
func (s *Scheduler) recordHeld(now time.Time, t *task, cands []*candidate) {
	held := slices.ContainsFunc(cands, func(c *candidate) bool {
		return c.reserved && c.trial == nil && c.fits(t.step.Step) && s.suits(now, t, c)
	})
	switch {
	case !held:
		t.step.heldSince = time.Time{}
	case t.step.heldSince.IsZero():
		t.step.heldSince = now
	}
}

// isMostlyIdle reports whether little of the candidates' cores is in use.
func isMostlyIdle(cands []*candidate) bool {
	used, all := 0, 0
	for _, c := range cands {
		used += c.vm.CPU - c.free.cpu
		all += c.vm.CPU
	}
	return float64(used) < mostlyIdle*float64(all)
}
