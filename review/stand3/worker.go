//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond // between two writes of a worker's record
	silentBeats  = 3                       // after which a worker's record is removed
	maxHold      = 10 * time.Second        // longest lease
	startupTime  = 300 * time.Millisecond  // until a work unit that lasts is at work
	stopTime     = 20 * time.Millisecond   // that a stop takes, well within stopGraceMs
	listedEnds   = 500                     // in one response
	firstClockMS = 1000                    // reading of a worker's clock at its start
)

// unit is what a worker knows of a work unit: the properties of its step.
type unit struct {
	cpu, memMB int
	duration   time.Duration // of a unit that does not last
	lasts      bool
	requires   string // label that the worker must have
	mayMiss    int
}

// unitRun is a run of a work unit.
type unitRun struct {
	task     string
	number   int64
	unit     unit
	startAt  time.Time
	stopping bool
}

// percent returns the progress of a run.
func (r *unitRun) percent(now time.Time) int {
	whole := r.unit.duration
	if r.unit.lasts {
		whole = startupTime
	}
	return int(min(100*now.Sub(r.startAt)/max(whole, 1), 100))
}

// unitEnd is an end of a run that was not acknowledged yet.
type unitEnd struct {
	sequence int64
	task     string
	number   int64
	how      string
}

// life is one boot of a worker.
type life struct {
	born     int64 // Unix milliseconds
	startAt  time.Time
	fence    int64
	leaseEnd time.Time
	running  map[string]*unitRun
	ended    []unitEnd
	sequence int64
	highest  map[string]int64 // number of the highest run that ended or was stopped, by work unit
	changed  chan struct{}    // closed and replaced at each end
	over     chan struct{}    // closed when the boot ends
	server   *http.Server
}

// worker is a worker of a machine. Its boots have its ID and its address.
type worker struct {
	id, machine, service, rack string
	cpu, memMB                 int
	lab                        *lab
	gate                       *gate  // nil if the worker publishes the address at which it listens
	address                    string // at which it listens

	mu   sync.Mutex
	kind string
	mute bool // leaves all calls unanswered, and does nothing for them
	// late tells for how long an order to start a run is on its way, 0 for no delay. A delayed one is not answered, and the
	// boot that is up then carries it out.
	late   func(b *callBody) time.Duration
	life   *life // nil while it is down
	seq    int64
	beatAt time.Time // of the last heartbeat
}

// boot starts the worker under its ID and writes its record before it takes calls.
func (w *worker) boot() error {
	at := w.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = ln.Addr().String()
	if w.gate != nil {
		w.gate.mu.Lock()
		w.gate.backend = w.address
		w.gate.mu.Unlock()
	}
	l := &life{
		born: time.Now().UnixMilli(), startAt: time.Now(), running: map[string]*unitRun{}, highest: map[string]int64{},
		changed: make(chan struct{}), over: make(chan struct{}),
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(l, rw, r) }), ReadHeaderTimeout: time.Minute}
	w.life = l
	w.writeRecord()
	go func() { _ = l.server.Serve(ln) }()
	go w.beat(l)
	w.lab.record("worker %s is up: machine %s, service %s, labels %s %s, born %d", w.id, w.machine, w.service, w.kind, w.rack, l.born)
	return nil
}

// end ends the boot: everything that runs ends with it.
func (w *worker) end(why string) []*unitRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.life
	if l == nil {
		return nil
	}
	w.life = nil
	close(l.over)
	l.server.Close()
	runs := slices.Collect(maps.Values(l.running))
	w.lab.record("worker %s has ended (%s) with %d runs", w.id, why, len(runs))
	time.AfterFunc(time.Until(w.beatAt.Add(silentBeats*heartbeat)), w.expire)
	return runs
}

// expire removes the worker's record after some heartbeats of silence.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil && time.Since(w.beatAt) >= silentBeats*heartbeat {
		w.lab.record("worker %s: its record is removed", w.id)
		w.lab.store.Put("keyed.servers", w.id, nil)
	}
}

// writeRecord writes the worker's record in the store; w.mu is held.
func (w *worker) writeRecord() {
	w.seq++
	w.beatAt = time.Now()
	address := w.address
	if w.gate != nil {
		address = w.gate.ln.Addr().String()
	}
	data, err := json.Marshal(map[string]any{
		"service": w.service, "machine": w.machine, "address": address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": w.seq,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMB, "gpu": 0}, "labels": []string{w.kind, w.rack}, "born": w.life.born,
	})
	if err == nil {
		w.lab.store.Put("keyed.servers", w.id, data)
	}
}

// beat writes the record each heartbeat and ends what runs without a lease.
func (w *worker) beat(l *life) {
	const tick = 20 * time.Millisecond
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	written := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-l.over:
			return
		}
		w.mu.Lock()
		now := time.Now()
		if w.life == l && now.Sub(written) >= heartbeat {
			written = now
			w.writeRecord()
		}
		if now.After(l.leaseEnd) {
			for task := range l.running {
				w.finish(l, task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// finish lists the end of a run; w.mu is held.
func (w *worker) finish(l *life, task, how string) {
	r := l.running[task]
	if r == nil || w.life != l {
		return
	}
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], r.number)
	l.sequence++
	l.ended = append(l.ended, unitEnd{l.sequence, task, r.number, how})
	close(l.changed)
	l.changed = make(chan struct{})
	w.lab.record("end    %s run %d on %s: %s", task, r.number, w.id, how)
}

func (l *life) clockMS() int64 { return time.Since(l.startAt).Milliseconds() + firstClockMS }

// extend extends the lease to a time on the worker's clock.
func (l *life) extend(untilMS int64) {
	if untilMS <= 0 {
		return
	}
	left := min(time.Duration(untilMS-l.clockMS())*time.Millisecond, maxHold)
	if until := time.Now().Add(left); until.After(l.leaseEnd) {
		l.leaseEnd = until
	}
}

// callBody is the body of any call to a worker.
type callBody struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	UntilMS int64  `json:"untilMs"`
	Fence   int64  `json:"fence"`
	Cursor  int64  `json:"ackCursor"`
	WaitMS  int64  `json:"waitMs"`
}

func (w *worker) serve(l *life, rw http.ResponseWriter, r *http.Request) {
	var b callBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	mute, late := w.mute, time.Duration(0)
	if w.late != nil && r.URL.Path == "/v1/run-start" {
		late = w.late(&b)
	}
	w.mu.Unlock()
	if late > 0 {
		w.lab.record("late   %s run %d to %s is on its way for %s", b.Task, b.Run, w.id, late)
		time.AfterFunc(late, func() { w.startLate(&b) })
	}
	if mute || late > 0 {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l {
		panic(http.ErrAbortHandler)
	}
	if b.Fence < l.fence {
		l.respond(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	l.fence = b.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		w.start(l, rw, &b)
	case "/v1/run-stop":
		l.highest[b.Task] = max(l.highest[b.Task], b.Run)
		if x := l.running[b.Task]; x != nil && x.number <= b.Run && !x.stopping {
			x.stopping = true
			w.lab.record("stop   %s run %d on %s", b.Task, b.Run, w.id)
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if l.running[b.Task] == x {
					w.finish(l, b.Task, "stopped")
				}
			})
		}
		l.respond(rw, http.StatusOK, nil)
	case "/v1/hold":
		w.hold(l, rw, r, &b)
	default:
		l.respond(rw, http.StatusOK, nil)
	}
}

func (l *life) respond(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"], body["born"] = l.clockMS(), l.born
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have left
}

// start handles an order to start a run; w.mu is held.
func (w *worker) start(l *life, rw http.ResponseWriter, b *callBody) {
	x, known := w.lab.unitOf(b.Task)
	refuse := func(reason string) { l.respond(rw, http.StatusConflict, map[string]any{"reason": reason}) }
	usedCPU, usedMem := 0, 0
	for _, r := range l.running {
		usedCPU, usedMem = usedCPU+r.unit.cpu, usedMem+r.unit.memMB
	}
	running := l.running[b.Task]
	switch {
	case b.UntilMS <= l.clockMS():
		refuse("late")
		return
	case running != nil && running.number == b.Run:
		l.extend(b.UntilMS)
		l.respond(rw, http.StatusOK, nil)
		return
	case b.Run <= l.highest[b.Task] || running != nil:
		l.extend(b.UntilMS)
		refuse("old")
		return
	case !known:
		l.respond(rw, http.StatusBadRequest, nil)
		return
	case usedCPU+x.cpu > w.cpu || usedMem+x.memMB > w.memMB:
		l.extend(b.UntilMS)
		refuse("room")
		return
	}
	l.extend(b.UntilMS)
	r := &unitRun{task: b.Task, number: b.Run, unit: x, startAt: time.Now()}
	l.running[b.Task] = r
	w.lab.started(w, r)
	if !x.lasts {
		time.AfterFunc(x.duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if l.running[b.Task] == r && !r.stopping {
				w.finish(l, b.Task, "done")
			}
		})
	}
	l.respond(rw, http.StatusOK, nil)
}

// startLate carries out an order that was delayed, without an answer.
func (w *worker) startLate(b *callBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.life; l != nil && b.Fence >= l.fence {
		l.fence = b.Fence
		w.lab.record("late   %s run %d arrives at %s, boot of %d", b.Task, b.Run, w.id, l.born)
		w.start(l, httptest.NewRecorder(), b)
	}
}

// hold renews the lease, forgets the ends that are taken note of and lists runs and ends; w.mu is held, but not during the
// wait for an end.
func (w *worker) hold(l *life, rw http.ResponseWriter, r *http.Request, b *callBody) {
	l.extend(b.UntilMS)
	if n := len(l.ended); n > 0 && b.Cursor >= l.ended[0].sequence {
		l.ended = slices.DeleteFunc(l.ended, func(e unitEnd) bool { return e.sequence <= b.Cursor })
	}
	if len(l.ended) == 0 && b.WaitMS > 0 {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(b.WaitMS, 2000)) * time.Millisecond):
		case <-l.over:
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.mute || w.life != l {
			panic(http.ErrAbortHandler)
		}
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, x := range l.running {
		running = append(running, []any{x.task, x.number, "", x.percent(now), x.unit.cpu})
	}
	for _, e := range l.ended[:min(len(l.ended), listedEnds)] {
		ended = append(ended, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	l.respond(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// setMute sets whether the worker leaves calls unanswered.
func (w *worker) setMute(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = mute
	w.lab.record("worker %s: leaves calls unanswered: %v", w.id, mute)
}

// runs returns a copy of the runs on the worker.
func (w *worker) runs() []unitRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []unitRun
	if w.life != nil {
		for _, r := range w.life.running {
			list = append(list, *r)
		}
	}
	return list
}

func (w *worker) up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life != nil
}

func (w *worker) String() string { return fmt.Sprintf("%s on %s", w.id, w.machine) }
