package sched

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// job is a job with the state of its tasks.
type job struct {
	*jobs.Job
	state       jobs.State
	began       bool // a task has started
	stored      bool // the job log holds the job
	flushing    bool // the job is in a flush that has not ended
	dirty       bool // progress that the job log does not hold
	storedState jobs.State
	finalMS     int64
	occurrences map[int]*occurrence
	createdOccs int // occurrences up to this one have been created
	doneOccs    int // occurrences that are done and dropped
	// recovered is set on jobs of an earlier owner: their tasks may run unseen.
	recovered bool
	deadline  time.Time
}

// occurrence is one execution of the steps.
type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int // steps that are not done
}

// step is a step of one occurrence.
type step struct {
	*jobs.Step
	number        int
	tasks         []*task
	done          int
	withoutRun    int               // tasks without a run
	tickets       map[string]string // of the placement policy, by VM
	advicePending bool
	adviceRetryAt time.Time // the next question to the placement policy
	adviceExpires time.Time
}

// task is one task of an occurrence's step.
type task struct {
	id         jobs.TaskID
	job        *job
	step       *step
	done       bool
	failedRuns []int64 // runs that ended failed; ends may be listed again and out of order
	lastRun    int64
	checkpoint string
	unverified bool   // it may run on a VM that has not been looked at
	avoidVM    string // VM on which it failed or stalled last
	readyAt    time.Time
	runs       []*run
}

// phase is how far a run is.
type phase int

const (
	starting        phase = iota // the start is under way
	startUnverified              // the start was not answered; a stop must be confirmed
	working
	stopping // a stop was ordered
)

// run is one run of a task on a VM.
type run struct {
	task           *task
	vm             *vm
	number         int64
	phase          phase
	answeredAt     time.Time // when the last order was answered; looks begun later show its effect
	nextStopAt     time.Time // the next stop order
	stopInFlight   bool      // a stop order is under way
	stopConfirmed  bool      // a stop order was confirmed
	stopReason     string    // of the stop
	startedAt      time.Time
	percent        int
	progressAt     time.Time // when percent last changed
	availableSince time.Time // since when a task that lasts has been available; zero if not
	load           int
	speedPercent   int // percent, as last ordered
	throttledAt    time.Time
}

func (r *run) step() *jobs.Step { return r.task.step.Step }

func newJob(j *jobs.Job) *job {
	due := time.UnixMilli(j.SubmittedMS).Add(j.Objective())
	return &job{Job: j, occurrences: map[int]*occurrence{}, deadline: due}
}

// openDue creates the occurrences that are due.
func (j *job) openDue(now time.Time) {
	for j.createdOccs < j.Occurrences() && now.UnixMilli() >= j.DueMS(j.createdOccs) {
		j.addOccurrence(j.createdOccs)
		j.createdOccs++
	}
}

func (j *job) addOccurrence(number int) {
	o := newOccurrence(j, number)
	j.occurrences[number] = o
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

// sortedOccurrences returns the open occurrences in order.
func (j *job) sortedOccurrences() []*occurrence {
	list := make([]*occurrence, 0, len(j.occurrences))
	for _, o := range j.occurrences {
		list = append(list, o)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].number < list[k].number })
	return list
}

// findTask returns a task of an open occurrence. A VM may report a task of an occurrence
// that this owner has not opened yet: it was due for an earlier owner.
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

// stepReady reports whether the steps before are done.
func (o *occurrence) stepReady(st *step) bool {
	for _, a := range st.After {
		if o.steps[a].done < o.steps[a].Count {
			return false
		}
	}
	return true
}

// progress returns what the job log keeps.
func (j *job) progress() *jobs.Progress {
	p := &jobs.Progress{State: j.state, Began: j.began, FinalMS: j.finalMS, DoneOccurrences: j.doneOccs}
	if j.state.Final() {
		return p
	}
	for _, o := range j.sortedOccurrences() {
		p.Open = append(p.Open, o.number)
		for _, st := range o.steps {
			set := jobs.DoneSet{Occurrence: o.number, Step: st.number}
			for _, t := range st.tasks {
				switch {
				case t.done:
					set.Add(t.id.Index)
				case len(t.failedRuns) > 0 || t.checkpoint != "":
					p.Notes = append(p.Notes, jobs.TaskProgress{
						Occurrence: o.number, Step: st.number, Index: t.id.Index,
						Failed: t.failedRuns, Checkpoint: t.checkpoint,
					})
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

// restore takes over what the job log kept.
func (j *job) restore(p *jobs.Progress) {
	j.state, j.storedState, j.began, j.finalMS = p.State, p.State, p.Began, p.FinalMS
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
			t.failedRuns, t.checkpoint = n.Failed, n.Checkpoint
		}
	}
}

// finishTask marks a task as done.
func (j *job) finishTask(t *task) {
	if t.done {
		return
	}
	t.done = true
	if len(t.runs) == 0 {
		t.step.withoutRun--
	}
	t.step.done++
	if t.step.done < t.step.Count {
		return
	}
	o := j.occurrences[t.id.Occurrence]
	o.stepsLeft--
	if o.stepsLeft == 0 {
		delete(j.occurrences, o.number)
		j.doneOccs++
	}
}

// waiting reports whether no task has started.
func (j *job) waiting() bool { return !j.began && !j.state.Final() }
