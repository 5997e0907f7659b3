package sched

import (
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// mayBeCopy reports whether a run that a VM lists may be one of the two runs that an earlier owner
// gave the task. Runs of this owner that it does not track any more have ended.
func (s *Scheduler) mayBeCopy(t *task, x *site.Run) bool {
	return t.step.copyable() && len(t.runs) < 2 && x.Run < s.firstRunNumber() && !slices.Contains(t.failedRuns, x.Run)
}

// nextCheckpoint returns the checkpoint that the task's next run starts from. A copy starts where the
// first run did: runs do not share checkpoints of different progress.
func (t *task) nextCheckpoint() string {
	if len(t.runs) > 0 {
		return t.runs[0].startedFrom
	}
	return t.checkpoint
}

// keepCheckpoint stores a checkpoint of a run, unless another run of the task is further. r is nil if
// the run is not tracked. progress is that of the run at the time, see gangProgress.
func (t *task) keepCheckpoint(r *run, number int64, progress int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if t.step.Gang {
		t.step.keepGangCheckpoint(number, progress, checkpoint)
		return
	}
	for _, other := range t.runs {
		if t.step.copyable() && r != other && (r == nil || other.percent >= r.percent) {
			return
		}
	}
	t.checkpoint = checkpoint
}

// bothRuns returns the two runs of a task; the copy has the higher number.
func (t *task) bothRuns() (first, second *run) {
	if t.runs[0].number < t.runs[1].number {
		return t.runs[0], t.runs[1]
	}
	return t.runs[1], t.runs[0]
}

// markCopy marks the later of two adopted runs as the copy.
func (t *task) markCopy() {
	if len(t.runs) == 2 {
		_, second := t.bothRuns()
		second.copy = &copyRun{}
	}
}

// usesCopyShare reports whether a run counts as a copy for the share of copies. A copy whose first run
// has ended otherwise than as done is the task's only run.
func (r *run) usesCopyShare() bool {
	if r.copy == nil {
		return false
	}
	if len(r.task.runs) == 2 {
		_, second := r.task.bothRuns()
		return r == second
	}
	return r.phase == stopping
}

// recordRace notes which of a task's two runs ended first, before it is released.
func (s *Scheduler) recordRace(winner *run) {
	t := winner.task
	if t.done {
		return
	}
	if winner.copy != nil {
		winner.copy.counted = true
	}
	if len(t.runs) != 2 {
		return
	}
	_, second := t.bothRuns()
	if second.copy == nil {
		return
	}
	second.copy.won = winner == second
	if second.copy.expected == 0 {
		return
	}
	q := s.queue(t.job.Queue)
	q.Predicted += second.copy.expected
	if winner == second {
		q.Won++
	}
}

// logCopy counts and logs the end of a copy. The VM's last answer is when the end was reported, or the
// latest time at which the copy was known to run.
func (s *Scheduler) logCopy(r *run, how string) {
	c := r.copy
	coreMS := int(max(r.vm.lastAnswer.Sub(r.startedAt), 0).Milliseconds()) * r.step().CPU / 1000
	s.stats.CopyCoreMS += coreMS
	if c.won {
		s.stats.CopiesWon++
	}
	if !c.counted {
		s.stats.CopyWasteCoreMS += coreMS
	}
	round := func(x float64) float64 { return math.Round(1000*x) / 1000 }
	s.log.WithFields(logrus.Fields{
		"task": r.task.id.String(), "run": r.number, "vm": r.vm.ID, "first-run-age-ms": c.age.Milliseconds(), "end": how, "won": c.won, "core-ms": coreMS,
		"first-chance": round(c.gain.FirstChance), "on-time-gain": round(c.gain.OnTime), "saved-ms": int(1000 * c.gain.SavedS),
		"value": round(c.gain.Value), "price": round(c.gain.Price),
	}).Info("speculative run ended")
}
