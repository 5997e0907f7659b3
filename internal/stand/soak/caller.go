package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// step is a step of a job as callers send it.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu,omitempty"`
	EstimateMS  int64 `json:"estimateMs,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	MayMiss     int   `json:"mayMiss,omitempty"`
	PerVM       int   `json:"antiAffinity,omitempty"`

	takes time.Duration
	fails int // so many runs of each task fail
}

// Job is a job with what its caller was told.
type Job struct {
	ID       string
	Queue    string
	Spec     string
	Steps    []step
	Shape    string
	mu       sync.Mutex
	accepted time.Time // first acknowledgement
	refused  time.Time // the caller gave up, and all answers said that it has not run
	cancel   time.Time // first sent
	ended    time.Time // cancelling was acknowledged
}

const lasting = "lasting"

// shapes are the kinds of jobs that callers hand in.
var shapes = []struct {
	name  string
	steps func(r *rand.Rand) []step
}{
	{"plain", func(r *rand.Rand) []step {
		return []step{{Count: 1 + r.IntN(4), CPU: 1000, EstimateMS: 200, takes: short(r)}, {Count: 2, CPU: 2000, EstimateMS: 200, After: []int{0}, takes: short(r)}}
	}},
	{"wide", func(r *rand.Rand) []step {
		return []step{{Count: 12, CPU: 2500, EstimateMS: 300, takes: short(r)}}
	}},
	{"fails-once", func(r *rand.Rand) []step {
		return []step{{Count: 2, CPU: 500, EstimateMS: 100, takes: short(r), fails: 1}}
	}},
	{"hopeless", func(r *rand.Rand) []step {
		return []step{{Count: 2, CPU: 500, EstimateMS: 100, takes: short(r), fails: emul.MaxAttempts + 10}}
	}},
	{lasting, func(*rand.Rand) []step {
		return []step{{Count: 3, CPU: 1500, EstimateMS: 100, LongRunning: true, MayMiss: 1, PerVM: 1}}
	}},
}

func short(r *rand.Rand) time.Duration { return time.Duration(50+r.IntN(500)) * time.Millisecond }

func (j *Job) lasts() bool { return j.Steps[0].LongRunning }

// Book holds all jobs of a run.
type Book struct {
	mu   sync.Mutex
	jobs map[string]*Job
}

// Find returns a job, nil if nobody handed it in.
func (b *Book) Find(id string) *Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[id]
}

// All returns the jobs.
func (b *Book) All() []*Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*Job, 0, len(b.jobs))
	for _, j := range b.jobs {
		list = append(list, j)
	}
	return list
}

func (b *Book) add(j *Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[j.ID] = j
}

// Lookup tells the VMs of the emulator what a task is.
func (b *Book) Lookup(task string) emul.Task {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return emul.Task{}
	}
	j := b.Find(id.Job)
	if j == nil || id.Step >= len(j.Steps) {
		return emul.Task{}
	}
	st := &j.Steps[id.Step]
	return emul.Task{CPU: st.CPU, Duration: st.takes, LongRunning: st.LongRunning, FailingRuns: st.fails}
}

// caller sends jobs and asks for them over one kept connection.
type caller struct {
	run    *Run
	r      *rand.Rand
	entry  *Entry // of the connection
	client *http.Client
	mine   []*Job
}

func newCaller(run *Run, seed, number uint64) *caller {
	return &caller{run: run, r: rand.New(rand.NewPCG(seed, number)), client: newClient()}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: deadline + time.Second}
}

// send makes one request. It stays with its entry until the connection breaks.
func (c *caller) send(method, path string, body []byte) (status int, answer []byte, retry time.Duration) {
	if c.entry == nil {
		c.entry = c.run.pick(c.r)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.entry.Callers.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	res, err := c.client.Do(req)
	if err == nil {
		answer, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	if err != nil {
		c.client.CloseIdleConnections()
		c.client, c.entry = newClient(), nil
		return 0, nil, 0
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		retry = time.Duration(s) * time.Second
	}
	if res.Close {
		c.entry = nil
	}
	rejected := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable
	if rejected && retry <= 0 {
		c.run.breach("%s answers %d without a time to come back", c.run.nameOf(c.entry), res.StatusCode)
	}
	return res.StatusCode, answer, retry
}

// work hands jobs in, asks for them and cancels some until the context ends.
func (c *caller) work(ctx context.Context) {
	for ctx.Err() == nil {
		switch x := c.r.IntN(10); {
		case x < 4 || len(c.mine) == 0:
			c.submit(ctx)
		case x < 5:
			c.cancel(c.mine[c.r.IntN(len(c.mine))])
		default:
			c.ask(c.mine[c.r.IntN(len(c.mine))])
		}
		pause(ctx, time.Duration(c.r.IntN(250))*time.Millisecond)
	}
}

func (c *caller) submit(ctx context.Context) {
	shape := shapes[c.r.IntN(len(shapes))]
	if shape.name == lasting && c.hasLasting() {
		shape = shapes[0] // else they fill all VMs
	}
	j := &Job{
		ID: fmt.Sprintf("%016x", c.r.Uint64()), Queue: c.run.queues[c.r.IntN(len(c.run.queues))].Name,
		Shape: shape.name, Steps: shape.steps(c.r), Spec: fmt.Sprintf("spec-%d", c.r.IntN(1000)),
	}
	body, err := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps})
	if err != nil {
		return
	}
	c.run.book.add(j)
	certain := true
	const attempts = 6
	for range attempts {
		status, answer, retry := c.send(http.MethodPost, "/"+j.Queue+"/"+j.ID, body)
		switch status {
		case http.StatusOK:
			j.mu.Lock()
			j.accepted = time.Now()
			j.mu.Unlock()
			c.mine = append(c.mine, j)
			if c.r.IntN(10) == 0 {
				c.send(http.MethodPost, "/"+j.Queue+"/"+j.ID, body) // a late copy
			}
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			certain = false
		default:
			c.run.breach("job %s is answered %d %s", j.ID, status, answer)
			return
		}
		pause(ctx, min(retry, time.Second))
	}
	if certain {
		j.mu.Lock()
		j.refused = time.Now()
		j.mu.Unlock()
	}
}

func (c *caller) hasLasting() bool {
	for _, j := range c.mine {
		if j.lasts() && j.cancel.IsZero() {
			return true
		}
	}
	return false
}

func (c *caller) cancel(j *Job) {
	j.mu.Lock()
	if j.cancel.IsZero() {
		j.cancel = time.Now()
	}
	j.mu.Unlock()
	status, _, _ := c.send(http.MethodDelete, "/"+j.Queue+"/"+j.ID, nil)
	if status == http.StatusOK {
		j.mu.Lock()
		if j.ended.IsZero() {
			j.ended = time.Now()
		}
		j.mu.Unlock()
	}
}

// ask asks for a job's state and holds it against what has run.
func (c *caller) ask(j *Job) string {
	asked := time.Now()
	status, answer, _ := c.send(http.MethodGet, "/"+j.Queue+"/"+j.ID, nil)
	var s struct{ State string }
	switch {
	case status == http.StatusGone && asked.Sub(j.accepted) > visible:
		c.run.breach("accepted job %s is not known at %s", j.ID, c.run.nameOf(c.entry))
	case status != http.StatusOK:
	case json.Unmarshal(answer, &s) != nil:
		c.run.breach("state of job %s cannot be read: %q", j.ID, answer)
	default:
		c.run.judgeState(j, s.State)
	}
	return s.State
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
