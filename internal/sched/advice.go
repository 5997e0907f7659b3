package sched

import (
	"maps"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

const (
	maxAdviceVMs = 30   // in one request; each adds to the response time
	maxDenied    = 5000 // VMs remembered for a step as not allowed
)

// hasAdvice reports whether valid placement advice for a step is available. It requests it if there is none, or
// if the step's tasks fit on none of the VMs that it allows: first for VMs that were allowed before, then for
// others in turn. Those that it did not allow are not asked for again, since the policy for a step does not change.
func (s *Scheduler) hasAdvice(now time.Time, st *step, cands []*candidate) bool {
	valid := len(st.tickets) > 0 && now.Before(st.adviceExpires)
	var before, others []string
	for _, c := range cands {
		if !c.fits(st.Step) || st.denied[c.vm.ID] {
			continue
		}
		_, allowed := st.tickets[c.vm.ID]
		switch {
		case allowed && valid:
			return true
		case allowed:
			before = append(before, c.vm.ID)
		default:
			others = append(others, c.vm.ID)
		}
	}
	ids := append(before, others...)
	if len(ids) > 0 && !st.advicePending && !now.Before(st.adviceRetryAt) {
		st.advicePending = true
		s.emit(AskAdvice{Step: st.tasks[0].id.StepName(), VMs: ids[:min(len(ids), maxAdviceVMs)]})
	}
	return valid
}

// HandleAdvice handles the placement policy's response.
func (s *Scheduler) HandleAdvice(now time.Time, a *AskAdvice, tickets map[string]string, valid time.Duration, err error) {
	id, parseErr := jobs.ParseTaskID(a.Step + ".0") // the first task of the step
	if parseErr != nil {
		return
	}
	j := s.jobs[id.Job]
	if j == nil {
		return
	}
	t := j.findTask(id)
	if t == nil {
		return
	}
	t.step.advicePending = false
	if err != nil {
		t.step.adviceRetryAt = now.Add(s.policy.Backoff)
		return
	}
	t.step.recordAdvice(now, a.VMs, tickets, valid)
}

// recordAdvice records which of the VMs asked for are allowed.
func (st *step) recordAdvice(now time.Time, asked []string, tickets map[string]string, valid time.Duration) {
	if st.denied == nil || len(st.denied) > maxDenied {
		st.denied = map[string]bool{}
	}
	for _, vm := range asked {
		if _, allowed := tickets[vm]; !allowed {
			st.denied[vm] = true
		}
	}
	if len(tickets) == 0 {
		return
	}
	expires := now.Add(valid)
	if len(st.tickets) > 0 && now.Before(st.adviceExpires) {
		tickets = maps.Clone(tickets)
		maps.Copy(tickets, st.tickets)
		if st.adviceExpires.Before(expires) {
			expires = st.adviceExpires
		}
	}
	st.tickets, st.adviceExpires = tickets, expires
}
