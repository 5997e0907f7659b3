package jobs

import "fmt"

// Limits on a job, so that one caller cannot exhaust an entry's memory.
const (
	MaxSpecBytes   = 4000      // largest spec of a job
	MaxSteps       = 1000      // steps per job; a job usually has only a few
	MaxTasks       = 20_000    // over all steps of one occurrence
	MaxOccurrences = 100_000   // enough for one occurrence a minute over two months
	maxStepValue   = 1_000_000 // of a step's CPU, MemMB, GPU, PerVM and MayMiss, in the unit of each
	idLength       = 16        // hexadecimal digits of a job identifier
)

// CheckID returns an error unless s is a valid job identifier.
func CheckID(s string) error {
	if len(s) != idLength {
		return fmt.Errorf("job identifier %q has %d characters, not %d", s, len(s), idLength)
	}
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return fmt.Errorf("job identifier %q contains %q, which is not a hexadecimal digit", s, c)
		}
	}
	return nil
}

// Check returns an error that describes the first invalid field of the job, or nil.
func (j *Job) Check() error {
	if err := CheckID(j.ID); err != nil {
		return err
	}
	if len(j.Spec) > MaxSpecBytes {
		return fmt.Errorf("job %s: spec of %d bytes, the limit is %d", j.ID, len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("job %s: %d steps, allowed are 1 to %d", j.ID, len(j.Steps), MaxSteps)
	}
	if j.Repeat < 0 || j.Repeat > MaxOccurrences || j.IntervalMS < 0 || j.FirstDue < 0 {
		return fmt.Errorf("job %s: schedule out of range: %d occurrences, first due at Unix millisecond %d, interval %d ms", j.ID, j.Repeat, j.FirstDue, j.IntervalMS)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("job %s: %w", j.ID, err)
		}
		tasks += j.Steps[i].Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("job %s: %d tasks, the limit is %d", j.ID, tasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("step %d: %d tasks, allowed are 1 to %d", index, s.Count, MaxTasks)
	}
	for _, n := range []int{s.CPU, s.MemMB, s.GPU, s.PerVM, s.MayMiss} {
		if n < 0 || n > maxStepValue {
			return fmt.Errorf("step %d: %d is out of range: CPU (thousandths of a core), memory (MB), accelerators, tasks per VM and may-miss must be 0 to %d", index, n, maxStepValue)
		}
	}
	if s.EstimateMS < 0 || s.TailMS < 0 {
		return fmt.Errorf("step %d: the declared run time and the tail latency limit must not be negative", index)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Errorf("step %d: \"after\" contains %d, which is not the index of an earlier step", index, a)
		}
	}
	return nil
}
