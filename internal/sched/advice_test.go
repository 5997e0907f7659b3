package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestAdviceCoversAllVMs guards against advice that is asked for the same VMs without end, so that a job does not
// start though a VM that the policy allows has room.
func TestAdviceCoversAllVMs(t *testing.T) {
	const valid = 500 * time.Millisecond
	tests := []struct {
		name    string
		vms     int
		allowed []int // numbers of the VMs
		full    []int // VMs without room
		asks    int   // at most, until the task starts
	}{
		{"first", 40, []int{0}, nil, 1},
		{"last four of 40", 40, []int{36, 37, 38, 39}, nil, 2},
		{"last of 1,000", 1000, []int{999}, nil, 34},
		{"allowed ones are full but the last", 100, []int{0, 1, 99}, []int{0, 1}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var vms []site.VM
			for i := range tt.vms {
				v := testVM(fmt.Sprintf("vm%04d", i))
				if slices.Contains(tt.full, i) {
					v.CPU = 100
				}
				vms = append(vms, v)
			}
			r := newFixture(t, vms...)
			j := testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 1000})
			j.Advice = true
			r.submit(0, j)
			asks, startedOn := 0, ""
			for ms := 10; ms < 20_000 && startedOn == ""; ms += 100 {
				for _, v := range vms {
					r.poll(ms, v.ID, site.VMStatus{})
				}
				for _, a := range r.s.Decide(at(ms)) {
					switch a := a.(type) {
					case AskAdvice:
						asks++
						assert.Assert(t, len(a.VMs) <= maxAdviceVMs)
						tickets := map[string]string{}
						for _, i := range tt.allowed {
							if id := fmt.Sprintf("vm%04d", i); slices.Contains(a.VMs, id) {
								tickets[id] = "t"
							}
						}
						r.s.HandleAdvice(at(ms+50), &a, tickets, valid, nil)
					case StartRun:
						startedOn = a.VM
					}
				}
			}
			assert.Equal(t, startedOn != "", true, "not started after %d requests", asks)
			assert.Assert(t, asks <= tt.asks, "%d requests", asks)
		})
	}
}
