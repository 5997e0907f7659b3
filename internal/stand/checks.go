package stand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/internal/oas/plat"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	leavingLimit = 3 * time.Second // the promise says "after a few seconds"
	rollOutLimit = 4 * time.Second
	moveMargin   = 100 * time.Millisecond // a run may name the former pool this long after a move
)

// Fault is a fault that the demo script injected into an entry. Times are in Unix
// microseconds; Until is 0 if the entry did not come back.
type Fault struct {
	Kind  string // kill, freeze or stop
	Entry string // caller address
	At    int64
	Until int64
}

// Evidence contains the records that the checks use: those of callers, backend servers and
// the platform's log, and the injected faults.
type Evidence struct {
	Sent   []*Request
	Probes []Probe
	Report Report
	Log    []fleet.LogRecord
	Faults []Fault
	Probe  string // name of the probe service
}

// PromiseResult is the result of checking one of the promises P1 to P8.
type PromiseResult struct {
	Promise   string
	Violation string // one violation, empty if the promise held
	Summary   string
}

// Check checks all promises.
func Check(ev *Evidence) []PromiseResult {
	c := &checker{Evidence: ev, runs: map[string][]Run{}}
	for _, r := range ev.Report.Runs {
		c.runs[r.Key] = append(c.runs[r.Key], r)
	}
	c.history = foldHistory(ev.Log)
	return []PromiseResult{c.p1(), c.p2(), c.p3(), c.p4(), c.p5(), c.p6(), c.p7(), c.p8()}
}

type checker struct {
	*Evidence
	runs    map[string][]Run
	history []logState
}

// logState is the fleet state of the log after one of its records.
type logState struct {
	at         int64 // time of the record, Unix microseconds
	pools      map[string]string
	phases     map[string]fleet.Phase
	serving    map[string]int
	minServing map[string]int
	release    string
}

// foldHistory returns the states after each applied record, in the order of the log.
func foldHistory(log []fleet.LogRecord) []logState {
	s := fleet.NewState()
	var out []logState
	for _, rec := range log {
		if o := s.Fold(rec); !o.Applied {
			continue
		}
		m := logState{
			at: rec.TimeMs * 1000, pools: map[string]string{}, phases: map[string]fleet.Phase{},
			serving: map[string]int{}, minServing: map[string]int{}, release: s.Release,
		}
		for name, vm := range s.VMs {
			m.pools[name], m.phases[name] = vm.Pool, vm.Phase
		}
		for name := range s.Pools {
			_, m.serving[name] = s.PoolCount(name)
			m.minServing[name] = s.MinServing(name)
		}
		out = append(out, m)
	}
	return out
}

// stateAt returns the log's state at a time, or false if the log starts later.
func (c *checker) stateAt(us int64) (logState, bool) {
	i := sort.Search(len(c.history), func(i int) bool { return c.history[i].at > us })
	if i == 0 {
		return logState{}, false
	}
	return c.history[i-1], true
}

// p1 checks that each pool's availability budget holds in every state of the log, and that
// the platform reboots only VMs that the log has taken out of service. Unplanned failures
// are not counted against a budget, but no VM may be taken out in addition to them.
func (c *checker) p1() PromiseResult {
	v := PromiseResult{Promise: "P1"}
	tightest := 1 << 30
	for _, m := range c.history {
		for pool, minServing := range m.minServing {
			tightest = min(tightest, m.serving[pool]-minServing)
			if m.serving[pool] < minServing {
				v.Violation = fmt.Sprintf("pool %s has %d VMs serving, its budget is %d", pool, m.serving[pool], minServing)
			}
		}
	}
	reboots := 0
	for _, o := range c.Report.Outages {
		if !o.Planned {
			continue
		}
		reboots++
		if m, ok := c.stateAt(o.Start); ok && m.phases[o.VM] != fleet.Maintenance && m.phases[o.VM] != fleet.Failed {
			v.Violation = fmt.Sprintf("%s was rebooted in phase %s", o.VM, m.phases[o.VM])
		}
	}
	v.Summary = fmt.Sprintf("%d reboots, tightest margin %d VMs", reboots, tightest)
	return v
}

// p2 checks that the requests that reach a VM name its pool. In the log each VM has one
// pool by construction.
func (c *checker) p2() PromiseResult {
	v := PromiseResult{Promise: "P2"}
	moves, checked := c.moves(), 0
	for _, r := range c.Report.Runs {
		m, ok := c.stateAt(r.Start)
		before, _ := c.stateAt(r.Start - moveMargin.Microseconds())
		if !ok || r.Pool == "" {
			continue
		}
		checked++
		if m.pools[r.VM] != r.Pool && before.pools[r.VM] != r.Pool {
			v.Violation = fmt.Sprintf("request %s ran on %s for pool %s, the VM is in pool %s", r.Key, r.VM, r.Pool, m.pools[r.VM])
		}
	}
	v.Summary = fmt.Sprintf("%d moves, %d runs on the right VM", moves, checked)
	return v
}

// moves counts the VMs that changed pools.
func (c *checker) moves() int {
	n := 0
	for i := 1; i < len(c.history); i++ {
		for vm, pool := range c.history[i].pools {
			if before, ok := c.history[i-1].pools[vm]; ok && before != pool {
				n++
			}
		}
	}
	return n
}

// p3 checks that each response is complete and belongs to its request, and that every
// attempt gets a response unless its entry was killed or frozen.
func (c *checker) p3() PromiseResult {
	v := PromiseResult{Promise: "P3"}
	whole, unanswered := 0, 0
	for _, req := range c.Sent {
		for _, a := range req.Attempts {
			switch {
			case a.Status == http.StatusOK && !a.Correct:
				v.Violation = fmt.Sprintf("request %s got a wrong or short answer from %s", req.Key, a.Entry)
			case a.Correct:
				whole++
			case a.Status == 0 && !c.excusedByFault(a):
				v.Violation = fmt.Sprintf("request %s had no answer from %s: %s", req.Key, a.Entry, a.Error)
			case a.Status == 0:
				unanswered++
			}
		}
	}
	v.Summary = fmt.Sprintf("%d whole answers, %d copies without one for a killed or frozen entry", whole, unanswered)
	return v
}

// excusedByFault reports whether the entry was killed or frozen during the attempt.
func (c *checker) excusedByFault(a Attempt) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		return f.Kind != "stop" && f.Entry == a.Entry && a.End >= f.At && (f.Until == 0 || a.Start <= f.Until)
	})
}

// p4 checks that a request has no run if all its attempts were refused as not run, and that
// an at-most-once request has no run that started before one of its attempts was refused.
func (c *checker) p4() PromiseResult {
	v := PromiseResult{Promise: "P4"}
	n := 0
	for _, req := range c.Sent {
		refused := len(req.Attempts) > 0
		for _, a := range req.Attempts {
			refused = refused && a.Verdict == "not-run"
			if req.AtMostOnce && a.Verdict == "not-run" && c.ranBefore(req.Key, a.End) {
				v.Violation = fmt.Sprintf("request %s was refused as not run after an attempt had run", req.Key)
			}
		}
		if !refused {
			continue
		}
		n++
		if len(c.runs[req.Key]) > 0 {
			v.Violation = fmt.Sprintf("request %s was refused as not run, and ran on %s", req.Key, c.runs[req.Key][0].VM)
		}
		if !req.Attempts[0].HasRetryAfter {
			v.Violation = fmt.Sprintf("request %s was refused without Retry-After", req.Key)
		}
	}
	v.Summary = fmt.Sprintf("%d requests refused as not run", n)
	return v
}

func (c *checker) ranBefore(key string, us int64) bool {
	return slices.ContainsFunc(c.runs[key], func(r Run) bool { return r.Start < us })
}

// p5 checks that an at-most-once request runs at most once.
func (c *checker) p5() PromiseResult {
	v := PromiseResult{Promise: "P5"}
	n, attempts, mayHaveRun := 0, 0, 0
	for _, req := range c.Sent {
		if !req.AtMostOnce {
			continue
		}
		n++
		attempts += len(req.Attempts)
		if len(c.runs[req.Key]) > 1 {
			v.Violation = fmt.Sprintf("request %s ran %d times", req.Key, len(c.runs[req.Key]))
		}
		for _, a := range req.Attempts {
			if a.Verdict == "may-have-run" {
				mayHaveRun++
			}
		}
	}
	v.Summary = fmt.Sprintf("%d requests in %d copies, %d answers may-have-run", n, attempts, mayHaveRun)
	return v
}

// p6 checks that no request starts on a VM later than leavingLimit after it began to leave.
func (c *checker) p6() PromiseResult {
	v := PromiseResult{Promise: "P6"}
	var last time.Duration
	for _, d := range c.Report.Leaving {
		for _, r := range c.Report.Runs {
			if r.VM != d.VM || r.Start < d.At {
				continue
			}
			late := time.Duration(r.Start-d.At) * time.Microsecond
			last = max(last, late)
			if late > leavingLimit {
				v.Violation = fmt.Sprintf("%s got request %s %s after it began to leave", d.VM, r.Key, late)
			}
		}
	}
	v.Summary = fmt.Sprintf("%d VMs left, last new work after %d ms", len(c.Report.Leaving), last.Milliseconds())
	return v
}

// p7 checks that a planned reboot cuts no request on its VM, and that a planned stop of an
// entry leaves no attempt without a response.
func (c *checker) p7() PromiseResult {
	v := PromiseResult{Promise: "P7"}
	stops := 0
	for _, o := range c.Report.Outages {
		if o.Planned && o.RequestsCut > 0 {
			v.Violation = fmt.Sprintf("the reboot of %s cut %d requests", o.VM, o.RequestsCut)
		}
	}
	for _, f := range c.Faults {
		if f.Kind != "stop" {
			continue
		}
		stops++
		for _, req := range c.Sent {
			for _, a := range req.Attempts {
				if a.Entry == f.Entry && a.Status == 0 && a.Error != "dial" && !c.excusedByFault(a) {
					v.Violation = fmt.Sprintf("the stop of %s cut request %s: %s", f.Entry, req.Key, a.Error)
				}
			}
		}
	}
	v.Summary = fmt.Sprintf("%d planned stops of entries", stops)
	return v
}

// p8 checks that each entry serves a new release within rollOutLimit of its acceptance and
// never returns to the earlier one.
func (c *checker) p8() PromiseResult {
	v := PromiseResult{Promise: "P8"}
	accepted := c.probeAcceptedAt()
	if accepted == 0 {
		v.Violation = "no release added the probe service"
		return v
	}
	first := map[int]int64{}
	for _, p := range c.Probes {
		known := p.Status != http.StatusNotFound && p.Status != http.StatusServiceUnavailable
		if _, ok := first[p.Entry]; !ok && known {
			first[p.Entry] = p.Start
		} else if ok && p.Status == http.StatusNotFound && p.Start > first[p.Entry] {
			v.Violation = fmt.Sprintf("entry %d went back to the earlier release", p.Entry+1)
		}
	}
	var last time.Duration
	for entry, at := range first {
		took := time.Duration(at-accepted) * time.Microsecond
		last = max(last, took)
		if took > rollOutLimit && !c.hadFault(entry) {
			v.Violation = fmt.Sprintf("entry %d served the release only %s after its acceptance", entry+1, took)
		}
	}
	v.Summary = fmt.Sprintf("in force on %d entries, the last after %d ms", len(first), last.Milliseconds())
	return v
}

// hadFault reports whether a fault was injected into an entry, which may then have been down
// when the release was accepted.
func (c *checker) hadFault(entry int) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool { return strings.HasSuffix(f.Entry, fmt.Sprintf("%02d", entry+1)) })
}

// probeAcceptedAt returns the time of the record that adds the probe service in Unix
// microseconds, 0 if there is none.
func (c *checker) probeAcceptedAt() int64 {
	s := fleet.NewState()
	for _, rec := range c.Log {
		if o := s.Fold(rec); o.Applied {
			if _, ok := s.Services[c.Probe]; ok {
				return rec.TimeMs * 1000
			}
		}
	}
	return 0
}

// ReadLog reads the platform's control stream.
func ReadLog(ctx context.Context, url string) ([]fleet.LogRecord, error) {
	client, err := plat.NewClient(url)
	if err != nil {
		return nil, err
	}
	res, err := client.ReadRecords(ctx, plat.ReadRecordsParams{Stream: "control", Max: plat.NewOptInt(10000)})
	if err != nil {
		return nil, err
	}
	var out []fleet.LogRecord
	for _, r := range res.Records {
		out = append(out, fleet.LogRecord{Offset: r.Offset, TimeMs: r.TimeMs, OperationID: r.OperationID, Data: r.Data})
	}
	return out, nil
}

// WriteResults prints a line for each promise and returns the number of broken ones.
func WriteResults(w io.Writer, results []PromiseResult) int {
	broken := 0
	for _, v := range results {
		if v.Violation == "" {
			fmt.Fprintf(w, "%s held   %s\n", v.Promise, v.Summary)
			continue
		}
		broken++
		fmt.Fprintf(w, "%s broken %s (%s)\n", v.Promise, v.Violation, v.Summary)
	}
	return broken
}
