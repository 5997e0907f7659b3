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
	decideGap   = 10 * time.Millisecond  // between two rounds of decisions
	roundShare  = 4                      // rounds may take a fifth of the time, the rest is for calls
	longRound   = 20 * time.Millisecond  // a round that was interrupted counts no more than this
	idleGap     = 100 * time.Millisecond // between rounds without events
	flushGap    = 15 * time.Millisecond  // between two appends of one partition
	claimPause  = 50 * time.Millisecond  // before a failed claim is tried again
	flushPause  = 100 * time.Millisecond // before a failed append is tried again
	eventBuffer = 1024
)

// shard owns one partition of the job log: it runs the scheduler on one goroutine.
type shard struct {
	node      *Node
	partition int
	core      *sched.Scheduler // only on the shard's goroutine once it runs
	log       *logrus.Entry
	store     *platform.Log
	events    chan func(now time.Time)
	done      chan struct{}
	life      context.Context // ends with the shard, as all that it stores does
	cancel    context.CancelFunc
	loaded    chan struct{} // closed once the partition is claimed and read
	sequence  int64         // of the next append
	tried     int64         // epoch of the last claim, which may have been stored
	readLimit time.Duration // of the next reading of the partition, for a claim

	sessions map[string]*session
	open     atomic.Int64 // sessions
	waiters  map[string][]*waiter
	flushing bool
	flushed  time.Time
	badSince time.Time     // appends have failed since; zero while the log answers
	retryAt  time.Time     // no append before
	handed   chan struct{} // closed once the next owner's word is stored
	leaving  atomic.Bool   // the partition is not of this entry's share any more

	extra    []extraRecord // of the mover, for the next flush
	kept     keptFleet     // what the job log keeps for the mover; set before loaded is closed
	mover    *mover        // of the fleet's partition, else nil
	took     time.Duration // by the last round
	stats    sched.Stats   // as last counted
	cordonAt time.Time     // cordons were last renewed
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

func newShard(ctx context.Context, n *Node, partition int) *shard {
	ctx, cancel := context.WithCancel(ctx)
	sh := &shard{
		node: n, partition: partition, store: platform.NewLog(n.set), life: ctx, cancel: cancel,
		log:    logrus.WithField("partition", partition),
		events: make(chan func(time.Time), eventBuffer), done: make(chan struct{}), loaded: make(chan struct{}), handed: make(chan struct{}),
		sessions: map[string]*session{}, waiters: map[string][]*waiter{},
	}
	go sh.run()
	return sh
}

// post hands an event to the shard's goroutine; it is dropped once the shard ends.
func (sh *shard) post(f func(now time.Time)) {
	select {
	case sh.events <- f:
	case <-sh.done:
	}
}

func (sh *shard) run() {
	ctx := sh.life
	defer close(sh.done)
	defer sh.store.Close()
	defer sh.cancel()
	if !sh.claim(ctx) {
		return
	}
	close(sh.loaded)
	sh.node.claimed(sh.partition, sh.core.Epoch)
	if sh.partition == fleetPartition {
		sh.mover = newMover(sh)
		go sh.mover.run(ctx)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !sh.core.Fenced() {
		select {
		case f := <-sh.events:
			f(time.Now())
			sh.drain()
			sleep(ctx, max(decideGap, roundShare*sh.took))
			sh.drain()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		sh.round(ctx, began)
		sh.took = min(time.Since(began), longRound)
		timer.Reset(idleGap)
	}
	sh.log.WithField("epoch", sh.core.Epoch).Warn("partition lost to a later owner")
	sh.node.lost(sh)
}

func (sh *shard) drain() {
	for {
		select {
		case f := <-sh.events:
			f(time.Now())
		default:
			return
		}
	}
}

// round decides, carries out and stores.
func (sh *shard) round(ctx context.Context, now time.Time) {
	if now.Sub(sh.cordonAt) > cordonFor {
		sh.core.Uncordon()
	}
	for _, a := range sh.core.Decide(now) {
		sh.carryOut(ctx, now, a)
	}
	sh.syncSessions(ctx)
	stats := sh.core.Stats()
	countRuns(sh.stats, stats)
	sh.stats = stats
	if !sh.flushing && now.Sub(sh.flushed) >= flushGap && !now.Before(sh.retryAt) {
		sh.flush(now)
	}
}

func (sh *shard) carryOut(ctx context.Context, now time.Time, a sched.Action) {
	switch a := a.(type) {
	case sched.StartRun:
		sh.order(ctx, now, a.VM, a)
	case sched.StopRun:
		sh.order(ctx, now, a.VM, a)
	case sched.ThrottleRun:
		sh.order(ctx, now, a.VM, a)
	case sched.AskAdvice:
		sh.node.advise(sh, a)
	}
}

func (sh *shard) order(ctx context.Context, now time.Time, id string, a sched.Action) {
	if s := sh.sessions[id]; s != nil {
		s.push(ctx, now, a)
	}
}

// syncSessions opens and closes sessions so that each VM of the shard has one.
func (sh *shard) syncSessions(ctx context.Context) {
	want := sh.core.VMAddresses()
	for id, addr := range want {
		if s := sh.sessions[id]; s != nil && s.addr == addr {
			continue
		} else if s != nil {
			s.cancel()
		}
		sh.sessions[id] = newSession(ctx, sh, id, addr)
	}
	for id, s := range sh.sessions {
		if _, ok := want[id]; !ok {
			s.cancel()
			delete(sh.sessions, id)
		}
	}
	sh.open.Store(int64(len(sh.sessions)))
}

// settle answers the requests that wait for a job, as far as they can be.
func (sh *shard) settle(id string, list []*waiter) bool {
	all := true
	for _, w := range list {
		switch {
		case w.cancel && sh.core.FinalStored(id), !w.cancel && sh.core.Stored(id):
			w.answer(site.Reply{Outcome: site.OK})
		default:
			all = false
		}
	}
	return all
}

// call handles a caller's request.
func (sh *shard) call(ctx context.Context, c *jobCall) site.Reply {
	if !sh.isLoaded() {
		return site.Reply{Outcome: site.NotOwner, Reason: "partition is being taken over"}
	}
	w := &waiter{id: c.ID, cancel: c.Kind == site.CancelJob, reply: make(chan site.Reply, 1)}
	sh.post(func(now time.Time) { sh.handle(now, c, w) })
	select {
	case r := <-w.reply:
		return r
	case <-sh.done:
		return sh.abandon(w)
	case <-ctx.Done():
	}
	sh.post(func(time.Time) { sh.withdraw(w) })
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

func (sh *shard) abandon(w *waiter) site.Reply {
	select {
	case r := <-w.reply:
		return r
	default:
		return site.Reply{Outcome: site.Undecided, Reason: "the partition's owner has changed"}
	}
}

func (sh *shard) handle(now time.Time, c *jobCall, w *waiter) {
	if sh.core.Retired() && (c.Kind == site.SubmitJob || c.Kind == site.CancelJob) {
		w.answer(site.Reply{Outcome: site.NotOwner, Reason: "partition is being handed over"})
		return
	}
	switch c.Kind {
	case site.SubmitJob:
		sh.submit(now, c.Job, w)
	case site.CancelJob:
		if !sh.core.Cancel(now, c.ID) {
			w.answer(site.Reply{Outcome: site.NoSuchJob})
			return
		}
		sh.wait(w)
	case site.ShowJob:
		state, ok := sh.core.JobState(c.ID)
		if !ok {
			w.answer(site.Reply{Outcome: site.NoSuchJob})
			return
		}
		w.answer(site.Reply{Outcome: site.OK, State: state.String()})
	case site.CountWaiting:
		w.answer(site.Reply{Outcome: site.OK, Waiting: sh.core.Waiting(c.Queue)})
	}
}

func (sh *shard) submit(now time.Time, j *jobs.Job, w *waiter) {
	if j == nil || j.Check() != nil {
		w.answer(site.Reply{Outcome: site.BadRequest, Reason: "no valid job"})
		return
	}
	if !sh.badSince.IsZero() && now.Sub(sh.badSince) > refuseAfter && !sh.core.Known(j.ID) {
		w.answer(sh.refuseUnstored(now))
		return
	}
	a := sh.core.Submit(now, j)
	if !a.Accepted {
		w.answer(site.Reply{Outcome: site.Refused, Reason: a.Reason, RetryMS: a.RetryAfter.Milliseconds()})
		return
	}
	sh.wait(w)
}

func (sh *shard) wait(w *waiter) {
	if !sh.settle(w.id, []*waiter{w}) {
		sh.waiters[w.id] = append(sh.waiters[w.id], w)
	}
}

// withdraw ends the wait of a request whose time is over.
func (sh *shard) withdraw(w *waiter) {
	if !w.cancel && sh.core.Withdraw(w.id) {
		for _, x := range sh.waiters[w.id] {
			x.answer(sh.refuseUnstored(time.Now()))
		}
		delete(sh.waiters, w.id)
		return
	}
	w.answer(site.Reply{Outcome: site.Undecided, Reason: "the job log has not answered"})
}

// retire ends the decisions and stores word of what is under way for the next owner,
// with all that has changed until then. handed is closed once that is stored.
func (sh *shard) retire(now time.Time) {
	if sh.core.Retired() {
		return
	}
	if sh.mover != nil {
		sh.mover.handOver(now)
	}
	const keyAndLength = 64 // bytes of a record beside its value, at most
	sh.core.Retire(sh.node.set.Log.RecordBytes - keyAndLength)
	if !sh.flushing {
		sh.flush(now)
	}
}

// endHandover lets the shard end.
func (sh *shard) endHandover() {
	select {
	case <-sh.handed:
	default:
		close(sh.handed)
	}
}

// isLoaded reports whether the partition is claimed and read.
func (sh *shard) isLoaded() bool {
	select {
	case <-sh.loaded:
		return true
	default:
		return false
	}
}

// stop ends the shard after its last changes are stored, or the context ends. It
// reports whether they are stored.
func (sh *shard) stop(ctx context.Context) bool {
	sh.post(sh.retire)
	stored := false
	select {
	case <-sh.handed:
		stored = true
	case <-sh.done:
	case <-ctx.Done():
	}
	sh.cancel()
	<-sh.done
	return stored
}
