package emul

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Task describes how a task behaves on an emulated VM. The run-start call does not carry
// these properties.
type Task struct {
	Account     string        // client account of the job's caller; empty if it has none
	CPU         int           // thousandths of a core
	MemMB       int           // reserved memory
	GPU         int           // reserved accelerators
	Duration    time.Duration // run time unless it is long-running
	LongRunning bool          // it runs until stopped
	Saves       bool          // it writes checkpoints, from which a later run resumes
	FailingRuns int           // number of its runs that fail before one succeeds
	CrashesVM   bool          // each of its runs crashes its VM
	CrashAfter  time.Duration // from the start of such a run to the crash; crashDelay at least
}

// Worker emulates one VM, that is, one incarnation of a machine. It runs tasks while its lease
// lasts. The exported fields DropOrders, OrderDelay, LosePercent and FailAllRuns are faults. An order is
// any call but the status poll.
type Worker struct {
	ID             string
	Pool           string
	Machine        string
	Rack           string // a label
	zone           string // data centre
	sender         func(ip string) string
	address        string // as published in the VM list
	lookup         func(task string) Task
	ledger         *Ledger
	ln             net.Listener
	server         *http.Server
	startedAt      time.Time
	clockDrift     float64 // fraction by which its clock is slow; 0.01 loses 10 ms per second
	usedCPU        int     // thousandths of a core
	usedMemMB      int
	capacity       []capacityChange
	onCrash        func(*Worker)
	mu             sync.Mutex
	fence          int64 // highest fencing token received
	leaseEnd       time.Time
	leaseExpiredAt time.Time // latest time at which the lease was found expired
	running        map[string]*activeRun
	runEnds        []runEnd         // not yet acknowledged, in the order of their sequence numbers
	highestRun     map[string]int64 // highest number of a run that ended or was ordered to stop, by task
	lastSequence   int64            // sequence number of the last run end
	runEnded       chan struct{}    // closed and replaced when a run ends
	closed         chan struct{}    // closed when the VM is killed
	DropOrders     bool             // orders have no effect and get no reply
	OrderDelay     time.Duration    // orders take effect after this delay and get no reply
	LosePercent    int              // percentage of calls that get no reply; they take effect after LateBy, polls among them only if that is not 0
	LateBy         time.Duration    // see LosePercent
	FailAllRuns    bool             // all runs that it starts fail
	Unguarded      bool             // it starts what exceeds its capacity
	calls          int              // received
	next           *Worker          // the VM that came back under its ID; nil if none has
}

const (
	// VMCPU is the capacity of a VM, in thousandths of a core.
	VMCPU = 8000
	// MaxLease is the longest lease on a VM.
	MaxLease = 10 * time.Second

	vmMemMB        = 16000 // memory in MB
	initialClockMS = 1000  // clock reading at start, milliseconds
	maxListedEnds  = 500   // run ends that the reply to a status poll lists at most
)

// activeRun is a run that has not ended.
type activeRun struct {
	taskRun *TaskRun
	task    Task
	resumed time.Duration // work that its checkpoint saved
	timer   *time.Timer   // ends the run after its duration
}

// runEnd is the end of a run, which status polls report until it is acknowledged.
type runEnd struct {
	sequence int64
	task     string
	run      int64
	how      string // as TaskRun.How
	saved    string // checkpoint
	taskRun  *TaskRun
}

// NewWorker starts a VM of a machine on a free port of loopback. The VM records its runs
// in l and takes the properties of tasks from lookup.
func NewWorker(id, machine, pool string, l *Ledger, lookup func(task string) Task) (*Worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: id, Machine: machine, Pool: pool, address: ln.Addr().String(), ledger: l, ln: ln, startedAt: time.Now(), lookup: lookup,
		capacity: []capacityChange{{cpu: VMCPU}}, running: map[string]*activeRun{}, highestRun: map[string]int64{}, runEnded: make(chan struct{}), closed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(ln) }()
	go w.expireLease()
	return w, nil
}

// DataCentre returns the data centre of the VM's machine.
func (w *Worker) DataCentre() string { return w.zone }

// senderOf names the sender of a call from an address; empty if that is not known.
func (w *Worker) senderOf(address string) string {
	ip, _, err := net.SplitHostPort(address)
	if err != nil || w.sender == nil {
		return ""
	}
	return w.sender(ip)
}

// ListRecord returns the VM's record for the VM list in the platform's log.
func (w *Worker) ListRecord(state string) []byte {
	w.mu.Lock()
	cpu := w.cpu()
	w.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": w.Pool, "address": w.address, "zone": w.zone, "state": state, "slots": 8,
		"capacity": map[string]int{"cpu": cpu, "memMb": vmMemMB}, "labels": []string{"a", w.Rack}, "born": w.startedAt.UnixMilli(),
	})
	if err != nil {
		return nil
	}
	return data
}

// Kill ends the VM at once. Its runs end with outcome how and are not reported any more.
func (w *Worker) Kill(how string) {
	w.server.Close()
	close(w.closed)
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, a := range w.running {
		a.timer.Stop()
		w.ledger.end(a.taskRun, how, w.healthy())
		delete(w.running, name)
	}
}

// clockMS returns the reading of the VM's own clock in milliseconds.
func (w *Worker) clockMS() int64 {
	return int64(float64(time.Since(w.startedAt).Milliseconds())*(1-w.clockDrift)) + initialClockMS
}

// expireLease checks the lease periodically and ends all runs once it has expired. It returns
// when the VM is killed.
func (w *Worker) expireLease() {
	const tick = 20 * time.Millisecond
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.closed:
			return
		}
		w.mu.Lock()
		if now := time.Now(); now.After(w.leaseEnd) {
			w.leaseExpiredAt = now
			for name := range w.running {
				w.endRun(name, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// healthy reports whether no fault is set on the VM; w.mu is held.
func (w *Worker) healthy() bool { return !w.DropOrders && !w.FailAllRuns && w.OrderDelay == 0 }

// endRun ends the run of a task, if any, and wakes status polls; w.mu is held.
func (w *Worker) endRun(name, how string) {
	a := w.running[name]
	if a == nil {
		return
	}
	a.timer.Stop()
	delete(w.running, name)
	w.usedCPU -= a.task.CPU
	w.usedMemMB -= a.task.MemMB
	w.ledger.end(a.taskRun, how, w.healthy())
	w.lastSequence++
	w.runEnds = append(w.runEnds, runEnd{w.lastSequence, name, a.taskRun.Run, how, a.checkpoint(time.Now(), 1), a.taskRun})
	w.highestRun[name] = max(w.highestRun[name], a.taskRun.Run)
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

// workerRequest is the body of all calls to a VM. Each call sets some of the fields.
type workerRequest struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	UntilMS int64  `json:"untilMs"`
	Fence   int64  `json:"fence"`
	Spec    string `json:"spec"`
	Cursor  int64  `json:"ackCursor"`
	WaitMS  int64  `json:"waitMs"`
	// Checkpoint is the one from which a run resumes; empty if there is none.
	Checkpoint string `json:"checkpoint"`

	sender string // as TaskRun.Sender
}

// ServeHTTP serves the calls of the VM.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b workerRequest
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.sender = w.senderOf(r.RemoteAddr)
	w.mu.Lock()
	order := r.URL.Path != "/v1/hold"
	drop, delay := w.DropOrders && order, w.OrderDelay
	w.calls++
	lost := isLost(w.calls, w.LosePercent)
	if lost {
		drop, delay = true, max(delay, w.LateBy)
	}
	w.mu.Unlock()
	switch path := r.URL.Path; {
	case delay > 0 && order:
		time.AfterFunc(delay, func() { w.serve(&discardResponse{}, nil, path, &b) })
		drop = true
	case lost && delay > 0:
		b.WaitMS = 0
		time.AfterFunc(delay, func() { w.latest().serve(&discardResponse{}, nil, path, &b) })
	}
	if drop {
		<-r.Context().Done()
		return
	}
	w.serve(rw, r, r.URL.Path, &b)
}

// latest returns the VM that has this VM's ID now: a call names no more than the ID.
func (w *Worker) latest() *Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == nil {
		return w
	}
	return w.next.latest()
}

// discardResponse is a response writer for delayed calls, whose client gets no reply.
type discardResponse struct{}

// Header returns an empty header.
func (*discardResponse) Header() http.Header { return http.Header{} }

// Write discards p.
func (*discardResponse) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (*discardResponse) WriteHeader(int) {}

// serve handles a call. It does nothing if the VM was killed, and refuses a call whose fencing
// token is lower than one received before. Orders other than starts and stops succeed without
// effect. Of two calls, one is checked and takes effect before the other is checked.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, path string, b *workerRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.closed:
		return
	default:
	}
	if b.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = b.Fence
	switch path {
	case "/v1/run-start":
		w.start(rw, b)
	case "/v1/run-stop":
		w.stop(rw, b)
	case "/v1/hold":
		w.poll(rw, r, b)
	default:
		reply(rw, map[string]any{"clockMs": w.clockMS()})
	}
}

// refuse refuses a call; why is one of the platform's reasons.
func (w *Worker) refuse(rw http.ResponseWriter, why string) {
	rw.WriteHeader(http.StatusConflict)
	reply(rw, map[string]any{"clockMs": w.clockMS(), "reason": why})
}

// renewLease extends the VM's lease to the time untilMS of the VM's own clock, by MaxLease at most, and never
// shortens it. An untilMS of 0, as in a call that carries no lease, has no effect; w.mu is held.
func (w *Worker) renewLease(untilMS int64) {
	remaining := time.Duration(float64(min(untilMS-w.clockMS(), MaxLease.Milliseconds()))/(1-w.clockDrift)) * time.Millisecond
	if until := time.Now().Add(remaining); untilMS > 0 && until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

// start handles an order to start a run. It renews the lease, also if it refuses the order. It
// refuses the order if UntilMS has passed (late), if the run has ended or was ordered to stop, or
// another run of the task is active (old), or if the VM has too little free CPU or memory (room). A repeated
// order for an active run succeeds. w.mu is held.
func (w *Worker) start(rw http.ResponseWriter, b *workerRequest) {
	w.renewLease(b.UntilMS)
	switch {
	case b.UntilMS <= w.clockMS():
		w.refuse(rw, "late")
		return
	case b.Run <= w.highestRun[b.Task] || (w.running[b.Task] != nil && w.running[b.Task].taskRun.Run != b.Run):
		w.refuse(rw, "old")
		return
	case w.running[b.Task] != nil:
	default:
		task := w.lookup(b.Task)
		if !w.Unguarded && (w.usedCPU+task.CPU > w.cpu() || w.usedMemMB+task.MemMB > vmMemMB) {
			w.refuse(rw, "room")
			return
		}
		w.checkRoom(b, task)
		w.beginRun(b, task)
	}
	reply(rw, map[string]any{"clockMs": w.clockMS()})
}

// beginRun starts a run of a task; w.mu is held.
func (w *Worker) beginRun(b *workerRequest, task Task) {
	taskRun := &TaskRun{
		Task: b.Task, Run: b.Run, VM: w.ID, Spec: b.Spec, LongRunning: task.LongRunning, Checkpoint: b.Checkpoint, Start: time.Now(), CrashesVM: task.CrashesVM,
		Sender: b.sender, Account: task.Account, Reserved: Resources{CPU: task.CPU, MemMB: task.MemMB, GPU: task.GPU},
	}
	failedBefore := w.ledger.add(taskRun)
	how := "done"
	if w.FailAllRuns || failedBefore < task.FailingRuns {
		how = "failed"
	}
	a := &activeRun{taskRun: taskRun, task: task, resumed: savedWork(b.Checkpoint)}
	w.usedCPU += task.CPU
	w.usedMemMB += task.MemMB
	w.running[b.Task] = a
	if task.CrashesVM {
		time.AfterFunc(max(task.CrashAfter, crashDelay), func() {
			w.mu.Lock()
			active := w.running[b.Task] == a
			w.mu.Unlock()
			if active {
				w.onCrash(w)
			}
		})
	}
	duration := max(task.Duration-a.resumed, 0)
	if task.LongRunning {
		duration = time.Hour // longer than any test
	}
	a.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[b.Task] == a {
			w.endRun(b.Task, how)
		}
	})
}

// stop handles an order to stop a run. Afterwards runs of the task with the same or a lower
// number are refused. w.mu is held.
func (w *Worker) stop(rw http.ResponseWriter, b *workerRequest) {
	w.highestRun[b.Task] = max(w.highestRun[b.Task], b.Run)
	if a := w.running[b.Task]; a != nil && a.taskRun.Run <= b.Run {
		w.endRun(b.Task, "stopped")
	}
	reply(rw, map[string]any{"clockMs": w.clockMS()})
}

// SetFaults runs change under the VM's lock, to change the exported fault fields.
func (w *Worker) SetFaults(change func(w *Worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}
