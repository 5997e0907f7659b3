package sched

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// rebirths are the actions of TestSchedulerInvariantsRebirths beside those of the model.
type rebirths struct{ *model }

const callTime = 10 * time.Millisecond

// reboot has a VM come back under its ID. The VM list may not show that yet.
func (m rebirths) reboot(t *rapid.T) {
	id := rapid.SampledFrom(m.vmIDs()).Draw(t, "vm")
	m.earlier[id] = m.vms[id].born
	m.boot(id)
	if rapid.Bool().Draw(t, "listed") {
		m.sendVMList()
	}
}

// cutOff cuts a VM off, or heals it.
func (m rebirths) cutOff(t *rapid.T) {
	id := rapid.SampledFrom(m.vmIDs()).Draw(t, "vm")
	m.cut[id] = !m.cut[id]
}

// deliverAnswered carries an order out, of which the reply arrives unless the VM is cut off.
func (m rebirths) deliverAnswered(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("no pending order")
	}
	a := m.pending[0]
	m.pending = m.pending[1:]
	m.advance(callTime)
	switch a := a.(type) {
	case StartRun:
		if !a.Dispatch.Attempt() {
			return
		}
		refusal, err := m.execute(delayedOrder{vm: a.VM, born: m.vms[a.VM].born, start: &a, fence: a.Order.Fence})
		m.s.HandleStart(m.now, &a, refusal, err)
	case StopRun:
		refusal, err := m.execute(delayedOrder{vm: a.VM, born: m.vms[a.VM].born, stop: &a, fence: m.s.Epoch})
		m.s.HandleStop(m.now, &a, refusal, err)
	}
}

// pollAnswered polls a VM, which answers unless it is cut off.
func (m rebirths) pollAnswered(t *rapid.T) {
	id := rapid.SampledFrom(m.vmIDs()).Draw(t, "vm")
	v := m.vms[id]
	p, ok := m.s.NextPoll(m.now, id, m.verify[id])
	if !ok {
		return
	}
	sent := m.now
	m.advance(callTime)
	switch m.verify[id] = true; {
	case m.cut[id]:
		m.s.HandlePollFailure(m.now, id, errNoAnswer)
	case !m.carryOutPoll(v, &p):
		m.s.HandlePollFailure(m.now, id, site.ErrFenced)
	default:
		m.verify[id] = false
		m.s.HandlePoll(m.now, id, sent, m.status(v, p))
	}
}

// work makes rounds in which all VMs are polled and all orders delivered.
func (m rebirths) work(t *rapid.T) {
	for range 3 {
		m.decide(t)
		for len(m.pending) > 0 {
			m.deliverAnswered(t)
		}
		m.pollAnswered(t)
	}
}

// TestSchedulerInvariantsRebirths runs random histories in which VMs restart under their IDs, which the VM list shows later or
// not at all, and are cut off. Calls are answered unless the VM is cut off. It guards against tasks that start again while a
// lease is held that the clock of an earlier incarnation has made long.
func TestSchedulerInvariantsRebirths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rebirths{newModel(t, false)}
		t.Repeat(map[string]func(*rapid.T){
			"": m.checkUsage, "submit": m.submit, "decide": m.decide, "deliver": m.deliverAnswered, "look": m.pollAnswered, "look2": m.pollAnswered, "work": m.work, "work2": m.work, "end": m.end,
			"flush": m.flush, "flush2": m.flush, "takeover": m.takeover, "reboot": m.reboot, "reboot2": m.reboot, "cut": m.cutOff, "cut2": m.cutOff,
			"inventory": m.inventory, "wait": m.wait, "wait2": m.wait,
		})
	})
}
