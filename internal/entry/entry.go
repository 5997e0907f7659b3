// Package entry is the long-running role of greengagelane. It ties together the
// folded state, the mesh, the request path, control and the operator interface.
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
	"github.com/greengagelane/greengagelane/internal/mesh"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/proxy"
	"github.com/greengagelane/greengagelane/internal/route"
	"github.com/greengagelane/greengagelane/internal/tail"
	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	ringEvents     = 4096
	headerLimit    = 5 * time.Second
	headerBytes    = 64 << 10
	callerIdle     = 60 * time.Second
	leaveLimit     = 5 * time.Second
	quietAfterStop = 500 * time.Millisecond // without a request, a stopping entry may go
	minOffered     = 0.05                   // slots; a smaller load is not reported
	pollEvery      = 20 * time.Millisecond
)

// Entry is one running entry.
type Entry struct {
	set      conf.Settings
	self     fleet.Member
	store    *tail.Store
	log      *tail.Log
	mesh     *mesh.Mesh
	handler  *proxy.Handler
	driver   *ctrl.Driver
	events   *event.Ring
	keys     *keyFile // operators
	peerKeys *keyFile

	offers   sync.Map // pool name to float32, slots that arriving requests would fill
	mu       sync.Mutex
	registry *route.Registry
	list     map[string]ctrl.ListedVM
	stopping bool
}

// New returns an entry that does not run yet.
func New(set conf.Settings) (*Entry, error) {
	e := &Entry{
		set: set,
		self: fleet.Member{
			Name: set.Name, Incarnation: newIncarnation(), Address: set.PeerAddress, Operator: set.OperatorAddress, DataCentre: set.DataCentre,
		},
		events:   event.NewRing(ringEvents),
		keys:     &keyFile{path: set.OperatorKeys},
		peerKeys: &keyFile{path: set.PeerKeys},
		registry: route.NewRegistry(set.MaxEntries),
	}
	e.store = tail.NewStore(e.noteFold)
	log, err := tail.NewLog(e.store, set.PlatformURL)
	if err != nil {
		return nil, err
	}
	e.log = log
	e.mesh = mesh.New(e.self, set, e.store, log, e.load, e.events, e.peerKeys.newest)
	e.handler = proxy.NewHandler(proxy.Options{
		Name:               set.Name,
		MaxBodyBytes:       int64(set.MaxBodyKB) << 10,
		CallerStallTimeout: conf.Ms(set.SenderStallMs),
		RetryPercent:       set.RetryPercent,
		BlindRetries:       set.BlindRetries,
		NoAdmission:        set.NoAdmission,
	}, e.mesh, e.mesh.Fresh, e.events)
	e.driver = &ctrl.Driver{
		Self: e.self.Incarnation, Store: e.store, Log: log, MaintenanceTimeout: conf.Ms(set.RebootLimitMs),
		Drained: e.mesh.Drained, Fresh: e.mesh.Fresh, OnVMList: e.onList, Offered: e.mesh.Offered,
	}
	if set.AutoMoves {
		e.driver.Planner = buffer.NewPlanner(buffer.Weights{
			Move: set.WeightMoves, IdlePerMin: set.WeightBuffer, ShortagePerSec: set.WeightShort,
		})
	}
	return e, nil
}

// newIncarnation returns a name that no other start of an entry has; it is short
// because each heartbeat carries it.
func newIncarnation() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

// Run serves until the context ends, then stops without cutting a request.
func (e *Entry) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", e.set.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", e.set.OperatorAddress)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	peers, err := net.Listen("tcp", e.set.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	peerServer := peer.NewServer(e.peerKeys.all)
	e.mesh.Register(peerServer)
	go func() { _ = peerServer.Serve(work, peers) }()
	defer peers.Close()
	defer peerServer.Close()
	e.startWork(work)
	callerServer := &http.Server{
		Handler: e.handler, ReadHeaderTimeout: headerLimit, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes,
	}
	operatorServer, err := e.operatorServer()
	if err != nil {
		return err
	}
	go serve(callerServer, callers)
	go serve(operatorServer, operators)
	e.events.Add(time.Now(), 0, event.Process, e.self.Name, "started as "+e.self.Incarnation)
	logrus.WithFields(logrus.Fields{"entry": e.self.Name, "incarnation": e.self.Incarnation}).Info("entry started")
	<-ctx.Done()
	e.stop(callerServer)
	return operatorServer.Close()
}

func (e *Entry) startWork(ctx context.Context) {
	go e.log.Run(ctx)
	go e.mesh.Run(ctx)
	go e.driver.Run(ctx)
	go e.followTable(ctx)
	go e.followShares(ctx)
	go e.followSnapshots(ctx)
}

func serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		logrus.WithError(err).Error("server ended")
	}
}

// stop goes on serving while the balancer notices, waits for requests in
// flight, hands its claims over, and closes.
func (e *Entry) stop(callers *http.Server) {
	began := time.Now()
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	callers.SetKeepAlivesEnabled(false)
	e.events.Add(began, e.store.Next(), event.Process, e.self.Name, "stopping")
	limit := began.Add(conf.Ms(e.set.StopLimitMs))
	quietSince := began
	for now := began; now.Before(limit); now = time.Now() {
		if e.handler.InFlight() > 0 {
			quietSince = now
		}
		if now.Sub(began) >= conf.Ms(e.set.StopGraceMs) && now.Sub(quietSince) >= quietAfterStop {
			break
		}
		time.Sleep(pollEvery)
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(leaveLimit))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		logrus.WithError(err).Warn("requests were still in flight at the stop limit")
	}
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveLimit)
	defer cancelLeave()
	e.mesh.Leave(leave)
	logrus.WithField("entry", e.self.Name).Info("entry stopped")
}

// Stopping reports whether the entry is on its way out.
func (e *Entry) Stopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}

// noteFold runs under the store's lock.
func (e *Entry) noteFold(rec fleet.LogRecord, out fleet.Outcome) {
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

func (e *Entry) offered(pool string) float32 {
	if v, ok := e.offers.Load(pool); ok {
		return v.(float32)
	}
	return 0
}

// load reports the request path to the other entries.
func (e *Entry) load() mesh.Load {
	t := e.handler.Table()
	load := mesh.Load{
		RoutingOffset: t.Offset, Demand: map[string]int{}, Offered: map[string]float32{}, InFlight: map[string]int64{},
	}
	for name, p := range t.Pools {
		if n := e.handler.Gate(p).Load().Demand; n > 0 {
			load.Demand[name] = n
		}
		if slots := e.offered(name); slots >= minOffered {
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

func (e *Entry) onList(list map[string]ctrl.ListedVM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = list
	e.registry.Each(func(w *route.Worker) {
		l, ok := list[w.Name]
		if !ok {
			return
		}
		if l.Leaving && !w.Leaving() {
			e.events.Add(time.Now(), e.store.Next(), event.Platform, w.Name, "listed as leaving; gets no new work")
		}
		setListed(w, l)
	})
}

func setListed(w *route.Worker, l ctrl.ListedVM) {
	w.SetPlatformStatus(l.Leaving, !l.Live && !l.Leaving)
}

// followTable builds a new routing table after each change of what it is made of.
func (e *Entry) followTable(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.store.Changed()
		e.rebuild()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (e *Entry) rebuild() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var t *route.Table
	var gone []*route.Worker
	e.store.View(func(s *fleet.State) { t, gone = e.registry.Build(s) })
	for name, l := range e.list {
		if w := e.registry.Find(name); w != nil {
			setListed(w, l)
		}
	}
	e.handler.SetTable(t, gone)
	e.setLimits(time.Now(), t)
}

// followShares adapts the share of each pool's slots to all entries' demand.
func (e *Entry) followShares(ctx context.Context) {
	t := time.NewTicker(conf.Ms(e.set.HeartbeatMs) / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			e.setLimits(now, e.handler.Table())
			for name, p := range e.handler.Table().Pools {
				e.offers.Store(name, float32(e.handler.Gate(p).MeasureOfferedLoad(now)))
			}
		}
	}
}

func (e *Entry) setLimits(now time.Time, t *route.Table) {
	for name, p := range t.Pools {
		gate := e.handler.Gate(p)
		share := admit.Share(p.Slots, gate.Load().Demand, e.mesh.Demands(now, name))
		gate.SetLimit(now, min(share, len(p.Workers)*int(p.ConnsPerWorker)))
	}
	if t.OlderSystem != nil {
		e.handler.Gate(t.OlderSystem).SetLimit(now, t.OlderSystem.Slots)
	}
}
