// Package claim ensures that a non-idempotent request runs at most once over all
// entries. A caller may send several copies of a request, with the same id, to the same
// or to different entries. In the code the id is named key.
//
// Before an entry dispatches such a request, it needs grants for the request's id
// from a majority of the id's holders. The holders are three members of the current
// view (the current version of the membership, numbered by the offset of its log
// record), chosen by rendezvous hashing, in different data centres where possible. A
// holder grants an id to one copy of the request only, and any two majorities share
// a holder, so two copies cannot both be dispatched.
//
// When the membership changes, a holder first seals the view that it leaves: it
// grants nothing more in it. It then transfers its claims to every member of the
// next view. A holder grants an id in the next view only once enough of the id's
// holders in each earlier view have transferred their claims, so that every majority
// in that view includes one of them. If too many earlier holders are gone, the reply
// for the id is Lost until the claims of that view have expired.
//
// Table is the state of a holder. Outcomes keeps the responses to the requests that
// this entry claimed, so that other copies get the same response. Package mesh sends
// the messages between entries and calls both.
package claim

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// holderCount is the number of entries that hold the claim on an id.
const holderCount = 3

// Quorum returns the number of grants out of n holders that allows a dispatch.
func Quorum(n int) int { return n/2 + 1 }

// Holders returns the members that hold the claim on a key, at most three. Members
// must be sorted by name, so that all callers get the same holders.
func Holders(members []fleet.Member, key string) []fleet.Member {
	var out []fleet.Member
	isUnchosen := func(m fleet.Member) bool {
		return !contains(out, m.Incarnation)
	}
	inOtherDataCentre := func(m fleet.Member) bool {
		return !slices.ContainsFunc(out, func(o fleet.Member) bool { return o.DataCentre == m.DataCentre })
	}
	for len(out) < holderCount {
		i := highestScore(members, key, inOtherDataCentre)
		if i < 0 {
			i = highestScore(members, key, isUnchosen)
		}
		if i < 0 {
			break
		}
		out = append(out, members[i])
	}
	return out
}

// highestScore returns the index of the allowed member with the highest rendezvous
// score for the key, or -1 if none is allowed.
func highestScore(members []fleet.Member, key string, allowed func(fleet.Member) bool) int {
	found, score := -1, uint64(0)
	for i, m := range members {
		if !allowed(m) {
			continue
		}
		if h := rendezvousScore(m.Name, key); found < 0 || h > score {
			found, score = i, h
		}
	}
	return found
}

func rendezvousScore(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
