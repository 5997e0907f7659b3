package drive

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	maxLoggedPath        = 80 // bytes; a queue's prefix and a job's identifier are shorter
	maxUnauthorizedLines = 10 // log lines per second on requests without a valid key; callers may send thousands
)

// Unauthorized counts and logs a request that was answered with 401. The key is not logged.
func (n *Node) Unauthorized(route *site.Route, version int64, path, why string) {
	countAccountRequest(noAccount, site.Unauthorized.String())
	now := time.Now()
	if ok, suppressed := n.unauthorizedLog.allow(now, maxUnauthorizedLines); ok {
		logrus.WithFields(logrus.Fields{
			"queue": route.Name, "path": path[:min(len(path), maxLoggedPath)], "reason": why, "version": version,
			"confirmed-ms-ago": n.confirmed.ageMS(now), "suppressed": suppressed,
		}).Info("request has no valid key")
	}
}

// collectAccounts returns the load of client accounts from the owners of all pools. A pool whose
// owner does not answer is listed as missing.
func (n *Node) collectAccounts(ctx context.Context, req *AccountsRequest) (*AccountsResponse, error) {
	cfg := n.Config()
	if cfg == nil {
		return nil, errors.New("the entry has no configuration yet")
	}
	loads := map[string]*AccountLoad{}
	for i := range cfg.Accounts {
		a := &cfg.Accounts[i]
		loads[a.Name] = &AccountLoad{Name: a.Name, Configured: true, Weight: a.Weight, Limit: a.Limit, Pools: map[string]sched.AccountReport{}}
	}
	reports, missing := n.readReports(ctx, cfg.Pools)
	for pool, r := range reports {
		for name, load := range r.Accounts {
			if loads[name] == nil {
				loads[name] = &AccountLoad{Name: name, Pools: map[string]sched.AccountReport{}}
			}
			loads[name].Pools[pool] = load
		}
	}
	resp := &AccountsResponse{Version: cfg.Version, Missing: missing}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		if req.Name == "" || req.Name == name {
			resp.Accounts = append(resp.Accounts, *loads[name])
		}
	}
	if req.Name != "" && len(resp.Accounts) == 0 {
		return nil, fmt.Errorf("account %q: %w", req.Name, errUnknownAccount)
	}
	return resp, nil
}

// findVM returns the load of a VM from the owner of its pool.
func (n *Node) findVM(ctx context.Context, id string) (*VMResponse, error) {
	cfg := n.Config()
	if cfg == nil {
		return nil, errors.New("the entry has no configuration yet")
	}
	reports, missing := n.readReports(ctx, cfg.Pools)
	for pool, r := range reports {
		for _, v := range r.VMs {
			if v.ID == id {
				return &VMResponse{Pool: pool, VM: v}, nil
			}
		}
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("VM %q: %w; the owners of these pools did not answer: %q", id, errUnknownVM, slices.Sorted(maps.Keys(missing)))
	}
	return nil, fmt.Errorf("VM %q: %w", id, errUnknownVM)
}

// applyConfig passes the accounts and pools of a new configuration to the scheduler.
func (part *ownedPartition) applyConfig() {
	cfg := part.node.Config()
	if cfg == nil || cfg == part.config {
		return
	}
	part.config = cfg
	part.scheduler.SetAccounts(cfg.Accounts)
	part.scheduler.SetPools(cfg.Pools)
}

// replyForbidden returns the reply to a request for a job of another client account. It does not
// say that the job exists; a submission is refused without a reason.
func replyForbidden(c *jobCall) site.Reply {
	if c.Kind == site.SubmitJob || c.BeforeSubmit {
		return site.Reply{Outcome: site.Refused, RetryMS: 1000, Reason: "the job was not accepted"}
	}
	return site.Reply{Outcome: site.NoSuchJob}
}
