package sched

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/blame"
)

// TestLogTellsOnWhichEvidenceJobIsGivenUp guards against a job that is given up without a line that tells whether
// its runs had begun when their VMs were lost.
func TestLogTellsOnWhichEvidenceJobIsGivenUp(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	r := newFixture(t, testVM("a"), testVM("b"))
	r.s.log = logrus.NewEntry(log)
	r.submit(0, testJob(jobID, onePlainTask()))
	x := r.orderOne(10)
	r.endVM(400, x.VM)
	for _, want := range []string{"not confirmed, VM answered 10 ms before the order", "heard-ms=400", "rack=r1-1", "rack-vms=2"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is missing in %s", want, out.String())
	}
	task := r.s.jobs[jobID].findTask(x.Task)
	for _, vm := range []string{"c", "d", "e", "b"} {
		task.crashes = append(task.crashes, blame.Crash{VM: vm, Born: 1, Share: 1})
	}
	out.Reset()
	r.s.Decide(at(1000))
	for _, want := range []string{"job is given up", "run not confirmed", "VM b in rack", "of 2 VMs silent"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is missing in %s", want, out.String())
	}
}
