package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestGangStartsFromOneCheckpoint guards against a gang whose tasks start from different checkpoints and so never
// work together.
func TestGangStartsFromOneCheckpoint(t *testing.T) {
	type play struct {
		*fixture
		runs []StartRun // one on each VM
	}
	running := func(p *play, i, ms, percent int, saved string) {
		p.poll(ms, p.runs[i].VM, site.VMStatus{Running: []site.Run{{Task: p.runs[i].Order.Task, Run: p.runs[i].Order.Run, Percent: percent, Checkpoint: saved}}})
	}
	ended := func(p *play, i, ms int, how site.How, saved string) {
		e := end(1, p.runs[i], how)
		e.Checkpoint = saved
		p.poll(ms, p.runs[i].VM, site.VMStatus{Ended: []site.RunEnd{e}})
	}
	// crash crashes the third task's VM, by which the others end as broken.
	crash := func(p *play, saved0, saved1 string) {
		p.s.EndVM(at(200), site.Incarnation{VM: p.runs[2].VM, Born: 1})
		ended(p, 0, 210, site.Broken, saved0)
		ended(p, 1, 210, site.Broken, saved1)
	}
	tests := []struct {
		name string
		play func(p *play)
		want string
	}{
		{"a VM crashes", func(p *play) {
			running(p, 0, 100, 20, "1")
			running(p, 1, 100, 20, "1")
			running(p, 2, 100, 20, "1")
			crash(p, "2", "2")
		}, "2"},
		{"one task has saved nothing yet", func(p *play) {
			running(p, 0, 100, 20, "1")
			crash(p, "", "")
		}, "1"},
		{"none has saved anything", func(p *play) {
			crash(p, "", "")
		}, ""},
		{"one task is stopped", func(p *play) {
			ended(p, 0, 100, site.Stopped, "2b")
			ended(p, 1, 110, site.Broken, "2")
			ended(p, 2, 120, site.Broken, "2")
		}, "2b"},
		{"an older answer comes late", func(p *play) {
			running(p, 0, 100, 40, "2")
			running(p, 1, 110, 20, "1")
			ended(p, 0, 200, site.Broken, "")
			ended(p, 1, 200, site.Broken, "")
			p.s.EndVM(at(200), site.Incarnation{VM: p.runs[2].VM, Born: 1})
		}, "2"},
		{"takeover", func(p *play) {
			running(p, 0, 100, 40, "2")
			running(p, 1, 100, 40, "2")
			p.s.jobs[jobID].dirty = true
			p.flush(110)
			p.takeover(120, testVM("a"), testVM("b"), testVM("c"), testVM("d"))
			p.poll(130, "d", site.VMStatus{})
			ended(p, 0, 130, site.Broken, "3")
			ended(p, 1, 130, site.Broken, "2")
			ended(p, 2, 130, site.Broken, "")
		}, "2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t, testVM("a"), testVM("b"), testVM("c"), testVM("d"))
			r.submit(0, testJob(jobID, jobs.Step{Count: 3, CPU: 5000, EstimateMS: 6000, Gang: true, Saves: true, PerVM: 1}))
			p := &play{fixture: r, runs: r.starts(10)}
			assert.Equal(t, len(p.runs), 3)
			tt.play(p)
			r.flush(250)
			r.poll(260, "d", site.VMStatus{})
			again := r.starts(1500)
			for ms := 1600; len(again) == 0 && ms < 20_000; ms += 500 {
				for _, v := range []string{"a", "b", "c", "d"} {
					if x := r.s.vms[v]; x != nil && !x.ended {
						r.poll(ms, v, site.VMStatus{})
					}
				}
				r.flush(ms)
				again = r.starts(ms)
			}
			assert.Equal(t, len(again), 3)
			for _, x := range again {
				assert.Equal(t, x.Order.Checkpoint, tt.want)
			}
		})
	}
}

// TestStoredCheckpointsOfGangAreUnified guards against different checkpoints that an earlier version has stored for
// the tasks of a gang.
func TestStoredCheckpointsOfGangAreUnified(t *testing.T) {
	r := newFixture(t, testVM("a"))
	r.submit(0, testJob(jobID, jobs.Step{Count: 2, CPU: 1000, EstimateMS: 6000, Gang: true, Saves: true}))
	r.starts(10)
	for i, saved := range []string{"2", "1"} {
		r.s.jobs[jobID].findTask(jobs.TaskID{Job: jobID, Index: i}).checkpoint = saved
	}
	r.s.jobs[jobID].dirty = true
	r.flush(20)
	r.takeover(30, testVM("a"))
	r.poll(40, "a", site.VMStatus{})
	starts := r.starts(50)
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Order.Checkpoint, starts[1].Order.Checkpoint)
	assert.Assert(t, starts[0].Order.Checkpoint != "")
}
