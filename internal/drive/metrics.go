package drive

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

var (
	pollsOK         = metrics.GetOrCreateCounter(`greengagelane_vm_looks_total{outcome="ok"}`)
	pollsFailed     = metrics.GetOrCreateCounter(`greengagelane_vm_looks_total{outcome="failed"}`)
	orderDuration   = metrics.GetOrCreateHistogram(`greengagelane_vm_order_seconds`)
	appendDuration  = metrics.GetOrCreateHistogram(`greengagelane_job_log_append_seconds`)
	incompleteReads = metrics.GetOrCreateCounter(`greengagelane_incomplete_partition_reads_total`)
	unreadableJobs  = metrics.GetOrCreateCounter(`greengagelane_unreadable_jobs_total`) // counted by each claim
	requestDuration = metrics.GetOrCreateHistogram(`greengagelane_caller_request_seconds`)
)

// countRuns adds the increase of a scheduler's statistics, from last to current, to the metrics.
func countRuns(last, current sched.Stats) {
	add := func(event string, n int) {
		metrics.GetOrCreateCounter(`greengagelane_runs_total{event="` + event + `"}`).Add(n)
	}
	add("started", current.Started-last.Started)
	add("done", current.Done-last.Done)
	add("failed", current.Failed-last.Failed)
	add("stopped", current.Stopped-last.Stopped)
	add("lost", current.Lost-last.Lost)
	add("stalled", current.Stalled-last.Stalled)
	add("withdrawn", current.Withdrawn-last.Withdrawn)
	metrics.GetOrCreateCounter(`greengagelane_vms_lost_total`).Add(current.LostVMs - last.LostVMs)
	metrics.GetOrCreateCounter(`greengagelane_jobs_given_up_total`).Add(current.GivenUp - last.GivenUp)
	metrics.GetOrCreateCounter(`greengagelane_jobs_too_large_total`).Add(current.TooLarge - last.TooLarge)
	add("copy-started", current.Copies-last.Copies)
	add("copy-won", current.CopiesWon-last.CopiesWon)
	metrics.GetOrCreateCounter(`greengagelane_copy_core_ms_total`).Add(current.CopyCoreMS - last.CopyCoreMS)
	metrics.GetOrCreateCounter(`greengagelane_copy_wasted_core_ms_total`).Add(current.CopyWasteCoreMS - last.CopyWasteCoreMS)
	metrics.GetOrCreateCounter(`greengagelane_jobs_refused_total`).Add(current.Refused - last.Refused)
	refused := func(reason string, n int) {
		metrics.GetOrCreateCounter(`greengagelane_jobs_refused_by_reason_total{reason="` + reason + `"}`).Add(n)
	}
	share, rate := current.RefusedByShare-last.RefusedByShare, current.RefusedByRate-last.RefusedByRate
	refused("beyond-share", share)
	refused("beyond-rate", rate)
	refused("pool", current.Refused-last.Refused-share-rate)
}

// countRequest counts a caller's request by its outcome.
func countRequest(kind, outcome string) {
	metrics.GetOrCreateCounter(`greengagelane_caller_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
}

const (
	maxNamedAccounts = 20                   // client accounts of one configuration that have metrics of their own
	maxAccountLabels = 2 * maxNamedAccounts // names in metrics over the life of the process, as configurations change
	otherAccounts    = "other"              // label of all other accounts
	noAccount        = "none"               // label of requests without an account
)

// accountLabels chooses the names of client accounts in metrics so that the number of series is
// bounded: the largest accounts by weight have their own. Its zero value is ready for use.
type accountLabels struct {
	mu    sync.Mutex
	large map[string]bool // largest accounts of the configuration in force
	used  map[string]bool // names that series have
}

// setAccounts sets the accounts of the configuration in force.
func (l *accountLabels) setAccounts(accounts []site.Account) {
	sorted := slices.Clone(accounts)
	slices.SortFunc(sorted, func(a, b site.Account) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.large = map[string]bool{}
	for i := range sorted[:min(len(sorted), maxNamedAccounts)] {
		l.large[sorted[i].Name] = true
	}
}

// label returns the label of an account.
func (l *accountLabels) label(account string) string {
	if account == "" {
		return noAccount
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.large[account] || (!l.used[account] && len(l.used) >= maxAccountLabels) {
		return otherAccounts
	}
	if l.used == nil {
		l.used = map[string]bool{}
	}
	l.used[account] = true
	return account
}

// countAccountRequest counts a caller's request by its client account's label and its outcome.
func countAccountRequest(label, outcome string) {
	metrics.GetOrCreateCounter(`greengagelane_account_requests_total{account=` + strconv.Quote(label) + `,outcome="` + outcome + `"}`).Inc()
}

const accountLoadTTL = 2 * time.Second // the mover fetches reports every 150 ms; older ones are of pools that this entry no longer owns

// accountLoads holds the newest load of client accounts in the pools that this entry owns, for the metrics.
// Its zero value is ready for use.
type accountLoads struct {
	mu    sync.Mutex
	pools map[string]accountLoad // by pool
}

type accountLoad struct {
	at       time.Time
	accounts map[string]sched.AccountReport
}

// record records the load of a pool. It keeps nothing on sites without accounts.
func (l *accountLoads) record(now time.Time, pool string, accounts map[string]sched.AccountReport) {
	if accounts == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		l.pools = map[string]accountLoad{}
	}
	l.pools[pool] = accountLoad{now, accounts}
}

// write writes the loads as metrics, summed over pools by the accounts' labels.
func (l *accountLoads) write(w io.Writer, now time.Time, label func(account string) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]sched.AccountReport{}
	for pool, load := range l.pools {
		if now.Sub(load.at) > accountLoadTTL {
			delete(l.pools, pool)
			continue
		}
		for account, r := range load.accounts {
			sum := sums[label(account)]
			sum.Waiting += r.Waiting
			sum.Running += r.Running
			sum.Used.CPU += r.Used.CPU
			sums[label(account)] = sum
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		r := sums[name]
		fmt.Fprintf(w, "greengagelane_account_jobs{account=%q,state=\"waiting\"} %d\n", name, r.Waiting)
		fmt.Fprintf(w, "greengagelane_account_jobs{account=%q,state=\"running\"} %d\n", name, r.Running)
		fmt.Fprintf(w, "greengagelane_account_cores{account=%q} %g\n", name, float64(r.Used.CPU)/1000)
	}
}
