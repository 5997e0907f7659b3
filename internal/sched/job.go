package sched

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// job is a job with the state of its tasks.
type job struct {
	*jobs.Job
	state   jobs.State
	began   bool // a task has started
	stored  bool // the job log holds the job
	asked   bool // the job is in a flush that has not ended
	dirty   bool // progress that the job log does not hold
	shown   jobs.State
	finalMS int64
	occs    map[int]*occurrence
	created int // occurrences up to this one have been created
	doneOcc int // occurrences that are done and dropped
	// recovered is set on jobs of an earlier owner: their tasks may run unseen.
	recovered bool
	due       time.Time
}

// occurrence is one execution of the steps.
type occurrence struct {
	number int
	steps  []*step
	left   int // steps that are not done
}

// step is a step of one occurrence.
type step struct {
	*jobs.Step
	number  int
	tasks   []*task
	done    int
	idle    int               // tasks without a run
	tickets map[string]string // of the placement policy, by VM
	asking  bool
	askAt   time.Time // the next question to the placement policy
	validTo time.Time
}

// task is one task of an occurrence's step.
type task struct {
	id         jobs.TaskID
	job        *job
	step       *step
	done       bool
	failed     []int64 // runs that ended failed; ends may be listed again and out of order
	lastRun    int64
	checkpoint string
	doubt      bool   // it may run on a VM that has not been looked at
	avoid      string // VM on which it failed or stalled last
	ready      time.Time
	runs       []*run
}

// phase is how far a run is.
type phase int

const (
	starting  phase = iota // the start is under way
	uncertain              // the start was not answered; a stop must be confirmed
	working
	stopping // a stop was ordered
)

// run is one run of a task on a VM.
type run struct {
	task     *task
	vm       *vm
	number   int64
	phase    phase
	settled  time.Time // when the last order was answered; looks begun later show its effect
	stopAt   time.Time // the next stop order
	stopSent bool      // a stop order is under way
	stopped  bool      // a stop order was confirmed
	why      string    // of the stop
	began    time.Time
	percent  int
	moved    time.Time // when percent last changed
	atWork   time.Time // since when a task that lasts has been available; zero if not
	load     int
	pace     int // percent, as last ordered
	paceAt   time.Time
}

func (r *run) step() *jobs.Step { return r.task.step.Step }

func newJob(j *jobs.Job) *job {
	due := time.UnixMilli(j.SubmittedMS).Add(j.Objective())
	return &job{Job: j, occs: map[int]*occurrence{}, due: due}
}

// open creates the occurrences that are due.
func (j *job) open(now time.Time) {
	for j.created < j.Occurrences() && now.UnixMilli() >= j.DueMS(j.created) {
		j.add(j.created)
		j.created++
	}
}

func (j *job) add(number int) {
	o := newOccurrence(j, number)
	j.occs[number] = o
	for _, st := range o.steps {
		for _, t := range st.tasks {
			t.doubt = j.recovered
		}
	}
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number, left: len(j.Steps)}
	for i := range j.Steps {
		st := &step{Step: &j.Steps[i], number: i, idle: j.Steps[i].Count}
		st.tasks = make([]*task, st.Count)
		for k := range st.tasks {
			st.tasks[k] = &task{id: jobs.TaskID{Job: j.ID, Occurrence: number, Step: i, Index: k}, job: j, step: st}
		}
		o.steps = append(o.steps, st)
	}
	return o
}

// sorted returns the open occurrences in order.
func (j *job) sorted() []*occurrence {
	list := make([]*occurrence, 0, len(j.occs))
	for _, o := range j.occs {
		list = append(list, o)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].number < list[k].number })
	return list
}

// find returns a task of an open occurrence. A VM may report a task of an occurrence
// that this owner has not opened yet: it was due for an earlier owner.
func (j *job) find(id jobs.TaskID) *task {
	for j.created <= id.Occurrence && j.created < j.Occurrences() {
		j.add(j.created)
		j.created++
	}
	o := j.occs[id.Occurrence]
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// ready reports whether the steps before are done.
func (o *occurrence) ready(st *step) bool {
	for _, a := range st.After {
		if o.steps[a].done < o.steps[a].Count {
			return false
		}
	}
	return true
}

// progress returns what the job log keeps.
func (j *job) progress() *jobs.Progress {
	p := &jobs.Progress{State: j.state, Began: j.began, FinalMS: j.finalMS, DoneOccurrences: j.doneOcc}
	if j.state.Final() {
		return p
	}
	for _, o := range j.sorted() {
		p.Open = append(p.Open, o.number)
		for _, st := range o.steps {
			set := jobs.DoneSet{Occurrence: o.number, Step: st.number}
			for _, t := range st.tasks {
				switch {
				case t.done:
					set.Add(t.id.Index)
				case len(t.failed) > 0 || t.checkpoint != "":
					p.Notes = append(p.Notes, jobs.TaskProgress{
						Occurrence: o.number, Step: st.number, Index: t.id.Index,
						Failed: t.failed, Checkpoint: t.checkpoint,
					})
				}
			}
			if len(set.Bits) > 0 {
				p.Done = append(p.Done, set)
			}
		}
	}
	p.Created = j.created
	return p
}

// restore takes over what the job log kept.
func (j *job) restore(p *jobs.Progress) {
	j.state, j.shown, j.began, j.finalMS = p.State, p.State, p.Began, p.FinalMS
	j.created, j.doneOcc = p.Created, p.DoneOccurrences
	for _, n := range p.Open {
		j.add(n)
	}
	for _, set := range p.Done {
		o := j.occs[set.Occurrence]
		if o == nil || set.Step >= len(o.steps) {
			continue
		}
		for i, t := range o.steps[set.Step].tasks {
			if set.Has(i) {
				j.finish(t)
			}
		}
	}
	for _, n := range p.Notes {
		if t := j.find(jobs.TaskID{Job: j.ID, Occurrence: n.Occurrence, Step: n.Step, Index: n.Index}); t != nil {
			t.failed, t.checkpoint = n.Failed, n.Checkpoint
		}
	}
}

// finish marks a task as done.
func (j *job) finish(t *task) {
	if t.done {
		return
	}
	t.done = true
	if len(t.runs) == 0 {
		t.step.idle--
	}
	t.step.done++
	if t.step.done < t.step.Count {
		return
	}
	o := j.occs[t.id.Occurrence]
	o.left--
	if o.left == 0 {
		delete(j.occs, o.number)
		j.doneOcc++
	}
}

// waiting reports whether no task has started.
func (j *job) waiting() bool { return !j.began && !j.state.Final() }
