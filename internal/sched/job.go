package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/blame"
	"github.com/greengagelane/greengagelane/internal/shed"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// job is a job with the state of its tasks. Its progress is rebuilt from the job log after
// a takeover.
type job struct {
	*jobs.Job
	state       jobs.State
	began       bool                // a task has been ordered to start
	runSeen     bool                // a VM has said that it runs or ran a task; a start order may still come to nothing before
	beganAt     time.Time           // when this owner saw the first start; zero if an earlier one did
	beganClass  shed.Class          // class of the job at beganAt
	stored      bool                // the job log holds the job
	flushing    bool                // the job is in a flush whose outcome is not known yet
	dirty       bool                // has progress that is not in a flush yet
	storedState jobs.State          // state that the job log holds; shown to callers
	lost        int                 // losses of VMs that this owner has recorded against its tasks; increased with dirty only
	lostStored  int                 // those of them that the job log holds
	reason      string              // why the job was given up; empty if it was not
	finalMS     int64               // Unix milliseconds at which the state became final
	occurrences map[int]*occurrence // open ones, which are created and not done, by number; changed by addOccurrence and finishTask only
	open        []*occurrence       // the values of occurrences, ordered by number
	createdOccs int                 // number of occurrences that have been created
	doneOccs    int                 // number of occurrences that are done and dropped
	// recovered is set on jobs of an earlier owner, whose tasks may be running on
	// unverified VMs.
	recovered    bool
	beganBefore  bool          // it had begun when the job log was read
	beyondRate   bool          // beyond the rate of its account when it was accepted, as seen by this owner
	consideredIn int64         // number of the last scheduling round that considered it
	copies       bool          // has a step whose tasks may have copies
	lasts        bool          // see LongRunning
	objective    time.Duration // latency objective by the declared run times
	order        orderKey      // as of the last call of sortJobs
	chain        time.Duration // see remainingChain; valid if chainKnown is set
	chainKnown   bool          // no step has ended, and no occurrence was added, since chain was computed
	load         jobLoad       // see unstartedWork; valid if loadKnown is set
	loadKnown    bool          // no task has got, lost or ended a run, and no occurrence was added, since load was computed
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int // number of steps that are not done
}

// step is a step of one occurrence.
type step struct {
	*jobs.Step
	number        int
	tasks         []*task
	done          int               // number of tasks that are done
	withoutRun    int               // number of tasks that are neither running nor done
	heldSince     time.Time         // since when reserved room alone keeps its tasks from starting; zero if it does not
	deadly        bool              // a task of a long-running step was proved to crash its VMs
	saved         gangProgress      // of a gang, when its checkpoint was made
	longestRun    time.Duration     // of the tasks that are done, as seen by this owner
	unknownRun    bool              // the time of a task is not known, or is that of a slow VM
	runTimes      []time.Duration   // of the tasks that are done; only of steps that allow copies
	tickets       map[string]string // of the placement policy, by VM ID
	denied        map[string]bool   // VMs that the placement policy does not allow, by ID
	advicePending bool              // a request to the placement policy is under way
	adviceRetryAt time.Time         // no request to the placement policy before
	adviceExpires time.Time         // end of the tickets' validity
}

// task is one task of an occurrence's step.
type task struct {
	id         jobs.TaskID
	job        *job
	step       *step
	done       bool
	failedRuns []int64      // numbers of failed runs; run ends may be reported twice and out of order
	crashes    blame.Record // of VMs that ran it, unless it was cleared of them
	cleared    int          // crashes that it was cleared of, until a run has lived for blame.ForgetAfter
	heldFor    int          // crashes for which a long-running task is not started again; 0 if it may be
	// suspectSince is when this owner last saw a VM crash under it.
	suspectSince time.Time
	lastRun      int64 // highest run number seen
	checkpoint   string
	unverified   bool      // it may be running on an unverified VM
	avoidVM      string    // VM on which it last failed or stalled
	readyAt      time.Time // not started before
	absentSince  time.Time // since when a long-running task has not been at work, as far as LogLastingWaits has seen; zero if it is
	lostAt       time.Time // when the incarnation of a VM that may have run it was last known to have ended; zero if none was
	runs         []*run
}

// phase is the state of a run.
type phase int

const (
	starting        phase = iota // the start order is under way
	startUnverified              // the start order was not answered; the run is stopped unless a poll lists it first
	working                      // the VM has accepted or listed it
	stopping                     // a stop was decided; it may not be confirmed yet
)

// run is one run of a task on a VM.
type run struct {
	task           *task
	name           string     // of the task
	spec           *jobs.Step // of the task
	vm             *vm
	number         int64
	phase          phase
	answeredAt     time.Time // when the last order was answered; polls begun later show its effect
	confirmedAt    time.Time // when the VM first accepted or listed it; zero if it may not have begun
	incarnation    int64     // of the VM that certainly has it, by its start; 0 if it may be an earlier or later one
	onLater        bool      // a later incarnation of the VM than the known one has answered its start order
	leaseEnd       time.Time // by which the lease has ended that its start order has granted; zero if its reply did not tell
	lossCounted    bool      // the loss of a VM's incarnation counts against its task
	heardAt        time.Time // when the VM had last answered a call before the start was ordered
	nextStopAt     time.Time // no stop order is sent before this time
	awaitsPoll     bool      // its stop waits for a status poll, which may list it
	stopInFlight   bool      // a stop order is under way
	stopConfirmed  bool      // the VM has confirmed a stop order
	stopReason     string    // shown to operators
	endUnknown     bool      // the VM lists it neither as running nor as ended
	missedAt       time.Time // when a complete list first lacked it; zero if none has
	startedAt      time.Time
	startInFlight  bool      // the start order is under way, also after a stop was decided
	startOrder     *Dispatch // of its start order; nil if an earlier owner has started it
	percent        int       // of the work, as last reported
	progressAt     time.Time // when percent last changed, or the run was confirmed
	availableSince time.Time // since when a long-running task has been available; zero if it is not
	reportedTailMS int       // tail latency of a task that serves requests, as last reported; of other tasks the CPU in use, which is ignored
	speedPercent   int       // of full speed, as last ordered; -1 if unknown
	adopted        bool      // startedAt is the time of its adoption, unless the job log says when it was started
	startedFrom    string    // checkpoint that it started from
	copy           *copyRun  // the decision behind a copy, nil for other runs
	throttledAt    time.Time // when speedPercent was last changed
}

func (r *run) step() *jobs.Step { return r.spec }

func newJob(j *jobs.Job) *job {
	copies := slices.ContainsFunc(j.Steps, func(st jobs.Step) bool { return copyableStep(&st) })
	return &job{Job: j, occurrences: map[int]*occurrence{}, objective: j.Objective(), copies: copies, lasts: j.LongRunning()}
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *job) LongRunning() bool { return j.lasts }

// createDueOccurrences creates the occurrences that are due, as long as no more than maxOpen are open.
func (j *job) createDueOccurrences(now time.Time, maxOpen int) {
	for j.createdOccs < j.Occurrences() && len(j.occurrences) < maxOpen && now.UnixMilli() >= j.DueMS(j.createdOccs) {
		j.addOccurrence(j.createdOccs)
		j.createdOccs++
	}
}

func (j *job) addOccurrence(number int) {
	o := newOccurrence(j, number)
	j.occurrences[number] = o
	j.open = append(j.open, o)
	slices.SortFunc(j.open, func(a, b *occurrence) int { return cmp.Compare(a.number, b.number) })
	j.chainKnown, j.loadKnown = false, false
	for _, st := range o.steps {
		for _, t := range st.tasks {
			t.unverified = j.recovered
		}
	}
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number, stepsLeft: len(j.Steps)}
	for i := range j.Steps {
		st := &step{Step: &j.Steps[i], number: i, withoutRun: j.Steps[i].Count}
		st.tasks = make([]*task, st.Count)
		for k := range st.tasks {
			st.tasks[k] = &task{id: jobs.TaskID{Job: j.ID, Occurrence: number, Step: i, Index: k}, job: j, step: st}
		}
		o.steps = append(o.steps, st)
	}
	return o
}

// findTask returns a task of an open occurrence, nil if there is none. It creates
// occurrences up to the task's: a VM may report a task of an occurrence that came due
// under an earlier owner and that this owner has not created yet.
func (j *job) findTask(id jobs.TaskID) *task {
	for j.createdOccs <= id.Occurrence && j.createdOccs < j.Occurrences() {
		j.addOccurrence(j.createdOccs)
		j.createdOccs++
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// stepReady reports whether the steps that a step depends on are done.
func (o *occurrence) stepReady(st *step) bool {
	for _, a := range st.After {
		if o.steps[a].done < o.steps[a].Count {
			return false
		}
	}
	return true
}

// progress returns the job's progress for the job log.
func (j *job) progress() *jobs.Progress {
	p := &jobs.Progress{State: j.state, Began: j.began, FinalMS: j.finalMS, DoneOccurrences: j.doneOccs, Reason: j.reason}
	if j.state.Final() {
		return p
	}
	for _, o := range j.open {
		p.Open = append(p.Open, o.number)
		for _, st := range o.steps {
			set := jobs.DoneSet{Occurrence: o.number, Step: st.number}
			for _, t := range st.tasks {
				switch {
				case t.done:
					set.Add(t.id.Index)
				case len(t.failedRuns) > 0 || t.checkpoint != "" || len(t.crashes) > 0 || t.cleared > 0 || t.recordsPlace():
					p.Notes = append(p.Notes, t.note(o.number))
				}
			}
			if len(set.Bits) > 0 {
				p.Done = append(p.Done, set)
			}
		}
	}
	p.Created = j.createdOccs
	return p
}

// restore loads the progress that the job log holds.
func (j *job) restore(p *jobs.Progress) {
	j.state, j.storedState, j.began, j.finalMS, j.reason = p.State, p.State, p.Began, p.FinalMS, p.Reason
	j.beganBefore, j.runSeen = p.Began, p.Began
	j.createdOccs, j.doneOccs = p.Created, p.DoneOccurrences
	for _, n := range p.Open {
		j.addOccurrence(n)
	}
	for _, set := range p.Done {
		o := j.occurrences[set.Occurrence]
		if o == nil || set.Step >= len(o.steps) {
			continue
		}
		for i, t := range o.steps[set.Step].tasks {
			if set.Has(i) {
				j.finishTask(t)
			}
		}
	}
	for _, n := range p.Notes {
		if t := j.findTask(jobs.TaskID{Job: j.ID, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index}); t != nil {
			t.failedRuns, t.checkpoint, t.cleared = n.Failed, n.Checkpoint, n.Cleared
			t.restoreCrashes(n.Crashes)
		}
	}
}

// addRun adds a run of the task.
func (t *task) addRun(r *run) {
	if len(t.runs) == 0 {
		t.step.withoutRun--
		t.job.loadKnown = false
	}
	t.runs = append(t.runs, r)
}

// removeRun removes a run of the task, which may then get another one.
func (t *task) removeRun(r *run) {
	if i := slices.Index(t.runs, r); i >= 0 {
		t.runs = slices.Delete(t.runs, i, i+1)
	}
	if len(t.runs) == 0 && !t.done {
		t.step.withoutRun++
		t.job.loadKnown = false
	}
}

// finishTask marks a task as done, and closes its occurrence after the last one.
func (j *job) finishTask(t *task) {
	if t.done {
		return
	}
	t.done, j.loadKnown = true, false
	if len(t.runs) == 0 {
		t.step.withoutRun--
	}
	t.step.done++
	if t.step.done < t.step.Count {
		return
	}
	j.chainKnown = false
	o := j.occurrences[t.id.Occurrence]
	o.stepsLeft--
	if o.stepsLeft == 0 {
		delete(j.occurrences, o.number)
		j.open = slices.DeleteFunc(slices.Clone(j.open), func(x *occurrence) bool { return x == o })
		j.doneOccs++
	}
}

// waiting reports whether no task is known to have started.
func (j *job) waiting() bool { return !j.runSeen && !j.state.Final() }
