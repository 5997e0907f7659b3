package sched

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// add adds a call at a time, whose tasks run for the given time.
func (o *overload) add(ms, actualMS int, j *jobs.Job) {
	j.Stretch, j.TargetMS, j.SubmittedMS = 1.6, 600, at(ms).UnixMilli()
	o.actualMS[j.ID], o.first[j.ID] = actualMS, at(ms)
	actual := *j
	actual.Steps = nil
	for _, st := range j.Steps {
		st.EstimateMS = int64(actualMS)
		actual.Steps = append(actual.Steps, st)
	}
	o.objMS[j.ID] = float64(actual.Objective().Milliseconds())
	heap.Push(&o.calls, call{at: at(ms), job: j})
}

// TestNoRefusalWhileCoresAreIdle guards against refusals of jobs that could begin at once, as admission
// made them when it compared waiting work with the work that idle cores do in the declared task time of
// the new job: with declared times that are too short, with parallel steps, and with long chains of
// narrow steps, whose later steps occupy no cores yet. The demand has peaks of four times the mean.
func TestNoRefusalWhileCoresAreIdle(t *testing.T) {
	chain := func(declared int64) []jobs.Step {
		var steps []jobs.Step
		for i := range 5 {
			st := jobs.Step{Count: 4, CPU: 1000, MemMB: 10, EstimateMS: declared}
			if i > 0 {
				st.After = []int{i - 1}
			}
			steps = append(steps, st)
		}
		return steps
	}
	parallel := func(declared int64) []jobs.Step {
		var steps []jobs.Step
		for range 4 {
			steps = append(steps, jobs.Step{Count: 5, CPU: 1000, MemMB: 10, EstimateMS: declared})
		}
		return steps
	}
	exact := func(*overload) float64 { return 1 }
	wrong := func(o *overload) float64 { return 0.1 + 1.8*o.rnd.Float64() }
	tooShort := func(*overload) float64 { return 0.4 }
	tests := []struct {
		name    string
		factor  func(o *overload) float64 // of the declared on the actual run time
		steps   []func(declared int64) []jobs.Step
		flushMS int
	}{
		{"chains", exact, []func(int64) []jobs.Step{chain}, 0},
		{"parallel steps", exact, []func(int64) []jobs.Step{parallel}, 0},
		{"declared times wrong by 0.9", wrong, []func(int64) []jobs.Step{parallel, chain}, 0},
		{"declared times too short", tooShort, []func(int64) []jobs.Step{parallel, chain}, 0},
		{"a slow job log", exact, []func(int64) []jobs.Step{parallel, chain}, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const jobWork = 20.0 // core-seconds
			const seconds = 20
			capacity := float64(overloadVMs*8) / jobWork // jobs per second
			o := newOverload(t)
			o.flushMS = tt.flushMS
			for ms := 0.0; ms < seconds*1000; {
				rate := 0.25 * capacity
				if int(ms)%5000 < 1500 {
					rate = 2.5 * capacity
				}
				ms += o.rnd.ExpFloat64() * 1000 / rate
				actual := 700 + o.rnd.IntN(600)
				steps := tt.steps[o.rnd.IntN(len(tt.steps))](int64(float64(actual) * tt.factor(o)))
				o.add(int(ms), actual, testJob(fmt.Sprintf("%016x", len(o.first)+1), steps...))
			}
			o.play(60_000)
			late := o.late()
			t.Logf("%d jobs: %d in time, %d accepted in time and late, %d refused, %d refusals, %d while cores were idle", len(o.first), o.count("in-time"), late, o.count("refused"), len(o.refusals), o.idleRefusals)
			assert.Equal(t, o.idleRefusals, 0)
			if tt.flushMS == 0 {
				assert.Equal(t, o.idleWaits, 0)
			}
			assert.Assert(t, late <= len(o.first)*15/100, "%d accepted jobs end late", late)
		})
	}
}

// late counts the jobs that were accepted when they could still meet their objective, and ended late.
func (o *overload) late() int {
	n := 0
	for id, x := range o.outcome {
		if x == "late" && !o.overdue[id] {
			n++
		}
	}
	return n
}

func testAccounts(weights ...float64) []site.Account {
	var list []site.Account
	for i, w := range weights {
		list = append(list, site.Account{Name: string(rune('a' + i)), Weight: w})
	}
	return list
}

// accountJob returns a job of one account whose tasks have one core and run for a second.
func accountJob(number int, account string, count int) *jobs.Job {
	j := testJob(fmt.Sprintf("%016x", number), jobs.Step{Count: count, CPU: 1000, MemMB: 10, EstimateMS: 1000})
	j.Account, j.Stretch, j.TargetMS = account, 1, 5000
	return j
}

// TestOrderOfStarts guards against an account that keeps others waiting with the jobs that it sent
// before them, and against another order than the one by urgency if no account is beyond its share.
func TestOrderOfStarts(t *testing.T) {
	tests := []struct {
		name     string
		accounts []site.Account
		jobs     []*jobs.Job // all submitted at the same time
		want     map[string]int
	}{
		{
			"excess jobs last", testAccounts(50, 50),
			[]*jobs.Job{accountJob(1, "a", 4), accountJob(2, "a", 4), accountJob(3, "b", 4)},
			map[string]int{"a": 4, "b": 4},
		},
		{
			"by weight", testAccounts(30, 10),
			[]*jobs.Job{accountJob(1, "b", 2), accountJob(2, "b", 6), accountJob(3, "a", 6)},
			map[string]int{"a": 6, "b": 2},
		},
		{
			"what one leaves goes to the others", testAccounts(90, 10),
			[]*jobs.Job{accountJob(1, "b", 5), accountJob(2, "b", 5), accountJob(3, "a", 1)},
			map[string]int{"a": 1, "b": 7},
		},
		{
			"a job beyond the rate last, also if its account is within its share", testAccounts(1, 50),
			[]*jobs.Job{accountJob(1, "a", 1), accountJob(2, "a", 1), accountJob(3, "b", 7)},
			map[string]int{"a": 1, "b": 7},
		},
		{
			"by urgency without overload", testAccounts(1, 50),
			[]*jobs.Job{accountJob(1, "a", 7), accountJob(2, "b", 1)},
			map[string]int{"a": 7, "b": 1},
		},
		{
			"an account that is not configured has weight 1", testAccounts(7),
			[]*jobs.Job{accountJob(1, "z", 1), accountJob(2, "z", 3), accountJob(3, "a", 7)},
			map[string]int{"a": 7, "z": 1},
		},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("vm1"))
		r.s.SetAccounts(tt.accounts)
		for _, j := range tt.jobs {
			r.submit(0, j)
		}
		got := map[string]int{}
		for _, a := range r.starts(10) {
			account, _, _ := r.s.AccountOf(a.Task.Job)
			got[account]++
		}
		assert.DeepEqual(t, got, tt.want)
		reports := r.s.Report(at(10), "pool").Accounts
		assert.Assert(t, reports["a"].Share > 0 && reports["a"].Share <= 8, "%s: %v", tt.name, reports["a"])
	}
}

// TestRefusalNamesTheAccountsShare guards against refusals that do not say whose fault they are: in a
// full pool, an account is told that it is beyond its share or its rate, and another one is accepted.
func TestRefusalNamesTheAccountsShare(t *testing.T) {
	tests := []struct {
		weight float64
		beyond string
	}{{500, "share"}, {2, "rate"}}
	for _, tt := range tests {
		r := newFixture(t, testVM("vm1"))
		r.s.SetAccounts(testAccounts(tt.weight, tt.weight))
		var a Admission
		accepted := 0
		for n := 1; n < 100; n++ {
			if a = r.s.Submit(at(0), accountJob(n, "a", 4)); !a.Accepted {
				break
			}
			accepted++
			r.flush(0)
		}
		assert.Equal(t, a.Beyond, tt.beyond)
		assert.Assert(t, a.RetryAfter > 0 && accepted >= 2, "%v after %d jobs", a, accepted)
		assert.Assert(t, r.s.Submit(at(1), accountJob(100, "b", 4)).Accepted)
		stats := r.s.Stats()
		assert.Equal(t, stats.RefusedByShare+stats.RefusedByRate, 1)
		assert.Equal(t, stats.RefusedByRate == 1, tt.beyond == "rate")
	}
}

// TestExcessReservesNoVM guards against an account that holds VMs back for long-running tasks beyond its
// share while other accounts have tasks that fit.
func TestExcessReservesNoVM(t *testing.T) {
	r := newFixture(t, testVM("vm1"), testVM("vm2"))
	r.s.SetAccounts(testAccounts(10, 10))
	lasting := func(n int) *jobs.Job {
		j := accountJob(n, "a", 1)
		j.Steps[0].CPU, j.Steps[0].Lasts = 6000, true
		return j
	}
	r.submit(0, lasting(1))
	r.submit(0, lasting(2))
	assert.Equal(t, len(r.starts(10)), 2)
	r.submit(20, lasting(3)) // fits on no VM, and the account has 12 of 16 cores
	r.submit(20, accountJob(4, "b", 4))
	assert.Equal(t, len(r.starts(30)), 4)
}

// TestNewVMsCountAsArrivals guards against refusals while VMs that have just joined wait for their first
// status poll.
func TestNewVMsCountAsArrivals(t *testing.T) {
	r := newFixture(t, testVM("vm1"))
	r.submit(0, accountJob(1, "", 8))
	assert.Equal(t, len(r.starts(10)), 8)
	r.submit(20, accountJob(2, "", 32))
	r.s.SetVMs(at(30), []site.VM{testVM("vm1"), testVM("vm2"), testVM("vm3"), testVM("vm4")})
	j := accountJob(3, "", 8)
	j.TargetMS = 1100 // it can wait for that long; 4 VMs that are busy need 1 s for the work before it
	j.Steps[0].EstimateMS = 900
	r.s.pool("pool").loadAt = time.Time{}
	assert.Assert(t, r.s.Submit(at(40), j).Accepted)
	wait := r.s.pool("pool").supply.Wait(r.s.pool("pool").load.InTime, time.Second)
	assert.Assert(t, wait < 700*time.Millisecond, "%v", wait)
}

// TestReportSeparatesExcess guards against machines that are taken from other pools for jobs beyond
// the rate of their account.
func TestReportSeparatesExcess(t *testing.T) {
	r := newFixture(t, testVM("vm1"))
	r.s.SetAccounts(testAccounts(1, 1))
	for i := range 4 { // the rate of account a covers the first one
		r.s.Submit(at(0), accountJob(i, "a", 1))
	}
	report := r.s.Report(at(100), "pool")
	assert.Assert(t, report.ExcessRate > 0 && report.ExcessRate < report.Rate, "rate %v, of it beyond the rates of accounts %v", report.Rate, report.ExcessRate)
	r.s.Submit(at(100), accountJob(9, "b", 1))
	assert.Equal(t, r.s.Report(at(100), "pool").ExcessRate, report.ExcessRate)
}

// TestIdleVMsAreFilledInOrder guards against admission that depends on the iteration order of a map: which
// idle VM a job takes decides whether the next one fits.
func TestIdleVMsAreFilledInOrder(t *testing.T) {
	for range 20 {
		small := testVM("a")
		small.CPU = 4000
		r := newFixture(t, small, testVM("b"))
		r.starts(10)
		r.s.measureIdle(at(20), "pool")
		p := r.s.pool("pool")
		assert.Assert(t, p.fitsIdle(newJob(testJob(jobID, oneCore(3)))))
		assert.Assert(t, p.fitsIdle(newJob(testJob(jobID, jobs.Step{Count: 1, CPU: 8000}))))
	}
}
