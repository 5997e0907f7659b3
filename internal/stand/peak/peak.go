// Package peak plays the peak of one large pool of short tasks against a single entry that runs as a process of its own,
// and reports the processor time that the entry takes for each run.
package peak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

const (
	queuePath     = "/q/"
	queueHost     = "h.example"
	pool          = "alpha"
	tasksPerStep  = 8
	specBytes     = 300
	taskMemMB     = 1000
	statePeriod   = 500 * time.Millisecond // between two requests of a caller for the state of its job
	callTimeout   = 3 * time.Second
	drainTimeout  = 10 * time.Second // for the last jobs to end
	startTimeout  = 20 * time.Second // for the entry to be ready and to own the pool
	maxIdleCaller = 256              // kept connections of callers
)

// Config configures a peak.
type Config struct {
	Program    string        // path of the program
	Dir        string        // for settings, log and profile
	Profile    string        // file for a profile of the entry's processor time; empty for none
	VMs        int           // of the pool
	TasksPerVM int           // that fit on a VM
	TaskTime   time.Duration // run time of a task
	Load       float64       // part of the pool's capacity that the jobs take
	Warmup     time.Duration // before the measured part
	Length     time.Duration // of the measured part
	Processors int           // that the entry may use at the same time; 0 for all
	Seed       uint64
}

// RunsPerSecond returns the number of runs that the load asks for in a second.
func (cfg *Config) RunsPerSecond() float64 {
	return cfg.Load * float64(cfg.VMs*cfg.TasksPerVM) / cfg.TaskTime.Seconds()
}

// Result is what the entry did in the measured part.
type Result struct {
	Runs      int // ended
	Jobs      int // accepted
	Refused   int // jobs
	Failed    int // submissions without an answer, or with an odd one
	Length    time.Duration
	Processor time.Duration   // processor time of the entry
	JobTimes  []time.Duration // from a job's submission until its caller was shown that it is completed, sorted
	Before    counters
	After     counters
}

// Run plays a peak.
func Run(cfg *Config) (*Result, error) {
	platform, err := emul.Start(emul.Options{
		Pools: map[string]int{pool: cfg.VMs}, MoveTime: time.Second,
		Lookup: func(string) emul.Task { return emul.Task{CPU: cfg.cpu(), MemMB: taskMemMB, Duration: cfg.TaskTime} },
	})
	if err != nil {
		return nil, err
	}
	defer platform.Close()
	if err := platform.Configure(1, pool, pool); err != nil {
		return nil, err
	}
	e, err := startEntry(cfg, platform)
	if err != nil {
		return nil, err
	}
	defer e.stop()
	return cfg.play(platform, e)
}

// cpu returns what a task reserves, in thousandths of a core.
func (cfg *Config) cpu() int { return emul.VMCPU / cfg.TasksPerVM }

func (cfg *Config) play(platform *emul.Platform, e *entry) (*Result, error) {
	l := newLoad(cfg, e.callers)
	if err := l.awaitPool(startTimeout); err != nil {
		return nil, fmt.Errorf("%w; the entry's log is in %s", err, cfg.Dir)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var active sync.WaitGroup
	active.Go(func() { l.submit(ctx) })
	time.Sleep(cfg.Warmup)
	r := &Result{}
	var err error
	if r.Before, err = e.read(); err != nil {
		return nil, err
	}
	began := time.Now()
	l.begin(began)
	time.Sleep(cfg.Length)
	r.Length = time.Since(began)
	if r.After, err = e.read(); err != nil {
		return nil, err
	}
	l.end()
	stop()
	active.Wait()
	r.Processor = r.After.processor - r.Before.processor
	r.Jobs, r.Refused, r.Failed, r.JobTimes = l.jobs, l.refused, l.failed, l.times
	for _, run := range platform.Ledger.Runs() {
		if run.End.After(began) && run.End.Before(began.Add(r.Length)) {
			r.Runs++
		}
	}
	return r, nil
}

// load submits jobs and follows them as callers do. mu guards the fields below it.
type load struct {
	cfg    *Config
	base   string // URL of the entry
	client *http.Client
	spec   string

	mu                    sync.Mutex
	measuring             bool
	began                 time.Time
	jobs, refused, failed int
	times                 []time.Duration
}

func newLoad(cfg *Config, callers string) *load {
	return &load{
		cfg: cfg, base: "http://" + callers, spec: strings.Repeat("s", specBytes),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleCaller}},
	}
}

func (l *load) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.measuring, l.began = true, now
}

func (l *load) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.measuring = false
	slices.Sort(l.times)
}

// awaitPool waits until a job of the pool has ended.
func (l *load) awaitPool(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(statePeriod) {
		const first = "00000000000000ff"
		if status, _ := l.call(http.MethodPost, first, l.body(1)); status == http.StatusOK {
			if l.follow(first) {
				return nil
			}
		}
	}
	return fmt.Errorf("no job was completed within %s", timeout)
}

// submit submits jobs of one and two steps in turn, evenly over time, until the context ends, and waits for the callers.
func (l *load) submit(ctx context.Context) {
	const meanSteps = 1.5
	period := time.Duration(float64(time.Second) * tasksPerStep * meanSteps / l.cfg.RunsPerSecond())
	r := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	var active sync.WaitGroup
	defer active.Wait()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", r.Uint64())
		active.Go(func() { l.caller(id, 1+n%2) })
		<-ticker.C
	}
}

// caller submits a job and asks for its state until it is completed.
func (l *load) caller(id string, steps int) {
	sentAt := time.Now()
	status, err := l.call(http.MethodPost, id, l.body(steps))
	l.count(status, err)
	if err != nil || status != http.StatusOK {
		return
	}
	if l.follow(id) {
		l.record(sentAt, time.Since(sentAt))
	}
}

func (l *load) count(status int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.measuring:
	case err == nil && status == http.StatusOK:
		l.jobs++
	case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
		l.refused++
	default:
		l.failed++
	}
}

func (l *load) record(sentAt time.Time, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.measuring && !sentAt.Before(l.began) {
		l.times = append(l.times, took)
	}
}

// follow asks for a job's state until it is completed, for drainTimeout at most, and reports whether it is.
func (l *load) follow(id string) bool {
	for until := time.Now().Add(drainTimeout); time.Now().Before(until); time.Sleep(statePeriod) {
		var reply struct {
			State string `json:"state"`
		}
		status, err := l.callInto(&reply, http.MethodGet, id, nil)
		if err == nil && status == http.StatusOK && reply.State == "completed" {
			return true
		}
	}
	return false
}

// body returns a job of one step after the other.
func (l *load) body(steps int) []byte {
	type step struct {
		Count      int   `json:"count"`
		CPU        int   `json:"cpu"`
		MemMB      int   `json:"memMb"`
		EstimateMS int64 `json:"estimateMs"`
		After      []int `json:"after,omitempty"`
	}
	var list []step
	for i := range steps {
		st := step{Count: tasksPerStep, CPU: l.cfg.cpu(), MemMB: taskMemMB, EstimateMS: l.cfg.TaskTime.Milliseconds()}
		if i > 0 {
			st.After = []int{i - 1}
		}
		list = append(list, st)
	}
	data, _ := json.Marshal(map[string]any{"spec": l.spec, "steps": list}) // strings and numbers only
	return data
}

func (l *load) call(method, id string, body []byte) (int, error) {
	return l.callInto(nil, method, id, body)
}

// callInto sends a request and decodes the body of the response into v unless that is nil.
func (l *load) callInto(v any, method, id string, body []byte) (int, error) {
	req, err := http.NewRequest(method, l.base+queuePath+id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	res, err := l.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil || v == nil {
		return res.StatusCode, err
	}
	return res.StatusCode, json.Unmarshal(data, v)
}
