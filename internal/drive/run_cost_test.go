package drive

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// The peak of a pool of short tasks, and what its owner has for it.
const (
	peakVMs        = 480
	peakTasksPerVM = 7
	peakTaskTime   = 800 * time.Millisecond
	ownerCores     = 0.8
	// costShare is the part of the owner's processor time that calls to VMs, the scheduler and the job log may take. The rest is for
	// callers, other entries, collection and entries of half the speed.
	costShare = 0.5
	// allocationTime is what an allocation takes with its collection, and allocationShare the part of a run's time that
	// allocations may take.
	allocationTime  = 250 * time.Nanosecond
	allocationShare = 0.2
)

// maxRunTime is the longest processor time for a run with which the owner keeps up with its full pool.
func maxRunTime() time.Duration {
	runsPerSecond := peakVMs * peakTasksPerVM / peakTaskTime.Seconds()
	return time.Duration(costShare * ownerCores / runsPerSecond * float64(time.Second))
}

// TestAllocationsOfRun guards against an owner that has no processor time left in the peak of its pool. Allocations stand
// for the processor time, since they repeat.
func TestAllocationsOfRun(t *testing.T) {
	p := newPeakPlay(t)
	p.play(40) // until the pool is full and its lists have their lengths
	var before, after runtime.MemStats
	ended := p.ended
	runtime.ReadMemStats(&before)
	p.play(80)
	runtime.ReadMemStats(&after)
	perRun := float64(after.Mallocs-before.Mallocs) / float64(p.ended-ended)
	limit := allocationShare * float64(maxRunTime()) / float64(allocationTime)
	t.Logf("%.1f allocations a run of %d runs, limit %.1f", perRun, p.ended-ended, limit)
	assert.Assert(t, p.ended-ended > 2*peakVMs*peakTasksPerVM, "%d runs have ended", p.ended-ended)
	assert.Assert(t, perRun <= limit, "%.1f allocations a run, the limit is %.1f", perRun, limit)
}

// BenchmarkRun measures the processor time of an owner for each run, by kind of work.
func BenchmarkRun(b *testing.B) {
	p := newPeakPlay(b)
	p.play(40)
	p.times = [costKinds]time.Duration{}
	ended := p.ended
	b.ResetTimer()
	for p.ended-ended < b.N {
		p.play(1)
	}
	runs := float64(p.ended - ended)
	total := time.Duration(0)
	for i, name := range costNames {
		total += p.times[i]
		b.ReportMetric(float64(p.times[i].Nanoseconds())/runs, name+"-ns/run")
	}
	b.ReportMetric(float64(total.Nanoseconds())/runs, "ns/run")
	b.ReportMetric(float64(maxRunTime().Nanoseconds()), "limit-ns/run")
}

// Kinds of work of a peak play. Log lines are part of the others.
const (
	costStart = iota
	costPoll
	costStatus
	costRound
	costRecord
	costSubmit
	costKinds
)

var costNames = [costKinds]string{"start", "poll", "status", "round", "record", "submit"}

// peakPlay plays the peak of one pool in simulated time: a scheduler and its calls over loopback, to VMs and a job log
// that answer with prepared texts.
type peakPlay struct {
	t      testing.TB
	s      *sched.Scheduler
	server *preparedServer
	vm     *platform.VMLink // of all VMs
	log    *platform.Log
	now    time.Time
	seq    int64
	jobs   int
	vms    []*playedVM
	byID   map[string]*playedVM
	ended  int // runs
	times  [costKinds]time.Duration
}

// playedVM is a VM of a peak play.
type playedVM struct {
	id       string
	running  []playedRun
	ends     []playedRun // not acknowledged
	sequence int64       // of the last end
	polledAt time.Time
}

type playedRun struct {
	task     string
	run      int64
	endsAt   time.Time
	sequence int64
}

const (
	playStep     = 25 * time.Millisecond // a round of decisions of a full owner
	playInterval = 140 * time.Millisecond
)

func newPeakPlay(t testing.TB) *peakPlay {
	p := &peakPlay{t: t, server: newPreparedServer(t), now: time.UnixMilli(1_700_000_000_000), byID: map[string]*playedVM{}}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(io.Discard)
	p.s = sched.New(1, sched.DefaultPolicy(10*time.Second, 400*time.Millisecond, 2*time.Minute), logrus.NewEntry(log))
	p.vm = platform.NewVMLink(p.server.address, "i-1")
	p.log = platform.NewLog(&site.Settings{Log: site.LogSettings{Address: p.server.address}})
	t.Cleanup(func() {
		p.vm.Close()
		p.log.Close()
	})
	var list []site.VM
	for i := range peakVMs {
		v := &playedVM{id: fmt.Sprintf("i-%08x", i)}
		p.vms, p.byID[v.id] = append(p.vms, v), v
		list = append(list, site.VM{ID: v.id, Born: 1, Pool: "pool", Address: "127.0.0.1:1", CPU: 64000, MemMB: 262144, Labels: []string{"a", "r1-1"}})
	}
	p.s.SetVMs(p.now, list)
	for _, v := range p.vms {
		p.poll(v)
	}
	p.flush()
	return p
}

// play plays a number of steps.
func (p *peakPlay) play(steps int) {
	for range steps {
		p.now = p.now.Add(playStep)
		p.timed(costSubmit, p.submit)
		for _, v := range p.vms {
			v.endRuns(p)
			if len(v.ends) > 0 && p.now.Sub(v.polledAt) >= playInterval {
				p.poll(v)
			}
		}
		var actions []sched.Action
		p.timed(costRound, func() { actions = p.s.Decide(p.now) })
		for _, a := range actions {
			if start, ok := a.(sched.StartRun); ok {
				p.start(start)
			}
		}
		p.timed(costRecord, p.flush)
	}
}

func (p *peakPlay) timed(kind int, f func()) {
	began := time.Now()
	f()
	p.times[kind] += time.Since(began)
}

// submit submits jobs while the queue is short. Admission accepts those that it expects to be in time.
func (p *peakPlay) submit() {
	for range 12 {
		j := &jobs.Job{
			ID: fmt.Sprintf("%016x", p.jobs), Queue: "q", Pool: "pool", Spec: "s", MaxAttempts: 3, Stretch: 4, TargetMS: 3000, SubmittedMS: p.now.UnixMilli(),
			Steps: []jobs.Step{{Count: 8, CPU: 8900, MemMB: 33000, EstimateMS: peakTaskTime.Milliseconds()}},
		}
		if p.jobs++; p.jobs%2 == 0 {
			j.Steps = append(j.Steps, jobs.Step{Count: 8, CPU: 8900, MemMB: 33000, EstimateMS: peakTaskTime.Milliseconds(), After: []int{0}})
		}
		p.s.Submit(p.now, j)
	}
}

func (p *peakPlay) start(a sched.StartRun) {
	began := time.Now()
	p.server.prepare(`{"clockMs":`, strconv.FormatInt(p.clock(), 10), `}`)
	refusal, clockMS, err := p.vm.Start(p.t.Context(), &a.Order, time.Second)
	a.ClockMS = clockMS
	p.s.HandleStart(p.now, &a, refusal, err)
	p.times[costStart] += time.Since(began)
	assert.NilError(p.t, err)
	v := p.byID[a.VM]
	spread := time.Duration(len(v.running)*7+p.ended%300) * time.Millisecond
	v.running = append(v.running, playedRun{task: a.Order.Task, run: a.Order.Run, endsAt: p.now.Add(peakTaskTime - 150*time.Millisecond + spread)})
}

func (p *peakPlay) poll(v *playedVM) {
	poll, ok := p.s.NextPoll(p.now, v.id, false)
	assert.Assert(p.t, ok)
	v.ends = slices.DeleteFunc(v.ends, func(r playedRun) bool { return r.sequence <= poll.AckCursor })
	v.polledAt = p.now
	p.server.prepareStatus(p.clock(), v, p.now)
	began := time.Now()
	status, err := p.vm.Poll(p.t.Context(), &poll, time.Second)
	p.times[costPoll] += time.Since(began)
	assert.NilError(p.t, err)
	p.timed(costStatus, func() { p.s.HandlePoll(p.now, v.id, p.now, status) })
}

func (p *peakPlay) flush() {
	f, err := p.s.Flush(p.now, 1<<21)
	assert.NilError(p.t, err)
	if f == nil {
		return
	}
	if len(f.Records) > 0 {
		p.server.prepare(`{"offset":0,"end":1}`)
		err := p.log.AppendJobs(p.t.Context(), &site.Append{Epoch: 1, Sequence: p.seq, ExpectEnd: -1, Records: f.Records}, time.Second)
		assert.NilError(p.t, err)
		p.seq++
	}
	p.s.Flushed(f)
}

// clock is the reading of the clocks of all VMs.
func (p *peakPlay) clock() int64 { return p.now.UnixMilli() - 1_699_999_000_000 }

// endRuns ends the runs whose time is over.
func (v *playedVM) endRuns(p *peakPlay) {
	v.running = slices.DeleteFunc(v.running, func(r playedRun) bool {
		if r.endsAt.After(p.now) {
			return false
		}
		v.sequence++
		r.sequence = v.sequence
		v.ends = append(v.ends, r)
		p.ended++
		return true
	})
}

// preparedServer answers each request with the text that was prepared for it, on any number of connections. It allocates
// nothing for a request.
type preparedServer struct {
	address string
	body    []byte
	reply   chan []byte
	buf     []byte
}

func newPreparedServer(t testing.TB) *preparedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &preparedServer{address: ln.Addr().String(), reply: make(chan []byte, 1)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve answers requests, which have a Content-Length, until the connection ends.
func (s *preparedServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReaderSize(conn, 1<<16)
	name := []byte("Content-Length: ")
	for {
		length := 0
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			if rest, ok := bytes.CutPrefix(line, name); ok {
				for _, c := range bytes.TrimSpace(rest) {
					length = 10*length + int(c-'0')
				}
			}
			if len(line) <= 2 {
				break
			}
		}
		if _, err := r.Discard(length); err != nil {
			return
		}
		if _, err := conn.Write(<-s.reply); err != nil {
			return
		}
	}
}

// prepare sets the body of the next response.
func (s *preparedServer) prepare(parts ...string) {
	s.body = s.body[:0]
	for _, part := range parts {
		s.body = append(s.body, part...)
	}
	s.send()
}

func (s *preparedServer) send() {
	s.buf = append(s.buf[:0], "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "...)
	s.buf = strconv.AppendInt(s.buf, int64(len(s.body)), 10)
	s.buf = append(s.buf, "\r\n\r\n"...)
	s.buf = append(s.buf, s.body...)
	s.reply <- s.buf
}

// prepareStatus sets the status of a VM as the body of the next response.
func (s *preparedServer) prepareStatus(clock int64, v *playedVM, now time.Time) {
	b := strconv.AppendInt(append(s.body[:0], `{"clockMs":`...), clock, 10)
	b = append(b, `,"born":1,"running":[`...)
	for i, r := range v.running {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `["`...), r.task...), `",`...)
		b = strconv.AppendInt(b, r.run, 10)
		b = append(b, `,"",`...)
		b = strconv.AppendInt(b, 100-min(int64(r.endsAt.Sub(now)/(peakTaskTime/99)), 99), 10)
		b = append(b, `,8900]`...)
	}
	b = append(b, `],"ended":[`...)
	for i, r := range v.ends {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(append(b, '['), r.sequence, 10)
		b = append(append(append(b, `,"`...), r.task...), `",`...)
		b = strconv.AppendInt(b, r.run, 10)
		b = append(b, `,"done",""]`...)
	}
	s.body = append(b, `]}`...)
	s.send()
}
