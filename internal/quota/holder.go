package quota

import (
	"slices"
	"time"
)

// Holder holds the fractions of one partition for its owner. The zero value holds nothing.
type Holder struct {
	epoch       int64 // highest coordinator epoch seen
	sequence    int64 // highest sequence number seen in that epoch
	heardAt     time.Time
	grantsEpoch int64 // of the coordinator that sent the grants; 0 if they were handed over or truncated
	grants      *Grants
	byAccount   map[string]float64
}

// Handle handles a request to the owner with the given epoch. The caller adds the loads to the
// reply. It ignores a request that a later one has overtaken, and does not adopt fractions for
// another owner, which a late request may carry.
func (h *Holder) Handle(now time.Time, partitionEpoch int64, r *Request) *Reply {
	reply := &Reply{PartitionEpoch: partitionEpoch}
	if r.Epoch > h.epoch || (r.Epoch == h.epoch && r.Sequence >= h.sequence) {
		h.truncate(now)
		h.epoch, h.sequence, h.heardAt = r.Epoch, r.Sequence, now
		if r.PartitionEpoch == partitionEpoch {
			if r.Grants != nil {
				h.set(r.Grants)
				h.grantsEpoch = r.Epoch
			}
			reply.Adopted = h.grantsEpoch == r.Epoch
		}
	}
	reply.Epoch, reply.Sequence = h.epoch, h.sequence
	if !reply.Adopted {
		reply.Held = h.grants
	}
	return reply
}

// truncate gives up what exceeds the even share if there was no request for SilentAfter: a coordinator
// may have assumed the even share since, so that the next request must not restore the rest.
func (h *Holder) truncate(now time.Time) {
	if h.grants == nil || now.Sub(h.heardAt) < SilentAfter {
		return
	}
	g, even := *h.grants, 1/float64(max(h.grants.Partitions, 1))
	g.Default, g.Fractions = min(g.Default, even), slices.Clone(g.Fractions)
	for i, f := range g.Fractions {
		g.Fractions[i] = min(f, even)
	}
	h.set(&g)
	h.grantsEpoch = 0
}

func (h *Holder) set(g *Grants) {
	h.grants, h.byAccount = g, make(map[string]float64, len(g.Accounts))
	for i, name := range g.Accounts {
		if i < len(g.Fractions) {
			h.byAccount[name] = g.Fractions[i]
		}
	}
}

// Restore sets the fractions that the previous owner handed over, and the time since that owner last
// had a request.
func (h *Holder) Restore(now time.Time, g *Grants, age time.Duration) {
	if g == nil {
		return
	}
	h.set(g)
	h.heardAt = now.Add(-age)
}

// Age returns the time since the last request.
func (h *Holder) Age(now time.Time) time.Duration { return now.Sub(h.heardAt) }

// Observe records the epoch of a coordinator that is known by other means than a request. A new owner
// has seen no epoch; without this it would accept the fractions of a former coordinator that still runs.
func (h *Holder) Observe(epoch int64) {
	if epoch > h.epoch {
		h.epoch, h.sequence = epoch, 0
	}
}

// Held returns the fractions held, nil for none.
func (h *Holder) Held() *Grants { return h.grants }

// Fraction returns the fraction of an account's limit that the partition may use. Without a request
// for SilentAfter it is at most the even share, since the coordinator may have failed.
func (h *Holder) Fraction(now time.Time, account string) float64 {
	if h.grants == nil {
		return 0
	}
	f, listed := h.byAccount[account]
	if !listed {
		f = h.grants.Default
	}
	if now.Sub(h.heardAt) >= SilentAfter {
		f = min(f, 1/float64(max(h.grants.Partitions, 1)))
	}
	return f
}
