package sched

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/quota"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

func accountsWithLimit(cpu int) []site.Account {
	return []site.Account{{Name: "acme", Weight: 1, Limit: site.Resources{CPU: cpu}}, {Name: "free", Weight: 1}}
}

func quotaJob(id, account string, steps ...jobs.Step) *jobs.Job {
	j := testJob(id, steps...)
	j.Account = account
	return j
}

// grant has the quota coordinator allocate a fraction of all limits to the scheduler.
func (r *fixture) grant(ms int, fraction float64) *quota.Reply {
	return r.s.HandleQuota(at(ms), 1, &quota.Request{Epoch: 1, Sequence: int64(ms), PartitionEpoch: r.s.Epoch, Grants: &quota.Grants{Partitions: 2, Default: fraction}})
}

func oneCore(n int) jobs.Step { return jobs.Step{Count: n, CPU: 1000, EstimateMS: 1000} }

// TestQuotaLimitsStarts guards against starts above an account's fraction of its limit, and against
// a limit for jobs that have none.
func TestQuotaLimitsStarts(t *testing.T) {
	tests := []struct {
		name     string
		account  string
		limit    int
		fraction float64
		want     int
	}{
		{"limit", "acme", 4000, 1, 4},
		{"fraction", "acme", 4000, 0.5, 2},
		{"less than one task", "acme", 4000, 0.2, 0},
		{"nothing held", "acme", 4000, 0, 0},
		{"limit 0", "acme", 0, 0, 8},
		{"account without a limit", "free", 4000, 0, 8},
		{"account that the configuration does not have", "other", 4000, 0, 8},
		{"job without an account", "", 4000, 0, 8},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		r.s.SetAccounts(accountsWithLimit(tt.limit))
		r.grant(1, tt.fraction)
		r.submit(2, quotaJob(jobID, tt.account, oneCore(8)))
		assert.Equal(t, len(r.starts(10)), tt.want, tt.name)
		assert.Equal(t, len(r.starts(20)), 0, tt.name)
	}
}

// TestQuotaCountsStoppingRuns guards against starts in place of runs whose stop is under way: a run
// that is being stopped may still be running.
func TestQuotaCountsStoppingRuns(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.s.SetAccounts(accountsWithLimit(2000))
	r.grant(1, 1)
	r.submit(2, quotaJob(jobID, "acme", oneCore(2)))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2)
	r.s.Cancel(at(20), jobID)
	r.submit(30, quotaJob("00000000000000a2", "acme", oneCore(2)))
	assert.Equal(t, len(r.starts(40)), 0, "the cancelled runs have not ended")
	r.poll(50, "a", site.VMStatus{Ended: []site.RunEnd{end(1, runs[0], site.Stopped)}, Running: []site.Run{running(runs[1])}})
	assert.Equal(t, len(r.starts(60)), 1)
}

// TestLoweredLimit guards against stopped runs, and against starts before enough runs have ended,
// when the limit is lowered below what is running.
func TestLoweredLimit(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.s.SetAccounts(accountsWithLimit(4000))
	r.grant(1, 1)
	r.submit(2, quotaJob(jobID, "acme", oneCore(8)))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 4)
	r.s.SetAccounts(accountsWithLimit(2000))
	assert.Equal(t, len(r.stops(20)), 0)
	ends := []site.RunEnd{end(1, runs[0], site.Done), end(2, runs[1], site.Done)}
	r.poll(30, "a", site.VMStatus{Ended: ends, Running: []site.Run{running(runs[2]), running(runs[3])}})
	assert.Equal(t, len(r.starts(40)), 0, "two run")
	r.poll(50, "a", site.VMStatus{Ended: append(ends, end(3, runs[2], site.Done)), Running: []site.Run{running(runs[3])}})
	assert.Equal(t, len(r.starts(60)), 1)
}

// TestGangWithinQuota guards against a gang of which the quota allows only a part: it has to start as
// a whole or not at all.
func TestGangWithinQuota(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.s.SetAccounts(accountsWithLimit(4000))
	r.grant(1, 0.5)
	r.submit(2, quotaJob(jobID, "acme", jobs.Step{Count: 3, CPU: 1000, Gang: true, EstimateMS: 1000}))
	assert.Equal(t, len(r.starts(10)), 0)
	r.grant(20, 0.75)
	assert.Equal(t, len(r.starts(30)), 3)
}

// TestTakeoverCountsUnverifiedRuns guards against a new owner that starts tasks of an account in
// addition to those that may be running on VMs that it has not polled.
func TestTakeoverCountsUnverifiedRuns(t *testing.T) {
	for _, handover := range []bool{false, true} {
		r := newFixture(t, testVM("a"), testVM("b"))
		r.s.SetAccounts(accountsWithLimit(10_000))
		r.grant(1, 1)
		r.submit(2, quotaJob(jobID, "acme", oneCore(6)))
		runs := r.starts(10)
		assert.Equal(t, len(runs), 6)
		onA := site.VMStatus{}
		for _, s := range runs {
			assert.Equal(t, s.VM, runs[0].VM, "all on the fullest VM")
			onA.Running = append(onA.Running, running(s))
		}
		other := map[string]string{"a": "b", "b": "a"}[runs[0].VM]
		if handover {
			r.retire(20)
			assert.Assert(t, r.s.HandleQuota(at(20), 1, &quota.Request{Epoch: 1, Sequence: 20}) == nil, "a retired owner must not give up what it hands over")
		}
		r.takeover(30, testVM("a"), testVM("b"))
		r.s.SetAccounts(accountsWithLimit(10_000))
		fraction := r.s.quotas.holder.Fraction(at(30), "acme")
		assert.Equal(t, fraction, map[bool]float64{false: 0, true: 1}[handover])
		reply := r.grant(40, 1)
		assert.Equal(t, reply.Loads[0].Used.CPU, 6000)
		r.poll(50, other, site.VMStatus{})
		r.flush(50)
		r.submit(60, quotaJob("00000000000000a2", "acme", oneCore(6)))
		assert.Equal(t, len(r.starts(70)), 4, "handover %v: six may be running", handover)
		r.poll(80, runs[0].VM, onA)
		assert.Equal(t, len(r.starts(90)), 0, "handover %v: six are running", handover)
	}
}

// TestUnverifiedRunsAreBoundedByVMs guards against an account that starts nothing after a crash while
// one VM does not answer, since its whole queue counts as running.
func TestUnverifiedRunsAreBoundedByVMs(t *testing.T) {
	r := newFixture(t, testVM("a"), testVM("b"))
	r.s.SetAccounts(accountsWithLimit(12_000))
	r.grant(1, 0) // the job only waits
	long := quotaJob(jobID, "acme", oneCore(100))
	long.TargetMS = 60_000 // it is not refused
	r.submit(2, long)
	r.takeover(30, testVM("a"), testVM("b"))
	r.s.SetAccounts(accountsWithLimit(12_000))
	r.grant(40, 1)
	r.poll(50, "a", site.VMStatus{})
	r.flush(50)
	next := quotaJob("00000000000000a2", "acme", oneCore(6))
	next.TargetMS = long.TargetMS
	r.submit(60, next)
	assert.Equal(t, len(r.starts(70)), 4, "VM b holds at most 8 of the 12 cores")
}

// TestAccountAtQuotaIsRefused guards against an account at its quota whose jobs are all accepted, since
// their tasks would fit into cores that the account may not use, and against other accounts that are
// refused beside it.
func TestAccountAtQuotaIsRefused(t *testing.T) {
	r := newFixture(t, testVM("a"))
	accounts := accountsWithLimit(2000)
	accounts[0].Weight = 1000 // its rate is not what limits it
	r.s.SetAccounts(accounts)
	r.grant(1, 1)
	refused := 0
	for i := range 100 {
		ms := 10 + 10*i
		j := quotaJob(fmt.Sprintf("%016x", i), "acme", oneCore(1))
		j.SubmittedMS = at(ms).UnixMilli()
		if a := r.s.Submit(at(ms), j); !a.Accepted {
			refused++
			assert.Assert(t, a.RetryAfter > 0)
		}
		r.flush(ms)
		r.starts(ms)
	}
	assert.Assert(t, refused > 50, "%d refused of 100 jobs, of which 2 run in a second", refused)
	assert.Assert(t, r.s.Submit(at(1010), quotaJob(jobID, "free", oneCore(1))).Accepted)
}

// TestSharesIgnoreTasksBeyondQuota guards against an overload that only tasks make which wait for the
// quota of their account: the other jobs fit, so that their order is by urgency.
func TestSharesIgnoreTasksBeyondQuota(t *testing.T) {
	r := newFixture(t, testVM("a"))
	accounts := accountsWithLimit(1000)
	accounts[0].Weight = 100
	r.s.SetAccounts(accounts)
	r.grant(1, 1)
	long := quotaJob(jobID, "acme", oneCore(50))
	long.TargetMS = 60_000
	r.submit(2, long)
	r.submit(2, quotaJob("00000000000000a2", "free", oneCore(5)))
	assert.Equal(t, len(r.starts(10)), 6)
	assert.Assert(t, math.IsInf(r.s.pool("pool").startLevel, 1), "level %f", r.s.pool("pool").startLevel)
}

// TestPossibleRuns guards against a takeover that counts too few runs of tasks with copies and of gangs,
// whose other runs are being stopped once one is done.
func TestPossibleRuns(t *testing.T) {
	for _, tt := range []struct {
		step       jobs.Step
		open, done int
	}{{jobs.Step{}, 1, 0}, {jobs.Step{Copies: true}, 2, 1}, {jobs.Step{Gang: true}, 1, 1}, {jobs.Step{Gang: true, Copies: true}, 1, 1}} {
		assert.Equal(t, possibleRuns(&tt.step, false), tt.open)
		assert.Equal(t, possibleRuns(&tt.step, true), tt.done)
	}
}

// TestRemovedAccount guards against jobs of a removed account that do not continue, and against
// starts above its last limit.
func TestRemovedAccount(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.s.SetAccounts(accountsWithLimit(2000))
	r.grant(1, 1)
	r.submit(2, quotaJob(jobID, "acme", oneCore(4)))
	runs := r.starts(10)
	assert.Equal(t, len(runs), 2)
	r.s.SetAccounts(accountsWithLimit(2000)[1:])
	r.poll(20, "a", site.VMStatus{Ended: []site.RunEnd{end(1, runs[0], site.Done)}, Running: []site.Run{running(runs[1])}})
	assert.Equal(t, len(r.starts(30)), 1)
}

// TestFormerHandoverRecord guards against a handover record of the version without quotas that is
// not decoded, and against one of this version that the former does not decode.
func TestFormerHandoverRecord(t *testing.T) {
	r := newFixture(t, testVM("a"))
	former, err := jobs.Encode(&handover{Epoch: 1, Tasks: map[string][]string{"a": {jobID + ".0.0.0"}}})
	assert.NilError(t, err)
	r.jobLog[handoverKey] = former
	r.takeover(10, testVM("a"))
	assert.Equal(t, len(r.s.inherited.vmsByTask), 1)
	assert.Assert(t, r.s.quotas.holder.Held() == nil)

	r.s.SetAccounts(accountsWithLimit(2000))
	r.grant(20, 0.5)
	r.retire(30)
	h, err := jobs.Decode[handover](r.jobLog[handoverKey])
	assert.NilError(t, err)
	assert.Equal(t, h.Epoch, r.s.Epoch)
}

// TestFractionsThatDoNotFitAreLeftOut guards against fractions that make the handover record too large:
// without the record, the next owner waits for all VMs.
func TestFractionsThatDoNotFitAreLeftOut(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.s.SetAccounts(accountsWithLimit(2000))
	r.grant(1, 1)
	former, err := jobs.Encode(&handover{Epoch: 1, Tasks: map[string][]string{}})
	assert.NilError(t, err)
	r.s.Retire(len(former) + 10)
	r.flush(10)
	r.takeover(20, testVM("a"))
	assert.Assert(t, r.s.inherited != nil)
	assert.Assert(t, r.s.quotas.holder.Held() == nil)
}

// TestPoolsShareQuotaInTurn guards against starts that depend on the iteration order of a map, and against
// a pool that gets all the quota of an account with work in two.
func TestPoolsShareQuotaInTurn(t *testing.T) {
	var want string
	for i := range 20 {
		a, b := testVM("a"), testVM("b")
		b.Pool = "pool-b"
		r := newFixture(t, a, b)
		r.s.SetAccounts(accountsWithLimit(1000))
		r.grant(1, 1)
		r.submit(2, quotaJob(jobID, "acme", oneCore(8)))
		second := quotaJob("00000000000000a2", "acme", oneCore(8))
		second.Pool = "pool-b"
		r.submit(2, second)
		order := ""
		for n := range 4 {
			runs := r.starts(10 + n)
			assert.Equal(t, len(runs), 1)
			order += runs[0].VM
			r.poll(11+n, runs[0].VM, site.VMStatus{Ended: []site.RunEnd{end(int64(n+1), runs[0], site.Done)}})
		}
		if i == 0 {
			want = order
		}
		assert.Equal(t, order, want)
		assert.Assert(t, order == "abab" || order == "baba", order)
	}
}

// BenchmarkDecideAtQuota measures a scheduling round with a long queue of an account at its quota, in
// a pool of idle VMs: the round must not look for a VM for each task.
func BenchmarkDecideAtQuota(b *testing.B) {
	for _, limit := range []int{0, 1000} {
		b.Run(fmt.Sprint("limit-", limit), func(b *testing.B) {
			s := idlePool(b, 350, 10_000, 100_000)
			s.SetAccounts(accountsWithLimit(limit))
			s.HandleQuota(at(0), 1, &quota.Request{Epoch: 1, Sequence: 1, PartitionEpoch: 1, Grants: &quota.Grants{Partitions: 1, Default: 1}})
			for i := range 2000 {
				j := quotaJob(fmt.Sprintf("%016x", i), "acme", jobs.Step{Count: 10, CPU: 1000, MemMB: 1000, EstimateMS: 1000})
				j.TargetMS = 1e6 // none is refused
				s.Submit(at(0), j)
			}
			flushAll(b, s)
			started := len(s.Decide(at(10)))
			b.ResetTimer()
			for range b.N {
				s.Decide(at(20))
			}
			b.ReportMetric(float64(started), "starts-first-round")
		})
	}
}

// TestLoadNamesLargestStart guards against a quota coordinator that does not know which share the tasks of a partition need to
// start at all.
func TestLoadNamesLargestStart(t *testing.T) {
	const limit = 10_000
	tests := []struct {
		name             string
		steps            []jobs.Step
		largest, lasting int // thousandths of a core
	}{
		{"largest of several", []jobs.Step{{Count: 2, CPU: 6000}, {Count: 2, CPU: 7000}}, 7000, 0},
		{"gang", []jobs.Step{{Count: 3, CPU: 3000, Gang: true}, {Count: 1, CPU: 6000}}, 9000, 0},
		{"above the limit", []jobs.Step{{Count: 1, CPU: 11_000}, {Count: 4, CPU: 3000, Gang: true}, {Count: 1, CPU: 6000}}, 6000, 0},
		{"not ready", []jobs.Step{{Count: 1, CPU: 6000}, {Count: 1, CPU: 7000, After: []int{0}}}, 6000, 0},
		{"long-running task at work", []jobs.Step{{Count: 1, CPU: 2000, Lasts: true}, {Count: 1, CPU: 6000}}, 6000, 2000},
		{"all at work", []jobs.Step{{Count: 2, CPU: 1000}}, 0, 0},
	}
	for _, tt := range tests {
		r := newFixture(t, testVM("a"))
		r.s.SetAccounts(accountsWithLimit(limit))
		r.grant(1, 0.25)
		r.submit(2, quotaJob(jobID, "acme", tt.steps...))
		r.starts(10)
		loads := r.grant(20, 0.25).Loads
		assert.Equal(t, len(loads), 1, tt.name)
		assert.Equal(t, loads[0].Largest.CPU, tt.largest, tt.name)
		assert.Equal(t, loads[0].Lasting.CPU, tt.lasting, tt.name)
	}
}
