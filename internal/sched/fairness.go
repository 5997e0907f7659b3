package sched

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/fair"
	"github.com/greengagelane/greengagelane/internal/shed"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// accountLoad is the load of a client account in a pool. Jobs beyond the rate of the account count
// only in pool.beyondRate: what is not owed takes no part of the account's share.
type accountLoad struct {
	weight   float64
	offered  offeredLoad // by jobs within the account's rate
	seenAt   time.Time   // of its last submission
	gate     shed.Gate
	load     shed.Load      // as of pool.loadAt, with the jobs accepted since
	running  float64        // cores of its runs without long-running ones, as of pool.loadAt
	rate     float64        // mean of offered over the last second, in cores, as of pool.loadAt
	used     float64        // cores of its runs, in the last round
	wanted   float64        // cores of its tasks that are ready and have no run, in the last round
	ready    site.Resources // what these tasks need; set only if an account has a limit
	assigned float64        // used, and cores of its jobs that sortByShares has passed
}

// fairLoad is what admission to a pool needs to know about all accounts.
type fairLoad struct {
	level    float64   // cores per unit of weight up to which accounts get what they ask for; infinite without overload
	cores    float64   // that the pool has, as a mean over the slack of its jobs
	owed     float64   // cores that the accounts are expected to ask for within their shares
	beyond   shed.Load // waiting work of jobs beyond the rates of their accounts
	accepted float64   // work accepted since level was computed
}

// Kinds of refusals.
const (
	refusedByLoad  = ""      // by all that goes before the job
	refusedByShare = "share" // the account's work exceeds its share
	refusedByRate  = "rate"  // the job is beyond the rate of its account
)

// weightOf returns the weight of an account. Jobs without an account, of public routes, have the mean
// weight together; those of an account that is no longer configured have the smallest weight.
func (s *Scheduler) weightOf(account string) float64 {
	if a := s.accounts[account]; a != nil {
		return a.Weight
	}
	if account == "" {
		return s.meanWeight
	}
	return 1
}

// beyondRate takes a token of a job's account and reports whether there was none.
func (s *Scheduler) beyondRate(now time.Time, account string) bool {
	a := s.accounts[account]
	if a == nil {
		return false
	}
	b := s.buckets[account]
	if b == nil {
		b = &fair.Bucket{}
		s.buckets[account] = b
	}
	return !b.Take(now, a.Weight)
}

// accountLoad returns the load of an account in a pool, which it creates if necessary.
func (s *Scheduler) accountLoad(p *pool, account string) *accountLoad {
	a := p.accounts[account]
	if a == nil {
		a = &accountLoad{}
		if p.accounts == nil {
			p.accounts = map[string]*accountLoad{}
		}
		a.weight = s.weightOf(account)
		p.accounts[account] = a
	}
	return a
}

// offer adds a job that is submitted for the first time to the load of its account.
func (s *Scheduler) offer(now time.Time, j *job, work float64) {
	if len(s.accounts) == 0 || j.LongRunning() {
		return
	}
	a := s.accountLoad(s.pool(j.Pool), j.Account)
	a.seenAt = now
	if !j.beyondRate {
		a.offered.add(now, work)
	}
}

// resetAccounts prepares the measurement of a pool's load.
func (s *Scheduler) resetAccounts(p *pool) {
	p.fair.beyond = shed.Load{}
	for account, a := range p.accounts {
		a.load, a.running, a.weight = shed.Load{}, 0, s.weightOf(account)
	}
}

// addToAccount adds the work and the cores of a job's runs to the load of its account.
func (s *Scheduler) addToAccount(p *pool, j *job, work, running float64, inTime bool) {
	if j.beyondRate {
		p.fair.beyond.Add(work, inTime)
		return
	}
	a := s.accountLoad(p, j.Account)
	a.load.Add(work, inTime)
	a.running += running
}

// measureAccounts computes the shares in a pool after its load has been measured. It forgets the
// accounts without any load.
func (s *Scheduler) measureAccounts(now time.Time, p *pool) {
	const keep = time.Minute // longer than a refused caller is told to wait
	for account, a := range p.accounts {
		a.offered.advance(now)
		a.rate, _ = a.offered.rateOver(now, slotCount) // without the detection of bursts, whose bias adds up over the accounts
		if a.load.Total == 0 && a.running == 0 && now.Sub(a.seenAt) > keep {
			delete(p.accounts, account)
		}
	}
	p.measureLevel()
}

// measureLevel divides what the pool can begin within the slack of its jobs among the accounts, by their
// waiting work and what they are expected to send in that time.
func (p *pool) measureLevel() {
	horizon := max(p.slack, minHorizon)
	f := &p.fair
	f.cores, f.accepted = p.supply.Begun(horizon, p.taskTime)/horizon.Seconds(), 0
	p.claims = p.claims[:0]
	for _, a := range p.accounts {
		p.claims = append(p.claims, fair.Claim{Weight: a.weight, Demand: a.rate + a.load.InTime/horizon.Seconds()})
	}
	f.level = fair.Level(f.cores, p.claims)
	f.owed = 0
	for _, a := range p.accounts {
		f.owed += min(a.rate, f.level*a.weight)
	}
}

// minHorizon is a lower bound of the time over which shares of admission are computed, for jobs without
// slack. Rates are measured over hardly less.
const minHorizon = 300 * time.Millisecond

// admitFair decides on a job of a site with accounts. In an overload, a job is judged as if its account
// had its share of the pool alone. A job that would be too late this way, or is beyond the rate of its
// account, is judged behind all that waits, at the rate that the offered load of the other accounts
// within their shares leaves. It may return when there is room for it in the share: then the account may
// have a token for it.
func (s *Scheduler) admitFair(now time.Time, j *job, r *shed.Request) (d shed.Decision, beyond, detail string) {
	p := s.pool(j.Pool)
	f := &p.fair
	if f.accepted > levelTolerance*f.cores*max(p.slack, minHorizon).Seconds() {
		p.measureLevel()
	}
	a := s.accountLoad(p, j.Account)
	overloaded := !math.IsInf(f.level, 1)
	load, supply := shed.Load{InTime: p.load.InTime - f.beyond.InTime, Total: p.load.Total - f.beyond.Total}, &p.supply
	share := min(f.level*a.weight, f.cores)
	if overloaded {
		unused := share - a.running
		overused := max(-unused, 0) * r.TaskTime.Seconds()
		load = shed.Load{InTime: a.load.InTime + overused, Total: a.load.Total + overused}
		supply = p.supply.Scaled(share / max(f.cores, 1))
		supply.Free = max(unused, 0) // the next cores that come free are the account's
	}
	if !j.beyondRate {
		d = r.Judge(now, load, supply, s.policy.QueueFactor)
	}
	if !d.Accepted && (overloaded || j.beyondRate) {
		own := 0.0
		if !j.beyondRate {
			own = min(a.rate, share)
		}
		behind := p.supply.Scaled(max(1-(f.owed-own)/max(f.cores, 1), 0))
		d = r.Judge(now, p.load, behind, s.policy.QueueFactor)
	}
	if d.Accepted {
		return d, "", ""
	}
	d.RetryAfter = a.gate.Refuse(now, r, load, supply, s.policy.QueueFactor)
	switch {
	case j.beyondRate:
		return d, refusedByRate, fmt.Sprintf("; the job is beyond the rate of account %q", j.Account)
	case overloaded:
		return d, refusedByShare, fmt.Sprintf("; account %q has a share of %.1f cores and asks for more", j.Account, share)
	}
	return d, refusedByLoad, ""
}

// levelTolerance is the part of the pool's capacity that may be accepted before the level is computed
// again.
const levelTolerance = 0.01

// accept adds an accepted job to the load of its account.
func (s *Scheduler) accept(j *job, work float64, inTime bool) {
	p := s.pool(j.Pool)
	if j.beyondRate {
		p.fair.beyond.Add(work, inTime)
		return
	}
	s.accountLoad(p, j.Account).load.Add(work, inTime)
	p.fair.accepted += work
}

// sortByShares moves the excess jobs of each class behind the others of the class. The list is sorted by
// urgency. An account's job is within its share if the account's other runs and more urgent jobs take
// fewer cores than that. A job larger than the share can thus be within it, and its own runs do not hold
// up the rest of it, which would make wide jobs of small accounts late. Tasks beyond the quota of their
// account claim no share.
func (s *Scheduler) sortByShares(now time.Time, list []*job) {
	if len(list) == 0 {
		return
	}
	name := list[0].Pool
	p, largest := s.pool(name), s.largestVM(name)
	for account, a := range p.accounts {
		a.used, a.wanted, a.ready, a.weight = 0, 0, site.Resources{}, s.weightOf(account)
	}
	anyBeyondRate := false
	for _, j := range list {
		used, wanted := j.cores(largest)
		j.order.used, j.order.wanted, j.order.excess, j.order.account = used, wanted, j.beyondRate, nil
		if j.beyondRate {
			anyBeyondRate = true
			continue
		}
		a := s.accountLoad(p, j.Account)
		a.used += used
		a.wanted += wanted
		if s.quotas.limited {
			j.addReady(&a.ready)
		}
		j.order.account = a
	}
	p.claims = p.claims[:0]
	for account, a := range p.accounts {
		p.claims = append(p.claims, fair.Claim{Weight: a.weight, Demand: a.used + a.wanted*s.partWithinQuota(now, account, a.ready)})
		a.assigned = a.used
	}
	p.startLevel = fair.Level(p.placeCores, p.claims)
	if math.IsInf(p.startLevel, 1) && !anyBeyondRate {
		return
	}
	for _, j := range list {
		if a := j.order.account; a != nil {
			j.order.level = (a.assigned - j.order.used) / a.weight
			j.order.excess = j.order.level >= p.startLevel
			a.assigned += j.order.wanted
			j.order.crosses = !j.order.excess && a.assigned > p.startLevel*a.weight
		}
	}
	p.moveExcessBack(list)
}

// moveExcessBack moves the excess jobs of each class behind the others and keeps the order otherwise.
func (p *pool) moveExcessBack(list []*job) {
	for from := 0; from < len(list); {
		end, kept := from, from
		excess, crossing := p.excess[:0], p.crossing[:0]
		for ; end < len(list) && list[end].order.rank == list[from].order.rank; end++ {
			if list[end].order.excess {
				excess = append(excess, list[end])
				continue
			}
			if list[end].order.crosses {
				crossing = append(crossing, list[end])
				continue
			}
			list[kept] = list[end]
			kept++
		}
		slices.SortStableFunc(crossing, func(a, b *job) int { return cmp.Compare(a.order.level, b.order.level) })
		copy(list[kept:end], crossing)
		copy(list[kept+len(crossing):end], excess)
		p.excess, p.crossing, from = excess, crossing, end
	}
	clear(p.crossing[:cap(p.crossing)])
	clear(p.excess[:cap(p.excess)]) // keeps no finished jobs in memory
}

// cores returns the cores of a job's runs and of its tasks that could start, in equivalent cores of a VM
// with the given capacity.
func (j *job) cores(largest resources) (used, wanted float64) {
	for _, o := range j.open {
		for _, st := range o.steps {
			if st.done == st.Count {
				continue
			}
			one := largest.equivalentCores(st.Step)
			used += one * float64(st.Count-st.done-st.withoutRun)
			if st.withoutRun > 0 && o.stepReady(st) {
				wanted += one * float64(st.withoutRun)
			}
		}
	}
	return used, wanted
}

// shareInForce returns the cores of a pool that an account may use before its jobs are excess, as of the
// last round.
func (s *Scheduler) shareInForce(p *pool, account string) float64 {
	if p.startLevel == 0 {
		return p.placeCores // no round yet
	}
	return min(p.startLevel*s.weightOf(account), p.placeCores)
}
