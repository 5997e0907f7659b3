package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	gangTimeout = 3 * time.Second
	saveEvery   = 500 * time.Millisecond // checkpointIntervalS
	restoreTime = 600 * time.Millisecond
)

// gang is one run of the members of a gang.
type gang struct {
	members []gangMember
	begun   bool
	ended   bool
}

type gangMember struct {
	w *worker
	r *run
}

// key names the gang of a run: its step and the number of the run.
func (r *run) key() string {
	return r.task[:strings.LastIndex(r.task, ".")] + "/" + strconv.FormatInt(r.number, 10)
}

// progress returns the work that a run has done, with what its checkpoint stands for.
func (r *run) progress(now time.Time) time.Duration {
	base, restore := time.Duration(0), time.Duration(0)
	if len(r.from) == 16 {
		if ms, err := strconv.ParseInt(r.from[:8], 16, 64); err == nil {
			base, restore = time.Duration(ms)*time.Millisecond, restoreTime
		}
	}
	if r.worksAt.IsZero() {
		return base
	}
	return base + max(now.Sub(r.worksAt)-restore, 0)
}

// value returns the checkpoint of a run: its progress and a part of the job's ID. Members of a gang with equal
// progress have equal values.
func (r *run) value(now time.Time, stopped bool) string {
	if !r.unit.saves {
		return ""
	}
	p := r.progress(now)
	if !stopped {
		p = p / saveEvery * saveEvery
	}
	if p < saveEvery {
		return r.from
	}
	return fmt.Sprintf("%08x%s", p.Milliseconds(), r.task[8:16])
}

// gather adds a run to its gang. The members work from the moment when all are present, if they carry the same
// value.
func (f *floor) gather(w *worker, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangs[r.key()]
	if g == nil {
		g = &gang{}
		f.gangs[r.key()] = g
	}
	g.members = append(g.members, gangMember{w, r})
	if g.begun || g.ended || len(g.members) < r.unit.gang {
		return
	}
	values := []string{}
	same := true
	for _, m := range g.members {
		values = append(values, fmt.Sprintf("%q", m.r.from))
		same = same && m.r.from == r.from
	}
	if !same {
		f.rec.add("gang %s: all members are present, but carry different values: %s", r.key(), strings.Join(values, " "))
		return
	}
	f.rec.add("gang %s works, from %s", r.key(), values[0])
	g.begun = true
	now := time.Now()
	for _, m := range g.members {
		m.r.worksAt = now
		m.r.timer.Stop()
	}
	left := r.unit.work - r.progress(now)
	if r.from != "" {
		left += restoreTime
	}
	time.AfterFunc(left, func() { f.finishGang(g) })
}

// finishGang ends all members of a gang as done, unless it has broken.
func (f *floor) finishGang(g *gang) {
	f.mu.Lock()
	ended := g.ended
	g.ended = true
	members := g.members
	f.mu.Unlock()
	if ended {
		return
	}
	for _, m := range members {
		m.w.finish(m.r, "done")
	}
}

// alone ends a run that has waited for the others of its gang.
func (f *floor) alone(w *worker, r *run) {
	f.mu.Lock()
	begun := f.gangs[r.key()] != nil && f.gangs[r.key()].begun
	f.mu.Unlock()
	if !begun {
		w.finish(r, "alone")
	}
}

// disband breaks the other members of a gang after one has ended otherwise than as done.
func (f *floor) disband(r *run, how string) {
	f.mu.Lock()
	g := f.gangs[r.key()]
	if g == nil || g.ended || how == "done" || how == "broken" {
		f.mu.Unlock()
		return
	}
	g.ended = true
	members := g.members
	f.mu.Unlock()
	for _, m := range members {
		if m.r != r {
			m.w.finish(m.r, "broken")
		}
	}
}

// playGang runs a gang that saves its progress. The worker of one member crashes once.
func playGang(s *scene) ([]string, error) {
	const (
		members = 3
		workers = 8 // one of them is a share of 0.125
		budget  = 3 * time.Second
		work    = 6 * time.Second
		down    = 4500 * time.Millisecond
		contact = 3 * time.Second // contactMs
		job     = "5c0e7a21d94b36f8"
	)
	if err := s.set(3, "rest", map[string]bool{"alpha": true}); err != nil {
		return nil, err
	}
	s.store.put("keyed.op", "config", operatorConfig(3, map[string]string{"qa": "alpha", "qs": "alpha"}, map[string]bool{"alpha": true}, "rest"))
	for i := range workers {
		if err := s.cloud.add(fmt.Sprintf("m%d", i+1), "alpha", 64_000, 262_144); err != nil {
			return nil, err
		}
	}
	if err := s.begin(s.entries...); err != nil {
		return nil, err
	}
	s.floor.setUnits("a000000000000001", unit{cpu: 500, mem: 256, lasts: true})
	standing := map[string]any{"spec": "cue", "steps": []map[string]any{{"count": workers, "cpu": 500, "memMb": 256, "estimateMs": 700, "longRunning": true, "antiAffinity": 1}}}
	if !s.submit("/qs/a000000000000001", standing, budget) {
		return nil, errNotAccepted
	}
	if !await(20*time.Second, func() bool { return s.floor.running("a000000000000001") == workers }) {
		return nil, fmt.Errorf("the standing work units run on %d of %d workers", s.floor.running("a000000000000001"), workers)
	}
	s.floor.setUnits(job, unit{cpu: 8000, mem: 1024, work: work, saves: true, gang: members})
	if !s.submit("/qa/"+job, map[string]any{"spec": "cue", "steps": []map[string]any{{
		"count": members, "cpu": 8000, "memMb": 1024, "estimateMs": work.Milliseconds(), "gang": true, "savesProgress": true, "antiAffinity": 1,
	}}}, budget) {
		return nil, errNotAccepted
	}
	var calm time.Time
	if s.trouble {
		const crashAt = 2520 * time.Millisecond // just after a checkpoint
		if !await(20*time.Second, func() bool { return s.floor.worked(job) >= crashAt-200*time.Millisecond }) {
			return nil, fmt.Errorf("the gang did not begin to work")
		}
		time.Sleep(max(crashAt-s.floor.worked(job), 0))
		for _, w := range s.cloud.workers() {
			if w.holds(job) {
				s.rec.say("the worker %s crashes; its machine is back after %s", w.id, down)
				s.cloud.crash(w, down)
				break
			}
		}
		calm = time.Now().Add(down + contact)
	}
	done := await(45*time.Second, func() bool {
		time.Sleep(450 * time.Millisecond)
		status, text := s.entries[1].call(http.MethodGet, "/qa/"+job, nil, budget)
		return status == http.StatusOK && contains(text, "completed")
	})
	var breaks []string
	for _, r := range s.floor.snapshot() {
		if r.how == "alone" && r.started.After(calm) {
			breaks = append(breaks, fmt.Sprintf("%s run %d on %s ended alone at %d ms, started at %d ms from %q, more than %s after the worker was back", r.task, r.number, r.worker, s.rec.ms(r.ended), s.rec.ms(r.started), r.from, contact))
		}
	}
	if !done {
		s.rec.say("the job was not completed in 45 s; its work takes %s", work)
	}
	return breaks, nil
}

// worked returns how long the gang of a job has worked, 0 if none works.
func (f *floor) worked(job string) time.Duration {
	for _, r := range f.snapshot() {
		if strings.HasPrefix(r.task, job+".") && r.ended.IsZero() && !r.worksAt.IsZero() {
			return time.Since(r.worksAt)
		}
	}
	return 0
}

// holds reports whether a work unit of a job runs on the worker.
func (w *worker) holds(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}
