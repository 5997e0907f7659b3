package sched

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

const (
	recordOverhead = 64 // bytes of a record besides its value: key and lengths
	openShare      = 4  // the open occurrences of a job may take this part of the log's limit for a record
	stepBytes      = 24 // of a step of an open occurrence in a progress record, without its set of done tasks
)

// CheckRecord returns an error if the job log cannot hold a job.
func (s *Scheduler) CheckRecord(j *jobs.Job) error {
	data, err := jobs.Encode(j)
	if err != nil {
		return err
	}
	if n := len(data) + recordOverhead; s.tooLarge(data) {
		return fmt.Errorf("record of job %s has %d bytes, the job log takes %d", j.ID, n, s.policy.RecordBytes)
	}
	return nil
}

func (s *Scheduler) tooLarge(value []byte) bool {
	return s.policy.RecordBytes > 0 && len(value)+recordOverhead > s.policy.RecordBytes
}

// encodeProgress encodes the progress of a job. If the log cannot hold it, it leaves out the checkpoints and places
// of its tasks; if that is not enough, the job fails, since it could not be continued by another owner.
func (s *Scheduler) encodeProgress(now time.Time, j *job) ([]byte, error) {
	p := j.progress()
	data, err := s.encode(p)
	if err != nil || !s.tooLarge(data) {
		return data, err
	}
	for i := range p.Notes {
		n := &p.Notes[i]
		n.Checkpoint, n.On, n.StartedMS = "", "", 0
	}
	if data, err = s.encode(p); err != nil || !s.tooLarge(data) {
		return data, err
	}
	s.stats.TooLarge++
	s.log.WithFields(logrus.Fields{"job": j.ID, "bytes": len(data), "limit": s.policy.RecordBytes}).Error("job fails: the job log cannot hold its progress")
	j.reason = fmt.Sprintf("its progress has %d bytes, the job log takes %d", len(data), s.policy.RecordBytes)
	s.finalize(now, j, jobs.Failed)
	return s.encode(j.progress())
}

// maxOpen returns the number of occurrences of a job that may be open at the same time, so that the job log holds
// its progress.
func (s *Scheduler) maxOpen(j *job) int {
	if s.policy.RecordBytes == 0 {
		return j.Occurrences()
	}
	size := stepBytes
	for i := range j.Steps {
		size += stepBytes + j.Steps[i].Count/8
	}
	return max(s.policy.RecordBytes/openShare/size, 1)
}
