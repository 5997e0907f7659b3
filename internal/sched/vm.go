package sched

import (
	"iter"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// vm is the scheduler's state of one VM.
type vm struct {
	site.VM
	listed              bool             // the platform's last VM list contains it
	polled              bool             // a status poll of this owner has succeeded; reset when the VM restarts, its leases expire or it refuses a start as late, until the next poll succeeds
	cordoned            bool             // about to be moved or maintained; gets no new runs
	cordonedAt          time.Time        // when it was last cordoned
	pollFailed          bool             // the last status poll failed
	failedAt            time.Time        // when a poll first failed since the last answer; zero if none has
	trialPolledAt       time.Time        // when a poll was last ordered out of turn, see pollTrials
	restartedAt         time.Time        // when its present incarnation, which has not heard of later owners, became known; zero if it is the first
	ended               bool             // its incarnation has ended; only runs whose start orders are under way are left
	endedAt             time.Time        // when that became known
	lapsed              bool             // its runs were released when its leases expired; it may be cut off or gone
	recorded            bool             // the job log names it as a VM that may hold runs; required before a start
	runs                map[string]*run  // by task name; changed by addRun and removeRun only
	runList             []*run           // the values of runs
	endsCut             bool             // its last list of run ends was cut off; others may have ended that this owner does not know of
	orphans             map[string]int64 // numbers of runs that this owner does not track, by task name
	clockMS             int64            // the VM's clock at clockAt; 0 before the first poll
	clockAt             time.Time        // when clockMS was received
	firstClockMS        int64            // the VM's clock at the first answer of its incarnation
	polledAt            time.Time        // when the poll was sent that was last answered; its incarnation was up after that
	lastAnswer          time.Time        // when a poll was last answered
	heardAt             time.Time        // when a poll or an order was last answered; zero if none was
	leasesEnd           time.Time        // by then all leases granted so far have expired, on the local clock
	seenSeq             int64            // run ends up to this sequence number are processed
	storedSeq           int64            // run ends up to this sequence number have their effect in the job log
	unreadableEnds      []unreadableEnd  // that it may still list
	ackedSeq            int64            // run ends up to this sequence number were acknowledged to it
	firstListed         int64            // sequence number of the first run end that its last reply listed; 0 if it listed none
	polls               vmPolls          // that it may still carry out
	lateAckUntil        time.Time        // no run but of a long-running task is started before this time; see awaitLateCalls
	backoffUntil        time.Time        // no run is started before this time; set when the VM refuses a start
	consecutiveFailures int              // failed runs since the last successful one; a stall counts as two
	failedJob           string           // job of the last failure
	severalJobsFailed   bool             // the failures are of more than one job, or include a stall
	quarantinedUntil    time.Time
	quarantineTime      time.Duration  // length of the last quarantine; 0 after a success
	speed               speedDeviation // of its latest runs
	probation           bool           // one run at a time after a quarantine, until one succeeds or is available for long enough
}

func newVM(v site.VM) *vm {
	return &vm{VM: v, runs: map[string]*run{}, orphans: map[string]int64{}}
}

// addRun adds a run.
func (v *vm) addRun(r *run) {
	v.runs[r.name] = r
	v.runList = append(v.runList, r)
}

// removeRun removes a run. Those before it in runList keep their places.
func (v *vm) removeRun(r *run) {
	delete(v.runs, r.name)
	if i := slices.Index(v.runList, r); i >= 0 {
		v.runList = slices.Delete(v.runList, i, i+1)
	}
}

// rack returns the label that names the VM's rack. The labels of a VM are its hardware
// kind and its rack, of which only the rack contains a hyphen.
func (v *vm) rack() string {
	for _, l := range v.Labels {
		if strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// resources is a VM's capacity, or the part of it that is free. cpu is in thousandths of
// a core, mem in MB, gpu in accelerators.
type resources struct{ cpu, mem, gpu int }

func (v *vm) freeResources() resources {
	r := resources{cpu: v.CPU, mem: v.MemMB, gpu: v.GPU}
	for _, x := range v.runList {
		s := x.step()
		if !s.Fills { // a best-effort task uses only CPU that other tasks do not use
			r.cpu -= s.CPU
		}
		r.mem -= s.MemMB
		r.gpu -= s.GPU
	}
	return r
}

// drained reports whether the VM is cordoned and certainly holds no run, nor the end of one.
func (v *vm) drained() bool {
	return v.cordoned && v.polled && !v.pollFailed && !v.endsCut && len(v.runs) == 0 && len(v.orphans) == 0
}

// usable reports whether the VM may get new runs.
func (v *vm) usable(now time.Time, p *Policy) bool {
	return v.takesLasting(now, p) && !now.Before(v.lateAckUntil)
}

// takesLasting reports whether the VM may get new runs of long-running tasks. They start again however they end, so an
// end that is acknowledged unseen costs them nothing.
func (v *vm) takesLasting(now time.Time, p *Policy) bool { return v.hold(now, p) == vmOpen }

// hold says why the VM gets no new run of a long-running task.
func (v *vm) hold(now time.Time, p *Policy) vmHold {
	switch {
	case !v.listed:
		return vmUnlisted
	case v.Draining:
		return vmDraining
	case v.cordoned:
		return vmCordoned
	case !v.polled:
		return vmUnanswered
	case v.pollFailed || now.Sub(v.lastAnswer) > p.SilentAfter+time.Second:
		return vmSilent
	case !v.recorded:
		return vmUnrecorded
	case len(v.orphans) > 0:
		return vmOrphans
	case now.Before(v.quarantinedUntil):
		return vmQuarantined
	case now.Before(v.backoffUntil):
		return vmBackoff
	case v.probation && len(v.runs) > 0:
		return vmProbation
	}
	return vmOpen
}

// unusableReason says why the VM gets no new run, empty if it may get one.
func (v *vm) unusableReason(now time.Time, p *Policy) string {
	hold := v.hold(now, p)
	if now.Before(v.lateAckUntil) && (hold == vmOpen || hold == vmBackoff || hold == vmProbation) {
		return "restarted under its ID; a call to its earlier incarnation may arrive within " + v.lateAckUntil.Sub(now).Round(100*time.Millisecond).String()
	}
	switch hold {
	case vmUnlisted:
		return "the platform's VM list does not contain it"
	case vmDraining:
		return "draining: the platform will take it out of its pool"
	case vmCordoned:
		return "cordoned: about to be moved or maintained"
	case vmUnanswered:
		return "has not answered a status poll of this owner yet"
	case vmSilent:
		return "silent for " + now.Sub(v.lastAnswer).Round(100*time.Millisecond).String()
	case vmUnrecorded:
		return "not recorded in the job log yet"
	case vmOrphans:
		return "holds runs that this owner does not track"
	case vmQuarantined:
		return "quarantined for another " + v.quarantinedUntil.Sub(now).Round(100*time.Millisecond).String()
	case vmBackoff:
		return "refused a start; none is sent for another " + v.backoffUntil.Sub(now).Round(10*time.Millisecond).String()
	case vmProbation:
		return "on probation: one run at a time until one succeeds"
	}
	return ""
}

// estimateClock returns the VM's clock as of now. It is ahead of the VM's actual clock by
// at most Policy.ClockError times the time since clockAt.
func (v *vm) estimateClock(now time.Time) int64 {
	return v.clockMS + now.Sub(v.clockAt).Milliseconds()
}

// leaseMargin is added to the time after which the leases of an earlier owner have expired. It exceeds the
// margin in grantLease, by which a lease may end later.
const leaseMargin = 300 * time.Millisecond

// LongestPoll is the longest time that a VM delays its reply to a status poll.
const LongestPoll = 2 * time.Second

// FormerOwnerNotice is the longest time after a claim for which a former owner of this version that is cut off from the log
// and the other entries goes on renewing leases and starting tasks.
const FormerOwnerNotice = tenure.Validity + tenure.ClockMargin

// FormerOwnerMayContinue tells a new owner that the former one, or one before it, may not know that it has lost the
// partition. Its runs on VMs that this owner does not reach may last longer.
// It may do so for the given time after the claim.
func (s *Scheduler) FormerOwnerMayContinue(notice time.Duration) {
	s.formerOwnerNotice = notice
	for id, until := range s.unverified {
		s.unverified[id] = until.Add(notice)
		if v := s.vms[id]; v != nil {
			v.leasesEnd = v.leasesEnd.Add(notice)
		}
	}
}

// FormerOwnerHasEnded tells a new owner that all former ones have ended by now, so that no lease of theirs lasts longer than
// one that is granted now.
func (s *Scheduler) FormerOwnerHasEnded(now time.Time) {
	s.formerOwnerNotice = 0
	usual := now.Add(s.policy.localDuration(s.policy.Lease) + leaseMargin)
	for id, until := range s.unverified {
		last := s.afterLongLease(id, usual)
		if !until.After(last) {
			continue
		}
		s.unverified[id] = last
		if v := s.vms[id]; v != nil && v.leasesEnd.After(last) {
			v.leasesEnd = last
		}
	}
	if len(s.unverified) > 0 {
		s.LogWaits(now, "former owner has ended since the claim")
	}
}

// grantLease returns the end of a lease that begins now, on the VM's clock, and extends
// leasesEnd accordingly.
func (v *vm) grantLease(now time.Time, p *Policy) int64 {
	const margin = 200 * time.Millisecond // the VM's timers may fire late, and estimateClock may be ahead of the VM's clock
	until := now.Add(p.localDuration(p.Lease) + margin)
	if until.After(v.leasesEnd) {
		v.leasesEnd = until
	}
	return v.estimateClock(now) + p.Lease.Milliseconds()
}

// endProbation clears a VM's failures after a run has succeeded, or a long-running task has
// been available for long enough.
func (v *vm) endProbation() {
	v.consecutiveFailures, v.severalJobsFailed, v.failedJob, v.probation, v.quarantineTime = 0, false, "", false, 0
}

// recordOutcome updates a VM's failure count with the end of a run.
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

// recordStall updates a VM's failure count with a stalled run. A stall counts as two
// failures and as failures of several jobs, since no job makes its own tasks stall.
func (s *Scheduler) recordStall(now time.Time, v *vm) {
	v.consecutiveFailures += 2
	v.severalJobsFailed = true
	s.quarantineIfDue(now, v)
}

// quarantineIfDue quarantines a VM after too many failures of more than one job, or after
// any failure on probation. Each quarantine without a success in between lasts twice as long
// as the previous one, up to QuarantineMax.
func (s *Scheduler) quarantineIfDue(now time.Time, v *vm) {
	if !v.probation && (v.consecutiveFailures < s.policy.ConsecutiveFailures || !v.severalJobsFailed) {
		return
	}
	v.quarantineTime = min(max(2*v.quarantineTime, s.policy.Quarantine), s.policy.QuarantineMax)
	v.quarantinedUntil, v.probation = now.Add(v.quarantineTime), true
	s.log.WithFields(logrus.Fields{"vm": v.ID, "pool": v.Pool, "failures": v.consecutiveFailures, "for-ms": v.quarantineTime.Milliseconds()}).Info("VM quarantined")
}

// sortedVMs returns a pool's VMs ordered by ID, which makes decisions deterministic.
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

// ReachedVMs returns how many of the VMs that the platform lists have answered a status poll of this owner.
func (s *Scheduler) ReachedVMs() (reached, all int) {
	for _, v := range s.vms {
		if !v.listed {
			continue
		}
		all++
		if v.polled {
			reached++
		}
	}
	return reached, all
}

// VMAddresses returns the addresses of the VMs to poll, by VM ID.
func (s *Scheduler) VMAddresses() iter.Seq2[string, string] {
	return func(yield func(id, address string) bool) {
		for id, v := range s.vms {
			if !yield(id, v.Address) {
				return
			}
		}
	}
}

// HasVM reports whether a VM is to be polled.
func (s *Scheduler) HasVM(id string) bool { return s.vms[id] != nil }

// MarkFenced records that a later owner has claimed the partition; Fenced then returns true.
func (s *Scheduler) MarkFenced() { s.fenced = true }
