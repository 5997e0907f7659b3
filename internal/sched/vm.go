package sched

import (
	"sort"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// vm is one VM with what the shard knows of it.
type vm struct {
	site.VM
	listed   bool            // the platform's list names it
	looked   bool            // a look under this epoch has succeeded
	cordoned bool            // the fleet is about to move or maintain it
	failing  bool            // the last look failed
	noted    bool            // the job log names it as a VM that may hold runs
	runs     map[string]*run // by task name
	strays   map[string]int64
	clockMS  int64     // the VM's clock
	clockAt  time.Time // when clockMS was received
	heard    time.Time // last answer
	leased   time.Time // by now all leases granted so far have run out, on our clock
	seen     int64     // ends up to this number are taken into account
	saved    int64     // of these, the ones whose effect is stored
	rest     time.Time // no start before, after refusals
	failures int       // failed runs since the last one that was done
	failJob  string    // of the first of these failures
	failMany bool      // they are of more than one job
	sick     time.Time // quarantined until
	sickFor  time.Duration
	trial    bool // quarantine has ended, one run at a time until one is done or long at work
}

func newVM(v site.VM) *vm {
	return &vm{VM: v, runs: map[string]*run{}, strays: map[string]int64{}}
}

// rack returns the label that names the VM's rack. Labels hold its kind and its rack.
func (v *vm) rack() string {
	for _, l := range v.Labels {
		if strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// room is what is left of a VM's capacity.
type room struct{ cpu, mem, gpu int }

func (v *vm) free() room {
	r := room{cpu: v.CPU, mem: v.MemMB, gpu: v.GPU}
	for _, x := range v.runs {
		s := x.step()
		if !s.Fills {
			r.cpu -= s.CPU
		}
		r.mem -= s.MemMB
		r.gpu -= s.GPU
	}
	return r
}

// leaves reports whether the VM is to be moved or maintained and certainly holds nothing.
func (v *vm) leaves() bool {
	return v.cordoned && v.looked && !v.failing && len(v.runs) == 0 && len(v.strays) == 0
}

// usable reports whether the VM may get new runs.
func (v *vm) usable(now time.Time, p *Policy) bool {
	switch {
	case !v.listed || !v.looked || v.failing || !v.noted || v.Draining || v.cordoned || len(v.strays) > 0:
		return false
	case now.Sub(v.heard) > p.SilentAfter+time.Second:
		return false
	case now.Before(v.rest) || now.Before(v.sick):
		return false
	}
	return !v.trial || len(v.runs) == 0
}

// clock estimates the VM's clock; it never runs ahead of it by more than its error.
func (v *vm) clock(now time.Time) int64 {
	return v.clockMS + now.Sub(v.clockAt).Milliseconds()
}

// grant returns the end of a lease that begins now, on the VM's clock, and remembers
// by when it has run out.
func (v *vm) grant(now time.Time, p *Policy) int64 {
	const margin = 200 * time.Millisecond // of the VM's timers and the estimate of its clock
	until := now.Add(p.onOurClock(p.Lease) + margin)
	if until.After(v.leased) {
		v.leased = until
	}
	return v.clock(now) + p.Lease.Milliseconds()
}

// prove ends a VM's trial: it has run a task well.
func (v *vm) prove() {
	v.failures, v.failMany, v.failJob, v.trial, v.sickFor = 0, false, "", false, 0
}

// note counts the end of a run for its VM's quarantine.
func (s *Scheduler) note(now time.Time, v *vm, job string, how site.How) {
	switch how {
	case site.Done:
		v.prove()
	case site.Failed:
		v.failures++
		v.failMany = v.failMany || (v.failJob != "" && v.failJob != job)
		v.failJob = job
		s.judge(now, v)
	}
}

// stalled takes note that a run stands still on a VM. It counts for two failures, and
// for all jobs: no job makes its own tasks stand still.
func (s *Scheduler) stalled(now time.Time, v *vm) {
	v.failures += 2
	v.failMany = true
	s.judge(now, v)
}

// judge quarantines a VM after too many failures, longer each time.
func (s *Scheduler) judge(now time.Time, v *vm) {
	if !v.trial && (v.failures < s.policy.FailuresInRow || !v.failMany) {
		return
	}
	v.sickFor = min(max(2*v.sickFor, s.policy.Quarantine), s.policy.QuarantineMax)
	v.sick, v.trial = now.Add(v.sickFor), true
	s.log.WithFields(logrus.Fields{"vm": v.ID, "pool": v.Pool, "failures": v.failures, "for-ms": v.sickFor.Milliseconds()}).Info("VM quarantined")
}

// sortedVMs returns the VMs in the order of their identifiers, so that decisions
// repeat.
func (s *Scheduler) sortedVMs(pool string) []*vm {
	var list []*vm
	for _, v := range s.vms {
		if v.Pool == pool {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

// VMAddresses returns the VMs that are to be looked at.
func (s *Scheduler) VMAddresses() map[string]string {
	list := map[string]string{}
	for id, v := range s.vms {
		list[id] = v.Address
	}
	return list
}

// MarkFenced takes note that a later owner has been seen.
func (s *Scheduler) MarkFenced() { s.fenced = true }
