package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// step is a step of a job. The fields with tags are sent in the body of a submission.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu,omitempty"` // of each task, in thousandths of a core
	MemMB       int   `json:"memMb,omitempty"`
	EstimateMS  int64 `json:"estimateMs,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	Saves       bool  `json:"savesProgress,omitempty"`
	MayMiss     int   `json:"mayMiss,omitempty"`      // maximum number of tasks that the system may interrupt at the same time
	PerVM       int   `json:"antiAffinity,omitempty"` // maximum number of tasks of the step on one VM

	duration    time.Duration // run time of each task
	failingRuns int           // number of runs of each task that fail before one succeeds
	crashesVM   bool          // the first task crashes each VM that runs it; all tasks do if they are long-running
	crashAfter  time.Duration // from the start of such a run to the crash
}

// Job is a job that a caller has submitted, with the times of the replies to the caller. mu
// guards the times.
type Job struct {
	ID            string
	Account       string // client account of its caller
	Queue         string
	Spec          string
	Steps         []step
	Shape         string // name in shapes, or of the load that the job belongs to
	mayWait       bool   // the VMs have no room for all its tasks
	mu            sync.Mutex
	acceptedAt    time.Time // when the submission was acknowledged
	refusedAt     time.Time // when the caller gave up after refusals only, which say that the job has not run
	cancelSentAt  time.Time // when the first cancellation was sent
	cancelAckedAt time.Time // when a cancellation was first acknowledged
	completedAt   time.Time // when a reply first showed it as completed
}

// Shapes of which callers submit fewer jobs than of the others.
const (
	longRunningShape = "lasting"
	crashingShape    = "crashes-vms"
)

// shapes are the kinds of jobs that callers submit.
var shapes = []struct {
	name  string
	steps func(r *rand.Rand) []step
}{
	{"plain", func(r *rand.Rand) []step {
		return []step{{Count: 1 + r.IntN(4), CPU: 1000, EstimateMS: 200, duration: shortDuration(r)}, {Count: 2, CPU: 2000, EstimateMS: 200, After: []int{0}, duration: shortDuration(r)}}
	}},
	{"wide", func(r *rand.Rand) []step {
		return []step{{Count: 12, CPU: 2500, EstimateMS: 300, duration: shortDuration(r)}}
	}},
	{"fails-once", func(r *rand.Rand) []step {
		return []step{{Count: 2, CPU: 500, EstimateMS: 100, duration: shortDuration(r), failingRuns: 1}}
	}},
	// All runs of a hopeless job fail, also those beyond the limit of attempts.
	{"hopeless", func(r *rand.Rand) []step {
		return []step{{Count: 2, CPU: 500, EstimateMS: 100, duration: shortDuration(r), failingRuns: emul.MaxAttempts + 10}}
	}},
	{crashingShape, func(r *rand.Rand) []step {
		return []step{{Count: 1 + r.IntN(3), CPU: 1000, EstimateMS: 200, duration: shortDuration(r), crashesVM: true}}
	}},
	{longRunningShape, func(*rand.Rand) []step {
		return []step{{Count: 3, CPU: 1500, EstimateMS: 100, LongRunning: true, MayMiss: 1, PerVM: 1}}
	}},
}

func shortDuration(r *rand.Rand) time.Duration {
	return time.Duration(50+r.IntN(500)) * time.Millisecond
}

// hopeless reports whether tasks of the job fail in all their attempts.
func (j *Job) hopeless() bool { return j.Steps[0].failingRuns >= emul.MaxAttempts }

func (j *Job) longRunning() bool { return j.Steps[0].LongRunning }

// JobRegistry holds all submitted jobs of one seed, by ID.
type JobRegistry struct {
	mu   sync.Mutex
	jobs map[string]*Job
}

// Find returns a job, nil if no caller has submitted it.
func (reg *JobRegistry) Find(id string) *Job {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.jobs[id]
}

// All returns the jobs in no particular order.
func (reg *JobRegistry) All() []*Job {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	list := make([]*Job, 0, len(reg.jobs))
	for _, j := range reg.jobs {
		list = append(list, j)
	}
	return list
}

func (reg *JobRegistry) add(j *Job) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.jobs[j.ID] = j
}

// Lookup returns the properties of the task with the given ID that the VM emulator needs. For
// an unknown task it returns the zero value.
func (reg *JobRegistry) Lookup(task string) emul.Task {
	id, err := jobs.ParseTaskID(task)
	if err != nil {
		return emul.Task{}
	}
	j := reg.Find(id.Job)
	if j == nil || id.Step >= len(j.Steps) {
		return emul.Task{}
	}
	st := &j.Steps[id.Step]
	return emul.Task{Account: j.Account, CPU: st.CPU, MemMB: st.MemMB, Duration: st.duration, LongRunning: st.LongRunning, Saves: st.Saves, FailingRuns: st.failingRuns, CrashesVM: st.crashesVM && (id.Index == 0 || st.LongRunning), CrashAfter: st.crashAfter}
}

// caller submits, queries and cancels jobs over one persistent connection.
type caller struct {
	harness  *Harness
	account  string // its client account
	key      string // sent with each request
	r        *rand.Rand
	entry    *Entry // at the other end of the connection, nil if there is none
	client   *http.Client
	accepted []*Job // acknowledged jobs of this caller
	// mayGiveUp is set if the caller cancels some of the jobs whose submission got no verdict.
	mayGiveUp bool
}

func newCaller(harness *Harness, seed, number uint64) *caller {
	account := callerAccounts[number%uint64(len(callerAccounts))]
	return &caller{harness: harness, account: account, key: lastingKey(account), r: rand.New(rand.NewPCG(seed, number)), client: newClient()}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: requestDeadline + time.Second}
}

// send makes one request. All requests go to the same entry until the connection breaks
// or the entry closes it. The status is 0 if there was no complete response, and retryAfter is
// 0 if the response has no Retry-After header.
func (c *caller) send(method, path string, body []byte) (status int, reply []byte, retryAfter time.Duration) {
	if c.entry == nil {
		c.entry = c.harness.pickEntry(c.r)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.entry.Callers.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	sentAt := time.Now()
	req.Host = "h.example"
	req.Header.Set("Authorization", "Token "+c.key)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	res, err := c.client.Do(req)
	if err == nil {
		reply, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	if err != nil {
		c.checkLost(req, sentAt, err)
		c.client.CloseIdleConnections()
		c.client, c.entry = newClient(), nil
		return 0, nil, 0
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		retryAfter = time.Duration(s) * time.Second
	}
	if res.Close {
		c.entry = nil
	}
	refused := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable
	if refused && retryAfter <= 0 {
		c.harness.reportViolation("RETRY %s refused a request with status %d and no positive Retry-After", c.harness.entryName(c.entry), res.StatusCode)
	}
	return res.StatusCode, reply, retryAfter
}

// checkLost reports a request that an entry has cut off around its planned stop. A request within lossSlack may not
// have been read.
func (c *caller) checkLost(req *http.Request, sentAt time.Time, err error) {
	const lossSlack = 200 * time.Millisecond
	now := time.Now()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || now.Sub(sentAt) <= lossSlack || now.Sub(sentAt) >= requestDeadline {
		return
	}
	if c.harness.contact.stoppedAsPlanned(c.entry.Name, sentAt, now) {
		c.harness.reportViolation("LOST %s %s got no complete answer from %s, which was stopped as planned, %s after it was sent: %v", req.Method, req.URL.Path, c.entry.Name, now.Sub(sentAt).Round(time.Millisecond), err)
	}
}

// sendRequests submits jobs, queries their states and cancels some until ctx is done.
func (c *caller) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		switch x := c.r.IntN(10); {
		case x < 4 || len(c.accepted) == 0:
			c.submit(ctx)
		case x < 5:
			c.cancel(c.accepted[c.r.IntN(len(c.accepted))])
		case x < 6:
			c.repeatSubmission(c.accepted[c.r.IntN(len(c.accepted))], nil)
		default:
			c.queryState(c.accepted[c.r.IntN(len(c.accepted))])
		}
		sleep(ctx, time.Duration(c.r.IntN(250))*time.Millisecond)
	}
}

// crashingJobs is the number of jobs picked of crashingShape for each one that is submitted.
const crashingJobs = 10

// submit submits a job of a random shape.
func (c *caller) submit(ctx context.Context) {
	c.submitJob(ctx, c.randomJob())
}

func (c *caller) randomJob() *Job {
	shape := shapes[c.r.IntN(len(shapes))]
	if c.account == floodAccount {
		shape = shapes[0]
	}
	if shape.name == longRunningShape && c.hasLongRunning() {
		shape = shapes[0] // several long-running jobs of each caller would fill all VMs
	}
	if shape.name == crashingShape && (c.r.IntN(crashingJobs) > 0 || c.harness.cfg.Load.Outages > 0 || c.harness.cfg.Load.Cuts > 0) {
		shape = shapes[0] // else most VMs would be down, or VMs be lost apart from outages or cuts
	}
	return c.newJob(shape.name, shape.steps(c.r))
}

// newJob returns a job for a random queue.
func (c *caller) newJob(shape string, steps []step) *Job {
	return &Job{
		ID: fmt.Sprintf("%016x", c.r.Uint64()), Account: c.account, Queue: c.harness.queues[c.r.IntN(len(c.harness.queues))].Name,
		Shape: shape, Steps: steps, Spec: fmt.Sprintf("spec-%d", c.r.IntN(1000)),
	}
}

// submitJob submits a job until it is accepted, for several attempts at most.
func (c *caller) submitJob(ctx context.Context, j *Job) {
	body, err := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps})
	if err != nil {
		return
	}
	c.harness.registry.add(j)
	onlyRefusals := true
	const attempts = 6
	for range attempts {
		status, reply, retryAfter := c.send(http.MethodPost, "/"+j.Queue+"/"+j.ID, body)
		switch status {
		case http.StatusOK:
			j.mu.Lock()
			j.acceptedAt = time.Now()
			j.mu.Unlock()
			c.accepted = append(c.accepted, j)
			if c.r.IntN(10) == 0 {
				c.send(http.MethodPost, "/"+j.Queue+"/"+j.ID, body) // a duplicate, which must not start the tasks again
			}
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			onlyRefusals = false
			// After a complete answer no part of the submission is on its way to an entry any more.
			if status != 0 && c.mayGiveUp && c.r.IntN(2) == 0 {
				c.cancelUntilAcknowledged(ctx, j)
				return
			}
		case http.StatusNotFound:
			if !c.harness.isDropped(j.Queue, status) {
				c.harness.reportViolation("LOST submission of job %s to queue %s got status 404", j.ID, j.Queue)
				return
			}
		default:
			c.harness.reportViolation("REPLY submission of job %s got the unexpected reply %d %s", j.ID, status, reply)
			return
		}
		sleep(ctx, min(retryAfter, time.Second))
	}
	if onlyRefusals {
		j.mu.Lock()
		j.refusedAt = time.Now()
		j.mu.Unlock()
	}
}

// repeatSubmission sends the submission of an accepted job once more, over a new connection to an entry; nil for
// any.
func (c *caller) repeatSubmission(j *Job, e *Entry) {
	body, err := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps})
	if err != nil {
		return
	}
	c.client.CloseIdleConnections()
	c.client, c.entry = newClient(), e
	c.send(http.MethodPost, "/"+j.Queue+"/"+j.ID, body)
}

func (c *caller) hasLongRunning() bool {
	for _, j := range c.accepted {
		if j.longRunning() && j.cancelSentAt.IsZero() {
			return true
		}
	}
	return false
}

func (c *caller) cancel(j *Job) {
	j.mu.Lock()
	if j.cancelSentAt.IsZero() {
		j.cancelSentAt = time.Now()
	}
	j.mu.Unlock()
	status, _, _ := c.send(http.MethodDelete, "/"+j.Queue+"/"+j.ID, nil)
	// Status 410 acknowledges the cancellation too, as it says that nothing of the job will run.
	if status == http.StatusOK || status == http.StatusGone {
		j.mu.Lock()
		if j.cancelAckedAt.IsZero() {
			j.cancelAckedAt = time.Now()
		}
		j.mu.Unlock()
	}
}

// queryState queries the state of a job, checks it against the recorded runs, and returns it.
// The state is empty if the query failed.
func (c *caller) queryState(j *Job) string {
	queriedAt := time.Now()
	status, reply, _ := c.send(http.MethodGet, "/"+j.Queue+"/"+j.ID, nil)
	var s struct{ State string }
	switch {
	// An entry replies 410 for a job that it does not know.
	case status == http.StatusGone && queriedAt.Sub(j.acceptedAt) > visibilityLimit:
		c.harness.reportViolation("LOST accepted job %s is unknown to %s", j.ID, c.harness.entryName(c.entry))
	case status != http.StatusOK:
	case json.Unmarshal(reply, &s) != nil:
		c.harness.reportViolation("MIXED state of job %s cannot be decoded: %q", j.ID, reply)
	default:
		c.harness.checkState(time.Now(), j, s.State)
	}
	return s.State
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
