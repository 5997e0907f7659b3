// Package buffer decides how many VMs each pool holds. One objective weighs VMs
// that change their pool, VMs that stand idle and VMs that are missing; the
// hysteresis follows from these costs alone.
//
// Each pool is seen as levels: level k is the pool's k-th VM, which is needed
// while the demand exceeds k-1 VMs. A level changes hands once its other state would
// have saved the price of the moves, or at once if its mean durations say that it
// will. A level that comes in regular turns is filled a move ahead of its turn. A VM
// that another pool holds is taken only for more than the price of moving it back, and
// from the pool that will need it last.
package buffer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	learnShare   = 0.3                    // weight of the newest duration in a level's mean
	learnSamples = 1                      // durations that are needed before the mean is used
	moveTime     = 1 * time.Second        // from a decision to a VM's first request in its new pool
	maxMoves     = 4                      // moves of one round
	turnSamples  = 2                      // durations after which a level may be seen to come in turns
	turnOff      = 0.1                    // share of its mean by which the duration of a turn may be missed
	turnLead     = 500 * time.Millisecond // by which the begin of a turn may be missed
)

// firstMean is for how many seconds a level is taken to stay unneeded and needed until
// it has been seen to come and go: a burst of some seconds in some minutes.
var firstMean = [2]float64{120, 20}

// Weights are the costs that the settings give.
type Weights struct {
	Move           float64 // one VM changing its pool
	IdlePerMin     float64 // one VM idle for a minute
	ShortagePerSec float64 // one VM missing for a second
}

// Pool is what is known of one pool.
type Pool struct {
	Name       string
	Spare      bool
	Serving    int     // VMs that serve
	Arriving   int     // VMs on their way into the pool
	MinServing int     // availability budget; levels up to here never move
	Need       float64 // demand in VMs
}

// Move asks for any serving VM of one pool to move to another.
type Move struct{ From, To string }

// Planner remembers what each level has cost. It is not safe for concurrent use.
type Planner struct {
	w      Weights
	last   time.Time
	levels map[levelKey]*level
	tops   map[string]int // highest level of each pool that was ever held or needed
}

type levelKey struct {
	pool string
	k    int
}

// level is one VM's worth of a pool's demand.
type level struct {
	needed  bool
	since   time.Time // when needed last changed
	held    bool
	cost    float64    // what the other state would have saved since it was last as good
	lasted  [2]float64 // mean seconds unneeded and needed
	latest  [2]float64 // the last of these durations
	before  [2]float64 // the one before it
	samples [2]int
}

// NewPlanner returns a planner without a past.
func NewPlanner(w Weights) *Planner {
	return &Planner{w: w, levels: map[levelKey]*level{}, tops: map[string]int{}}
}

// Plan returns the moves that are due. VMs that one pool gives up go to a pool
// that misses some before they go to the spare pool; a pool that misses VMs takes
// them from the spare pool, then from pools that do not need theirs.
func (p *Planner) Plan(now time.Time, pools []Pool) []Move {
	dt := 0.0
	if !p.last.IsZero() {
		dt = now.Sub(p.last).Seconds()
	}
	p.last = now
	spare := slices.IndexFunc(pools, func(pl Pool) bool { return pl.Spare })
	if spare < 0 {
		return nil
	}
	var r round
	for _, pl := range byShortage(pools) {
		if !pl.Spare {
			p.weigh(now, dt, pl, &r)
		}
	}
	return r.match(pools[spare])
}

// round is what the pools of one round give and take, a name for each VM.
type round struct {
	in       []wanted // VMs that pools should gain
	out      []string // pools that should lose one
	unneeded []lender // pools that hold one more than they need
}

// lender is a pool that does not need a VM until a time.
type lender struct {
	pool  string
	until time.Time
}

// wanted is a VM that a pool should gain.
type wanted struct {
	pool     string
	takeOver bool // also from a pool that may want it back
}

// match pairs pools that gain with pools that lose.
func (r *round) match(spare Pool) []Move {
	var moves []Move
	take := func(from *[]string) string {
		name := (*from)[0]
		*from = (*from)[1:]
		return name
	}
	slices.SortStableFunc(r.unneeded, func(a, b lender) int { return b.until.Compare(a.until) })
	free := spare.Serving - spare.MinServing
	for _, to := range r.in {
		switch {
		case len(r.out) > 0:
			moves = append(moves, Move{From: take(&r.out), To: to.pool})
		case free > 0:
			free--
			moves = append(moves, Move{From: spare.Name, To: to.pool})
		case to.takeOver && len(r.unneeded) > 0:
			moves = append(moves, Move{From: r.unneeded[0].pool, To: to.pool})
			r.unneeded = r.unneeded[1:]
		}
	}
	for _, from := range r.out {
		moves = append(moves, Move{From: from, To: spare.Name})
	}
	return moves[:min(len(moves), maxMoves)]
}

// byShortage puts the pool that misses most VMs first.
func byShortage(pools []Pool) []Pool {
	sorted := slices.Clone(pools)
	slices.SortStableFunc(sorted, func(a, b Pool) int {
		return cmp.Compare(b.Need-float64(b.Serving), a.Need-float64(a.Serving))
	})
	return sorted
}

// weigh adds what one pool should gain and lose to the round.
func (p *Planner) weigh(now time.Time, dt float64, pl Pool, r *round) {
	held := pl.Serving + pl.Arriving
	top := max(held, int(pl.Need)+1, p.tops[pl.Name])
	p.tops[pl.Name] = top
	for k := pl.MinServing + 1; k <= top; k++ {
		lv := p.level(now, pl.Name, k)
		lv.observe(now, pl.Need > float64(k-1))
		lv.regret(k <= held, dt, p.w)
		switch {
		case k > held && (lv.needed || lv.due(now)):
			fill, takeOver := p.missing(now, lv)
			if fill {
				r.in = append(r.in, wanted{pl.Name, takeOver})
			}
		case k <= held && !lv.needed && !lv.due(now):
			switch {
			case k > pl.Serving:
			case p.idle(lv):
				r.out = append(r.out, pl.Name)
			default:
				r.unneeded = append(r.unneeded, lender{pl.Name, lv.next()})
			}
		}
	}
}

// regret adds to what the level would have saved in its other state.
func (lv *level) regret(held bool, dt float64, w Weights) {
	if held != lv.held {
		lv.held, lv.cost = held, 0
	}
	short, idle := dt*w.ShortagePerSec, dt*w.IdlePerMin/60
	switch {
	case held && lv.needed:
		lv.cost -= short
	case held:
		lv.cost += idle
	case lv.needed:
		lv.cost += short
	default:
		lv.cost -= idle
	}
	lv.cost = max(lv.cost, 0)
}

func (p *Planner) level(now time.Time, pool string, k int) *level {
	key := levelKey{pool, k}
	lv := p.levels[key]
	if lv == nil {
		lv = &level{since: now}
		p.levels[key] = lv
	}
	return lv
}

// observe learns the duration of a state that has just ended.
func (lv *level) observe(now time.Time, needed bool) {
	if needed == lv.needed {
		return
	}
	i := index(lv.needed)
	lasted := now.Sub(lv.since).Seconds()
	if lv.samples[i] == 0 {
		lv.lasted[i] = lasted
	}
	lv.latest[i], lv.before[i] = lasted, lv.latest[i]
	lv.lasted[i] += learnShare * (lasted - lv.lasted[i])
	lv.samples[i]++
	lv.needed, lv.since = needed, now
}

func index(needed bool) int {
	if needed {
		return 1
	}
	return 0
}

// missing reports whether a level that is needed and not held should be filled from
// what no pool holds on to, and whether it is worth to take the VM from another pool,
// which may want it back.
func (p *Planner) missing(now time.Time, lv *level) (fill, takeOver bool) {
	past := 0.0
	if lv.needed {
		past = now.Sub(lv.since).Seconds()
	}
	gain := (lv.mean(true) - past - moveTime.Seconds()) * p.w.ShortagePerSec
	paid := past * p.w.ShortagePerSec
	return lv.cost >= p.w.Move || gain > p.w.Move, gain > 2*p.w.Move || paid >= 2*p.w.Move
}

// next returns when an unneeded level is expected to be needed.
func (lv *level) next() time.Time {
	return lv.since.Add(time.Duration(lv.mean(false) * float64(time.Second)))
}

// due reports whether an unneeded level that comes in regular turns is about to be
// needed, a move ahead of it.
func (lv *level) due(now time.Time) bool {
	if lv.needed || lv.samples[0] < turnSamples || math.Abs(lv.latest[0]-lv.before[0]) > turnOff*lv.latest[0] {
		return false
	}
	ahead := lv.since.Add(time.Duration(lv.latest[0] * float64(time.Second))).Sub(now)
	return ahead <= moveTime+turnLead && ahead > -turnLead
}

// idle reports whether a level that is held and not needed should be given up: a VM
// that is needed again moves twice.
func (p *Planner) idle(lv *level) bool {
	return lv.cost >= 2*p.w.Move || lv.mean(false)*p.w.IdlePerMin/60 > 2*p.w.Move
}

// mean returns for how many seconds the level stays needed, or unneeded.
func (lv *level) mean(needed bool) float64 {
	i := index(needed)
	if lv.samples[i] < learnSamples {
		return firstMean[i]
	}
	return lv.lasted[i]
}
