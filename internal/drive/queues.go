package drive

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	queuesInterval = 50 * time.Millisecond  // between two attempts to learn the queues of all partitions
	queuesTimeout  = 300 * time.Millisecond // for an owner to name the queues of its jobs
	lookUpWindow   = 10 * time.Second       // for which a job is not accepted after another partition was about to; longer than callers retry
	maxLookUps     = 10_000                 // remembered by a partition
)

// queuesCall asks a partition's owner for the queues of its jobs.
type queuesCall struct{ Partition int }

// queuesReply names the queues of the jobs that the partition holds. Owner is false if the entry does not own it.
type queuesReply struct {
	Owner  bool
	Queues []string
	// ConfigVersion is that of the owner's configuration; 0 from earlier versions of the program.
	ConfigVersion int64
}

// queueHistory tells which queues may have jobs in the partitions of former pools. A new entry learns that from
// the owners of all partitions; until each of them has answered, any queue may. A queue that is dropped is
// remembered, since a later configuration may add it with another pool.
type queueHistory struct {
	mu         sync.Mutex
	partitions int
	keep       time.Duration              // how long jobs are known after their end
	unknown    map[int]bool               // partitions whose owners have not answered yet
	startedAt  time.Time                  // of the entry, or when it last missed configurations; later moves are known from these
	firstSeen  int64                      // version of the first configuration since; 0 before it
	pools      map[string]formerPool      // by host and path prefix of a queue
	movedAt    map[string]time.Time       // when a queue last changed its pool, by queue name
	seenPools  map[string]map[string]bool // pools that a queue has had in the configurations of this entry, by queue name
	heldIn     map[string]map[int]bool    // partitions that held jobs of a queue at startedAt or soon after, by queue name
	restarted  chan struct{}              // holds a token once partitions have become unknown again
}

// formerPool is the last pool of a queue. droppedAt is zero while the queue is in the configuration.
type formerPool struct {
	pool      string
	droppedAt time.Time
}

func newQueueHistory(now time.Time, partitions int, keep time.Duration) *queueHistory {
	h := &queueHistory{
		partitions: partitions, keep: keep, startedAt: now, unknown: map[int]bool{}, pools: map[string]formerPool{}, seenPools: map[string]map[string]bool{}, movedAt: map[string]time.Time{}, restarted: make(chan struct{}, 1),
	}
	h.restart(now)
	return h
}

// restart forgets which partitions hold jobs of which queues; h.mu is held, except in newQueueHistory.
func (h *queueHistory) restart(now time.Time) {
	h.startedAt, h.firstSeen, h.heldIn = now, 0, map[string]map[int]bool{}
	for p := range h.partitions {
		h.unknown[p] = true
	}
	select {
	case h.restarted <- struct{}{}:
	default:
	}
}

// configure records the queues of a new configuration. After missed ones, in which a queue may have moved away and back,
// the entry knows no more about the queues than one that starts.
func (h *queueHistory) configure(now time.Time, c *site.Config, missed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if missed && h.firstSeen != 0 {
		h.restart(now)
	}
	if h.firstSeen == 0 {
		h.firstSeen = c.Version
	}
	present := map[string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		key := r.Host + r.Prefix
		present[key] = true
		if last, known := h.pools[key]; known && last.pool != r.Pool {
			h.movedAt[r.Name] = now
		}
		h.pools[key] = formerPool{pool: r.Pool}
		if h.seenPools[r.Name] == nil {
			h.seenPools[r.Name] = map[string]bool{}
		}
		h.seenPools[r.Name][r.Pool] = true
	}
	for key, last := range h.pools {
		switch {
		case present[key]:
		case last.droppedAt.IsZero():
			h.pools[key] = formerPool{pool: last.pool, droppedAt: now}
		case now.Sub(last.droppedAt) > h.keep:
			delete(h.pools, key)
		}
	}
}

// learn records the queues of the jobs in a partition, by an answer of its owner. An owner with an older configuration
// than the first one of this entry may still accept jobs of a queue that has moved away before, so its answer does not
// say which jobs the partition will hold.
func (h *queueHistory) learn(partition int, r *queuesReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstSeen == 0 || (r.ConfigVersion > 0 && r.ConfigVersion < h.firstSeen) {
		return
	}
	delete(h.unknown, partition)
	for _, q := range r.Queues {
		if h.heldIn[q] == nil {
			h.heldIn[q] = map[int]bool{}
		}
		h.heldIn[q][partition] = true
	}
}

// missing returns the partitions whose queues are not known yet; none once the jobs of that time are forgotten.
func (h *queueHistory) missing(now time.Time) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.startedAt) > h.keep {
		return nil
	}
	var list []int
	for p := range h.unknown {
		list = append(list, p)
	}
	slices.Sort(list)
	return list
}

// elsewhere returns the partitions, other than the given one, that may hold jobs of a queue.
func (h *queueHistory) elsewhere(now time.Time, queue string, partition int) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, moved := h.movedAt[queue]
	moved = moved && now.Sub(at) < h.keep
	started := now.Sub(h.startedAt) < h.keep
	var list []int
	for p := range h.partitions {
		if p != partition && (moved || (started && (h.unknown[p] || h.heldIn[queue][p]))) {
			list = append(list, p)
		}
	}
	return list
}

// holders returns the partitions that may hold jobs of a queue, the given one among them. partitionOf returns that of a
// pool. Unlike elsewhere, it has no end: a job may wait for any time.
func (h *queueHistory) holders(queue string, partition int, partitionOf func(pool string) int) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := map[int]bool{partition: true}
	for pool := range h.seenPools[queue] {
		found[partitionOf(pool)] = true
	}
	maps.Copy(found, h.unknown)
	maps.Copy(found, h.heldIn[queue])
	return slices.Sorted(maps.Keys(found))
}

// learnQueues asks the owners of all partitions for the queues of their jobs until each has answered, after the start and
// each time that the history restarts.
func (n *Node) learnQueues(ctx context.Context) {
	for {
		select {
		case <-n.queues.restarted:
			n.learnQueuesOnce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) learnQueuesOnce(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		missing := n.queues.missing(time.Now())
		if len(missing) == 0 {
			logrus.WithField("took-ms", time.Since(began).Milliseconds()).Info("queues of all partitions known")
			return
		}
		var asked sync.WaitGroup
		slots := make(chan struct{}, concurrentLookUps)
		for _, p := range missing {
			asked.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				if r := n.askQueues(ctx, p); r != nil && r.Owner {
					n.queues.learn(p, r)
				}
			})
		}
		asked.Wait()
		sleep(ctx, queuesInterval)
	}
}

// askQueues asks a partition's owner for the queues of its jobs; the reply is nil if none answers.
func (n *Node) askQueues(ctx context.Context, partition int) *queuesReply {
	c := &queuesCall{Partition: partition}
	ctx, cancel := context.WithTimeout(ctx, queuesTimeout)
	defer cancel()
	if r, err := n.queuesLocal(ctx, c); err == nil && r.Owner {
		return r
	}
	for _, address := range n.owners.addresses(partition) {
		if address == n.address {
			continue
		}
		r, err := peer.Call[queuesCall, queuesReply](ctx, n.peer(address), queuesKind, c)
		if err != nil {
			logrus.WithError(err).WithFields(logrus.Fields{"peer": address, "partition": partition}).Debug("owner did not name the queues of its jobs")
			continue
		}
		if r.Owner {
			return r
		}
	}
	return nil
}

// queuesLocal names the queues of the jobs in a partition of this entry. A later owner may have jobs of other queues, so
// the log has to confirm the ownership first.
func (n *Node) queuesLocal(ctx context.Context, c *queuesCall) (*queuesReply, error) {
	part := n.lookupPartition(c.Partition)
	if part == nil || !part.isLoaded() {
		return &queuesReply{}, nil
	}
	return runOnceConfirmed(ctx, part, func(part *ownedPartition, _ time.Time, confirmed bool) *queuesReply {
		cfg := part.node.Config()
		if !confirmed || cfg == nil || part.scheduler.Retired() || part.scheduler.Fenced() {
			return &queuesReply{}
		}
		return &queuesReply{Owner: true, Queues: part.scheduler.Queues(), ConfigVersion: cfg.Version}
	})
}

// lookUps are the jobs that other partitions have looked up before they accept them.
type lookUps map[string]time.Time

// record records a look-up of a job that this partition does not hold.
func (l lookUps) record(now time.Time, id string) {
	if len(l) >= maxLookUps {
		for x, at := range l {
			if now.Sub(at) > lookUpWindow {
				delete(l, x)
			}
		}
	}
	if len(l) < maxLookUps {
		l[id] = now
	}
}

// recent reports whether another partition may have accepted a job.
func (l lookUps) recent(now time.Time, id string) bool {
	at, found := l[id]
	return found && now.Sub(at) < lookUpWindow
}

// lookUpsLost reports whether an earlier owner of the partition may have known a look-up of the job that a request
// submits, and this owner cannot tell by the configurations that no other partition has accepted the job. Who looked
// it up had a configuration that the log held before the takeover; so a configuration that was confirmed since is
// at least as new, and a request that was sent by it has gone to the partition that accepts the job.
func (part *ownedPartition) lookUpsLost(now time.Time, c *jobCall) bool {
	if part.claimed.lastEpoch == 0 || now.Sub(part.claimedAt) >= lookUpWindow {
		return false
	}
	cfg := part.node.Config()
	return !part.node.confirmed.since(part.claimedAt) || (c.ConfigVersion > 0 && cfg != nil && c.ConfigVersion < cfg.Version)
}

// movedAway reports whether a queue belongs to another partition by a configuration that is newer than the one
// by which a request was sent here.
func (part *ownedPartition) movedAway(c *jobCall) bool {
	cfg := part.node.Config()
	if cfg == nil || c.ConfigVersion == 0 || cfg.Version <= c.ConfigVersion {
		return false
	}
	for i := range cfg.Routes {
		if cfg.Routes[i].Name == c.Queue {
			return part.node.partitionOf(cfg.Routes[i].Pool) != part.number
		}
	}
	return true
}
