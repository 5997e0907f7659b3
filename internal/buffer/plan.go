// Package buffer decides how many VMs each pool holds. One objective weighs VMs
// that change their pool, VMs that stand idle and VMs that are missing; the
// hysteresis follows from these costs alone.
//
// Each pool is seen as levels: level k is the pool's k-th VM, which is needed
// while the demand exceeds k-1 VMs. A level changes hands when what it has cost
// since its last change, idle or missing, has reached the price of moving a VM
// there and back; no more than twice what the best choice in hindsight costs.
// Once a level has been seen to come and go, its mean durations tell earlier: it
// moves at once if the expected cost exceeds that price.
package buffer

import (
	"cmp"
	"slices"
	"time"
)

const (
	learnShare   = 0.3             // weight of the newest duration in a level's mean
	learnSamples = 1               // durations that are needed before the mean is used
	moveTime     = 1 * time.Second // from a decision to a VM's first request in its new pool
	maxMoves     = 4               // moves of one round
)

// Weights are the costs that the settings give.
type Weights struct {
	Move       float64 // one VM changing its pool
	IdlePerMin float64 // one VM idle for a minute
	ShortPerS  float64 // one VM missing for a second
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
	since   time.Time  // when needed last changed
	cost    float64    // idle while held, or missing while not, since the last change
	lasted  [2]float64 // mean seconds unneeded and needed
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
	in       []string // pools that should gain a VM
	out      []string // pools that should lose one
	unneeded []string // pools that hold one more than they need
}

// match pairs pools that gain with pools that lose.
func (r *round) match(spare Pool) []Move {
	var moves []Move
	take := func(from *[]string) string {
		name := (*from)[0]
		*from = (*from)[1:]
		return name
	}
	free := spare.Serving - spare.MinServing
	for _, to := range r.in {
		switch {
		case len(r.out) > 0:
			moves = append(moves, Move{From: take(&r.out), To: to})
		case free > 0:
			free--
			moves = append(moves, Move{From: spare.Name, To: to})
		case len(r.unneeded) > 0:
			moves = append(moves, Move{From: take(&r.unneeded), To: to})
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
		switch {
		case k > held && lv.needed:
			lv.cost += dt * p.w.ShortPerS
			if p.missing(now, lv) {
				r.in = append(r.in, pl.Name)
			}
		case k <= held && !lv.needed:
			lv.cost += dt * p.w.IdlePerMin / 60
			switch {
			case k > pl.Serving:
			case p.idle(lv):
				r.out = append(r.out, pl.Name)
			default:
				r.unneeded = append(r.unneeded, pl.Name)
			}
		default:
			lv.cost = 0
		}
	}
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
	lv.lasted[i] += learnShare * (lasted - lv.lasted[i])
	lv.samples[i]++
	lv.needed, lv.since, lv.cost = needed, now, 0
}

func index(needed bool) int {
	if needed {
		return 1
	}
	return 0
}

// price is what a VM costs that moves there and back.
func (p *Planner) price() float64 { return 2 * p.w.Move }

// missing reports whether a level that is needed and not held should be filled.
func (p *Planner) missing(now time.Time, lv *level) bool {
	if lv.cost >= p.price() {
		return true
	}
	gain := lv.lasted[1] - now.Sub(lv.since).Seconds() - moveTime.Seconds()
	return lv.samples[1] >= learnSamples && gain*p.w.ShortPerS > p.price()
}

// idle reports whether a level that is held and not needed should be given up.
func (p *Planner) idle(lv *level) bool {
	if lv.cost >= p.price() {
		return true
	}
	return lv.samples[0] >= learnSamples && lv.lasted[0]*p.w.IdlePerMin/60 > p.price()
}
