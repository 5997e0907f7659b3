package drive

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	recentConfirmation = 2 * time.Second  // a confirmation by the log is up to 1.4 s old when the next one arrives: each read waits 700 ms
	retryUninformed    = 2 * time.Second  // before a peer that did not help is asked again although others may help
	maxSyncPeers       = 64               // peers remembered; those of which nothing was heard for longest are forgotten
	maxNamedPeers      = 4                // named in each reply; four replies a second stay below 400 bytes/s
	namedWithin        = 10 * time.Second // since its last confirmation, for an entry to be named: with 20 owners, an entry calls each of them every 8 s
)

// syncPeers are the entries from which this entry can get configurations. An entry that the log
// rejects may know no owner that the log accepts, so entries that call this one, or that
// others name, are remembered too. Its zero value is ready for use.
type syncPeers struct {
	mu    sync.Mutex
	known map[string]*syncPeer // by peer address
}

// syncPeer is what is known of another entry as a source of configurations.
type syncPeer struct {
	askedAt   time.Time // of the last call to it; zero before the first
	answered  bool      // it answered that call
	namedAt   time.Time // when it was last named in a reply
	confirmed time.Time // latest time at which it is known to have had the newest configuration; zero if unknown
}

// informed reports whether the entry had a recent confirmation when it was last asked.
func (p *syncPeer) informed() bool {
	return p.answered && p.askedAt.Sub(p.confirmed) < recentConfirmation
}

// heardOf records that an entry exists, and when its configuration was last confirmed.
func (s *syncPeers) heardOf(address string, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(address)
	if confirmed.After(p.confirmed) {
		p.confirmed = confirmed
	}
	s.forgetOldest()
}

// recordCall records the result of a sync call to an entry.
func (s *syncPeers) recordCall(address string, askedAt time.Time, answered bool, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peer(address)
	p.askedAt, p.answered = askedAt, answered
	if confirmed.After(p.confirmed) {
		p.confirmed = confirmed
	}
	s.forgetOldest()
}

// forgetOldest keeps at most maxSyncPeers entries; s.mu is held.
func (s *syncPeers) forgetOldest() {
	if len(s.known) <= maxSyncPeers {
		return
	}
	used := func(address string) time.Time {
		p := s.known[address]
		if p.confirmed.After(p.askedAt) {
			return p.confirmed
		}
		return p.askedAt
	}
	oldest := slices.MinFunc(slices.Sorted(maps.Keys(s.known)), func(a, b string) int { return used(a).Compare(used(b)) })
	delete(s.known, oldest)
}

// knownEntries returns the peer addresses of all other entries that this one has heard of.
func (n *Node) knownEntries() []string {
	list := append(n.owners.peers(n.address), n.syncPeers.addresses()...)
	slices.Sort(list)
	return slices.Compact(list)
}

// addresses returns the peer addresses of all known entries.
func (s *syncPeers) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.known))
}

// peer returns the state of the entry at an address; s.mu is held.
func (s *syncPeers) peer(address string) *syncPeer {
	if s.known == nil {
		s.known = map[string]*syncPeer{}
	}
	p := s.known[address]
	if p == nil {
		p = &syncPeer{}
		s.known[address] = p
	}
	return p
}

// next returns the entry to ask next, empty if none is known. The owners are asked in turn. While
// the log rejects this entry, all known entries are, and those that did not answer or were uninformed come
// last until retryUninformed has passed.
func (s *syncPeers) next(now time.Time, owners []string, rejected bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := slices.Clone(owners)
	if rejected {
		candidates = append(candidates, slices.Collect(maps.Keys(s.known))...)
	}
	if len(candidates) == 0 {
		return ""
	}
	state := func(address string) *syncPeer {
		if p := s.known[address]; p != nil {
			return p
		}
		return &syncPeer{}
	}
	unhelpful := func(p *syncPeer) int {
		if rejected && !p.askedAt.IsZero() && !p.informed() && now.Sub(p.askedAt) < retryUninformed {
			return 1
		}
		return 0
	}
	return slices.MinFunc(candidates, func(a, b string) int {
		p, q := state(a), state(b)
		return cmp.Or(unhelpful(p)-unhelpful(q), p.askedAt.Compare(q.askedAt), q.confirmed.Compare(p.confirmed), cmp.Compare(a, b))
	})
}

// namePeers returns a few entries for a reply, without the one at the given address: the age of their
// confirmations in milliseconds, by address. Those not named for longest come first, so that all are named
// in turn, and among them the most recently confirmed.
func (s *syncPeers) namePeers(now time.Time, without string) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for address, p := range s.known {
		if address != without && now.Sub(p.confirmed) < namedWithin {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		p, q := s.known[a], s.known[b]
		return cmp.Or(p.namedAt.Compare(q.namedAt), q.confirmed.Compare(p.confirmed), cmp.Compare(a, b))
	})
	ages := map[string]int64{}
	for _, address := range list[:min(len(list), maxNamedPeers)] {
		p := s.known[address]
		p.namedAt = now
		ages[address] = max(now.Sub(p.confirmed).Milliseconds(), 0)
	}
	return ages
}
