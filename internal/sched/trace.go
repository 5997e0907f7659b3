package sched

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// ackLogInterval is the shortest time between two log lines of acknowledged run ends.
const ackLogInterval = 500 * time.Millisecond

// ackLog collects the cursors with which run ends are acknowledged to VMs, for one log line at a time.
type ackLog struct {
	cursors  []string // VM/incarnation/sequence number
	loggedAt time.Time
}

// logAcknowledged logs the cursors that were acknowledged since the last line. Up to there the VMs forget the ends
// of runs.
func (s *Scheduler) logAcknowledged(now time.Time, v *vm, cursor int64) {
	if cursor > v.ackedSeq {
		v.ackedSeq = cursor
		s.acks.cursors = append(s.acks.cursors, fmt.Sprintf("%s/%d/%d", v.ID, v.Born, cursor))
	}
	if len(s.acks.cursors) == 0 || now.Sub(s.acks.loggedAt) < ackLogInterval {
		return
	}
	s.log.WithFields(logrus.Fields{"epoch": s.Epoch, "cursors": s.acks.cursors}).Info("run ends acknowledged")
	s.acks = ackLog{loggedAt: now}
}

// logStored logs that the job log holds the final state of a job.
func (s *Scheduler) logStored(j *job) {
	s.log.WithFields(logrus.Fields{"job": j.ID, "state": j.storedState, "epoch": s.Epoch}).Info("final state stored")
}

// logStart logs the start of a task which an earlier owner may have started too. known says whether this owner has
// seen a run of it, or the end of one.
func (s *Scheduler) logStart(now time.Time, t *task, number int64, v *vm) {
	if !t.job.recovered || (!t.job.beganBefore && !(t.unverified && s.waitLog.unanswered())) {
		return
	}
	known := t.lastRun > 0 || len(t.failedRuns) > 0 || len(t.crashes) > 0
	log := s.log
	if t.unverified {
		log = log.WithFields(s.startEvidence(now, t))
	}
	log.WithFields(logrus.Fields{
		"task": t.id.String(), "run": number, "vm": v.ID, "epoch": s.Epoch, "last-run": t.lastRun,
		"failed-runs": t.failedRuns, "crashes": len(t.crashes), "known": known,
	}).Info("task of an earlier owner's job starts")
}

// logOverlap logs that a run of an earlier owner has ended as done although this owner has started the task.
func (s *Scheduler) logOverlap(j *job, v *vm, id jobs.TaskID, e *site.RunEnd) {
	if j == nil || e.How != site.Done || e.Run >= s.firstRunNumber() {
		return
	}
	if t := j.findTask(id); t != nil && t.lastRun >= s.firstRunNumber() && !t.step.Lasts {
		s.log.WithFields(logrus.Fields{
			"task": e.Task, "run": e.Run, "vm": v.ID, "epoch": s.Epoch, "last-run": t.lastRun, "task-done": t.done,
		}).Info("run of an earlier owner is done; the task was started again")
	}
}

// Restored counts what a new owner has found in the job log.
type Restored struct {
	Jobs, Final, Completed int // Final counts Completed too
	TasksDone              int // of jobs that are not final, in open occurrences
}

// Restored returns what the job log held at the takeover. It is to be called right after Restore.
func (s *Scheduler) Restored() Restored {
	var r Restored
	for _, j := range s.jobs {
		r.Jobs++
		if j.state.Final() {
			r.Final++
		}
		if j.state == jobs.Completed {
			r.Completed++
		}
		for _, o := range j.open {
			for _, st := range o.steps {
				r.TasksDone += st.done
			}
		}
	}
	return r
}
