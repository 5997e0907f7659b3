package drive

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	joinInterval           = 300 * time.Millisecond  // three joins fit into memberTTL
	startupPhase           = 3 * time.Second         // after the process starts; other entries may be starting too
	settleDelay            = 30 * time.Millisecond   // from the first join to the next, after which the partitions are claimed; others that start at the same time join meanwhile
	minJoinTimeout         = 200 * time.Millisecond  // a lost join is repeated within memberTTL
	memberTTL              = 1000 * time.Millisecond // a silent entry loses its partitions after this; the shortest time that the log allows
	handoverTimeout        = 400 * time.Millisecond  // for storing the last changes of a partition
	assignmentInterval     = time.Second             // between two reads of the partition assignment without a request
	minAssignmentInterval  = 100 * time.Millisecond  // between two reads of the partition assignment on request
	vmListInterval         = 400 * time.Millisecond  // between two reads of the VM list; the list itself lags by more than this
	vmListIntervalIncoming = 100 * time.Millisecond  // the same while VMs are moving to a pool of this entry
	operatorReadWait       = 700 * time.Millisecond  // how long the log may delay its reply to a read while there are no changes; short, since it may never answer a long-polling read
	watchBackoff           = 250 * time.Millisecond  // after a failed read of the operator's records
	syncInterval           = 400 * time.Millisecond  // between the starts of two syncs with other entries; also the timeout of a sync
)

// dependency logs when a service that the entry needs stops answering and answers again.
type dependency struct {
	name   string
	lostAt time.Time // zero while the dependency answers
}

// recordResult records the result of a call to the dependency and logs a change. It reports whether the
// dependency answers again after it did not.
func (d *dependency) recordResult(err error) (restored bool) {
	switch {
	case err != nil && d.lostAt.IsZero():
		d.lostAt = time.Now()
		logrus.WithError(err).WithField("dependency", d.name).Warn("dependency does not answer")
	case err == nil && !d.lostAt.IsZero():
		logrus.WithFields(logrus.Fields{"dependency": d.name, "after-ms": time.Since(d.lostAt).Milliseconds()}).Info("dependency answers again")
		d.lostAt = time.Time{}
		return true
	}
	return false
}

// recordLogResult records the result of a call to the log. The first answer after an outage interrupts the other
// calls to the log.
func (n *Node) recordLogResult(d *dependency, err error) {
	at := &n.logAnsweredAt
	if err != nil {
		at = &n.logFailedAt
	}
	at.Store(time.Now().UnixNano())
	if d.recordResult(err) {
		n.logRestored.announce()
	}
}

// runMembership keeps this entry in the group that the partitions are assigned to until the
// context ends, then leaves the group and hands its partitions over.
func (n *Node) runMembership(ctx context.Context, done chan struct{}) {
	defer close(done)
	log := platform.NewLog(n.settings)
	defer log.Close()
	m := &site.Member{Name: memberName(n.settings.Entry, n.address, n.settings.Cores), TTLMS: max(int(memberTTL.Milliseconds()), n.settings.Log.MinTTLMS)}
	dep := &dependency{name: "entry group"}
	self := member{address: n.address, cores: n.settings.Cores}
	timeout := newTimeout(minJoinTimeout)
	left := false // has left the group to entries with more cores
	joins := 0    // that the log has answered
	sleep(ctx, firstJoinDelay(self.cores))
	for ctx.Err() == nil {
		starting := time.Since(n.startedAt) < startupPhase
		if (left || !n.ownsAny()) && !n.owners.shouldJoin(time.Now(), self, n.settings.Log.Partitions, starting) {
			n.assignmentKnown.Store(true)
			sleep(ctx, joinInterval)
			continue
		}
		if left = n.ownsAny() && n.owners.shouldLeave(self, n.settings.Log.Partitions); left {
			logrus.WithField("cores", self.cores).Info("entry leaves its partitions to owners with more cores")
			n.leaveGroup(log, m)
			n.requestAssignmentRefresh()
			sleep(ctx, assignmentInterval)
			continue
		}
		began := time.Now()
		joinCtx, cancel := n.logRestored.callContext(ctx)
		share, err := log.Join(joinCtx, m, timeout.Timeout())
		interrupted := joinCtx.Err() != nil
		cancel()
		if ctx.Err() != nil {
			break
		}
		if interrupted && err != nil {
			continue
		}
		recordAttempt(timeout, began, false, err)
		n.recordLogResult(dep, err)
		if err != nil {
			n.waitForJoin(ctx)
			continue
		}
		m.Generation = share.Generation
		n.assignmentKnown.Store(true)
		if joins++; joins == 1 {
			sleep(ctx, n.settleDelay)
			continue
		}
		if !n.setOwned(share.Partitions) {
			n.waitForJoin(ctx)
		}
	}
	n.leaveGroup(log, m)
	n.awaitReleased()
}

// leaveGroup takes this entry out of the group and begins to hand its partitions over.
func (n *Node) leaveGroup(log *platform.Log, m *site.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout+handoverTimeout)
	defer cancel()
	if err := log.Leave(ctx, m); err != nil {
		logrus.WithError(err).Warn("entry could not leave the group; its partitions are reassigned once its membership expires")
	}
	notifyPeers(n, leftKind, &empty{})
	n.releaseExcept(nil)
}

// waitForJoin waits until the next join is due or another entry has left the group.
func (n *Node) waitForJoin(ctx context.Context) {
	t := time.NewTimer(n.joinDelay(time.Now()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.rejoin:
	case <-ctx.Done():
	}
}

// joinDelay returns the time until the next join. It is shorter during start-up, while
// other entries are still joining, so that the assignment settles soon.
func (n *Node) joinDelay(now time.Time) time.Duration {
	if now.Sub(n.startedAt) < startupPhase {
		return joinInterval / 4
	}
	return joinInterval
}

// setOwned claims and releases partitions so that this entry owns exactly the given ones.
// It reports whether it began to release any. The caller then joins again at once: the join
// confirms the new assignment, and only then can another entry get the partitions.
func (n *Node) setOwned(partitions []int) bool {
	keep := map[int]bool{}
	for _, p := range partitions {
		keep[p] = true
	}
	releaseBegan := n.releaseExcept(keep)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isAborted() {
		return false
	}
	for p := range keep {
		if part := n.partitions[p]; part != nil {
			part.releasing.Store(false)
			continue
		}
		logrus.WithField("partition", p).Info("partition assigned")
		n.partitions[p] = newOwnedPartition(context.Background(), n, p)
	}
	return releaseBegan
}

// releaseExcept begins to release all partitions but those to keep. It reports whether the
// release of at least one began now.
func (n *Node) releaseExcept(keep map[int]bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	releaseBegan := false
	for p, part := range n.partitions {
		if !keep[p] && !part.releasing.Swap(true) {
			releaseBegan = true
			go n.releaseAfter(part, releaseDelay)
		}
	}
	return releaseBegan
}

// awaitReleased waits until all partitions are released, at most for the time that a
// releasing owner keeps serving and stores its last changes.
func (n *Node) awaitReleased() {
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(releaseDelay + handoverTimeout); n.ownsAny() && time.Now().Before(end); time.Sleep(poll) {
		continue
	}
}

// requestAssignmentRefresh makes watchAssignment read the assignment soon.
func (n *Node) requestAssignmentRefresh() {
	wake(n.assignmentRefresh)
}

// wake sends to a channel with a buffer of one, unless a wake-up is already pending.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// watchAssignment keeps the partition assignment up to date.
func (n *Node) watchAssignment(ctx context.Context) {
	log := platform.NewLog(n.settings)
	defer log.Close()
	dep := &dependency{name: "partition assignment"}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-n.assignmentRefresh:
		case <-ctx.Done():
			return
		}
		callCtx, cancel := n.logRestored.callContext(ctx)
		members, err := log.Owners(callCtx)
		cancel()
		n.recordLogResult(dep, err)
		if err == nil {
			n.owners.setAssignment(time.Now(), members, n.settings.Log.Partitions)
		}
		sleep(ctx, minAssignmentInterval)
		if time.Since(n.startedAt) < startupPhase && len(n.owners.peers(n.address)) == 0 {
			timer.Reset(0) // without an owner to sync with, an entry that the log rejects now would get no configuration
			continue
		}
		timer.Reset(assignmentInterval)
	}
}

// watchOperator applies the operator's configurations and maintenance waves as they appear
// in the log.
func (n *Node) watchOperator(ctx context.Context) {
	w := platform.NewWatch(n.settings, site.Operator, operatorReadWait)
	dep := &dependency{name: "operator records"}
	for ctx.Err() == nil {
		began := time.Now()
		changes, snapshot, err := w.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		n.recordLogResult(dep, err)
		n.logRejects.Store(err != nil)
		if err != nil {
			sleep(ctx, watchBackoff)
			continue
		}
		for _, c := range changes {
			n.applyOperatorChange(&c, snapshot)
		}
		n.confirmed.record(began)
	}
}

// applyOperatorChange applies a change. A snapshot holds the newest configuration alone.
func (n *Node) applyOperatorChange(c *site.Change, snapshot bool) {
	switch {
	case c.Config != nil:
		n.setConfig(c.Config, "log", snapshot)
	case c.Wave != nil:
		n.mu.Lock()
		defer n.mu.Unlock()
		seen, known := n.waves[c.Wave.Number]
		if !known {
			seen.seenAt = time.Now()
			logrus.WithFields(logrus.Fields{"wave": c.Wave.Number, "machines": len(c.Wave.Machines), "within-ms": c.Wave.WithinMS, "at-once": c.Wave.AtOnce}).Info("maintenance wave requested")
		}
		n.waves[c.Wave.Number] = seenWave{Wave: *c.Wave, seenAt: seen.seenAt}
	}
}

// watchVMs keeps the VM list up to date while this entry owns partitions.
func (n *Node) watchVMs(ctx context.Context) {
	w := platform.NewWatch(n.settings, site.Servers, 0)
	dep := &dependency{name: "VM list"}
	for ctx.Err() == nil {
		if !n.ownsAny() {
			sleep(ctx, joinInterval)
			continue
		}
		callCtx, cancel := n.logRestored.callContext(ctx)
		changes, snapshot, err := w.Next(callCtx)
		cancel()
		n.recordLogResult(dep, err)
		if err == nil {
			n.applyVMChanges(changes, snapshot)
		}
		pause := vmListInterval
		if time.Now().UnixNano() < n.incomingUntil.Load() {
			pause = vmListIntervalIncoming
		}
		sleep(ctx, pause)
	}
}

// ownsAny reports whether this entry owns a partition or is claiming one.
func (n *Node) ownsAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.partitions) > 0
}

// applyVMChanges updates the VM list and passes it to the schedulers. If snapshot is set, the
// changes describe the whole list.
func (n *Node) applyVMChanges(changes []site.Change, snapshot bool) {
	n.mu.Lock()
	n.vmsReadAt = time.Now()
	if snapshot {
		n.vms = map[string]site.VM{}
	}
	for _, c := range changes {
		if c.VM != nil {
			n.vms[c.VM.ID] = *c.VM
		}
		delete(n.vms, c.RemovedVM)
	}
	parts := make([]*ownedPartition, 0, len(n.partitions))
	for _, part := range n.partitions {
		parts = append(parts, part)
	}
	n.mu.Unlock()
	for _, part := range parts {
		if part.isLoaded() {
			list, _ := n.vmsOf(part.number)
			part.post(func(now time.Time) { part.scheduler.SetVMs(now, list) })
		}
	}
}

// syncWithPeers fetches the configuration and the owners from one other entry after the other, in case
// the platform answers them but not this entry. An interval includes the time of its call, so that a
// peer that does not answer delays the next call no longer than one that does.
func (n *Node) syncWithPeers(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		age, known := n.confirmed.age(began)
		rejected := n.logRejects.Load() || !known || age > recentConfirmation
		if address := n.syncPeers.next(began, n.owners.peers(n.address), rejected); address != "" {
			if err := n.syncWith(ctx, address); err != nil && !errors.Is(err, context.Canceled) {
				logrus.WithError(err).Debug("sync with another entry failed")
			}
		}
		sleep(ctx, syncInterval-time.Since(began))
	}
}

func (n *Node) syncWith(ctx context.Context, address string) error {
	began := time.Now()
	call := &syncCall{Address: n.address, ConfigAgeMS: n.confirmed.ageMS(began)}
	if cfg := n.config.Load(); cfg != nil {
		call.ConfigVersion = cfg.Version
	}
	callCtx, cancel := context.WithTimeout(ctx, syncInterval)
	defer cancel()
	r, err := peer.Call[syncCall, syncReply](callCtx, n.peer(address), syncKind, call)
	if err != nil {
		n.syncPeers.recordCall(address, began, false, time.Time{})
		return err
	}
	n.syncPeers.recordCall(address, began, true, confirmedAt(began, r.ConfigAgeMS))
	n.hearOf(r.Entries, began)
	if r.Config != nil {
		n.setConfig(r.Config, address, true)
	}
	if at := confirmedAt(began, r.ConfigAgeMS); !at.IsZero() {
		n.confirmed.record(at)
	}
	for p, info := range r.Owners {
		n.handleClaim(p, info, address)
	}
	return nil
}

// hearOf records the entries that another entry named, with the ages of their confirmations in
// milliseconds at the given time.
func (n *Node) hearOf(ages map[string]int64, at time.Time) {
	for address, age := range ages {
		if address != n.address && address != "" {
			n.syncPeers.heardOf(address, confirmedAt(at, age))
		}
	}
}

// confirmedAt returns the time of a confirmation from its age in milliseconds at a given time, the zero
// time for a negative age, which stands for no confirmation.
func confirmedAt(now time.Time, ageMS int64) time.Time {
	if ageMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
