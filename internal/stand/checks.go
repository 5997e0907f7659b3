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
	leavingLimit = 3 * time.Second // "after a few seconds"
	rolloutLimit = 4 * time.Second
	moveMargin   = 100 * time.Millisecond
)

// Fault is what the script did to an entry. Times are Unix microseconds; Until
// is 0 if the entry did not come back.
type Fault struct {
	Kind  string // kill, freeze or stop
	Entry string // caller address
	At    int64
	Until int64
}

// Evidence is all that the checks look at: what callers, backend servers and the
// platform recorded.
type Evidence struct {
	Sent   []*Sent
	Probes []Probe
	Report Report
	Log    []fleet.LogRecord
	Faults []Fault
	Probe  string
}

// Verdict is the result of checking one promise.
type Verdict struct {
	Promise string
	Broken  string // the first case, empty if the promise held
	Figures string
}

// Check judges every promise.
func Check(ev *Evidence) []Verdict {
	x := &checker{Evidence: ev, runs: map[string][]Run{}}
	for _, r := range ev.Report.Runs {
		x.runs[r.Key] = append(x.runs[r.Key], r)
	}
	x.history = foldHistory(ev.Log)
	return []Verdict{x.p1(), x.p2(), x.p3(), x.p4(), x.p5(), x.p6(), x.p7(), x.p8()}
}

type checker struct {
	*Evidence
	runs    map[string][]Run
	history []moment
}

// moment is what the log says from a time on.
type moment struct {
	at       int64 // Unix microseconds
	pools    map[string]string
	phases   map[string]fleet.Phase
	serving  map[string]int
	need     map[string]int
	releases string
}

func foldHistory(log []fleet.LogRecord) []moment {
	s := fleet.NewState()
	var out []moment
	for _, rec := range log {
		if o := s.Fold(rec); !o.Applied {
			continue
		}
		m := moment{
			at: rec.TimeMs * 1000, pools: map[string]string{}, phases: map[string]fleet.Phase{},
			serving: map[string]int{}, need: map[string]int{}, releases: s.Release,
		}
		for name, vm := range s.VMs {
			m.pools[name], m.phases[name] = vm.Pool, vm.Phase
		}
		for name := range s.Pools {
			_, m.serving[name] = s.PoolCount(name)
			m.need[name] = s.MinServing(name)
		}
		out = append(out, m)
	}
	return out
}

// at returns the moment in force at a time.
func (x *checker) at(us int64) (moment, bool) {
	i := sort.Search(len(x.history), func(i int) bool { return x.history[i].at > us })
	if i == 0 {
		return moment{}, false
	}
	return x.history[i-1], true
}

// p1: budgets hold in the log at every moment, and the platform reboots only VMs
// that the log has taken out of service. Unplanned failures are not counted
// against a budget, but nothing may be taken out on top of them.
func (x *checker) p1() Verdict {
	v := Verdict{Promise: "P1"}
	tightest := 1 << 30
	for _, m := range x.history {
		for pool, need := range m.need {
			tightest = min(tightest, m.serving[pool]-need)
			if m.serving[pool] < need {
				v.Broken = fmt.Sprintf("pool %s has %d VMs serving, its budget is %d", pool, m.serving[pool], need)
			}
		}
	}
	reboots := 0
	for _, o := range x.Report.Outages {
		if !o.Planned {
			continue
		}
		reboots++
		if m, ok := x.at(o.Start); ok && m.phases[o.VM] != fleet.Maintenance && m.phases[o.VM] != fleet.Failed {
			v.Broken = fmt.Sprintf("%s was rebooted in phase %s", o.VM, m.phases[o.VM])
		}
	}
	v.Figures = fmt.Sprintf("%d reboots, tightest margin %d VMs", reboots, tightest)
	return v
}

// p2: each VM has one pool in the log by construction; the work that reaches it
// has to name that pool.
func (x *checker) p2() Verdict {
	v := Verdict{Promise: "P2"}
	moves, checked := x.moves(), 0
	for _, r := range x.Report.Runs {
		m, ok := x.at(r.Start)
		before, _ := x.at(r.Start - moveMargin.Microseconds())
		if !ok || r.Pool == "" {
			continue
		}
		checked++
		if m.pools[r.VM] != r.Pool && before.pools[r.VM] != r.Pool {
			v.Broken = fmt.Sprintf("request %s ran on %s for pool %s, the VM is in pool %s", r.Key, r.VM, r.Pool, m.pools[r.VM])
		}
	}
	v.Figures = fmt.Sprintf("%d moves, %d runs on the right VM", moves, checked)
	return v
}

func (x *checker) moves() int {
	n := 0
	for i := 1; i < len(x.history); i++ {
		for vm, pool := range x.history[i].pools {
			if before, ok := x.history[i-1].pools[vm]; ok && before != pool {
				n++
			}
		}
	}
	return n
}

// p3: each answer is whole and the request's own, and every request ends with an
// answer unless its entry was killed or frozen.
func (x *checker) p3() Verdict {
	v := Verdict{Promise: "P3"}
	whole, unanswered := 0, 0
	for _, s := range x.Sent {
		for _, c := range s.Copies {
			switch {
			case c.Status == http.StatusOK && !c.Whole:
				v.Broken = fmt.Sprintf("request %s got a wrong or short answer from %s", s.Key, c.Entry)
			case c.Whole:
				whole++
			case c.Status == 0 && !x.excused(c):
				v.Broken = fmt.Sprintf("request %s had no answer from %s: %s", s.Key, c.Entry, c.Error)
			case c.Status == 0:
				unanswered++
			}
		}
	}
	v.Figures = fmt.Sprintf("%d whole answers, %d copies without one for a killed or frozen entry", whole, unanswered)
	return v
}

// excused reports whether the entry was killed or frozen while the copy was out.
func (x *checker) excused(c Copy) bool {
	return slices.ContainsFunc(x.Faults, func(f Fault) bool {
		return f.Kind != "stop" && f.Entry == c.Entry && c.End >= f.At && (f.Until == 0 || c.Start <= f.Until)
	})
}

// p4: a request all of whose copies were answered as not run has no run, and a
// request that may run once has none that began before any copy's refusal.
func (x *checker) p4() Verdict {
	v := Verdict{Promise: "P4"}
	n := 0
	for _, s := range x.Sent {
		refused := len(s.Copies) > 0
		for _, c := range s.Copies {
			refused = refused && c.Verdict == "not-run"
			if s.Once && c.Verdict == "not-run" && x.ranBefore(s.Key, c.End) {
				v.Broken = fmt.Sprintf("request %s was refused as not run after a copy had run", s.Key)
			}
		}
		if !refused {
			continue
		}
		n++
		if len(x.runs[s.Key]) > 0 {
			v.Broken = fmt.Sprintf("request %s was refused as not run, and ran on %s", s.Key, x.runs[s.Key][0].VM)
		}
		if !s.Copies[0].After {
			v.Broken = fmt.Sprintf("request %s was refused without Retry-After", s.Key)
		}
	}
	v.Figures = fmt.Sprintf("%d requests refused as not run", n)
	return v
}

func (x *checker) ranBefore(key string, us int64) bool {
	return slices.ContainsFunc(x.runs[key], func(r Run) bool { return r.Start < us })
}

func (x *checker) p5() Verdict {
	v := Verdict{Promise: "P5"}
	n, copies, unsure := 0, 0, 0
	for _, s := range x.Sent {
		if !s.Once {
			continue
		}
		n++
		copies += len(s.Copies)
		if len(x.runs[s.Key]) > 1 {
			v.Broken = fmt.Sprintf("request %s ran %d times", s.Key, len(x.runs[s.Key]))
		}
		for _, c := range s.Copies {
			if c.Verdict == "may-have-run" {
				unsure++
			}
		}
	}
	v.Figures = fmt.Sprintf("%d requests in %d copies, %d answers may-have-run", n, copies, unsure)
	return v
}

// p6: no request starts on a VM a few seconds after it began to leave.
func (x *checker) p6() Verdict {
	v := Verdict{Promise: "P6"}
	var last time.Duration
	for _, d := range x.Report.Leaving {
		for _, r := range x.Report.Runs {
			if r.VM != d.VM || r.Start < d.At {
				continue
			}
			late := time.Duration(r.Start-d.At) * time.Microsecond
			last = max(last, late)
			if late > leavingLimit {
				v.Broken = fmt.Sprintf("%s got request %s %s after it began to leave", d.VM, r.Key, late)
			}
		}
	}
	v.Figures = fmt.Sprintf("%d VMs left, last new work after %d ms", len(x.Report.Leaving), last.Milliseconds())
	return v
}

// p7: a planned reboot finds no request on its VM, and a planned stop of an entry
// leaves no copy without an answer.
func (x *checker) p7() Verdict {
	v := Verdict{Promise: "P7"}
	stops := 0
	for _, o := range x.Report.Outages {
		if o.Planned && o.Cut > 0 {
			v.Broken = fmt.Sprintf("the reboot of %s cut %d requests", o.VM, o.Cut)
		}
	}
	for _, f := range x.Faults {
		if f.Kind != "stop" {
			continue
		}
		stops++
		for _, s := range x.Sent {
			for _, c := range s.Copies {
				if c.Entry == f.Entry && c.Status == 0 && c.Error != "dial" && !x.excused(c) {
					v.Broken = fmt.Sprintf("the stop of %s cut request %s: %s", f.Entry, s.Key, c.Error)
				}
			}
		}
	}
	v.Figures = fmt.Sprintf("%d planned stops of entries", stops)
	return v
}

// p8: from its acceptance on, each entry serves the new release within the limit
// and never goes back.
func (x *checker) p8() Verdict {
	v := Verdict{Promise: "P8"}
	accepted := x.probeAccepted()
	if accepted == 0 {
		v.Broken = "no release added the probe service"
		return v
	}
	first := map[int]int64{}
	for _, p := range x.Probes {
		known := p.Status != http.StatusNotFound && p.Status != http.StatusServiceUnavailable
		if _, ok := first[p.Entry]; !ok && known {
			first[p.Entry] = p.Start
		} else if ok && p.Status == http.StatusNotFound && p.Start > first[p.Entry] {
			v.Broken = fmt.Sprintf("entry %d went back to the earlier release", p.Entry+1)
		}
	}
	var last time.Duration
	for entry, at := range first {
		took := time.Duration(at-accepted) * time.Microsecond
		last = max(last, took)
		if took > rolloutLimit && !x.troubled(entry) {
			v.Broken = fmt.Sprintf("entry %d served the release only %s after its acceptance", entry+1, took)
		}
	}
	v.Figures = fmt.Sprintf("in force on %d entries, the last after %d ms", len(first), last.Milliseconds())
	return v
}

// troubled reports whether an entry was out for a fault when the release came.
func (x *checker) troubled(entry int) bool {
	return slices.ContainsFunc(x.Faults, func(f Fault) bool { return strings.HasSuffix(f.Entry, fmt.Sprintf("%02d", entry+1)) })
}

func (x *checker) probeAccepted() int64 {
	s := fleet.NewState()
	for _, rec := range x.Log {
		if o := s.Fold(rec); o.Applied {
			if _, ok := s.Services[x.Probe]; ok {
				return rec.TimeMs * 1000
			}
		}
	}
	return 0
}

// ReadLog returns the platform's control stream.
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

// WriteVerdicts prints a line for each promise and returns how many are broken.
func WriteVerdicts(w io.Writer, verdicts []Verdict) int {
	broken := 0
	for _, v := range verdicts {
		if v.Broken == "" {
			fmt.Fprintf(w, "%s held   %s\n", v.Promise, v.Figures)
			continue
		}
		broken++
		fmt.Fprintf(w, "%s broken %s (%s)\n", v.Promise, v.Broken, v.Figures)
	}
	return broken
}
