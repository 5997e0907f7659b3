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
	minOwnerCores          = 0.3                     // an entry with less leaves partitions to others while each has an owner
	joinInterval           = 300 * time.Millisecond  // three joins fit a member's life
	startupPhase           = 3 * time.Second         // of a process, in which others may start as well
	memberTTL              = 1000 * time.Millisecond // a silent entry loses its partitions after it; the shortest that the log allows
	handoverTimeout        = 400 * time.Millisecond  // for the last changes of a partition
	ownersInterval         = time.Second
	minOwnersInterval      = 100 * time.Millisecond // between two reads of the owners
	vmListInterval         = 400 * time.Millisecond // between two reads of the VM list; it lags by more
	vmListIntervalIncoming = 100 * time.Millisecond // the same while VMs are on their way to a pool of this entry
	operatorReadTimeout    = 700 * time.Millisecond // of a read without news; the log may leave a waiting read asleep
	watchBackoff           = 250 * time.Millisecond
	syncInterval           = 400 * time.Millisecond
)

// dependency logs when something that the entry needs is lost and regained.
type dependency struct {
	name   string
	lostAt time.Time
}

func (d *dependency) report(err error) {
	switch {
	case err != nil && d.lostAt.IsZero():
		d.lostAt = time.Now()
		logrus.WithError(err).WithField("dependency", d.name).Warn("dependency lost")
	case err == nil && !d.lostAt.IsZero():
		logrus.WithFields(logrus.Fields{"dependency": d.name, "after-ms": time.Since(d.lostAt).Milliseconds()}).Info("dependency regained")
		d.lostAt = time.Time{}
	}
}

// runMembership takes part in sharing out the partitions until the context ends, then
// hands its own over.
func (n *Node) runMembership(ctx context.Context, done chan struct{}) {
	defer close(done)
	log := platform.NewLog(n.settings)
	defer log.Close()
	m := &site.Member{Name: memberName(n.settings.Entry, n.address), TTLMS: max(int(memberTTL.Milliseconds()), n.settings.Log.MinTTLMS)}
	dep := &dependency{name: "group of entries"}
	for ctx.Err() == nil {
		if n.settings.Cores < minOwnerCores && !n.ownsAny() && n.owners.allAssigned(n.settings.Log.Partitions) {
			n.joined.Store(true)
			sleep(ctx, joinInterval)
			continue
		}
		share, err := log.Join(ctx, m)
		if ctx.Err() != nil {
			break
		}
		dep.report(err)
		changed := false
		if err == nil {
			m.Generation = share.Generation
			changed = n.setOwned(share.Partitions)
			n.joined.Store(true)
		}
		if !changed {
			n.waitForJoin(ctx)
		}
	}
	end, cancel := context.WithTimeout(context.Background(), handoverTimeout+handoverTimeout)
	defer cancel()
	if err := log.Leave(end, m); err != nil {
		logrus.WithError(err).Warn("entry could not leave the group; its partitions are free once it is silent")
	}
	notifyPeers(n, leftKind, &empty{})
	n.releaseExcept(nil)
	n.awaitReleased()
}

// waitForJoin waits until the next join is due, or another entry has left.
func (n *Node) waitForJoin(ctx context.Context) {
	t := time.NewTimer(n.joinDelay(time.Now()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.rejoin:
	case <-ctx.Done():
	}
}

// joinDelay returns the time to the next join: short while entries that started
// together are still coming, so that partitions soon rest where they stay.
func (n *Node) joinDelay(now time.Time) time.Duration {
	if now.Sub(n.startedAt) < startupPhase {
		return joinInterval / 4
	}
	return joinInterval
}

// setOwned opens and closes shards so that this entry owns just the given
// partitions. It reports whether it closed one, which another entry waits for.
func (n *Node) setOwned(partitions []int) bool {
	keep := map[int]bool{}
	for _, p := range partitions {
		keep[p] = true
	}
	closed := n.releaseExcept(keep)
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range keep {
		if part := n.partitions[p]; part != nil {
			part.releasing.Store(false)
			continue
		}
		logrus.WithField("partition", p).Info("partition assigned")
		n.partitions[p] = newOwnedPartition(context.Background(), n, p)
	}
	return closed
}

// releaseExcept begins to give up all partitions but those to keep. It reports whether there
// was one that is not given up yet.
func (n *Node) releaseExcept(keep map[int]bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	begun := false
	for p, part := range n.partitions {
		if !keep[p] && !part.releasing.Swap(true) {
			begun = true
			go n.releaseAfter(part, releaseDelay)
		}
	}
	return begun
}

// awaitReleased waits until the partitions have gone to other entries, or for as long as
// an owner works on for them.
func (n *Node) awaitReleased() {
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(releaseDelay + handoverTimeout); n.ownsAny() && time.Now().Before(end); time.Sleep(poll) {
		continue
	}
}

// requestOwnersRefresh asks for the owners to be read soon.
func (n *Node) requestOwnersRefresh() {
	wake(n.ownersRefresh)
}

// wake sends to a channel that holds one wake-up, unless it holds one already.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// watchOwners keeps the assignment of the partitions current.
func (n *Node) watchOwners(ctx context.Context) {
	log := platform.NewLog(n.settings)
	defer log.Close()
	dep := &dependency{name: "assignment of partitions"}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-n.ownersRefresh:
		case <-ctx.Done():
			return
		}
		members, err := log.Owners(ctx)
		dep.report(err)
		if err == nil {
			n.owners.setAssignment(members)
		}
		sleep(ctx, minOwnersInterval)
		timer.Reset(ownersInterval)
	}
}

// watchOperator follows the operator's records.
func (n *Node) watchOperator(ctx context.Context) {
	w := platform.NewWatch(n.settings, site.Operator, operatorReadTimeout)
	dep := &dependency{name: "operator's records"}
	for ctx.Err() == nil {
		changes, _, err := w.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.report(err)
		if err != nil {
			sleep(ctx, watchBackoff)
			continue
		}
		for _, c := range changes {
			n.applyOperatorChange(&c)
		}
	}
}

func (n *Node) applyOperatorChange(c *site.Change) {
	switch {
	case c.Config != nil:
		n.setConfig(c.Config, "log")
	case c.Wave != nil:
		n.mu.Lock()
		defer n.mu.Unlock()
		seen, known := n.waves[c.Wave.Number]
		if !known {
			seen.seenAt = time.Now()
			logrus.WithFields(logrus.Fields{"wave": c.Wave.Number, "machines": len(c.Wave.Machines), "within-ms": c.Wave.WithinMS, "at-once": c.Wave.AtOnce}).Info("maintenance wave")
		}
		n.waves[c.Wave.Number] = seenWave{Wave: *c.Wave, seenAt: seen.seenAt}
	}
}

// watchVMs keeps the list of VMs current while this entry owns partitions.
func (n *Node) watchVMs(ctx context.Context) {
	w := platform.NewWatch(n.settings, site.Servers, 0)
	dep := &dependency{name: "list of VMs"}
	for ctx.Err() == nil {
		if !n.ownsAny() {
			sleep(ctx, joinInterval)
			continue
		}
		changes, whole, err := w.Next(ctx)
		dep.report(err)
		if err == nil {
			n.applyVMChanges(changes, whole)
		}
		pause := vmListInterval
		if time.Now().UnixNano() < n.incomingUntil.Load() {
			pause = vmListIntervalIncoming
		}
		sleep(ctx, pause)
	}
}

func (n *Node) ownsAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.partitions) > 0
}

func (n *Node) applyVMChanges(changes []site.Change, whole bool) {
	n.mu.Lock()
	if whole {
		n.vms = map[string]site.VM{}
	}
	for _, c := range changes {
		if c.VM != nil {
			n.vms[c.VM.ID] = *c.VM
		}
		delete(n.vms, c.RemovedVM)
	}
	shards := make([]*ownedPartition, 0, len(n.partitions))
	for _, part := range n.partitions {
		shards = append(shards, part)
	}
	n.mu.Unlock()
	for _, part := range shards {
		if part.isLoaded() {
			list := n.vmsOf(part.number)
			part.post(func(now time.Time) { part.scheduler.SetVMs(now, list) })
		}
	}
}

// syncPeers asks other entries for the configuration and the owners, for a time in
// which the platform serves them and not this entry.
func (n *Node) syncPeers(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		sleep(ctx, syncInterval)
		peers := n.owners.peers(n.address)
		if len(peers) == 0 {
			continue
		}
		next++
		if err := n.syncWith(ctx, peers[next%len(peers)]); err != nil && !errors.Is(err, context.Canceled) {
			logrus.WithError(err).Debug("sync with another entry failed")
		}
	}
}

func (n *Node) syncWith(ctx context.Context, address string) error {
	ask := &syncCall{}
	if cfg := n.config.Load(); cfg != nil {
		ask.ConfigVersion = cfg.Version
	}
	limit, cancel := context.WithTimeout(ctx, syncInterval)
	defer cancel()
	r, err := peer.Call[syncCall, syncReply](limit, n.peer(address), syncKind, ask)
	if err != nil {
		return err
	}
	if r.Config != nil {
		n.setConfig(r.Config, address)
	}
	for p, info := range r.Owners {
		n.handleClaim(p, info, address)
	}
	return nil
}
