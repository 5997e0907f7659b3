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
	shownTimeout   = 150 * time.Millisecond // for other entries to name their shown jobs; a new owner holds back the tasks of its jobs for as long
	outageTimeout  = time.Second            // for which it asks on after an outage of the log, when some have likely been shown
	shownPause     = 50 * time.Millisecond  // before it asks again
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

// shownReply lists jobs by their identifiers. Outage says whether the log has failed to answer the entry lately.
type shownReply struct {
	IDs    []string
	Outage bool
}

func (n *Node) handleShownCalls(s *peer.Server) {
	peer.Handle(s, shownNoteKind, func(_ context.Context, _ string, c *shownNote) (*shownNoteReply, error) {
		noted := !n.stopping.Load() && n.shown.RecordAll(time.Now(), c.Jobs)
		for p, ids := range c.Jobs {
			if part := n.lookupPartition(p); part != nil && part.isLoaded() {
				part.post(func(now time.Time) { part.scheduler.CompleteShown(now, ids) })
			}
		}
		return &shownNoteReply{Noted: noted}, nil
	})
	peer.Handle(s, shownKind, func(_ context.Context, _ string, c *shownCall) (*shownReply, error) {
		return &shownReply{IDs: n.shown.List(c.Partition), Outage: n.recentOutage(time.Now())}, nil
	})
}

// recentOutage reports whether the log has failed to answer this entry lately.
func (n *Node) recentOutage(now time.Time) bool {
	return now.Sub(time.Unix(0, n.logFailedAt.Load())) < recentOutage
}

// tellOwner tells a partition's new owner of the jobs that this entry knows to have been shown: the owner may
// not know this entry.
func (n *Node) tellOwner(partition int, address string) {
	ids := n.shown.List(partition)
	if len(ids) == 0 || address == n.address {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	note := &shownNote{Jobs: map[int][]string{partition: ids}}
	if _, err := peer.Call[shownNote, shownNoteReply](ctx, n.peer(address), shownNoteKind, note); err != nil {
		logrus.WithError(err).WithFields(logrus.Fields{"partition": partition, "peer": address}).Info("new owner not told of the jobs that were shown as completed")
	}
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
		return
	}
	logrus.WithFields(logrus.Fields{"job": c.ID, "partition": c.Partition, "epoch": n.owners.latestClaim(c.Partition).Epoch, "owner": local}).Info("job shown as completed before that is stored")
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

// collectShown asks the known entries for the partition's shown jobs and passes them to the scheduler. After an
// outage of the log it asks on for a second, since it may come to know further entries; it also does if no entry
// answers that could tell of an outage.
func (part *ownedPartition) collectShown(ctx context.Context) {
	n, began := part.node, time.Now()
	ids := n.shown.List(part.number)
	part.post(func(now time.Time) { part.scheduler.CompleteShown(now, ids) })
	answered, outage := map[string]bool{}, n.recentOutage(began)
	for ctx.Err() == nil {
		for address, r := range part.askShown(ctx, answered) {
			answered[address], outage = true, outage || r.Outage
			part.post(func(now time.Time) { part.scheduler.CompleteShown(now, r.IDs) })
		}
		if (!outage && len(answered) > 0) || time.Since(began) >= outageTimeout {
			break
		}
		sleep(ctx, shownPause)
	}
	part.post(func(time.Time) { part.scheduler.ReleaseRecovered() })
}

// askShown asks the known entries but some for the partition's shown jobs and returns their answers.
func (part *ownedPartition) askShown(ctx context.Context, but map[string]bool) map[string]*shownReply {
	callCtx, cancel := context.WithTimeout(ctx, shownTimeout)
	defer cancel()
	replies := map[string]*shownReply{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, address := range part.node.knownEntries() {
		if but[address] {
			continue
		}
		wg.Go(func() {
			r, err := peer.Call[shownCall, shownReply](callCtx, part.node.peer(address), shownKind, &shownCall{Partition: part.number})
			if err != nil {
				logrus.WithError(err).WithField("peer", address).Debug("entry does not name the jobs that it has shown")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[address] = r
		})
	}
	wg.Wait()
	return replies
}

// knownEntries returns the peer addresses of all other entries that this one has heard of.
func (n *Node) knownEntries() []string {
	list := append(n.owners.peers(n.address), n.syncPeers.addresses()...)
	slices.Sort(list)
	return slices.Compact(list)
}
