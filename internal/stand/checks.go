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
	moveMargin   = 100 * time.Millisecond // requests may still name a VM's former pool this long after a move
)

// Fault is a fault that the demo script injected into an entry. Times are in Unix
// microseconds. Attempts that start after Until need a response again; Until is 0 if the
// entry does not come back.
type Fault struct {
	Kind  string // kill, freeze or stop
	Entry string // caller address
	At    int64
	Until int64
}

// Evidence contains the records that the checks use: those of callers and backend servers,
// the records of the platform's log, and the injected faults.
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
	runs    map[string][]Run // by idempotency key
	history []logState       // in the order of the log
}

// logState is the fleet state of the log after one of its records.
type logState struct {
	at         int64                  // time of the record, Unix microseconds
	pools      map[string]string      // pool by VM
	phases     map[string]fleet.Phase // by VM
	serving    map[string]int         // number of serving VMs by pool
	minServing map[string]int         // availability budget by pool
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
		st := logState{
			at: rec.TimeMs * 1000, pools: map[string]string{}, phases: map[string]fleet.Phase{},
			serving: map[string]int{}, minServing: map[string]int{}, release: s.Release,
		}
		for name, vm := range s.VMs {
			st.pools[name], st.phases[name] = vm.Pool, vm.Phase
		}
		for name := range s.Pools {
			_, st.serving[name] = s.PoolCount(name)
			st.minServing[name] = s.MinServing(name)
		}
		out = append(out, st)
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
// the platform reboots only VMs that are in maintenance or failed in the log. Unplanned
// failures do not change a VM's phase in the log, so they do not count against a budget. The
// promise also forbids planned outages that exceed the budget together with failed VMs; this
// check does not cover that.
func (c *checker) p1() PromiseResult {
	res := PromiseResult{Promise: "P1"}
	smallestMargin := 1 << 30
	for _, st := range c.history {
		for pool, minServing := range st.minServing {
			smallestMargin = min(smallestMargin, st.serving[pool]-minServing)
			if st.serving[pool] < minServing {
				res.Violation = fmt.Sprintf("pool %s has %d VMs serving, its budget is %d", pool, st.serving[pool], minServing)
			}
		}
	}
	reboots := 0
	for _, o := range c.Report.Outages {
		if !o.Planned {
			continue
		}
		reboots++
		if st, ok := c.stateAt(o.Start); ok && st.phases[o.VM] != fleet.Maintenance && st.phases[o.VM] != fleet.Failed {
			res.Violation = fmt.Sprintf("%s was rebooted in phase %s", o.VM, st.phases[o.VM])
		}
	}
	res.Summary = fmt.Sprintf("%d reboots, smallest margin %d VMs", reboots, smallestMargin)
	return res
}

// p2 checks that each request that runs on a VM was sent for the pool that the VM was in when
// the request started, or moveMargin earlier. That a VM is in one pool at a time needs no check,
// since the log stores one pool per VM.
func (c *checker) p2() PromiseResult {
	res := PromiseResult{Promise: "P2"}
	moves, checked := c.moves(), 0
	for _, r := range c.Report.Runs {
		st, ok := c.stateAt(r.Start)
		before, _ := c.stateAt(r.Start - moveMargin.Microseconds())
		if !ok || r.Pool == "" {
			continue
		}
		checked++
		if st.pools[r.VM] != r.Pool && before.pools[r.VM] != r.Pool {
			res.Violation = fmt.Sprintf("request %s ran on %s for pool %s, the VM is in pool %s", r.Key, r.VM, r.Pool, st.pools[r.VM])
		}
	}
	res.Summary = fmt.Sprintf("%d moves, %d runs on the right VM", moves, checked)
	return res
}

// moves counts the changes of a VM's pool.
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
	res := PromiseResult{Promise: "P3"}
	complete, unanswered := 0, 0
	for _, req := range c.Sent {
		for _, a := range req.Attempts {
			switch {
			case a.Status == http.StatusOK && !a.Correct:
				res.Violation = fmt.Sprintf("request %s got a wrong or incomplete response from %s", req.Key, a.Entry)
			case a.Correct:
				complete++
			case a.Status == 0 && !c.excusedByFault(a):
				res.Violation = fmt.Sprintf("request %s got no response from %s: %s", req.Key, a.Entry, a.Error)
			case a.Status == 0:
				unanswered++
			}
		}
	}
	res.Summary = fmt.Sprintf("%d complete responses, %d attempts without a response from a killed or frozen entry", complete, unanswered)
	return res
}

// excusedByFault reports whether the entry was killed or frozen during the attempt. A planned
// stop is no excuse, since the entry completes its requests first.
func (c *checker) excusedByFault(a Attempt) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		return f.Kind != "stop" && f.Entry == a.Entry && a.End >= f.At && (f.Until == 0 || a.Start <= f.Until)
	})
}

// p4 checks that a request has no run if all its attempts were refused as not run, that the first
// of these refusals has a Retry-After header, and that an at-most-once request has no run that
// started before an entry stated that one of its attempts was refused as not run.
func (c *checker) p4() PromiseResult {
	res := PromiseResult{Promise: "P4"}
	n := 0
	for _, req := range c.Sent {
		refused := len(req.Attempts) > 0
		for _, a := range req.Attempts {
			refused = refused && a.Verdict == "not-run"
			if req.AtMostOnce && a.Verdict == "not-run" && c.ranBefore(req.Key, a.StatedAt) {
				res.Violation = fmt.Sprintf("request %s was refused as not run after an attempt had run", req.Key)
			}
		}
		if !refused {
			continue
		}
		n++
		if len(c.runs[req.Key]) > 0 {
			res.Violation = fmt.Sprintf("request %s was refused as not run, and ran on %s", req.Key, c.runs[req.Key][0].VM)
		}
		if !req.Attempts[0].HasRetryAfter {
			res.Violation = fmt.Sprintf("request %s was refused without Retry-After", req.Key)
		}
	}
	res.Summary = fmt.Sprintf("%d requests refused as not run", n)
	return res
}

// ranBefore reports whether a run of a request started before a time.
func (c *checker) ranBefore(key string, us int64) bool {
	return slices.ContainsFunc(c.runs[key], func(r Run) bool { return r.Start < us })
}

// p5 checks that an at-most-once request runs at most once.
func (c *checker) p5() PromiseResult {
	res := PromiseResult{Promise: "P5"}
	n, attempts, mayHaveRun := 0, 0, 0
	for _, req := range c.Sent {
		if !req.AtMostOnce {
			continue
		}
		n++
		attempts += len(req.Attempts)
		if len(c.runs[req.Key]) > 1 {
			res.Violation = fmt.Sprintf("request %s ran %d times", req.Key, len(c.runs[req.Key]))
		}
		for _, a := range req.Attempts {
			if a.Verdict == "may-have-run" {
				mayHaveRun++
			}
		}
	}
	res.Summary = fmt.Sprintf("%d requests in %d attempts, %d responses may-have-run", n, attempts, mayHaveRun)
	return res
}

// p6 checks that no request starts on a VM more than leavingLimit after the VM's state changed
// to leaving.
func (c *checker) p6() PromiseResult {
	res := PromiseResult{Promise: "P6"}
	var maxDelay time.Duration
	for _, d := range c.Report.Leaving {
		for _, r := range c.Report.Runs {
			if r.VM != d.VM || r.Start < d.At {
				continue
			}
			delay := time.Duration(r.Start-d.At) * time.Microsecond
			maxDelay = max(maxDelay, delay)
			if delay > leavingLimit {
				res.Violation = fmt.Sprintf("%s started request %s %s after its state changed to leaving", d.VM, r.Key, delay)
			}
		}
	}
	res.Summary = fmt.Sprintf("%d leaving VMs, last request started after %d ms", len(c.Report.Leaving), maxDelay.Milliseconds())
	return res
}

// p7 checks that a planned reboot cuts no request on its VM, and that a planned stop of an
// entry leaves no attempt without a response. Attempts that could not open a connection are
// not counted, since callers then try another entry.
func (c *checker) p7() PromiseResult {
	res := PromiseResult{Promise: "P7"}
	stops := 0
	for _, o := range c.Report.Outages {
		if o.Planned && o.RequestsCut > 0 {
			res.Violation = fmt.Sprintf("the reboot of %s cut %d requests", o.VM, o.RequestsCut)
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
					res.Violation = fmt.Sprintf("the stop of %s cut request %s: %s", f.Entry, req.Key, a.Error)
				}
			}
		}
	}
	res.Summary = fmt.Sprintf("%d planned stops of entries", stops)
	return res
}

// p8 checks that each entry serves a new release within rollOutLimit of its acceptance and
// never returns to the earlier one. A probe with status 404, for an unknown service, shows that
// the entry serves the earlier release. One with status 503 shows nothing, and one with any other
// status shows that the entry serves the new release.
func (c *checker) p8() PromiseResult {
	res := PromiseResult{Promise: "P8"}
	accepted := c.probeAcceptedAt()
	if accepted == 0 {
		res.Violation = "no release added the probe service"
		return res
	}
	servedSince := map[int]int64{} // time of the first probe that shows the release, by entry
	for _, p := range c.Probes {
		inForce := p.Status != http.StatusNotFound && p.Status != http.StatusServiceUnavailable
		if _, ok := servedSince[p.Entry]; !ok && inForce {
			servedSince[p.Entry] = p.Start
		} else if ok && p.Status == http.StatusNotFound && p.Start > servedSince[p.Entry] {
			res.Violation = fmt.Sprintf("entry %d went back to the earlier release", p.Entry+1)
		}
	}
	var slowest time.Duration
	for entry, at := range servedSince {
		took := time.Duration(at-accepted) * time.Microsecond
		slowest = max(slowest, took)
		if took > rollOutLimit && !c.hadFault(entry) {
			res.Violation = fmt.Sprintf("entry %d began to serve the release %s after its acceptance", entry+1, took)
		}
	}
	res.Summary = fmt.Sprintf("in force on %d entries, at the latest %d ms after the release was accepted", len(servedSince), slowest.Milliseconds())
	return res
}

// hadFault reports whether a fault was injected into an entry, which may then have been down
// when the release was accepted. entry counts from 0; the last two digits of an entry's caller
// port are its number from 1.
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

// ReadLog reads the oldest retained records of the platform's control stream, at most 10,000,
// which is the maximum of one call.
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

// WriteResults prints a line for each promise and returns the number of broken promises.
func WriteResults(w io.Writer, results []PromiseResult) int {
	broken := 0
	for _, res := range results {
		if res.Violation == "" {
			fmt.Fprintf(w, "%s held   %s\n", res.Promise, res.Summary)
			continue
		}
		broken++
		fmt.Fprintf(w, "%s broken %s (%s)\n", res.Promise, res.Violation, res.Summary)
	}
	return broken
}
