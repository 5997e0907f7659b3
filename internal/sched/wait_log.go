package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxLoggedVMs    = 64                     // VMs that a log line on waits names
	maxEvidence     = 8                      // VMs that each list of the log line of a start names
	waitLogInterval = 500 * time.Millisecond // between two log lines of waits that have ended
)

//go:generate ../../.bin/enumer -type=waitEnd -trimprefix=wait -transform=kebab -output=waitend_enumer.go

// waitEnd says how the wait for a VM that may hold runs of an earlier owner has ended.
type waitEnd int

const (
	waitLasts    waitEnd = iota // it has not ended
	waitAnswered                // the VM has listed its runs
	waitExpired                 // the leases of its runs have expired
	waitDown                    // the inventory shows that its incarnation has ended
	waitGone                    // another incarnation answers at its address, or the platform no longer lists it
)

// vmWait is the wait for a VM. at is zero while it lasts.
type vmWait struct {
	end waitEnd
	at  time.Time
}

// waitLog keeps for the log how the waits for VMs that may hold runs of an earlier owner have ended.
type waitLog struct {
	since    time.Time         // of the claim, or the end of the latest pause
	waits    map[string]vmWait // by VM; those that the job log names at the claim
	ended    []string          // whose ends are not logged yet
	loggedAt time.Time
}

// LogWaits logs for which VMs that may hold runs of an earlier owner this one waits, and why as long as it does.
func (s *Scheduler) LogWaits(now time.Time, why string) {
	w := &s.waitLog
	w.since = now
	if w.waits == nil {
		w.waits = map[string]vmWait{}
	}
	for id := range s.unverified {
		w.waits[id] = vmWait{}
	}
	vms := slices.Sorted(maps.Keys(s.unverified))
	unrecorded := s.unrecordedVMs(maxLoggedVMs)
	log := s.log.WithFields(logrus.Fields{"epoch": s.Epoch, "why": why, "count": len(vms), "handed-over": s.Inherited()})
	for part := range slices.Chunk(vms, maxLoggedVMs) {
		ends := make([]string, len(part))
		for i, id := range part {
			ends[i] = fmt.Sprintf("%s/%d", id, s.unverified[id].Sub(now).Milliseconds())
		}
		log.WithFields(logrus.Fields{"vms": ends, "not-recorded": unrecorded}).Info("waiting for VMs that may hold runs of an earlier owner")
	}
	if len(vms) == 0 {
		log.WithField("not-recorded", unrecorded).Info("no VM may hold runs of an earlier owner")
	}
}

// endWait removes a VM from those that may hold runs of an earlier owner.
func (s *Scheduler) endWait(now time.Time, id string, end waitEnd) {
	if _, waits := s.unverified[id]; !waits {
		return
	}
	delete(s.unverified, id)
	if s.waitLog.waits == nil {
		return
	}
	s.waitLog.waits[id] = vmWait{end: end, at: now}
	s.waitLog.ended = append(s.waitLog.ended, id)
}

// logWaitEnds logs how waits have ended since the last line, those that do not fit with the next one.
func (s *Scheduler) logWaitEnds(now time.Time) {
	w := &s.waitLog
	if len(w.ended) == 0 || now.Sub(w.loggedAt) < waitLogInterval {
		return
	}
	w.loggedAt = now
	n := min(len(w.ended), maxLoggedVMs)
	lists := map[string][]string{}
	for _, id := range w.ended[:n] {
		x := w.waits[id]
		lists[x.end.String()] = append(lists[x.end.String()], fmt.Sprintf("%s/%d", id, x.at.Sub(w.since).Milliseconds()))
	}
	w.ended = slices.Delete(w.ended, 0, n)
	log := s.log.WithFields(logrus.Fields{"epoch": s.Epoch, "waits-for": len(s.unverified)})
	for end, list := range lists {
		log = log.WithField(end, list)
	}
	log.Info("wait for VMs that may hold runs of an earlier owner has ended")
}

// unanswered reports whether VMs that may hold runs of an earlier owner have not answered since the claim.
func (w *waitLog) unanswered() bool {
	for _, x := range w.waits {
		if x.end != waitAnswered {
			return true
		}
	}
	return false
}

// startEvidence says for the log why a task which an earlier owner may have started is not running: how many of the VMs
// that the job log names have answered, which have not, and which it does not name.
func (s *Scheduler) startEvidence(now time.Time, t *task) logrus.Fields {
	fields := logrus.Fields{"not-recorded": s.unrecordedVMs(maxEvidence)}
	if s.inherited != nil {
		fields["handed-over"] = firstOf(s.inherited.vmsByTask[t.id.String()], maxEvidence)
	}
	answered := 0
	lists := map[waitEnd][]string{}
	for _, id := range slices.Sorted(maps.Keys(s.waitLog.waits)) {
		x := s.waitLog.waits[id]
		if x.end == waitAnswered {
			answered++
			continue
		}
		text := id
		if x.end != waitLasts {
			text = fmt.Sprintf("%s/%d", id, now.Sub(x.at).Milliseconds())
		}
		lists[x.end] = append(lists[x.end], text)
	}
	fields[waitAnswered.String()] = answered
	for end, list := range lists {
		fields[end.String()] = firstOf(list, maxEvidence)
	}
	return fields
}

// unrecordedVMs returns VMs that the platform lists, that the job log did not name at the claim and that have not answered
// yet: nothing is known of runs there.
func (s *Scheduler) unrecordedVMs(most int) []string {
	var list []string
	for id, v := range s.vms {
		if _, named := s.waitLog.waits[id]; !named && v.listed && v.lastAnswer.IsZero() {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return firstOf(list, most)
}

// firstOf returns the first elements of a list, and in place of the others their number.
func firstOf(list []string, most int) []string {
	if len(list) <= most {
		return list
	}
	return append(slices.Clone(list[:most]), fmt.Sprintf("and %d more", len(list)-most))
}

// HeldVMs describes for the log the VMs with runs of this owner: how long ago each has answered, and when the leases granted
// to it have certainly expired, in milliseconds from now.
func (s *Scheduler) HeldVMs(now time.Time) []string {
	var list []string
	for id, v := range s.vms {
		if len(v.runs) > 0 {
			list = append(list, fmt.Sprintf("%s/-%d/%d", id, now.Sub(v.lastAnswer).Milliseconds(), v.leasesEnd.Sub(now).Milliseconds()))
		}
	}
	slices.Sort(list)
	return firstOf(list, maxLoggedVMs)
}

// fencedBy records that a VM has refused a call since it has heard of a later owner.
func (s *Scheduler) fencedBy(vm, call string) {
	if !s.fenced {
		s.log.WithFields(logrus.Fields{"epoch": s.Epoch, "vm": vm, "call": call}).Info("VM refused a call: it has heard of a later owner")
	}
	s.fenced = true
}
