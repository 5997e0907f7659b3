package drive

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/relay"
	"github.com/greengagelane/greengagelane/internal/retry"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/internal/usage"
	"github.com/greengagelane/greengagelane/internal/vmcall"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	minDecisionInterval = 10 * time.Millisecond  // between two rounds of decisions
	roundTimeFactor     = 4                      // pause before a round, as a multiple of the last round's duration, so that rounds take at most a fifth of the time and requests get the rest
	maxRoundTime        = 20 * time.Millisecond  // cap of the duration used for the pause; a longer round was interrupted by the operating system
	idleInterval        = 100 * time.Millisecond // between rounds while there are no events
	minFlushInterval    = 15 * time.Millisecond  // between two appends to one partition
	claimBackoff        = 50 * time.Millisecond  // before a failed claim is retried
	appendBackoff       = 100 * time.Millisecond // before a failed append is retried
	eventBuffer         = 1024                   // events queued for a partition's goroutine before post blocks
)

// ownedPartition runs the scheduler of one partition of the job log that this entry owns or
// claims. The scheduler is not safe for concurrent use: other goroutines post events, which run
// on the partition's goroutine.
type ownedPartition struct {
	node           *Node
	number         int
	scheduler      *sched.Scheduler // set by the claim; then used on the partition's goroutine only, except for the constant Epoch
	log            *logrus.Entry
	store          *platform.Log
	events         chan func(now time.Time)
	done           chan struct{}
	ctx            context.Context // cancelled when ownership ends; appends end with it
	cancel         context.CancelFunc
	loaded         chan struct{}    // closed once the partition is claimed and its records are read
	nextSequence   int64            // sequence number of the next append
	storedOnly     bool             // what the last owner and those before have shown as completed is stored; set by the claim
	formerNotice   time.Duration    // for which former owners may go on after the claim; set by the claim
	lastWasSole    bool             // the owners before the last one renew no leases any more; set by the claim
	lastTriedEpoch int64            // epoch of the last claim attempt; its records may be stored although it failed
	appendTimeout  *retry.Estimator // used by the claim, then by the append in progress
	relays         relay.Peers      // used by the append in progress
	readTimeout    time.Duration    // for the next attempt to read the partition in a claim

	vmCalls      *vmcall.Group
	sessions     map[string]*vmSession
	sessionCount atomic.Int64         // len(sessions), for other goroutines
	waiters      map[string][]*waiter // by job identifier
	lookUps      lookUps
	questions    []question    // in the order in which they came
	flushing     bool          // an append is in progress
	flushedAt    time.Time     // start of the last append
	logDownSince time.Time     // start of the current series of failed appends; zero if the last one succeeded
	nextAppendAt time.Time     // no append starts earlier
	handedOver   chan struct{} // closed once the handover record is stored
	releasing    atomic.Bool   // the partition is no longer assigned to this entry, which serves it until the handover

	lastRoundAt    time.Time                 // the claim before the first round; zero before the claim
	unconfirmed    bool                      // no decisions until the log has confirmed the ownership
	pauses         int                       // after which the ownership was, or is to be, confirmed
	tenure         tenure.Tenure             // of the ownership
	sinceConfirmed unconfirmedTime           // since the latest confirmation
	confirmedAt    atomic.Pointer[time.Time] // of tenure, for other goroutines; nil before the claim
	soleOwner      bool                      // no earlier owner renews leases; set by the claim, or once all have heard of this one
	soleRecorded   bool                      // the record under soleOwnerKey is in pendingRecords or was
	reachedAt      time.Time                 // when the first VM had answered a status poll; zero before
	pendingRecords []controlRecord           // records of the mover, for the next flush
	restored       restoredFleet             // control records read by the claim, for the mover; set before loaded is closed
	mover          *mover                    // nil unless this is the fleet partition
	claimed        claimedTable              // set by the claim
	claimedAt      time.Time                 // when the log confirmed the claim
	recovery       recovery                  // since the claim
	roundTime      time.Duration             // duration of the last round, capped
	lastStats      sched.Stats               // already added to the metrics
	config         *site.Config              // whose accounts the scheduler has; nil before the first
}

func newOwnedPartition(ctx context.Context, n *Node, partition int) *ownedPartition {
	ctx, cancel := context.WithCancel(ctx)
	part := &ownedPartition{
		node: n, number: partition, store: platform.NewLog(n.settings), ctx: ctx, cancel: cancel,
		log:           logrus.WithField("partition", partition),
		appendTimeout: newTimeout(minAppendTimeout), events: make(chan func(time.Time), eventBuffer), done: make(chan struct{}), loaded: make(chan struct{}), handedOver: make(chan struct{}),
		vmCalls: vmcall.NewGroup(), sessions: map[string]*vmSession{}, waiters: map[string][]*waiter{}, lookUps: lookUps{},
	}
	go part.run()
	return part
}

// post queues an event for the partition's goroutine. Events are dropped once it has ended.
func (part *ownedPartition) post(f func(now time.Time)) {
	select {
	case part.events <- f:
	case <-part.done:
	}
}

// run claims the partition, then handles events and makes a round of decisions after them until
// ownership ends. It waits between the first event and the round, so that one round also covers
// the events that arrive during the wait.
func (part *ownedPartition) run() {
	ctx := part.ctx
	defer close(part.done)
	defer part.store.Close()
	defer part.cancel()
	defer func() { part.dropQuestions(time.Now()) }()
	if !part.claim(ctx) {
		return
	}
	if !part.storedOnly && part.scheduler.HoldRecovered() {
		go part.collectShown(ctx)
	} else {
		part.recordStoredOnly()
	}
	part.claimedAt = time.Now()
	if part.claimed.lastEpoch > 0 {
		go part.node.confirmSince(ctx, part.claimedAt)
	}
	part.recovery = recovery{log: part.log, startedAt: part.node.startedAt, claimedAt: time.Now()}
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
	part.logLoss(time.Now())
	part.node.removePartition(part)
}

// runPendingEvents runs the queued events without waiting for more.
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

// round makes the scheduler's decisions, executes them and flushes changes to the job log.
func (part *ownedPartition) round(ctx context.Context, now time.Time) {
	part.applyConfig()
	part.scheduler.ExpireCordons(now, cordonTTL)
	decides := part.confirmOwnership(now)
	if decides {
		for _, a := range part.scheduler.Decide(now) {
			part.execute(ctx, now, a)
		}
	}
	part.scheduler.LogLastingWaits(now, decides)
	part.recordSoleOwner(now)
	part.logExpired(now)
	part.refuseHeld(now)
	part.decideQuestions(now)
	part.syncSessions(ctx)
	stats := part.scheduler.Stats()
	countRuns(part.lastStats, stats)
	part.lastStats = stats
	part.recordRecovery(now)
	part.requestConfirmation(now)
	usage.Round.Since(now)
	if !part.flushing && now.Sub(part.flushedAt) >= minFlushInterval && !now.Before(part.nextAppendAt) {
		part.flush(now)
	}
}

// recordRecovery records the stages of the recovery that the scheduler has reached.
func (part *ownedPartition) recordRecovery(now time.Time) {
	const most = 0.9 // of the VMs
	if part.lastStats.Started > 0 {
		part.recovery.reach(now, firstStart)
	}
	if part.recovery.awaits(now, vmsReached) {
		if reached, all := part.scheduler.ReachedVMs(); all > 0 && float64(reached) >= most*float64(all) {
			part.recovery.reach(now, vmsReached)
		}
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
	case sched.PollVM:
		part.sendOrder(ctx, now, a.VM, a)
	case sched.AskAdvice:
		part.node.requestAdvice(part, a)
	}
}

// sendOrder queues an order on the VM's session. It drops an order for a VM without a session.
func (part *ownedPartition) sendOrder(ctx context.Context, now time.Time, id string, a sched.Action) {
	if s := part.sessions[id]; s != nil {
		s.enqueue(ctx, now, a)
	}
}

// syncSessions opens and closes sessions so that each VM of the partition has one.
func (part *ownedPartition) syncSessions(ctx context.Context) {
	for id, addr := range part.scheduler.VMAddresses() {
		if s := part.sessions[id]; s != nil && s.addr == addr {
			continue
		} else if s != nil {
			s.cancel()
		}
		part.sessions[id] = newVMSession(ctx, part, id, addr)
	}
	for id, s := range part.sessions {
		if !part.scheduler.HasVM(id) {
			s.cancel()
			delete(part.sessions, id)
		}
	}
	part.sessionCount.Store(int64(len(part.sessions)))
}

// retire ends the scheduler's decisions and stores all changes with a handover record for
// the next owner. handedOver is closed once both are stored.
func (part *ownedPartition) retire(now time.Time) {
	if part.scheduler.Retired() {
		return
	}
	if part.mover != nil {
		part.mover.handOver(now)
	}
	const maxRecordOverhead = 64 // bytes; upper bound for a record's key and length fields
	part.scheduler.Retire(part.node.settings.Log.RecordBytes - maxRecordOverhead)
	if !part.flushing {
		part.flush(now)
	}
}

// markHandedOver closes handedOver; stop waits for that.
func (part *ownedPartition) markHandedOver() {
	select {
	case <-part.handedOver:
	default:
		close(part.handedOver)
	}
}

// isLoaded reports whether the partition is claimed and its records are read.
func (part *ownedPartition) isLoaded() bool {
	select {
	case <-part.loaded:
		return true
	default:
		return false
	}
}

// stop hands the partition over and ends its goroutine. It waits for the last changes to be
// stored or the context to end, and reports whether they are stored.
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
