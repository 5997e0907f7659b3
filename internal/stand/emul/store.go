// Package emul emulates the platform for tests of entries that schedule jobs: its log, its
// VMs and its inventory of machines, each behind an HTTP listener on loopback. Entries under
// test read the configuration and the VM list from the log, store jobs in it, start runs on
// the VMs and order moves and maintenance of machines. Tests inject faults by changing
// exported fields through SetFaults. The package records all runs and orders, and tests check
// these records for violations. Package soak and the tests of package drive use it.
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

const (
	jobTopic      = "keyed.jobs"
	operatorTopic = "keyed.op"
)

// Store emulates the platform's log, including the member group that owns its partitions.
// Its exported fields other than Appends are faults.
type Store struct {
	mu             sync.Mutex
	partitions     map[string]*partition
	appended       chan struct{}      // closed and replaced at each append
	members        map[string]*member // by name
	generation     int64
	assigned       map[int]string // name of the member that each partition of the job topic is assigned to, empty if unassigned
	partitionCount int            // number of partitions of the job topic
	Down           bool           // answers all calls with 503
	Silent         bool           // leaves all calls unanswered and carries none out
	LoseNextReply  bool           // the next append takes effect without a reply
	LosePercent    int            // percentage of appends that take effect without a reply
	LoseSilently   bool           // lost replies leave their connection open
	Delay          time.Duration  // delay before each call takes effect
	// HangNewestReads is a number n: the next n calls of /v1/log-newest get no reply.
	HangNewestReads int
	// EditNewest replaces the pages of newest records of the job topic; nil for none. It is called without the store's
	// lock, with the key after which the page begins.
	EditNewest func(page []byte, after string) []byte
	// DeafWatches leaves the operator's records out of reads that wait for new ones.
	DeafWatches bool
	// NoTail leaves the records out of the reads of the job topic.
	NoTail  bool
	Appends int // number of append calls so far
	// OnAppend is called, without the store's lock, before an append to the job topic is carried out; nil for nothing.
	// If it returns true, the append gets no reply and is carried out by ReleaseHeld.
	OnAppend func(partition int, epoch int64) (hold bool)
	held     []func() (status int, response string)
}

type partition struct {
	records      []record
	epoch        int64            // epoch of the newest producer
	nextSequence int64            // next sequence number expected from the producer
	replies      map[int64]string // replies to the appends of this epoch, by sequence number
}

type record struct {
	key   string
	value []byte
}

type member struct {
	lastJoin   time.Time
	ttl        time.Duration
	generation int64 // generation named in its last join
	partitions []int // assigned partitions of the job topic
}

// NewStore returns an empty log whose job topic has the given number of partitions.
func NewStore(jobPartitions int) *Store {
	return &Store{partitions: map[string]*partition{}, appended: make(chan struct{}), members: map[string]*member{}, assigned: map[int]string{}, partitionCount: jobPartitions}
}

// Put appends a record to partition 0 of a topic, as the platform or its operator would.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, 0), record{key, value})
}

// Get returns the newest value of a key in partition 0 of a topic.
func (s *Store) Get(topic, key string) []byte { return s.get(topic, 0, key) }

// JobRecord returns the newest value of a key in a partition of the job topic.
func (s *Store) JobRecord(partition int, key string) []byte {
	return s.get("keyed.jobs", partition, key)
}

func (s *Store) get(topic string, n int, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var value []byte
	for _, r := range s.partition(topic, n).records {
		if r.key == key {
			value = r.value
		}
	}
	return value
}

// SetFaults runs change under the store's lock, to change the exported fault fields.
func (s *Store) SetFaults(change func(s *Store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// partition returns partition n of a topic, which it creates if it does not exist; s.mu is
// held.
func (s *Store) partition(topic string, n int) *partition {
	name := fmt.Sprintf("%s/%d", topic, n)
	p := s.partitions[name]
	if p == nil {
		p = &partition{replies: map[int64]string{}}
		s.partitions[name] = p
	}
	return p
}

// add appends records and wakes waiting reads; s.mu is held.
func (s *Store) add(p *partition, records ...record) {
	p.records = append(p.records, records...)
	close(s.appended)
	s.appended = make(chan struct{})
}

// ServeHTTP serves the calls of the log.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, delay := s.Down, s.Delay
	hang := s.Silent
	if s.HangNewestReads > 0 && r.URL.Path == "/v1/log-newest" {
		s.HangNewestReads--
		hang = true
	}
	s.mu.Unlock()
	if hang {
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

// queryInt returns an integer parameter of the URL, 0 if it is missing or invalid.
func queryInt(r *http.Request, name string) int64 {
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
	if s.hold(r, body) {
		<-r.Context().Done()
		return
	}
	status, response := s.doAppend(r, body)
	s.mu.Lock()
	loseReply := status == http.StatusOK && (s.LoseNextReply || isLost(s.Appends, s.LosePercent))
	if loseReply {
		s.LoseNextReply = false
	}
	silently := s.LoseSilently
	s.mu.Unlock()
	if loseReply && silently {
		<-r.Context().Done()
		return
	}
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	fmt.Fprint(w, response)
}

// hold reports whether an append is held back until ReleaseHeld is called.
func (s *Store) hold(r *http.Request, body []byte) bool {
	s.mu.Lock()
	onAppend := s.OnAppend
	s.mu.Unlock()
	if onAppend == nil || r.URL.Query().Get("topic") != jobTopic || !onAppend(int(queryInt(r, "part")), queryInt(r, "epoch")) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = append(s.held, func() (int, string) { return s.doAppend(r, body) })
	return true
}

// Held returns the number of appends that are held back.
func (s *Store) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// ReleaseHeld carries out the appends that are held back and returns their responses.
func (s *Store) ReleaseHeld() (responses []string) {
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	for _, carryOut := range held {
		_, response := carryOut()
		responses = append(responses, response)
	}
	return responses
}

// isLost reports whether call number n is among the given percentage of calls that are lost.
func isLost(n, percent int) bool {
	const step = 37 // has no common factor with 100, which spreads the lost calls evenly
	return n*step%100 < percent
}

// doAppend appends the records in body and returns the HTTP status and the response. An
// append with a producer is checked against the partition's epoch and next sequence number,
// and a repeated one gets the response to the first. With the parameter at, it also fails if
// the partition does not end at that offset. An append without a producer is not checked.
func (s *Store) doAppend(r *http.Request, body []byte) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Appends++
	if tooLarge(body) {
		return http.StatusRequestEntityTooLarge, `{"reason":"size"}`
	}
	q := r.URL.Query()
	p := s.partition(q.Get("topic"), int(queryInt(r, "part")))
	if q.Get("producer") != "" {
		epoch, seq := queryInt(r, "epoch"), queryInt(r, "seq")
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, `{"reason":"fenced"}`
		case epoch == p.epoch && p.replies[seq] != "":
			return http.StatusOK, p.replies[seq]
		case epoch == p.epoch && seq != p.nextSequence:
			return http.StatusConflict, fmt.Sprintf(`{"reason":"seq","seq":%d}`, p.nextSequence)
		}
		if q.Has("at") && queryInt(r, "at") != int64(len(p.records)) {
			return http.StatusPreconditionFailed, fmt.Sprintf(`{"end":%d}`, len(p.records))
		}
		if epoch > p.epoch {
			p.epoch, p.replies = epoch, map[int64]string{}
		}
		p.nextSequence = seq + 1
		// The offsets are exact for a single record only; entries read only the status of this response.
		response := fmt.Sprintf(`{"offset":%d,"end":%d}`, len(p.records), len(p.records)+1)
		p.replies[seq] = response
		delete(p.replies, seq-rememberedReplies)
		s.add(p, decodeRecords(body)...)
		return http.StatusOK, response
	}
	s.add(p, decodeRecords(body)...)
	return http.StatusOK, fmt.Sprintf(`{"offset":0,"end":%d}`, len(p.records))
}

// Limits of the log.
const (
	rememberedReplies = 5 // of a producer; a repeat of an earlier append is refused

	MaxRecordBytes = 1 << 18
	MaxCallBytes   = 1 << 21
)

// tooLarge reports whether the records of an append exceed the limits.
func tooLarge(body []byte) bool {
	total := 0
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > MaxRecordBytes || n > len(body)-4 {
			return true
		}
		total += n
		body = body[4+n:]
	}
	return total > MaxCallBytes
}

// decodeRecords decodes records of the form: length of key and value plus one (4 bytes),
// length of the key (1 byte), key, value.
func decodeRecords(body []byte) []record {
	var list []record
	for len(body) >= 5 {
		n, k := int(binary.BigEndian.Uint32(body)), int(body[4])
		list = append(list, record{key: string(body[5 : 5+k]), value: append([]byte(nil), body[5+k:4+n]...)})
		body = body[4+n:]
	}
	return list
}

// read serves reads of a partition from an offset on. If there are no such records yet, it
// waits up to waitMs for one.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from := queryInt(r, "from")
	deadline := time.After(time.Duration(queryInt(r, "waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		topic := r.URL.Query().Get("topic")
		p, appended := s.partition(topic, int(queryInt(r, "part"))), s.appended
		records, noTail := p.records, s.NoTail && topic == jobTopic
		deaf := s.DeafWatches && topic == operatorTopic && queryInt(r, "waitMs") > 0
		s.mu.Unlock()
		if noTail {
			_, _ = w.Write(readHeader(records)) // the client may have closed the connection
			return
		}
		if (from < int64(len(records)) && !deaf) || queryInt(r, "waitMs") == 0 {
			writeRecords(w, records, min(from, int64(len(records))))
			return
		}
		select {
		case <-appended:
		case <-deadline:
			writeRecords(w, records, int64(len(records)))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes a response to read: the end offset and the first retained offset (8
// bytes each), then the records in the form that decodeRecords reads.
func writeRecords(w io.Writer, records []record, from int64) {
	_, _ = w.Write(appendRecords(readHeader(records), records[from:])) // the client may have closed the connection
}

func appendRecords(out []byte, records []record) []byte {
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

const readHeaderBytes = 16

// readHeader returns the end offset and the first retained offset of a partition.
func readHeader(records []record) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	return binary.BigEndian.AppendUint64(out, 0) // the emulated log drops no records
}

// newest serves reads of the newest record of each key, sorted by key, in pages. It omits keys
// whose newest record is a tombstone.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	page, edit := s.newestPage(topic, int(queryInt(r, "part")), after)
	data, err := json.Marshal(page)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if edit != nil && topic == jobTopic {
		data = edit(data, after)
	}
	_, _ = w.Write(data) // the client may have closed the connection
}

// newestPage returns a page that begins after a key, and the fault that replaces it.
func (s *Store) newestPage(topic string, part int, after string) (page map[string]any, edit func([]byte, string) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	newestIndex := map[string]int{}
	for i, rec := range p.records {
		newestIndex[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, i := range newestIndex {
		if len(p.records[i].value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(p.records[i].value), i})
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Key < items[k].Key })
	const pageSize = 20 // far below the platform's page size, so that tests read several pages
	start := sort.Search(len(items), func(i int) bool { return items[i].Key > after })
	end := min(start+pageSize, len(items))
	return map[string]any{"items": items[start:end], "truncated": end < len(items), "end": len(p.records)}, s.EditNewest
}

// reply writes v as JSON.
func reply(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // the client may have closed the connection
}
