package emul

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"time"
)

type groupRequest struct {
	Group      string `json:"group"`
	Member     string `json:"member"`
	TTLMS      int64  `json:"ttlMs"`
	Generation int64  `json:"generation"`
}

// decodeGroupRequest decodes the body of a join or leave call. On failure it answers
// with 400 and returns false.
func decodeGroupRequest(w http.ResponseWriter, r *http.Request) (b groupRequest, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	return b, true
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	b, ok := decodeGroupRequest(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	m := s.members[b.Member]
	if m == nil {
		m = &member{}
		s.members[b.Member] = m
		s.generation++
	}
	m.lastJoin, m.ttl, m.generation = now, time.Duration(b.TTLMS)*time.Millisecond, b.Generation
	for name, other := range s.members {
		if now.Sub(other.lastJoin) > other.ttl {
			delete(s.members, name)
			s.generation++
		}
	}
	s.assignPartitions()
	rows := [][]any{}
	for p, owner := range s.assigned {
		if owner == b.Member {
			rows = append(rows, []any{"keyed.jobs", p, 0})
		}
	}
	reply(w, map[string]any{"generation": s.generation, "parts": rows})
}

// assignPartitions assigns the partitions round-robin to the members sorted by name. A
// partition that changes members stays unassigned until the next join. This stands in for the
// platform's rule that such a partition is free once its former member has named the current
// generation or has left.
func (s *Store) assignPartitions() {
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	sort.Strings(names)
	for p := range s.partitionCount {
		want := names[p%len(names)]
		holder := s.members[s.assigned[p]]
		switch {
		case holder == nil:
			s.assigned[p] = want
		case s.assigned[p] != want && slices.Contains(holder.parts, p):
			holder.parts = slices.DeleteFunc(holder.parts, func(q int) bool { return q == p })
			s.assigned[p] = "" // no longer listed for its holder, which thereby loses it
		}
		if s.assigned[p] != "" && !slices.Contains(s.members[s.assigned[p]].parts, p) {
			s.members[s.assigned[p]].parts = append(s.members[s.assigned[p]].parts, p)
		}
	}
}

// Rebalance reassigns all partitions at once, without waiting for their members to
// release them.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	names := make([]string, 0, len(s.members))
	for name, m := range s.members {
		names = append(names, name)
		m.parts = nil
	}
	sort.Strings(names)
	for p := range s.partitionCount {
		s.assigned[p] = names[(p+1)%len(names)]
		s.members[s.assigned[p]].parts = append(s.members[s.assigned[p]].parts, p)
	}
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	b, ok := decodeGroupRequest(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, b.Member)
	s.generation++
	reply(w, struct{}{})
}

func (s *Store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for p, owner := range s.assigned {
		rows = append(rows, []any{"keyed.jobs", p, owner, 0})
	}
	reply(w, map[string]any{"owners": rows})
}
