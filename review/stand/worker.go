package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxEnds    = 500 // in one answer
	maxHold    = 10 * time.Second
	stopGrace  = 50 * time.Millisecond // that a run takes to stop; the settings allow 400 ms
	beat       = 500 * time.Millisecond
	rejectRoom = "room"
)

// unit is what a work unit of a step needs and how long it works.
type unit struct {
	cpu, mem int
	work     time.Duration
	lasts    bool
	saves    bool
	deadly   time.Duration // after which it crashes its worker; 0 for never
	gang     int           // members of the gang; 0 for a unit that works by itself
}

// run is one run of a work unit on a worker.
type run struct {
	task    string
	number  int64
	fence   int64
	worker  string
	service string
	life    int64 // of the worker
	started time.Time
	ended   time.Time // zero while it runs
	how     string
	seq     int64     // number of its end
	notedAt time.Time // when ackCursor reached its end; zero before
	void    bool      // the worker's lease lapsed before its end was noted
	unit    unit
	timer   *time.Timer
	saved   string    // checkpoint at its end
	from    string    // checkpoint that it was started with
	worksAt time.Time // since when a member of a gang works; zero before
}

// floor holds what all workers have run.
type floor struct {
	rec   *record
	mu    sync.Mutex
	units map[string][]unit // by job: the unit of each step
	runs  []*run
	gangs map[string]*gang // by step and run
	crash func(w *worker)  // ends a worker that a work unit crashes
}

func (f *floor) unit(task string) unit {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return unit{}
	}
	step, err := strconv.Atoi(p[2])
	if err != nil || step >= len(f.units[p[0]]) {
		return unit{}
	}
	return f.units[p[0]][step]
}

func (f *floor) setUnits(job string, list ...unit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.units[job] = list
}

func (f *floor) begin(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
	f.rec.add("%s starts %s run %d (fence %d) from checkpoint %q", r.worker, r.task, r.number, r.fence, r.from)
}

// snapshot returns copies of all runs.
func (f *floor) snapshot() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]run, len(f.runs))
	for i, r := range f.runs {
		list[i] = *r
	}
	return list
}

// worker is one life of a machine.
type worker struct {
	id, machine, service string
	rack                 string
	cpu, mem             int
	rejects              bool
	floor                *floor
	store                *store
	ln                   net.Listener
	server               *http.Server
	born                 time.Time
	address              string

	mu       sync.Mutex
	fence    int64
	until    time.Time // end of the lease
	running  map[string]*run
	ends     []*run // not acknowledged
	lastSeq  int64
	highest  map[string]int64 // run stopped or ended, by task
	changed  chan struct{}
	gone     chan struct{}
	draining bool
}

func newWorker(id, machine, service, rack string, cpu, mem int, rejects bool, f *floor, s *store) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, machine: machine, service: service, rack: rack, cpu: cpu, mem: mem, rejects: rejects, floor: f, store: s, ln: ln, born: time.Now(), address: ln.Addr().String(),
		running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}), gone: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(ln) }()
	go w.tick()
	return w, nil
}

// kill ends the worker and all that runs on it.
func (w *worker) kill() {
	w.mu.Lock()
	select {
	case <-w.gone:
		w.mu.Unlock()
		return
	default:
	}
	close(w.gone)
	for _, r := range w.running {
		r.timer.Stop()
		w.floor.mu.Lock()
		r.ended, r.how = time.Now(), "lost"
		w.floor.mu.Unlock()
		if r.unit.gang > 0 {
			go w.floor.disband(r, "lost")
		}
	}
	w.running = map[string]*run{}
	w.mu.Unlock()
	w.server.Close()
	w.store.put("keyed.servers", w.id, nil)
}

// tick registers the worker and ends what runs without a lease.
func (w *worker) tick() {
	var last time.Time
	for {
		select {
		case <-w.gone:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if time.Since(last) >= beat {
			last = time.Now()
			w.register()
		}
		w.mu.Lock()
		if len(w.running) > 0 && time.Now().After(w.until) {
			for task := range w.running {
				w.end(task, "lapsed")
			}
		}
		if time.Now().After(w.until) {
			w.floor.mu.Lock()
			for _, r := range w.ends {
				r.void = r.void || r.notedAt.IsZero()
			}
			w.floor.mu.Unlock()
		}
		w.mu.Unlock()
	}
}

func (w *worker) register() {
	w.mu.Lock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.mu.Unlock()
	w.store.put("keyed.servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "version": "1", "slots": 8, "state": state, "coldLeftMs": 0, "seq": time.Now().UnixMilli() - w.born.UnixMilli(),
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.mem}, "labels": []string{"a", w.rack}, "machine": w.machine, "born": w.born.UnixMilli(),
	})
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// end ends a run; w.mu is held.
func (w *worker) end(task, how string) {
	r := w.running[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.lastSeq++
	w.floor.mu.Lock()
	r.saved = r.value(time.Now(), how == "stopped")
	r.ended, r.how, r.seq = time.Now(), how, w.lastSeq
	w.floor.mu.Unlock()
	w.floor.rec.add("%s ends %s run %d: %s, saved %q", w.id, task, r.number, how, r.saved)
	if r.unit.gang > 0 && how != "alone" {
		go w.floor.disband(r, how)
	}
	w.ends = append(w.ends, r)
	w.highest[task] = max(w.highest[task], r.number)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerCall struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	UntilMS int64  `json:"untilMs"`
	Fence   int64  `json:"fence"`
	Cursor  int64  `json:"ackCursor"`
	WaitMS  int64  `json:"waitMs"`
	Percent int    `json:"percent"`
	Saved   string `json:"checkpoint"`
}

// ServeHTTP serves the calls of entries.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b workerCall
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = b.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		w.start(rw, &b)
	case "/v1/run-stop":
		w.stop(rw, &b)
	case "/v1/hold":
		w.hold(rw, r, &b)
	default:
		writeJSON(rw, map[string]any{"clockMs": w.clock()})
	}
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(http.StatusConflict)
	writeJSON(rw, map[string]any{"clockMs": w.clock(), "reason": reason})
}

// renew extends the lease to a time on the worker's clock; w.mu is held.
func (w *worker) renew(untilMS int64) {
	if untilMS <= 0 {
		return
	}
	left := min(time.Duration(untilMS-w.clock())*time.Millisecond, maxHold)
	if until := time.Now().Add(left); until.After(w.until) {
		w.until = until
	}
}

func (w *worker) used() (cpu, mem int) {
	for _, r := range w.running {
		cpu, mem = cpu+r.unit.cpu, mem+r.unit.mem
	}
	return cpu, mem
}

func (w *worker) start(rw http.ResponseWriter, b *workerCall) {
	u := w.floor.unit(b.Task)
	cpu, mem := w.used()
	old := w.running[b.Task]
	switch {
	case old != nil && old.number == b.Run:
		w.renew(b.UntilMS)
		writeJSON(rw, map[string]any{"clockMs": w.clock()})
		return
	case old != nil || b.Run <= w.highest[b.Task]:
		w.renew(b.UntilMS)
		w.refuse(rw, "old")
		return
	case b.UntilMS <= w.clock():
		w.refuse(rw, "late")
		return
	case w.rejects && (cpu+u.cpu > w.cpu || mem+u.mem > w.mem):
		w.renew(b.UntilMS)
		w.refuse(rw, rejectRoom)
		return
	}
	w.renew(b.UntilMS)
	r := &run{task: b.Task, number: b.Run, fence: b.Fence, worker: w.id, service: w.service, life: w.born.UnixMilli(), started: time.Now(), unit: u, from: b.Saved}
	w.floor.begin(r)
	w.running[b.Task] = r
	if u.gang > 0 {
		r.timer = time.AfterFunc(gangTimeout, func() { w.floor.alone(w, r) })
		go w.floor.gather(w, r)
		writeJSON(rw, map[string]any{"clockMs": w.clock()})
		return
	}
	if u.deadly > 0 {
		time.AfterFunc(u.deadly+time.Duration(rand.Int64N(int64(u.deadly)/3)), func() { w.floor.crash(w) })
	}
	work := u.work
	if u.lasts {
		work = time.Hour
	}
	r.timer = time.AfterFunc(work, func() { w.finish(r, "done") })
	writeJSON(rw, map[string]any{"clockMs": w.clock()})
}

// finish ends a run if it is still the one that runs.
func (w *worker) finish(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[r.task] == r {
		w.end(r.task, how)
	}
}

func (w *worker) stop(rw http.ResponseWriter, b *workerCall) {
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	if r := w.running[b.Task]; r != nil && r.number <= b.Run {
		time.AfterFunc(stopGrace, func() { w.finish(r, "stopped") })
	}
	writeJSON(rw, map[string]any{"clockMs": w.clock()})
}

// hold renews the lease, forgets the ends up to the cursor, and answers with both lists.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, b *workerCall) {
	w.renew(b.UntilMS)
	w.floor.mu.Lock()
	for len(w.ends) > 0 && w.ends[0].seq <= b.Cursor {
		w.ends[0].notedAt = time.Now()
		w.ends = w.ends[1:]
	}
	w.floor.mu.Unlock()
	if wait := min(b.WaitMS, 2000); wait > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		case <-w.gone:
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, x := range w.running {
		percent := 100
		if !x.unit.lasts {
			percent = min(int(100*time.Since(x.started)/max(x.unit.work, 1)), 100)
		}
		value := x.value(time.Now(), false)
		if x.unit.gang > 0 {
			percent = min(int(100*x.progress(time.Now())/x.unit.work), 100)
		}
		running = append(running, []any{task, x.number, value, percent, x.unit.cpu})
	}
	for _, x := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{x.seq, x.task, x.number, x.how, x.saved})
	}
	writeJSON(rw, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// twice returns the breaks of the rule TWICE, as texts: two runs of a work unit at the same time, or a start
// after a run has ended done if that end was noted and the worker's lease did not lapse in between.
func (f *floor) twice() []string {
	byTask := map[string][]run{}
	for _, r := range f.snapshot() {
		byTask[r.task] = append(byTask[r.task], r)
	}
	var list []string
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b run) int { return a.started.Compare(b.started) })
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case a.ended.IsZero() || b.started.Before(a.ended):
					list = append(list, text(f.rec, "two runs at a time", task, &a, &b))
				case a.how == "done" && !a.notedAt.IsZero() && !a.void:
					list = append(list, text(f.rec, "started after an end done", task, &a, &b))
				}
			}
		}
	}
	slices.Sort(list)
	return list
}

// running returns how many work units of a job run.
func (f *floor) running(job string) int {
	n := 0
	for _, r := range f.snapshot() {
		if strings.HasPrefix(r.task, job+".") && r.ended.IsZero() {
			n++
		}
	}
	return n
}
