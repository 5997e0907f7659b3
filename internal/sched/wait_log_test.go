package sched

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	waitingLine = "waiting for VMs that may hold runs of an earlier owner"
	endedLine   = "wait for VMs that may hold runs of an earlier owner has ended"
	startLine   = "task of an earlier owner's job starts"
)

// lines returns the log lines with a message.
func lines(hook *test.Hook, message string) []logrus.Fields {
	var list []logrus.Fields
	for _, e := range hook.AllEntries() {
		if e.Message == message {
			list = append(list, e.Data)
		}
	}
	return list
}

// TestLogTellsHowWaitForVMEnds guards against a start of an earlier owner's task of which the log does not say on what
// evidence the task was taken for not running.
func TestLogTellsHowWaitForVMEnds(t *testing.T) {
	const claimed = 1000 // ms
	p := testPolicy()
	expiry := int((p.localDuration(p.Lease) + leaseMargin).Milliseconds())
	tests := []struct {
		name     string
		event    func(r *fixture, vm string) // besides the answer of the other VM
		started  int                         // ms after the claim
		end      string
		evidence []string // of the field named as the end; nil if it counts the VMs
	}{
		{"answered", func(r *fixture, vm string) { r.poll(claimed+100, vm, site.VMStatus{}) }, 200, "answered", nil},
		{"expired", func(*fixture, string) {}, expiry + 10, "expired", []string{"a/0"}},
		{"down", func(r *fixture, vm string) { r.endVM(claimed+100, vm) }, 200, "down", []string{"a/100"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
			assert.Equal(t, len(r.starts(10)), 1)
			r.flush(20)
			log, hook := test.NewNullLogger()
			r.takeover(claimed, testVM("a"), testVM("b"), testVM("c"))
			r.s.log = logrus.NewEntry(log)
			r.s.LogWaits(at(claimed), "former owner is silent")
			waits := lines(hook, waitingLine)
			assert.Equal(t, len(waits), 1)
			assert.DeepEqual(t, waits[0]["vms"], []string{fmt.Sprintf("a/%d", expiry)})
			assert.DeepEqual(t, waits[0]["not-recorded"], []string{"b", "c"})

			tt.event(r, "a")
			r.poll(claimed+tt.started, "b", site.VMStatus{})
			r.flush(claimed + tt.started)
			assert.Equal(t, len(r.starts(claimed+tt.started)), 1)
			ends := lines(hook, endedLine)
			assert.Equal(t, len(ends), 1)
			assert.Equal(t, len(ends[0][tt.end].([]string)), 1)
			starts := lines(hook, startLine)
			assert.Equal(t, len(starts), 1)
			assert.DeepEqual(t, starts[0]["not-recorded"], []string{"c"})
			if tt.evidence == nil {
				assert.Equal(t, starts[0][tt.end], 1)
			} else {
				assert.DeepEqual(t, starts[0][tt.end], tt.evidence)
			}
		})
	}
}

// TestLogOfWaitsIsLimited guards against lines without a limit, and against waits whose ends no line tells.
func TestLogOfWaitsIsLimited(t *testing.T) {
	tests := []struct{ vms, waits, ends, evidence int }{
		{0, 0, 0, 0}, {1, 1, 1, 1}, {maxEvidence, 1, 1, maxEvidence}, {maxLoggedVMs, 1, 1, maxEvidence + 1}, {2*maxLoggedVMs + 1, 3, 3, maxEvidence + 1},
	}
	for _, tt := range tests {
		log, hook := test.NewNullLogger()
		s := New(2, testPolicy(), logrus.NewEntry(log))
		for i := range tt.vms {
			s.unverified[fmt.Sprintf("vm-%03d", i)] = at(1000)
		}
		s.LogWaits(at(0), "former owner is silent")
		assert.Equal(t, len(lines(hook, waitingLine)), tt.waits, "%d VMs", tt.vms)
		for ms := 1010; ms < 6000; ms += 100 {
			s.Decide(at(ms))
		}
		ends := lines(hook, endedLine)
		assert.Equal(t, len(ends), tt.ends, "%d VMs", tt.vms)
		named := 0
		for _, e := range ends {
			list := e["expired"].([]string)
			assert.Assert(t, len(list) <= maxLoggedVMs)
			named += len(list)
		}
		assert.Equal(t, named, tt.vms)
		list, _ := s.startEvidence(at(6000), &task{})["expired"].([]string)
		assert.Equal(t, len(list), tt.evidence, "%d VMs", tt.vms)
	}
}

// TestLogTellsOnceWhichVMFencesOwner guards against an owner of which no line tells how it has heard of a later one.
func TestLogTellsOnceWhichVMFencesOwner(t *testing.T) {
	log, hook := test.NewNullLogger()
	r := newFixture(t, testVM("a"), testVM("b"))
	r.s.log = logrus.NewEntry(log)
	r.s.HandlePollFailure(at(10), "a", site.ErrFenced)
	r.s.HandlePollFailure(at(20), "b", site.ErrFenced)
	assert.Assert(t, r.s.Fenced())
	refusals := lines(hook, "VM refused a call: it has heard of a later owner")
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0]["vm"], "a")
	assert.Equal(t, refusals[0]["call"], "status poll")
}

// TestLogTellsThatDoneTaskWasStartedAgain guards against work done twice of which no line tells.
func TestLogTellsThatDoneTaskWasStartedAgain(t *testing.T) {
	tests := []struct {
		how   site.How
		lines int
	}{{site.Done, 1}, {site.Failed, 0}, {site.Stopped, 0}}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
		first := r.starts(10)[0]
		r.flush(20)
		log, hook := test.NewNullLogger()
		r.takeover(1000, testVM("a"), testVM("b"))
		r.s.log = logrus.NewEntry(log)
		r.poll(9000, "b", site.VMStatus{})
		r.flush(9000)
		assert.Equal(t, len(r.starts(9010)), 1)
		r.poll(9100, "a", site.VMStatus{Ended: []site.RunEnd{end(1, first, tt.how)}})
		found := lines(hook, "run of an earlier owner is done; the task was started again")
		assert.Equal(t, len(found), tt.lines, "%s", tt.how)
		if tt.lines > 0 {
			assert.Equal(t, found[0]["run"], first.Order.Run)
		}
	}
}

// TestLogTellsOfStartsOfJobsNotKnownToHaveBegun guards against the second start of a task whose first one was not stored, nor
// the begin of its job, and of which no line tells.
func TestLogTellsOfStartsOfJobsNotKnownToHaveBegun(t *testing.T) {
	for _, answers := range []bool{false, true} {
		r := newFixture(t, testVM("a"))
		r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 500}))
		assert.Equal(t, len(r.starts(10)), 1)
		log, hook := test.NewNullLogger()
		r.takeover(1000, testVM("a"), testVM("b"))
		r.s.log = logrus.NewEntry(log)
		r.s.LogWaits(at(1000), "former owner is silent")
		if answers {
			r.poll(1100, "a", site.VMStatus{})
		}
		r.poll(9000, "b", site.VMStatus{})
		r.flush(9000)
		assert.Equal(t, len(r.starts(9010)), 1)
		assert.Equal(t, len(lines(hook, startLine)) == 1, !answers)
	}
}
