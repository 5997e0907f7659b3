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
	s.expireLeases(now)
	s.dropDrainedVMs()
	s.evacuate(now)
	for _, v := range s.vms {
		for _, r := range v.runs {
			s.watchRun(now, r)
		}
	}
	s.throttle(now)
	for _, j := range s.jobs {
		if !j.state.Final() && j.stored {
			j.openDue(now)
		}
	}
	s.place(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// expireLeases gives up VMs whose leases have certainly run out.
func (s *Scheduler) expireLeases(now time.Time) {
	for id, until := range s.unverified {
		if now.After(until) {
			s.log.WithField("vm", id).Info("VM of the earlier owner did not answer; its leases have run out")
			delete(s.unverified, id)
		}
	}
	for _, v := range s.vms {
		silent := now.Sub(v.lastAnswer) > s.policy.Lease
		if silent && now.After(v.leasesEnd) && len(v.runs) > 0 {
			s.log.WithField("vm", v.ID).Info("VM is silent and its leases have run out")
			s.releaseRuns(v, "lease ran out")
			v.polled = false
		}
		if !v.listed && len(v.runs) == 0 && silent && now.After(v.leasesEnd) && !s.listReceivedAt.IsZero() {
			s.forgetVM(v)
		}
	}
}

// watchRun sends stops that are due and restarts runs without progress.
func (s *Scheduler) watchRun(now time.Time, r *run) {
	switch r.phase {
	case startUnverified, stopping:
		s.sendStop(now, r)
	case working:
		if now.Sub(r.progressAt) > s.stallLimit(r) && now.Sub(r.vm.lastAnswer) < s.policy.SilentAfter && (r.percent < 100 || !r.step().Lasts) {
			s.stats.Stalled++
			r.task.avoidVM = r.vm.ID
			s.recordStall(now, r.vm)
			s.stop(now, r, "no progress")
		}
		if r.vm.probation && !r.availableSince.IsZero() && now.Sub(r.availableSince) >= s.policy.Quarantine {
			r.vm.endProbation() // a task that lasts does not end as done
		}
	}
}

// stallLimit returns the time without progress after which a run is restarted. A
// long task may stay at one percentage for a fiftieth of its run time.
func (s *Scheduler) stallLimit(r *run) time.Duration {
	const slowest = 10 // a slow VM takes this many times as long
	estimate := time.Duration(r.step().EstimateMS) * time.Millisecond
	limit := max(s.policy.StallAfter, slowest*estimate/100)
	if r.speedPercent < 100 {
		limit = limit * 100 / time.Duration(max(r.speedPercent, 5))
	}
	return limit
}

func (s *Scheduler) sendStop(now time.Time, r *run) {
	if r.stopConfirmed && now.Sub(r.answeredAt) > s.policy.StopGrace+2*time.Second {
		r.stopConfirmed = false // the VM still lists it: the order is repeated
	}
	if r.stopConfirmed || r.stopInFlight || now.Before(r.nextStopAt) {
		return
	}
	r.stopInFlight = true
	s.emit(StopRun{VM: r.vm.ID, Task: r.task.id.String(), Run: r.number, Why: r.stopReason})
}

// stop orders the end of a run.
func (s *Scheduler) stop(now time.Time, r *run, why string) {
	if r.phase == stopping {
		return
	}
	s.stats.Stopped++
	r.phase, r.stopConfirmed, r.nextStopAt, r.stopReason = stopping, false, now, why
}

// evacuate takes runs off VMs that are about to leave.
func (s *Scheduler) evacuate(now time.Time) {
	if now.Before(s.evacuateFrom) {
		return
	}
	for _, v := range s.vms {
		if !v.Draining && !v.cordoned {
			continue
		}
		for _, r := range v.runs {
			if r.phase == working && s.mayEvacuate(now, r) {
				s.log.WithFields(logrus.Fields{
					"task": r.task.id.String(), "run": r.number, "vm": v.ID, "draining": v.Draining, "missing": s.unavailablePeers(now, r), "may-miss": r.step().MayMiss,
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
	return s.unavailablePeers(now, r) < max(st.MayMiss, 1)
}

// unavailablePeers counts the other tasks of a run's step that are not available.
func (s *Scheduler) unavailablePeers(now time.Time, r *run) int {
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
		if r.phase == working && !r.availableSince.IsZero() && now.Sub(r.vm.lastAnswer) < p.SilentAfter {
			return true
		}
	}
	return false
}

func (s *Scheduler) canPlaceElsewhere(now time.Time, r *run) bool {
	return s.bestCandidate(now, r.task, s.candidates(now, r.vm.Pool)) != nil
}

// throttle slows runs that fill down where a run that serves is near its bound, and
// speeds them up again where it is well below.
func (s *Scheduler) throttle(now time.Time) {
	const every = 500 * time.Millisecond // load figures cover the last half second
	for _, v := range s.vms {
		worst := 0.0
		for _, r := range v.runs {
			if tail := r.step().TailMS; tail > 0 && r.phase == working {
				worst = max(worst, float64(r.load)/float64(tail))
			}
		}
		for _, r := range v.runs {
			if !r.step().Fills || r.phase != working || now.Sub(r.throttledAt) < every {
				continue
			}
			if pace := nextSpeed(r.speedPercent, worst, &s.policy); pace != r.speedPercent {
				r.speedPercent, r.throttledAt = pace, now
				s.emit(ThrottleRun{VM: v.ID, Task: r.task.id.String(), Run: r.number, Percent: pace})
			}
		}
	}
}

// nextSpeed returns the pace of a filling run beside a serving one whose tail is at
// the given share of its bound. It backs off fast and recovers slowly, since a tail
// over its bound hurts callers and a slow filler does not.
func nextSpeed(pace int, worst float64, p *Policy) int {
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
			r.speedPercent = -1 // unknown, ordered again at the next turn
		}
	}
}

// nextRunNumber returns a run number above all earlier ones of the task, by any owner.
func (s *Scheduler) nextRunNumber(t *task) int64 {
	const runsPerEpoch = 1 << 12 // starts of one task under one owner
	return max(t.lastRun, (s.Epoch-1)*runsPerEpoch) + 1
}

func (s *Scheduler) start(now time.Time, t *task, v *vm, number int64) {
	r := &run{task: t, vm: v, number: number, phase: starting, answeredAt: now, startedAt: now, progressAt: now, speedPercent: 100}
	t.lastRun = number
	t.unverified = false
	if len(t.runs) == 0 {
		t.step.withoutRun--
	}
	t.runs = append(t.runs, r)
	v.runs[t.id.String()] = r
	s.markBegan(t.job)
	s.stats.Started++
	s.emit(StartRun{VM: v.ID, Task: t.id, Order: site.Start{
		Task: t.id.String(), Run: number, Spec: t.job.Spec, UntilMS: v.grantLease(now, &s.policy), Fence: s.Epoch,
		Checkpoint: t.checkpoint, Ticket: t.step.tickets[v.ID],
	}})
}

// dropFinalJobs forgets final jobs that need not be answered any more; their records are
// removed with the next flush.
func (s *Scheduler) dropFinalJobs(now time.Time) []site.Record {
	var gone []site.Record
	for id, j := range s.jobs {
		if j.storedState.Final() && now.UnixMilli()-j.finalMS > s.policy.KeepFinal.Milliseconds() {
			delete(s.jobs, id)
			gone = append(gone, site.Record{Key: jobKey + id}, site.Record{Key: progressKey + id})
		}
	}
	return gone
}

// Cursor is how far the ends of a VM are taken into account.
type Cursor struct {
	VM          string
	Incarnation int64
	Sequence    int64
}

// Flush is what the job log is to hold next.
type Flush struct {
	Records     []site.Record
	cursors     []Cursor
	recordedVMs []string              // VMs that the records name
	states      map[string]jobs.State // progress in the flush, by job
	addedJobs   []string              // jobs in the flush
	hasHandover bool                  // it tells the next owner what is under way
}

// Flush collects what has changed since the last one. Only one may be under way; it
// ends with Flushed or FlushRefused. It returns nil where there is nothing to store.
func (s *Scheduler) Flush(now time.Time, mostBytes int) (*Flush, error) {
	f := &Flush{Records: s.dropFinalJobs(now), states: map[string]jobs.State{}}
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
			f.addedJobs = append(f.addedJobs, id)
			size += len(data)
			j.flushing = true
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
	if s.recordedVMsDirty {
		data, err := s.encodeRecordedVMs()
		if err != nil {
			return nil, err
		}
		f.Records = append(f.Records, site.Record{Key: vmsKey, Value: data})
		s.recordedVMsDirty = false
		for id := range s.recordedVMs {
			f.recordedVMs = append(f.recordedVMs, id)
		}
	}
	for _, v := range s.vms {
		if v.seenSeq > v.storedSeq {
			f.cursors = append(f.cursors, Cursor{VM: v.ID, Incarnation: v.Born, Sequence: v.seenSeq})
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
		f.Records, f.hasHandover = append(f.Records, r), true
	}
	if len(f.Records) == 0 && len(f.cursors) == 0 {
		return nil, nil
	}
	return f, nil
}

func (s *Scheduler) encodeRecordedVMs() ([]byte, error) {
	var list []recordedVM
	for id := range s.recordedVMs {
		if v := s.vms[id]; v != nil {
			list = append(list, recordedVM{VM: v.VM})
		}
	}
	return jobs.Encode(&list)
}

// Flushed takes note that the job log holds a flush.
func (s *Scheduler) Flushed(f *Flush) {
	s.handedOver = s.handedOver || f.hasHandover
	for _, id := range f.addedJobs {
		if j := s.jobs[id]; j != nil {
			j.stored, j.flushing = true, false
		}
	}
	for id, state := range f.states {
		if j := s.jobs[id]; j != nil {
			j.storedState = state
		}
	}
	for _, id := range f.recordedVMs {
		if v := s.vms[id]; v != nil && s.recordedVMs[id] {
			v.recorded = true
		}
	}
	for _, c := range f.cursors {
		if v := s.vms[c.VM]; v != nil && v.Born == c.Incarnation {
			v.storedSeq = c.Sequence
		}
	}
}

// FlushRefused takes note that nothing of a flush was stored.
func (s *Scheduler) FlushRefused(f *Flush) {
	s.recordedVMsDirty = true
	for _, id := range f.addedJobs {
		if j := s.jobs[id]; j != nil {
			j.flushing = false
		}
	}
	for id := range f.states {
		if j := s.jobs[id]; j != nil {
			j.dirty = true
		}
	}
}
