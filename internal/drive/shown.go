package drive

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/shown"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const (
	witnessTimeout = 100 * time.Millisecond // for another entry to take note of a shown job
	maxWitnesses   = 4                      // entries asked for each that is to take note, one after the other
	shownTimeout   = 150 * time.Millisecond // for the other entries to name their shown jobs; a new owner holds back the tasks of its jobs for as long
	outageTimeout  = time.Second            // the same after an outage of the log, when some have likely been shown
	recentOutage   = 30 * time.Second       // since the log last failed to answer a call
	handOnTimeout  = 500 * time.Millisecond // for handing notes on
	handOnCopies   = 2                      // entries to which one that stops hands its notes on
)

// shownNote tells another entry of jobs, by partition, that were shown as completed or are about to be.
type shownNote struct{ Jobs map[int][]string }

// shownNoteReply says whether the entry has taken note. One that is stopping has not.
type shownNoteReply struct{ Noted bool }

// shownCall asks another entry for the jobs of a partition that it has taken note of.
type shownCall struct{ Partition int }

// shownReply lists jobs by their identifiers.
type shownReply struct{ IDs []string }

func (n *Node) handleShownCalls(s *peer.Server) {
	peer.Handle(s, shownNoteKind, func(_ context.Context, _ string, c *shownNote) (*shownNoteReply, error) {
		return &shownNoteReply{Noted: !n.stopping.Load() && n.shown.RecordAll(time.Now(), c.Jobs)}, nil
	})
	peer.Handle(s, shownKind, func(_ context.Context, _ string, c *shownCall) (*shownReply, error) {
		return &shownReply{IDs: n.shown.List(c.Partition)}, nil
	})
}

// beforeShown has a reply say running if it shows a job as completed although that is not stored, and too few
// other entries know. local says whether this entry owns the job's partition.
func (n *Node) beforeShown(ctx context.Context, c *jobCall, r *site.Reply, local bool) {
	if !r.Unstored {
		return
	}
	r.Unstored = false
	tell := func() bool {
		return n.tellOthers(ctx, map[int][]string{c.Partition: {c.ID}}, 1, n.owners.addresses(c.Partition)) > 0
	}
	if !n.shown.Show(time.Now(), shown.Entry{Owner: local, Stopping: n.stopping.Load()}, c.Partition, c.ID, tell) {
		r.State = jobs.Running.String()
	}
}

// tellOthers tells other entries but some of jobs until as many as wanted have taken note, and returns how many
// have.
func (n *Node) tellOthers(ctx context.Context, jobs map[int][]string, wanted int, not []string) int {
	noted, asked := 0, 0
	for _, address := range n.knownEntries() {
		if noted == wanted || asked == maxWitnesses*wanted {
			break
		}
		if slices.Contains(not, address) {
			continue
		}
		asked++
		for range 2 { // the connection may be one to a process that has ended since
			callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
			r, err := peer.Call[shownNote, shownNoteReply](callCtx, n.peer(address), shownNoteKind, &shownNote{Jobs: jobs})
			cancel()
			if err == nil && r.Noted {
				noted++
			}
			if err == nil || ctx.Err() != nil {
				break
			}
		}
	}
	return noted
}

// handOnShown hands this entry's notes on before it stops.
func (n *Node) handOnShown(ctx context.Context) {
	jobs := n.shown.All()
	if len(jobs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOnTimeout)
	defer cancel()
	copies := n.tellOthers(ctx, jobs, handOnCopies, nil)
	logrus.WithFields(logrus.Fields{"partitions": len(jobs), "entries": copies}).Info("notes of jobs shown as completed handed on")
}

// collectShown asks all known entries for the partition's shown jobs and passes them to the scheduler.
func (part *ownedPartition) collectShown(ctx context.Context) {
	n := part.node
	ids := n.shown.List(part.number)
	timeout := shownTimeout
	if time.Since(time.Unix(0, n.logFailedAt.Load())) < recentOutage {
		timeout = outageTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
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
