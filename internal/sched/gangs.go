package sched

import (
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// placeGang starts all tasks of a gang at once or none. It tries single racks first if the
// step requires one rack or prefers one.
func (s *Scheduler) placeGang(now time.Time, st *step, cands []*candidate) {
	var number int64
	for _, t := range st.tasks {
		if !s.startable(now, t) {
			return
		}
		number = max(number, s.nextRunNumber(t))
	}
	if !s.quotaAllows(now, st.tasks[0], len(st.tasks)) {
		return
	}
	if st.OneRack || st.Rack != "" {
		for _, rack := range racks(cands, st.Rack) {
			if s.startGang(now, st, number, onRack(cands, rack)) {
				return
			}
		}
		if st.OneRack {
			return
		}
	}
	if !s.startGang(now, st, number, cands) {
		s.recordHeld(now, st.tasks[0], cands)
	}
}

// gangProgress is how far a gang was when one of its tasks saved the checkpoint that all of them carry.
type gangProgress struct {
	run     int64
	percent int // of the work; endedPercent or stoppedPercent at the end of a run
}

const (
	endedPercent   = 101 // a run lists its last checkpoint at its end
	stoppedPercent = 102 // a run that is stopped makes a new one
)

// endProgress returns the progress with which the checkpoint at the end of a run counts.
func endProgress(how site.How) int {
	if how == site.Stopped {
		return stoppedPercent
	}
	return endedPercent
}

// keepGangCheckpoint gives all tasks of a gang the checkpoint of one of them, which is valid for all, unless the
// gang has one of further progress.
func (st *step) keepGangCheckpoint(run int64, percent int, checkpoint string) {
	x := gangProgress{run, percent}
	if x.run < st.saved.run || (x.run == st.saved.run && x.percent < st.saved.percent) {
		return
	}
	st.saved = x
	for _, t := range st.tasks {
		t.checkpoint = checkpoint
	}
}

// unifyCheckpoints gives all tasks of each gang of a restored job one checkpoint. Earlier versions stored those
// of the tasks apart.
func (s *Scheduler) unifyCheckpoints(j *job) {
	for _, o := range j.open {
		for _, st := range o.steps {
			if !st.Gang {
				continue
			}
			values := map[string]bool{}
			one := ""
			for _, t := range st.tasks {
				values[t.checkpoint] = true
				one = max(one, t.checkpoint)
			}
			if len(values) < 2 {
				continue
			}
			s.log.WithFields(logrus.Fields{"job": j.ID, "step": st.number, "checkpoint": one}).Info("tasks of a gang had different checkpoints; all carry one of them now")
			for _, t := range st.tasks {
				t.checkpoint = one
			}
		}
	}
}

// racks returns the candidates' racks, the preferred one first.
func racks(cands []*candidate, preferred string) []string {
	var list []string
	seen := map[string]bool{}
	for _, c := range cands {
		if r := c.vm.rack(); !seen[r] {
			seen[r] = true
			list = append(list, r)
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i] == preferred && list[k] != preferred })
	return list
}

func onRack(cands []*candidate, rack string) []*candidate {
	var list []*candidate
	for _, c := range cands {
		if c.vm.rack() == rack {
			list = append(list, c)
		}
	}
	return list
}

func (s *Scheduler) startGang(now time.Time, st *step, number int64, cands []*candidate) bool {
	before := make([]candidate, len(cands))
	for i, c := range cands {
		before[i] = *c
	}
	chosen := make([]*candidate, 0, len(st.tasks))
	perVM := map[*vm]int{}
	for _, t := range st.tasks {
		var eligible []*candidate
		for _, c := range cands {
			if st.PerVM == 0 || c.vm.countSameStep(t)+perVM[c.vm] < st.PerVM {
				eligible = append(eligible, c)
			}
		}
		c := s.bestCandidate(now, t, eligible)
		if c == nil {
			for i := range cands {
				*cands[i] = before[i]
			}
			return false
		}
		s.allocate(now, t, c)
		perVM[c.vm]++
		chosen = append(chosen, c)
	}
	st.heldSince = time.Time{}
	if st.Saves && st.tasks[0].checkpoint == "" && st.tasks[0].lastRun > 0 {
		s.log.WithFields(logrus.Fields{"job": st.tasks[0].id.Job, "step": st.number, "run": number}).Info("gang has no checkpoint and starts from the beginning")
	}
	for i, t := range st.tasks {
		s.start(now, t, chosen[i].vm, number)
	}
	return true
}
