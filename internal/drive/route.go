package drive

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	maxOwnerWait       = 1200 * time.Millisecond // for a request that no owner has received yet; a takeover takes about 1 s
	ownerRetryInterval = 40 * time.Millisecond   // between two attempts to reach the owner
	concurrentLookUps  = 32                      // partitions that a request asks at a time for a job
	replyMargin        = 60 * time.Millisecond   // of the caller's time, reserved to return the reply
)

// Call executes a caller's request on a queue.
func (n *Node) Call(ctx context.Context, req *site.Call) site.Reply {
	return n.call(ctx, req, &site.Access{Account: req.Account, Queue: req.Route.Name})
}

// call executes a request on a queue with the given access.
func (n *Node) call(ctx context.Context, req *site.Call, access *site.Access) site.Reply {
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.answering, cancel)()
	if req.Job != nil {
		req.Job.SubmittedMS = began.UnixMilli()
	}
	c := &jobCall{Partition: n.partitionOf(req.Route.Pool), Kind: req.Kind, Access: *access, ID: req.ID, Job: req.Job}
	if cfg := n.Config(); cfg != nil {
		c.ConfigVersion = cfg.Version
	}
	r := n.refuseUnconfirmed(req.Route, access, began)
	if r == nil {
		reply := n.dispatch(ctx, c, began)
		r = &reply
	}
	requestDuration.UpdateDuration(began)
	countRequest(req.Kind.String(), r.Outcome.String())
	if cfg := n.Config(); cfg != nil && cfg.HasAccounts {
		countAccountRequest(n.accountLabels.label(req.Account), r.Outcome.String())
	}
	if req.Kind == site.SubmitJob || req.Kind == site.CancelJob || r.Outcome != site.OK || finalState(r.State) {
		fields := logrus.Fields{
			"job": req.ID, "queue": c.Queue, "kind": req.Kind.String(), "outcome": r.Outcome.String(), "reason": r.Reason,
			"retry-ms": r.RetryMS, "took-ms": time.Since(began).Milliseconds(), "partition": c.Partition,
		}
		if r.State != "" {
			fields["state"] = r.State
		}
		if c.Account != "" {
			fields["account"] = c.Account
		}
		logrus.WithFields(fields).Info("request answered")
	}
	return *r
}

// finalState reports whether a reply shows a final state of a job.
func finalState(name string) bool {
	s, err := jobs.StateString(name)
	return err == nil && s.Final()
}

// dispatch sends a request to the owner of its partition and, if the job is not known there,
// to the owners of the other partitions. If another partition may hold jobs of the queue, it may
// already hold a job that is submitted now. dispatch looks it up there first, so that the job is
// not accepted twice.
func (n *Node) dispatch(ctx context.Context, c *jobCall, now time.Time) site.Reply {
	if c.Kind == site.SubmitJob {
		show := *c
		show.Kind, show.Job, show.BeforeSubmit = site.ShowJob, nil, true
		elsewhere := n.queues.elsewhere(now, c.Queue, c.Partition)
		switch r := n.tryPartitions(ctx, &show, elsewhere, site.Reply{Outcome: site.NoSuchJob}); r.Outcome {
		case site.NoSuchJob:
		case site.OK:
			return site.Reply{Outcome: site.OK}
		default:
			return r
		}
	}
	if c.Kind == site.CountWaiting {
		return n.countWaiting(ctx, c)
	}
	r := n.callOwner(ctx, c)
	if r.Outcome == site.NoSuchJob {
		return n.tryOtherPartitions(ctx, c, r)
	}
	return r
}

// tryOtherPartitions sends a request to the other partitions: the job's queue may have had
// another pool when the job was accepted. It returns notFound if none of them knows the job.
func (n *Node) tryOtherPartitions(ctx context.Context, c *jobCall, notFound site.Reply) site.Reply {
	var others []int
	for p := range n.settings.Log.Partitions {
		if p != c.Partition {
			others = append(others, p)
		}
	}
	return n.tryPartitions(ctx, c, others, notFound)
}

// tryPartitions sends a request to partitions, all at a time, until one of them holds the job. It returns notFound if none
// knows it: each owner may have to ask the job log before it says so.
func (n *Node) tryPartitions(ctx context.Context, c *jobCall, list []int, notFound site.Reply) site.Reply {
	replies := n.askPartitions(ctx, c, list)
	result, undecided := notFound, false
	for range list {
		switch r := <-replies; {
		case r.Outcome == site.OK:
			return r.Reply
		case r.Outcome != site.NoSuchJob && !undecided:
			result, undecided = r.Reply, true
		}
	}
	return result
}

// partitionReply is the reply to a request by the owner of a partition.
type partitionReply struct {
	site.Reply
	partition int
}

// askPartitions sends a request to partitions, some at a time. The channel gets one reply for each.
func (n *Node) askPartitions(ctx context.Context, c *jobCall, list []int) <-chan partitionReply {
	replies := make(chan partitionReply, len(list))
	slots := make(chan struct{}, concurrentLookUps)
	for _, p := range list {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			other := *c
			other.Partition = p
			replies <- partitionReply{n.callOwner(ctx, &other), p}
		}()
	}
	return replies
}

// countWaiting counts the waiting jobs of a queue in all partitions that may hold some: jobs stay with the pool that the queue
// had when they were accepted. If an owner does not answer, there is no count.
func (n *Node) countWaiting(ctx context.Context, c *jobCall) site.Reply {
	list := n.queues.holders(c.Queue, c.Partition, n.partitionOf)
	replies := n.askPartitions(ctx, c, list)
	total := site.Reply{Outcome: site.OK}
	for range list {
		r := <-replies
		if r.Outcome != site.OK {
			return r.Reply
		}
		total.Waiting += r.Waiting
	}
	return total
}

// callOwner sends a request to the owner of its partition and retries while the partition
// changes its owner. Retries are safe: requests are idempotent by the job's identifier.
func (n *Node) callOwner(ctx context.Context, c *jobCall) site.Reply {
	began := time.Now()
	maybeExecuted := false // an earlier attempt may have been executed
	last := site.Reply{Outcome: site.Refused, Reason: errNoOwner.Error()}
	for {
		left := timeLeft(ctx)
		if left <= 0 || (!maybeExecuted && time.Since(began) > maxOwnerWait) {
			break
		}
		c.WaitMS = min(left, attemptTimeout).Milliseconds()
		r, attemptMaybeExecuted := n.tryOwners(ctx, c)
		maybeExecuted = maybeExecuted || attemptMaybeExecuted
		if r != nil && r.Outcome != site.NotOwner && r.Outcome != site.Undecided {
			return undecidedIfExecuted(*r, maybeExecuted)
		}
		if r != nil {
			last = *r
		}
		n.requestAssignmentRefresh()
		sleep(ctx, ownerRetryInterval)
	}
	if maybeExecuted && (c.Kind == site.SubmitJob || c.Kind == site.CancelJob) {
		return site.Reply{Outcome: site.Undecided, Reason: last.Reason}
	}
	return site.Reply{Outcome: site.Refused, RetryMS: 1000, Reason: last.Reason}
}

// undecidedIfExecuted turns a refusal into Undecided if an earlier attempt may have been
// executed; a refusal states that nothing was done.
func undecidedIfExecuted(r site.Reply, maybeExecuted bool) site.Reply {
	if r.Outcome == site.Refused && maybeExecuted {
		r.Outcome = site.Undecided
	}
	return r
}

// tryOwners sends a request to each entry that may be the owner. reply is nil if none
// replied; maybeExecuted reports whether an entry that did not reply, or that replied
// site.Undecided, may have executed the request.
func (n *Node) tryOwners(ctx context.Context, c *jobCall) (reply *site.Reply, maybeExecuted bool) {
	if n.lookupPartition(c.Partition) != nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitMS)*time.Millisecond)
		r := n.callLocal(callCtx, c)
		cancel()
		maybeExecuted = r.Outcome == site.Undecided
		if r.Outcome != site.NotOwner {
			return &r, maybeExecuted
		}
		reply = &r
	}
	for _, address := range n.owners.addresses(c.Partition) {
		if address == n.address {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitMS)*time.Millisecond+replyMargin/2)
		r, err := peer.Call[jobCall, site.Reply](callCtx, n.peer(address), jobCallKind, c)
		cancel()
		switch {
		case err != nil:
			maybeExecuted = maybeExecuted || !peer.NotSent(err)
			logrus.WithError(err).WithFields(logrus.Fields{"job": c.ID, "peer": address}).Info("partition owner did not answer")
		case r.Outcome == site.Undecided:
			return r, true
		case r.Outcome != site.NotOwner:
			showStored(r)
			return r, maybeExecuted
		default:
			reply = r
		}
	}
	return reply, maybeExecuted
}

// timeLeft returns the time left for attempts, 0 or less if there is none.
func timeLeft(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return time.Until(deadline) - replyMargin
}
