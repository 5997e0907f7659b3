package stand

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/pkg/result"
)

const (
	readyInterval  = 100 * time.Millisecond
	callerMargin   = 3 * time.Second // time that a caller waits for a response beyond its time limit
	maxResends     = 2
	resendBackoff  = 50 * time.Millisecond
	postShare      = 0.4  // share of requests that use POST, which may run at most once
	duplicateShare = 0.02 // share of the POST requests that are sent through two entries at once
	largeShare     = 0.02 // share of responses that are larger than an entry buffers
)

// Demand is the offered load of one service.
type Demand struct {
	Service   string  `json:"service"`
	Mean      float64 `json:"mean"`       // requests per second
	WorkUs    int     `json:"work-us"`    // mean service time in microseconds
	TimeoutMs int     `json:"timeout-ms"` // time limit that callers send in the request's header
}

// Plan is the offered load of a run. The run is divided into equal intervals, one per
// service in the order of Demands. A service gets five times its mean rate in its own
// interval, its burst, and a twentieth of the mean rate otherwise.
type Plan struct {
	Entries      []string `json:"entries"`   // caller addresses
	Operators    []string `json:"operators"` // operator addresses, in the same order
	Demands      []Demand `json:"demands"`
	Seconds      float64  `json:"seconds"`
	Seed         uint64   `json:"seed"`
	EntryLimit   int      `json:"only"`  // maximum number of entries to send through; 0 means all
	ProbeService string   `json:"probe"` // service that a release adds during the run
}

// Attempt is one copy of a request as sent to an entry. Times are in Unix microseconds.
type Attempt struct {
	Entry         string `json:"entry"`
	Start         int64  `json:"start"`
	End           int64  `json:"end"`
	Status        int    `json:"status"` // 0 if there was no complete response
	Verdict       string `json:"verdict"`
	Correct       bool   `json:"whole"`           // status 200 and exactly the expected bytes
	HasRetryAfter bool   `json:"after"`           // the response had a Retry-After header
	StatedAt      int64  `json:"stated"`          // when the entry stated the verdict, or the response arrived if it does not say
	Error         string `json:"error,omitempty"` // "dial" if the connection could not be opened; begins with "cut: " if the response ended early
}

// Request is one request of the load with all its attempts.
type Request struct {
	Key        string    `json:"key"`
	Service    string    `json:"service"`
	AtMostOnce bool      `json:"once"` // may run at most once
	Burst      bool      `json:"burst"`
	DueAt      int64     `json:"due"` // planned time of sending, Unix microseconds
	Attempts   []Attempt `json:"copies"`
}

// Callers sends the load of a plan and records all attempts.
type Callers struct {
	plan      Plan
	client    *http.Client
	mu        sync.Mutex
	sent      []*Request
	ready     []int // indexes in plan.Entries of the entries whose readiness check succeeds
	sendCount int   // number of sends so far, for round-robin
	probes    []Probe
}

// NewCallers returns callers for a plan.
func NewCallers(plan Plan) *Callers {
	t := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
	return &Callers{plan: plan, client: &http.Client{Transport: t}}
}

// Run sends the whole load and waits until all requests have ended.
func (c *Callers) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.pollReadiness(ctx)
	go c.probeEntries(ctx)
	time.Sleep(3 * readyInterval) // for the first results of the readiness checks
	var wg sync.WaitGroup
	for i, d := range c.plan.Demands {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.sendLoad(ctx, i, d, &wg)
		}()
	}
	wg.Wait()
}

// sendLoad sends the requests of service i of the plan as a Poisson process, whose rate is
// higher in the service's burst.
func (c *Callers) sendLoad(ctx context.Context, i int, d Demand, wg *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(c.plan.Seed, uint64(i)))
	startTime := time.Now()
	burstSeconds := c.plan.Seconds / float64(len(c.plan.Demands))
	for n, atSeconds := 0, 0.0; ; n++ {
		burst := int(atSeconds/burstSeconds) == i
		rate := d.Mean / 20 // the factors are those that Plan describes
		if burst {
			rate = d.Mean * 5
		}
		gapSeconds := rnd.ExpFloat64() / rate
		if !burst && atSeconds < burstSeconds*float64(i) && atSeconds+gapSeconds > burstSeconds*float64(i) {
			atSeconds = burstSeconds * float64(i) // draw the next gap again at the start of the burst, with its rate
			continue
		}
		if atSeconds += gapSeconds; atSeconds >= c.plan.Seconds {
			return
		}
		due := startTime.Add(time.Duration(atSeconds * float64(time.Second)))
		sleep(ctx, time.Until(due))
		r := &Request{
			Key: fmt.Sprintf("%s-%d-%d", d.Service, c.plan.Seed, n), Service: d.Service,
			AtMostOnce: rnd.Float64() < postShare, Burst: burst, DueAt: due.UnixMicro(),
		}
		work := int(float64(d.WorkUs) * (0.5 + rnd.Float64()))
		size := 200 + rnd.IntN(4000)
		if rnd.Float64() < largeShare {
			size = 200_000
		}
		duplicate := r.AtMostOnce && rnd.Float64() < duplicateShare
		c.mu.Lock()
		c.sent = append(c.sent, r)
		c.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.sendWithRetries(ctx, r, d, work, size, duplicate)
		}()
	}
}

// sendWithRetries sends a request, and sends it again up to maxResends times while it gets no
// response. If duplicate is set, it sends one more attempt at the same time as the first.
func (c *Callers) sendWithRetries(ctx context.Context, r *Request, d Demand, work, size int, duplicate bool) {
	if duplicate {
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.recordAttempt(r, c.send(ctx, r, d, work, size))
		}()
		defer wg.Wait()
	}
	for n := 0; ; n++ {
		attempt := c.send(ctx, r, d, work, size)
		c.recordAttempt(r, attempt)
		if attempt.Status != 0 || n >= maxResends {
			return
		}
		sleep(ctx, resendBackoff)
	}
}

func (c *Callers) recordAttempt(r *Request, attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Attempts = append(r.Attempts, attempt)
}

// send sends one attempt through the next entry. Like the platform's load balancer it tries
// another entry if it cannot open a connection.
func (c *Callers) send(ctx context.Context, r *Request, d Demand, work, size int) Attempt {
	var attempt Attempt
	for range len(c.plan.Entries) {
		attempt = c.sendTo(ctx, c.nextEntry(), r, d, work, size)
		if attempt.Error != "dial" {
			break
		}
	}
	return attempt
}

// sendTo sends one attempt to an entry. work is the service time in microseconds, size the
// response size in bytes.
func (c *Callers) sendTo(ctx context.Context, entry string, r *Request, d Demand, work, size int) Attempt {
	attempt := Attempt{Entry: entry, Start: time.Now().UnixMicro()}
	defer func() { attempt.End = time.Now().UnixMicro() }()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.TimeoutMs)*time.Millisecond+callerMargin)
	defer cancel()
	method, body := http.MethodGet, io.Reader(bytes.NewReader(nil))
	if r.AtMostOnce {
		method, body = http.MethodPost, bytes.NewReader(Content("body"+r.Key, 300))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+"/work", body)
	if err != nil {
		attempt.Error = err.Error()
		return attempt
	}
	// Without GetBody the HTTP client cannot resend the request on its own, which would be
	// an attempt without a record.
	req.Body, req.GetBody = io.NopCloser(body), nil
	req.Header.Set(result.ServiceHeader, d.Service)
	req.Header.Set(result.IdempotencyKeyHeader, r.Key)
	req.Header.Set(result.TimeoutHeader, strconv.Itoa(d.TimeoutMs))
	req.Header.Set(workHeader, strconv.Itoa(work))
	req.Header.Set(sizeHeader, strconv.Itoa(size))
	c.readResponse(req, r, size, &attempt)
	attempt.End = time.Now().UnixMicro()
	return attempt
}

// readResponse sends req and records its response in attempt.
func (c *Callers) readResponse(req *http.Request, r *Request, size int, attempt *Attempt) {
	res, err := c.client.Do(req)
	if err != nil {
		attempt.Error = err.Error()
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			attempt.Error = "dial"
		}
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		attempt.Error = "cut: " + err.Error()
		return
	}
	attempt.Status = res.StatusCode
	attempt.Verdict = res.Header.Get(result.VerdictHeader)
	attempt.HasRetryAfter = res.Header.Get("Retry-After") != ""
	attempt.StatedAt = time.Now().UnixMicro()
	if us, err := strconv.ParseInt(res.Header.Get(result.VerdictTimeHeader), 10, 64); err == nil {
		attempt.StatedAt = us
	}
	attempt.Correct = res.StatusCode == http.StatusOK && bytes.Equal(data, Content(r.Key, size))
}

// nextEntry returns the address of the next ready entry, round-robin.
func (c *Callers) nextEntry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return c.plan.Entries[0]
	}
	n := len(c.ready)
	if c.plan.EntryLimit > 0 {
		n = min(n, c.plan.EntryLimit)
	}
	c.sendCount++
	return c.plan.Entries[c.ready[c.sendCount%n]]
}

// pollReadiness checks the readiness of all entries periodically and updates c.ready, as the
// platform's load balancer does.
func (c *Callers) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for ctx.Err() == nil {
		ok := make([]bool, len(c.plan.Operators))
		var wg sync.WaitGroup
		for i, address := range c.plan.Operators {
			wg.Add(1)
			go func() {
				defer wg.Done()
				res, err := client.Get("http://" + address + "/ready")
				if err == nil {
					ok[i] = res.StatusCode == http.StatusOK
					res.Body.Close()
				}
			}()
		}
		wg.Wait()
		c.mu.Lock()
		c.ready = c.ready[:0]
		for i := range ok {
			if ok[i] {
				c.ready = append(c.ready, i)
			}
		}
		c.mu.Unlock()
		sleep(ctx, readyInterval)
	}
}

// Probe is the result of one request for the probe service to an entry. The entry answers
// with 404 until it has applied the release that adds the service.
type Probe struct {
	Entry  int   `json:"entry"` // index in Plan.Entries
	Start  int64 `json:"start"` // Unix microseconds
	Status int   `json:"status"`
}

const probeInterval = 25 * time.Millisecond

// probeEntries sends requests for the probe service to each entry until ctx is done, to find
// when a release comes into force there.
func (c *Callers) probeEntries(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range c.plan.Entries {
		go func() {
			for ctx.Err() == nil {
				c.probe(ctx, client, i)
				sleep(ctx, probeInterval)
			}
		}()
	}
}

func (c *Callers) probe(ctx context.Context, client *http.Client, i int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.plan.Entries[i]+"/", nil)
	if err != nil {
		return
	}
	req.Header.Set(result.ServiceHeader, c.plan.ProbeService)
	req.Header.Set(result.IdempotencyKeyHeader, "probe")
	p := Probe{Entry: i, Start: time.Now().UnixMicro()}
	res, err := client.Do(req)
	if err != nil {
		return
	}
	res.Body.Close()
	p.Status = res.StatusCode
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes = append(c.probes, p)
}
