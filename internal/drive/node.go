package drive

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"github.com/greengagelane/greengagelane/internal/httpd"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/shown"
	"github.com/greengagelane/greengagelane/internal/usage"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	attemptTimeout = 1200 * time.Millisecond // for one attempt to get the reply to a caller's request from an owner
	stopDelay      = 2500 * time.Millisecond // serving continues after SIGTERM until the load balancer has noticed, which takes two failed readiness checks of 1 s
	exitMargin     = 600 * time.Millisecond  // of the shutdown grace, for handing notes on and for the exit
	lastAnswer     = 200 * time.Millisecond  // before the connections of a stopping entry are closed, by which all its requests are answered
	headerTimeout  = 3 * time.Second         // for reading a request's header
	idleTimeout    = 15 * time.Second        // for a keep-alive connection between requests
	maxHeaderBytes = 16 << 10
	notifyTimeout  = 300 * time.Millisecond // for a message that needs no reply
)

// Node is one entry. It takes part in assigning the job log's partitions and runs the
// scheduler for each partition it owns.
type Node struct {
	settings        *site.Settings
	policy          sched.Policy
	address         string // host:port of the peer interface
	startedAt       time.Time
	planDelay       time.Duration // from the start to the first plan of the mover
	settleDelay     time.Duration // from the first join of the group to the next one
	incarnation     string
	config          atomic.Pointer[site.Config]
	confirmed       confirmation // of the configuration
	logRejects      atomic.Bool  // the last read of the operator's records failed
	syncPeers       syncPeers
	accountLabels   accountLabels
	accountLoads    accountLoads
	unauthorizedLog lineLimit
	owners          ownerTable
	stopping        atomic.Bool
	answering       context.Context // ends when a stopping entry has to answer all requests
	endAnswers      context.CancelFunc
	aborted         chan struct{} // closed to exit without a handover, as after SIGKILL
	logFailedAt     atomic.Int64  // Unix nanoseconds; when a call to the log last failed
	logAnsweredAt   atomic.Int64  // Unix nanoseconds; when the log last answered a call
	incomingUntil   atomic.Int64  // Unix nanoseconds; until then VMs are expected to join a pool of this entry
	assignmentKnown atomic.Bool   // the partitions are assigned, to this entry or to others; required for readiness

	mu          sync.Mutex
	partitions  map[int]*ownedPartition
	peers       map[string]*peer.Client
	vms         map[string]site.VM
	vmsReadAt   time.Time          // when the VM list was last read; zero before
	waves       map[int64]seenWave // by wave number
	shown       shown.Notes
	relayLogs   map[int]*relayLog // by partition
	logRestored restoration
	queues      *queueHistory

	assignmentRefresh chan struct{} // holds a pending request to read the partition assignment
	rejoin            chan struct{} // signals that another entry has left the group: this entry joins again, to be assigned some of that entry's partitions

	confirmMu    sync.Mutex      // held during a call of confirmSince
	confirmWatch *platform.Watch // used by confirmSince; nil before the first call

	adviceMu   sync.Mutex // held during a request to the placement policy service
	adviceConn *httpc.Conn
}

// seenWave is a maintenance wave and the time at which this entry first read it.
type seenWave struct {
	site.Wave
	seenAt time.Time
}

// New returns a node; Run starts it.
func New(settings *site.Settings) *Node {
	answering, endAnswers := context.WithCancel(context.Background())
	return &Node{
		answering: answering, endAnswers: endAnswers,
		settings: settings, startedAt: time.Now(), planDelay: startupDelay, settleDelay: settleDelay, address: settings.AnnouncedAddress(), incarnation: settings.Entry + "-" + uuid.NewString()[:8],
		policy:     schedPolicy(settings),
		partitions: map[int]*ownedPartition{}, peers: map[string]*peer.Client{}, vms: map[string]site.VM{}, relayLogs: map[int]*relayLog{}, waves: map[int64]seenWave{},
		queues:            newQueueHistory(time.Now(), settings.Log.Partitions, schedPolicy(settings).KeepFinal),
		assignmentRefresh: make(chan struct{}, 1), rejoin: make(chan struct{}, 1), aborted: make(chan struct{}),
	}
}

// Run serves until the context is cancelled, then hands its partitions over and stops
// gracefully.
func (n *Node) Run(ctx context.Context) error {
	logrus.WithFields(logrus.Fields{"entry": n.settings.Entry, "incarnation": n.incarnation}).Info("entry started")
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 4)
	ps := peer.NewServer(func() []string { return nil })
	n.handlePeerCalls(ps)
	n.handleOperatorCalls(ps)
	ln, err := net.Listen("tcp", n.settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen on the peer address: %w", err)
	}
	defer ln.Close()
	defer n.closeRelayLogs()
	defer ps.Close()
	go func() { failed <- ps.Serve(workCtx, ln) }()
	callersLn, err := net.Listen("tcp", n.settings.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	callers := httpd.New(&http.Server{Handler: platform.Ingress(n), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}, callersLn)
	ready := &http.Server{Addr: n.settings.Ready, Handler: platform.ReadyHandler(n), ReadHeaderTimeout: headerTimeout}
	metricsSrv := &http.Server{Addr: n.settings.MetricsAddress(), Handler: http.HandlerFunc(n.serveMetrics), ReadHeaderTimeout: headerTimeout}
	go func() { failed <- callers.Serve() }()
	for _, s := range []*http.Server{ready, metricsSrv} {
		defer s.Close()
		go func() { failed <- s.ListenAndServe() }()
	}
	go usage.Watch(workCtx)
	go n.watchOperator(workCtx)
	go n.watchVMs(workCtx)
	go n.watchAssignment(workCtx)
	go n.learnQueues(workCtx)
	go n.syncWithPeers(workCtx)
	memberDone := make(chan struct{})
	memberCtx, leave := context.WithCancel(workCtx)
	defer leave()
	go n.runMembership(memberCtx, memberDone)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	case <-n.aborted:
		n.dropPartitions()
		for _, s := range []io.Closer{callers, ready, metricsSrv} {
			s.Close()
		}
		ps.Close()
		return errAborted
	}
	n.stopping.Store(true)
	callers.BeginStop()
	stopStart := time.Now()
	closeAt := stopStart.Add(time.Duration(n.settings.Bounds.ShutdownGraceS*float64(time.Second)) - exitMargin)
	defer time.AfterFunc(time.Until(closeAt)-lastAnswer, n.endAnswers).Stop()
	logrus.Info("entry is stopping; handing its partitions over")
	go n.handOnShown(workCtx) // as early as possible, and again with those shown meanwhile
	leave()
	<-memberDone
	sleep(workCtx, stopDelay-time.Since(stopStart))
	shutdownCtx, cancelShutdown := context.WithDeadline(workCtx, closeAt)
	defer cancelShutdown()
	if err := callers.Shutdown(shutdownCtx); err != nil {
		logrus.WithError(err).Warn("stopped with requests still in flight")
	}
	n.handOnShown(workCtx)
	logrus.Info("entry stopped")
	return nil
}

// errAborted is returned by Run after abort.
var errAborted = errors.New("entry aborted")

// abort ends the entry at once, as SIGKILL does: it neither leaves the group nor hands its
// partitions over. Only tests call it.
func (n *Node) abort() {
	if !n.isAborted() {
		close(n.aborted)
	}
}

func (n *Node) isAborted() bool {
	select {
	case <-n.aborted:
		return true
	default:
		return false
	}
}

// dropPartitions ends all partitions without a handover.
func (n *Node) dropPartitions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, part := range n.partitions {
		part.cancel()
		delete(n.partitions, p)
	}
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	usage.WriteMetrics(w)
	n.accountLoads.write(w, time.Now(), n.accountLabels.label)
}

// Config returns the configuration in force, or nil if none has been received yet.
func (n *Node) Config() *site.Config { return n.config.Load() }

// Ready reports whether the entry accepts new connections: it has a configuration and a
// partition assignment and is not stopping.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.config.Load() != nil && n.assignmentKnown.Load()
}

// partitionOf returns the partition that holds a pool's jobs.
func (n *Node) partitionOf(pool string) int {
	return int(xxhash.Sum64String(pool) % uint64(n.settings.Log.Partitions))
}

// vmsOf returns the VMs of a partition's pools and when their list was read.
func (n *Node) vmsOf(partition int) (list []site.VM, readAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.vms {
		if n.partitionOf(v.Pool) == partition {
			list = append(list, v)
		}
	}
	return list, n.vmsReadAt
}

// setConfig puts a configuration in force if it is newer than the current one. missed tells that there may have been
// others between the two.
func (n *Node) setConfig(c *site.Config, from string, missed bool) {
	if old := n.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	for _, problem := range c.IndexAccounts() {
		logrus.WithFields(logrus.Fields{"version": c.Version, "problem": problem}).Warn("configuration has an invalid account")
	}
	for {
		old := n.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if n.config.CompareAndSwap(old, c) {
			n.queues.configure(time.Now(), c, missed)
			n.accountLabels.setAccounts(c.Accounts)
			logrus.WithFields(logrus.Fields{"version": c.Version, "from": from, "routes": len(c.Routes), "accounts": len(c.Accounts)}).Info("configuration in force")
			return
		}
	}
}

// lookupPartition returns a partition that this entry owns or is claiming, nil for any other.
func (n *Node) lookupPartition(partition int) *ownedPartition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[partition]
}

// announceClaim records that this entry owns a partition and notifies the other entries.
func (n *Node) announceClaim(partition int, epoch int64) {
	info := ownerInfo{Epoch: epoch, Address: n.address}
	n.owners.recordClaim(partition, info)
	notifyPeers(n, announceKind, &announcement{Partition: partition, Owner: info})
}

// notifyPeers sends a message to all other entries known as owners. No reply is needed: an
// entry that misses the message gets the same information later, from the job log or by a sync.
func notifyPeers[T any](n *Node, kind string, message *T) {
	for _, address := range n.owners.peers(n.address) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			if _, err := peer.Call[T, empty](ctx, n.peer(address), kind, message); err != nil {
				logrus.WithError(err).WithFields(logrus.Fields{"peer": address, "kind": kind}).Debug("peer did not confirm the notification")
			}
		}()
	}
}

// removePartition removes a partition that this entry no longer owns. It keeps a newer
// ownedPartition for the same partition, which exists if the partition was assigned again.
func (n *Node) removePartition(part *ownedPartition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions[part.number] == part {
		delete(n.partitions, part.number)
	}
}

// peer returns the client for the entry at a peer address. It presents no key, since the peer
// servers of these entries accept every caller.
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
		now := time.Now()
		n.hearOf(map[string]int64{c.Address: c.ConfigAgeMS}, now)
		r := &syncReply{Owners: n.owners.claims(), Entries: n.syncPeers.namePeers(now, c.Address)}
		if cfg := n.config.Load(); cfg != nil && cfg.Version > c.ConfigVersion {
			r.Config = cfg
		}
		r.ConfigAgeMS = n.confirmed.ageMS(now)
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
	peer.Handle(s, queuesKind, func(ctx context.Context, _ string, c *queuesCall) (*queuesReply, error) {
		return n.queuesLocal(ctx, c)
	})
	n.handleShownCalls(s)
	n.handleRelayCalls(s)
	peer.Handle(s, announceKind, func(_ context.Context, _ string, a *announcement) (*empty, error) {
		n.handleClaim(a.Partition, a.Owner, "announcement")
		return &empty{}, nil
	})
}

// handleClaim records a partition's owner as reported by another entry. If this entry runs
// the partition under a lower epoch, its ownership ends.
func (n *Node) handleClaim(partition int, info ownerInfo, from string) {
	if !n.owners.recordClaim(partition, info) {
		return
	}
	logrus.WithFields(logrus.Fields{"partition": partition, "epoch": info.Epoch, "owner": info.Address, "from": from}).Debug("partition has a new owner")
	go n.tellOwner(partition, info.Address)
	if part := n.lookupPartition(partition); part != nil && info.Address != n.address {
		part.post(func(time.Time) {
			if part.scheduler.Epoch < info.Epoch {
				part.logLaterOwner(info, from)
				part.scheduler.MarkFenced()
			}
		})
	}
}

// callLocal passes a caller's request to the partition if this entry owns it.
func (n *Node) callLocal(ctx context.Context, c *jobCall) site.Reply {
	part := n.lookupPartition(c.Partition)
	if part == nil {
		return site.Reply{Outcome: site.NotOwner, Reason: "another entry owns the partition"}
	}
	return part.call(ctx, c)
}

var errNoOwner = errors.New("no owner of the partition is known")
