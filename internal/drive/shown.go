package drive

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	shownRetention = 60 * time.Second       // longer than an outage of the log and the takeover after it
	maxShownJobs   = 10_000                 // bounds the memory; beyond it, jobs are shown as completed only once that is stored
	witnessTimeout = 100 * time.Millisecond // for another entry to take note of a shown job
	maxWitnesses   = 2                      // entries asked to take note, one after the other
	shownTimeout   = 150 * time.Millisecond // for the other entries to name their shown jobs; a new owner holds back the tasks of its jobs for as long
)

// shownJobs are the jobs that callers were shown as completed while the log did not answer their
// owners. An entry takes note of those that it has shown for another owner, and of those of which an owner
// tells it. Its zero value is ready for use.
type shownJobs struct {
	mu          sync.Mutex
	byPartition map[int]map[string]time.Time // when they were shown, by job identifier
}

// record takes note of a job and reports whether it is noted, which fails only for want of room.
func (s *shownJobs) record(now time.Time, partition int, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, noted := s.byPartition[partition][id]; noted && now.Sub(at) <= shownRetention/2 {
		return true // callers ask again and again
	}
	n := 0
	for _, ids := range s.byPartition {
		maps.DeleteFunc(ids, func(_ string, at time.Time) bool { return now.Sub(at) > shownRetention })
		n += len(ids)
	}
	if n >= maxShownJobs {
		return false
	}
	if s.byPartition == nil {
		s.byPartition = map[int]map[string]time.Time{}
	}
	if s.byPartition[partition] == nil {
		s.byPartition[partition] = map[string]time.Time{}
	}
	s.byPartition[partition][id] = now
	return true
}

// list returns the jobs of a partition.
func (s *shownJobs) list(partition int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.byPartition[partition]))
}

// shownNote tells another entry of a job that is about to be shown as completed.
type shownNote struct {
	Partition int
	ID        string
}

// shownNoteReply says whether the entry has taken note.
type shownNoteReply struct{ Noted bool }

// shownCall asks another entry for the jobs of a partition that it has taken note of.
type shownCall struct{ Partition int }

// shownReply lists jobs by their identifiers.
type shownReply struct{ IDs []string }

func (n *Node) handleShownCalls(s *peer.Server) {
	peer.Handle(s, shownNoteKind, func(_ context.Context, _ string, c *shownNote) (*shownNoteReply, error) {
		return &shownNoteReply{Noted: n.shown.record(time.Now(), c.Partition, c.ID)}, nil
	})
	peer.Handle(s, shownKind, func(_ context.Context, _ string, c *shownCall) (*shownReply, error) {
		return &shownReply{IDs: n.shown.list(c.Partition)}, nil
	})
}

// beforeShown makes sure that another entry than the owner knows of a job that a reply shows as completed
// although that is not stored. Without one, the job is shown as running.
func (n *Node) beforeShown(ctx context.Context, c *jobCall, r *site.Reply, local bool) {
	if !r.Unstored {
		return
	}
	if (local && !n.findWitness(ctx, c)) || (!local && !n.shown.record(time.Now(), c.Partition, c.ID)) {
		r.State = jobs.Running.String()
	}
	r.Unstored = false
}

// findWitness tells other entries of a shown job until one has taken note, and reports whether one has.
func (n *Node) findWitness(ctx context.Context, c *jobCall) bool {
	for i, address := range n.owners.peers(n.address) {
		if i == maxWitnesses {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
		r, err := peer.Call[shownNote, shownNoteReply](callCtx, n.peer(address), shownNoteKind, &shownNote{Partition: c.Partition, ID: c.ID})
		cancel()
		if err == nil && r.Noted {
			return true
		}
	}
	return false
}

// collectShown asks all known entries for the partition's shown jobs and passes them to the scheduler.
func (part *ownedPartition) collectShown(ctx context.Context) {
	n := part.node
	ids := n.shown.list(part.number)
	callCtx, cancel := context.WithTimeout(ctx, shownTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range n.knownEntries() {
		wg.Go(func() {
			r, err := peer.Call[shownCall, shownReply](callCtx, n.peer(address), shownKind, &shownCall{Partition: part.number})
			if err != nil {
				logrus.WithError(err).WithField("peer", address).Debug("entry does not name the jobs that it has shown")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, r.IDs...)
		})
	}
	wg.Wait()
	part.post(func(now time.Time) { part.scheduler.CompleteShown(now, ids) })
}

// knownEntries returns the peer addresses of all other entries that this one has heard of.
func (n *Node) knownEntries() []string {
	list := append(n.owners.peers(n.address), n.syncPeers.addresses()...)
	slices.Sort(list)
	return slices.Compact(list)
}
