package drive

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/moves"
	"github.com/greengagelane/greengagelane/internal/quota"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/shed"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	fleetPartition    = 0                      // its owner runs the mover
	planInterval      = 150 * time.Millisecond // between two planning rounds; short, since a burst of demand shows in the reports only after a few rounds
	reportTimeout     = 250 * time.Millisecond // for one pool's report; enough for an entry that is slowed down by a factor of 5
	inventoryInterval = 300 * time.Millisecond // between two reads of the inventory
	cordonTTL         = 3 * time.Second        // a pool's cordons that are not renewed expire after this
	orderRetention    = 10 * time.Second       // how long orders stay in the stored record; longer than the platform's minimum time between orders of two movers (turn-ms) plus clock skew
	startupDelay      = 800 * time.Millisecond // from the process start to the first plan, while other entries still join
	grantInterval     = 40 * time.Millisecond  // between two rounds of quotas while the owner of a partition has none
)

// reportCall asks for a pool's report and, unless ReadOnly, sets the pool's cordons and
// expected arrivals.
type reportCall struct {
	Partition int
	Pool      string
	Cordons   []string           // identifiers of VMs that get no new runs
	Arrivals  []shed.Arrival     // capacity that is expected to join the pool by moves
	Coming    bool               // machines are moving to the pool
	ReadOnly  bool               // leaves cordons and arrivals unchanged
	Ended     []site.Incarnation // of the pool's VMs, that have ended according to the inventory
	Missing   []string           // VMs of the last report's Awaited that no machine has, by an inventory that was read since
	Quota     *quota.Request     // of the quota coordinator; nil on all but one call per partition, and without accounts that have a limit
}

// mover plans moves and maintenance of machines and sends the orders for them to the platform,
// while this entry owns the fleet partition. These orders are not related to the scheduler's
// orders to VMs.
type mover struct {
	part                *ownedPartition
	planner             *moves.Planner
	lives               moves.Lives
	quotas              *quotaRounds
	recovery            recovery             // of the mover and the quota coordinator
	fleet               *platform.Fleet      // for reading the inventory
	orderConns          chan *platform.Fleet // idle connections for orders
	statusLog           *platform.Log
	writtenStates       map[int64]string    // wave states written to the status topic, "true" once completed, else "false"; by wave number
	storedStarted       map[int64]int       // number of started machines in the stored wave record, -1 before the first; by wave number
	waveStart           map[int64]time.Time // when the wave was requested, by wave number
	inventoryReadAt     time.Time
	reportedAt          time.Time  // when the reports of view arrived
	mu                  sync.Mutex // guards planner, view, orderedAt, handingOver, and writes to storedStarted and waveStart, while the mover runs
	view                moves.View
	inventoryDependency *dependency
	loggedAt            time.Time            // when logPools last logged
	handingOver         bool                 // no more orders are sent: the partition is being handed over
	orderedAt           map[string]time.Time // latest order, by machine
}

func newMover(part *ownedPartition) *mover {
	settings := part.node.settings
	m := &mover{
		part: part, recovery: part.recovery, planner: moves.New(movesPolicy(settings)),
		fleet: platform.NewFleet(settings), statusLog: platform.NewLog(settings), writtenStates: map[int64]string{}, storedStarted: map[int64]int{}, waveStart: map[int64]time.Time{},
		orderConns: make(chan *platform.Fleet, maxOrderConns),
		orderedAt:  map[string]time.Time{}, inventoryDependency: &dependency{name: "machine inventory"},
	}
	for range maxOrderConns {
		m.orderConns <- platform.NewFleet(settings)
	}
	now := time.Now()
	for machine, ordered := range part.restored.orderTimes {
		m.orderedAt[machine] = now.Add(-ordered.age(now)) // the records that this mover writes have to include them, for the next owner
	}
	return m
}

// run plans until the context ends. Machines with a recent order of the former owner get no
// order at first: the platform requires a minimum time between orders of two movers for the same
// machine.
func (m *mover) run(ctx context.Context) {
	defer m.closeConns()
	m.quotas = newQuotaRounds(m.part.scheduler.Epoch)
	now, minOrderGap := time.Now(), site.Millis(m.part.node.settings.Bounds.TurnMS)
	for machine, ordered := range m.part.restored.orderTimes {
		m.planner.Freeze(machine, now.Add(minOrderGap-ordered.age(now)))
	}
	logrus.WithFields(logrus.Fields{"restored-orders": len(m.part.restored.orderTimes), "frozen": m.planner.Frozen(now)}).Info("mover started")
	m.allocateUntil(ctx, m.part.node.startedAt.Add(m.part.node.planDelay))
	for ctx.Err() == nil {
		m.round(ctx, time.Now())
		m.allocateUntil(ctx, time.Now().Add(planInterval))
	}
}

// allocateUntil waits until the given time. Meanwhile it allocates quotas to owners that have none, as after a loss of
// all entries: no task of an account with a limit starts before that.
func (m *mover) allocateUntil(ctx context.Context, end time.Time) {
	for ctx.Err() == nil {
		wait := time.Until(end)
		if wait <= 0 {
			return
		}
		cfg := m.part.node.Config()
		switch {
		case cfg == nil:
			wait = grantInterval
		case m.quotas.pending(cfg):
			m.allocateQuotas(ctx, cfg)
			wait = grantInterval
		}
		sleep(ctx, min(wait, time.Until(end)))
	}
}

// closeConns closes the mover's connections. An order that is being sent closes its own.
func (m *mover) closeConns() {
	m.fleet.Close()
	m.statusLog.Close()
	for range len(m.orderConns) {
		(<-m.orderConns).Close()
	}
}

// round reads the inventory and the pools' reports, plans, and sends the new orders.
func (m *mover) round(ctx context.Context, now time.Time) {
	cfg := m.part.node.Config()
	if cfg == nil {
		return
	}
	if err := m.readInventory(ctx, now); err != nil {
		m.allocateQuotas(ctx, cfg)
		return
	}
	m.mu.Lock()
	m.view.Pools = cfg.Pools
	m.addWaves(now)
	var calls []*reportCall
	for _, p := range cfg.Pools {
		if !p.Spare {
			calls = append(calls, &reportCall{
				Partition: m.part.node.partitionOf(p.Name), Pool: p.Name,
				Cordons: m.planner.Cordons(&m.view, p.Name), Arrivals: m.planner.Arrivals(now, &m.view, p.Name),
				Coming: m.planner.HasIncoming(&m.view, p.Name), Ended: m.lives.Ended(time.Now(), p.Name), Missing: m.missingVMs(p.Name),
			})
		}
	}
	m.mu.Unlock()
	m.addQuotaRequests(time.Now(), cfg, calls)
	reports, failed := m.fetchReports(ctx, calls)
	for pool, err := range failed {
		logrus.WithError(err).WithField("pool", pool).Info("no report of the pool; its machines are not moved")
	}
	m.handleQuotaReplies(calls, reports)
	m.mu.Lock()
	if m.handingOver {
		m.mu.Unlock()
		return
	}
	m.view.Reports, m.reportedAt = reports, time.Now()
	orders := m.planner.Plan(time.Now(), &m.view)
	states := m.planner.WaveStates(&m.view)
	record := m.recordOrders(orders)
	m.mu.Unlock()
	m.storeAndSend(ctx, orders, record)
	if len(orders) > 0 {
		m.recovery.reach(time.Now(), firstOrder)
	}
	m.logPools(time.Now(), states)
	m.publishWaves(ctx, states)
}

// missingVMs returns the VMs for which the owner of a pool waits and that have ended.
func (m *mover) missingVMs(pool string) []string {
	r := m.view.Reports[pool]
	if r == nil || len(r.Awaited) == 0 || !m.view.ReadStart.After(m.reportedAt) {
		return nil
	}
	return moves.Missing(r.Awaited, m.view.Machines)
}

// logWaves logs some of the machines whose maintenance is still pending, for each wave.
func (m *mover) logWaves(states []moves.WaveState) {
	const maxLines = 4 // per wave
	for _, s := range states {
		if s.Completed {
			continue
		}
		pending := m.planner.PendingMachines(&m.view, s.Number)
		for i := range pending[:min(maxLines, len(pending))] {
			p := &pending[i]
			logrus.WithFields(logrus.Fields{
				"wave": s.Number, "pending": len(pending), "machine": p.Machine, "pool": p.Pool, "state": p.State.String(),
				"planned": p.Planned, "ordered": p.Ordered, "runs": p.Runs, "long-running": p.LongRunning,
			}).Info("machine is waiting for maintenance")
		}
	}
}

// logPools logs the data that the plan is based on, once a second.
func (m *mover) logPools(now time.Time, states []moves.WaveState) {
	const every = time.Second
	if now.Sub(m.loggedAt) < every {
		return
	}
	m.loggedAt = now
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logWaves(states)
	for _, s := range m.planner.Summary(&m.view) {
		logrus.WithFields(logrus.Fields{
			"pool": s.Pool, "machines": s.Machines, "incoming": s.Incoming, "empty": s.Empty, "cores-used": int(s.Used),
			"cores-long-running": int(s.LongRunning), "waiting-core-seconds": int(s.Waiting), "cores-wanted": int(s.Wanted),
			"cores-expected": int(s.Expected), "peak-chance": math.Round(100*s.Chance) / 100,
		}).Info("pool")
	}
}

// readInventory updates the list of machines if it is older than inventoryInterval.
func (m *mover) readInventory(ctx context.Context, now time.Time) error {
	if now.Sub(m.inventoryReadAt) < inventoryInterval {
		return nil
	}
	machines, err := m.fleet.Machines(ctx)
	m.inventoryDependency.recordResult(err)
	if err != nil {
		return err
	}
	m.inventoryReadAt = now
	m.lives.Observe(now, machines, m.part.node.bornAt)
	m.mu.Lock()
	m.view.Machines, m.view.ReadStart = machines, now
	m.mu.Unlock()
	return nil
}

// bornAt returns the start of a VM's present incarnation according to the VM list, 0 if it is not known.
func (n *Node) bornAt(vm string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[vm].Born
}

// fetchReports fetches the reports of all pools concurrently. failed holds the errors of those without one.
func (m *mover) fetchReports(ctx context.Context, calls []*reportCall) (reports map[string]*sched.Report, failed map[string]error) {
	return collectReports(calls, len(calls), func(c *reportCall) (*sched.Report, error) { return m.part.node.report(ctx, c) })
}

// handOver stops sending orders and adds records to the last flush: the ages of recent orders,
// so that the next owner does not wait longer than required, and for each wave the machines
// whose maintenance has started.
func (m *mover) handOver(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handingOver = true
	value, err := m.encodeOrders(now)
	if err != nil {
		logrus.WithError(err).Error("cannot encode the record of orders")
		return
	}
	m.part.pendingRecords = append(m.part.pendingRecords, controlRecord{record: site.Record{Key: ordersKey, Value: value}})
	for _, s := range m.planner.WaveStates(&m.view) {
		if r, err := m.waveRecord(now, s); err == nil && len(s.Started) > m.storedStarted[s.Number] {
			m.part.pendingRecords = append(m.part.pendingRecords, controlRecord{record: r})
		}
	}
}

// waveRecord returns the record of a wave for the job log.
func (m *mover) waveRecord(now time.Time, s moves.WaveState) (site.Record, error) {
	began := m.waveStart[s.Number]
	value, err := jobs.Encode(&waveRecord{Number: s.Number, Started: s.Started, UnixMS: began.UnixMilli(), AgeMS: now.Sub(began).Milliseconds()})
	return site.Record{Key: fmt.Sprintf("%s%d", waveKeyPrefix, s.Number), Value: value}, err
}

// storeControlRecord adds a record to the next flush. onStored, if not nil, is called once it
// is stored.
func (part *ownedPartition) storeControlRecord(r site.Record, onStored func()) {
	part.post(func(time.Time) {
		part.pendingRecords = append(part.pendingRecords, controlRecord{record: r, onStored: onStored})
	})
}

// addWaves passes the operator's new waves to the planner with their restored state.
func (m *mover) addWaves(now time.Time) {
	n := m.part.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.waves {
		if _, known := m.waveStart[w.Number]; known {
			continue
		}
		restored := m.part.restored.waves[w.Number]
		m.waveStart[w.Number] = restored.startTime(now, w.seenAt, site.Millis(int(w.WithinMS)))
		m.storedStarted[w.Number] = -1 // lower than any count, so that the start of the wave is stored too
		m.planner.AddWave(m.waveStart[w.Number], w.Wave, restored.Started)
	}
}

// publishWaves stores the progress of the waves for the next owner and writes their state to
// the status topic, which operators read. The log does not fence that topic, so a state is written only
// once the job log has confirmed the ownership after the state was planned.
func (m *mover) publishWaves(ctx context.Context, states []moves.WaveState) {
	for _, s := range states {
		state := fmt.Sprint(s.Completed)
		if len(s.Started) > m.storedStarted[s.Number] {
			m.storeWave(s)
		}
		if m.writtenStates[s.Number] == state {
			continue
		}
		if !m.part.confirmNow(ctx) {
			return // a later owner's planner may know of machines that this one takes for done
		}
		if err := m.statusLog.SetWave(ctx, s.Number, s.Completed); err != nil {
			logrus.WithError(err).WithField("wave", s.Number).Info("writing the state of a wave failed; retrying")
			continue
		}
		m.writtenStates[s.Number] = state
		logrus.WithFields(logrus.Fields{"wave": s.Number, "completed": s.Completed, "done": len(s.Started)}).Info("state of a wave written")
	}
}

// storeWave stores the record of a wave with the next flush.
func (m *mover) storeWave(s moves.WaveState) {
	r, err := m.waveRecord(time.Now(), s)
	if err != nil {
		logrus.WithError(err).Error("cannot encode the record of a wave")
		return
	}
	m.mu.Lock()
	m.storedStarted[s.Number] = len(s.Started)
	m.mu.Unlock()
	m.part.storeControlRecord(r, nil)
}

// report returns a pool's report from the owner of its partition.
func (n *Node) report(ctx context.Context, c *reportCall) (*sched.Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return askOwner(callCtx, n, c.Partition, reportKind, c, n.reportLocal)
}

// errNotOwner is returned by an entry that does not own the partition, or is still claiming it.
var errNotOwner = errors.New("another entry owns the partition")

func (n *Node) reportLocal(ctx context.Context, c *reportCall) (*sched.Report, error) {
	part := n.lookupPartition(c.Partition)
	if c.Coming && part != nil {
		n.incomingUntil.Store(time.Now().Add(2 * reportTimeout).UnixNano())
	}
	return runOnPartition(ctx, part, func(part *ownedPartition, now time.Time) *sched.Report {
		for _, e := range c.Ended {
			part.scheduler.EndVM(now, e)
		}
		part.scheduler.EndAwaited(now, c.Missing)
		if !c.ReadOnly {
			part.scheduler.Cordon(now, c.Pool, c.Cordons)
			part.scheduler.SetArrivals(now, c.Pool, c.Arrivals)
		}
		reply := part.handleQuota(now, c.Quota)
		r := part.scheduler.Report(now, c.Pool)
		r.Quota = reply
		n.accountLoads.record(now, c.Pool, r.Accounts)
		return r
	})
}
