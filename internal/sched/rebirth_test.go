package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// startAnswered carries out the start orders of a round, whose answers tell the VM's clock, and returns their number.
func (r *rebornVM) startAnswered(ms int) int {
	list := r.orders(ms)
	for i := range list {
		x, now := &list[i], at(ms+5)
		r.renew(now, min(x.Order.UntilMS, r.clock(now)+testPolicy().MaxLease.Milliseconds()))
		r.running[x.Order.Task] = x.Order.Run
		x.ClockMS = r.clock(now)
		r.s.HandleStart(now, x, site.Accepted, nil)
	}
	return len(list)
}

// listed returns VM a with the given start, and VM b.
func listed(born int64) []site.VM {
	a := testVM("a")
	a.Born = born
	return []site.VM{a, testVM("b")}
}

// awaitStart has VM b answer while a is cut off, until a task starts on b, and returns when.
func (r *rebornVM) awaitStart(from int, events map[int]func()) int {
	for ms := from; ms < 40_000; ms += 20 {
		if event := events[ms]; event != nil {
			event()
		}
		r.s.HandlePollFailure(at(ms), "a", errNoAnswer)
		r.s.HandlePoll(at(ms), "b", at(ms), &site.VMStatus{Born: 1, ClockMS: int64(ms) + 1000})
		r.flush(ms)
		for _, x := range r.orders(ms) {
			if x.VM == "b" {
				return ms
			}
		}
	}
	r.t.Fatal("the task does not start again")
	return 0
}

// TestStartOfEarlierLifeIsWaitedFor guards against a task that starts a second time beside its first run: the start order was
// meant for the earlier incarnation of a VM that had restarted under its ID, was carried out by the later one with a lease by
// the earlier clock, and the VM was cut off soon after.
func TestStartOfEarlierLifeIsWaitedFor(t *testing.T) {
	const reboot, order, cut, takeover = 400, 500, 600, 900
	inventory := func(r *rebornVM) { r.s.EndVM(at(700), site.Incarnation{VM: "a", Born: 1, AgeMS: 700 - reboot}) }
	tests := []struct {
		name     string
		age      int // ms, of the former life
		list     int // ms, when the VM list shows the new life; 0 for never
		down     bool
		takeover bool
		stored   bool // the former owner has stored what it knew
		shows    bool // the list shows the new life to the next owner
	}{
		{name: "the list shows the new life", age: 60_000, list: 1700},
		{name: "the list shows the new life at once", age: 60_000, list: 620},
		{name: "the list shows the new life, former life one second old", age: 1000, list: 1700},
		{name: "nothing shows it, former clock a minute ahead", age: 60_000},
		{name: "nothing shows it, former life one second old", age: 1000},
		{name: "the inventory shows the end of the former life", age: 60_000, down: true},
		{name: "the inventory and the list", age: 60_000, down: true, list: 1700},
		{name: "next owner, the VM is not listed", age: 60_000, takeover: true, stored: true},
		{name: "next owner, the list shows the new life", age: 60_000, takeover: true, stored: true, shows: true},
		{name: "next owner, nothing was stored, the list shows the new life", age: 60_000, takeover: true, shows: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
			r.reboot(-tt.age, 1)
			r.pollOnce(100, false)
			r.reboot(reboot, 2)
			r.submit(order-10, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60_000}))
			assert.Equal(t, r.startAnswered(order), 1)
			if tt.stored {
				r.flush(order + 30)
			}
			r.s.SetVMs(at(cut), listed(1))
			events := map[int]func(){}
			if tt.list > 0 {
				events[tt.list] = func() { r.s.SetVMs(at(tt.list), listed(2)) }
			}
			if tt.down {
				events[700] = func() { inventory(r) }
			}
			from := cut
			if tt.takeover {
				from = takeover
				list := listed(2)
				if !tt.shows {
					list = list[1:]
				}
				r.takeover(takeover, list...)
			}
			started := r.awaitStart(from, events)
			assert.Assert(t, !at(started).Before(r.lease), "starts %s before the lease of its first run ends", r.lease.Sub(at(started)))
			p := testPolicy()
			longest := p.localDuration(p.MaxLease) + time.Second
			assert.Assert(t, at(started).Before(at(from).Add(longest)), "starts after %s", at(started).Sub(at(from)))
		})
	}
}

// TestLaterRunsShareLongLease guards against a next owner that takes over a run of usual length on a VM whose leases an earlier
// start order had prolonged, and starts its task elsewhere as soon as a usual lease would have ended.
func TestLaterRunsShareLongLease(t *testing.T) {
	for _, answers := range []bool{false, true} { // the next owner
		r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
		r.reboot(-60_000, 1)
		r.pollOnce(100, false)
		r.reboot(400, 2)
		r.submit(490, testJob("00000000000000b1", jobs.Step{Count: 1, CPU: 1000, EstimateMS: 100}))
		assert.Equal(t, r.startAnswered(500), 1)
		r.finish("00000000000000b1.0.0.0", site.Done)
		r.pollOnce(600, true)
		r.flush(610)
		r.pollOnce(700, false)
		r.flush(710)
		r.submit(720, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60_000}))
		assert.Equal(t, r.startAnswered(800), 1)
		r.flush(810)
		r.takeover(900, listed(2)...)
		if answers {
			r.pollOnce(1000, true)
		}
		started := r.awaitStart(1100, nil)
		assert.Assert(t, !at(started).Before(r.lease), "answers: %t; starts %s before the lease of its first run ends", answers, r.lease.Sub(at(started)))
	}
}

// TestCrashesAreNotTakenForRebirths guards against tasks that wait for leases though their runs have certainly ended with the
// incarnation of their VM.
func TestCrashesAreNotTakenForRebirths(t *testing.T) {
	const order, crash, known = 500, 600, 700
	const down, restarted = "machine is down", "the list shows a later life"
	tests := []struct {
		name  string
		age   int    // ms
		shown string // how the owner learns of the end
		polls bool   // a poll has listed the run
		back  bool   // the later life answers
	}{
		{"down", 60_000, down, false, false},
		{"down, listed by a poll", 60_000, down, true, false},
		{"down, one second old", 1000, down, false, false},
		{"down, just begun", 0, down, false, false},
		{"restarted", 60_000, restarted, false, false},
		{"restarted, listed by a poll", 1000, restarted, true, false},
		{"restarted and back, just begun", 0, restarted, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
			r.reboot(-tt.age, 1)
			r.pollOnce(100, false)
			r.submit(order-10, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60_000}))
			assert.Equal(t, r.startAnswered(order), 1)
			if tt.polls {
				r.pollOnce(order+50, false)
			}
			r.s.SetVMs(at(crash), listed(1))
			events := map[int]func(){known: func() {
				if tt.shown == down {
					r.s.EndVM(at(known), site.Incarnation{VM: "a", Born: 1, AgeMS: known - crash})
					return
				}
				r.s.SetVMs(at(known), listed(2))
			}}
			if tt.back {
				r.reboot(crash, 2)
				events[known+100] = func() { r.pollOnce(known+100, true) }
			}
			started := r.awaitStart(crash, events)
			assert.Assert(t, started <= known+200, "starts %d ms after the end is known", started-known)
		})
	}
}

// TestUnansweredStartOfEarlierLife guards against a task that starts a second time beside its first run: a start order that was
// not answered was carried out by a later incarnation of its VM, of which no owner hears before the VM is cut off.
func TestUnansweredStartOfEarlierLife(t *testing.T) {
	const reboot, order, cut, takeover = 400, 500, 600, 900
	for _, nextOwner := range []bool{false, true} {
		r := &rebornVM{fixture: newFixture(t, testVM("a")), simVM: &simVM{id: "a"}}
		r.reboot(-60_000, 1)
		r.pollOnce(100, false)
		r.reboot(reboot, 2)
		r.submit(order-10, testJob(jobID, jobs.Step{Count: 1, CPU: 1000, EstimateMS: 60_000}))
		x := r.orderOne(order)
		r.renew(at(order+5), min(x.Order.UntilMS, r.clock(at(order+5))+testPolicy().MaxLease.Milliseconds()))
		r.s.HandleStart(at(cut), &x, site.Accepted, errNoAnswer)
		r.flush(cut)
		r.s.SetVMs(at(cut), listed(1))
		from := cut
		if nextOwner {
			from = takeover
			r.takeover(takeover, testVM("b"))
		}
		started := r.awaitStart(from, nil)
		assert.Check(t, !at(started).Before(r.lease), "next owner: %t; starts %s before the lease of its first run ends", nextOwner, r.lease.Sub(at(started)))
	}
}
