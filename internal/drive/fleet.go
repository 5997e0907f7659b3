package drive

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/moves"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	fleetPartition    = 0                      // its owner moves and maintains machines
	planInterval      = 150 * time.Millisecond // between two rounds of the planner; a burst is seen within a few
	reportTimeout     = 250 * time.Millisecond // for the report of a pool; an entry that is slowed five times still gives it
	inventoryInterval = 300 * time.Millisecond // between two reads of the inventory without orders
	cordonTTL         = 3 * time.Second        // a cordon that is not renewed ends
	orderRetention    = 10 * time.Second       // orders stay in the record; longer than a turn with its skew
	startupDelay      = 800 * time.Millisecond // after a process starts; others that start with it still join
)

// reportCall asks for a pool's report and sets its cordons.
type reportCall struct {
	Partition int
	Pool      string
	Cordons   []string // VMs
	Potential float64  // cores that the pool may get by moves
	Coming    bool     // machines are on their way to the pool
	ReadOnly  bool     // cordons and potential stay as they are
}

// mover plans and orders moves and maintenance while this entry owns the fleet's
// partition.
type mover struct {
	part            *ownedPartition
	planner         *moves.Planner
	fleet           *platform.Fleet
	status          *platform.Log
	writtenStates   map[int64]string    // wave states as written for the operator
	storedStarted   map[int64]int       // machines per wave in the job log
	waveStart       map[int64]time.Time // the operator asked for the wave
	inventoryReadAt time.Time
	mu              sync.Mutex
	view            moves.View
	inventoryStatus *dependency
	loggedAt        time.Time
	handedOver      bool                 // the partition is being handed over: no more orders
	orderedAt       map[string]time.Time // last order, by machine
}

func newMover(part *ownedPartition) *mover {
	set := part.node.settings
	m := &mover{
		part: part, planner: moves.New(movesPolicy(set)),
		fleet: platform.NewFleet(set), status: platform.NewLog(set), writtenStates: map[int64]string{}, storedStarted: map[int64]int{}, waveStart: map[int64]time.Time{},
		orderedAt: map[string]time.Time{}, inventoryStatus: &dependency{name: "inventory of machines"},
	}
	now := time.Now()
	for machine, given := range part.restored.orderTimes {
		m.orderedAt[machine] = now.Add(-given.age(now)) // for the mover after this one
	}
	return m
}

// run plans until the shard ends. Machines that the last owner ordered lately are left
// alone at first, so that two movers never take turns within the time that the site
// allows.
func (m *mover) run(ctx context.Context) {
	defer m.fleet.Close()
	defer m.status.Close()
	now, turn := time.Now(), site.Millis(m.part.node.settings.Bounds.TurnMS)
	for machine, given := range m.part.restored.orderTimes {
		m.planner.Freeze(machine, now.Add(turn-given.age(now)))
	}
	logrus.WithFields(logrus.Fields{"ordered-before": len(m.part.restored.orderTimes), "left-alone": m.planner.Frozen(now)}).Info("mover started")
	sleep(ctx, startupDelay-time.Since(m.part.node.startedAt))
	for ctx.Err() == nil {
		m.round(ctx, time.Now())
		sleep(ctx, planInterval)
	}
}

func (m *mover) round(ctx context.Context, now time.Time) {
	cfg := m.part.node.Config()
	if cfg == nil {
		return
	}
	if err := m.readInventory(ctx, now); err != nil {
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
				Cordons: m.planner.Cordons(&m.view, p.Name), Potential: m.planner.Potential(&m.view, p.Name),
				Coming: m.planner.HasIncoming(&m.view, p.Name),
			})
		}
	}
	m.mu.Unlock()
	reports := m.fetchReports(ctx, calls)
	m.mu.Lock()
	if m.handedOver {
		m.mu.Unlock()
		return
	}
	m.view.Reports = reports
	orders := m.planner.Plan(time.Now(), &m.view)
	states := m.planner.WaveStates(&m.view)
	record := m.recordOrders(orders)
	m.mu.Unlock()
	m.storeAndSend(ctx, orders, record)
	m.logPools(time.Now(), states)
	m.publishWaves(ctx, states)
}

// logWaves writes a few of the machines that a wave still waits for.
func (m *mover) logWaves(states []moves.WaveState) {
	const most = 4 // lines a wave
	for _, s := range states {
		if s.Completed {
			continue
		}
		open := m.planner.PendingMachines(&m.view, s.Number)
		for i := range open[:min(most, len(open))] {
			o := &open[i]
			logrus.WithFields(logrus.Fields{
				"wave": s.Number, "open": len(open), "machine": o.Machine, "pool": o.Pool, "state": o.State.String(),
				"planned": o.Planned, "ordered": o.Ordered, "runs": o.Runs, "lasting": o.LongRunning,
			}).Info("machine awaits its maintenance")
		}
	}
}

// logPools writes what the plan is based on, once a second.
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
			"pool": s.Pool, "machines": s.Machines, "coming": s.Incoming, "empty": s.Empty, "cores-used": int(s.Used),
			"cores-lasting": int(s.LongRunning), "waiting-core-seconds": int(s.Waiting), "cores-wanted": int(s.Wanted),
		}).Info("pool")
	}
}

// readInventory keeps the list of machines current.
func (m *mover) readInventory(ctx context.Context, now time.Time) error {
	if now.Sub(m.inventoryReadAt) < inventoryInterval {
		return nil
	}
	machines, err := m.fleet.Machines(ctx)
	m.inventoryStatus.report(err)
	if err != nil {
		return err
	}
	m.inventoryReadAt = now
	m.mu.Lock()
	m.view.Machines, m.view.ReadStart = machines, now
	m.mu.Unlock()
	return nil
}

// fetchReports asks the owners of all pools at once.
func (m *mover) fetchReports(ctx context.Context, calls []*reportCall) map[string]*sched.Report {
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports := map[string]*sched.Report{}
	for _, c := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := m.part.node.report(ctx, c)
			if err != nil {
				logrus.WithError(err).WithField("pool", c.Pool).Info("no report of a pool; its machines stay")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[c.Pool] = r
		}()
	}
	wg.Wait()
	return reports
}

// recordOrders remembers orders and returns the record that must be stored before them.
func (m *mover) recordOrders(orders []moves.Order) []byte {
	now := time.Now()
	for _, o := range orders {
		m.orderedAt[o.Machine] = now
	}
	value, err := m.encodeOrders(now)
	if err != nil {
		logrus.WithError(err).Error("orders cannot be encoded")
	}
	return value
}

// storeAndSend stores which machines are ordered, then orders them, unless the partition has
// been handed over meanwhile.
func (m *mover) storeAndSend(ctx context.Context, orders []moves.Order, record []byte) {
	if len(orders) == 0 || len(record) == 0 {
		return
	}
	m.part.storeControlRecord(site.Record{Key: ordersKey, Value: record}, func() {
		m.mu.Lock()
		over := m.handedOver
		m.mu.Unlock()
		for _, o := range orders {
			if !over {
				go m.send(ctx, o)
			}
		}
	})
}

// encodeOrders returns the record of the machines ordered lately.
func (m *mover) encodeOrders(now time.Time) ([]byte, error) {
	r := ordersRecord{OrderedAt: map[string]orderTimestamp{}}
	for machine, at := range m.orderedAt {
		age := now.Sub(at)
		if age > orderRetention {
			delete(m.orderedAt, machine)
			continue
		}
		r.OrderedAt[machine] = orderTimestamp{UnixMS: at.UnixMilli(), AgeMS: age.Milliseconds()}
	}
	return jobs.Encode(&r)
}

// handOver stores how long ago machines were ordered, so that the next owner need not
// wait longer than it must, and which machines of waves are done.
func (m *mover) handOver(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handedOver = true
	value, err := m.encodeOrders(now)
	if err != nil {
		logrus.WithError(err).Error("orders cannot be encoded")
		return
	}
	m.part.pendingRecords = append(m.part.pendingRecords, controlRecord{record: site.Record{Key: ordersKey, Value: value}})
	for _, s := range m.planner.WaveStates(&m.view) {
		if r, err := m.waveRecord(now, s); err == nil && len(s.Started) > m.storedStarted[s.Number] {
			m.part.pendingRecords = append(m.part.pendingRecords, controlRecord{record: r})
		}
	}
}

// waveRecord returns what the job log keeps of a wave.
func (m *mover) waveRecord(now time.Time, s moves.WaveState) (site.Record, error) {
	began := m.waveStart[s.Number]
	value, err := jobs.Encode(&waveRecord{Number: s.Number, Started: s.Started, UnixMS: began.UnixMilli(), AgeMS: now.Sub(began).Milliseconds()})
	return site.Record{Key: fmt.Sprintf("%s%d", waveKeyPrefix, s.Number), Value: value}, err
}

// storeControlRecord stores a record with the next flush and calls done, if not nil, after it.
func (part *ownedPartition) storeControlRecord(r site.Record, done func()) {
	part.post(func(time.Time) {
		part.pendingRecords = append(part.pendingRecords, controlRecord{record: r, onStored: done})
	})
}

// send gives an send, on a connection of its own since several go at once.
func (m *mover) send(ctx context.Context, o moves.Order) {
	fleet := platform.NewFleet(m.part.node.settings)
	defer fleet.Close()
	var refusal site.Refusal
	var err error
	epoch := m.part.scheduler.Epoch
	if o.Kind == moves.Move {
		refusal, err = fleet.Move(ctx, o.Machine, o.Pool, epoch)
	} else {
		refusal, err = fleet.Maintain(ctx, o.Machine, o.Wave, epoch)
	}
	logrus.WithError(err).WithFields(logrus.Fields{
		"machine": o.Machine, "pool": o.Pool, "wave": o.Wave, "refusal": refusal.String(), "fence": epoch,
	}).Info("machine ordered")
	if err == nil && refusal == site.RefusedFence {
		m.part.post(func(time.Time) { m.part.scheduler.MarkFenced() })
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.planner.HandleReply(time.Now(), o, refusal, err)
}

// addWaves hands the operator's waves to the planner, with what the job log keeps.
func (m *mover) addWaves(now time.Time) {
	n := m.part.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.waves {
		if _, known := m.waveStart[w.Number]; known {
			continue
		}
		kept := m.part.restored.waves[w.Number]
		m.waveStart[w.Number] = kept.startTime(now, w.seenAt, site.Millis(int(w.WithinMS)))
		m.storedStarted[w.Number] = -1 // its begin is stored, too
		m.planner.AddWave(m.waveStart[w.Number], w.Wave, kept.Started)
	}
}

// publishWaves stores how far the waves are, first for the next owner, then for the
// operator.
func (m *mover) publishWaves(ctx context.Context, states []moves.WaveState) {
	for _, s := range states {
		state := fmt.Sprint(s.Completed)
		if len(s.Started) > m.storedStarted[s.Number] {
			m.storeWave(s)
		}
		if m.writtenStates[s.Number] == state {
			continue
		}
		if err := m.status.SetWave(ctx, s.Number, s.Completed); err != nil {
			logrus.WithError(err).WithField("wave", s.Number).Info("state of a wave could not be written; it is tried again")
			continue
		}
		m.writtenStates[s.Number] = state
		logrus.WithFields(logrus.Fields{"wave": s.Number, "completed": s.Completed, "done": len(s.Started)}).Info("state of a wave written")
	}
}

func (m *mover) storeWave(s moves.WaveState) {
	r, err := m.waveRecord(time.Now(), s)
	if err != nil {
		logrus.WithError(err).Error("wave cannot be encoded")
		return
	}
	m.mu.Lock()
	m.storedStarted[s.Number] = len(s.Started)
	m.mu.Unlock()
	m.part.storeControlRecord(r, nil)
}

// report asks the owner of a pool's partition.
func (n *Node) report(ctx context.Context, c *reportCall) (*sched.Report, error) {
	if n.ownedPartition(c.Partition) != nil {
		return n.reportLocal(ctx, c)
	}
	limit, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	last := errNoOwner
	for _, address := range n.owners.addresses(c.Partition) {
		r, err := peer.Call[reportCall, sched.Report](limit, n.peer(address), reportKind, c)
		if err == nil {
			return r, nil
		}
		last = err
	}
	return nil, last
}

var errNotOwner = errors.New("another entry owns the partition")

func (n *Node) reportLocal(ctx context.Context, c *reportCall) (*sched.Report, error) {
	if c.Coming {
		n.incomingUntil.Store(time.Now().Add(2 * reportTimeout).UnixNano())
	}
	return runOnPartition(ctx, n.ownedPartition(c.Partition), func(part *ownedPartition, now time.Time) *sched.Report {
		if !c.ReadOnly {
			part.scheduler.Cordon(c.Pool, c.Cordons)
			part.scheduler.SetPotentialCapacity(now, c.Pool, c.Potential)
			part.cordonedAt = now
		}
		return part.scheduler.Report(now, c.Pool)
	})
}
