package drive

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	reportsTimeout    = 2500 * time.Millisecond // for the owners' reports; the command waits 3 s
	concurrentReports = 16                      // pools whose reports are fetched at a time for an operator
)

// collectReports fetches the reports of pools concurrently, at most limit at a time. failed holds the
// errors of those that it did not get. Both results are by pool.
func collectReports(calls []*reportCall, limit int, fetch func(c *reportCall) (*sched.Report, error)) (reports map[string]*sched.Report, failed map[string]error) {
	reports, failed = map[string]*sched.Report{}, map[string]error{}
	var mu sync.Mutex
	var active sync.WaitGroup
	slots := make(chan struct{}, max(limit, 1))
	for _, c := range calls {
		active.Add(1)
		slots <- struct{}{}
		go func() {
			defer active.Done()
			defer func() { <-slots }()
			r, err := fetch(c)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed[c.Pool] = err
				return
			}
			reports[c.Pool] = r
		}()
	}
	active.Wait()
	return reports, failed
}

// readCall returns a call for a pool's report that changes nothing at its owner.
func (n *Node) readCall(pool string) *reportCall {
	return &reportCall{Partition: n.partitionOf(pool), Pool: pool, ReadOnly: true}
}

// readReport returns a pool's report for an operator. It retries while the partition changes hands.
func (n *Node) readReport(ctx context.Context, c *reportCall) (*sched.Report, error) {
	return retryOwner(ctx, func() (*sched.Report, error) { return n.report(ctx, c) })
}

// readReports returns the reports of pools for an operator. missing holds the reasons for those that
// it did not get.
func (n *Node) readReports(ctx context.Context, pools []site.Pool) (reports map[string]*sched.Report, missing map[string]string) {
	ctx, cancel := context.WithTimeout(ctx, reportsTimeout)
	defer cancel()
	calls := make([]*reportCall, len(pools))
	for i := range pools {
		calls[i] = n.readCall(pools[i].Name)
	}
	reports, failed := collectReports(calls, concurrentReports, func(c *reportCall) (*sched.Report, error) { return n.readReport(ctx, c) })
	missing = map[string]string{}
	for pool, err := range failed {
		missing[pool] = err.Error()
	}
	return reports, missing
}
