package sched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/fair"
	"github.com/greengagelane/greengagelane/internal/shed"
	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Keys and key prefixes of the records in the job log; see also handoverKey and runTimesKey.
const (
	jobKeyPrefix      = "j/"          // followed by the job ID; holds the job, which never changes
	progressKeyPrefix = "p/"          // followed by the job ID; holds the progress of the job
	longLeasesKey     = "long-leases" // leases that may be longer than usual
	vmsKey            = "vms"         // VMs that may hold runs of this partition
)

// Scheduler holds the jobs of one partition of the job log and the VMs of their pools.
// It is not safe for concurrent use.
type Scheduler struct {
	Epoch int64 // of this owner; the fencing token of all its orders

	policy             Policy
	log                *logrus.Entry
	jobs               map[string]*job
	live               map[string]*job // jobs that may change; most others are final and kept for their callers
	settled            settledJobs     // the others: their final state is stored
	vms                map[string]*vm
	listed             map[string]bool         // names of the tasks that the last status listed; buffer of HandlePoll
	sorting            []sortedJob             // buffer of sortByOrder
	forgotten          map[string]vmPolls      // of VMs that are no longer in vms, as they may come back under their IDs
	lateStarts         map[string][]*lateStart // by VM, also of those that are no longer in vms
	pools              map[string]*pool
	queues             map[string]*queueStats
	listReceivedAt     time.Time                // when the last VM list was received; zero before the first
	unreadable         map[string]*jobs.Job     // of which a record cannot be decoded, by job ID; nil if it is that of the job itself
	unverified         map[string]time.Time     // VMs that may hold runs of an earlier owner, with the end of those runs' leases
	formerOwnerNotice  time.Duration            // for which the former owner may go on renewing these leases after a claim; 0 if it has ended
	recordedVMs        map[string]bool          // VMs that the record under vmsKey has to name
	recordedVMsDirty   bool                     // recordedVMs has changed since it was last flushed
	longLeases         map[string]time.Time     // ends of leases that may be longer than Policy.Lease, by VM
	longLeasesDirty    bool                     // longLeases has changed since it was last flushed
	accounts           map[string]*site.Account // of the configuration, by name
	unguarded          map[string]bool          // pools whose VMs start what exceeds their capacity
	meanWeight         float64                  // of the accounts
	buckets            map[string]*fair.Bucket  // of the accounts that have submitted jobs
	offeredAt          map[string]offer         // first submissions, by job ID
	round              int64                    // number of the last scheduling round; 1 before the first, which no pool and job has seen
	quotas             quotas
	losses             losses
	actions            []Action
	incarnationEndedAt time.Time // when an incarnation of a VM was last known to have ended
	fenced             bool
	tenure             *tenure.Tenure // nil if the authority of the owner never ends
	awaitsTenure       bool           // a wait for leases is over, but not confirmed to be
	newJobsHeld        bool           // see HoldNewJobs
	refusedTombstones  []site.Record  // of dropped jobs, which the log has refused
	recoveredHeld      bool           // tasks of an earlier owner's jobs are not started; see HoldRecovered
	retired            bool           // makes no more scheduling decisions; see Retire
	handedOver         bool           // the handover record is stored
	maxHandoverBytes   int            // size limit of the handover record
	inherited          *inheritedRuns // nil if the previous owner left no handover record
	// evacuateFrom is when evacuations may begin after a takeover. By then, runs that the
	// previous owner ordered to stop are reported as ended. Until then, another evacuation
	// could exceed a step's MayMiss.
	evacuateFrom time.Time
	stats        Stats
	acks         ackLog
	waitLog      waitLog
	lastingLog   lastingLog
	encode       func(*jobs.Progress) ([]byte, error) // jobs.EncodeProgress; replaced by tests
}

// Stats holds the counters for the metrics. Refused and GivenUp count jobs, LostVMs VMs, the others runs. Lost
// counts runs that were released without a report of their end.
type Stats struct {
	Started, Done, Failed, Stopped, Lost, Refused, Stalled int
	Withdrawn                                              int // runs whose start orders were withdrawn before they were sent; Started counts them too
	LostVMs                                                int // incarnations of VMs that were lost with runs
	GivenUp                                                int // jobs that were given up because a task crashed VMs
	TooLarge                                               int // jobs that failed because the job log could not hold their progress
	RefusedByShare                                         int // of Refused: the account's work exceeds its share
	RefusedByRate                                          int // of Refused: the job is beyond the rate of its account

	Copies          int // speculative runs started; Started counts them too
	CopiesWon       int // that ended as done before the first run
	CopyCoreMS      int // core-milliseconds of all speculative runs that have ended
	CopyWasteCoreMS int // core-milliseconds of those whose end did not count
}

// pool is the scheduler's state of one pool.
type pool struct {
	workRatio    float64   // actualWork divided by declaredWork, within bounds
	actualWork   float64   // decaying sum over finished runs, in core-milliseconds
	declaredWork float64   // decaying sum over the same runs, in core-milliseconds
	largestVM    resources // maximum of each resource over all VMs so far
	offeredLoad  offeredLoad
	// offeredBeyondRate is the part of offeredLoad of jobs beyond the rates of their accounts.
	offeredBeyondRate offeredLoad
	gate              shed.Gate
	load              shed.Load   // as of loadAt, with the jobs accepted since
	supply            shed.Supply // as of loadAt
	loadAt            time.Time
	arrivals          []shed.Arrival // expected by VM moves, as reported by the planner at arrivalsAt
	arrivalsAt        time.Time
	cordonsAt         time.Time      // when the planner last set or renewed its cordons
	refused           map[string]int // refused jobs by client account
	slack             time.Duration  // decaying mean over the jobs submitted: time that a job can wait and still meet its objective
	taskTime          time.Duration  // decaying mean over the same jobs of Request.TaskTime
	idle              []idleVM       // as of loadAt, less the first tasks of jobs accepted since
	idleBefore        []idleVM       // buffer of fitsIdle
	leftIdle          []idleVM       // as of placedRound
	fullAt            time.Time      // when a task of another than a suspect's job last found no room
	mostlyIdle        bool           // as of the last round that had jobs in the pool
	lostAt            time.Time      // when a VM was last lost with its runs
	lack              lack
	trialsWait        time.Time // when a suspect last found no VM without long-running tasks
	placedRound       int64     // number of the last round that had jobs in the pool

	// The rest is used only on sites with accounts.
	accounts   map[string]*accountLoad
	fair       fairLoad
	placeCores float64        // cores of the VMs that may get runs, as of the last round
	startLevel float64        // cores per unit of weight within shares, in the last round; infinite without overload, 0 before the first round
	claims     []fair.Claim   // buffer
	crossing   []*job         // buffer
	excess     []*job         // buffer
	refusedAt  time.Time      // when a job was last refused
	copiesAt   time.Time      // when stragglers were last searched
	speed      speedDeviation // of the latest runs of its VMs
}

// New returns a scheduler without jobs.
func New(epoch int64, p Policy, log *logrus.Entry) *Scheduler {
	return &Scheduler{
		Epoch: epoch, policy: p, log: log,
		jobs: map[string]*job{}, live: map[string]*job{}, vms: map[string]*vm{}, listed: map[string]bool{}, forgotten: map[string]vmPolls{}, lateStarts: map[string][]*lateStart{}, pools: map[string]*pool{}, queues: map[string]*queueStats{},
		unreadable: map[string]*jobs.Job{}, unverified: map[string]time.Time{}, recordedVMs: map[string]bool{}, longLeases: map[string]time.Time{}, offeredAt: map[string]offer{},
		buckets: map[string]*fair.Bucket{}, round: 1, losses: newLosses(), encode: jobs.EncodeProgress,
	}
}

// recordedVM is an element of the list that is stored under vmsKey.
type recordedVM struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	VM       site.VM
}

// Restore loads the records of earlier owners; lastEpoch is the epoch of the previous owner.
// A job of which a record is invalid is held back; see Unreadable.
func (s *Scheduler) Restore(now time.Time, lastEpoch int64, records []site.Record) {
	const reportDelay = 1500 * time.Millisecond // within which a VM reports a run end: a status poll of up to 1 s and the next one
	s.evacuateFrom = now.Add(s.policy.StopGrace + reportDelay)
	progress := map[string]*jobs.Progress{}
	for _, r := range records {
		if err := s.restore(now, lastEpoch, r, progress); err != nil {
			s.restoreFailed(now, r, err)
		}
	}
	s.awaitLongLeases()
	if _, unlisted := s.unverified[unlistedVMs]; unlisted {
		s.inherited = nil // it names VMs of the list
	}
	s.holdUnreadable(progress)
	for id, j := range s.jobs {
		if p := progress[id]; p != nil {
			j.restore(p)
			s.unifyCheckpoints(j)
			s.losses.restore(now, j, p)
		}
	}
	s.losses.presume(s.inherited)
}

func (s *Scheduler) restore(now time.Time, lastEpoch int64, r site.Record, progress map[string]*jobs.Progress) error {
	switch {
	case len(r.Value) == 0:
		return nil
	case len(r.Key) > 2 && r.Key[:2] == jobKeyPrefix:
		j, err := jobs.Decode[jobs.Job](r.Value)
		if err != nil {
			return err
		}
		if err := j.Check(); err != nil {
			return err
		}
		if j.ID != r.Key[len(jobKeyPrefix):] {
			return fmt.Errorf("record of job %q is stored as that of %q", j.ID, r.Key)
		}
		restored := newJob(j)
		restored.stored, restored.recovered = true, true
		s.addJob(restored)
	case len(r.Key) > 2 && r.Key[:2] == progressKeyPrefix:
		p, err := jobs.DecodeProgress(r.Value)
		if err != nil {
			return err
		}
		progress[r.Key[2:]] = p
	case r.Key == handoverKey:
		h, err := jobs.Decode[handover](r.Value)
		if err != nil {
			return err
		}
		s.applyHandover(now, h, r.Value, lastEpoch)
	case r.Key == runTimesKey:
		list, err := jobs.Decode[[]queueRecord](r.Value)
		if err != nil {
			return err
		}
		s.applyQueueRecords(*list)
	case r.Key == longLeasesKey:
		return s.restoreLongLeases(now, r.Value)
	case r.Key == vmsKey:
		list, err := jobs.Decode[[]recordedVM](r.Value)
		if err != nil {
			return err
		}
		for _, rec := range *list {
			v := newVM(rec.VM)
			s.vms[v.ID] = v
			s.recordSize(&rec.VM)
			s.recordedVMs[v.ID], v.recorded = true, true
			wait := s.policy.localDuration(s.policy.Lease) + leaseMargin
			s.unverified[v.ID] = now.Add(wait)
			v.leasesEnd = now.Add(wait)
		}
	}
	return nil
}

// Fenced reports whether a later owner is known to have claimed the partition.
func (s *Scheduler) Fenced() bool { return s.fenced }

// Stats returns the counters.
func (s *Scheduler) Stats() Stats { return s.stats }

// JobState returns the state of a job as callers see it. A final state is shown only
// once the job log holds it.
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

// Queues returns the names of the queues of all known jobs, in order.
func (s *Scheduler) Queues() []string {
	names := map[string]bool{}
	for _, j := range s.jobs {
		names[j.Queue] = true
	}
	for _, j := range s.unreadable {
		if j != nil {
			names[j.Queue] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Waiting counts the accepted jobs of a queue of which no task has started.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.live {
		if j.Queue == queue && j.stored && j.waiting() {
			n++
		}
	}
	return n
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// pool returns the state of a pool, which it creates if necessary.
func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{workRatio: 1}
		s.pools[name] = p
	}
	return p
}
