package peak

import (
	"fmt"
	"io"
	"time"

	"github.com/greengagelane/greengagelane/internal/usage"
)

// PerRun returns the processor time of the entry for each run that ended.
func (r *Result) PerRun() time.Duration { return r.Processor / time.Duration(max(r.Runs, 1)) }

// quantile returns the time within which a share of the jobs was completed.
func (r *Result) quantile(q float64) time.Duration {
	if len(r.JobTimes) == 0 {
		return 0
	}
	return r.JobTimes[min(int(q*float64(len(r.JobTimes))), len(r.JobTimes)-1)]
}

// Write writes the result, with the work by kind. Times of work include those in which the entry was ready to go on
// without having the processor.
func (r *Result) Write(w io.Writer) {
	s := r.Length.Seconds()
	fmt.Fprintf(w, "runs ended: %d, %.0f a second; jobs accepted %d, refused %d, without an answer %d\n", r.Runs, float64(r.Runs)/s, r.Jobs, r.Refused, r.Failed)
	fmt.Fprintf(w, "jobs shown as completed: half within %s, 19 of 20 within %s\n", r.quantile(0.5).Round(time.Millisecond), r.quantile(0.95).Round(time.Millisecond))
	fmt.Fprintf(w, "processor time of the entry: %.2f of a core, %s a run\n", r.Processor.Seconds()/s, r.PerRun().Round(time.Microsecond))
	for _, k := range usage.KindValues() {
		count := r.difference(fmt.Sprintf("greengagelane_work_total{kind=%q}", k))
		took := r.difference(fmt.Sprintf("greengagelane_work_seconds_total{kind=%q}", k))
		if count == 0 {
			continue
		}
		runs := float64(max(r.Runs, 1))
		fmt.Fprintf(w, "  %-8s %6.2f a run, %6.1f us each, %6.1f us a run\n", k, count/runs, took/count*1e6, took/runs*1e6)
	}
	if sent := r.difference("greengagelane_vm_orders_sent_total"); sent > 0 {
		fmt.Fprintf(w, "orders to VMs waited for %.1f ms in the mean before they were sent\n", r.difference("greengagelane_vm_order_queue_seconds_total")/sent*1e3)
	}
}

func (r *Result) difference(metric string) float64 {
	return r.After.values[metric] - r.Before.values[metric]
}
