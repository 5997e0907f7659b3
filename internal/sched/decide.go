package sched

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Decide returns the actions that are due.
func (s *Scheduler) Decide(now time.Time) []Action {
	if s.retired {
		return nil
	}
	s.expire(now)
	s.dropLeaving()
	s.evacuate(now)
	for _, v := range s.vms {
		for _, r := range v.runs {
			s.watchRun(now, r)
		}
	}
	s.pace(now)
	for _, j := range s.jobs {
		if !j.state.Final() && j.stored {
			j.open(now)
		}
	}
	s.place(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// expire gives up VMs whose leases have certainly run out.
func (s *Scheduler) expire(now time.Time) {
	for id, until := range s.suspect {
		if now.After(until) {
			s.log.WithField("vm", id).Info("VM of the earlier owner did not answer; its leases have run out")
			delete(s.suspect, id)
		}
	}
	for _, v := range s.vms {
		silent := now.Sub(v.heard) > s.policy.Lease
		if silent && now.After(v.leased) && len(v.runs) > 0 {
			s.log.WithField("vm", v.ID).Info("VM is silent and its leases have run out")
			s.releaseAll(v, "lease ran out")
			v.looked = false
		}
		if !v.listed && len(v.runs) == 0 && silent && now.After(v.leased) && !s.listAt.IsZero() {
			s.forget(v)
		}
	}
}

// watchRun sends stops that are due and restarts runs without progress.
func (s *Scheduler) watchRun(now time.Time, r *run) {
	switch r.phase {
	case uncertain, stopping:
		s.pushStop(now, r)
	case working:
		if now.Sub(r.moved) > s.stallLimit(r) && now.Sub(r.vm.heard) < s.policy.SilentAfter && (r.percent < 100 || !r.step().Lasts) {
			s.stats.Stalled++
			r.task.avoid = r.vm.ID
			s.stalled(now, r.vm)
			s.stop(now, r, "no progress")
		}
		if r.vm.trial && !r.atWork.IsZero() && now.Sub(r.atWork) >= s.policy.Quarantine {
			r.vm.prove() // a task that lasts does not end as done
		}
	}
}

// stallLimit returns the time without progress after which a run is restarted. A
// long task may stay at one percentage for a fiftieth of its run time.
func (s *Scheduler) stallLimit(r *run) time.Duration {
	const slowest = 10 // a slow VM takes this many times as long
	estimate := time.Duration(r.step().EstimateMS) * time.Millisecond
	limit := max(s.policy.StallAfter, slowest*estimate/100)
	if r.pace < 100 {
		limit = limit * 100 / time.Duration(max(r.pace, 5))
	}
	return limit
}

func (s *Scheduler) pushStop(now time.Time, r *run) {
	if r.stopped && now.Sub(r.settled) > s.policy.StopGrace+2*time.Second {
		r.stopped = false // the VM still lists it: the order is repeated
	}
	if r.stopped || r.stopSent || now.Before(r.stopAt) {
		return
	}
	r.stopSent = true
	s.act(StopRun{VM: r.vm.ID, Task: r.task.id.String(), Run: r.number, Why: r.why})
}

// stop orders the end of a run.
func (s *Scheduler) stop(now time.Time, r *run, why string) {
	if r.phase == stopping {
		return
	}
	s.stats.Stopped++
	r.phase, r.stopped, r.stopAt, r.why = stopping, false, now, why
}

// evacuate takes runs off VMs that are about to leave.
func (s *Scheduler) evacuate(now time.Time) {
	if now.Before(s.steadyAt) {
		return
	}
	for _, v := range s.vms {
		if !v.Draining && !v.cordoned {
			continue
		}
		for _, r := range v.runs {
			if r.phase == working && s.mayEvacuate(now, r) {
				s.log.WithFields(logrus.Fields{
					"task": r.task.id.String(), "run": r.number, "vm": v.ID, "draining": v.Draining, "missing": s.missing(now, r), "may-miss": r.step().MayMiss,
				}).Info("run evacuated")
				s.stop(now, r, "VM is leaving")
			}
		}
	}
}

// mayEvacuate reports whether a run may be stopped so that its VM can leave. Tasks
// that end by themselves are left to do so where their VM waits for them.
func (s *Scheduler) mayEvacuate(now time.Time, r *run) bool {
	st := r.task.step
	if !st.Lasts {
		return st.Saves && r.task.checkpoint != "" && r.vm.cordoned
	}
	if r.vm.Draining && !s.canPlaceElsewhere(now, r) {
		return false
	}
	return s.missing(now, r) < max(st.MayMiss, 1)
}

// missing counts the other tasks of a run's step that are not available.
func (s *Scheduler) missing(now time.Time, r *run) int {
	n := 0
	for _, t := range r.task.step.tasks {
		if t != r.task && !t.available(now, &s.policy) {
			n++
		}
	}
	return n
}

// available reports whether a task that lasts is at work, as far as its VM has said
// lately.
func (t *task) available(now time.Time, p *Policy) bool {
	for _, r := range t.runs {
		if r.phase == working && !r.atWork.IsZero() && now.Sub(r.vm.heard) < p.SilentAfter {
			return true
		}
	}
	return false
}

func (s *Scheduler) canPlaceElsewhere(now time.Time, r *run) bool {
	return s.choose(now, r.task, s.candidates(now, r.vm.Pool)) != nil
}

// pace slows runs that fill down where a run that serves is near its bound, and
// speeds them up again where it is well below.
func (s *Scheduler) pace(now time.Time) {
	const every = 500 * time.Millisecond // load figures cover the last half second
	for _, v := range s.vms {
		worst := 0.0
		for _, r := range v.runs {
			if tail := r.step().TailMS; tail > 0 && r.phase == working {
				worst = max(worst, float64(r.load)/float64(tail))
			}
		}
		for _, r := range v.runs {
			if !r.step().Fills || r.phase != working || now.Sub(r.paceAt) < every {
				continue
			}
			if pace := nextPace(r.pace, worst, &s.policy); pace != r.pace {
				r.pace, r.paceAt = pace, now
				s.act(ThrottleRun{VM: v.ID, Task: r.task.id.String(), Run: r.number, Percent: pace})
			}
		}
	}
}

// nextPace returns the pace of a filling run beside a serving one whose tail is at
// the given share of its bound. It backs off fast and recovers slowly, since a tail
// over its bound hurts callers and a slow filler does not.
func nextPace(pace int, worst float64, p *Policy) int {
	const step = 10 // percent
	switch {
	case worst > 1:
		return pace / 4
	case worst > p.TailHigh:
		return pace / 2
	case worst < p.TailLow && pace < 100:
		return min(pace+step, 100)
	}
	return pace
}

// HandleThrottle takes over the outcome of a pace order.
func (s *Scheduler) HandleThrottle(a *ThrottleRun, refusal site.Refusal, err error) {
	if err == nil && refusal == site.Accepted {
		return
	}
	if v := s.vms[a.VM]; v != nil {
		if r := v.runs[a.Task]; r != nil && r.number == a.Run {
			r.pace = -1 // unknown, ordered again at the next turn
		}
	}
}

// nextRun returns a run number above all earlier ones of the task, by any owner.
func (s *Scheduler) nextRun(t *task) int64 {
	const runsPerEpoch = 1 << 12 // starts of one task under one owner
	return max(t.lastRun, (s.Epoch-1)*runsPerEpoch) + 1
}

func (s *Scheduler) start(now time.Time, t *task, v *vm, number int64) {
	r := &run{task: t, vm: v, number: number, phase: starting, settled: now, began: now, moved: now, pace: 100}
	t.lastRun = number
	t.doubt = false
	if len(t.runs) == 0 {
		t.step.idle--
	}
	t.runs = append(t.runs, r)
	v.runs[t.id.String()] = r
	s.begin(t.job)
	s.stats.Started++
	s.act(StartRun{VM: v.ID, Task: t.id, Order: site.Start{
		Task: t.id.String(), Run: number, Spec: t.job.Spec, UntilMS: v.grant(now, &s.policy), Fence: s.Epoch,
		Checkpoint: t.checkpoint, Ticket: t.step.tickets[v.ID],
	}})
}

// drop forgets final jobs that need not be answered any more; their records are
// removed with the next flush.
func (s *Scheduler) drop(now time.Time) []site.Record {
	var gone []site.Record
	for id, j := range s.jobs {
		if j.shown.Final() && now.UnixMilli()-j.finalMS > s.policy.KeepFinal.Milliseconds() {
			delete(s.jobs, id)
			gone = append(gone, site.Record{Key: jobKey + id}, site.Record{Key: progressKey + id})
		}
	}
	return gone
}

// Cursor is how far the ends of a VM are taken into account.
type Cursor struct {
	VM   string
	Born int64
	N    int64
}

// Flush is what the job log is to hold next.
type Flush struct {
	Records []site.Record
	cursors []Cursor
	noted   []string              // VMs that the records name
	states  map[string]jobs.State // progress in the flush, by job
	added   []string              // jobs in the flush
	last    bool                  // it tells the next owner what is under way
}

// Flush collects what has changed since the last one. Only one may be under way; it
// ends with Flushed or FlushRefused. It returns nil where there is nothing to store.
func (s *Scheduler) Flush(now time.Time, mostBytes int) (*Flush, error) {
	f := &Flush{Records: s.drop(now), states: map[string]jobs.State{}}
	size, left := 0, 0
	for id, j := range s.jobs {
		if !j.dirty {
			continue
		}
		if size > mostBytes/2 {
			left++
			continue
		}
		if !j.stored {
			data, err := jobs.Encode(j.Job)
			if err != nil {
				return nil, err
			}
			f.Records = append(f.Records, site.Record{Key: jobKey + id, Value: data})
			f.added = append(f.added, id)
			size += len(data)
			j.asked = true
		}
		if j.stored || j.began || j.state.Final() {
			data, err := jobs.Encode(j.progress())
			if err != nil {
				return nil, err
			}
			f.Records = append(f.Records, site.Record{Key: progressKey + id, Value: data})
			size += len(data)
		}
		f.states[id] = j.state
		j.dirty = false
	}
	if s.heldNew {
		data, err := s.encodeHeld()
		if err != nil {
			return nil, err
		}
		f.Records = append(f.Records, site.Record{Key: vmsKey, Value: data})
		s.heldNew = false
		for id := range s.held {
			f.noted = append(f.noted, id)
		}
	}
	for _, v := range s.vms {
		if v.seen > v.saved {
			f.cursors = append(f.cursors, Cursor{VM: v.ID, Born: v.Born, N: v.seen})
		}
	}
	if left > 0 {
		f.cursors = nil // some progress is left for the next flush
	}
	if s.retired && left == 0 {
		r, err := s.handoverRecord()
		if err != nil {
			s.log.WithError(err).Warn("the next owner has to wait for all VMs")
		}
		f.Records, f.last = append(f.Records, r), true
	}
	if len(f.Records) == 0 && len(f.cursors) == 0 {
		return nil, nil
	}
	return f, nil
}

func (s *Scheduler) encodeHeld() ([]byte, error) {
	var list []heldVM
	for id := range s.held {
		if v := s.vms[id]; v != nil {
			list = append(list, heldVM{VM: v.VM})
		}
	}
	return jobs.Encode(&list)
}

// Flushed takes note that the job log holds a flush.
func (s *Scheduler) Flushed(f *Flush) {
	s.handedOver = s.handedOver || f.last
	for _, id := range f.added {
		if j := s.jobs[id]; j != nil {
			j.stored, j.asked = true, false
		}
	}
	for id, state := range f.states {
		if j := s.jobs[id]; j != nil {
			j.shown = state
		}
	}
	for _, id := range f.noted {
		if v := s.vms[id]; v != nil && s.held[id] {
			v.noted = true
		}
	}
	for _, c := range f.cursors {
		if v := s.vms[c.VM]; v != nil && v.Born == c.Born {
			v.saved = c.N
		}
	}
}

// FlushRefused takes note that nothing of a flush was stored.
func (s *Scheduler) FlushRefused(f *Flush) {
	s.heldNew = true
	for _, id := range f.added {
		if j := s.jobs[id]; j != nil {
			j.asked = false
		}
	}
	for id := range f.states {
		if j := s.jobs[id]; j != nil {
			j.dirty = true
		}
	}
}
