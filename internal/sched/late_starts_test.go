package sched

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// restartVM has VM a come back under its ID, which the VM list shows and a status poll confirms.
func (r *fixture) restartVM(ms int, born int64, runs ...site.Run) {
	r.s.SetVMs(at(ms), listed(born))
	r.s.HandlePoll(at(ms+10), "a", at(ms), &site.VMStatus{Born: born, ClockMS: 1000, Running: runs})
	r.poll(ms+10, "b", site.VMStatus{})
}

// stopsOf returns the stop orders of a round for one run on VM a.
func (r *fixture) stopsOf(ms int, x *StartRun) []StopRun {
	var list []StopRun
	for _, stop := range r.stops(ms) {
		if stop.VM == "a" && stop.Task == x.Order.Task && stop.Run == x.Order.Run {
			list = append(list, stop)
		}
	}
	return list
}

// TestUnansweredStartArrivesAtNextIncarnation guards against a task that runs twice: a start order that was not answered
// arrives late, at the next incarnation of its VM, after its run was stopped and released (review/13).
func TestUnansweredStartArrivesAtNextIncarnation(t *testing.T) {
	stopped := func(r *fixture, x *StartRun) { // the VM confirms the stop, and a poll shows that the run is not there
		r.s.HandleStart(at(100), x, site.Accepted, errNoAnswer)
		stops := r.stopsOf(110, x)
		assert.Equal(r.t, len(stops), 1)
		r.s.HandleStop(at(120), &stops[0], site.Accepted, nil)
		r.poll(130, "a", site.VMStatus{})
	}
	restart := func(r *fixture) int { r.restartVM(1000, 2); return 1020 }
	tests := []struct {
		name   string
		answer func(r *fixture, x *StartRun)
		change func(r *fixture) (ms int)
		stops  int
	}{
		{"stopped, then the VM restarts", stopped, restart, 1},
		{"ended after a repeated order, then the VM restarts", func(r *fixture, x *StartRun) {
			x.Repeated = true
			r.s.HandleStart(at(100), x, site.Accepted, nil)
			r.poll(130, "a", site.VMStatus{Ended: []site.RunEnd{end(1, *x, site.Failed)}})
		}, restart, 1},
		{"no answer until the VM has restarted", func(*fixture, *StartRun) {}, func(r *fixture) int {
			r.restartVM(1000, 2)
			return 1020
		}, 0}, // the run is still tracked
		{"released with its leases, the VM has not restarted", func(r *fixture, x *StartRun) {
			r.s.HandleStart(at(100), x, site.Accepted, errNoAnswer)
			r.s.HandlePollFailure(at(100), "a", errNoAnswer)
			stops := r.stopsOf(110, x)
			assert.Equal(r.t, len(stops), 1)
			r.s.HandleStop(at(120), &stops[0], site.Accepted, errNoAnswer)
			r.s.Decide(at(5000))
		}, func(r *fixture) int { r.poll(5400, "a", site.VMStatus{}); return 5400 }, 0},
		{"released with its leases, then the VM restarts", func(r *fixture, x *StartRun) {
			r.s.HandleStart(at(100), x, site.Accepted, errNoAnswer)
			r.s.HandlePollFailure(at(100), "a", errNoAnswer)
			r.s.Decide(at(5000))
		}, func(r *fixture) int { r.restartVM(5400, 2); return 5420 }, 1},
		{"answered after its run was released", func(r *fixture, x *StartRun) {
			r.s.HandlePollFailure(at(100), "a", errNoAnswer)
			r.s.Decide(at(5000))
			r.s.HandleStart(at(5010), x, site.Accepted, errNoAnswer)
		}, func(r *fixture) int { r.restartVM(5400, 2); return 5420 }, 1},
		{"the VM is not listed for a while and restarts", stopped, func(r *fixture) int {
			r.s.SetVMs(at(200), listed(1)[1:])
			r.s.Decide(at(6000))
			assert.Assert(r.t, !r.s.HasVM("a"))
			r.restartVM(7000, 2)
			return 7020
		}, 1},
		{"the VM is not listed for a while", stopped, func(r *fixture) int {
			r.s.SetVMs(at(200), listed(1)[1:])
			r.s.Decide(at(6000))
			assert.Assert(r.t, !r.s.HasVM("a"))
			r.s.SetVMs(at(7000), listed(1))
			return 7020
		}, 0},
		{"the VM restarts after the order cannot arrive any more", stopped, func(r *fixture) int {
			ms := 100 + int(testPolicy().LateCall.Milliseconds())
			r.restartVM(ms, 2)
			return ms + 20
		}, 0},
		{"answered at once", func(r *fixture, x *StartRun) {
			r.s.HandleStart(at(100), x, site.Accepted, nil)
			r.poll(130, "a", site.VMStatus{Ended: []site.RunEnd{end(1, *x, site.Failed)}})
		}, restart, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
			x := r.orderOne(10)
			r.s.SetVMs(at(20), listed(1))
			tt.answer(r, &x)
			ms := tt.change(r)
			assert.Equal(t, len(r.stopsOf(ms, &x)), tt.stops)
		})
	}
}

// TestStopOfLateStartIsRepeated guards against an incarnation that was not told to refuse a late start, since the order that
// tells it was not answered, was answered by the one before, or is not repeated in the next one.
func TestStopOfLateStartIsRepeated(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 9000}))
	x := r.orderOne(10)
	r.s.SetVMs(at(20), listed(1))
	r.s.HandleStart(at(100), &x, site.Accepted, errNoAnswer)
	stop := func(ms int) StopRun {
		t.Helper()
		stops := r.stopsOf(ms, &x)
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, len(r.stopsOf(ms, &x)), 0, "a second one while the first is under way")
		return stops[0]
	}
	first := stop(110)
	r.s.HandleStop(at(120), &first, site.Accepted, nil)
	r.poll(130, "a", site.VMStatus{})
	r.restartVM(1000, 2)
	second := stop(1020)
	r.s.HandleStop(at(1030), &second, site.Accepted, errNoAnswer)
	assert.Equal(t, len(r.stopsOf(1040, &x)), 0, "no backoff")
	backoff := int(testPolicy().Backoff / time.Millisecond)
	repeated := stop(1040 + backoff)
	r.restartVM(1500, 3)
	r.s.HandleStop(at(1520), &repeated, site.Accepted, nil)
	third := stop(1530) // the answer came from the former incarnation
	r.s.HandleStop(at(1540), &third, site.Accepted, nil)
	assert.Equal(t, len(r.stopsOf(5000, &x)), 0)
}

// comeBackBeforeLateStart has a VM leave a start order unanswered, come back under its ID, and carry the order out in its new
// life, once that was told what it has to refuse.
func (m *model) comeBackBeforeLateStart(t *rapid.T) {
	m.round(t)
	m.decide(t)
	i := slices.IndexFunc(m.pending, func(a Action) bool {
		x, ok := a.(StartRun)
		return ok && m.vms[x.VM].up && x.Dispatch.Attempt()
	})
	if i < 0 {
		return
	}
	x := m.pending[i].(StartRun)
	m.pending = slices.Delete(m.pending, i, i+1)
	sentAt, epoch := m.now, m.s.Epoch
	m.s.HandleStart(m.now, &x, site.Accepted, errNoAnswer)
	for range rapid.IntRange(1, 4).Draw(t, "rounds before") {
		m.round(t)
	}
	if m.s.Epoch == epoch && m.vms[x.VM].up {
		m.earlier[x.VM] = m.vms[x.VM].born
		m.boot(x.VM)
		m.sendVMList()
	}
	for range rapid.IntRange(1, 4).Draw(t, "rounds after") {
		m.round(t)
	}
	v, known, late := m.vms[x.VM], m.s.vms[x.VM], m.s.lateStart(x.VM, x.Order.Task, x.Order.Run)
	told := known != nil && known.Born == v.born && known.polled && (late == nil || late.settledIn == v.born)
	if v.up && told && !m.cut[x.VM] && m.now.Sub(sentAt) < testPolicy().LateCall {
		m.carriedOutLate++
		_, _ = m.execute(delayedOrder{vm: x.VM, born: v.born, start: &x, fence: epoch})
	}
}

// TestSchedulerInvariantsLateStarts runs random histories in which VMs carry out start orders seconds after they were sent,
// when they have come back under their IDs.
func TestSchedulerInvariantsLateStarts(t *testing.T) {
	late := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, false)
		actions := m.actions()
		actions["come back"], actions["come back2"] = m.comeBackBeforeLateStart, m.comeBackBeforeLateStart
		actions["crash2"], actions["run"], actions["round"], actions["round2"] = m.crash, m.runJobs, m.round, m.round
		t.Repeat(actions)
		late += m.carriedOutLate
	})
	assert.Assert(t, late > 0, "no start order is carried out late")
	t.Logf("%d start orders were carried out late", late)
}
