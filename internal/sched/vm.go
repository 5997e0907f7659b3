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
	listed              bool            // the platform's list names it
	polled              bool            // a look under this epoch has succeeded
	cordoned            bool            // the fleet is about to move or maintain it
	pollFailed          bool            // the last look failed
	recorded            bool            // the job log names it as a VM that may hold runs
	runs                map[string]*run // by task name
	orphans             map[string]int64
	clockMS             int64     // the VM's clock
	clockAt             time.Time // when clockMS was received
	lastAnswer          time.Time // last answer
	leasesEnd           time.Time // by now all leases granted so far have run out, on our clock
	seenSeq             int64     // ends up to this number are taken into account
	storedSeq           int64     // of these, the ones whose effect is stored
	backoffUntil        time.Time // no start before, after refusals
	consecutiveFailures int       // failed runs since the last one that was done
	failedJob           string    // of the first of these failures
	severalJobsFailed   bool      // they are of more than one job
	quarantinedUntil    time.Time // quarantined until
	quarantineTime      time.Duration
	probation           bool // quarantine has ended, one run at a time until one is done or long at work
}

func newVM(v site.VM) *vm {
	return &vm{VM: v, runs: map[string]*run{}, orphans: map[string]int64{}}
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

// resources is what is left of a VM's capacity.
type resources struct{ cpu, mem, gpu int }

func (v *vm) freeResources() resources {
	r := resources{cpu: v.CPU, mem: v.MemMB, gpu: v.GPU}
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

// drained reports whether the VM is to be moved or maintained and certainly holds nothing.
func (v *vm) drained() bool {
	return v.cordoned && v.polled && !v.pollFailed && len(v.runs) == 0 && len(v.orphans) == 0
}

// usable reports whether the VM may get new runs.
func (v *vm) usable(now time.Time, p *Policy) bool {
	switch {
	case !v.listed || !v.polled || v.pollFailed || !v.recorded || v.Draining || v.cordoned || len(v.orphans) > 0:
		return false
	case now.Sub(v.lastAnswer) > p.SilentAfter+time.Second:
		return false
	case now.Before(v.backoffUntil) || now.Before(v.quarantinedUntil):
		return false
	}
	return !v.probation || len(v.runs) == 0
}

// estimateClock estimates the VM's estimateClock; it never runs ahead of it by more than its error.
func (v *vm) estimateClock(now time.Time) int64 {
	return v.clockMS + now.Sub(v.clockAt).Milliseconds()
}

// grantLease returns the end of a lease that begins now, on the VM's clock, and remembers
// by when it has run out.
func (v *vm) grantLease(now time.Time, p *Policy) int64 {
	const margin = 200 * time.Millisecond // of the VM's timers and the estimate of its clock
	until := now.Add(p.localDuration(p.Lease) + margin)
	if until.After(v.leasesEnd) {
		v.leasesEnd = until
	}
	return v.estimateClock(now) + p.Lease.Milliseconds()
}

// endProbation ends a VM's trial: it has run a task well.
func (v *vm) endProbation() {
	v.consecutiveFailures, v.severalJobsFailed, v.failedJob, v.probation, v.quarantineTime = 0, false, "", false, 0
}

// recordOutcome counts the end of a run for its VM's quarantine.
func (s *Scheduler) recordOutcome(now time.Time, v *vm, job string, how site.How) {
	switch how {
	case site.Done:
		v.endProbation()
	case site.Failed:
		v.consecutiveFailures++
		v.severalJobsFailed = v.severalJobsFailed || (v.failedJob != "" && v.failedJob != job)
		v.failedJob = job
		s.quarantineIfDue(now, v)
	}
}

// recordStall takes note that a run stands still on a VM. It counts for two failures, and
// for all jobs: no job makes its own tasks stand still.
func (s *Scheduler) recordStall(now time.Time, v *vm) {
	v.consecutiveFailures += 2
	v.severalJobsFailed = true
	s.quarantineIfDue(now, v)
}

// quarantineIfDue quarantines a VM after too many failures, longer each time.
func (s *Scheduler) quarantineIfDue(now time.Time, v *vm) {
	if !v.probation && (v.consecutiveFailures < s.policy.ConsecutiveFailures || !v.severalJobsFailed) {
		return
	}
	v.quarantineTime = min(max(2*v.quarantineTime, s.policy.Quarantine), s.policy.QuarantineMax)
	v.quarantinedUntil, v.probation = now.Add(v.quarantineTime), true
	s.log.WithFields(logrus.Fields{"vm": v.ID, "pool": v.Pool, "failures": v.consecutiveFailures, "for-ms": v.quarantineTime.Milliseconds()}).Info("VM quarantined")
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
