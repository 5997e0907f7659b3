// Package quota divides the limits of client accounts among the partitions of the job log. It
// answers a load in which an account sends a multiple of its usual load for some seconds, to one
// pool or to several at once: what it has running over all pools must stay within its limit, and
// quota that one pool does not use must be available to another within a second.
//
// The quota coordinator, the owner of the fleet partition, allocates to each partition a fraction of
// each account's limit. The owner of a partition is the holder of its fractions. The coordinator's
// requests are numbered; holders ignore those that others have overtaken. A fraction is raised only
// as far as the largest fractions that all holders may have allow. Partitions whose largest task needs more
// than an equal division gives them take turns.
//
// The package has no clock and no network: the time and the messages are arguments.
package quota

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	// SilentAfter is how long a holder without a request uses its fractions. After that it uses at
	// most the even share.
	SilentAfter = 4 * time.Second
	// UnknownAfter is how long a new coordinator waits for the first reply of a partition before it
	// assumes that the partition holds the even share. A former coordinator that is cut off may send
	// requests until its authority has ended, and the last one holds for SilentAfter; the runs of an owner
	// that is cut off last for a lease (4.3 s) after that. Clocks may be off by 2 %.
	UnknownAfter = 8500 * time.Millisecond
)

// Grants are the fractions of the accounts' limits that a partition may use.
type Grants struct {
	Partitions int       // number of partitions that the limits are divided among
	Default    float64   // of accounts that are not listed
	Accounts   []string  // account names; not modified after the grants are made
	Fractions  []float64 // by index in Accounts
}

// Request is the coordinator's message to the owner of a partition.
type Request struct {
	Epoch          int64   // of the coordinator
	Sequence       int64   // increases with each request of a coordinator
	PartitionEpoch int64   // of the owner that Grants are for; 0 if the coordinator does not know it
	Grants         *Grants // nil to keep those of the earlier request that the owner has confirmed
}

// Reply is the owner's answer to a Request. It describes the owner's state.
type Reply struct {
	Epoch          int64   // highest coordinator epoch seen
	Sequence       int64   // highest sequence number seen in that epoch
	PartitionEpoch int64   // of the replying owner
	Adopted        bool    // the owner holds the last fractions of the request with this epoch and sequence number
	Held           *Grants // what the owner holds unless Adopted; nil for nothing
	Loads          []Load  // of accounts with work
}

// Load is what an account runs and could run in a partition.
type Load struct {
	Account string
	Used    site.Resources // by what counts as running
	Demand  site.Resources // of ready tasks without a run
	Lasting site.Resources // the part of Used of long-running tasks
	// Largest is what the largest of the ready tasks or gangs needs that fit within the limit. A fraction below it keeps
	// that task waiting, whatever ends in the partition. Owners of the version before leave it at zero.
	Largest site.Resources
}

// Share returns the largest of the shares of a limit that an amount uses. Resources without a limit
// do not count.
func Share(amount, limit site.Resources) float64 {
	share := 0.0
	for _, r := range [...]struct{ amount, limit int }{{amount.CPU, limit.CPU}, {amount.MemMB, limit.MemMB}, {amount.GPU, limit.GPU}} {
		if r.limit > 0 {
			share = max(share, float64(r.amount)/float64(r.limit))
		}
	}
	return share
}

// Within reports whether an amount is within a fraction of a limit.
func Within(amount, limit site.Resources, fraction float64) bool {
	const rounding = 1e-9 // relative error of sums of fractions
	return Share(amount, limit) <= fraction*(1+rounding)
}
