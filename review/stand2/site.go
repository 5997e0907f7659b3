package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  []*entryOfRun
}

// entryOfRun is a run as its worker saw it.
type entryOfRun struct {
	task, worker, rack, how string
	number                  int64
	from, to                time.Time // to is zero while it runs
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (l *record) line(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(format, args...)
}

// write writes a line; l.mu is held.
func (l *record) write(format string, args ...any) {
	fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// add records the start or the end of a run.
func (l *record) add(what string, r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write("worker %s (%s, %s): run %d of %s %s %s", r.worker.id, r.worker.service, r.worker.rack, r.number, r.task, what, how)
	if what == "starts" {
		l.runs = append(l.runs, &entryOfRun{task: r.task, worker: r.worker.id, rack: r.worker.rack, number: r.number, from: time.Now()})
		return
	}
	for _, x := range l.runs {
		if x.task == r.task && x.number == r.number && x.worker == r.worker.id && x.to.IsZero() {
			x.to, x.how = time.Now(), how
		}
	}
}

// anyRun reports whether a work unit of a job ran at any moment of a span.
func (l *record) anyRun(job string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.runs {
		if len(x.task) > len(job) && x.task[:len(job)] == job && x.from.Before(to) && (x.to.IsZero() || x.to.After(from)) {
			return true
		}
	}
	return false
}

// rackOf returns the rack of the last run of a work unit, empty if there was none.
func (l *record) rackOf(task string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	rack := ""
	for _, x := range l.runs {
		if x.task == task {
			rack = x.rack
		}
	}
	return rack
}

// workerOf returns the worker of the last run of a work unit, empty if there was none.
func (l *record) workerOf(task string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	worker := ""
	for _, x := range l.runs {
		if x.task == task {
			worker = x.worker
		}
	}
	return worker
}

// overlap describes two runs of a work unit at the same time, empty if there are none.
func (l *record) overlap(task string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var before *entryOfRun
	for _, x := range l.runs {
		if x.task != task {
			continue
		}
		if before != nil && (before.to.IsZero() || before.to.After(x.from)) {
			end := "goes on"
			if !before.to.IsZero() {
				end = fmt.Sprintf("ends %.2f s later, %s", before.to.Sub(x.from).Seconds(), before.how)
			}
			return fmt.Sprintf("run %d of %s starts on %s while run %d is at work on %s, which %s", x.number, task, x.worker, before.number, before.worker, end)
		}
		before = x
	}
	return ""
}

// machine is a machine of the inventory, in whose place a worker may be.
type machine struct {
	name, pool, rack string
	state            string
	wave             int64          // of the upkeep that is under way; 0 for none
	done             map[int64]bool // waves for which its upkeep has begun
	fence            int64          // highest that it has seen
	worker           *worker
}

// site is the platform, its workers and the entries.
type site struct {
	dir      string
	program  string
	log      *record
	store    *store
	plant    *plant
	cloud    string
	mu       sync.Mutex
	machines []*machine
	lives    int
	cpu, mem int
	entries  []*entry
	version  int64
	key      string // that clients send; empty for none
	bounds   bounds
	gated    bool // the links of entries are gates
	linkMu   sync.Mutex
	links    map[string]map[string]*gate // to workers, by entry and worker
}

// bounds are those of a site in which sites differ.
type bounds struct {
	hold, stopGrace, contact time.Duration
	configApply              time.Duration
	tenants                  bool
}

// Bounds of the sites kosarica-sola, kosarica-sola-grown and insm-sincro-now-grown.
var (
	kosarica      = bounds{hold: 10 * time.Second, stopGrace: 900 * time.Millisecond, contact: 3 * time.Second, configApply: 2 * time.Second}
	kosaricaGrown = bounds{hold: 6 * time.Second, stopGrace: 400 * time.Millisecond, contact: 4 * time.Second, configApply: 3 * time.Second}
	insmNow       = bounds{hold: 6 * time.Second, stopGrace: 900 * time.Millisecond, contact: 4 * time.Second, configApply: 3 * time.Second, tenants: true}
)

// entry is a process of the project.
type entry struct {
	name, settings, callers, ready string
	log, peers                     *gate // to the store, and from other entries; nil without gates
	cmd                            *exec.Cmd
	output                         *os.File
}

func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

func newSite(dir, program string, log *record, c *testCase) (*site, error) {
	s := &site{bounds: c.bounds, gated: c.gated, links: map[string]map[string]*gate{}, dir: dir, program: program, log: log, store: newStore(), plant: &plant{steps: map[string]unit{}, gangs: map[string][]*run{}, log: log}, cpu: c.cpu, mem: c.mem}
	var err error
	if s.cloud, err = serve(http.HandlerFunc(s.serveCloud)); err != nil {
		return nil, err
	}
	go s.beat()
	return s, nil
}

// addMachine adds a machine with a worker.
func (s *site) addMachine(pool, rack string) (*machine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &machine{name: fmt.Sprintf("m-%02d", len(s.machines)), pool: pool, rack: rack, done: map[int64]bool{}}
	s.machines = append(s.machines, m)
	return m, s.boot(m)
}

// boot starts the next worker of a machine; s.mu is held.
func (s *site) boot(m *machine) error {
	s.lives++
	w, err := newWorker(s.plant, fmt.Sprintf("i-%03d", s.lives), m.pool, m.rack, s.cpu, s.mem)
	if err != nil {
		return err
	}
	m.worker, m.state = w, "up"
	s.store.put(workerTopic, w.id, w.entry())
	s.log.line("worker %s (%s, %s) is up on %s", w.id, w.service, w.rack, m.name)
	return nil
}

// lose ends the worker of a machine for good. Its entry goes after three beats.
func (s *site) lose(m *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := m.worker
	w.kill()
	m.worker, m.state = nil, "down"
	s.log.line("DISRUPTION: worker %s (%s, %s) on %s crashes and is lost for good", w.id, w.service, w.rack, m.name)
	time.AfterFunc(3*heartbeat, func() { s.store.put(workerTopic, w.id, nil) })
}

// beat rewrites the entries of the workers.
func (s *site) beat() {
	for range time.Tick(heartbeat) {
		s.mu.Lock()
		for _, m := range s.machines {
			if m.worker != nil {
				s.store.put(workerTopic, m.worker.id, m.worker.entry())
			}
		}
		s.mu.Unlock()
	}
}

// serveCloud serves the inventory of machines and the orders for them.
func (s *site) serveCloud(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/v1/machines" {
		rows := []map[string]any{}
		for _, m := range s.machines {
			id := ""
			if m.worker != nil {
				id = m.worker.id
			}
			rows = append(rows, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": s.cpu, "memMb": s.mem, "gpu": 0}, "id": id,
			})
		}
		writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"` // empty for an upkeep
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, m := range s.machines {
		if m.name == b.Machine {
			s.order(w, r, m, b.Pool, b.Wave)
			return
		}
	}
	w.WriteHeader(http.StatusBadRequest)
}

// order moves a machine to a pool or, without one, begins its upkeep; s.mu is held.
func (s *site) order(w http.ResponseWriter, r *http.Request, m *machine, pool string, wave int64) {
	const moveTime, upkeepTime = 1500 * time.Millisecond, 2 * time.Second
	what := "an upkeep"
	if pool != "" {
		what = "a move to " + pool
	}
	holder, fence := r.Header.Get("X-Lease-Holder"), int64(0)
	if _, err := fmt.Sscan(r.Header.Get("X-Fencing-Token"), &fence); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reason := ""
	switch {
	case fence < m.fence:
		reason = "fence"
	case pool == "" && wave > 0 && m.done[wave]:
		s.log.line("%s orders %s of %s with fence number %d: done before", holder, what, m.name, fence)
		writeJSON(w, http.StatusOK, struct{}{})
		return
	case m.state != "up":
		reason = "busy"
	}
	m.fence = max(m.fence, fence)
	if reason != "" {
		s.log.line("%s orders %s of %s with fence number %d: refused, %s", holder, what, m.name, fence, reason)
		writeJSON(w, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	if pool == "" {
		down := 0
		for _, x := range s.machines {
			if x.wave == wave {
				down++
			}
		}
		s.log.line("%s orders %s of %s with fence number %d: begins, while %d of the wave are down for theirs", holder, what, m.name, fence, down)
		m.wave, m.done[wave] = wave, true
	} else {
		s.log.line("%s orders %s of %s with fence number %d: begins", holder, what, m.name, fence)
	}
	m.worker.kill()
	s.store.put(workerTopic, m.worker.id, nil)
	away := moveTime
	m.worker, m.state = nil, "moving"
	if pool == "" {
		m.state, away = "upkeep", upkeepTime
	} else {
		m.pool = pool
	}
	time.AfterFunc(away, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		m.wave = 0
		if err := s.boot(m); err != nil {
			s.log.line("machine %s does not come back: %v", m.name, err)
		}
	})
	writeJSON(w, http.StatusOK, struct{}{})
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	timeoutMS             int
}

const host = "pule25.example"

// tenant is a customer of the configuration, with the processor time in thousandths of a core that it may have running.
type tenant struct {
	name, key string
	maxCPU    int
}

// configure writes a configuration, in which each of the services has workers that reject what does not fit.
func (s *site) configure(services []string, routes []route, tenants ...tenant) {
	s.version += 2
	rows, pools := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": "unsafe", "timeoutMs": r.timeoutMS, "targetRuntimeMs": 60000,
			"priority": 0, "service": r.service, "maxAttempts": 3, "stretch": 2.0,
		})
		s.log.line("configuration %d: %s goes to %s", s.version, r.prefix, r.service)
	}
	for _, name := range services {
		pools = append(pools, map[string]any{"name": name, "rejectsOverload": true})
	}
	config := map[string]any{"version": s.version, "routes": rows, "services": pools, "limits": map[string]any{"maxBodyBytes": 262144}}
	var list []map[string]any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "weight": 100, "maxCount": map[string]int{"cpu": t.maxCPU}})
		s.log.line("configuration %d: %s may have %d thousandths of a core running", s.version, t.name, t.maxCPU)
	}
	if len(list) > 0 {
		config["tenants"] = list
	}
	data, err := json.Marshal(config)
	if err != nil {
		s.log.line("configuration: %v", err)
		return
	}
	s.store.put(operatorTopic, "config", data)
}

// requestWave asks for the upkeep of machines.
func (s *site) requestWave(number int, list []*machine, within time.Duration, atOnce int) {
	var names []string
	for _, m := range list {
		names = append(names, m.name)
	}
	s.log.line("wave %d: upkeep of %v within %s, %d at once", number, names, within, atOnce)
	data, err := json.Marshal(map[string]any{"wave": number, "machines": names, "withinS": within.Seconds(), "maxCount": atOnce})
	if err != nil {
		s.log.line("wave: %v", err)
		return
	}
	s.store.put(operatorTopic, fmt.Sprintf("wave/%d", number), data)
}

// startEntries starts entries and waits until all are ready.
func (s *site) startEntries(n int) error {
	for i := range n {
		if err := s.addEntry(fmt.Sprintf("edge-z1-%d", i+1)); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := awaitReady(e, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// addEntry starts an entry. It chooses other ports if another process has taken one of them meanwhile.
func (s *site) addEntry(name string) error {
	const tries, listens = 5, 2 * time.Second
	for range tries {
		e, err := s.newEntry(name)
		if err != nil {
			return err
		}
		if err := s.start(e); err != nil {
			return err
		}
		for end := time.Now().Add(listens); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if c, err := net.Dial("tcp", e.ready); err == nil {
				c.Close()
				s.entries = append(s.entries, e)
				return nil
			}
		}
		s.log.line("%s does not listen", name)
		_ = e.cmd.Process.Kill() // it may have ended
		_ = e.cmd.Wait()
	}
	return fmt.Errorf("%s does not start", name)
}

// linkTo returns the entry of a worker with the address of the gate through which an entry of the project reaches it.
func (s *site) linkTo(caller, id string, data []byte) []byte {
	var fields map[string]any
	if json.Unmarshal(data, &fields) != nil {
		return data
	}
	address, _ := fields["address"].(string)
	s.linkMu.Lock()
	defer s.linkMu.Unlock()
	if s.links[caller] == nil {
		s.links[caller] = map[string]*gate{}
	}
	g := s.links[caller][id]
	if g == nil {
		var err error
		if g, err = newGate(address); err != nil {
			return data
		}
		s.links[caller][id] = g
	}
	fields["address"] = g.address
	shown, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return shown
}

// link returns the gate of an entry to a worker, nil if there is none.
func (s *site) link(caller, id string) *gate {
	s.linkMu.Lock()
	defer s.linkMu.Unlock()
	return s.links[caller][id]
}

// newEntry writes the settings of an entry, with the fields of deploy/settings.jsonc.
func (s *site) newEntry(name string) (*entry, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	e := &entry{name: name, settings: filepath.Join(s.dir, name+".jsonc"), callers: loopback(ports[2]), ready: loopback(ports[3])}
	f := &front{store: s.store, caller: name}
	if s.gated {
		f.address = s.linkTo
	}
	logAddress, err := serve(f)
	if err != nil {
		return nil, err
	}
	announced := loopback(ports[0])
	if s.gated {
		if e.log, err = newGate(logAddress); err != nil {
			return nil, err
		}
		if e.peers, err = newGate(announced); err != nil {
			return nil, err
		}
		logAddress, announced = e.log.address, e.peers.address
	}
	limits := map[string]any{
		"hold-ms": s.bounds.hold.Milliseconds(), "stop-grace-ms": s.bounds.stopGrace.Milliseconds(), "capacity-notice-ms": s.bounds.contact.Milliseconds(), "shutdown-grace-s": 6,
		"keep-final-s": 120, "move-s": 1.5, "turn-ms": 3000,
	}
	if s.bounds.tenants {
		limits["revoke-ms"], limits["quota-overage"] = 5000, 0.1
	}
	data, err := json.Marshal(map[string]any{
		"entry": name, "data-centre": "z1", "ip": "127.0.0.1", "announce": announced, "ports": ports[:2], "callers": e.callers, "ready": e.ready,
		"log":   map[string]any{"address": logAddress, "partitions": partitions, "record-bytes": 262144, "call-bytes": 2097152, "min-ttl-ms": 1000},
		"fleet": map[string]any{"address": s.cloud, "orders-per-s": 64.0}, "advice": map[string]any{"address": ""}, "cores": 0.4, "bounds": limits,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	e.output, err = os.Create(filepath.Join(s.dir, name+".log"))
	return e, err
}

// start starts the process of an entry as the deploy file does.
func (s *site) start(e *entry) error {
	e.cmd = exec.Command(s.program, "schedule")
	e.cmd.Env = append(os.Environ(), "GREENGAGELANE_CONFIG="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = e.output, e.output
	s.log.line("%s starts", e.name)
	return e.cmd.Start()
}

// stopEntries ends all processes.
func (s *site) stopEntries() {
	for _, e := range s.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
			_ = e.cmd.Wait()
		}
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freePorts returns ports in a row that are free now. They lie below those that the system gives to connections.
func freePorts(n int) ([]int, error) {
	const first, last, tries = 20000, 30000, 200
	for range tries {
		begin := first + rand.IntN(last-first)
		var ports []int
		for p := begin; p < begin+n; p++ {
			ln, err := net.Listen("tcp", loopback(p))
			if err != nil {
				break
			}
			defer ln.Close()
			ports = append(ports, p)
		}
		if len(ports) == n {
			return ports, nil
		}
	}
	return nil, errors.New("no free ports")
}

func awaitReady(e *entry, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + "/v1/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}
