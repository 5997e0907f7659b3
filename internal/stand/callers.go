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
	readyEvery   = 100 * time.Millisecond
	callerExtra  = 3 * time.Second // a caller waits this much longer than its deadline
	maxResends   = 2
	resendPause  = 50 * time.Millisecond
	postShare    = 0.4  // of requests that run at most once
	doubledShare = 0.02 // of those that are sent through two entries at once
	largeShare   = 0.02 // of answers larger than an entry holds
)

// Demand is one service's load.
type Demand struct {
	Service   string  `json:"service"`
	Mean      float64 `json:"mean"`       // requests a second
	WorkUs    int     `json:"work-us"`    // mean service time in microseconds
	TimeoutMs int     `json:"timeout-ms"` // deadline that callers give
}

// Plan is the load of a run: each service in turn at five times its mean, else
// at a twentieth.
type Plan struct {
	Entries   []string `json:"entries"`   // caller addresses
	Operators []string `json:"operators"` // operator addresses, in the same order
	Demands   []Demand `json:"demands"`
	Seconds   float64  `json:"seconds"`
	Seed      uint64   `json:"seed"`
	Only      int      `json:"only"`  // send through this many entries only; 0 means all
	Probe     string   `json:"probe"` // service that a release adds during the run
}

// Copy is one copy of a request that a caller sent. Times are Unix microseconds.
type Copy struct {
	Entry   string `json:"entry"`
	Start   int64  `json:"start"`
	End     int64  `json:"end"`
	Status  int    `json:"status"` // 0 if there was no answer
	Verdict string `json:"verdict"`
	Whole   bool   `json:"whole"` // status 200 and exactly the bytes of this request
	After   bool   `json:"after"` // carried Retry-After
	Error   string `json:"error,omitempty"`
}

// Sent is one request with all its copies.
type Sent struct {
	Key     string `json:"key"`
	Service string `json:"service"`
	Once    bool   `json:"once"` // may run at most once
	Burst   bool   `json:"burst"`
	Due     int64  `json:"due"` // when it should have been sent
	Copies  []Copy `json:"copies"`
}

// Callers sends the load and records what came back.
type Callers struct {
	plan   Plan
	client *http.Client
	mu     sync.Mutex
	sent   []*Sent
	ready  []int // indexes of entries that the balancer sends to
	turn   int
	probes []Probe
}

// NewCallers returns callers for a plan.
func NewCallers(plan Plan) *Callers {
	t := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
	return &Callers{plan: plan, client: &http.Client{Transport: t}}
}

// Run sends the whole load and waits for the answers.
func (c *Callers) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.balance(ctx)
	go c.probeAll(ctx)
	time.Sleep(3 * readyEvery)
	var wg sync.WaitGroup
	for i, d := range c.plan.Demands {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.generate(ctx, i, d, &wg)
		}()
	}
	wg.Wait()
}

// generate sends one service's requests at the times of a Poisson process.
func (c *Callers) generate(ctx context.Context, i int, d Demand, wg *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(c.plan.Seed, uint64(i)))
	begin := time.Now()
	turn := c.plan.Seconds / float64(len(c.plan.Demands))
	for n, at := 0, 0.0; ; n++ {
		burst := int(at/turn) == i
		rate := d.Mean / 20
		if burst {
			rate = d.Mean * 5
		}
		gap := rnd.ExpFloat64() / rate
		if !burst && at < turn*float64(i) && at+gap > turn*float64(i) {
			at = turn * float64(i) // the burst begins
			continue
		}
		if at += gap; at >= c.plan.Seconds {
			return
		}
		due := begin.Add(time.Duration(at * float64(time.Second)))
		wait(ctx, time.Until(due))
		s := &Sent{
			Key: fmt.Sprintf("%s-%d-%d", d.Service, c.plan.Seed, n), Service: d.Service,
			Once: rnd.Float64() < postShare, Burst: burst, Due: due.UnixMicro(),
		}
		work := int(float64(d.WorkUs) * (0.5 + rnd.Float64()))
		size := 200 + rnd.IntN(4000)
		if rnd.Float64() < largeShare {
			size = 200_000
		}
		doubled := s.Once && rnd.Float64() < doubledShare
		c.mu.Lock()
		c.sent = append(c.sent, s)
		c.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request(ctx, s, d, work, size, doubled)
		}()
	}
}

// request sends a request, and sends it again when it had no answer.
func (c *Callers) request(ctx context.Context, s *Sent, d Demand, work, size int, doubled bool) {
	if doubled {
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.record(s, c.send(ctx, s, d, work, size))
		}()
		defer wg.Wait()
	}
	for n := 0; ; n++ {
		cp := c.send(ctx, s, d, work, size)
		c.record(s, cp)
		if cp.Status != 0 || n >= maxResends {
			return
		}
		wait(ctx, resendPause)
	}
}

func (c *Callers) record(s *Sent, cp Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Copies = append(s.Copies, cp)
}

// send sends one copy through the next entry; as a balancer does, it takes
// another entry when a connection cannot be opened.
func (c *Callers) send(ctx context.Context, s *Sent, d Demand, work, size int) Copy {
	var cp Copy
	for range len(c.plan.Entries) {
		cp = c.sendTo(ctx, c.next(), s, d, work, size)
		if cp.Error != "dial" {
			break
		}
	}
	return cp
}

func (c *Callers) sendTo(ctx context.Context, entry string, s *Sent, d Demand, work, size int) Copy {
	cp := Copy{Entry: entry, Start: time.Now().UnixMicro()}
	defer func() { cp.End = time.Now().UnixMicro() }()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.TimeoutMs)*time.Millisecond+callerExtra)
	defer cancel()
	method, body := http.MethodGet, io.Reader(bytes.NewReader(nil))
	if s.Once {
		method, body = http.MethodPost, bytes.NewReader(Content("body"+s.Key, 300))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+"/work", body)
	if err != nil {
		cp.Error = err.Error()
		return cp
	}
	// A body that cannot be had again keeps the client from sending the request a
	// second time by itself, which would be a copy that nobody records.
	req.Body, req.GetBody = io.NopCloser(body), nil
	req.Header.Set(result.ServiceHeader, d.Service)
	req.Header.Set(result.IdempotencyKeyHeader, s.Key)
	req.Header.Set(result.TimeoutHeader, strconv.Itoa(d.TimeoutMs))
	req.Header.Set(workHeader, strconv.Itoa(work))
	req.Header.Set(sizeHeader, strconv.Itoa(size))
	c.read(req, s, size, &cp)
	cp.End = time.Now().UnixMicro()
	return cp
}

func (c *Callers) read(req *http.Request, s *Sent, size int, cp *Copy) {
	res, err := c.client.Do(req)
	if err != nil {
		cp.Error = err.Error()
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			cp.Error = "dial"
		}
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		cp.Error = "cut: " + err.Error()
		return
	}
	cp.Status = res.StatusCode
	cp.Verdict = res.Header.Get(result.VerdictHeader)
	cp.After = res.Header.Get("Retry-After") != ""
	cp.Whole = res.StatusCode == http.StatusOK && bytes.Equal(data, Content(s.Key, size))
}

func (c *Callers) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return c.plan.Entries[0]
	}
	n := len(c.ready)
	if c.plan.Only > 0 {
		n = min(n, c.plan.Only)
	}
	c.turn++
	return c.plan.Entries[c.ready[c.turn%n]]
}

// balance keeps the list of ready entries, as the platform's balancer does.
func (c *Callers) balance(ctx context.Context) {
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
		wait(ctx, readyEvery)
	}
}

// Probe is one look at whether an entry serves the probe service. Times are
// Unix microseconds.
type Probe struct {
	Entry  int   `json:"entry"`
	Start  int64 `json:"start"`
	Status int   `json:"status"`
}

const probeEvery = 25 * time.Millisecond

// probeAll asks every entry for the probe service all the time.
func (c *Callers) probeAll(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range c.plan.Entries {
		go func() {
			for ctx.Err() == nil {
				c.probe(ctx, client, i)
				wait(ctx, probeEvery)
			}
		}()
	}
}

func (c *Callers) probe(ctx context.Context, client *http.Client, i int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.plan.Entries[i]+"/", nil)
	if err != nil {
		return
	}
	req.Header.Set(result.ServiceHeader, c.plan.Probe)
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
