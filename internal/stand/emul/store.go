// Package emul is an emulator of the platform for tests: its log, its VMs and its
// inventory of machines, with the faults that the tests need. It keeps a record of
// what ran, from which tests judge.
package emul

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

// Store emulates the platform's log.
type Store struct {
	mu            sync.Mutex
	parts         map[string]*part
	wake          chan struct{} // closed at each append
	members       map[string]*member
	gen           int64
	dealt         map[int]string // member by partition of the job topic
	count         int            // partitions of a topic
	Down          bool           // answers 503 to all calls
	LoseNextReply bool           // carries the next append out and does not answer it
	LosePercent   int            // percent of the appends that are carried out and not answered
	Delay         time.Duration  // before each call is carried out
	// HangNewestReads is how many of the next reads of the newest records get no answer.
	HangNewestReads int
	Appends         int
}

type part struct {
	records  []record
	epoch    int64
	next     int64            // expected sequence
	answered map[int64]string // answers of the last appends, by sequence
}

type record struct {
	key   string
	value []byte
}

type member struct {
	seen  time.Time
	ttl   time.Duration
	gen   int64 // the last one that it named
	parts []int
}

// NewStore returns an empty log whose topics have so many partitions.
func NewStore(partitions int) *Store {
	return &Store{parts: map[string]*part{}, wake: make(chan struct{}), members: map[string]*member{}, dealt: map[int]string{}, count: partitions}
}

// Put writes a record as the platform or its operator would.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic, 0), record{key, value})
}

// Get returns the newest value of a key in partition 0 of a topic.
func (s *Store) Get(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var value []byte
	for _, r := range s.part(topic, 0).records {
		if r.key == key {
			value = r.value
		}
	}
	return value
}

// SetFaults changes a fault.
func (s *Store) SetFaults(change func(s *Store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *Store) part(topic string, n int) *part {
	name := fmt.Sprintf("%s/%d", topic, n)
	p := s.parts[name]
	if p == nil {
		p = &part{answered: map[int64]string{}}
		s.parts[name] = p
	}
	return p
}

func (s *Store) add(p *part, records ...record) {
	p.records = append(p.records, records...)
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP answers the log's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, delay := s.Down, s.Delay
	swallow := s.HangNewestReads > 0 && r.URL.Path == "/v1/log-newest"
	if swallow {
		s.HangNewestReads--
	}
	s.mu.Unlock()
	if swallow {
		<-r.Context().Done()
		return
	}
	time.Sleep(delay)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r)
	case "/v1/log-read":
		s.read(w, r)
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

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := s.doAppend(r, body)
	s.mu.Lock()
	lose := status == http.StatusOK && (s.LoseNextReply || s.Appends*37%100 < s.LosePercent)
	if lose {
		s.LoseNextReply = false
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	fmt.Fprint(w, answer)
}

func (s *Store) doAppend(r *http.Request, body []byte) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Appends++
	q := r.URL.Query()
	p := s.part(q.Get("topic"), int(number(r, "part")))
	if q.Get("producer") != "" {
		epoch, seq := number(r, "epoch"), number(r, "seq")
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, `{"reason":"fenced"}`
		case epoch == p.epoch && p.answered[seq] != "":
			return http.StatusOK, p.answered[seq]
		case epoch == p.epoch && seq != p.next:
			return http.StatusConflict, fmt.Sprintf(`{"reason":"seq","seq":%d}`, p.next)
		}
		if q.Has("at") && number(r, "at") != int64(len(p.records)) {
			return http.StatusPreconditionFailed, fmt.Sprintf(`{"end":%d}`, len(p.records))
		}
		if epoch > p.epoch {
			p.epoch, p.answered = epoch, map[int64]string{}
		}
		p.next = seq + 1
		answer := fmt.Sprintf(`{"offset":%d,"end":%d}`, len(p.records), len(p.records)+1)
		p.answered[seq] = answer
		s.add(p, parse(body)...)
		return http.StatusOK, answer
	}
	s.add(p, parse(body)...)
	return http.StatusOK, fmt.Sprintf(`{"offset":0,"end":%d}`, len(p.records))
}

func parse(body []byte) []record {
	var list []record
	for len(body) >= 5 {
		n, k := int(binary.BigEndian.Uint32(body)), int(body[4])
		list = append(list, record{key: string(body[5 : 5+k]), value: append([]byte(nil), body[5+k:4+n]...)})
		body = body[4+n:]
	}
	return list
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	deadline := time.After(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		p, wake := s.part(r.URL.Query().Get("topic"), int(number(r, "part"))), s.wake
		records := p.records
		s.mu.Unlock()
		if from < int64(len(records)) || number(r, "waitMs") == 0 {
			writeRecords(w, records, min(from, int64(len(records))))
			return
		}
		select {
		case <-wake:
		case <-deadline:
			writeRecords(w, records, int64(len(records)))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, records []record, from int64) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	_, _ = w.Write(out) // the reader may have gone
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r.URL.Query().Get("topic"), int(number(r, "part")))
	values := map[string]int{}
	for i, rec := range p.records {
		values[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, i := range values {
		if len(p.records[i].value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(p.records[i].value), i})
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Key < items[k].Key })
	const page = 20 // far below the platform's, so that tests turn pages
	after := r.URL.Query().Get("after")
	start := sort.Search(len(items), func(i int) bool { return items[i].Key > after })
	end := min(start+page, len(items))
	reply(w, map[string]any{"items": items[start:end], "truncated": end < len(items), "end": len(p.records)})
}

func reply(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}
