// Package jobs defines jobs, their steps and tasks, and the record of their progress.
// It parses job files, checks jobs and encodes both jobs and progress for the job log.
// A job enters from a caller or a job file; the scheduler runs its tasks and stores the
// job and its progress in the log, from which another entry can continue.
package jobs

import "time"

//go:generate ../../.bin/enumer -type=State -transform=kebab -json -output=state_enumer.go

// State is the state of a job as callers see it.
type State int

// States of a job. Completed, Failed and Cancelled are final.
const (
	Queued    State = iota // accepted, no task has started
	Running                // a task has started
	Completed              // every task is done
	Failed                 // a task has used up its attempts
	Cancelled              // cancelled by the caller
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Job is an accepted job. It is immutable.
type Job struct {
	ID          string  // 16 hexadecimal digits, chosen by the caller
	Account     string  // client account of its caller; empty if the queue needs no key
	Queue       string  // name of the route that the job was submitted to
	Pool        string  // pool whose VMs run it
	Spec        string  // passed to each task
	Steps       []Step  // at least one
	Repeat      int     // number of occurrences; 0 for a job that runs once, immediately
	FirstDue    int64   // Unix milliseconds at which occurrence 0 is due
	IntervalMS  int64   // between two occurrences
	SubmittedMS int64   // Unix milliseconds at which the job was accepted
	MaxAttempts int     // number of failed runs of one task after which the job fails; at least 1
	Priority    int     // 0 is the most urgent
	Stretch     float64 // factor on the run time in the latency objective
	TargetMS    int64   // added to the stretched run time to give the latency objective
	Advice      bool    // tasks start only on VMs that the placement policy allows
}

// Step is a set of identical tasks.
type Step struct {
	Count      int    // number of tasks, at least 1
	CPU        int    // thousandths of a core per task
	MemMB      int    // per task
	GPU        int    // accelerators per task
	EstimateMS int64  // declared run time of a task; the actual one may differ widely
	After      []int  // indexes, from 0, of earlier steps that must be done first
	Saves      bool   // tasks write checkpoints
	Gang       bool   // tasks make progress only if all of them run
	OneRack    bool   // tasks are slower when spread over racks; a gang is only started within one rack
	Label      string // required label of the VM; empty for none
	Rack       string // preferred rack, which holds the tasks' data; empty for none
	PerVM      int    // maximum number of tasks of one occurrence on one VM; 0 for no limit
	Copies     bool   // a task may have a speculative run
	Lasts      bool   // long-running: tasks run until the job is cancelled
	Image      string // image that tasks run; tasks of one image behave alike; not used for scheduling
	TailMS     int64  // tail latency limit of a task that serves requests; 0 for none
	Fills      bool   // best effort: tasks reserve no CPU and use what other tasks leave idle
	MayMiss    int    // maximum number of long-running tasks that the scheduler may interrupt at the same time; 0 is handled as 1
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// DueMS returns the Unix millisecond from which an occurrence may start; 0 means
// immediately.
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

// CriticalPath returns the declared run time of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	finish := make([]int64, len(j.Steps)) // earliest end of each step, in ms from the start
	var last int64
	for i := range j.Steps {
		var start int64
		for _, a := range j.Steps[i].After {
			start = max(start, finish[a])
		}
		finish[i] = start + j.Steps[i].EstimateMS
		last = max(last, finish[i])
	}
	return time.Duration(last) * time.Millisecond
}

// Objective returns the job's latency objective: the time from submission within which
// it should complete. The caller gets less value from a job that completes later.
func (j *Job) Objective() time.Duration {
	stretched := time.Duration(float64(j.CriticalPath()) * max(j.Stretch, 1))
	return stretched + time.Duration(j.TargetMS)*time.Millisecond
}
