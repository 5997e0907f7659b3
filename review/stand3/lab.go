//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

const (
	partitions = 8
	appendTime = 4 * time.Millisecond // that the store takes for an append
	host       = "jobs.example"
)

// lab is a small deployment: the platform's stand-ins and the entries, which are processes of their own.
type lab struct {
	store   *emul.Store
	cloud   *cloud
	entries []*entry
	trouble bool
	files   int // limit of the descriptors of an entry; 0 for none
	// ordersPerS is dutyPerS of the settings.
	ordersPerS int
	dir        string // of the settings and logs
	startAt    time.Time
	servers    []*http.Server

	mu       sync.Mutex
	out      *os.File
	units    map[string][]unit // steps by job
	onStart  func(w *worker, r *unitRun)
	failures []string // how the rule was broken
}

// entry is a process of the system.
type entry struct {
	name, callers, ready string
	cmd                  *exec.Cmd
	log                  *os.File
}

// newLab starts the stand-ins. Records go to record.txt in the given folder.
func newLab(folder string) (*lab, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	l := &lab{store: emul.NewStore(partitions), out: out, dir: dir, trouble: os.Getenv("TROUBLE") != "0", startAt: time.Now(), units: map[string][]unit{}, ordersPerS: 64}
	l.cloud = &cloud{lab: l, machines: map[string]*machine{}}
	return l, nil
}

// record writes a line with the time since the start.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that the rule was broken.
func (l *lab) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.record("BROKEN %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, text)
}

func (l *lab) broken() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.failures)
}

// unitOf returns the properties of a work unit, named ID.K.STEP.INDEX.
func (l *lab) unitOf(task string) (unit, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return unit{}, false
	}
	n, err := strconv.Atoi(parts[2])
	l.mu.Lock()
	defer l.mu.Unlock()
	steps := l.units[parts[0]]
	if err != nil || n >= len(steps) {
		return unit{}, false
	}
	return steps[n], true
}

func (l *lab) started(w *worker, r *unitRun) {
	l.record("start  %s run %d on %s", r.task, r.number, w.id)
	if l.onStart != nil {
		l.onStart(w, r)
	}
}

// addMachine starts a machine with a worker, behind a gate or not.
func (l *lab) addMachine(name, pool, kind, rack string, cpu, memMB int, gated bool) (*worker, error) {
	w := &worker{id: name + "-0", machine: name, service: pool, kind: kind, rack: rack, cpu: cpu, memMB: memMB, lab: l}
	if gated {
		g, err := newGate()
		if err != nil {
			return nil, err
		}
		w.gate = g
	}
	if err := w.boot(); err != nil {
		return nil, err
	}
	l.cloud.mu.Lock()
	defer l.cloud.mu.Unlock()
	l.cloud.machines[name] = &machine{name: name, pool: pool, state: "up", worker: w, waves: map[int64]bool{}}
	return w, nil
}

func (l *lab) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	l.servers = append(l.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// configure writes the operator's configuration: services, each with a queue of its name whose jobs it runs. There is no
// spare pool.
func (l *lab) configure(services ...string) error {
	routes, rows := []map[string]any{}, []map[string]any{}
	for _, name := range services {
		routes = append(routes, map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "service": name, "timeoutMs": 3000, "targetRuntimeMs": 600, "priority": 0, "maxAttempts": 3, "stretch": 1.6,
		})
		rows = append(rows, map[string]any{"name": name, "rejectsOverload": true, "spare": false})
	}
	data, err := json.Marshal(map[string]any{"version": 1, "routes": routes, "services": rows, "limits": map[string]any{"maxBodyBytes": 262144}})
	if err == nil {
		l.store.Put("keyed.op", "config", data)
	}
	return err
}

// startEntries starts entries with the command of the deploy file and settings like those that the platform fills in.
func (l *lab) startEntries(n int) error {
	logAddress, err := l.listen(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/log-append" {
			time.Sleep(appendTime)
		}
		l.store.ServeHTTP(rw, r)
	}))
	if err != nil {
		return err
	}
	cloudAddress, err := l.listen(l.cloud)
	if err != nil {
		return err
	}
	for i := range n {
		ports, err := emul.FreePorts(4)
		if err != nil {
			return err
		}
		at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", ports[k]) }
		e := &entry{name: fmt.Sprintf("edge-z1-%d", i+1), callers: at(2), ready: at(3)}
		settings, err := json.Marshal(map[string]any{
			"entry": e.name, "data-centre": "z1", "ip": "127.0.0.1", "ports": ports[:2], "callers": e.callers, "ready": e.ready,
			"log":   map[string]any{"address": logAddress, "partitions": partitions, "record-bytes": 262144, "call-bytes": 2097152, "min-ttl-ms": 1000},
			"fleet": map[string]any{"address": cloudAddress, "orders-per-s": l.ordersPerS}, "advice": map[string]any{"address": ""}, "cores": 0.4,
			"bounds": map[string]any{
				"hold-ms": maxHold.Milliseconds(), "stop-grace-ms": 400, "capacity-notice-ms": 3000, "shutdown-grace-s": 6, "keep-final-s": 120,
				"move-s": moveTime.Seconds(), "turn-ms": 3000,
			},
		})
		if err != nil {
			return err
		}
		file := filepath.Join(l.dir, e.name+".jsonc")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			return err
		}
		if e.log, err = os.Create(filepath.Join(l.dir, e.name+".log")); err != nil {
			return err
		}
		e.cmd = exec.Command("target/greengagelane", "schedule")
		if l.files > 0 {
			e.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/greengagelane schedule", l.files))
		}
		e.cmd.Env = append(os.Environ(), "GREENGAGELANE_CONFIG="+file)
		e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
		e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := e.cmd.Start(); err != nil {
			return err
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// await waits until a condition holds.
func await(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, limit)
}

// awaitReady waits until all entries are ready.
func (l *lab) awaitReady() error {
	for _, e := range l.entries {
		if err := await(e.name+" is ready", 15*time.Second, func() bool {
			res, err := http.Get("http://" + e.ready + "/v1/ready")
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		}); err != nil {
			return err
		}
	}
	return nil
}

// step is a step of a job as a client sends it.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"memMb"`
	EstimateMS int64  `json:"estimateMs,omitempty"`
	Requires   string `json:"requires,omitempty"`
	Lasts      bool   `json:"longRunning,omitempty"`
	MayMiss    int    `json:"mayMiss,omitempty"`
	PerWorker  int    `json:"antiAffinity,omitempty"`

	queue string // of the job; the first one if it is empty
}

// submit hands a job of one step in at an entry and returns the status of the response, 0 without one.
func (l *lab) submit(e *entry, id string, s *step) int {
	l.mu.Lock()
	l.units[id] = []unit{{cpu: s.CPU, memMB: s.MemMB, duration: time.Duration(s.EstimateMS) * time.Millisecond, lasts: s.Lasts, requires: s.Requires, mayMiss: s.MayMiss}}
	l.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": "job " + id, "steps": []*step{s}})
	if err != nil {
		return 0
	}
	queue := s.queue
	if queue == "" {
		queue = service
	}
	return l.call(e, http.MethodPost, queue+"/"+id, body)
}

func (l *lab) cancel(e *entry, id string) int {
	return l.call(e, http.MethodDelete, service+"/"+id, nil)
}

// call makes a call for a job, at the path of its queue and ID.
func (l *lab) call(e *entry, method, path string, body []byte) int {
	const timeout = 3 * time.Second
	req, err := http.NewRequest(method, "http://"+e.callers+"/"+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	c := http.Client{Timeout: timeout}
	res, err := c.Do(req)
	if err != nil {
		l.record("client %s %s at %s: %v", method, path, e.name, err)
		return 0
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	l.record("client %s %s at %s: %d %s", method, path, e.name, res.StatusCode, bytes.TrimSpace(text))
	return res.StatusCode
}

// close ends all processes that were started.
func (l *lab) close() {
	for _, e := range l.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill() // it may have ended
			_ = e.cmd.Wait()
		}
	}
	for _, s := range l.servers {
		s.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	}
}

// show returns the body of the response to a GET for a job, at the path of its queue and ID; empty without a response.
func (l *lab) show(e *entry, path string) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/"+path, nil)
	if err != nil {
		return ""
	}
	req.Host = host
	req.Close = true
	c := http.Client{Timeout: 3 * time.Second}
	res, err := c.Do(req)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return string(text)
}
