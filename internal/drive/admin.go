package drive

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Kinds of calls from an operator's command to an entry.
const (
	operatorJobKind      = "operator-job"
	operatorPoolKind     = "operator-pool"
	operatorAccountsKind = "operator-accounts"
	operatorVMKind       = "operator-vm"
)

// operatorTimeout bounds an operator's request about a job, which may ask all partitions.
const operatorTimeout = 5 * time.Second

// JobRequest is an operator's request to show, cancel or submit a job. Any entry accepts
// it. Without Cancel and Submit, it shows the job.
type JobRequest struct {
	ID     string
	Cancel bool
	Submit *jobs.Job // the entry adds the queue's policy
}

// JobResponse is the reply to a JobRequest.
type JobResponse struct {
	Partition int
	Reply     site.Reply
	View      *sched.JobView // set if the job was found and the request was to show it
}

// PoolRequest asks for the report of a pool.
type PoolRequest struct{ Pool string }

// AccountsRequest asks for the load of client accounts.
type AccountsRequest struct{ Name string } // of one account; empty for all

// AccountsResponse is the reply to an AccountsRequest.
type AccountsResponse struct {
	Version  int64             // of the configuration at the entry that was asked
	Accounts []AccountLoad     // by name; with those that only jobs have, since they were removed
	Missing  map[string]string // pools whose owner did not answer, with the reason
}

// AccountLoad is a client account and its load in each pool in which it has any.
type AccountLoad struct {
	Name       string
	Configured bool // in the configuration of the entry that was asked
	Weight     float64
	Limit      site.Resources                 // 0 for no limit
	Pools      map[string]sched.AccountReport // by pool
}

// VMRequest asks for the load of a VM.
type VMRequest struct{ ID string }

// VMResponse is the reply to a VMRequest.
type VMResponse struct {
	Pool string
	VM   sched.VMReport
}

// errUnknownVM is returned if no owner has the VM in one of its pools.
var errUnknownVM = errors.New("no pool has this VM")

// errUnknownAccount is returned if neither the configuration nor a job has the account.
var errUnknownAccount = errors.New("no client account has this name")

// errUnknownJob is returned if no partition holds the job.
var errUnknownJob = errors.New("no partition holds the job")

// SendJobRequest sends a request about a job to the entry at a peer address.
func SendJobRequest(ctx context.Context, address string, req *JobRequest) (*JobResponse, error) {
	return callEntry[JobRequest, JobResponse](ctx, address, operatorJobKind, req)
}

// FetchPoolReport asks the entry at a peer address for the report of a pool.
func FetchPoolReport(ctx context.Context, address, pool string) (*sched.Report, error) {
	return callEntry[PoolRequest, sched.Report](ctx, address, operatorPoolKind, &PoolRequest{Pool: pool})
}

// FetchAccounts asks the entry at a peer address for the load of client accounts.
func FetchAccounts(ctx context.Context, address string, req *AccountsRequest) (*AccountsResponse, error) {
	return callEntry[AccountsRequest, AccountsResponse](ctx, address, operatorAccountsKind, req)
}

// FetchVM asks the entry at a peer address for the load of a VM.
func FetchVM(ctx context.Context, address, id string) (*VMResponse, error) {
	return callEntry[VMRequest, VMResponse](ctx, address, operatorVMKind, &VMRequest{ID: id})
}

// callEntry sends an operator's request to the entry at a peer address.
func callEntry[C, R any](ctx context.Context, address, kind string, req *C) (*R, error) {
	c := peer.NewClient(address, "operator", func() string { return "" })
	defer c.Close()
	return peer.Call[C, R](ctx, c, kind, req)
}

func (n *Node) handleOperatorCalls(s *peer.Server) {
	peer.Handle(s, operatorJobKind, func(ctx context.Context, _ string, req *JobRequest) (*JobResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		return n.handleJobRequest(ctx, req)
	})
	peer.Handle(s, operatorPoolKind, func(ctx context.Context, _ string, req *PoolRequest) (*sched.Report, error) {
		return n.readReport(ctx, n.readCall(req.Pool))
	})
	peer.Handle(s, operatorVMKind, func(ctx context.Context, _ string, req *VMRequest) (*VMResponse, error) {
		return n.findVM(ctx, req.ID)
	})
	peer.Handle(s, operatorAccountsKind, func(ctx context.Context, _ string, req *AccountsRequest) (*AccountsResponse, error) {
		return n.collectAccounts(ctx, req)
	})
	peer.Handle(s, explainKind, func(ctx context.Context, _ string, c *jobCall) (*sched.JobView, error) {
		return n.explainLocal(ctx, c)
	})
}

// submitForOperator submits a job as if a caller had sent it.
func (n *Node) submitForOperator(ctx context.Context, j *jobs.Job) (*JobResponse, error) {
	cfg := n.Config()
	if cfg == nil {
		return nil, errors.New("the entry has no configuration yet")
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if r.Name != j.Queue {
			continue
		}
		r.ApplyTo(j)
		if err := j.Check(); err != nil {
			return nil, err
		}
		reply := n.call(ctx, &site.Call{Kind: site.SubmitJob, Route: r, ID: j.ID, Job: j}, &site.Access{Queue: r.Name, Operator: true})
		return &JobResponse{Partition: n.partitionOf(r.Pool), Reply: reply}, nil
	}
	return nil, fmt.Errorf("queue %q does not exist in configuration %d", j.Queue, cfg.Version)
}

// handleJobRequest submits a job, or shows or cancels it in the partition that holds it.
// The job's pool is not known, so it asks all partitions. One whose owner does not answer may hold the job only if no
// other does.
func (n *Node) handleJobRequest(ctx context.Context, req *JobRequest) (*JobResponse, error) {
	if req.Submit != nil {
		return n.submitForOperator(ctx, req.Submit)
	}
	c := &jobCall{Kind: site.ShowJob, ID: req.ID, Access: site.Access{Operator: true}}
	if req.Cancel {
		c.Kind = site.CancelJob
	}
	all := make([]int, n.settings.Log.Partitions)
	for p := range all {
		all[p] = p
	}
	replies := n.askPartitions(ctx, c, all)
	var undecided *JobResponse
	for range all {
		switch r := <-replies; {
		case r.Outcome == site.OK:
			return n.explained(ctx, c, &JobResponse{Partition: r.partition, Reply: r.Reply})
		case r.Outcome != site.NoSuchJob && undecided == nil:
			undecided = &JobResponse{Partition: r.partition, Reply: r.Reply}
		}
	}
	if undecided != nil {
		return undecided, nil
	}
	return nil, fmt.Errorf("job %s: %w", req.ID, errUnknownJob)
}

// explained adds the state of a job and its tasks to the response to a request that shows it.
func (n *Node) explained(ctx context.Context, c *jobCall, resp *JobResponse) (*JobResponse, error) {
	if c.Kind != site.ShowJob {
		return resp, nil
	}
	held := *c
	held.Partition = resp.Partition
	view, err := retryOwner(ctx, func() (*sched.JobView, error) { return n.explain(ctx, &held) })
	if err != nil {
		return nil, fmt.Errorf("explain job %s: %w", c.ID, err)
	}
	resp.View = view
	return resp, nil
}

// explain returns the state of a job and its tasks from the owner of its partition.
func (n *Node) explain(ctx context.Context, c *jobCall) (*sched.JobView, error) {
	return askOwner(ctx, n, c.Partition, explainKind, c, n.explainLocal)
}

// askOwner returns the reply of a partition's owner to a call that changes nothing there. An entry
// that is still claiming the partition, or has just handed it over, is not its owner: it asks the
// other entries that may be.
func askOwner[C, R any](ctx context.Context, n *Node, partition int, kind string, c *C, local func(context.Context, *C) (*R, error)) (*R, error) {
	r, lastErr := local(ctx, c)
	if lastErr == nil {
		return r, nil
	}
	if n.lookupPartition(partition) == nil {
		lastErr = errNoOwner
	}
	for _, address := range n.owners.addresses(partition) {
		if address == n.address {
			continue
		}
		r, err := peer.Call[C, R](ctx, n.peer(address), kind, c)
		if err == nil {
			return r, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// retryOwner repeats a call to a partition's owner while the partition changes hands, at most for
// maxOwnerWait.
func retryOwner[R any](ctx context.Context, call func() (*R, error)) (*R, error) {
	began := time.Now()
	for {
		r, err := call()
		if err == nil || ctx.Err() != nil || time.Since(began) > maxOwnerWait {
			return r, err
		}
		sleep(ctx, ownerRetryInterval)
	}
}

// explainLocal returns the state of a job in a partition that this entry owns.
func (n *Node) explainLocal(ctx context.Context, c *jobCall) (*sched.JobView, error) {
	return runOnPartition(ctx, n.lookupPartition(c.Partition), func(part *ownedPartition, now time.Time) *sched.JobView { return part.scheduler.Explain(now, c.ID) })
}

// runOnPartition runs a function on a partition's goroutine and returns its result. It fails
// with errNotOwner if the partition is not loaded or has ended.
func runOnPartition[T any](ctx context.Context, part *ownedPartition, f func(part *ownedPartition, now time.Time) *T) (*T, error) {
	if part == nil || !part.isLoaded() {
		return nil, errNotOwner
	}
	ch := make(chan *T, 1)
	part.post(func(now time.Time) { ch <- f(part, now) })
	return awaitResult(ctx, part, ch)
}

// awaitResult returns what the partition's goroutine sends. It fails with errNotOwner if the partition ends before.
func awaitResult[T any](ctx context.Context, part *ownedPartition, ch <-chan *T) (*T, error) {
	select {
	case r := <-ch:
		return r, nil
	case <-part.done:
		return nil, errNotOwner
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
