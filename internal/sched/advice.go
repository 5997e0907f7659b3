package sched

import (
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// hasAdvice reports whether valid placement advice for a step is available; if not, it
// requests it.
func (s *Scheduler) hasAdvice(now time.Time, st *step, cands []*candidate) bool {
	const maxVMs = 30 // VMs in one request; each adds to the response time
	if len(st.tickets) > 0 && now.Before(st.adviceExpires) {
		return true
	}
	if st.advicePending || now.Before(st.adviceRetryAt) {
		return false
	}
	var ids []string
	for _, c := range cands {
		if c.fits(st.Step) && len(ids) < maxVMs {
			ids = append(ids, c.vm.ID)
		}
	}
	if len(ids) > 0 {
		st.advicePending = true
		s.emit(AskAdvice{Step: st.tasks[0].id.StepName(), VMs: ids})
	}
	return false
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
	if err != nil || len(tickets) == 0 {
		t.step.adviceRetryAt = now.Add(s.policy.Backoff)
		return
	}
	t.step.tickets, t.step.adviceExpires = tickets, now.Add(valid)
}
