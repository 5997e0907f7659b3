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
	ownerCores   = 0.3                     // an entry with less leaves partitions to others while each has an owner
	joinEvery    = 300 * time.Millisecond  // three joins fit a member's life
	startPhase   = 3 * time.Second         // of a process, in which others may start as well
	memberTTL    = 1000 * time.Millisecond // a silent entry loses its partitions after it; the shortest that the log allows
	handOver     = 400 * time.Millisecond  // for the last changes of a partition
	ownersEvery  = time.Second
	ownersGap    = 100 * time.Millisecond // between two reads of the owners
	serversEvery = 400 * time.Millisecond // between two reads of the VM list; it lags by more
	serversSoon  = 100 * time.Millisecond // the same while VMs are on their way to a pool of this entry
	operatorWait = 700 * time.Millisecond // of a read without news; the log may leave a waiting read asleep
	watchRetry   = 250 * time.Millisecond
	syncEvery    = 400 * time.Millisecond
)

// dependency logs when something that the entry needs is lost and regained.
type dependency struct {
	name string
	lost time.Time
}

func (d *dependency) report(err error) {
	switch {
	case err != nil && d.lost.IsZero():
		d.lost = time.Now()
		logrus.WithError(err).WithField("dependency", d.name).Warn("dependency lost")
	case err == nil && !d.lost.IsZero():
		logrus.WithFields(logrus.Fields{"dependency": d.name, "after-ms": time.Since(d.lost).Milliseconds()}).Info("dependency regained")
		d.lost = time.Time{}
	}
}

// member takes part in sharing out the partitions until the context ends, then
// hands its own over.
func (n *Node) member(ctx context.Context, done chan struct{}) {
	defer close(done)
	log := platform.NewLog(n.set)
	defer log.Close()
	m := &site.Member{Name: memberName(n.set.Entry, n.address), TTLMS: max(int(memberTTL.Milliseconds()), n.set.Log.MinTTLMS)}
	dep := &dependency{name: "group of entries"}
	for ctx.Err() == nil {
		if n.set.Cores < ownerCores && !n.owns() && n.owners.complete(n.set.Log.Partitions) {
			n.joined.Store(true)
			sleep(ctx, joinEvery)
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
			changed = n.ownOnly(share.Partitions)
			n.joined.Store(true)
		}
		if !changed {
			n.awaitJoin(ctx)
		}
	}
	end, cancel := context.WithTimeout(context.Background(), handOver+handOver)
	defer cancel()
	if err := log.Leave(end, m); err != nil {
		logrus.WithError(err).Warn("entry could not leave the group; its partitions are free once it is silent")
	}
	tell(n, leftKind, &none{})
	n.release(nil)
	n.awaitReleased()
}

// awaitJoin waits until the next join is due, or another entry has left.
func (n *Node) awaitJoin(ctx context.Context) {
	t := time.NewTimer(n.joinPause(time.Now()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.rejoin:
	case <-ctx.Done():
	}
}

// joinPause returns the time to the next join: short while entries that started
// together are still coming, so that partitions soon rest where they stay.
func (n *Node) joinPause(now time.Time) time.Duration {
	if now.Sub(n.started) < startPhase {
		return joinEvery / 4
	}
	return joinEvery
}

// ownOnly opens and closes shards so that this entry owns just the given
// partitions. It reports whether it closed one, which another entry waits for.
func (n *Node) ownOnly(partitions []int) bool {
	keep := map[int]bool{}
	for _, p := range partitions {
		keep[p] = true
	}
	closed := n.release(keep)
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range keep {
		if sh := n.shards[p]; sh != nil {
			sh.leaving.Store(false)
			continue
		}
		logrus.WithField("partition", p).Info("partition assigned")
		n.shards[p] = newShard(context.Background(), n, p)
	}
	return closed
}

// release begins to give up all partitions but those to keep. It reports whether there
// was one that is not given up yet.
func (n *Node) release(keep map[int]bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	begun := false
	for p, sh := range n.shards {
		if !keep[p] && !sh.leaving.Swap(true) {
			begun = true
			go n.leave(sh, yieldWait)
		}
	}
	return begun
}

// awaitReleased waits until the partitions have gone to other entries, or for as long as
// an owner works on for them.
func (n *Node) awaitReleased() {
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(yieldWait + handOver); n.owns() && time.Now().Before(end); time.Sleep(poll) {
		continue
	}
}

// askOwners asks for the owners to be read soon.
func (n *Node) askOwners() {
	wake(n.refresh)
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
	log := platform.NewLog(n.set)
	defer log.Close()
	dep := &dependency{name: "assignment of partitions"}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-n.refresh:
		case <-ctx.Done():
			return
		}
		members, err := log.Owners(ctx)
		dep.report(err)
		if err == nil {
			n.owners.assign(members)
		}
		sleep(ctx, ownersGap)
		timer.Reset(ownersEvery)
	}
}

// watchOperator follows the operator's records.
func (n *Node) watchOperator(ctx context.Context) {
	w := platform.NewWatch(n.set, site.Operator, operatorWait)
	dep := &dependency{name: "operator's records"}
	for ctx.Err() == nil {
		changes, _, err := w.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.report(err)
		if err != nil {
			sleep(ctx, watchRetry)
			continue
		}
		for _, c := range changes {
			n.operatorChange(&c)
		}
	}
}

func (n *Node) operatorChange(c *site.Change) {
	switch {
	case c.Config != nil:
		n.setConfig(c.Config, "log")
	case c.Wave != nil:
		n.mu.Lock()
		defer n.mu.Unlock()
		seen, known := n.waves[c.Wave.Number]
		if !known {
			seen.at = time.Now()
			logrus.WithFields(logrus.Fields{"wave": c.Wave.Number, "machines": len(c.Wave.Machines), "within-ms": c.Wave.WithinMS, "at-once": c.Wave.AtOnce}).Info("maintenance wave")
		}
		n.waves[c.Wave.Number] = seenWave{Wave: *c.Wave, at: seen.at}
	}
}

// watchServers keeps the list of VMs current while this entry owns partitions.
func (n *Node) watchServers(ctx context.Context) {
	w := platform.NewWatch(n.set, site.Servers, 0)
	dep := &dependency{name: "list of VMs"}
	for ctx.Err() == nil {
		if !n.owns() {
			sleep(ctx, joinEvery)
			continue
		}
		changes, whole, err := w.Next(ctx)
		dep.report(err)
		if err == nil {
			n.serverChanges(changes, whole)
		}
		pause := serversEvery
		if time.Now().UnixNano() < n.coming.Load() {
			pause = serversSoon
		}
		sleep(ctx, pause)
	}
}

func (n *Node) owns() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.shards) > 0
}

func (n *Node) serverChanges(changes []site.Change, whole bool) {
	n.mu.Lock()
	if whole {
		n.servers = map[string]site.VM{}
	}
	for _, c := range changes {
		if c.VM != nil {
			n.servers[c.VM.ID] = *c.VM
		}
		delete(n.servers, c.RemovedVM)
	}
	shards := make([]*shard, 0, len(n.shards))
	for _, sh := range n.shards {
		shards = append(shards, sh)
	}
	n.mu.Unlock()
	for _, sh := range shards {
		if sh.isLoaded() {
			list := n.vmsOf(sh.partition)
			sh.post(func(now time.Time) { sh.core.SetVMs(now, list) })
		}
	}
}

// syncPeers asks other entries for the configuration and the owners, for a time in
// which the platform serves them and not this entry.
func (n *Node) syncPeers(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		sleep(ctx, syncEvery)
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
	limit, cancel := context.WithTimeout(ctx, syncEvery)
	defer cancel()
	r, err := peer.Call[syncCall, syncReply](limit, n.peer(address), syncKind, ask)
	if err != nil {
		return err
	}
	if r.Config != nil {
		n.setConfig(r.Config, address)
	}
	for p, info := range r.Owners {
		n.heardClaim(p, info, address)
	}
	return nil
}
