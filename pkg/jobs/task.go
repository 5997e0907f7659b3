package jobs

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int // 0 for a job that is not repeated
	Step       int // index in the job's steps
	Index      int // from 0 to the step's Count - 1
}

// String returns the task name, of the form job.occurrence.step.index.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Compare orders tasks by job, occurrence, step and index, as cmp.Compare does.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// StepName returns the name of the task's step in its occurrence, of the form
// job.occurrence.step.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses a task name that String returned.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q has %d parts, not 4", s, len(parts))
	}
	id := TaskID{Job: parts[0]}
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q: %q is not a non-negative number", s, parts[i+1])
		}
		*field = n
	}
	return id, nil
}
