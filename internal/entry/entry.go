// Package entry runs the entry process of greengagelane and connects its parts. Records from the
// platform's log and from peers are folded into the state, from which the entry builds the routing
// table of the request proxy; the driver carries out the moves and the maintenance of VMs that the
// state calls for, and appends records of them to the log; the mesh exchanges load, freshness and
// claims with the other entries; operators use an HTTP API.
package entry

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/admit"
	"github.com/greengagelane/greengagelane/internal/buffer"
	"github.com/greengagelane/greengagelane/internal/ctrl"
	"github.com/greengagelane/greengagelane/internal/event"
	"github.com/greengagelane/greengagelane/internal/httpd"
	"github.com/greengagelane/greengagelane/internal/mesh"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/proxy"
	"github.com/greengagelane/greengagelane/internal/route"
	"github.com/greengagelane/greengagelane/internal/tail"
	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	eventRingSize     = 4096 // events
	headerTimeout     = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	callerIdleTimeout = 60 * time.Second
	shutdownTimeout   = 5 * time.Second        // time after the stop limit for requests in flight to end; also the time limit for leaving the mesh afterwards
	idleBeforeStop    = 500 * time.Millisecond // time without a request in flight after which a stopping entry shuts down its caller server
	minReportedSlots  = 0.05                   // slots; a smaller offered load is omitted from heartbeats
	stopPollInterval  = 20 * time.Millisecond
)

// Entry is one entry process.
type Entry struct {
	settings     conf.Settings
	self         fleet.Member
	store        *tail.Store
	log          *tail.Log
	mesh         *mesh.Mesh
	handler      *proxy.Handler
	driver       *ctrl.Driver
	events       *event.Ring
	operatorKeys *keyFile
	peerKeys     *keyFile

	offeredSlots sync.Map   // pool name to float32, offered load in slots
	mu           sync.Mutex // guards the fields below
	registry     *route.Registry
	vmList       map[string]ctrl.ListedVM // the platform's newest list of VMs, by VM name
	stopping     bool
}

// New returns an entry; Run starts it.
func New(settings conf.Settings) (*Entry, error) {
	e := &Entry{
		settings: settings,
		self: fleet.Member{
			Name: settings.Name, Incarnation: newIncarnation(), Address: settings.PeerAddress, Operator: settings.OperatorAddress, DataCentre: settings.DataCentre,
		},
		events:       event.NewRing(eventRingSize),
		operatorKeys: &keyFile{path: settings.OperatorKeys},
		peerKeys:     &keyFile{path: settings.PeerKeys},
		registry:     route.NewRegistry(settings.MaxEntries),
	}
	e.store = tail.NewStore(e.recordFoldEvent)
	log, err := tail.NewLog(e.store, settings.PlatformURL)
	if err != nil {
		return nil, err
	}
	e.log = log
	e.mesh = mesh.New(e.self, settings, e.store, log, e.load, e.events, e.peerKeys.newest)
	e.handler = proxy.NewHandler(proxy.Options{
		Name:               settings.Name,
		MaxBodyBytes:       int64(settings.MaxBodyKB) << 10,
		CallerStallTimeout: conf.Ms(settings.SenderStallMs),
		RetryPercent:       settings.RetryPercent,
		BlindRetries:       settings.BlindRetries,
		NoAdmission:        settings.NoAdmission,
	}, e.mesh, e.mesh.Fresh, e.events)
	e.driver = &ctrl.Driver{
		Self: e.self.Incarnation, Store: e.store, Log: log, MaintenanceTimeout: conf.Ms(settings.RebootLimitMs),
		Drained: e.mesh.Drained, Fresh: e.mesh.Fresh, OnVMList: e.handleVMList, Offered: e.mesh.Offered,
	}
	if settings.AutoMoves {
		e.driver.Planner = buffer.NewPlanner(buffer.Weights{
			Move: settings.WeightMoves, IdlePerMin: settings.WeightBuffer, ShortagePerSec: settings.WeightShort,
		})
	}
	return e, nil
}

// newIncarnation returns a unique id for this start of the process. It is short because each
// heartbeat carries it.
func newIncarnation() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

// Run serves until the context ends, then stops gracefully: requests in flight have until
// shutdownTimeout after the stop limit to finish.
func (e *Entry) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", e.settings.OperatorAddress)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	peers, err := net.Listen("tcp", e.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	peerServer := peer.NewServer(e.peerKeys.all)
	e.mesh.Register(peerServer)
	go func() { _ = peerServer.Serve(workCtx, peers) }()
	defer peers.Close()
	defer peerServer.Close()
	e.startBackground(workCtx)
	callerServer := httpd.New(&http.Server{
		Handler: e.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, callers)
	operatorServer, err := e.operatorServer()
	if err != nil {
		return err
	}
	go serve(callerServer.Serve)
	go serve(func() error { return operatorServer.Serve(operators) })
	e.events.Add(time.Now(), 0, event.Process, e.self.Name, "started as "+e.self.Incarnation)
	logrus.WithFields(logrus.Fields{"entry": e.self.Name, "incarnation": e.self.Incarnation}).Info("entry started")
	<-ctx.Done()
	e.stop(callerServer)
	return operatorServer.Close()
}

func (e *Entry) startBackground(ctx context.Context) {
	go e.log.Run(ctx)
	go e.mesh.Run(ctx)
	go e.driver.Run(ctx)
	go e.runTableUpdates(ctx)
	go e.runShareUpdates(ctx)
	go e.runSnapshots(ctx)
}

func serve(run func() error) {
	if err := run(); !errors.Is(err, http.ErrServerClosed) {
		logrus.WithError(err).Error("HTTP server stopped unexpectedly")
	}
}

// stop keeps serving for the grace period, so that the load balancer can notice that the entry is
// not ready, and then until no request has been in flight for idleBeforeStop, but not beyond the
// stop limit. Each response ends its connection. Then it shuts down the caller server, which waits
// for requests in flight until shutdownTimeout after the stop limit, and leaves the mesh, which
// hands over claims.
func (e *Entry) stop(callers *httpd.Server) {
	began := time.Now()
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	callers.BeginStop()
	e.events.Add(began, e.store.Next(), event.Process, e.self.Name, "stopping")
	limit := began.Add(conf.Ms(e.settings.StopLimitMs))
	idleSince := began
	for now := began; now.Before(limit); now = time.Now() {
		if e.handler.InFlight() > 0 {
			idleSince = now
		}
		if now.Sub(began) >= conf.Ms(e.settings.StopGraceMs) && now.Sub(idleSince) >= idleBeforeStop {
			break
		}
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(shutdownTimeout))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		logrus.WithError(err).Warn("caller server not shut down in time; requests were still in flight after the stop limit")
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelLeave()
	e.mesh.Leave(leaveCtx)
	logrus.WithField("entry", e.self.Name).Info("entry stopped")
}

// Stopping reports whether the entry has begun to stop.
func (e *Entry) Stopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}

// recordFoldEvent adds an event for each folded record. It runs under the store's lock, so it must
// not call the store.
func (e *Entry) recordFoldEvent(rec fleet.LogRecord, out fleet.Outcome) {
	text := "skipped: " + out.Reason
	if out.Applied {
		text = "applied"
	}
	if out.Record == nil {
		e.events.Add(time.Now(), rec.Offset, event.Record, "", text)
		return
	}
	kind, subject := fleet.Describe(out.Record)
	e.events.Add(time.Now(), rec.Offset, event.Record, subject, kind+" "+text)
}

func (e *Entry) offeredLoad(pool string) float32 {
	if v, ok := e.offeredSlots.Load(pool); ok {
		return v.(float32)
	}
	return 0
}

// load returns the load that this entry reports to the other entries. It reports requests in flight
// only for VMs out of service, since a VM is drained once no entry has a request in flight on it. It
// reads the routing table first, as mesh.Load requires.
func (e *Entry) load() mesh.Load {
	t := e.handler.Table()
	load := mesh.Load{
		RoutingOffset: t.Offset, Demand: map[string]int{}, Offered: map[string]float32{}, InFlight: map[string]int64{},
	}
	for name, p := range t.Pools {
		if n := e.handler.Gate(p).Load().Demand; n > 0 {
			load.Demand[name] = n
		}
		if slots := e.offeredLoad(name); slots >= minReportedSlots {
			load.Offered[name] = slots
		}
	}
	for _, w := range t.OutOfService {
		if n := w.InFlight(); n > 0 {
			load.InFlight[w.Name] = n
		}
	}
	return load
}

// handleVMList stores the platform's list of VMs and passes their status to the workers.
func (e *Entry) handleVMList(vmList map[string]ctrl.ListedVM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vmList = vmList
	e.registry.Each(func(w *route.Worker) {
		l, ok := vmList[w.Name]
		if !ok {
			return
		}
		if l.Leaving && !w.Leaving() {
			e.events.Add(time.Now(), e.store.Next(), event.Platform, w.Name, "listed by the platform as leaving; gets no new requests")
		}
		setPlatformStatus(w, l)
	})
}

// setPlatformStatus sets whether the platform lists the worker's VM as leaving or as down. A VM that
// is leaving is not set as down.
func setPlatformStatus(w *route.Worker, l ctrl.ListedVM) {
	w.SetPlatformStatus(l.Leaving, !l.Live && !l.Leaving)
}

// runTableUpdates rebuilds the routing table after each change of the state.
func (e *Entry) runTableUpdates(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.store.Changed()
		e.rebuildTable()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// rebuildTable builds the routing table of the current state. It sets the platform's status of the
// VMs again, since the registry creates new workers without it.
func (e *Entry) rebuildTable() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var t *route.Table
	var removed []*route.Worker
	e.store.View(func(s *fleet.State) { t, removed = e.registry.Build(s) })
	for name, l := range e.vmList {
		if w := e.registry.Find(name); w != nil {
			setPlatformStatus(w, l)
		}
	}
	e.handler.SetTable(t, removed)
	e.setGateLimits(time.Now(), t)
}

// runShareUpdates periodically adapts this entry's share of each pool's slots to the demand at all
// entries, and measures the offered load.
func (e *Entry) runShareUpdates(ctx context.Context) {
	t := time.NewTicker(conf.Ms(e.settings.HeartbeatMs) / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			e.setGateLimits(now, e.handler.Table())
			for name, p := range e.handler.Table().Pools {
				e.offeredSlots.Store(name, float32(e.handler.Gate(p).MeasureOfferedLoad(now)))
			}
		}
	}
}

// setGateLimits sets the limit of each pool's gate to this entry's share of the slots, or to the
// number of connections that it may open to the workers if that is smaller. The older system's
// limit is per entry, not shared.
func (e *Entry) setGateLimits(now time.Time, t *route.Table) {
	for name, p := range t.Pools {
		gate := e.handler.Gate(p)
		share := admit.Share(p.Slots, gate.Load().Demand, e.mesh.Demands(now, name))
		gate.SetLimit(now, min(share, len(p.Workers)*int(p.ConnsPerWorker)))
	}
	if t.OlderSystem != nil {
		e.handler.Gate(t.OlderSystem).SetLimit(now, t.OlderSystem.Slots)
	}
}
