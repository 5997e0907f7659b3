package sched

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/blame"
	"github.com/greengagelane/greengagelane/internal/rtime"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// minSamples is the number of run times from which a distribution is used.
const minSamples = 20

// queueStats are the run times of a queue's latest jobs, as seen by this owner and its
// predecessors that handed over.
type queueStats struct {
	actual   float64    // decaying sum over finished steps of the longest run of their tasks, in seconds
	declared float64    // decaying sum over the same steps, in seconds
	tasks    rtime.Dist // of a run's time to its declared time; only of jobs with a step that allows copies
	median   float64    // of tasks, as of a few samples ago; 0 without samples
	peers    rtime.Dist // of a run's time to the median of its step; only of steps that allow copies
	copyRecord
	crashes blame.Rate
}

// copyRecord compares copies with the prediction of their races. A slow VM is left behind by a
// copy, a large partition of the data is not, and only the outcome tells which was the cause.
type copyRecord struct {
	Won       float64 // copies that ended first, decaying
	Predicted float64 // sum of the chances that they would, decaying
}

// factor corrects the predicted chance that a copy ends first.
func (c *copyRecord) factor() float64 {
	const prior = 3 // copies; enough that one lost race does not end all copies of a queue
	return min((c.Won+prior)/(c.Predicted+prior), 1)
}

// fade lets a record of lost races fade with the queue's finished runs, so that copies are tried
// again now and then.
func (c *copyRecord) fade() {
	const decay = 0.998 // per run; about the last 500 runs count
	c.Won, c.Predicted = decay*c.Won, decay*c.Predicted
}

// recordRun updates the statistics with a run that has ended as done. Adopted runs are left out, as
// their start is not known. So are those of jobs with copies on slow VMs, which say nothing about
// the queue; jobs without copies need no distributions, by which slow VMs are told.
func (s *Scheduler) recordRun(now time.Time, r *run) {
	st := r.task.step
	if r.task.done && st.copyable() {
		return // the other run has ended first
	}
	if r.adopted || st.Lasts || st.EstimateMS <= 0 {
		st.unknownRun = st.unknownRun || r.adopted
		return
	}
	took := now.Sub(r.startedAt)
	if !r.task.job.copies {
		s.updateWorkRatio(now, r)
		st.longestRun = max(st.longestRun, took)
		return
	}
	s.recordSpeed(r, took)
	if r.vm.ColdMS > 0 || s.isSlow(r.vm) {
		st.unknownRun = true
		return
	}
	s.updateWorkRatio(now, r)
	st.longestRun = max(st.longestRun, now.Sub(r.task.firstStart()))
	q := s.queue(r.task.job.Queue)
	q.addTask(took.Seconds() / st.declared().Seconds())
	q.fade()
	if st.copyable() {
		st.runTimes = append(st.runTimes, took)
	}
}

// addTask enters the ratio of a run's time to its declared time.
func (q *queueStats) addTask(ratio float64) {
	const medianInterval = 16 // samples; a median takes several microseconds
	q.tasks.Add(ratio)
	if q.tasks.Samples()%medianInterval == 0 {
		q.median, _ = q.tasks.Quantile(0.5)
	}
}

// recordPeers enters the run times of a finished step, relative to their median.
func (q *queueStats) recordPeers(st *step) {
	if len(st.runTimes) < minPeers {
		return
	}
	median := st.medianRunTime()
	for _, t := range st.runTimes {
		q.peers.Add(float64(t) / float64(median))
	}
}

// firstStart returns when the earliest of the task's present runs began.
func (t *task) firstStart() time.Time {
	var first time.Time
	for _, r := range t.runs {
		if first.IsZero() || r.startedAt.Before(first) {
			first = r.startedAt
		}
	}
	return first
}

// declared returns the declared run time of a step's tasks.
func (st *step) declared() time.Duration { return time.Duration(st.EstimateMS) * time.Millisecond }

// medianRunTime returns the median of the recorded run times, of which there is at least one.
func (st *step) medianRunTime() time.Duration {
	sorted := slices.Clone(st.runTimes)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// speedDeviation is a decaying mean of the logarithms, to base 2, of run times relative to their
// queues' medians.
type speedDeviation float64

// add adds a run with the weight that it has in the mean.
func (d *speedDeviation) add(deviation, weight float64) {
	*d += speedDeviation(weight * (deviation - float64(*d)))
}

// recordSpeed compares a run with those of its queue, for its VM and for the pool.
func (s *Scheduler) recordSpeed(r *run, took time.Duration) {
	const (
		vmWeight, poolWeight = 0.2, 0.02 // about the last 5 runs of a VM, the last 50 of a pool
		maxDeviation         = 3         // a factor of 8, so that one straggler does not make a VM slow
	)
	q := s.queue(r.task.job.Queue)
	if q.tasks.Samples() < minSamples || q.median == 0 || took <= 0 {
		return
	}
	deviation := math.Log2(took.Seconds() / r.task.step.declared().Seconds() / q.median)
	deviation = min(max(deviation, -maxDeviation), maxDeviation)
	r.vm.speed.add(deviation, vmWeight)
	s.pool(r.task.job.Pool).speed.add(deviation, poolWeight)
}

// isSlow reports whether the latest runs of a VM took twice as long as those of its pool. It
// compares with the pool, since a change in the declared times makes the runs of all VMs deviate.
func (s *Scheduler) isSlow(v *vm) bool {
	const factor = 1 // of two, as a logarithm to base 2
	return v.speed-s.pool(v.Pool).speed > factor
}

// runTimesKey is the key of the record, beside the handover record, that carries the run times to the
// next owner. Older versions skip the record. They would not skip a further field in the handover
// record, whose encoding by position fixes the number of fields.
const runTimesKey = "run-times"

// queueRecord is the element for a queue in the list under runTimesKey.
type queueRecord struct {
	_msgpack         struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Name             string
	Tasks, Peers     []byte  // encoded distributions
	Actual, Declared float64 // of queueStats
	Won, Predicted   float64 // of copyRecord
}

// appendRunTimes appends the record of the queues' run times. A record that cannot be encoded, or
// exceeds maxBytes, is left out: the run times are measured again.
func (s *Scheduler) appendRunTimes(records []site.Record, maxBytes int) []site.Record {
	list := s.queueRecords()
	if len(list) == 0 {
		return records
	}
	value, err := jobs.Encode(&list)
	if err == nil && len(value) > maxBytes {
		err = fmt.Errorf("%d bytes exceed the rest of the job log's limit, %d", len(value), maxBytes)
	}
	if err != nil {
		s.log.WithError(err).Warn("run times not handed over")
		return records
	}
	return append(records, site.Record{Key: runTimesKey, Value: value})
}

// queueRecords returns the run times of the queues that have any.
func (s *Scheduler) queueRecords() []queueRecord {
	var list []queueRecord
	for name, q := range s.queues {
		if q.tasks.Samples() > 0 {
			list = append(list, queueRecord{
				Name: name, Tasks: q.tasks.Encode(), Peers: q.peers.Encode(),
				Actual: q.actual, Declared: q.declared, Won: q.Won, Predicted: q.Predicted,
			})
		}
	}
	return list
}

// applyQueueRecords loads the run times that the previous owner handed over. Fields that are
// damaged or of another version are left empty.
func (s *Scheduler) applyQueueRecords(list []queueRecord) {
	for i := range list {
		rec := &list[i]
		q := s.queue(rec.Name)
		for _, x := range []struct {
			dist *rtime.Dist
			data []byte
		}{{&q.tasks, rec.Tasks}, {&q.peers, rec.Peers}} {
			d, err := rtime.Decode(x.data)
			if err != nil {
				s.log.WithError(err).WithField("queue", rec.Name).Warn("run times of the previous owner not used")
			}
			*x.dist = *d
		}
		if q.tasks.Samples() > 0 {
			q.median, _ = q.tasks.Quantile(0.5)
		}
		if plausible(rec.Actual) && plausible(rec.Declared) {
			q.actual, q.declared = rec.Actual, rec.Declared
		}
		if plausible(rec.Won) && plausible(rec.Predicted) {
			q.copyRecord = copyRecord{Won: rec.Won, Predicted: rec.Predicted}
		}
	}
}

// plausible reports whether a number of a handover record can be a decaying sum.
func plausible(x float64) bool { return x >= 0 && x < 1e9 }

// copyable reports whether the tasks of a step may have copies. The members of a gang share run
// numbers, and long-running and best-effort tasks have no end to win.
func (st *step) copyable() bool { return copyableStep(st.Step) }

func copyableStep(st *jobs.Step) bool { return st.Copies && !st.Gang && !st.Lasts && !st.Fills }
