// Package jobs holds what a job is: steps of tasks as the caller sent them, and how
// far they have come. It is plain data; the scheduler decides over it, and the job
// log keeps it.
package jobs

import "time"

//go:generate ../../.bin/enumer -type=State -transform=kebab -json -output=state_enumer.go

// State is what a caller is told about a job.
type State int

// States of a job. Completed, Failed and Cancelled are final.
const (
	Queued    State = iota // accepted, no task has started
	Running                // a task has started
	Completed              // every task has ended done
	Failed                 // a task has used up its attempts
	Cancelled              // the caller cancelled it
)

// Final reports whether the state no longer changes.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Job is a job as it was accepted. It never changes after that.
type Job struct {
	ID          string // 16 hexadecimal digits, chosen by the caller
	Queue       string // name of the route that it came by
	Pool        string // the service whose VMs run it
	Spec        string // handed to each task
	Steps       []Step // at least one
	Repeat      int    // occurrences; 0 for a job that runs once at once
	FirstDue    int64  // Unix milliseconds at which occurrence 0 is due
	IntervalMS  int64  // between two occurrences
	SubmittedMS int64  // Unix milliseconds at which it was accepted
	MaxAttempts int    // failed runs of one task that fail the job; at least 1
	Priority    int    // 0 is the most urgent
	Stretch     float64
	TargetMS    int64 // allowance on top of the stretched run time
	Advice      bool  // tasks start only where the placement policy allows
}

// Step is a set of equal tasks.
type Step struct {
	Count      int    // tasks, at least 1
	CPU        int    // thousandths of a core a task
	MemMB      int    // a task
	GPU        int    // accelerators a task
	EstimateMS int64  // declared run time, often far from the truth
	After      []int  // earlier steps that must be done first
	Saves      bool   // tasks write checkpoints
	Gang       bool   // tasks work only together
	OneRack    bool   // tasks are slower when spread over racks
	Label      string // that the VM must carry; empty for any
	Rack       string // where the data is; empty for anywhere
	PerVM      int    // most tasks of one occurrence on one VM; 0 for any number
	Copies     bool   // a second run of a task may go beside the first
	Lasts      bool   // tasks run until the job is cancelled
	Image      string // tasks of one image behave alike
	TailMS     int64  // bound of the response time of a task that serves; 0 for none
	Fills      bool   // CPU is not reserved; tasks use what others leave
	MayMiss    int    // tasks that the system may take from work at once
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// DueMS returns the Unix millisecond from which an occurrence may start; 0 for at once.
func (j *Job) DueMS(occurrence int) int64 {
	if j.Repeat == 0 {
		return 0
	}
	return j.FirstDue + int64(occurrence)*j.IntervalMS
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasts {
			return true
		}
	}
	return false
}

// Chain returns the declared run time of the longest chain of steps.
func (j *Job) Chain() time.Duration {
	longest := make([]int64, len(j.Steps))
	var most int64
	for i := range j.Steps {
		var before int64
		for _, a := range j.Steps[i].After {
			before = max(before, longest[a])
		}
		longest[i] = before + j.Steps[i].EstimateMS
		most = max(most, longest[i])
	}
	return time.Duration(most) * time.Millisecond
}

// Objective returns the time from submission within which the job is worth most.
func (j *Job) Objective() time.Duration {
	stretched := time.Duration(float64(j.Chain()) * max(j.Stretch, 1))
	return stretched + time.Duration(j.TargetMS)*time.Millisecond
}

// CoreSeconds returns the declared work of one occurrence.
func (j *Job) CoreSeconds() float64 {
	var sum float64
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.CPU) / 1000 * float64(s.EstimateMS) / 1000
	}
	return sum
}
