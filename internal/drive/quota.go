package drive

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/quota"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

var (
	quotaRaised  = metrics.GetOrCreateCounter(`greengagelane_quota_changes_total{direction="raised"}`)
	quotaLowered = metrics.GetOrCreateCounter(`greengagelane_quota_changes_total{direction="lowered"}`)
	quotaSilent  = metrics.GetOrCreateCounter(`greengagelane_quota_silent_partitions`)
	quotaActive  = metrics.GetOrCreateCounter(`greengagelane_quota_active_accounts`)
)

// quotaRounds carries the requests and replies of the quota coordinator on the mover's calls. It is
// used on the mover's goroutine only.
type quotaRounds struct {
	coordinator *quota.Coordinator
	fenced      bool // logged
	lines       lineLimit
}

func newQuotaRounds(epoch int64) *quotaRounds {
	return &quotaRounds{coordinator: quota.NewCoordinator(epoch)}
}

// needed reports whether there are quotas to allocate.
func (q *quotaRounds) needed(cfg *site.Config) bool {
	limited := slices.ContainsFunc(cfg.Accounts, func(a site.Account) bool { return a.Limit != (site.Resources{}) })
	return limited || q.coordinator.Accounts() > 0
}

// pending reports whether the owner of a partition waits for its quotas.
func (q *quotaRounds) pending(cfg *site.Config) bool {
	return q.needed(cfg) && q.coordinator.Pending()
}

// addRequests adds the coordinator's requests to the calls, one for each partition. Without accounts
// that have a limit there are none.
func (q *quotaRounds) addRequests(now time.Time, cfg *site.Config, calls []*reportCall) {
	if !q.needed(cfg) {
		return
	}
	var partitions []int
	for _, c := range calls {
		if !slices.Contains(partitions, c.Partition) {
			partitions = append(partitions, c.Partition)
		}
	}
	requests, changes := q.coordinator.Round(now, partitions, cfg.Accounts)
	for _, c := range calls {
		c.Quota = requests[c.Partition]
		delete(requests, c.Partition)
	}
	for i := range changes {
		q.report(now, cfg.Version, &changes[i])
	}
	quotaSilent.Set(uint64(q.coordinator.Silent(now)))
	quotaActive.Set(uint64(q.coordinator.Accounts()))
}

// report counts a change of a fraction and logs it if it is large, with a limit on the lines per
// second.
func (q *quotaRounds) report(now time.Time, version int64, c *quota.Change) {
	const (
		minLogged      = 0.1 // of the limit
		linesPerSecond = 10
	)
	if c.To > c.From {
		quotaRaised.Inc()
	} else {
		quotaLowered.Inc()
	}
	if c.Account == "" || math.Abs(c.To-c.From) < minLogged {
		return
	}
	ok, suppressed := q.lines.allow(now, linesPerSecond)
	if !ok {
		return
	}
	logrus.WithFields(logrus.Fields{
		"account": c.Account, "partition": c.Partition, "from": c.From, "to": c.To, "used": c.Used, "need": c.Need,
		"age-ms": c.Age.Milliseconds(), "config": version, "not-logged": suppressed,
	}).Info("quota changed")
}

// handleReplies passes the owners' replies to the coordinator.
func (q *quotaRounds) handleReplies(now time.Time, calls []*reportCall, reports map[string]*sched.Report) {
	for _, c := range calls {
		if r := reports[c.Pool]; c.Quota != nil && r != nil && r.Quota != nil {
			q.coordinator.HandleReply(now, c.Partition, r.Quota)
		}
	}
	if q.coordinator.Fenced() && !q.fenced {
		q.fenced = true
		logrus.Info("another entry has become the quota coordinator; this one allocates no more quotas")
	}
}

// allocateQuotas makes a round of calls for the quotas only.
func (m *mover) allocateQuotas(ctx context.Context, cfg *site.Config) {
	var calls []*reportCall
	for _, p := range cfg.Pools {
		if !p.Spare {
			calls = append(calls, m.part.node.readCall(p.Name))
		}
	}
	m.addQuotaRequests(time.Now(), cfg, calls)
	calls = slices.DeleteFunc(calls, func(c *reportCall) bool { return c.Quota == nil })
	reports, _ := m.fetchReports(ctx, calls)
	m.handleQuotaReplies(calls, reports)
}

// addQuotaRequests adds the coordinator's requests to the calls unless another entry may be the coordinator. An owner
// that hears from this one only then falls back to the even share, which is what the other assumes that it uses.
func (m *mover) addQuotaRequests(now time.Time, cfg *site.Config, calls []*reportCall) {
	if !m.part.authorityEnded(now) {
		m.quotas.addRequests(now, cfg, calls)
	}
}

// handleQuotaReplies passes the owners' replies to the quota coordinator.
func (m *mover) handleQuotaReplies(calls []*reportCall, reports map[string]*sched.Report) {
	now := time.Now()
	m.quotas.handleReplies(now, calls, reports)
	if !m.quotas.coordinator.Pending() {
		m.recovery.reach(now, quotasGranted)
	}
}

// handleQuota passes a request of the quota coordinator to the scheduler. An owner without a
// configuration does not reply, since it does not know which accounts have limits.
func (part *ownedPartition) handleQuota(now time.Time, r *quota.Request) *quota.Reply {
	part.applyConfig()
	if r == nil || part.config == nil {
		return nil
	}
	return part.scheduler.HandleQuota(now, part.node.owners.latestClaim(fleetPartition).Epoch, r)
}
