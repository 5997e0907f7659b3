// Package claim keeps non-idempotent requests to one run over all entries.
//
// Before an entry dispatches such a request it needs a grant for the request's
// id from both of the id's holders: the two entries, in two data centres where
// there are two, that rendezvous hashing names among the members of one view.
// A holder grants an id once. When the membership changes, a holder first seals
// the view it leaves, which ends its grants there, and sends what it knows to
// every member of the next; a holder grants in the next view only for ids about
// which at least one earlier holder has told it. If all earlier holders are
// gone, the id is answered as lost until its retention has passed.
package claim

import (
	"github.com/cespare/xxhash/v2"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Holders returns the one or two members that hold the claim on a key. Members
// must be sorted by name, the same for every caller.
func Holders(members []fleet.Member, key string) []fleet.Member {
	first := best(members, key, func(fleet.Member) bool { return true })
	if first < 0 {
		return nil
	}
	a := members[first]
	second := best(members, key, func(m fleet.Member) bool { return m.DataCentre != a.DataCentre })
	if second < 0 {
		second = best(members, key, func(m fleet.Member) bool { return m.Name != a.Name })
	}
	if second < 0 {
		return members[first : first+1]
	}
	return []fleet.Member{a, members[second]}
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
