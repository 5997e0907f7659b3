// Package fair divides a pool's capacity among client accounts that together ask for more than it has.
//
// It answers two loads: one account that sends 2 to 10 times its usual load for some seconds beside
// others that do not, and all accounts together sending several times what a pool can do. The capacity
// of a window is divided by weighted max-min: in proportion to the accounts' weights, where what one
// leaves goes to the others. A token bucket bounds the jobs per second that an account is owed at all.
//
// The package uses no clock and no network. Package sched measures demand and capacity and calls it.
package fair

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Claim is the demand of an account on the capacity of a window, in the unit of the capacity.
type Claim struct {
	Weight float64 // above 0
	Demand float64
}

// Level returns the largest capacity per unit of weight for which the shares fit into the capacity,
// where an account's share is its weight times the level but no more than its demand. It is infinite if
// all demand fits. Level sorts the claims.
func Level(capacity float64, claims []Claim) float64 {
	demand, weight := 0.0, 0.0
	for i := range claims {
		demand += claims[i].Demand
		weight += claims[i].Weight
	}
	if demand <= capacity {
		return math.Inf(1)
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Demand*b.Weight, b.Demand*a.Weight) })
	left := max(capacity, 0)
	for i := range claims {
		c := &claims[i]
		if c.Demand*weight > left*c.Weight {
			return left / weight // the rest asks for more per weight
		}
		left -= c.Demand
		weight -= c.Weight
	}
	return math.Inf(1) // only by rounding errors
}

// burstTime is the time for which a bucket collects tokens.
const burstTime = time.Second

// Bucket is a token bucket that classes an account's jobs as within or beyond its rate. The zero value
// is a full bucket.
type Bucket struct {
	used float64 // tokens missing from a full bucket, at the time at
	at   time.Time
}

// Take takes the token of one job from a bucket that gets rate tokens per second. It reports false if
// there is none; the job is then beyond the rate. A full bucket holds the tokens of one second, at
// least one.
func (b *Bucket) Take(now time.Time, rate float64) bool {
	size := max(rate*burstTime.Seconds(), 1)
	if elapsed := now.Sub(b.at); !b.at.IsZero() && elapsed > 0 {
		b.used = max(b.used-elapsed.Seconds()*rate, 0)
	}
	if b.at.Before(now) {
		b.at = now
	}
	const tolerance = 1e-9 // of rounding errors, in tokens
	if b.used+1 > size+tolerance {
		return false
	}
	b.used++
	return true
}
