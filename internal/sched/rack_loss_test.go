package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// rackVM is a VM of a rack as a test has it; rack is empty for a VM without a label.
func rackVM(id, rack string) site.VM {
	v := testVM(id)
	v.Labels = []string{"a"}
	if rack != "" {
		v.Labels = append(v.Labels, rack)
	}
	return v
}

// TestRackThatGoesDarkIsOneCause guards against blame for tasks on VMs that were lost with their rack, where the
// owner learns of the losses over some seconds, or where some of the VMs run nothing.
func TestRackThatGoesDarkIsOneCause(t *testing.T) {
	const darkMS = 1000
	tests := []struct {
		name     string
		rack     string
		vms      int   // of the rack; the first runs the task
		failMS   []int // when polls of the VMs fail, 0 if they are answered at 2000 ms
		endMS    []int // when their incarnations are known to have ended, 0 if they are not; in the order of the VMs
		withRuns int   // VMs that run a task, each of a job of its own
		oneCause bool
	}{
		{"at once", "r1-1", 4, nil, []int{1100, 1100, 1100, 1100}, 4, true},
		{"noticed over 2 s", "r1-1", 4, []int{1050, 1600, 2300, 2900}, []int{3000, 3000, 3000, 3000}, 4, true},
		{"known to have ended over 3 s", "r1-1", 4, []int{1050, 1600, 1700, 1800}, []int{1100, 2000, 3000, 4000}, 4, true},
		{"one runs a task", "r1-1", 4, nil, []int{1100, 1100, 1100, 1100}, 1, true},
		{"others are silent and not known to have ended", "r1-1", 4, []int{1050, 1600, 1900, 1900}, []int{1950, 0, 0, 0}, 1, true},
		{"half of the rack", "r1-1", 6, []int{1050, 1600, 1900, 0, 0, 0}, []int{1950, 1950, 1950, 0, 0, 0}, 2, true},
		{"less than half of the rack", "r1-1", 7, []int{1050, 1600, 1900, 0, 0, 0, 0}, []int{1950, 1950, 1950, 0, 0, 0, 0}, 2, false},
		{"one VM of the rack", "r1-1", 4, []int{1050, 0, 0, 0}, []int{1100, 0, 0, 0}, 1, false},
		{"two VMs of the rack", "r1-1", 4, []int{1050, 1050, 0, 0}, []int{1100, 1100, 0, 0}, 2, false},
		{"no label", "", 4, []int{1050, 1600, 2300, 2900}, []int{3000, 3000, 3000, 3000}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			for i := range tt.withRuns {
				r.addVM(900, rackVM(fmt.Sprintf("vm%d", i), tt.rack))
				r.submit(900, testJob(fmt.Sprintf("%016x", i+1), jobs.Step{Count: 1, CPU: 5000, EstimateMS: 9000}))
				assert.Equal(t, len(r.starts(950)), 1)
			}
			for i := tt.withRuns; i < tt.vms; i++ {
				r.addVM(0, rackVM(fmt.Sprintf("vm%d", i), tt.rack))
			}
			for i := range tt.vms {
				r.pollRuns(960, fmt.Sprintf("vm%d", i))
			}
			for ms := darkMS; ms <= 4500; ms += 50 {
				for i := range tt.vms {
					id := fmt.Sprintf("vm%d", i)
					if tt.failMS != nil && tt.failMS[i] == ms {
						r.s.HandlePollFailure(at(ms), id, errNoAnswer)
					}
					if tt.endMS[i] == ms {
						r.endVM(ms, id)
					}
					if tt.endMS[i] == 0 && (tt.failMS == nil || tt.failMS[i] == 0) && ms == 1200 {
						r.pollRuns(ms, id)
					}
				}
				r.orders(ms)
			}
			crashes := r.s.jobs["0000000000000001"].findTask(jobs.TaskID{Job: "0000000000000001"}).crashes
			assert.Equal(t, len(crashes), 1, "the crash does not count towards the limit")
			assert.Equal(t, crashes[0].Share == 0, tt.oneCause, "share %.2f", crashes[0].Share)
		})
	}
}

// addVM adds a VM to those of the platform's list.
func (r *fixture) addVM(ms int, v site.VM) {
	list := []site.VM{v}
	for _, x := range r.s.vms {
		list = append(list, x.VM)
	}
	r.s.SetVMs(at(ms), list)
	r.poll(ms, v.ID, site.VMStatus{})
	r.flush(ms)
}

// TestEndOfIncarnationMayBeKnownTwice guards against a panic when a VM whose machine was known to be down restarts under
// the same ID some time later.
func TestEndOfIncarnationMayBeKnownTwice(t *testing.T) {
	list := []site.VM{testVM("a"), testVM("b"), testVM("c")}
	r := newFixture(t)
	r.s.SetVMs(at(0), list)
	r.endVM(100, "a")
	for _, v := range list {
		r.s.HandlePollFailure(at(700), v.ID, errNoAnswer)
	}
	list[0].Born = 2
	r.s.SetVMs(at(900), list)
	assert.Equal(t, len(r.s.losses.recent), 1)
}
