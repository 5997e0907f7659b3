package drive

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/httpc"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	peerTimeout     = 1200 * time.Millisecond // the longest for one answer of another entry
	stopDelay       = 2500 * time.Millisecond // after SIGTERM: the balancer needs two misses of 1 s
	inFlightTimeout = 1500 * time.Millisecond // of the shutdown grace, for the requests in flight
	headerTimeout   = 3 * time.Second         // for a caller to send its request's header
	idleTimeout     = 15 * time.Second        // for a caller's connection without a request
	maxHeaderBytes  = 16 << 10
	notifyTimeout   = 300 * time.Millisecond // for an announcement
)

// Node is one entry that schedules jobs.
type Node struct {
	settings      *site.Settings
	policy        sched.Policy
	address       string // of its peer interface
	startedAt     time.Time
	incarnation   string // incarnation
	config        atomic.Pointer[site.Config]
	owners        ownerTable
	stopping      atomic.Bool
	aborted       chan struct{} // closed to end without a handover, as a kill would
	incomingUntil atomic.Int64  // VMs are expected until then, in Unix nanoseconds
	joined        atomic.Bool   // the job log's partitions have been shared out once

	mu           sync.Mutex
	partitions   map[int]*ownedPartition
	peers        map[string]*peer.Client
	vms          map[string]site.VM
	waves        map[int64]seenWave   // by number
	queueMovedAt map[string]time.Time // queues that changed their pool, by name

	ownersRefresh chan struct{} // asks for the owners to be read anew
	rejoin        chan struct{} // an entry has left: its partitions are to be shared out

	adviceMu   sync.Mutex
	adviceConn *httpc.Conn
}

// seenWave is a maintenance wave with the time at which this entry first saw it.
type seenWave struct {
	site.Wave
	seenAt time.Time
}

// New returns a node that is not running yet.
func New(set *site.Settings) *Node {
	return &Node{
		settings: set, startedAt: time.Now(), address: set.AnnouncedAddress(), incarnation: set.Entry + "-" + uuid.NewString()[:8],
		policy:     schedPolicy(set),
		partitions: map[int]*ownedPartition{}, peers: map[string]*peer.Client{}, vms: map[string]site.VM{}, waves: map[int64]seenWave{}, queueMovedAt: map[string]time.Time{},
		ownersRefresh: make(chan struct{}, 1), rejoin: make(chan struct{}, 1), aborted: make(chan struct{}),
	}
}

// Run serves until the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	logrus.WithFields(logrus.Fields{"entry": n.settings.Entry, "incarnation": n.incarnation}).Info("entry started")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 4)
	ps := peer.NewServer(func() []string { return nil })
	n.handlePeerCalls(ps)
	n.handleOperatorCalls(ps)
	ln, err := net.Listen("tcp", n.settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	defer ln.Close()
	go func() { failed <- ps.Serve(work, ln) }()
	front := &http.Server{Addr: n.settings.Callers, Handler: platform.Ingress(n), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	ready := &http.Server{Addr: n.settings.Ready, Handler: platform.ReadyHandler(n), ReadHeaderTimeout: headerTimeout}
	inner := &http.Server{Addr: n.settings.MetricsAddress(), Handler: http.HandlerFunc(serveMetrics), ReadHeaderTimeout: headerTimeout}
	for _, s := range []*http.Server{front, ready, inner} {
		go func() { failed <- s.ListenAndServe() }()
	}
	go n.watchOperator(work)
	go n.watchVMs(work)
	go n.watchOwners(work)
	go n.syncPeers(work)
	memberDone := make(chan struct{})
	memberCtx, leave := context.WithCancel(work)
	defer leave()
	go n.runMembership(memberCtx, memberDone)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	case <-n.aborted:
		n.dropPartitions()
		for _, s := range []*http.Server{front, ready, inner} {
			s.Close()
		}
		ps.Close()
		return errAborted
	}
	n.stopping.Store(true)
	told := time.Now()
	logrus.Info("entry stops: partitions are handed over")
	leave()
	<-memberDone
	sleep(work, stopDelay-time.Since(told))
	end, cancelEnd := context.WithTimeout(work, inFlightTimeout)
	defer cancelEnd()
	if err := front.Shutdown(end); err != nil {
		logrus.WithError(err).Warn("requests were still in flight at the end")
	}
	logrus.Info("entry stopped")
	return nil
}

var errAborted = errors.New("entry aborted")

// abort ends the entry at once, without a word to anyone.
func (n *Node) abort() {
	select {
	case <-n.aborted:
	default:
		close(n.aborted)
	}
}

func (n *Node) dropPartitions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, part := range n.partitions {
		part.cancel()
		delete(n.partitions, p)
	}
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

// Config returns the configuration in force, nil before the first.
func (n *Node) Config() *site.Config { return n.config.Load() }

// Stopping reports whether the process is about to end.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Ready reports whether new connections are welcome.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.config.Load() != nil && n.joined.Load()
}

// partitionOf returns the partition that a pool's jobs are in.
func (n *Node) partitionOf(pool string) int {
	return int(xxhash.Sum64String(pool) % uint64(n.settings.Log.Partitions))
}

// vmsOf returns the VMs of a partition's pools.
func (n *Node) vmsOf(partition int) []site.VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []site.VM
	for _, v := range n.vms {
		if n.partitionOf(v.Pool) == partition {
			list = append(list, v)
		}
	}
	return list
}

// setConfig takes over a configuration if it is newer.
func (n *Node) setConfig(c *site.Config, from string) {
	for {
		old := n.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if n.config.CompareAndSwap(old, c) {
			n.recordQueueMoves(old, c, time.Now())
			logrus.WithFields(logrus.Fields{"version": c.Version, "from": from, "routes": len(c.Routes)}).Info("configuration in force")
			return
		}
	}
}

// ownedPartition returns the shard of a partition, nil if another entry owns it.
func (n *Node) ownedPartition(partition int) *ownedPartition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[partition]
}

// announceClaim takes note that this entry has become a partition's owner and tells the
// others.
func (n *Node) announceClaim(partition int, epoch int64) {
	info := ownerInfo{Epoch: epoch, Address: n.address}
	n.owners.recordClaim(partition, info)
	notifyPeers(n, announceKind, &announcement{Partition: partition, Owner: info})
}

// notifyPeers sends a message to all known entries. One that does not get it learns of the
// matter later, from the log or by a sync.
func notifyPeers[T any](n *Node, kind string, message *T) {
	for _, address := range n.owners.peers(n.address) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			if _, err := peer.Call[T, empty](ctx, n.peer(address), kind, message); err != nil {
				logrus.WithError(err).WithFields(logrus.Fields{"peer": address, "kind": kind}).Debug("entry was not told")
			}
		}()
	}
}

// removePartition removes a shard whose partition has another owner.
func (n *Node) removePartition(part *ownedPartition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions[part.number] == part {
		delete(n.partitions, part.number)
	}
}

func (n *Node) peer(address string) *peer.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.peers[address]
	if c == nil {
		c = peer.NewClient(address, n.incarnation, func() string { return "" })
		n.peers[address] = c
	}
	return c
}

func (n *Node) handlePeerCalls(s *peer.Server) {
	peer.Handle(s, jobCallKind, func(ctx context.Context, _ string, c *jobCall) (*site.Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitMS)*time.Millisecond)
		defer cancel()
		r := n.callLocal(ctx, c)
		return &r, nil
	})
	peer.Handle(s, syncKind, func(_ context.Context, _ string, c *syncCall) (*syncReply, error) {
		r := &syncReply{Owners: n.owners.claims()}
		if cfg := n.config.Load(); cfg != nil && cfg.Version > c.ConfigVersion {
			r.Config = cfg
		}
		return r, nil
	})
	peer.Handle(s, reportKind, func(ctx context.Context, _ string, c *reportCall) (*sched.Report, error) {
		return n.reportLocal(ctx, c)
	})
	peer.Handle(s, leftKind, func(context.Context, string, *empty) (*empty, error) {
		wake(n.rejoin)
		return &empty{}, nil
	})
	peer.Handle(s, yieldKind, func(ctx context.Context, _ string, c *yieldCall) (*yieldReply, error) {
		return &yieldReply{Yielded: n.yield(ctx, c)}, nil
	})
	peer.Handle(s, announceKind, func(_ context.Context, _ string, a *announcement) (*empty, error) {
		n.handleClaim(a.Partition, a.Owner, "announcement")
		return &empty{}, nil
	})
}

// handleClaim takes over what another entry says of an owner. A shard of one's own
// with a lower epoch ends.
func (n *Node) handleClaim(partition int, info ownerInfo, from string) {
	if !n.owners.recordClaim(partition, info) {
		return
	}
	logrus.WithFields(logrus.Fields{"partition": partition, "epoch": info.Epoch, "owner": info.Address, "from": from}).Debug("partition has a new owner")
	if part := n.ownedPartition(partition); part != nil && info.Address != n.address {
		part.post(func(time.Time) {
			if part.scheduler.Epoch < info.Epoch {
				part.scheduler.MarkFenced()
			}
		})
	}
}

func (n *Node) callLocal(ctx context.Context, c *jobCall) site.Reply {
	part := n.ownedPartition(c.Partition)
	if part == nil {
		return site.Reply{Outcome: site.NotOwner, Reason: "another entry owns the partition"}
	}
	return part.call(ctx, c)
}

var errNoOwner = errors.New("no owner is known")
