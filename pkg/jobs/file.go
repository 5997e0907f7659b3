package jobs

import (
	"fmt"

	"github.com/greengagelane/greengagelane/pkg/jsonc"
)

// File is the content of a job file that an operator writes, in JSON with comments.
type File struct {
	Queue      string     `json:"queue"` // name of the route
	ID         string     `json:"id"`    // 16 hexadecimal digits; if empty, the submitting command chooses it at random
	Spec       string     `json:"spec"`  // passed to each task
	Steps      []FileStep `json:"steps"`
	Repeat     int        `json:"repeat"`       // number of occurrences; 0 for a job that runs once, immediately
	FirstDueMS int64      `json:"first-due-ms"` // Unix milliseconds
	IntervalMS int64      `json:"interval-ms"`  // between two occurrences
}

// FileStep is a set of identical tasks in a File.
type FileStep struct {
	Tasks        int     `json:"tasks"`
	Cores        float64 `json:"cores"`        // per task
	MemoryMB     int     `json:"memory-mb"`    // per task
	Accelerators int     `json:"accelerators"` // per task
	EstimateMS   int64   `json:"estimate-ms"`  // declared run time of a task
	After        []int   `json:"after"`        // indexes, from 0, of earlier steps that must be done first
	Checkpoints  bool    `json:"checkpoints"`  // tasks write checkpoints
	Gang         bool    `json:"gang"`         // tasks make progress only if all of them run
	OneRack      bool    `json:"one-rack"`     // tasks are slower when spread over racks; a gang is only started within one rack
	Label        string  `json:"label"`        // required label of the VM
	Rack         string  `json:"rack"`         // preferred rack, which holds the tasks' data
	PerVM        int     `json:"per-vm"`       // maximum number of tasks of one occurrence on one VM; 0 for no limit
	Copies       bool    `json:"copies"`       // a task may have a speculative run
	Lasts        bool    `json:"lasts"`        // long-running: tasks run until the job is cancelled
	Image        string  `json:"image"`        // image that tasks run; tasks of one image behave alike; not used for scheduling
	TailMS       int64   `json:"tail-ms"`      // tail latency limit of a task that serves requests
	Fills        bool    `json:"fills"`        // best effort: tasks reserve no cores and use what other tasks leave idle
	MayMiss      int     `json:"may-miss"`     // maximum number of long-running tasks that the scheduler may interrupt at the same time; 0 is handled as 1
}

// ParseFile parses and checks a job file. Its errors name the line or the invalid field.
// The job's ID is empty if the file names none. The fields that depend on the queue, such
// as Pool and MaxAttempts, are set when an entry accepts the job; until then MaxAttempts has
// its minimum.
func ParseFile(name string, data []byte) (*Job, error) {
	f, _, err := jsonc.Decode[File](name, data)
	if err != nil {
		return nil, err
	}
	if f.Queue == "" {
		return nil, fmt.Errorf("%s: queue is required", name)
	}
	const placeholderID = "0000000000000000" // passes Check if the file names no identifier
	j := &Job{
		ID: placeholderID, Queue: f.Queue, Spec: f.Spec, Repeat: f.Repeat, FirstDue: f.FirstDueMS, IntervalMS: f.IntervalMS, MaxAttempts: 1,
	}
	if f.ID != "" {
		j.ID = f.ID
	}
	for _, s := range f.Steps {
		j.Steps = append(j.Steps, Step{
			Count: s.Tasks, CPU: int(s.Cores * 1000), MemMB: s.MemoryMB, GPU: s.Accelerators, EstimateMS: s.EstimateMS, After: s.After,
			Saves: s.Checkpoints, Gang: s.Gang, OneRack: s.OneRack, Label: s.Label, Rack: s.Rack, PerVM: s.PerVM, Copies: s.Copies,
			Lasts: s.Lasts, Image: s.Image, TailMS: s.TailMS, Fills: s.Fills, MayMiss: s.MayMiss,
		})
	}
	if err := j.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	j.ID = f.ID
	return j, nil
}
