package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	longestHold   = 10 * time.Second
	stopTime      = 100 * time.Millisecond // of a run; at most stopGraceMs
	startupTime   = 700 * time.Millisecond // of a long-running work unit, until it is at work
	gangTimeout   = 3 * time.Second
	heartbeat     = 1500 * time.Millisecond
	listedAtATime = 500
)

// unit is what the stand-ins know of the work units of a step.
type unit struct {
	cpu, mem int
	count    int
	work     time.Duration
	gang     bool
	lasts    bool
}

// plant is what all workers share: the steps of the jobs, the runs of gangs and the record.
type plant struct {
	mu    sync.Mutex
	steps map[string]unit // by job and step, as ID.STEP
	gangs map[string][]*run
	log   *record
}

// stepOf returns the step of a work unit, by its name ID.K.STEP.INDEX.
func (p *plant) stepOf(task string) (unit, bool) {
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return unit{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.steps[f[0]+"."+f[2]]
	return u, ok
}

// run is a run of a work unit.
type run struct {
	worker  *worker
	task    string
	number  int64
	unit    unit
	began   time.Time // of its work; zero while a gang waits
	started time.Time
}

type ended struct {
	seq  int64
	task string
	run  int64
	how  string
}

// worker is one life of a machine.
type worker struct {
	id, service, rack, address string
	capCPU, capMem             int
	plant                      *plant
	born                       time.Time
	server                     *http.Server

	mu      sync.Mutex
	gone    bool
	fence   int64
	lease   time.Time
	running map[string]*run
	ends    []ended
	lastSeq int64
	highest map[string]int64 // highest run that was stopped or has ended, by work unit
	changed chan struct{}
}

func newWorker(p *plant, id, service, rack string, cpu, mem int) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, rack: rack, address: ln.Addr().String(), capCPU: cpu, capMem: mem, plant: p, born: time.Now(),
		running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(ln) }()
	go w.tick()
	return w, nil
}

func (w *worker) entry() []byte {
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": w.capCPU, "memMb": w.capMem, "gpu": 0}, "labels": []string{"a", w.rack},
		"born": w.born.UnixMilli(), "seq": time.Since(w.born).Milliseconds(),
	})
	if err != nil {
		return nil
	}
	return data
}

// kill ends the worker without notice.
func (w *worker) kill() {
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for name, r := range w.running {
		w.plant.log.add("ends", r, "lost with its worker")
		if r.unit.gang {
			go w.plant.breakGang(r)
		}
		delete(w.running, name)
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// tick ends the runs whose work is done and all runs once the lease is over.
func (w *worker) tick() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.running {
			switch {
			case now.After(w.lease):
				w.end(r, "lapsed")
			case r.unit.gang && r.began.IsZero() && now.Sub(r.started) > gangTimeout:
				w.end(r, "alone")
			case !r.unit.lasts && !r.began.IsZero() && now.Sub(r.began) >= r.unit.work:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run; w.mu is held.
func (w *worker) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.lastSeq++
	w.ends = append(w.ends, ended{w.lastSeq, r.task, r.number, how})
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.plant.log.add("ends", r, how)
	if r.unit.gang && how != "done" {
		go w.plant.breakGang(r)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Task   string `json:"task"`
		Run    int64  `json:"run"`
		Spec   string `json:"spec"`
		Until  int64  `json:"untilMs"`
		Fence  int64  `json:"fence"`
		Cursor int64  `json:"ackCursor"`
		Wait   int64  `json:"waitMs"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Fence < w.fence {
		writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "fence"})
		return
	}
	w.fence = b.Fence
	w.renew(b.Until)
	switch r.URL.Path {
	case "/v1/run-start":
		status, reason := w.start(b.Task, b.Run, b.Until)
		if reason == "" {
			writeJSON(rw, status, map[string]any{"clockMs": w.clock()})
			return
		}
		writeJSON(rw, status, map[string]any{"clockMs": w.clock(), "reason": reason})
	case "/v1/run-stop":
		w.stop(b.Task, b.Run)
		writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	case "/v1/hold":
		w.hold(rw, r, b.Cursor, b.Wait)
	case "/v1/pace":
		writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	default:
		http.NotFound(rw, r)
	}
}

// renew extends the lease; w.mu is held.
func (w *worker) renew(until int64) {
	left := min(time.Duration(until-w.clock())*time.Millisecond, longestHold)
	if end := time.Now().Add(left); until > 0 && end.After(w.lease) {
		w.lease = end
	}
}

// start begins a run; w.mu is held.
func (w *worker) start(task string, number, until int64) (status int, reason string) {
	u, ok := w.plant.stepOf(task)
	cpu, mem := w.capCPU, w.capMem
	for _, r := range w.running {
		cpu -= r.unit.cpu
		mem -= r.unit.mem
	}
	active := w.running[task]
	switch {
	case !ok:
		w.plant.log.line("a start of %s, which no client has sent", task)
		return http.StatusBadRequest, ""
	case until <= w.clock():
		return http.StatusConflict, "late"
	case active != nil && active.number == number:
		return http.StatusOK, ""
	case active != nil || number <= w.highest[task]:
		return http.StatusConflict, "old"
	case u.cpu > cpu || u.mem > mem:
		return http.StatusConflict, "room"
	}
	r := &run{worker: w, task: task, number: number, unit: u, started: time.Now()}
	w.running[task] = r
	w.plant.log.add("starts", r, "")
	if !u.gang {
		r.began = r.started
		return http.StatusOK, ""
	}
	go w.plant.meet(r)
	return http.StatusOK, ""
}

// meet has the members of a gang begin their work once all of them are present.
func (p *plant) meet(r *run) {
	key := gangOf(r)
	p.mu.Lock()
	p.gangs[key] = append(p.gangs[key], r)
	present := p.gangs[key]
	p.mu.Unlock()
	if len(present) < r.unit.count {
		return
	}
	now := time.Now()
	for _, x := range present {
		x.worker.mu.Lock()
		x.began = now
		x.worker.mu.Unlock()
	}
}

// breakGang ends the other members of a gang whose member has ended before its work was done.
func (p *plant) breakGang(r *run) {
	p.mu.Lock()
	present := p.gangs[gangOf(r)]
	p.mu.Unlock()
	for _, x := range present {
		x.worker.mu.Lock()
		if !x.began.IsZero() {
			x.worker.end(x, "broken")
		}
		x.worker.mu.Unlock()
	}
}

// gangOf names a run of a gang.
func gangOf(r *run) string {
	return fmt.Sprintf("%s %d", r.task[:strings.LastIndex(r.task, ".")], r.number)
}

// stop ends a run within the time that a stop may take; w.mu is held.
func (w *worker) stop(task string, number int64) {
	w.highest[task] = max(w.highest[task], number)
	r := w.running[task]
	if r == nil || r.number > number {
		return
	}
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, "stopped")
	})
}

// hold answers a status poll; w.mu is held but for the wait.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, cursor, waitMS int64) {
	for len(w.ends) > 0 && w.ends[0].seq <= cursor {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && waitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(waitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running, list := [][]any{}, [][]any{}
	for name, x := range w.running {
		running = append(running, []any{name, x.number, "", x.percent(), x.unit.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), listedAtATime)] {
		list = append(list, []any{e.seq, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": list})
}

// percent returns how far a run is; a long-running one is at work at 100.
func (r *run) percent() int {
	switch {
	case r.began.IsZero():
		return 0
	case r.unit.lasts && time.Since(r.began) < startupTime:
		return 50
	case r.unit.lasts:
		return 100
	}
	return int(min(99*time.Since(r.began)/max(r.unit.work, 1), 99))
}
