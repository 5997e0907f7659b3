package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// SetAccounts sets the client accounts of the configuration in force. Without any, all jobs
// share the pools without limits.
func (s *Scheduler) SetAccounts(accounts []site.Account) {
	s.accounts = make(map[string]*site.Account, len(accounts))
	s.meanWeight = 0
	for i := range accounts {
		s.accounts[accounts[i].Name] = &accounts[i]
		s.meanWeight += accounts[i].Weight / float64(len(accounts))
	}
	for _, p := range s.pools {
		p.loadAt = time.Time{} // shares are computed with the load
	}
	for name := range s.buckets {
		if s.accounts[name] == nil {
			delete(s.buckets, name)
		}
	}
	s.quotas.setLimits(accounts)
}

// SetPools sets the pools of the configuration in force.
func (s *Scheduler) SetPools(pools []site.Pool) {
	s.unguarded = map[string]bool{}
	for _, p := range pools {
		s.unguarded[p.Name] = !p.Guards
	}
}

// AccountOf returns the client account and the queue of a job; known is false if the job is not
// known.
func (s *Scheduler) AccountOf(id string) (account, queue string, known bool) {
	if j := s.jobs[id]; j != nil {
		return j.Account, j.Queue, true
	}
	if j := s.unreadable[id]; j != nil {
		return j.Account, j.Queue, true
	}
	return "", "", false
}

// AccountReport is the load of a client account in a pool.
type AccountReport struct {
	Waiting int            // jobs of which no task has started
	Running int            // other jobs that are not final
	Refused int            // jobs that were refused since the partition was taken over
	Used    site.Resources // reserved by runs, including those that are being stopped
	Share   float64        // cores that it may use before its jobs start behind those of others; all of the pool's without overload
	Demand  site.Resources // of ready tasks without a run
	// Fraction is the part of the account's limit that the partition, with all its pools, may use.
	Fraction float64
}

// accountReports returns the load of each account with jobs in a pool.
func (s *Scheduler) accountReports(now time.Time, pool string) map[string]AccountReport {
	if len(s.accounts) == 0 {
		return nil
	}
	reports := map[string]AccountReport{}
	for _, j := range s.live {
		if j.Pool != pool || j.Account == "" || j.state.Final() {
			continue
		}
		r := reports[j.Account]
		if j.began {
			r.Running++
		} else {
			r.Waiting++
		}
		reports[j.Account] = r
	}
	for account, n := range s.pool(pool).refused {
		r := reports[account]
		r.Refused = n
		reports[account] = r
	}
	for _, v := range s.vms {
		for _, x := range v.runList {
			j := x.task.job
			if j.Pool != pool || j.Account == "" {
				continue
			}
			r := reports[j.Account]
			add(&r.Used, x.step(), 1)
			reports[j.Account] = r
		}
	}
	for account, demand := range s.demand(pool) {
		r := reports[account]
		r.Demand = demand
		reports[account] = r
	}
	for account, r := range reports {
		r.Fraction = s.quotas.holder.Fraction(now, account)
		r.Share = s.shareInForce(s.pool(pool), account)
		reports[account] = r
	}
	return reports
}

// countRefusal counts a refused job of an account.
func (p *pool) countRefusal(account string) {
	if account == "" {
		return
	}
	if p.refused == nil {
		p.refused = map[string]int{}
	}
	p.refused[account]++
}
