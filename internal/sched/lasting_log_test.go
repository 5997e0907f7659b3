package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const absentLine = "long-running tasks are not at work"

// waitFor makes rounds from one time to another, in which VMs answer with all their runs at work.
func (r *fixture) waitFor(from, until int, vms ...string) {
	for ms := from; ms <= until; ms += 100 {
		r.pollRunning(ms, vms...)
		r.s.Decide(at(ms))
		r.s.LogLastingWaits(at(ms), true)
	}
}

// TestLogTellsWhyLongRunningTaskWaits guards against a long-running task that waits without a log line that tells the cause.
func TestLogTellsWhyLongRunningTaskWaits(t *testing.T) {
	lasting := jobs.Step{Count: 1, CPU: 5000, Lasts: true, MayMiss: 1}
	tests := []struct {
		name   string
		change func(r *fixture, run StartRun) // after the task has started on VM a at 10 ms
		answer []string                       // VMs that answer from then on
		reason string
		vms    []string
	}{
		{"VM is silent", func(*fixture, StartRun) {}, nil, "answer", nil},
		{"VM has ended, no other", func(r *fixture, _ StartRun) { r.endVM(100, "a") }, nil, "service", []string{"unanswered/1"}},
		{"other VM is full", func(r *fixture, _ StartRun) {
			b := testVM("b")
			b.CPU = 4000
			r.s.SetVMs(at(100), []site.VM{testVM("a"), b})
			r.poll(100, "b", site.VMStatus{})
			r.flush(100)
			r.endVM(110, "a")
			r.flush(120)
		}, []string{"b"}, "room", []string{"unanswered/1", "full/1"}},
		{"loss is not stored", func(r *fixture, _ StartRun) {
			r.s.SetVMs(at(100), []site.VM{testVM("a"), testVM("b")})
			r.poll(100, "b", site.VMStatus{})
			r.flush(100)
			r.s.EndVM(at(110), site.Incarnation{VM: "a", Born: 1})
		}, []string{"b"}, "crash-record", []string{"open/1", "unanswered/1"}},
		{"loss is not confirmed", func(r *fixture, _ StartRun) {
			r.s.SetVMs(at(100), []site.VM{testVM("a"), testVM("b")})
			r.poll(100, "b", site.VMStatus{})
			r.flush(100)
			r.endVM(110, "a")
			r.flush(120)
			authority := tenure.Tenure{ConfirmedAt: at(105)}
			r.s.SetTenure(&authority)
		}, []string{"b"}, "confirmation", []string{"open/1", "unanswered/1"}},
		{"owner without authority", func(r *fixture, _ StartRun) {
			r.endVM(110, "a")
			r.s.SetTenure(&tenure.Tenure{})
		}, nil, "ownership", []string{"unanswered/1"}},
		{"after a takeover", func(r *fixture, _ StartRun) {
			r.takeover(100, testVM("a"), testVM("b"))
			r.poll(110, "b", site.VMStatus{})
			r.flush(110)
		}, []string{"b"}, "earlier-run", []string{"open/1", "unanswered/1"}},
		{"partition is handed over", func(r *fixture, _ StartRun) {
			r.endVM(110, "a")
			r.flush(120)
			r.retire(130)
		}, nil, "retired", []string{"unanswered/1"}},
		{"start is not answered", func(r *fixture, run StartRun) {
			x := r.s.vms["a"].runs[run.Order.Task]
			x.phase, x.startInFlight = starting, true
		}, nil, "start", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, lasting))
			run := r.starts(10)[0]
			r.flush(20)
			r.pollRunning(30, "a")
			r.s.LogLastingWaits(at(30), true)
			tt.change(r, run)
			log, hook := test.NewNullLogger()
			r.s.log = logrus.NewEntry(log)
			r.waitFor(200, 3900, tt.answer...)
			list := lines(hook, absentLine)
			assert.Assert(t, len(list) > 0, "no line")
			assert.Equal(t, list[0]["reason"], tt.reason)
			assert.Equal(t, list[0]["count"], 1)
			if tt.vms != nil {
				got := slices.Clone(list[0]["vms"].([]string))
				slices.Sort(got)
				slices.Sort(tt.vms)
				assert.DeepEqual(t, got, tt.vms)
			}
		})
	}
}

// TestLinesOnWaitingLongRunningTasksAreBounded guards against a line for each task and round.
func TestLinesOnWaitingLongRunningTasksAreBounded(t *testing.T) {
	const tasks, seconds = 50, 10
	r := newFixture(t, testVM("a"))
	log, hook := test.NewNullLogger()
	r.s.log = logrus.NewEntry(log)
	r.submit(0, testJob(jobID, jobs.Step{Count: tasks, CPU: 9000, Lasts: true, MayMiss: 1}))
	assert.Equal(t, len(r.starts(0)), 0)
	for ms := 0; ms < 1000*seconds; ms += 20 {
		r.s.LogLastingWaits(at(ms), true)
	}
	list := lines(hook, absentLine)
	assert.Assert(t, len(list) >= 3 && len(list) <= int(seconds*time.Second/lastingLogInterval), "%d lines", len(list))
	assert.Equal(t, list[0]["count"], tasks)
	names := list[0]["tasks"].([]string)
	assert.Equal(t, len(names), maxLoggedTasks)
}

// TestLogTellsOfNoLongRunningTaskAtWork guards against lines on tasks that are at work or that have just started.
func TestLogTellsOfNoLongRunningTaskAtWork(t *testing.T) {
	r := newFixture(t, testVM("a"))
	log, hook := test.NewNullLogger()
	r.s.log = logrus.NewEntry(log)
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, Lasts: true, MayMiss: 1}))
	assert.Equal(t, len(r.starts(10)), 2)
	r.waitFor(20, 5000, "a")
	assert.Equal(t, len(lines(hook, absentLine)), 0)
}
