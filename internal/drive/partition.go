package drive

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	minDecisionInterval = 10 * time.Millisecond  // between two rounds of decisions
	roundTimeFactor     = 4                      // rounds may take a fifth of the time, the rest is for calls
	maxRoundTime        = 20 * time.Millisecond  // a round that was interrupted counts no more than this
	idleInterval        = 100 * time.Millisecond // between rounds without events
	minFlushInterval    = 15 * time.Millisecond  // between two appends of one partition
	claimBackoff        = 50 * time.Millisecond  // before a failed claim is tried again
	appendBackoff       = 100 * time.Millisecond // before a failed append is tried again
	eventBuffer         = 1024
)

// ownedPartition owns one partition of the job log: it runs the scheduler on one goroutine.
type ownedPartition struct {
	node           *Node
	number         int
	scheduler      *sched.Scheduler // only on the shard's goroutine once it runs
	log            *logrus.Entry
	store          *platform.Log
	events         chan func(now time.Time)
	done           chan struct{}
	ctx            context.Context // ends with the shard, as all that it stores does
	cancel         context.CancelFunc
	loaded         chan struct{} // closed once the partition is claimed and read
	nextSequence   int64         // of the next append
	lastTriedEpoch int64         // epoch of the last claim, which may have been stored
	readTimeout    time.Duration // of the next reading of the partition, for a claim

	sessions     map[string]*vmSession
	sessionCount atomic.Int64 // sessions
	waiters      map[string][]*waiter
	flushing     bool
	flushedAt    time.Time
	logDownSince time.Time     // appends have failed since; zero while the log answers
	nextAppendAt time.Time     // no append before
	handedOver   chan struct{} // closed once the next owner's word is stored
	releasing    atomic.Bool   // the partition is not of this entry's share any more

	pendingRecords []controlRecord // of the mover, for the next flush
	restored       restoredFleet   // what the job log keeps for the mover; set before loaded is closed
	mover          *mover          // of the fleet's partition, else nil
	roundTime      time.Duration   // by the last round
	lastStats      sched.Stats     // as last counted
	cordonedAt     time.Time       // cordons were last renewed
}

// waiter is a request that waits for the job log.
type waiter struct {
	id     string
	cancel bool // for the final state, else for the job itself
	reply  chan site.Reply
}

// answer gives the reply unless the request has one already.
func (w *waiter) answer(r site.Reply) {
	select {
	case w.reply <- r:
	default:
	}
}

func newOwnedPartition(ctx context.Context, n *Node, partition int) *ownedPartition {
	ctx, cancel := context.WithCancel(ctx)
	part := &ownedPartition{
		node: n, number: partition, store: platform.NewLog(n.settings), ctx: ctx, cancel: cancel,
		log:    logrus.WithField("partition", partition),
		events: make(chan func(time.Time), eventBuffer), done: make(chan struct{}), loaded: make(chan struct{}), handedOver: make(chan struct{}),
		sessions: map[string]*vmSession{}, waiters: map[string][]*waiter{},
	}
	go part.run()
	return part
}

// post hands an event to the shard's goroutine; it is dropped once the shard ends.
func (part *ownedPartition) post(f func(now time.Time)) {
	select {
	case part.events <- f:
	case <-part.done:
	}
}

func (part *ownedPartition) run() {
	ctx := part.ctx
	defer close(part.done)
	defer part.store.Close()
	defer part.cancel()
	if !part.claim(ctx) {
		return
	}
	close(part.loaded)
	part.node.announceClaim(part.number, part.scheduler.Epoch)
	if part.number == fleetPartition {
		part.mover = newMover(part)
		go part.mover.run(ctx)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !part.scheduler.Fenced() {
		select {
		case f := <-part.events:
			f(time.Now())
			part.runPendingEvents()
			sleep(ctx, max(minDecisionInterval, roundTimeFactor*part.roundTime))
			part.runPendingEvents()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		part.round(ctx, began)
		part.roundTime = min(time.Since(began), maxRoundTime)
		timer.Reset(idleInterval)
	}
	part.log.WithField("epoch", part.scheduler.Epoch).Warn("partition lost to a later owner")
	part.node.removePartition(part)
}

func (part *ownedPartition) runPendingEvents() {
	for {
		select {
		case f := <-part.events:
			f(time.Now())
		default:
			return
		}
	}
}

// round decides, carries out and stores.
func (part *ownedPartition) round(ctx context.Context, now time.Time) {
	if now.Sub(part.cordonedAt) > cordonTTL {
		part.scheduler.Uncordon()
	}
	for _, a := range part.scheduler.Decide(now) {
		part.execute(ctx, now, a)
	}
	part.syncSessions(ctx)
	stats := part.scheduler.Stats()
	countRuns(part.lastStats, stats)
	part.lastStats = stats
	if !part.flushing && now.Sub(part.flushedAt) >= minFlushInterval && !now.Before(part.nextAppendAt) {
		part.flush(now)
	}
}

func (part *ownedPartition) execute(ctx context.Context, now time.Time, a sched.Action) {
	switch a := a.(type) {
	case sched.StartRun:
		part.sendOrder(ctx, now, a.VM, a)
	case sched.StopRun:
		part.sendOrder(ctx, now, a.VM, a)
	case sched.ThrottleRun:
		part.sendOrder(ctx, now, a.VM, a)
	case sched.AskAdvice:
		part.node.requestAdvice(part, a)
	}
}

func (part *ownedPartition) sendOrder(ctx context.Context, now time.Time, id string, a sched.Action) {
	if s := part.sessions[id]; s != nil {
		s.enqueue(ctx, now, a)
	}
}

// syncSessions opens and closes sessions so that each VM of the shard has one.
func (part *ownedPartition) syncSessions(ctx context.Context) {
	want := part.scheduler.VMAddresses()
	for id, addr := range want {
		if s := part.sessions[id]; s != nil && s.addr == addr {
			continue
		} else if s != nil {
			s.cancel()
		}
		part.sessions[id] = newVMSession(ctx, part, id, addr)
	}
	for id, s := range part.sessions {
		if _, ok := want[id]; !ok {
			s.cancel()
			delete(part.sessions, id)
		}
	}
	part.sessionCount.Store(int64(len(part.sessions)))
}

// replyStored answers the requests that wait for a job, as far as they can be.
func (part *ownedPartition) replyStored(id string, list []*waiter) bool {
	all := true
	for _, w := range list {
		switch {
		case w.cancel && part.scheduler.FinalStored(id), !w.cancel && part.scheduler.Stored(id):
			w.answer(site.Reply{Outcome: site.OK})
		default:
			all = false
		}
	}
	return all
}

// call handles a caller's request.
func (part *ownedPartition) call(ctx context.Context, c *jobCall) site.Reply {
	if !part.isLoaded() {
		return site.Reply{Outcome: site.NotOwner, Reason: "partition is being taken over"}
	}
	w := &waiter{id: c.ID, cancel: c.Kind == site.CancelJob, reply: make(chan site.Reply, 1)}
	part.post(func(now time.Time) { part.handle(now, c, w) })
	select {
	case r := <-w.reply:
		return r
	case <-part.done:
		return part.replyAfterEnd(w)
	case <-ctx.Done():
	}
	part.post(func(time.Time) { part.withdraw(w) })
	const grace = 50 * time.Millisecond // for the shard's goroutine
	t := time.NewTimer(grace)
	defer t.Stop()
	select {
	case r := <-w.reply:
		return r
	case <-t.C:
	}
	return site.Reply{Outcome: site.Undecided}
}

func (part *ownedPartition) replyAfterEnd(w *waiter) site.Reply {
	select {
	case r := <-w.reply:
		return r
	default:
		return site.Reply{Outcome: site.Undecided, Reason: "the partition's owner has changed"}
	}
}

func (part *ownedPartition) handle(now time.Time, c *jobCall, w *waiter) {
	if part.scheduler.Retired() && (c.Kind == site.SubmitJob || c.Kind == site.CancelJob) {
		w.answer(site.Reply{Outcome: site.NotOwner, Reason: "partition is being handed over"})
		return
	}
	switch c.Kind {
	case site.SubmitJob:
		part.submit(now, c.Job, w)
	case site.CancelJob:
		if !part.scheduler.Cancel(now, c.ID) {
			w.answer(site.Reply{Outcome: site.NoSuchJob})
			return
		}
		part.addWaiter(w)
	case site.ShowJob:
		state, ok := part.scheduler.JobState(c.ID)
		if !ok {
			w.answer(site.Reply{Outcome: site.NoSuchJob})
			return
		}
		w.answer(site.Reply{Outcome: site.OK, State: state.String()})
	case site.CountWaiting:
		w.answer(site.Reply{Outcome: site.OK, Waiting: part.scheduler.Waiting(c.Queue)})
	}
}

func (part *ownedPartition) submit(now time.Time, j *jobs.Job, w *waiter) {
	if j == nil || j.Check() != nil {
		w.answer(site.Reply{Outcome: site.BadRequest, Reason: "no valid job"})
		return
	}
	if !part.logDownSince.IsZero() && now.Sub(part.logDownSince) > refuseJobsAfter && !part.scheduler.Known(j.ID) {
		w.answer(part.logDownReply(now))
		return
	}
	a := part.scheduler.Submit(now, j)
	if !a.Accepted {
		w.answer(site.Reply{Outcome: site.Refused, Reason: a.Reason, RetryMS: a.RetryAfter.Milliseconds()})
		return
	}
	part.addWaiter(w)
}

func (part *ownedPartition) addWaiter(w *waiter) {
	if !part.replyStored(w.id, []*waiter{w}) {
		part.waiters[w.id] = append(part.waiters[w.id], w)
	}
}

// withdraw ends the wait of a request whose time is over.
func (part *ownedPartition) withdraw(w *waiter) {
	if !w.cancel && part.scheduler.Withdraw(w.id) {
		for _, x := range part.waiters[w.id] {
			x.answer(part.logDownReply(time.Now()))
		}
		delete(part.waiters, w.id)
		return
	}
	w.answer(site.Reply{Outcome: site.Undecided, Reason: "the job log has not answered"})
}

// retire ends the decisions and stores word of what is under way for the next owner,
// with all that has changed until then. handed is closed once that is stored.
func (part *ownedPartition) retire(now time.Time) {
	if part.scheduler.Retired() {
		return
	}
	if part.mover != nil {
		part.mover.handOver(now)
	}
	const keyAndLength = 64 // bytes of a record beside its value, at most
	part.scheduler.Retire(part.node.settings.Log.RecordBytes - keyAndLength)
	if !part.flushing {
		part.flush(now)
	}
}

// markHandedOver lets the shard end.
func (part *ownedPartition) markHandedOver() {
	select {
	case <-part.handedOver:
	default:
		close(part.handedOver)
	}
}

// isLoaded reports whether the partition is claimed and read.
func (part *ownedPartition) isLoaded() bool {
	select {
	case <-part.loaded:
		return true
	default:
		return false
	}
}

// stop ends the shard after its last changes are stored, or the context ends. It
// reports whether they are stored.
func (part *ownedPartition) stop(ctx context.Context) bool {
	part.post(part.retire)
	stored := false
	select {
	case <-part.handedOver:
		stored = true
	case <-part.done:
	case <-ctx.Done():
	}
	part.cancel()
	<-part.done
	return stored
}
