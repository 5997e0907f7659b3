package sched

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Keys of the job log.
const (
	jobKey      = "j/"  // with the job's identifier: the job, never changed
	progressKey = "p/"  // with the job's identifier: its progress
	vmsKey      = "vms" // VMs that may hold runs
)

// Scheduler holds the jobs of one partition of the job log and the VMs of their pools.
// It is not safe for concurrent use.
type Scheduler struct {
	Epoch int64 // of the owner; the fencing token of all its orders

	policy           Policy
	log              *logrus.Entry
	jobs             map[string]*job
	vms              map[string]*vm
	pools            map[string]*pool
	listReceivedAt   time.Time            // the VM list was received; zero before
	unverified       map[string]time.Time // VMs that may hold runs of an earlier owner, until then
	recordedVMs      map[string]bool      // VMs that the job log names as holding runs
	recordedVMsDirty bool                 // held has changed since it was stored
	offeredAt        map[string]time.Time // jobs offered lately
	actions          []Action
	fenced           bool
	retired          bool           // no more decisions; the next owner is told what is under way
	handedOver       bool           // it has been
	maxHandoverBytes int            // of that record, at most
	inherited        *inheritedRuns // nil where the last owner left no record
	// evacuateFrom is when runs that an earlier owner ordered to stop have shown their end.
	evacuateFrom time.Time
	stats        Stats
}

// Stats counts decisions for the metrics.
type Stats struct {
	Started, Done, Failed, Stopped, Lost, Refused, Stalled int
}

// pool is what a shard knows of one pool.
type pool struct {
	workRatio    float64 // learned: true work over declared work
	actualWork   float64
	declaredWork float64
	largestVM    resources // of its largest VM
	offeredLoad  offeredLoad
	// potentialCores is the cores that the pool may get by moves, as the planner last said.
	potentialCores   float64
	potentialCoresAt time.Time
}

// New returns a shard without jobs.
func New(epoch int64, p Policy, log *logrus.Entry) *Scheduler {
	return &Scheduler{
		Epoch: epoch, policy: p, log: log,
		jobs: map[string]*job{}, vms: map[string]*vm{}, pools: map[string]*pool{},
		unverified: map[string]time.Time{}, recordedVMs: map[string]bool{}, offeredAt: map[string]time.Time{},
	}
}

// recordedVM is an entry of the record of VMs that may hold runs.
type recordedVM struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	VM       site.VM
}

// Restore takes over the records of earlier owners, the last of which had the given
// epoch. A record that cannot be read is skipped with a log line.
func (s *Scheduler) Restore(now time.Time, last int64, records []site.Record) {
	const look = 1500 * time.Millisecond // a look that waits for an end, and the next one
	s.evacuateFrom = now.Add(s.policy.StopGrace + look)
	progress := map[string]*jobs.Progress{}
	for _, r := range records {
		if err := s.restore(now, last, r, progress); err != nil {
			s.log.WithError(err).WithField("key", r.Key).Warn("record of the job log skipped")
		}
	}
	for id, j := range s.jobs {
		if p := progress[id]; p != nil {
			j.restore(p)
		}
	}
}

func (s *Scheduler) restore(now time.Time, last int64, r site.Record, progress map[string]*jobs.Progress) error {
	switch {
	case len(r.Value) == 0:
		return nil
	case len(r.Key) > 2 && r.Key[:2] == jobKey:
		j, err := jobs.Decode[jobs.Job](r.Value)
		if err != nil {
			return err
		}
		if err := j.Check(); err != nil {
			return err
		}
		held := newJob(j)
		held.stored, held.recovered = true, true
		s.jobs[j.ID] = held
	case len(r.Key) > 2 && r.Key[:2] == progressKey:
		p, err := jobs.Decode[jobs.Progress](r.Value)
		if err != nil {
			return err
		}
		progress[r.Key[2:]] = p
	case r.Key == handoverKey:
		h, err := jobs.Decode[handover](r.Value)
		if err != nil {
			return err
		}
		s.applyHandover(h, last)
	case r.Key == vmsKey:
		list, err := jobs.Decode[[]recordedVM](r.Value)
		if err != nil {
			return err
		}
		for _, h := range *list {
			v := newVM(h.VM)
			s.vms[v.ID] = v
			s.recordedVMs[v.ID], v.recorded = true, true
			wait := s.policy.localDuration(s.policy.Lease) + 300*time.Millisecond
			s.unverified[v.ID] = now.Add(wait)
			v.leasesEnd = now.Add(wait)
		}
	}
	return nil
}

// Fenced reports whether a VM has seen a later owner.
func (s *Scheduler) Fenced() bool { return s.fenced }

// Stats returns the counters.
func (s *Scheduler) Stats() Stats { return s.stats }

// JobState returns what callers are told of a job.
func (s *Scheduler) JobState(id string) (jobs.State, bool) {
	j := s.jobs[id]
	if j == nil || !j.stored {
		return 0, false
	}
	switch {
	case j.storedState.Final():
		return j.storedState, true
	case j.began:
		return jobs.Running, true
	}
	return jobs.Queued, true
}

// Waiting counts the accepted jobs of a queue that have not begun.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue == queue && j.stored && j.waiting() {
			n++
		}
	}
	return n
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// pool returns the pool of a name.
func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{workRatio: 1}
		s.pools[name] = p
	}
	return p
}
