package sched

import (
	"errors"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

var errNoAnswer = errors.New("no answer")

// orders runs a scheduling round and returns its start orders, which are under way.
func (r *fixture) orders(ms int) []StartRun {
	r.t.Helper()
	var list []StartRun
	for _, a := range r.s.Decide(at(ms)) {
		if x, ok := a.(StartRun); ok {
			assert.Assert(r.t, x.Dispatch.Attempt())
			list = append(list, x)
		}
	}
	return list
}

func (r *fixture) endVM(ms int, id string) {
	r.s.EndVM(at(ms), site.Incarnation{VM: id, Born: r.s.vms[id].Born})
	r.flush(ms)
}

// orderOne returns the only start order of a round.
func (r *fixture) orderOne(ms int) StartRun {
	r.t.Helper()
	x := r.orders(ms)
	assert.Equal(r.t, len(x), 1)
	return x[0]
}

func onePlainTask() jobs.Step { return jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000} }

// pollUp has the VMs that are not known to have ended answer a status poll with their runs.
func (r *fixture) pollUp(ms int) {
	for _, v := range r.s.sortedVMs("pool") {
		if !v.ended {
			r.pollRuns(ms, v.ID)
		}
	}
}
