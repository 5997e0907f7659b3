package sched

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// delayedOrder is an order whose reply was lost and that may still be carried out.
type delayedOrder struct {
	vm    string
	born  int64
	start *StartRun
	stop  *StopRun
	fence int64
}

// model is a scheduler with simulated VMs, a job log, lost and delayed messages, and the
// oracle's record of what VMs ran and what was acknowledged.
type model struct {
	t              *rapid.T
	now            time.Time
	s              *Scheduler
	vms            map[string]*simVM
	jobLog         map[string][]byte
	pending        []Action
	delayed        []delayedOrder
	latePolls      []latePoll
	verify         map[string]bool // VMs whose last poll got no reply
	cut            map[string]bool // VMs that calls do not reach
	ackedDone      map[string]bool // tasks with a done run whose end was acknowledged
	ackedFailures  map[string]int  // number of acknowledged failed runs, by task
	ackedCancels   map[string]bool // jobs whose cancellation was acknowledged
	done           map[string]bool // tasks with a done run, acknowledged or not
	jobs           map[string]*jobs.Job
	flushing       *Flush
	earlier        map[string]int64 // start of the incarnation before the present one, by VM
	lastBorn       int              // start of the latest incarnation
	copies         bool             // the jobs' first steps allow copies, which a warm queue starts readily
	copyOrders     map[string]int64 // highest run number ordered as a copy, by task
	shown          map[string]bool  // jobs that were shown as completed
	accepted       map[string]bool  // jobs whose callers know that they are accepted
	olderOwners    bool             // owners are of the version before and show jobs as completed before that is stored
	told           bool             // this owner was told of the jobs in shown
	carriedOutLate int              // start orders, by a later life of their VM
	copyRuns       int              // runs that started beside another one of their task
}

func newModel(t *rapid.T, copies bool) *model {
	m := &model{
		t: t, now: at(0), copies: copies, earlier: map[string]int64{}, copyOrders: map[string]int64{}, vms: map[string]*simVM{}, jobLog: map[string][]byte{}, verify: map[string]bool{}, cut: map[string]bool{},
		ackedDone: map[string]bool{}, ackedFailures: map[string]int{}, ackedCancels: map[string]bool{}, done: map[string]bool{}, jobs: map[string]*jobs.Job{}, shown: map[string]bool{}, accepted: map[string]bool{}, told: true,
	}
	m.s = m.newScheduler(1)
	for i := range 3 {
		m.boot(fmt.Sprintf("vm-%d", i))
	}
	m.sendVMList()
	return m
}

// newScheduler returns a scheduler that takes each run above 100 ms for a straggler in a model with
// copies.
func (m *model) newScheduler(epoch int64) *Scheduler {
	p := testPolicy()
	p.CopyShare = 1
	s := New(epoch, p, quietLog())
	s.SetAccounts(testAccounts(1, 3))
	if m.copies {
		for i := range 2 * minSamples {
			s.queue("q").tasks.Add([]float64{0.2, 100}[i/(2*minSamples-2)]) // two stragglers
		}
	}
	return s
}

func (m *model) boot(id string) {
	m.lastBorn++
	m.vms[id] = &simVM{
		id: id, born: int64(m.lastBorn), bornAt: m.now, clockLag: float64(m.lastBorn%3) / 100, up: true,
		running: map[string]int64{}, highestRun: map[string]int64{},
	}
}

func (m *model) vmIDs() []string {
	var ids []string
	for id := range m.vms {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// sendVMList passes the list of the VMs that are up to the scheduler.
func (m *model) sendVMList() {
	var list []site.VM
	for _, id := range m.vmIDs() {
		if v := m.vms[id]; v.up {
			u := testVM(id)
			u.Born, u.CPU = v.born, 3000
			list = append(list, u)
		}
	}
	m.s.SetVMs(m.now, list)
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, id := range m.vmIDs() {
		v := m.vms[id]
		if !v.up || m.now.Before(v.lease) {
			continue
		}
		var names []string
		for name := range v.running {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			v.finish(name, site.Lapsed)
		}
	}
}

// execute carries out an order on its VM.
func (m *model) execute(o delayedOrder) (site.Refusal, error) {
	v := m.vms[o.vm]
	if v == nil || !v.up || v.born != o.born {
		return site.Accepted, site.ErrNotDone
	}
	if m.cut[o.vm] {
		return site.Accepted, errNoAnswer
	}
	if o.start != nil {
		o.start.ClockMS = v.clock(m.now)
	}
	if o.fence < v.fence {
		return site.RefusedFence, nil
	}
	v.fence = o.fence
	if o.stop != nil {
		v.highestRun[o.stop.Task] = max(v.highestRun[o.stop.Task], o.stop.Run)
		if run, ok := v.running[o.stop.Task]; ok && run <= o.stop.Run {
			v.finish(o.stop.Task, site.Stopped)
		}
		return site.Accepted, nil
	}
	return m.start(v, &o.start.Order), nil
}

func (m *model) start(v *simVM, o *site.Start) site.Refusal {
	v.renew(m.now, min(o.UntilMS, v.clock(m.now)+testPolicy().MaxLease.Milliseconds()))
	run, runs := v.running[o.Task]
	switch {
	case o.UntilMS <= v.clock(m.now):
		return site.RefusedLate
	case o.Run <= v.highestRun[o.Task] || (runs && run != o.Run):
		return site.RefusedOld
	case runs:
		return site.Accepted
	case len(v.running) >= 3:
		return site.RefusedRoom
	}
	m.checkStart(v, o)
	v.running[o.Task] = o.Run
	return site.Accepted
}

// checkStart is the oracle. It uses only what VMs ran and what was acknowledged.
func (m *model) checkStart(v *simVM, o *site.Start) {
	id, err := jobs.ParseTaskID(o.Task)
	if err != nil {
		m.t.Fatalf("start of %q: %v", o.Task, err)
	}
	j := m.jobs[id.Job]
	others := 0
	for _, vm := range m.vmIDs() {
		if x := m.vms[vm]; x.up {
			if run, ok := x.running[o.Task]; ok {
				others++
				if j == nil || !j.Steps[id.Step].Copies || others > 1 || run == o.Run {
					m.t.Fatalf("%s run %d starts on %s while run %d is running on %s", o.Task, o.Run, v.id, run, vm)
				}
			}
		}
	}
	m.copyRuns += others
	switch {
	case j == nil:
		m.t.Fatalf("start of %s, whose job was never submitted", o.Task)
	case m.ackedDone[o.Task] && m.copyOrders[o.Task] != o.Run:
		m.t.Fatalf("%s starts after its completion was acknowledged", o.Task)
	case m.ackedFailures[o.Task] >= j.MaxAttempts:
		m.t.Fatalf("%s starts after %d acknowledged failures", o.Task, m.ackedFailures[o.Task])
	}
	for _, a := range j.Steps[id.Step].After {
		for i := range j.Steps[a].Count {
			if earlier := (jobs.TaskID{Job: id.Job, Step: a, Index: i}).String(); !m.done[earlier] {
				m.t.Fatalf("%s starts before %s is done", o.Task, earlier)
			}
		}
	}
}

func (m *model) decide(*rapid.T) {
	m.advance(20 * time.Millisecond)
	actions := m.s.Decide(m.now)
	for _, a := range actions {
		if x, ok := a.(StartRun); ok {
			m.checkOrder(&x)
		}
	}
	m.pending = append(m.pending, actions...)
}

// checkOrder checks a start order when it is given, which is earlier than when it is carried out: a
// copy may start late, after the first run's end was taken note of, but not be ordered then.
func (m *model) checkOrder(a *StartRun) {
	v := m.s.vms[a.VM]
	if free := v.freeResources(); free.cpu < 0 || free.mem < 0 {
		m.t.Fatalf("%s is given more runs than it has room for: %+v", a.VM, free)
	}
	if m.shown[a.Task.Job] {
		m.t.Fatalf("%s is ordered to start after its job was shown as completed", a.Order.Task)
	}
	if m.ackedCancels[a.Task.Job] {
		m.t.Fatalf("%s is ordered to start after its job's cancellation was acknowledged", a.Order.Task)
	}
	if m.ackedDone[a.Order.Task] {
		m.t.Fatalf("%s is ordered to start after its completion was acknowledged", a.Order.Task)
	}
	if r := v.runs[a.Order.Task]; len(r.task.runs) > 1 {
		m.copyOrders[a.Order.Task] = r.number
	}
}

// deliver carries out an order and replies, loses the reply, or delays the order.
func (m *model) deliver(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("no pending order")
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "order")
	a := m.pending[i]
	m.pending = append(m.pending[:i], m.pending[i+1:]...)
	var o delayedOrder
	var handleReply func(site.Refusal, error)
	switch a := a.(type) {
	case StartRun:
		if !a.Dispatch.Attempt() {
			return
		}
		o = delayedOrder{vm: a.VM, start: &a, fence: a.Order.Fence}
		handleReply = func(r site.Refusal, err error) { m.s.HandleStart(m.now, &a, r, err) }
	case StopRun:
		o = delayedOrder{vm: a.VM, stop: &a, fence: m.s.Epoch}
		handleReply = func(r site.Refusal, err error) { m.s.HandleStop(m.now, &a, r, err) }
	default:
		return
	}
	if v := m.vms[o.vm]; v != nil {
		o.born = v.born
	}
	m.advance(5 * time.Millisecond)
	unanswered := errors.New("no answer")
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late"}).Draw(t, "fate") {
	case "answered":
		handleReply(m.execute(o))
	case "lost":
		_, _ = m.execute(o)
		handleReply(site.Accepted, unanswered)
	case "late":
		m.delayed = append(m.delayed, o)
		handleReply(site.Accepted, unanswered)
	}
}

// deliverRepeated repeats a start order whose first attempt was not answered. The first attempt was carried
// out, was lost, or is carried out later.
func (m *model) deliverRepeated(t *rapid.T) {
	for i, a := range m.pending {
		a, ok := a.(StartRun)
		if !ok {
			continue
		}
		m.pending = append(m.pending[:i], m.pending[i+1:]...)
		if !a.Dispatch.Attempt() {
			return
		}
		o := delayedOrder{vm: a.VM, born: m.vms[a.VM].born, start: &a, fence: a.Order.Fence}
		switch rapid.SampledFrom([]string{"done", "lost", "late"}).Draw(t, "first attempt") {
		case "done":
			_, _ = m.execute(o)
		case "late":
			m.delayed = append(m.delayed, o)
		}
		for range rapid.IntRange(0, 2).Draw(t, "events between") {
			m.end(t)
			m.poll(t)
			m.flush(t)
		}
		refusal, err := site.Accepted, errNoAnswer
		if a.Dispatch.Attempt() {
			refusal, err = m.execute(o)
		}
		a.Repeated = true
		m.s.HandleStart(m.now, &a, refusal, err)
		return
	}
	t.Skip("no pending start")
}

func (m *model) deliverDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed order")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late order")
	o := m.delayed[i]
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	_, _ = m.execute(o)
}

// poll sends a status poll to a VM; the reply may be lost.
func (m *model) poll(t *rapid.T) {
	id := rapid.SampledFrom(m.vmIDs()).Draw(t, "vm")
	v := m.vms[id]
	nextPoll, ok := m.s.NextPoll(m.now, id, m.verify[id])
	if !ok {
		return
	}
	pollStart := m.now
	m.advance(10 * time.Millisecond)
	if !v.up || m.cut[id] {
		m.verify[id] = true
		m.s.HandlePollFailure(m.now, id, errors.New("no answer"))
		return
	}
	if !m.carryOutPoll(v, &nextPoll) {
		m.s.HandlePollFailure(m.now, id, site.ErrFenced)
		return
	}
	status := m.status(v, nextPoll)
	if rapid.IntRange(0, 5).Draw(t, "lost look") == 0 {
		m.verify[id] = true
		m.s.HandlePollFailure(m.now, id, errors.New("no answer"))
		return
	}
	m.verify[id] = false
	m.s.HandlePoll(m.now, id, pollStart, status)
}

// status returns what a VM answers to a status poll.
func (m *model) status(v *simVM, p site.StatusPoll) *site.VMStatus {
	status := &site.VMStatus{ClockMS: v.clock(m.now), Born: v.born, Answers: p}
	for name, run := range v.running {
		status.Running = append(status.Running, site.Run{Task: name, Run: run, Percent: 50})
	}
	status.Ended = append(status.Ended, v.ends[:min(len(v.ends), maxSimEnds)]...)
	status.EndsCut = len(status.Ended) == maxSimEnds
	return status
}

// carryOutPoll carries a status poll out, unless the VM has seen a higher fencing token.
func (m *model) carryOutPoll(v *simVM, p *site.StatusPoll) bool {
	if p.Fence < v.fence {
		return false
	}
	v.fence = p.Fence
	v.renew(m.now, min(p.UntilMS, v.clock(m.now)+testPolicy().MaxLease.Milliseconds()))
	for len(v.ends) > 0 && v.ends[0].Sequence <= p.AckCursor {
		m.acknowledge(v.ends[0])
		v.ends = v.ends[1:]
	}
	return true
}

// latePoll is a status poll that was not answered and may still be carried out.
type latePoll struct {
	vm     string
	sentAt time.Time
	poll   site.StatusPoll
}

// sendLatePoll sends a status poll that is not answered; it is carried out later.
func (m *model) sendLatePoll(t *rapid.T) {
	id := rapid.SampledFrom(m.vmIDs()).Draw(t, "vm")
	p, ok := m.s.NextPoll(m.now, id, m.verify[id])
	if !ok {
		return
	}
	m.latePolls = append(m.latePolls, latePoll{id, m.now, p})
	m.advance(10 * time.Millisecond)
	m.verify[id] = true
	m.s.HandlePollFailure(m.now, id, errors.New("no answer"))
}

// comeBackBeforeLatePoll has a VM crash after a late poll was sent to it, come back under its ID, and run tasks of which
// one is done when the poll is carried out.
func (m *model) comeBackBeforeLatePoll(t *rapid.T) {
	m.round(t)
	sent := len(m.latePolls)
	m.sendLatePoll(t)
	if len(m.latePolls) == sent {
		return
	}
	p := m.latePolls[sent]
	m.vms[p.vm].up, m.verify[p.vm] = false, true
	m.earlier[p.vm] = m.vms[p.vm].born
	m.boot(p.vm)
	m.sendVMList()
	for range rapid.IntRange(1, 3).Draw(t, "rounds") {
		m.round(t)
	}
	v := m.vms[p.vm]
	for _, task := range slices.Sorted(maps.Keys(v.running)) {
		m.done[task] = true
		v.finish(task, site.Done)
		break
	}
	m.latePolls = slices.Delete(m.latePolls, sent, sent+1)
	if m.now.Sub(p.sentAt) <= testPolicy().LateCall {
		m.carryOutPoll(v, &p.poll)
	}
}

// deliverLatePoll carries a late poll out, in whichever life its VM is.
func (m *model) deliverLatePoll(t *rapid.T) {
	m.latePolls = slices.DeleteFunc(m.latePolls, func(p latePoll) bool { return m.now.Sub(p.sentAt) > testPolicy().LateCall })
	if len(m.latePolls) == 0 {
		t.Skip("no late poll")
	}
	i := rapid.IntRange(0, len(m.latePolls)-1).Draw(t, "late poll")
	p := m.latePolls[i]
	m.latePolls = slices.Delete(m.latePolls, i, i+1)
	if v := m.vms[p.vm]; v.up {
		m.carryOutPoll(v, &p.poll)
	}
}

func (m *model) acknowledge(e site.RunEnd) {
	switch e.How {
	case site.Done:
		m.ackedDone[e.Task] = true
	case site.Failed:
		m.ackedFailures[e.Task]++
		if id, err := jobs.ParseTaskID(e.Task); err != nil || m.ackedFailures[e.Task] > m.jobs[id.Job].MaxAttempts {
			m.t.Fatalf("%s: %d failures acknowledged", e.Task, m.ackedFailures[e.Task])
		}
	}
}

func (m *model) end(t *rapid.T) {
	var runs []string
	for _, id := range m.vmIDs() {
		for name := range m.vms[id].running {
			if m.vms[id].up {
				runs = append(runs, id+" "+name)
			}
		}
	}
	if len(runs) == 0 {
		t.Skip("no run")
	}
	sort.Strings(runs)
	var id, task string
	if _, err := fmt.Sscan(rapid.SampledFrom(runs).Draw(t, "run"), &id, &task); err != nil {
		t.Fatal(err)
	}
	how := rapid.SampledFrom([]site.How{site.Done, site.Done, site.Done, site.Failed}).Draw(t, "how")
	if how == site.Done {
		m.done[task] = true
	}
	m.vms[id].finish(task, how)
}

// checkUsage checks that the usage of each account is what its runs reserve.
func (m *model) checkUsage(t *rapid.T) {
	used := map[string]site.Resources{}
	for _, v := range m.s.vms {
		for _, r := range v.runs {
			if account := r.task.job.Account; account != "" {
				u := used[account]
				add(&u, r.step(), 1)
				used[account] = u
			}
		}
	}
	assert.Equal(t, len(m.s.quotas.used), len(used))
	for account, u := range used {
		assert.Equal(t, *m.s.quotas.used[account], u, account)
	}
}
