package jobs

import (
	"fmt"

	"github.com/greengagelane/greengagelane/pkg/jsonc"
)

// File is a job as an operator writes it, in JSON with comments.
type File struct {
	Queue      string     `json:"queue"` // name of the route
	ID         string     `json:"id"`    // 16 hexadecimal digits; drawn at random if empty
	Spec       string     `json:"spec"`  // handed to each task
	Steps      []FileStep `json:"steps"`
	Repeat     int        `json:"repeat"`       // occurrences; 0 for a job that runs once at once
	FirstDueMS int64      `json:"first-due-ms"` // Unix milliseconds
	IntervalMS int64      `json:"interval-ms"`  // between two occurrences
}

// FileStep is a set of equal tasks in a File.
type FileStep struct {
	Tasks        int     `json:"tasks"`
	Cores        float64 `json:"cores"`        // a task
	MemoryMB     int     `json:"memory-mb"`    // a task
	Accelerators int     `json:"accelerators"` // a task
	EstimateMS   int64   `json:"estimate-ms"`  // run time of a task
	After        []int   `json:"after"`        // earlier steps, from 0, that must be done first
	Checkpoints  bool    `json:"checkpoints"`  // tasks write checkpoints
	Gang         bool    `json:"gang"`         // tasks work only together
	OneRack      bool    `json:"one-rack"`     // tasks are slower when spread over racks
	Label        string  `json:"label"`        // that the VM must carry
	Rack         string  `json:"rack"`         // where the data is
	PerVM        int     `json:"per-vm"`       // most tasks on one VM; 0 for any number
	Copies       bool    `json:"copies"`       // a second run of a task may go beside the first
	Lasts        bool    `json:"lasts"`        // tasks run until the job is cancelled
	Image        string  `json:"image"`
	TailMS       int64   `json:"tail-ms"`  // bound of the response time of a task that serves
	Fills        bool    `json:"fills"`    // cores are not reserved
	MayMiss      int     `json:"may-miss"` // tasks that the system may take from work at once
}

// ParseFile reads a job file. Its errors name the line, or the field that is wrong.
func ParseFile(name string, data []byte) (*Job, error) {
	f, _, err := jsonc.Decode[File](name, data)
	if err != nil {
		return nil, err
	}
	if f.Queue == "" {
		return nil, fmt.Errorf("%s: queue is required", name)
	}
	const anyID = "0000000000000000" // stands for one that is drawn later
	j := &Job{
		ID: anyID, Queue: f.Queue, Spec: f.Spec, Repeat: f.Repeat, FirstDue: f.FirstDueMS, IntervalMS: f.IntervalMS, MaxAttempts: 1,
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
