package sched

import (
	"slices"
	"time"
)

const (
	rackWindow = 500 * time.Millisecond // within which VMs of one rack fail for one cause
	rackVMs    = 3                      // VMs of a rack lost at one time, if they are half of it at least, that were lost with the rack
	lossMemory = 10 * time.Second       // for which a loss may turn out to be that of a rack: its other VMs may be known to be down only when their leases have run out
)

// sameTime reports whether two losses may have one cause: there is a moment at which both may have begun, or they
// were noticed at about the same time.
func (x *loss) sameTime(y *loss) bool {
	if x.at.Sub(y.at).Abs() <= rackWindow {
		return true
	}
	known := !x.heardAt.IsZero() && !y.heardAt.IsZero()
	return known && !x.heardAt.After(y.at) && !y.heardAt.After(x.at)
}

// remember adds a loss to the recent ones, and returns it as remembered: the end of an incarnation may become known
// more than once.
func (l *losses) remember(now time.Time, x loss) loss {
	l.recent = slices.DeleteFunc(l.recent, func(old loss) bool { return now.Sub(old.at) > lossMemory })
	i := slices.IndexFunc(l.recent, func(old loss) bool { return old.vm == x.vm && old.born == x.born })
	if i < 0 {
		l.recent = append(l.recent, x)
		return x
	}
	if old := &l.recent[i]; x.ran {
		old.ran, old.suspect, old.likely = true, old.suspect || x.suspect, append(old.likely, x.likely...)
	}
	return l.recent[i]
}

// rackState is what is known of a rack at the time of the loss of one of its VMs.
type rackState struct {
	losses      []loss
	silent      int  // VMs that were lost or do not answer since
	unexplained int  // those of them that no suspect explains
	up          int  // VMs that had not been down before
	idle        bool // one of the silent ones ran nothing
}

func (s *Scheduler) rackAt(x *loss) rackState {
	var r rackState
	lost := map[string]bool{}
	for i := range s.losses.recent {
		y := &s.losses.recent[i]
		if y.rack != x.rack || !x.sameTime(y) {
			continue
		}
		lost[y.vm] = true
		r.losses = append(r.losses, *y)
		r.idle = r.idle || !y.ran
		if !y.suspect {
			r.unexplained++
		}
	}
	r.silent = len(r.losses)
	r.up = r.silent
	for _, v := range s.vms {
		if v.rack() != x.rack || lost[v.ID] {
			continue
		}
		if v.failedAt.IsZero() {
			if !v.ended {
				r.up++
			}
			continue
		}
		y := loss{heardAt: v.heardAt, at: v.failedAt}
		switch {
		case x.sameTime(&y):
			r.up, r.silent = r.up+1, r.silent+1
			if !v.runsSuspect() {
				r.unexplained++
			}
			r.idle = r.idle || len(v.runs) == 0
		case y.at.After(x.at):
			r.up++
		}
	}
	return r
}

func (v *vm) runsSuspect() bool {
	for _, r := range v.runList {
		if r.task.suspected() {
			return true
		}
	}
	return false
}

// explainRack withdraws the blame for a loss if its rack was lost.
func (s *Scheduler) explainRack(x *loss) {
	if x.rack == "" {
		return
	}
	if r := s.rackAt(x); r.unexplained >= rackVMs && 2*r.silent >= r.up {
		s.losses.explainAll(r.losses, !r.idle)
	}
}

// explainRecent explains the crashes under a task by what has become known of their racks since.
func (s *Scheduler) explainRecent(t *task) {
	for _, c := range t.crashes {
		if c.Share == 0 {
			continue
		}
		i := slices.IndexFunc(s.losses.recent, func(x loss) bool { return x.vm == c.VM && x.born == c.Born })
		if i >= 0 {
			s.explainRack(&s.losses.recent[i])
		}
	}
}

// checkLostTogether records a loss. If it is one of several with one cause, such as the loss of a rack, the
// blame for all of them is withdrawn, but from a job that may have caused each of them.
func (s *Scheduler) checkLostTogether(now time.Time, x loss) {
	x = s.losses.remember(now, x)
	s.explainRack(&x)
	var sameTime []loss
	for _, y := range s.losses.recent {
		if x.at.Sub(y.at).Abs() <= fleetWindow && !y.suspect && y.ran {
			sameTime = append(sameTime, y)
		}
	}
	if len(sameTime) >= fleetVMs {
		s.losses.explainAll(sameTime, true)
	}
}

// explainAll withdraws the blame for losses with one cause, unless a job is likely to be the cause of each, which
// mayBeJob allows. The losses still count: tasks of several jobs may have crashed their VMs at the same time.
func (l *losses) explainAll(list []loss, mayBeJob bool) {
	var common []*job
	if mayBeJob {
		common = slices.Clone(list[0].likely)
	}
	for _, x := range list[1:] {
		common = slices.DeleteFunc(common, func(j *job) bool { return !slices.Contains(x.likely, j) })
	}
	for t := range l.suspects {
		for _, x := range list {
			if !slices.Contains(common, t.job) {
				l.set(t, t.crashes.Explained(x.vm, x.born))
			}
		}
	}
}
