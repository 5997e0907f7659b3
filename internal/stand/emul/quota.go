package emul

import (
	"fmt"
	"slices"
	"time"
)

// configDelay is the time within which entries must have a new configuration in force. Until then
// the former one counts too.
const configDelay = 3 * time.Second

// PeakUse returns the largest amounts that the tasks of each client account have reserved on all VMs
// at the same time. Runs that are being stopped count until they end.
func (l *Ledger) PeakUse() map[string]Resources {
	peaks := map[string]Resources{}
	forEachStart(l.Runs(), func(r *TaskRun, used Resources) {
		peak := peaks[r.Account]
		peaks[r.Account] = Resources{CPU: max(peak.CPU, used.CPU), MemMB: max(peak.MemMB, used.MemMB), GPU: max(peak.GPU, used.GPU)}
	})
	return peaks
}

// forEachStart calls f for each start of a run, in the order of time, with what all tasks of its
// client account reserve then, including the run. Runs without an account are left out.
func forEachStart(runs []TaskRun, f func(r *TaskRun, used Resources)) {
	type event struct {
		at    time.Time
		run   *TaskRun
		start bool
	}
	var events []event
	for i := range runs {
		r := &runs[i]
		if r.Account == "" {
			continue
		}
		events = append(events, event{r.Start, r, true})
		if !r.End.IsZero() {
			events = append(events, event{r.End, r, false})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	used := map[string]Resources{}
	for _, e := range events {
		u, sign := used[e.run.Account], 1
		if !e.start {
			sign = -1
		}
		u.CPU += sign * e.run.Reserved.CPU
		u.MemMB += sign * e.run.Reserved.MemMB
		u.GPU += sign * e.run.Reserved.GPU
		used[e.run.Account] = u
		if e.start {
			f(e.run, u)
		}
	}
}

// QuotaViolations describes the first start of each client account that brought what its tasks
// reserve above its quota times 1 + overage plus the started task. Of the configurations that may be in
// force at the start, the highest limit counts. Accounts that none of them has are not checked.
func (p *Platform) QuotaViolations(overage float64) []string {
	p.mu.Lock()
	quotas := slices.Clone(p.quotas)
	p.mu.Unlock()
	var list []string
	reported := map[string]bool{}
	forEachStart(p.Ledger.Runs(), func(r *TaskRun, used Resources) {
		limit, known := limitAt(quotas, r.Account, r.Start)
		if !known || reported[r.Account] {
			return
		}
		if used.exceeds(limit, r.Reserved, overage) {
			reported[r.Account] = true
			list = append(list, fmt.Sprintf("QUOTA account %s: task %s run %d brought the use to %+v, the quota is %+v", r.Account, r.Task, r.Run, used, limit))
		}
	})
	return list
}

// exceeds reports whether an amount is above the limit times 1 + overage plus a task, in any
// resource that is limited.
func (u Resources) exceeds(limit, task Resources, overage float64) bool {
	above := func(used, limit, task int) bool {
		return limit > 0 && float64(used) > float64(limit)*(1+overage)+float64(task)
	}
	return above(u.CPU, limit.CPU, task.CPU) || above(u.MemMB, limit.MemMB, task.MemMB) || above(u.GPU, limit.GPU, task.GPU)
}

// limitAt returns the highest limits of an account in the configurations that may be in force at a
// time: the newest one then, and those that were replaced less than configDelay before. A limit of 0 is
// the highest. known is false if one of them does not have the account.
func limitAt(quotas []publishedQuotas, account string, at time.Time) (limit Resources, known bool) {
	highest := func(a, b int) int {
		if a == 0 || b == 0 {
			return 0
		}
		return max(a, b)
	}
	for i, q := range quotas {
		replaced := i+1 < len(quotas) && at.Sub(quotas[i+1].at) > configDelay
		if q.at.After(at) || replaced {
			continue
		}
		l, listed := q.limits[account]
		switch {
		case !listed:
			return Resources{}, false
		case !known:
			limit, known = l, true
		default:
			limit = Resources{CPU: highest(limit.CPU, l.CPU), MemMB: highest(limit.MemMB, l.MemMB), GPU: highest(limit.GPU, l.GPU)}
		}
	}
	return limit, known
}
