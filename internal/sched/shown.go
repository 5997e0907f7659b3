package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// HoldRecovered holds the tasks of an earlier owner's jobs back until ReleaseRecovered is called, unless that
// owner has handed its jobs over: then it has stored which ones are completed. It reports whether it does. It is for
// owners of the version before, which showed jobs as completed before that was stored.
func (s *Scheduler) HoldRecovered() bool {
	open := slices.ContainsFunc(slices.Collect(maps.Values(s.jobs)), func(j *job) bool { return !j.state.Final() })
	s.recoveredHeld = s.inherited == nil && open
	return s.recoveredHeld
}

// ReleaseRecovered ends the hold of HoldRecovered, once all jobs are known that were shown as completed.
func (s *Scheduler) ReleaseRecovered() { s.recoveredHeld = false }

// CompleteShown completes the jobs that an earlier owner has shown as completed without storing that.
func (s *Scheduler) CompleteShown(now time.Time, ids []string) {
	for _, id := range ids {
		if j := s.jobs[id]; j != nil && !j.state.Final() {
			s.log.WithFields(logrus.Fields{"job": id, "epoch": s.Epoch}).Info("job was shown as completed by an earlier owner")
			s.finalize(now, j, jobs.Completed)
		}
	}
}
