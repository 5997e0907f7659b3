package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

const jobTopic = "keyed.jobs"

// group shares the partitions of the job topic among its members.
type group struct {
	generation int64
	members    map[string]*groupMember
	parts      []groupPart
}

type groupMember struct {
	heardAt time.Time
	ttl     time.Duration
}

type groupPart struct {
	holder     string // member that has it
	target     string // member that is to have it
	leaveAfter int64  // generation that the holder's join has to name before another member gets it
}

func newGroup() group {
	return group{members: map[string]*groupMember{}, parts: make([]groupPart, parts)}
}

// update deals the partitions anew if the members have changed.
func (g *group) update(now time.Time, changed bool) {
	for name, m := range g.members {
		if now.Sub(m.heardAt) > m.ttl {
			delete(g.members, name)
			changed = true
		}
	}
	if changed {
		g.generation++
		var names []string
		for name := range g.members {
			names = append(names, name)
		}
		sort.Strings(names)
		for i := range g.parts {
			p := &g.parts[i]
			p.target = ""
			if len(names) > 0 {
				p.target = names[i%len(names)]
			}
			if p.holder != p.target {
				p.leaveAfter = g.generation
			}
		}
	}
	for i := range g.parts {
		p := &g.parts[i]
		if g.members[p.holder] == nil {
			p.holder = p.target
		}
	}
}

type groupCall struct {
	Member     string `json:"member"`
	TTLMS      int64  `json:"ttlMs"`
	Generation int64  `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var b groupCall
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTLMS < minTTLMS {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	m, known := g.members[b.Member]
	if !known {
		m = &groupMember{}
		g.members[b.Member] = m
		s.rec.add("store: %s joins the group", entryOf(b.Member))
	}
	m.heardAt, m.ttl = time.Now(), time.Duration(b.TTLMS)*time.Millisecond
	g.update(m.heardAt, !known)
	rows := [][]any{}
	for i := range g.parts {
		p := &g.parts[i]
		if p.holder == b.Member && p.target != b.Member && b.Generation >= p.leaveAfter {
			p.holder = p.target
		}
		if p.holder == b.Member && p.target == b.Member {
			rows = append(rows, []any{jobTopic, i, 0})
		}
	}
	writeJSON(w, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var b groupCall
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.add("store: %s leaves the group", entryOf(b.Member))
	delete(s.group.members, b.Member)
	s.group.update(time.Now(), true)
	writeJSON(w, struct{}{})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.update(time.Now(), false)
	rows := [][]any{}
	for i := range s.group.parts {
		if h := s.group.parts[i].holder; h != "" {
			rows = append(rows, []any{jobTopic, i, h, 0})
		}
	}
	writeJSON(w, map[string]any{"owners": rows})
}
