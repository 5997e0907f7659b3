package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/blame"
)

const maxLoggedRuns = 8 // runs that the log line of a lost VM names

// logLostVM logs the loss of a VM's incarnation with its runs, the youngest first: a task that crashes its VM
// does so soon after its start.
func (s *Scheduler) logLostVM(now time.Time, v *vm, why string) {
	runs := make([]*run, 0, len(v.runs))
	for _, r := range v.runList {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if c := b.startedAt.Compare(a.startedAt); c != 0 {
			return c
		}
		return a.task.id.Compare(b.task.id)
	})
	var youngest []string
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		youngest = append(youngest, r.lossText(now))
	}
	inRack, silent := s.countRack(v.rack())
	s.log.WithFields(logrus.Fields{
		"vm": v.ID, "pool": v.Pool, "born": v.Born, "why": why, "silent-ms": now.Sub(v.lastAnswer).Milliseconds(),
		"heard-ms": now.Sub(v.heardAt).Milliseconds(), "rack": v.rack(), "rack-vms": inRack, "rack-silent": silent,
		"cordoned": v.cordoned, "draining": v.Draining, "runs": len(runs), "presumed": len(s.losses.presumed[v.ID]), "youngest": youngest,
	}).Info("VM lost with its runs")
}

// lossText describes a run on a lost VM: whether the VM had begun it, and when it had last answered before the order.
func (r *run) lossText(now time.Time) string {
	text := fmt.Sprintf("%s run %d, %d ms", r.task.id, r.number, now.Sub(r.startedAt).Milliseconds())
	switch {
	case r.adopted:
		return text + ", adopted"
	case !r.confirmedAt.IsZero():
		return fmt.Sprintf("%s, confirmed after %d ms", text, r.confirmedAt.Sub(r.startedAt).Milliseconds())
	}
	return fmt.Sprintf("%s, not confirmed, VM answered %d ms before the order", text, r.startedAt.Sub(r.heardAt).Milliseconds())
}

// countRack counts the known VMs of a rack, and those of them that are down or do not answer.
func (s *Scheduler) countRack(rack string) (vms, silent int) {
	for _, v := range s.vms {
		if v.rack() != rack {
			continue
		}
		vms++
		if v.ended || v.pollFailed {
			silent++
		}
	}
	return vms, silent
}

// rackTexts describes the racks of the VMs that crashed, as far as these are known.
func (s *Scheduler) rackTexts(r blame.Record) []string {
	var list []string
	for _, c := range r {
		if v := s.vms[c.VM]; v != nil {
			vms, silent := s.countRack(v.rack())
			list = append(list, fmt.Sprintf("VM %s in rack %q, %d of %d VMs silent", c.VM, v.rack(), silent, vms))
		}
	}
	return list
}
