package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings of a small deployment give them.
const (
	parts       = 8
	appendTime  = 4 * time.Millisecond
	recordBytes = 262_144
	callBytes   = 2_097_152
	pageItems   = 500
	pageBytes   = 1 << 20
	minTTLMS    = 1000
)

// fault is how a listener of the store treats calls.
type fault int

const (
	sound  fault = iota
	busy         // 503, nothing is done
	silent       // no answer, nothing is done
	reset        // the connection is reset, nothing is done
)

// store is the platform's log: topics of partitions, and one group.
type store struct {
	rec *record

	mu       sync.Mutex
	topics   map[string]*part
	changed  chan struct{} // closed and replaced at each append
	group    group
	slow     time.Duration    // added to each call
	faults   map[string]fault // by entry
	closed   chan struct{}
	outSince time.Time // start of an outage for all entries, in which group times pause; zero while there is none
}

type part struct {
	appending sync.Mutex // appends are processed one at a time
	records   []rec
	epoch     int64
	nextSeq   int64
	answers   []answered // of the last five appends of the epoch
}

type rec struct {
	key   string
	value []byte
	raw   []byte
}

type answered struct {
	seq  int64
	body string
}

func newStore(r *record) *store {
	return &store{rec: r, topics: map[string]*part{}, changed: make(chan struct{}), faults: map[string]fault{}, closed: make(chan struct{}), group: newGroup()}
}

// listen serves the store for one entry on an address of its own.
func (s *store) listen(entry string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(entry, w, r) })
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// setFault sets how the calls of the given entries are treated.
func (s *store) setFault(f fault, entries ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.faults[e] = f
	}
}

// setOutage begins or ends an outage for all the given entries, in which the times of the group pause.
func (s *store) setOutage(f fault, entries ...string) {
	s.setFault(f, entries...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f != sound {
		s.outSince = time.Now()
		return
	}
	for _, m := range s.group.members {
		m.heardAt = m.heardAt.Add(time.Since(s.outSince))
	}
	s.outSince = time.Time{}
}

func (s *store) faultOf(entry string) (fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[entry], s.slow
}

// fail treats a call by a fault and reports whether it did.
func (s *store) fail(f fault, w http.ResponseWriter, r *http.Request) bool {
	switch f {
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case silent:
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
		panic(http.ErrAbortHandler)
	case reset:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
	default:
		return false
	}
	return true
}

func (s *store) serve(entry string, w http.ResponseWriter, r *http.Request) {
	f, slow := s.faultOf(entry)
	if s.fail(f, w, r) {
		return
	}
	time.Sleep(slow)
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(entry, w, r)
	case "/v1/log-read":
		s.read(entry, w, r)
	case "/v1/log-newest":
		s.newest(w, r)
	case "/v1/log-join":
		s.join(w, r)
	case "/v1/log-leave":
		s.leave(w, r)
	case "/v1/log-owners":
		s.owners(w)
	default:
		http.NotFound(w, r)
	}
}

// partition returns a partition of a topic; s.mu is held.
func (s *store) partition(topic string, n int64) *part {
	name := topic + "/" + strconv.FormatInt(n, 10)
	p := s.topics[name]
	if p == nil {
		p = &part{}
		s.topics[name] = p
	}
	return p
}

func (s *store) add(p *part, list []rec) {
	p.records = append(p.records, list...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator or a worker does.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, 0), []rec{makeRec(key, data)})
}

// get returns the newest value of a key.
func (s *store) get(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := ""
	for _, r := range s.partition(topic, 0).records {
		if r.key == key {
			value = string(r.value)
		}
	}
	return value
}

func makeRec(key string, value []byte) rec {
	raw := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	raw = append(raw, byte(len(key)))
	raw = append(raw, key...)
	return rec{key: key, value: value, raw: append(raw, value...)}
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// parse splits the body of an append into records; ok is false if a limit is broken.
func parse(body []byte) (list []rec, ok bool) {
	if len(body) > callBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n, k := int(binary.BigEndian.Uint32(body)), int(body[4])
		if n > recordBytes || len(body) < 4+n || k > n-1 {
			return nil, false
		}
		list = append(list, rec{key: string(body[5 : 5+k]), value: append([]byte(nil), body[5+k:4+n]...), raw: append([]byte(nil), body[:4+n]...)})
		body = body[4+n:]
	}
	return list, true
}

func (s *store) append(entry string, w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	list, ok := parse(body)
	if !ok {
		s.rec.add("store: append of %s refused: beyond a limit", entry)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	p := s.partition(topic, number(r, "part"))
	s.mu.Unlock()
	p.appending.Lock()
	time.Sleep(appendTime)
	status, text := s.doAppend(p, r, list)
	p.appending.Unlock()
	if f, _ := s.faultOf(entry); f != busy && s.fail(f, w, r) {
		return // done, but an outage has begun: not answered
	}
	w.WriteHeader(status)
	fmt.Fprint(w, text)
}

func (s *store) doAppend(p *part, r *http.Request, list []rec) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	end := int64(len(p.records))
	if q.Has("producer") {
		epoch, seq := number(r, "epoch"), number(r, "seq")
		if epoch < p.epoch {
			return http.StatusConflict, `{"reason":"fenced"}`
		}
		if epoch == p.epoch && len(list) > 0 {
			for _, a := range p.answers {
				if a.seq == seq {
					return http.StatusOK, a.body
				}
			}
			if p.nextSeq >= 0 && seq != p.nextSeq {
				return http.StatusConflict, fmt.Sprintf(`{"reason":"seq","seq":%d}`, p.nextSeq)
			}
		}
		if q.Has("at") && number(r, "at") != end {
			return http.StatusPreconditionFailed, fmt.Sprintf(`{"end":%d}`, end)
		}
		if epoch > p.epoch {
			p.epoch, p.answers, p.nextSeq = epoch, nil, -1
		}
		if len(list) == 0 {
			return http.StatusOK, fmt.Sprintf(`{"offset":%d,"end":%d}`, end, end)
		}
		p.nextSeq = seq + 1
		text := fmt.Sprintf(`{"offset":%d,"end":%d}`, end, end+int64(len(list)))
		if p.answers = append(p.answers, answered{seq, text}); len(p.answers) > 5 {
			p.answers = p.answers[1:]
		}
		s.add(p, list)
		return http.StatusOK, text
	}
	if q.Has("at") && number(r, "at") != end {
		return http.StatusPreconditionFailed, fmt.Sprintf(`{"end":%d}`, end)
	}
	s.add(p, list)
	return http.StatusOK, fmt.Sprintf(`{"offset":%d,"end":%d}`, end, end+int64(len(list)))
}

func (s *store) read(entry string, w http.ResponseWriter, r *http.Request) {
	from, maxKB := number(r, "from"), number(r, "maxKb")
	if maxKB == 0 {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.partition(r.URL.Query().Get("topic"), number(r, "part")), s.changed
		records := p.records
		s.mu.Unlock()
		if from < int64(len(records)) || number(r, "waitMs") == 0 {
			break
		}
		timeout := false
		select {
		case <-changed:
		case <-deadline:
			timeout = true
		case <-r.Context().Done():
			return
		}
		if timeout {
			break
		}
	}
	if f, _ := s.faultOf(entry); s.fail(f, w, r) {
		return
	}
	s.mu.Lock()
	records := s.partition(r.URL.Query().Get("topic"), number(r, "part")).records
	s.mu.Unlock()
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, x := range records[min(from, int64(len(records))):] {
		if len(out) > 16 && int64(len(out)+len(x.raw)) > maxKB<<10 {
			break
		}
		out = append(out, x.raw...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.partition(r.URL.Query().Get("topic"), number(r, "part")).records
	s.mu.Unlock()
	last := map[string]int{}
	for i := range records {
		last[records[i].key] = i
	}
	var keys []string
	for k, i := range last {
		if len(records[i].value) > 0 && k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items, size := []item{}, 0
	for _, k := range keys {
		x := &records[last[k]]
		if len(items) == pageItems || (len(items) > 0 && size+len(x.raw) > pageBytes) {
			break
		}
		size += len(x.raw)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(x.value), last[k]})
	}
	writeJSON(w, map[string]any{"items": items, "truncated": len(items) < len(keys), "end": len(records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// operatorConfig returns a configuration with one host. routes holds the service of each route by its name.
func operatorConfig(version int, routes map[string]string, services map[string]bool, spare string) map[string]any {
	var r, sv []map[string]any
	for name, service := range routes {
		r = append(r, map[string]any{
			"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "service": service, "timeoutMs": 3000,
			"targetRuntimeMs": 2500, "maxAttempts": 3, "stretch": 1.6, "priority": 0,
		})
	}
	for name, rejects := range services {
		sv = append(sv, map[string]any{"name": name, "rejectsOverload": rejects})
	}
	sv = append(sv, map[string]any{"name": spare, "spare": true, "rejectsOverload": true})
	return map[string]any{"version": version, "routes": r, "services": sv, "limits": map[string]any{"maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// entryOf returns the entry's name in a member's name of the group.
func entryOf(member string) string {
	name, _, _ := strings.Cut(member, "@")
	return name
}
