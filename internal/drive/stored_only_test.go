package drive

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// askAll asks every entry for the jobs, keeps in shown when each was first shown as completed, and checks that the job
// log holds that.
func (c *cluster) askAll(ids []string, shown map[string]time.Time) {
	c.t.Helper()
	for i, n := range c.nodes {
		for _, id := range ids {
			if c.state(i, id) != jobs.Completed.String() {
				continue
			}
			p, err := jobs.DecodeProgress(c.emulator.Store.JobRecord(n.partitionOf("alpha"), "p/"+id))
			assert.NilError(c.t, err, "job %s is shown as completed, and the job log holds nothing of its progress", id)
			assert.Equal(c.t, p.State, jobs.Completed, "job %s is shown as completed", id)
			if shown[id].IsZero() {
				shown[id] = time.Now()
			}
		}
	}
}

// outage is what the rows of TestNoStartAfterJobIsShownAsCompleted have done to the log and to its users.
type outage struct {
	*cluster
	owner int
}

func (o *outage) killAll() {
	for i := range o.nodes {
		o.kill(i)
	}
}

func (o *outage) startAll() {
	for i := range o.nodes {
		o.run(i, o.nodes[i].settings)
	}
}

func (o *outage) crashVMs() {
	for _, vm := range o.emulator.VMs() {
		o.emulator.Crash(vm)
	}
}

func (o *outage) logDown(down bool) {
	o.emulator.Store.SetFaults(func(s *emul.Store) { s.Down = down })
}

// TestNoStartAfterJobIsShownAsCompleted guards against tasks that start again after callers were shown their job as
// completed: all ends of its runs are reported while the log stores nothing, and what knows of them is lost.
func TestNoStartAfterJobIsShownAsCompleted(t *testing.T) {
	down := func(o *outage) { o.logDown(true) }
	tests := []struct {
		name  string
		begin func(o *outage) // of the outage
		lose  func(o *outage)
	}{
		{"all entries and the VMs", down, func(o *outage) { o.killAll(); o.crashVMs(); o.startAll() }},
		{"all entries, the VMs stay", down, func(o *outage) { o.killAll(); o.startAll() }},
		{"the owner and the VMs", down, func(o *outage) { o.kill(o.owner); o.crashVMs(); o.run(o.owner, o.nodes[o.owner].settings) }},
		{"all entries but one, and the VMs", down, func(o *outage) {
			for i := range o.nodes {
				if i != (o.owner+1)%len(o.nodes) {
					o.kill(i)
					defer o.run(i, o.nodes[i].settings)
				}
			}
			o.crashVMs()
		}},
		{"all entries are stopped in turn, and the VMs", down, func(o *outage) {
			o.crashVMs()
			for i := range o.nodes {
				o.restart((o.owner + i) % len(o.nodes))
			}
		}},
		{"the VMs", down, func(o *outage) { o.crashVMs() }},
		{"the VMs, with calls cut off", func(o *outage) {
			o.emulator.Store.SetFaults(func(s *emul.Store) { s.Silent = true })
		}, func(o *outage) {
			o.crashVMs()
			o.emulator.Store.SetFaults(func(s *emul.Store) { s.Silent = false })
		}},
		{"an owner that the log alone turns away, and the VMs", func(o *outage) {
			o.emulator.CutOff(o.nodes[o.owner].settings.Entry)
		}, func(o *outage) {
			o.crashVMs()
			o.kill(o.owner)
			o.emulator.CutOff()
			o.run(o.owner, o.nodes[o.owner].settings)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3, map[string]int{"alpha": 2})
			ids := jobIDs(2)
			for _, id := range ids {
				c.submit(0, id, twoSteps)
			}
			o := &outage{cluster: c, owner: c.owner()}
			c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
			tt.begin(o)
			shown := map[string]time.Time{}
			c.awaitEnds(6 * len(ids))
			for range 3 {
				c.askAll(ids, shown)
				time.Sleep(100 * time.Millisecond)
			}
			tt.lose(o)
			assert.NilError(t, c.emulator.Repair())
			o.logDown(false)
			for _, id := range ids {
				c.await("job "+id+" completed", func() bool {
					c.askAll(ids, shown)
					return !shown[id].IsZero() && c.state((o.owner+1)%len(c.nodes), id) == "completed"
				})
			}
			for _, r := range c.emulator.Ledger.Runs() {
				shownAt := shown[r.Task[:16]]
				assert.Assert(t, !r.Start.After(shownAt), "run %d of %s starts %s after its job was shown as completed", r.Run, r.Task, r.Start.Sub(shownAt))
			}
			assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
		})
	}
}

// awaitEnds waits until as many tasks have ended as done.
func (c *cluster) awaitEnds(tasks int) {
	c.t.Helper()
	c.await("all tasks end", func() bool {
		done := map[string]bool{}
		for _, r := range c.emulator.Ledger.Runs() {
			if r.How == "done" {
				done[r.Task] = true
			}
		}
		return len(done) == tasks
	})
}

// TestCompletedJobIsShownOnceStored guards against a job that is shown as completed while the log does not hold that,
// whatever number of entries knows of it, and against callers that see it as running long after the log is back.
func TestCompletedJobIsShownOnceStored(t *testing.T) {
	const prompt = 2 * time.Second
	tests := []struct {
		name    string
		entries int
		fail    func(s *emul.Store, on bool)
	}{
		{"refuses, one entry", 1, func(s *emul.Store, on bool) { s.Down = on }},
		{"refuses, three entries", 3, func(s *emul.Store, on bool) { s.Down = on }},
		{"is silent", 3, func(s *emul.Store, on bool) { s.Silent = on }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, tt.entries, map[string]int{"alpha": 2})
			id := jobIDs(1)[0]
			c.submit(0, id, twoSteps)
			c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
			c.emulator.Store.SetFaults(func(s *emul.Store) { tt.fail(s, true) })
			c.awaitEnds(6)
			owner := c.owner()
			for range 5 {
				assert.Equal(t, c.state(owner, id), "running")
				time.Sleep(100 * time.Millisecond)
			}
			began := time.Now()
			c.emulator.Store.SetFaults(func(s *emul.Store) { tt.fail(s, false) })
			c.awaitCompleted(owner, id)
			assert.Assert(t, time.Since(began) < prompt, "shown %s after the log is back", time.Since(began))
		})
	}
}
