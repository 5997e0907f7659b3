package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	jobTopic      = "keyed.jobs"
	operatorTopic = "keyed.op"
	workerTopic   = "keyed.servers"
	partitions    = 8 // of the topics of entries
	appendTime    = 4 * time.Millisecond
	pageItems     = 500 // of a page of newest records
	repeats       = 5   // appends of a producer whose repeats get their first response
)

// store is a log with keyed topics and a group whose members share partitions.
type store struct {
	mu         sync.Mutex
	parts      map[string]*logPart
	added      chan struct{} // closed and replaced at each append
	members    map[string]*member
	generation int64
	owners     map[int]string
	appended   func(caller string, part int, keys []string) // called after an append, before its answer; nil for none
}

// front is the store as one entry sees it: on an address of its own, with the addresses under which it reaches workers.
type front struct {
	store   *store
	caller  string
	address func(caller, id string, entry []byte) []byte // replaces the address in the entry of a worker
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.store.serve(w, r, f) }

type logPart struct {
	records []logRecord
	epoch   int64
	next    int64            // sequence number that has to follow
	answers map[int64]string // first responses by sequence number
}

type logRecord struct {
	key   string
	value []byte
}

type member struct {
	joinedAt   time.Time
	ttl        time.Duration
	generation int64
}

func newStore() *store {
	return &store{parts: map[string]*logPart{}, added: make(chan struct{}), members: map[string]*member{}, owners: map[int]string{}}
}

// onAppend sets what is called after each append of an entry, before its answer.
func (s *store) onAppend(f func(caller string, part int, keys []string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appended = f
}

// part returns a partition; s.mu is held.
func (s *store) part(topic string, n int) *logPart {
	name := fmt.Sprintf("%s/%d", topic, n)
	if s.parts[name] == nil {
		s.parts[name] = &logPart{answers: map[int64]string{}}
	}
	return s.parts[name]
}

// put appends a record to partition 0 of a topic, as the operator or a worker does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic, 0), logRecord{key, value})
}

// add appends records; s.mu is held.
func (s *store) add(p *logPart, records ...logRecord) {
	p.records = append(p.records, records...)
	close(s.added)
	s.added = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, f *front) {
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r, f)
	case "/v1/log-read":
		s.read(w, r, f)
	case "/v1/log-newest":
		s.newest(w, r, f)
	case "/v1/log-join":
		s.join(w, r)
	case "/v1/log-leave":
		s.leave(w, r)
	case "/v1/log-owners":
		s.listOwners(w)
	default:
		http.NotFound(w, r)
	}
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}

func (s *store) append(w http.ResponseWriter, r *http.Request, f *front) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	status, text := s.doAppend(r, body)
	s.mu.Lock()
	appended := s.appended
	s.mu.Unlock()
	if appended != nil && status == http.StatusOK {
		var keys []string
		for _, x := range parseRecords(body) {
			keys = append(keys, x.key)
		}
		appended(f.caller, int(number(r, "part")), keys)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// doAppend appends all records of a body or none.
func (s *store) doAppend(r *http.Request, body []byte) (status int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	topic := r.URL.Query().Get("topic")
	if topic == operatorTopic || topic == workerTopic {
		return http.StatusForbidden, `{}`
	}
	p := s.part(topic, int(number(r, "part")))
	producer := r.URL.Query().Get("producer") != ""
	epoch, seq := number(r, "epoch"), number(r, "seq")
	if producer {
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, `{"reason":"fenced"}`
		case epoch == p.epoch && p.answers[seq] != "":
			return http.StatusOK, p.answers[seq]
		case epoch == p.epoch && p.epoch > 0 && seq != p.next:
			return http.StatusConflict, fmt.Sprintf(`{"reason":"seq","seq":%d}`, p.next)
		}
	}
	if r.URL.Query().Has("at") && number(r, "at") != int64(len(p.records)) {
		return http.StatusPreconditionFailed, fmt.Sprintf(`{"end":%d}`, len(p.records))
	}
	offset := len(p.records)
	s.add(p, parseRecords(body)...)
	text = fmt.Sprintf(`{"offset":%d,"end":%d}`, offset, len(p.records))
	if producer {
		if epoch > p.epoch {
			p.epoch, p.answers = epoch, map[int64]string{}
		}
		p.next = seq + 1
		p.answers[seq] = text
		delete(p.answers, seq-repeats)
	}
	return http.StatusOK, text
}

func parseRecords(body []byte) []logRecord {
	var list []logRecord
	for len(body) >= 5 {
		n, k := int(binary.BigEndian.Uint32(body)), int(body[4])
		list = append(list, logRecord{string(body[5 : 5+k]), append([]byte(nil), body[5+k:4+n]...)})
		body = body[4+n:]
	}
	return list
}

func (s *store) read(w http.ResponseWriter, r *http.Request, f *front) {
	from, end := number(r, "from"), time.After(time.Duration(number(r, "waitMs"))*time.Millisecond)
	for {
		s.mu.Lock()
		records, added := s.part(r.URL.Query().Get("topic"), int(number(r, "part"))).records, s.added
		s.mu.Unlock()
		wait := from >= int64(len(records))
		if wait {
			select {
			case <-added:
				continue
			case <-end:
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, x := range f.shown(r, records[min(from, int64(len(records))):]) {
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.key)+len(x.value)))
			out = append(out, byte(len(x.key)))
			out = append(append(out, x.key...), x.value...)
		}
		_, _ = w.Write(out)
		return
	}
}

// shown returns the records as the entry sees them.
func (f *front) shown(r *http.Request, records []logRecord) []logRecord {
	if f.address == nil || r.URL.Query().Get("topic") != workerTopic {
		return records
	}
	list := make([]logRecord, 0, len(records))
	for _, x := range records {
		if len(x.value) > 0 {
			x.value = f.address(f.caller, x.key, x.value)
		}
		list = append(list, x)
	}
	return list
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, f *front) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.part(r.URL.Query().Get("topic"), int(number(r, "part"))).records
	s.mu.Unlock()
	records = f.shown(r, records)
	last := map[string]int{}
	for i, x := range records {
		last[x.key] = i
	}
	items := []item{}
	for key, i := range last {
		if len(records[i].value) > 0 && key > r.URL.Query().Get("after") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(records[i].value), i})
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Key < items[k].Key })
	more := len(items) > pageItems
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(pageItems, len(items))], "truncated": more, "end": len(records)})
}

// expire removes the members that have been silent for their time to live; s.mu is held.
func (s *store) expire() {
	for name, m := range s.members {
		if time.Since(m.joinedAt) > m.ttl {
			delete(s.members, name)
			s.generation++
		}
	}
}

// share returns the partitions that belong to a member, in even shares by the order of names. A partition of
// another member is free once that member has joined with the present generation; s.mu is held.
func (s *store) share(name string) []int {
	var names []string
	for x := range s.members {
		names = append(names, x)
	}
	sort.Strings(names)
	var list []int
	for p := range partitions {
		if names[p%len(names)] != name {
			continue
		}
		if old := s.owners[p]; old != "" && old != name && s.members[old] != nil && s.members[old].generation < s.generation {
			continue
		}
		s.owners[p] = name
		list = append(list, p)
	}
	return list
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Member     string `json:"member"`
		TTL        int64  `json:"ttlMs"`
		Generation int64  `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.members[b.Member] == nil {
		s.members[b.Member] = &member{}
		s.generation++
	}
	m := s.members[b.Member]
	m.joinedAt, m.ttl, m.generation = time.Now(), time.Duration(b.TTL)*time.Millisecond, b.Generation
	rows := [][]any{}
	for _, p := range s.share(b.Member) {
		rows = append(rows, []any{jobTopic, p, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "ttlMs": b.TTL, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Member string `json:"member"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[b.Member] != nil {
		delete(s.members, b.Member)
		s.generation++
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) listOwners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	for p, name := range s.owners {
		if s.members[name] != nil {
			rows = append(rows, []any{jobTopic, p, name, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}

// ownerOf returns the name of the member that has a partition, nil if none has.
func (s *store) ownerOf(part int) *string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name := s.owners[part]; s.members[name] != nil {
		return &name
	}
	return nil
}
