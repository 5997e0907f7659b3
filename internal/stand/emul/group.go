package emul

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"time"
)

// groupRequest is the body of a join or leave call.
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

// join adds a member to the group or renews its membership, drops members whose time to live
// has expired, and returns the partitions that are assigned to the member.
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
	assignedRows := [][]any{} // topic, partition, and a number that entries ignore
	for p, assignee := range s.assigned {
		if assignee == b.Member {
			assignedRows = append(assignedRows, []any{jobTopic, p, 0})
		}
	}
	reply(w, map[string]any{"generation": s.generation, "parts": assignedRows})
}

// assignPartitions assigns the partitions round-robin to the members sorted by name. A
// partition that moves from one member to another stays unassigned until the next join of any
// member, so its new member may get it before the former one knows of the move. On the platform
// it stays unassigned until its former member has left or has named the current generation in a
// join; the emulator simplifies this rule. s.mu is held.
func (s *Store) assignPartitions() {
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	sort.Strings(names)
	for p := range s.partitionCount {
		target := names[p%len(names)]
		holder := s.members[s.assigned[p]]
		switch {
		case holder == nil:
			s.assigned[p] = target
		case s.assigned[p] != target && slices.Contains(holder.partitions, p):
			holder.partitions = slices.DeleteFunc(holder.partitions, func(q int) bool { return q == p })
			s.assigned[p] = "" // the replies to the holder's joins omit it from now on, so that the holder gives it up
		}
		if s.assigned[p] != "" && !slices.Contains(s.members[s.assigned[p]].partitions, p) {
			s.members[s.assigned[p]].partitions = append(s.members[s.assigned[p]].partitions, p)
		}
	}
}

// Rebalance assigns each partition to the member after its regular one at once, without waiting
// for the present members to give them up. The next joins restore the regular assignment.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	names := make([]string, 0, len(s.members))
	for name, m := range s.members {
		names = append(names, name)
		m.partitions = nil
	}
	sort.Strings(names)
	for p := range s.partitionCount {
		s.assigned[p] = names[(p+1)%len(names)]
		s.members[s.assigned[p]].partitions = append(s.members[s.assigned[p]].partitions, p)
	}
}

// leave removes a member from the group. Its partitions are reassigned at the next join.
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

// owners returns the member that each partition of the job topic is assigned to.
func (s *Store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{} // topic, partition, member, and a number that entries ignore
	for p, assignee := range s.assigned {
		rows = append(rows, []any{jobTopic, p, assignee, 0})
	}
	reply(w, map[string]any{"owners": rows})
}

// Owners returns the members that the partitions of the job topic are assigned to.
func (s *Store) Owners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for p := range s.partitionCount {
		if s.assigned[p] != "" {
			list = append(list, s.assigned[p])
		}
	}
	return list
}
