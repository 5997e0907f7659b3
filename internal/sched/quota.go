package sched

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/quota"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// quotas enforces the limits of client accounts in this partition.
type quotas struct {
	holder  quota.Holder
	limited bool                      // an account has a limit; the others cost one branch
	limits  map[string]site.Resources // by account name; of accounts that were removed, the last one
	used    map[string]*site.Resources
	extra   map[string]site.Resources // in addition to used: what may be running without a tracked run, as of the last refresh
	denied  map[string]time.Time      // when a start that the quota does not allow was last logged
}

// setLimits sets the limits of the configuration in force. A removed account keeps its last limit,
// since its jobs continue; without any accounts there are no limits, since there is no coordinator.
func (q *quotas) setLimits(accounts []site.Account) {
	if q.limits == nil || len(accounts) == 0 {
		q.limits, q.denied = map[string]site.Resources{}, map[string]time.Time{}
	}
	for i := range accounts {
		q.limits[accounts[i].Name] = accounts[i].Limit
	}
	q.limited = false
	for name, limit := range q.limits {
		if limit == (site.Resources{}) {
			delete(q.limits, name)
		} else {
			q.limited = true
		}
	}
}

// add adds n tasks of a step to an amount; n may be negative.
func add(r *site.Resources, st *jobs.Step, n int) {
	r.CPU, r.MemMB, r.GPU = r.CPU+n*st.CPU, r.MemMB+n*st.MemMB, r.GPU+n*st.GPU
}

// countRuns adds n runs of a task to the usage of its account. It is called when a run is added or
// released, so that runs that are being stopped count.
func (q *quotas) countRuns(t *task, n int) {
	account := t.job.Account
	if account == "" {
		return
	}
	u := q.used[account]
	if u == nil {
		if q.used == nil {
			q.used = map[string]*site.Resources{}
		}
		u = &site.Resources{}
		q.used[account] = u
	}
	add(u, t.step.Step, n)
	if *u == (site.Resources{}) {
		delete(q.used, account)
	}
}

// running returns what counts as running for an account, as of the last refresh and with the runs
// started since.
func (q *quotas) running(account string) site.Resources {
	total := q.extra[account]
	if u := q.used[account]; u != nil {
		total = total.Plus(*u)
	}
	return total
}

// quotaAllows reports whether n more runs of a task are within the quota of its account. It is
// checked before each start, with n the size of the gang, or 1, also for a speculative copy.
func (s *Scheduler) quotaAllows(now time.Time, t *task, n int) bool {
	if !s.quotas.limited || t.job.Account == "" {
		return true
	}
	q := &s.quotas
	limit, known := q.limits[t.job.Account]
	if !known {
		return true
	}
	total := q.running(t.job.Account)
	add(&total, t.step.Step, n)
	fraction := q.holder.Fraction(now, t.job.Account)
	if quota.Within(total, limit, fraction) {
		return true
	}
	s.logDenied(now, t.job.Account, total, limit, fraction)
	return false
}

// startedTogether returns how many tasks of a step start at once.
func startedTogether(st *step) int {
	if st.Gang {
		return len(st.tasks)
	}
	return 1
}

// logDenied logs that an account is at its quota, at most once per interval and account.
func (s *Scheduler) logDenied(now time.Time, account string, total, limit site.Resources, fraction float64) {
	const interval = 2 * time.Second
	if now.Sub(s.quotas.denied[account]) < interval {
		return
	}
	s.quotas.denied[account] = now
	s.log.WithFields(logrus.Fields{
		"account": account, "cpu-with-task": total.CPU, "cpu-limit": limit.CPU, "mem-with-task": total.MemMB, "mem-limit": limit.MemMB,
		"gpu-with-task": total.GPU, "gpu-limit": limit.GPU, "fraction": fraction, "age-ms": s.quotas.holder.Age(now).Milliseconds(),
	}).Info("account is at its quota in the partition; its tasks wait")
}

// refreshQuotas recounts what may be running without a tracked run: orphan runs, which are being
// stopped, and after a takeover tasks that may be running on unverified VMs.
func (s *Scheduler) refreshQuotas(now time.Time) {
	s.quotas.extra = map[string]site.Resources{}
	for _, v := range s.vms {
		for name := range v.orphans {
			s.countUntracked(s.quotas.extra, name)
		}
	}
	if len(s.unverified) > 0 {
		s.countUnverified(now)
	}
}

// countUntracked adds a task to the usage of its account by its name.
func (s *Scheduler) countUntracked(usage map[string]site.Resources, name string) {
	id, err := jobs.ParseTaskID(name)
	if err != nil {
		return
	}
	j := s.jobs[id.Job]
	if j == nil || j.Account == "" || id.Step >= len(j.Steps) {
		return
	}
	r := usage[j.Account]
	add(&r, &j.Steps[id.Step], 1)
	usage[j.Account] = r
}

// countUnverified counts the tasks that may be running on unverified VMs. An account runs no more
// there than the VMs hold: without this bound a long queue would count in full until the last VM has
// answered. Best-effort tasks are not bounded by the VM's cores.
func (s *Scheduler) countUnverified(now time.Time) {
	usage := map[string]site.Resources{}
	bestEffortCPU := map[string]int{}
	vms := s.unknownVMs()
	if s.inherited != nil {
		for name, on := range s.inherited.vmsByTask {
			for range s.stillUnverified(on) { // a task with a copy, or with a run that is being stopped, may run on several
				s.countUntracked(usage, name)
			}
		}
	}
	if len(vms) > 0 {
		for _, j := range s.jobs {
			if j.recovered && j.Account != "" {
				s.countRecovered(now, j, usage, bestEffortCPU)
			}
		}
		bound := site.Resources{}
		for id := range s.unverified {
			if v := s.vms[id]; v != nil {
				bound = bound.Plus(site.Resources{CPU: v.CPU, MemMB: v.MemMB, GPU: v.GPU})
			}
		}
		for account, u := range usage {
			usage[account] = site.Resources{CPU: min(u.CPU, bound.CPU+bestEffortCPU[account]), MemMB: min(u.MemMB, bound.MemMB), GPU: min(u.GPU, bound.GPU)}
		}
	}
	for account, u := range usage {
		s.quotas.extra[account] = s.quotas.extra[account].Plus(u)
	}
}

// countRecovered counts the runs that the tasks of a recovered job may have on any unverified VM. The
// runs of a job that ended shortly before the takeover may still be stopping; those of a completed job
// are copies, or the first runs that lost against them, and members of gangs.
func (s *Scheduler) countRecovered(now time.Time, j *job, usage map[string]site.Resources, bestEffortCPU map[string]int) {
	r := usage[j.Account]
	count := func(st *jobs.Step, n int) {
		add(&r, st, n)
		if st.Fills {
			bestEffortCPU[j.Account] += n * st.CPU
		}
	}
	if j.state.Final() {
		const clockSkew = 2 * time.Second // between the wall clocks of two owners
		ended := now.UnixMilli() - j.finalMS
		if ended < (s.policy.localDuration(s.policy.Lease) + s.policy.StopGrace + clockSkew).Milliseconds() {
			for i := range j.Steps {
				st := &j.Steps[i]
				count(st, st.Count*possibleRuns(st, j.state == jobs.Completed))
			}
		}
	}
	if !j.state.Final() {
		j.createDueOccurrences(now, s.maxOpen(j))
	}
	for _, o := range j.open {
		if j.state.Final() {
			break
		}
		for _, st := range o.steps { // also those that wait for others: their ends may not have been stored
			n := 0
			for _, t := range st.tasks {
				if t.unverified {
					n += max(possibleRuns(st.Step, t.done)-len(t.runs), 0)
				}
			}
			count(st.Step, n)
		}
	}
	usage[j.Account] = r
}

// possibleRuns returns how many runs an earlier owner may have left of a task; of a task that is done,
// the ones that are being stopped since another run is done.
func possibleRuns(st *jobs.Step, done bool) int {
	n := 1
	if copyableStep(st) {
		n = 2
	}
	if done && !st.Gang {
		n--
	}
	return n
}

// demand returns what an account's ready tasks without a run need, by account, in a pool or in all
// pools if the name is empty.
func (s *Scheduler) demand(pool string) map[string]site.Resources {
	demand := map[string]site.Resources{}
	for _, j := range s.live {
		if j.Account == "" || !j.stored || j.state.Final() || (pool != "" && j.Pool != pool) {
			continue
		}
		r, before := demand[j.Account], demand[j.Account]
		j.addReady(&r)
		if r != before {
			demand[j.Account] = r
		}
	}
	return demand
}

// addReady adds what a job's ready tasks without a run need.
func (j *job) addReady(r *site.Resources) {
	for _, o := range j.open {
		for _, st := range o.steps {
			if st.withoutRun > 0 && o.stepReady(st) {
				add(r, st.Step, st.withoutRun)
			}
		}
	}
}

// partWithinQuota returns the part of an amount, from 0 to 1, that an account may use in addition to
// what it runs.
func (s *Scheduler) partWithinQuota(now time.Time, account string, amount site.Resources) float64 {
	limit, known := s.quotas.limits[account]
	if !known {
		return 1
	}
	running, fraction, part := s.quotas.running(account), s.quotas.holder.Fraction(now, account), 1.0
	for _, r := range [...]struct{ amount, running, limit int }{
		{amount.CPU, running.CPU, limit.CPU}, {amount.MemMB, running.MemMB, limit.MemMB}, {amount.GPU, running.GPU, limit.GPU},
	} {
		if r.amount > 0 && r.limit > 0 {
			part = min(part, max(fraction*float64(r.limit)-float64(r.running), 0)/float64(r.amount))
		}
	}
	return part
}

// firstTasksWithinQuota reports whether the quota of a job's account allows all of the job's first tasks
// to start now.
func (s *Scheduler) firstTasksWithinQuota(now time.Time, j *job) bool {
	if !s.quotas.limited || j.Account == "" {
		return true
	}
	var first site.Resources
	for i := range j.Steps {
		if st := &j.Steps[i]; len(st.After) == 0 {
			add(&first, st, st.Count)
		}
	}
	return s.partWithinQuota(now, j.Account, first) == 1
}

// HandleQuota handles the quota coordinator's request; latest is the highest epoch of a coordinator
// that is known. An owner that has retired does not reply: the handover record says what it holds.
func (s *Scheduler) HandleQuota(now time.Time, latest int64, r *quota.Request) *quota.Reply {
	if s.retired {
		return nil
	}
	s.quotas.holder.Observe(latest)
	reply := s.quotas.holder.Handle(now, s.Epoch, r)
	s.refreshQuotas(now)
	demand := s.demand("")
	working := map[string]bool{} // by account; also those without a limit here, where the configuration may be older than the coordinator's
	for account := range s.quotas.used {
		working[account] = true
	}
	for account := range s.quotas.extra {
		working[account] = true
	}
	for account := range demand {
		working[account] = true
	}
	lasting, largest := s.lastingUse(), s.largestStarts()
	for account := range working {
		reply.Loads = append(reply.Loads, quota.Load{
			Account: account, Used: s.quotas.running(account), Demand: demand[account],
			Lasting: lasting[account], Largest: largest[account],
		})
	}
	return reply
}

// lastingUse returns what the tracked runs of long-running tasks use, by account.
func (s *Scheduler) lastingUse() map[string]site.Resources {
	use := map[string]site.Resources{}
	for _, v := range s.vms {
		for _, r := range v.runList {
			if account := r.task.job.Account; account != "" && r.step().Lasts {
				u := use[account]
				add(&u, r.step(), 1)
				use[account] = u
			}
		}
	}
	return use
}

// largestStarts returns what the largest of each account's ready tasks without a run needs, or of its gangs, among those that
// fit within its limit.
func (s *Scheduler) largestStarts() map[string]site.Resources {
	largest := map[string]site.Resources{}
	for _, j := range s.live {
		limit, known := s.quotas.limits[j.Account]
		if !known || !j.stored || j.state.Final() {
			continue
		}
		for _, o := range j.open {
			for _, st := range o.steps {
				if st.withoutRun == 0 || !o.stepReady(st) {
					continue
				}
				var one site.Resources
				add(&one, st.Step, startedTogether(st))
				if share := quota.Share(one, limit); share <= 1 && share > quota.Share(largest[j.Account], limit) {
					largest[j.Account] = one
				}
			}
		}
	}
	return largest
}

// handedQuotas is the part of the handover record with the fractions. It follows the handover in the
// record's value, as a value of its own: a version without quotas decodes the first value only.
type handedQuotas struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Grants   *quota.Grants
	UnixMS   int64 // when the record was written
	AgeMS    int64 // time from the last request of a coordinator to then
}

// handOver returns what the next owner takes over, nil for nothing.
func (q *quotas) handOver(now time.Time) *handedQuotas {
	if q.holder.Held() == nil {
		return nil
	}
	return &handedQuotas{Grants: q.holder.Held(), UnixMS: now.UnixMilli(), AgeMS: q.holder.Age(now).Milliseconds()}
}

// restore takes over the fractions. Their age is overestimated by the largest skew of the clocks, so
// that the even share is exceeded for too short a time rather than for too long.
func (q *quotas) restore(now time.Time, h *handedQuotas) {
	const clockSkew = 2 * time.Second
	age := max(0, now.UnixMilli()-h.UnixMS) + h.AgeMS
	q.holder.Restore(now, h.Grants, time.Duration(age)*time.Millisecond+clockSkew)
}
