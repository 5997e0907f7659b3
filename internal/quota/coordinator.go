package quota

import (
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	idleAfter   = 3 * time.Second        // an account without work for this long returns to the default fractions
	freshFor    = 600 * time.Millisecond // a partition without a reply for this long, four rounds, gets no larger fractions
	forgetAfter = UnknownAfter           // a partition that has lost its pools counts for this long
	floorShare  = 0.05                   // of a limit, over all partitions; kept for partitions without need, whose first tasks need not wait for a round then
	epsilon     = 1e-9                   // difference of fractions that does not matter; rounding errors are smaller
)

// Coordinator allocates fractions to partitions. It is not safe for concurrent use.
type Coordinator struct {
	epoch      int64
	sequence   int64
	fenced     bool                    // a coordinator with a higher epoch is known
	partitions []*partition            // by partition number; nil if the partition has had no pools
	count      int                     // number of partitions with pools
	defaults   *account                // the fractions of all accounts without an entry in accounts
	accounts   map[string]*account     // accounts that have or recently had work
	order      []*account              // accounts, in the order in which requests list them
	names      []string                // of order; replaced when it changes
	limits     map[string]site.Account // by account name; of removed accounts, the last ones known
	changes    []Change
}

// partition is the coordinator's view of a partition's owner.
type partition struct {
	listed      bool      // it has pools
	since       time.Time // when it was first listed, or last was
	known       bool      // its owner has replied to this coordinator
	adopted     bool      // that owner holds fractions of this coordinator
	epoch       int64     // of the owner
	confirmed   int64     // sequence number of the last reply
	sent        int64     // sequence number of the last request
	repliedAt   time.Time
	dirty       bool // fractions have changed since the last request that listed them
	outstanding bool // the last listed fractions are not confirmed
}

// account is the allocation of one account. The slices are indexed by partition number.
type account struct {
	name    string
	sent    []float64 // fraction in the last request
	ceiling []float64 // largest fraction that the owner may hold
	used    []float64 // share of the limit that counts as running, by the last reply
	need    []float64 // used plus the share of the waiting tasks
	lasting []float64 // the part of used of long-running tasks
	largest []float64 // share that the largest waiting task or gang needs; 0 if none waits
	turns   turns
	workAt  time.Time // when it last had work
}

// Change is a change of a fraction, for the log.
type Change struct {
	Account   string // empty for the default of accounts without work
	Partition int
	From, To  float64
	Used      float64 // share of the limit in use in the partition
	Need      float64 // share that the partition could use
	Age       time.Duration
}

// NewCoordinator returns a coordinator that knows nothing of what partitions hold. epoch is that of
// the owner of the fleet partition.
func NewCoordinator(epoch int64) *Coordinator {
	return &Coordinator{epoch: epoch, defaults: &account{turns: newTurns()}, accounts: map[string]*account{}, limits: map[string]site.Account{}}
}

// Fenced reports whether a coordinator with a higher epoch is known. Then this one does nothing more.
func (c *Coordinator) Fenced() bool { return c.fenced }

// Round returns the next request for each of the partitions with pools, and the changes of
// fractions that it makes. A partition counts as known once HandleReply has got its reply.
func (c *Coordinator) Round(now time.Time, partitions []int, accounts []site.Account) (map[int]*Request, []Change) {
	if c.fenced {
		return nil, nil
	}
	for i := range accounts {
		c.limits[accounts[i].Name] = accounts[i]
	}
	c.setPartitions(now, partitions)
	c.changes = nil
	c.allocate(now, c.defaults)
	for _, a := range c.order {
		c.allocate(now, a)
	}
	c.removeIdle(now)
	return c.requests(partitions), c.changes
}

// setPartitions sets the partitions that have pools. One that has lost its pools is forgotten after
// forgetAfter: its owner uses what it holds for at most SilentAfter.
func (c *Coordinator) setPartitions(now time.Time, list []int) {
	c.count = len(list)
	for n, p := range c.partitions {
		if p == nil {
			continue
		}
		if !slices.Contains(list, n) && p.listed {
			p.listed, p.since = false, now
		}
		if !p.listed && (!p.known || now.Sub(p.since) > forgetAfter) {
			c.partitions[n] = nil
			c.clearPartition(n)
		}
	}
	for _, n := range list {
		c.grow(n + 1)
		p := c.partitions[n]
		if p == nil {
			p = &partition{since: now}
			c.partitions[n] = p
		}
		p.listed = true
	}
}

// clearPartition removes a partition from all allocations.
func (c *Coordinator) clearPartition(n int) {
	for _, a := range append(slices.Clone(c.order), c.defaults) {
		a.sent[n], a.ceiling[n] = 0, 0
		a.clearLoad(n)
	}
}

// grow extends all slices to n partitions.
func (c *Coordinator) grow(n int) {
	for len(c.partitions) < n {
		c.partitions = append(c.partitions, nil)
	}
	c.defaults.grow(len(c.partitions))
	for _, a := range c.order {
		a.grow(len(c.partitions))
	}
}

func (a *account) grow(n int) {
	for len(a.sent) < n {
		a.sent, a.ceiling, a.used, a.need = append(a.sent, 0), append(a.ceiling, 0), append(a.used, 0), append(a.need, 0)
		a.lasting, a.largest = append(a.lasting, 0), append(a.largest, 0)
	}
}

// clearLoad records that an account has no work in a partition.
func (a *account) clearLoad(n int) {
	a.used[n], a.need[n], a.lasting[n], a.largest[n] = 0, 0, 0, 0
}

// HandleReply handles the reply of a partition's owner.
func (c *Coordinator) HandleReply(now time.Time, n int, r *Reply) {
	switch {
	case c.fenced || r.Epoch < c.epoch || n >= len(c.partitions) || c.partitions[n] == nil:
		return
	case r.Epoch > c.epoch:
		c.fenced = true
		return
	}
	p := c.partitions[n]
	if r.PartitionEpoch < p.epoch || (r.PartitionEpoch == p.epoch && r.Sequence < p.confirmed) {
		return // a later reply has been handled
	}
	otherOwner := !p.known || r.PartitionEpoch != p.epoch
	p.known, p.epoch, p.confirmed, p.repliedAt = true, r.PartitionEpoch, r.Sequence, now
	p.adopted = r.Adopted
	latest := r.Sequence == p.sent
	if r.Adopted && !otherOwner {
		if latest {
			c.confirm(n)
			p.outstanding = false
		}
	} else {
		c.setHeld(now, n, r, latest, otherOwner)
		p.dirty = true
	}
	c.setLoads(now, n, r.Loads)
}

// confirm records that the owner of a partition holds the fractions of the last request.
func (c *Coordinator) confirm(n int) {
	c.defaults.ceiling[n] = c.defaults.sent[n]
	for _, a := range c.order {
		a.ceiling[n] = a.sent[n]
	}
}

// setHeld records what the owner of a partition reports to hold. Unless it answers the latest
// request, it may still adopt what an earlier one contains. Another owner than before has nothing to
// adopt: requests name the owner that they are for.
func (c *Coordinator) setHeld(now time.Time, n int, r *Reply, latest, otherOwner bool) {
	var held Holder
	if r.Held != nil {
		held.set(r.Held)
		for _, name := range r.Held.Accounts {
			c.account(now, name)
		}
	} else {
		held.set(&Grants{})
	}
	set := func(a *account, f float64) {
		if !latest && !otherOwner {
			a.ceiling[n] = max(a.ceiling[n], f)
			return
		}
		a.ceiling[n], a.sent[n] = f, f
	}
	for _, a := range c.order {
		f, listed := held.byAccount[a.name]
		if !listed {
			f = held.grants.Default
		}
		set(a, f)
	}
	set(c.defaults, held.grants.Default)
}

// account returns the entry of an account, which it creates from the defaults if the account has a
// limit; nil if it has none.
func (c *Coordinator) account(now time.Time, name string) *account {
	if a := c.accounts[name]; a != nil {
		return a
	}
	if c.limits[name].Limit == (site.Resources{}) {
		return nil
	}
	a := &account{name: name, turns: newTurns(), sent: slices.Clone(c.defaults.sent), ceiling: slices.Clone(c.defaults.ceiling), workAt: now}
	a.used, a.need = make([]float64, len(a.sent)), make([]float64, len(a.sent))
	a.lasting, a.largest = make([]float64, len(a.sent)), make([]float64, len(a.sent))
	c.accounts[name] = a
	c.setOrder(append(c.order, a))
	return a
}

// setOrder replaces the list of accounts. All partitions get the new list.
func (c *Coordinator) setOrder(order []*account) {
	c.order, c.names = order, make([]string, len(order))
	for i, a := range order {
		c.names[i] = a.name
	}
	for _, p := range c.partitions {
		if p != nil {
			p.dirty = true
		}
	}
}

// setLoads sets the usage and need of all accounts in a partition.
func (c *Coordinator) setLoads(now time.Time, n int, loads []Load) {
	for _, a := range c.order {
		a.clearLoad(n)
	}
	for i := range loads {
		l := &loads[i]
		a := c.account(now, l.Account)
		if a == nil {
			continue
		}
		limit := c.limits[l.Account].Limit
		a.used[n], a.need[n] = Share(l.Used, limit), min(Share(l.Used.Plus(l.Demand), limit), 1)
		a.lasting[n], a.largest[n] = Share(l.Lasting, limit), Share(l.Largest, limit)
		a.workAt = now
	}
}

// removeIdle removes accounts without work that hold the default fractions in all partitions.
func (c *Coordinator) removeIdle(now time.Time) {
	var kept []*account
	for _, a := range c.order {
		if !a.idle(now) || !c.holdsDefaults(a) {
			kept = append(kept, a)
		} else {
			delete(c.accounts, a.name)
		}
	}
	if len(kept) < len(c.order) {
		c.setOrder(kept)
	}
}

// idle reports whether an account has had no work for idleAfter. The last reply of a partition counts
// until the next one, also if its owner does not reply any more.
func (a *account) idle(now time.Time) bool {
	for n := range a.need {
		if a.used[n] > 0 || a.need[n] > 0 {
			return false
		}
	}
	return now.Sub(a.workAt) >= idleAfter
}

func (c *Coordinator) holdsDefaults(a *account) bool {
	d := c.defaults
	return slices.EqualFunc(a.sent, d.sent, equal) && slices.EqualFunc(a.ceiling, a.sent, equal) && slices.EqualFunc(d.ceiling, d.sent, equal)
}

// requests returns the requests for the given partitions.
func (c *Coordinator) requests(partitions []int) map[int]*Request {
	c.sequence++
	list := make(map[int]*Request, len(partitions))
	for _, n := range partitions {
		p := c.partitions[n]
		r := &Request{Epoch: c.epoch, Sequence: c.sequence}
		p.sent = c.sequence
		list[n] = r
		if !p.known {
			continue
		}
		r.PartitionEpoch = p.epoch
		if !p.dirty && !p.outstanding {
			continue
		}
		r.Grants = c.grants(n)
		p.dirty, p.outstanding = false, true
	}
	return list
}

// grants returns the fractions to send to a partition and raises the ceilings accordingly.
func (c *Coordinator) grants(n int) *Grants {
	d := c.defaults
	d.ceiling[n] = max(d.ceiling[n], d.sent[n])
	g := &Grants{Partitions: c.count, Default: d.sent[n], Accounts: c.names, Fractions: make([]float64, len(c.order))}
	for i, a := range c.order {
		g.Fractions[i] = a.sent[n]
		a.ceiling[n] = max(a.ceiling[n], a.sent[n])
	}
	return g
}

// Silent counts the partitions with pools whose owners do not reply.
func (c *Coordinator) Silent(now time.Time) int {
	n := 0
	for i, p := range c.partitions {
		if p != nil && p.listed && !c.raisable(now, i) {
			n++
		}
	}
	return n
}

// Pending reports whether the owner of a partition with pools has not yet confirmed fractions of this coordinator, or
// none is listed. Until then it holds none, or those of a former coordinator.
func (c *Coordinator) Pending() bool {
	listed := false
	for _, p := range c.partitions {
		if p != nil && p.listed {
			listed = true
			if !p.adopted {
				return true
			}
		}
	}
	return !listed && !c.fenced
}

// Accounts counts the accounts that do not have the default fractions.
func (c *Coordinator) Accounts() int { return len(c.order) }
