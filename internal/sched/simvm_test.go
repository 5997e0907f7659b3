package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// maxSimEnds is the number of run ends that the reply to a status poll lists at most.
const maxSimEnds = 1

// simVM is a simulated VM. It carries out orders as the platform specifies.
type simVM struct {
	id           string
	born         int64
	bornAt       time.Time
	clockLag     float64          // fraction by which its clock is slow
	fence        int64            // highest fencing token seen
	lease        time.Time        // end of its leases on the model's clock
	running      map[string]int64 // run numbers by task
	highestRun   map[string]int64 // highest run number ended or ordered to stop, by task
	ends         []site.RunEnd
	lastSequence int64
	up           bool
}

func (v *simVM) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(v.bornAt).Milliseconds())*(1-v.clockLag))
}

// renew extends the leases to an end on the VM's clock.
func (v *simVM) renew(now time.Time, until int64) {
	remaining := float64(until-v.clock(now)) / (1 - v.clockLag)
	if end := now.Add(time.Duration(remaining * float64(time.Millisecond))); until > 0 && end.After(v.lease) {
		v.lease = end
	}
}

func (v *simVM) finish(task string, how site.How) {
	run, ok := v.running[task]
	if !ok {
		return
	}
	delete(v.running, task)
	v.highestRun[task] = max(v.highestRun[task], run)
	v.lastSequence++
	v.ends = append(v.ends, site.RunEnd{Sequence: v.lastSequence, Task: task, Run: run, How: how})
}
