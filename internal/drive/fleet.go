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
	fleetPartition = 0                      // its owner moves and maintains machines
	fleetEvery     = 150 * time.Millisecond // between two rounds of the planner; a burst is seen within a few
	reportLimit    = 250 * time.Millisecond // for the report of a pool; an entry that is slowed five times still gives it
	inventoryEvery = 300 * time.Millisecond // between two reads of the inventory without orders
	cordonFor      = 3 * time.Second        // a cordon that is not renewed ends
	keepOrders     = 10 * time.Second       // orders stay in the record; longer than a turn with its skew
	settleTime     = 800 * time.Millisecond // after a process starts; others that start with it still join
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
	shard     *shard
	planner   *moves.Planner
	fleet     *platform.Fleet
	status    *platform.Log
	shown     map[int64]string    // wave states as written for the operator
	kept      map[int64]int       // machines per wave in the job log
	began     map[int64]time.Time // the operator asked for the wave
	readAt    time.Time
	mu        sync.Mutex
	view      moves.View
	inventory *dependency
	loggedAt  time.Time
	over      bool                 // the partition is being handed over: no more orders
	given     map[string]time.Time // last order, by machine
}

func newMover(sh *shard) *mover {
	set := sh.node.set
	m := &mover{
		shard: sh, planner: moves.New(movesPolicy(set)),
		fleet: platform.NewFleet(set), status: platform.NewLog(set), shown: map[int64]string{}, kept: map[int64]int{}, began: map[int64]time.Time{},
		given: map[string]time.Time{}, inventory: &dependency{name: "inventory of machines"},
	}
	now := time.Now()
	for machine, given := range sh.kept.orders {
		m.given[machine] = now.Add(-given.age(now)) // for the mover after this one
	}
	return m
}

// run plans until the shard ends. Machines that the last owner ordered lately are left
// alone at first, so that two movers never take turns within the time that the site
// allows.
func (m *mover) run(ctx context.Context) {
	defer m.fleet.Close()
	defer m.status.Close()
	now, turn := time.Now(), site.Millis(m.shard.node.set.Bounds.TurnMS)
	for machine, given := range m.shard.kept.orders {
		m.planner.Freeze(machine, now.Add(turn-given.age(now)))
	}
	logrus.WithFields(logrus.Fields{"ordered-before": len(m.shard.kept.orders), "left-alone": m.planner.Frozen(now)}).Info("mover started")
	sleep(ctx, settleTime-time.Since(m.shard.node.started))
	for ctx.Err() == nil {
		m.round(ctx, time.Now())
		sleep(ctx, fleetEvery)
	}
}

func (m *mover) round(ctx context.Context, now time.Time) {
	cfg := m.shard.node.Config()
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
				Partition: m.shard.node.partitionOf(p.Name), Pool: p.Name,
				Cordons: m.planner.Cordons(&m.view, p.Name), Potential: m.planner.Potential(&m.view, p.Name),
				Coming: m.planner.HasIncoming(&m.view, p.Name),
			})
		}
	}
	m.mu.Unlock()
	reports := m.collect(ctx, calls)
	m.mu.Lock()
	if m.over {
		m.mu.Unlock()
		return
	}
	m.view.Reports = reports
	orders := m.planner.Plan(time.Now(), &m.view)
	states := m.planner.WaveStates(&m.view)
	record := m.note(orders)
	m.mu.Unlock()
	m.give(ctx, orders, record)
	m.logPools(time.Now(), states)
	m.showWaves(ctx, states)
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
	if now.Sub(m.readAt) < inventoryEvery {
		return nil
	}
	machines, err := m.fleet.Machines(ctx)
	m.inventory.report(err)
	if err != nil {
		return err
	}
	m.readAt = now
	m.mu.Lock()
	m.view.Machines, m.view.ReadStart = machines, now
	m.mu.Unlock()
	return nil
}

// collect asks the owners of all pools at once.
func (m *mover) collect(ctx context.Context, calls []*reportCall) map[string]*sched.Report {
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports := map[string]*sched.Report{}
	for _, c := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := m.shard.node.report(ctx, c)
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

// note remembers orders and returns the record that must be stored before them.
func (m *mover) note(orders []moves.Order) []byte {
	now := time.Now()
	for _, o := range orders {
		m.given[o.Machine] = now
	}
	value, err := m.ordersRecord(now)
	if err != nil {
		logrus.WithError(err).Error("orders cannot be encoded")
	}
	return value
}

// give stores which machines are ordered, then orders them, unless the partition has
// been handed over meanwhile.
func (m *mover) give(ctx context.Context, orders []moves.Order, record []byte) {
	if len(orders) == 0 || len(record) == 0 {
		return
	}
	m.shard.keep(site.Record{Key: ordersKey, Value: record}, func() {
		m.mu.Lock()
		over := m.over
		m.mu.Unlock()
		for _, o := range orders {
			if !over {
				go m.order(ctx, o)
			}
		}
	})
}

// ordersRecord returns the record of the machines ordered lately.
func (m *mover) ordersRecord(now time.Time) ([]byte, error) {
	r := ordersRecord{Given: map[string]givenAt{}}
	for machine, at := range m.given {
		age := now.Sub(at)
		if age > keepOrders {
			delete(m.given, machine)
			continue
		}
		r.Given[machine] = givenAt{UnixMS: at.UnixMilli(), AgeMS: age.Milliseconds()}
	}
	return jobs.Encode(&r)
}

// handOver stores how long ago machines were ordered, so that the next owner need not
// wait longer than it must, and which machines of waves are done.
func (m *mover) handOver(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.over = true
	value, err := m.ordersRecord(now)
	if err != nil {
		logrus.WithError(err).Error("orders cannot be encoded")
		return
	}
	m.shard.extra = append(m.shard.extra, extraRecord{record: site.Record{Key: ordersKey, Value: value}})
	for _, s := range m.planner.WaveStates(&m.view) {
		if r, err := m.waveRecord(now, s); err == nil && len(s.Started) > m.kept[s.Number] {
			m.shard.extra = append(m.shard.extra, extraRecord{record: r})
		}
	}
}

// waveRecord returns what the job log keeps of a wave.
func (m *mover) waveRecord(now time.Time, s moves.WaveState) (site.Record, error) {
	began := m.began[s.Number]
	value, err := jobs.Encode(&waveRecord{Number: s.Number, Done: s.Started, UnixMS: began.UnixMilli(), AgeMS: now.Sub(began).Milliseconds()})
	return site.Record{Key: fmt.Sprintf("%s%d", waveKey, s.Number), Value: value}, err
}

// keep stores a record with the next flush and calls done, if not nil, after it.
func (sh *shard) keep(r site.Record, done func()) {
	sh.post(func(time.Time) {
		sh.extra = append(sh.extra, extraRecord{record: r, done: done})
	})
}

// order gives an order, on a connection of its own since several go at once.
func (m *mover) order(ctx context.Context, o moves.Order) {
	fleet := platform.NewFleet(m.shard.node.set)
	defer fleet.Close()
	var refusal site.Refusal
	var err error
	epoch := m.shard.core.Epoch
	if o.Kind == moves.Move {
		refusal, err = fleet.Move(ctx, o.Machine, o.Pool, epoch)
	} else {
		refusal, err = fleet.Maintain(ctx, o.Machine, o.Wave, epoch)
	}
	logrus.WithError(err).WithFields(logrus.Fields{
		"machine": o.Machine, "pool": o.Pool, "wave": o.Wave, "refusal": refusal.String(), "fence": epoch,
	}).Info("machine ordered")
	if err == nil && refusal == site.RefusedFence {
		m.shard.post(func(time.Time) { m.shard.core.MarkFenced() })
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.planner.HandleReply(time.Now(), o, refusal, err)
}

// addWaves hands the operator's waves to the planner, with what the job log keeps.
func (m *mover) addWaves(now time.Time) {
	n := m.shard.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.waves {
		if _, known := m.began[w.Number]; known {
			continue
		}
		kept := m.shard.kept.waves[w.Number]
		m.began[w.Number] = kept.began(now, w.at, site.Millis(int(w.WithinMS)))
		m.kept[w.Number] = -1 // its begin is stored, too
		m.planner.AddWave(m.began[w.Number], w.Wave, kept.Done)
	}
}

// showWaves stores how far the waves are, first for the next owner, then for the
// operator.
func (m *mover) showWaves(ctx context.Context, states []moves.WaveState) {
	for _, s := range states {
		state := fmt.Sprint(s.Completed)
		if len(s.Started) > m.kept[s.Number] {
			m.keep(s)
		}
		if m.shown[s.Number] == state {
			continue
		}
		if err := m.status.SetWave(ctx, s.Number, s.Completed); err != nil {
			logrus.WithError(err).WithField("wave", s.Number).Info("state of a wave could not be written; it is tried again")
			continue
		}
		m.shown[s.Number] = state
		logrus.WithFields(logrus.Fields{"wave": s.Number, "completed": s.Completed, "done": len(s.Started)}).Info("state of a wave written")
	}
}

func (m *mover) keep(s moves.WaveState) {
	r, err := m.waveRecord(time.Now(), s)
	if err != nil {
		logrus.WithError(err).Error("wave cannot be encoded")
		return
	}
	m.mu.Lock()
	m.kept[s.Number] = len(s.Started)
	m.mu.Unlock()
	m.shard.keep(r, nil)
}

// report asks the owner of a pool's partition.
func (n *Node) report(ctx context.Context, c *reportCall) (*sched.Report, error) {
	if n.shardOf(c.Partition) != nil {
		return n.reportLocal(ctx, c)
	}
	limit, cancel := context.WithTimeout(ctx, reportLimit)
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
		n.coming.Store(time.Now().Add(2 * reportLimit).UnixNano())
	}
	return askShard(ctx, n.shardOf(c.Partition), func(sh *shard, now time.Time) *sched.Report {
		if !c.ReadOnly {
			sh.core.Cordon(c.Pool, c.Cordons)
			sh.core.SetPotentialCapacity(now, c.Pool, c.Potential)
			sh.cordonAt = now
		}
		return sh.core.Report(now, c.Pool)
	})
}
