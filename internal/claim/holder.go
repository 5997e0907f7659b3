// Package claim keeps non-idempotent requests to one run over all entries.
//
// Before an entry dispatches such a request it needs grants for the request's id
// from most of the id's holders: the three entries, in different data centres as
// far as there are enough, that rendezvous hashing names among the members of one
// view. A holder grants an id once, and any two majorities share a holder. When
// the membership changes, a holder first seals the view it leaves, which ends its
// grants there, and sends what it knows to every member of the next; a holder
// grants in the next view only for ids about which so many earlier holders have
// told it that one of them must know of any run. If too many earlier holders are
// gone, the id is answered as lost until its retention has passed.
package claim

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// holderCount is how many entries keep the claim on an id.
const holderCount = 3

// Quorum returns how many grants of n holders allow a dispatch.
func Quorum(n int) int { return n/2 + 1 }

// Holders returns the members that hold the claim on a key, up to three. Members
// must be sorted by name, the same for every caller.
func Holders(members []fleet.Member, key string) []fleet.Member {
	var out []fleet.Member
	isNew := func(m fleet.Member) bool {
		return !contains(out, m.Incarnation)
	}
	elsewhere := func(m fleet.Member) bool {
		return !slices.ContainsFunc(out, func(o fleet.Member) bool { return o.DataCentre == m.DataCentre })
	}
	for len(out) < holderCount {
		i := best(members, key, elsewhere)
		if i < 0 {
			i = best(members, key, isNew)
		}
		if i < 0 {
			break
		}
		out = append(out, members[i])
	}
	return out
}

func best(members []fleet.Member, key string, allowed func(fleet.Member) bool) int {
	found, score := -1, uint64(0)
	for i, m := range members {
		if !allowed(m) {
			continue
		}
		if h := rendezvous(m.Name, key); found < 0 || h > score {
			found, score = i, h
		}
	}
	return found
}

func rendezvous(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
