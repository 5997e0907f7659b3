package emul

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Task is what the emulator knows of a task, which no order says.
type Task struct {
	CPU         int           // thousandths of a core
	Duration    time.Duration // how long it takes
	LongRunning bool          // it ends when it is stopped
	FailingRuns int           // so many of its runs fail by themselves
}

// Worker emulates one VM.
type Worker struct {
	ID          string
	Pool        string
	Machine     string
	address     string // that the VM list names
	lookup      func(task string) Task
	ledger      *Ledger
	ln          net.Listener
	server      *http.Server
	born        time.Time
	drift       float64 // its clock is so much slower
	used        int     // thousandths of a core
	mu          sync.Mutex
	fence       int64
	lease       time.Time
	lapsed      time.Time // the lease was last seen to have run out
	running     map[string]*active
	ends        []endRow
	highest     map[string]int64 // runs stopped or ended, by task
	n           int64
	wake        chan struct{}
	quit        chan struct{} // closed at the end of this life
	DropOrders  bool          // swallows orders without an answer
	OrderDelay  time.Duration // carries orders out so much later, without an answer
	FailAllRuns bool          // fails all that it starts
}

const (
	vmCPU   = 8000  // thousandths of a core
	vmMemMB = 16000 // of memory
	clockMS = 1000  // of a VM at its start
)

type active struct {
	ran   *TaskRun
	task  Task
	timer *time.Timer
}

type endRow struct {
	n    int64
	task string
	run  int64
	how  string
	ran  *TaskRun
}

// NewWorker starts a VM of a machine on a free port of loopback.
func NewWorker(id, machine, pool string, l *Ledger, lookup func(task string) Task) (*Worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: id, Machine: machine, Pool: pool, address: ln.Addr().String(), ledger: l, ln: ln, born: time.Now(), lookup: lookup,
		running: map[string]*active{}, highest: map[string]int64{}, wake: make(chan struct{}), quit: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(ln) }()
	go w.expire()
	return w, nil
}

// Report is what the VM writes of itself into the platform's log.
func (w *Worker) Report(state string) []byte {
	data, err := json.Marshal(map[string]any{
		"service": w.Pool, "address": w.address, "zone": "z", "state": state, "slots": 8,
		"capacity": map[string]int{"cpu": vmCPU, "memMb": vmMemMB}, "labels": []string{"a", "r1-1"}, "born": w.born.UnixMilli(),
	})
	if err != nil {
		return nil
	}
	return data
}

// Kill ends the VM and all that runs on it; how is noted of the runs.
func (w *Worker) Kill(how string) {
	w.server.Close()
	close(w.quit)
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, a := range w.running {
		a.timer.Stop()
		w.ledger.end(a.ran, how, w.sound())
		delete(w.running, name)
	}
}

func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.born).Milliseconds())*(1-w.drift)) + clockMS
}

func (w *Worker) expire() {
	const tick = 20 * time.Millisecond
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.quit:
			return
		}
		w.mu.Lock()
		if now := time.Now(); now.After(w.lease) {
			w.lapsed = now
			for name := range w.running {
				w.finish(name, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// sound reports whether the VM has no fault; w.mu is held.
func (w *Worker) sound() bool { return !w.DropOrders && !w.FailAllRuns && w.OrderDelay == 0 }

// finish ends a run; w.mu is held.
func (w *Worker) finish(name, how string) {
	a := w.running[name]
	if a == nil {
		return
	}
	a.timer.Stop()
	delete(w.running, name)
	w.used -= a.task.CPU
	w.ledger.end(a.ran, how, w.sound())
	w.n++
	w.ends = append(w.ends, endRow{w.n, name, a.ran.Run, how, a.ran})
	w.highest[name] = max(w.highest[name], a.ran.Run)
	close(w.wake)
	w.wake = make(chan struct{})
}

type orderBody struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	UntilMS int64  `json:"untilMs"`
	Fence   int64  `json:"fence"`
	Spec    string `json:"spec"`
	Cursor  int64  `json:"ackCursor"`
	WaitMS  int64  `json:"waitMs"`
}

// ServeHTTP answers the VM's calls.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	order := r.URL.Path != "/v1/hold"
	mute, late := w.DropOrders && order, w.OrderDelay
	w.mu.Unlock()
	if late > 0 && order {
		path := r.URL.Path
		time.AfterFunc(late, func() { w.serve(&nobody{}, nil, path, &b) })
		mute = true
	}
	if mute {
		<-r.Context().Done()
		return
	}
	w.serve(rw, r, r.URL.Path, &b)
}

// nobody is a caller that has left.
type nobody struct{}

// Header makes nobody a response writer.
func (*nobody) Header() http.Header { return http.Header{} }

// Write makes nobody a response writer.
func (*nobody) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader makes nobody a response writer.
func (*nobody) WriteHeader(int) {}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, path string, b *orderBody) {
	w.mu.Lock()
	select {
	case <-w.quit:
		w.mu.Unlock()
		return
	default:
	}
	if b.Fence < w.fence {
		w.mu.Unlock()
		w.refuse(rw, "fence")
		return
	}
	w.fence = b.Fence
	w.mu.Unlock()
	switch path {
	case "/v1/run-start":
		w.start(rw, b)
	case "/v1/run-stop":
		w.stop(rw, b)
	case "/v1/hold":
		w.hold(rw, r, b)
	default:
		reply(rw, map[string]any{"clockMs": w.clock()})
	}
}

func (w *Worker) refuse(rw http.ResponseWriter, why string) {
	rw.WriteHeader(http.StatusConflict)
	reply(rw, map[string]any{"clockMs": w.clock(), "reason": why})
}

// renew extends the leases; w.mu is held.
func (w *Worker) renew(untilMS int64) {
	left := time.Duration(float64(untilMS-w.clock())/(1-w.drift)) * time.Millisecond
	if until := time.Now().Add(left); untilMS > 0 && until.After(w.lease) {
		w.lease = until
	}
}

func (w *Worker) start(rw http.ResponseWriter, b *orderBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renew(b.UntilMS)
	switch {
	case b.UntilMS <= w.clock():
		w.refuse(rw, "late")
		return
	case b.Run <= w.highest[b.Task] || (w.running[b.Task] != nil && w.running[b.Task].ran.Run != b.Run):
		w.refuse(rw, "old")
		return
	case w.running[b.Task] != nil:
	default:
		task := w.lookup(b.Task)
		if w.used+task.CPU > vmCPU {
			w.refuse(rw, "room")
			return
		}
		w.run(b, task)
	}
	reply(rw, map[string]any{"clockMs": w.clock()})
}

// run begins a task; w.mu is held.
func (w *Worker) run(b *orderBody, task Task) {
	ran := &TaskRun{Task: b.Task, Run: b.Run, VM: w.ID, Spec: b.Spec, LongRunning: task.LongRunning, Start: time.Now()}
	failed := w.ledger.add(ran)
	how := "done"
	if w.FailAllRuns || failed < task.FailingRuns {
		how = "failed"
	}
	a := &active{ran: ran, task: task}
	w.used += task.CPU
	w.running[b.Task] = a
	long := task.Duration
	if task.LongRunning {
		long = time.Hour
	}
	a.timer = time.AfterFunc(long, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[b.Task] == a {
			w.finish(b.Task, how)
		}
	})
}

func (w *Worker) stop(rw http.ResponseWriter, b *orderBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	if a := w.running[b.Task]; a != nil && a.ran.Run <= b.Run {
		w.finish(b.Task, "stopped")
	}
	reply(rw, map[string]any{"clockMs": w.clock()})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, b *orderBody) {
	w.mu.Lock()
	w.renew(b.UntilMS)
	for len(w.ends) > 0 && w.ends[0].n <= b.Cursor {
		w.note(w.ends[0].ran)
		w.ends = w.ends[1:]
	}
	wake, pending := w.wake, len(w.ends) > 0
	w.mu.Unlock()
	if !pending && b.WaitMS > 0 {
		select {
		case <-wake:
		case <-time.After(time.Duration(b.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for name, a := range w.running {
		percent := 50
		if a.task.LongRunning {
			percent = 100
		}
		running = append(running, []any{name, a.ran.Run, "", percent, 1000})
	}
	for _, e := range w.ends {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(rw, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// note takes an acknowledgement down. As the platform says, it does not count if the
// lease has run out since the end; w.mu is held.
func (w *Worker) note(r *TaskRun) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	r.Acknowledged = r.Acknowledged || !w.lapsed.After(r.End)
}

// SetFaults changes a fault.
func (w *Worker) SetFaults(change func(w *Worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}
