// Package buffer decides how many VMs each pool holds. Its caller passes each pool's VMs
// and demand to Planner.Plan, which returns the moves between pools; the caller carries
// them out. A pool's buffer is the idle VMs that it holds in reserve. The planner weighs
// the costs of moves, of idle VMs and of missing VMs. The cost of a move keeps VMs from
// moving back and forth; there are no separate thresholds for hysteresis.
//
// A pool is divided into levels: level k is the pool's k-th VM, which is needed while the
// demand exceeds k-1 VMs. A level is held if the pool has a VM for it. Its regret is the
// cost that a held level would have saved if it were not held, or that a level without a VM
// would have saved if it were held. A level is filled once its regret reaches the cost of
// one move, and released once it reaches that of two, as the VM moves back later. Either
// happens immediately if the level's mean durations predict that the savings will exceed
// this cost. A level whose demand is periodic is filled under the same conditions one move
// time before it is needed. A donor is a pool that holds a VM which it neither needs nor
// releases. The VM is taken only if the expected gain, or the cost of the shortage so far,
// exceeds the cost of moving it there and back. Of several donors, the one that is expected
// to need its VM latest gives it up.
package buffer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	ewmaWeight       = 0.3                    // weight of the newest duration in a level's mean duration (EWMA)
	minSamples       = 1                      // durations needed before a level's mean is used
	moveTime         = 1 * time.Second        // from the decision to the VM's first request in its new pool
	maxMovesPerRound = 4                      // largest number of moves that one call to Plan returns; the next call plans again
	minPeriodSamples = 2                      // durations needed before a level's demand may count as periodic
	periodTolerance  = 0.1                    // largest relative difference of the last two durations of a periodic level
	periodSlack      = 500 * time.Millisecond // largest error, early or late, of the predicted time at which a periodic level is needed
)

// initialMeanSeconds are the mean durations that are assumed for a level's unneeded and
// needed state, by stateIndex, until durations have been observed. They fit demand with
// bursts of some seconds every few minutes.
var initialMeanSeconds = [2]float64{120, 20}

// Weights are the costs that the planner minimises. They are set in the settings.
type Weights struct {
	Move           float64 // one VM moving to another pool
	IdlePerMin     float64 // one VM being idle for a minute
	ShortagePerSec float64 // one VM being missing for a second
}

// Pool is the state of one pool.
type Pool struct {
	Name       string
	Spare      bool    // the spare pool: its VMs are the reserve of the other pools
	Serving    int     // VMs in service
	Arriving   int     // VMs that are moving into the pool
	MinServing int     // availability budget: VMs that must stay in service; levels up to this one are never released
	Need       float64 // demand, in VMs
}

// Move orders the move of any one VM in service from one pool to another.
type Move struct{ From, To string }

// Planner plans moves and keeps the history of each level. It is not safe for concurrent
// use.
type Planner struct {
	weights    Weights
	lastPlanAt time.Time // time of the last call to Plan
	levels     map[levelKey]*level
	topLevels  map[string]int // by pool: highest level evaluated so far; levels up to it are always evaluated, so that each records a fall of the demand
}

type levelKey struct {
	pool string
	k    int // the level is the pool's k-th VM; the first is 1
}

// level is the history of the demand for one VM of a pool.
type level struct {
	needed           bool       // demand exceeds k-1 VMs
	changedAt        time.Time  // when needed last changed
	held             bool       // the pool has a VM for this level, in service or moving in
	regret           float64    // net cost that the opposite of held would have saved since held last changed; at least 0
	meanDuration     [2]float64 // moving mean, in seconds, by stateIndex
	lastDuration     [2]float64 // last duration, in seconds, by stateIndex
	previousDuration [2]float64 // duration before the last, in seconds, by stateIndex
	samples          [2]int     // number of durations observed, by stateIndex
}

// NewPlanner returns a planner without history.
func NewPlanner(w Weights) *Planner {
	return &Planner{weights: w, levels: map[levelKey]*level{}, topLevels: map[string]int{}}
}

// Plan returns the moves to start now, at most maxMovesPerRound. A VM that a pool
// releases goes to a pool that lacks VMs, else to the spare pool. A pool that lacks VMs
// gets released ones, then spare ones, then those that other pools hold but do not need.
// Without a spare pool there are no moves.
func (p *Planner) Plan(now time.Time, pools []Pool) []Move {
	dt := 0.0
	if !p.lastPlanAt.IsZero() {
		dt = now.Sub(p.lastPlanAt).Seconds()
	}
	p.lastPlanAt = now
	spare := slices.IndexFunc(pools, func(pl Pool) bool { return pl.Spare })
	if spare < 0 {
		return nil
	}
	var r round
	for _, pl := range byShortage(pools) {
		if !pl.Spare {
			p.evaluate(now, dt, pl, &r)
		}
	}
	return r.match(pools[spare])
}

// round collects what pools request and release in one call to Plan, one element for
// each VM.
type round struct {
	requests []request // VMs that pools lack
	released []string  // names of pools that release a VM
	donors   []donor   // pools that hold an unneeded VM without releasing it
}

// donor is a pool with an unneeded VM, and the time at which the pool is expected to
// need it.
type donor struct {
	pool     string
	neededAt time.Time
}

// request asks for one VM for a pool.
type request struct {
	pool      string
	fromDonor bool // may be taken from a donor, which may need the VM again
}

// match assigns VMs to the requests: released ones, then spare ones, then those of the
// donors that are expected to need them latest. The remaining released VMs go to the
// spare pool. Moves beyond maxMovesPerRound are dropped.
func (r *round) match(spare Pool) []Move {
	var moves []Move
	popFirst := func(names *[]string) string {
		name := (*names)[0]
		*names = (*names)[1:]
		return name
	}
	slices.SortStableFunc(r.donors, func(a, b donor) int { return b.neededAt.Compare(a.neededAt) })
	free := spare.Serving - spare.MinServing
	for _, req := range r.requests {
		switch {
		case len(r.released) > 0:
			moves = append(moves, Move{From: popFirst(&r.released), To: req.pool})
		case free > 0:
			free--
			moves = append(moves, Move{From: spare.Name, To: req.pool})
		case req.fromDonor && len(r.donors) > 0:
			moves = append(moves, Move{From: r.donors[0].pool, To: req.pool})
			r.donors = r.donors[1:]
		}
	}
	for _, from := range r.released {
		moves = append(moves, Move{From: from, To: spare.Name})
	}
	return moves[:min(len(moves), maxMovesPerRound)]
}

// byShortage returns the pools sorted by their demand minus their VMs in service, largest
// first. VMs that are moving in do not count.
func byShortage(pools []Pool) []Pool {
	sorted := slices.Clone(pools)
	slices.SortStableFunc(sorted, func(a, b Pool) int {
		return cmp.Compare(b.Need-float64(b.Serving), a.Need-float64(a.Serving))
	})
	return sorted
}

// evaluate updates the levels of a pool and adds its requests, releases and donors to
// the round.
func (p *Planner) evaluate(now time.Time, dt float64, pl Pool, r *round) {
	held := pl.Serving + pl.Arriving
	top := max(held, int(pl.Need)+1, p.topLevels[pl.Name])
	p.topLevels[pl.Name] = top
	for k := pl.MinServing + 1; k <= top; k++ {
		lv := p.level(now, pl.Name, k)
		lv.observe(now, pl.Need > float64(k-1))
		lv.updateRegret(k <= held, dt, p.weights)
		switch {
		case k > held && (lv.needed || lv.dueSoon(now)):
			fill, fromDonor := p.shouldFill(now, lv)
			if fill {
				r.requests = append(r.requests, request{pl.Name, fromDonor})
			}
		case k <= held && !lv.needed && !lv.dueSoon(now):
			switch {
			case k > pl.Serving: // the VM is still moving in and cannot leave yet
			case p.shouldRelease(lv):
				r.released = append(r.released, pl.Name)
			default:
				r.donors = append(r.donors, donor{pl.Name, lv.nextNeeded()})
			}
		}
	}
}

// updateRegret updates the level's regret for the last dt seconds. It increases while a VM
// is idle or missing, and decreases while the level is held and needed, or neither.
func (lv *level) updateRegret(held bool, dt float64, w Weights) {
	if held != lv.held {
		lv.held, lv.regret = held, 0
	}
	shortageCost, idleCost := dt*w.ShortagePerSec, dt*w.IdlePerMin/60
	switch {
	case held && lv.needed:
		lv.regret -= shortageCost
	case held:
		lv.regret += idleCost
	case lv.needed:
		lv.regret += shortageCost
	default:
		lv.regret -= idleCost
	}
	lv.regret = max(lv.regret, 0)
}

// level returns the history of level k of a pool, a new one if there is none.
func (p *Planner) level(now time.Time, pool string, k int) *level {
	key := levelKey{pool, k}
	lv := p.levels[key]
	if lv == nil {
		lv = &level{changedAt: now}
		p.levels[key] = lv
	}
	return lv
}

// observe records whether the level is needed, and on a change the duration of the state
// that has ended.
func (lv *level) observe(now time.Time, needed bool) {
	if needed == lv.needed {
		return
	}
	i := stateIndex(lv.needed)
	duration := now.Sub(lv.changedAt).Seconds()
	if lv.samples[i] == 0 {
		lv.meanDuration[i] = duration
	}
	lv.lastDuration[i], lv.previousDuration[i] = duration, lv.lastDuration[i]
	lv.meanDuration[i] += ewmaWeight * (duration - lv.meanDuration[i])
	lv.samples[i]++
	lv.needed, lv.changedAt = needed, now
}

// stateIndex returns the index of a state in the arrays of a level: 0 for unneeded, 1 for
// needed.
func stateIndex(needed bool) int {
	if needed {
		return 1
	}
	return 0
}

// shouldFill reports whether a level that is not held, and is needed or soon will be,
// should be filled, and whether a donor's VM may be used if there is no released or spare
// one. A donor's VM must be worth two moves, since the donor may need it again.
func (p *Planner) shouldFill(now time.Time, lv *level) (fill, fromDonor bool) {
	elapsed := 0.0
	if lv.needed {
		elapsed = now.Sub(lv.changedAt).Seconds()
	}
	gain := (lv.expectedDuration(true) - elapsed - moveTime.Seconds()) * p.weights.ShortagePerSec
	shortageSoFar := elapsed * p.weights.ShortagePerSec
	return lv.regret >= p.weights.Move || gain > p.weights.Move, gain > 2*p.weights.Move || shortageSoFar >= 2*p.weights.Move
}

// nextNeeded returns the time at which an unneeded level is expected to be needed.
func (lv *level) nextNeeded() time.Time {
	return lv.changedAt.Add(time.Duration(lv.expectedDuration(false) * float64(time.Second)))
}

// dueSoon reports whether an unneeded level with periodic demand is predicted to be needed
// between periodSlack ago and moveTime plus periodSlack from now. The demand counts as
// periodic if the last two unneeded durations are nearly equal.
func (lv *level) dueSoon(now time.Time) bool {
	if lv.needed || lv.samples[0] < minPeriodSamples || math.Abs(lv.lastDuration[0]-lv.previousDuration[0]) > periodTolerance*lv.lastDuration[0] {
		return false
	}
	untilNeeded := lv.changedAt.Add(time.Duration(lv.lastDuration[0] * float64(time.Second))).Sub(now)
	return untilNeeded <= moveTime+periodSlack && untilNeeded > -periodSlack
}

// shouldRelease reports whether a level that is held and not needed should be released.
// It must save two moves, as the VM moves back when it is needed again.
func (p *Planner) shouldRelease(lv *level) bool {
	return lv.regret >= 2*p.weights.Move || lv.expectedDuration(false)*p.weights.IdlePerMin/60 > 2*p.weights.Move
}

// expectedDuration returns the mean duration, in seconds, of the level's needed or
// unneeded state: initialMeanSeconds until durations have been observed.
func (lv *level) expectedDuration(needed bool) float64 {
	i := stateIndex(needed)
	if lv.samples[i] < minSamples {
		return initialMeanSeconds[i]
	}
	return lv.meanDuration[i]
}
