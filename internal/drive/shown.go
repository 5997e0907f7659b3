package drive

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Entries of the version before showed jobs as completed before the job log held that, and told each other. While
// they may run beside this version, their notes are kept, handed on and honoured. A later version needs none of this
// file.

const (
	noteTimeout   = 100 * time.Millisecond // for another entry to take a note
	shownTimeout  = 150 * time.Millisecond // for other entries to name their shown jobs; a new owner holds back the tasks of its jobs for as long
	outageTimeout = time.Second            // for which it asks on after an outage of the log, when some have likely been shown
	shownPause    = 50 * time.Millisecond  // before it asks again
	recentOutage  = 30 * time.Second       // since the log last failed to answer a call
	handOnTimeout = 500 * time.Millisecond // for handing notes on
	handOnCopies  = 2                      // entries that are to keep the notes of one that stops
	handOnBatch   = 4                      // entries that are asked at a time
)

// shownNote tells another entry of jobs, by partition, that were shown as completed or are about to be.
type shownNote struct{ Jobs map[int][]string }

// shownNoteReply answers a note.
type shownNoteReply struct {
	Noted bool // the job may be shown, says an entry of an earlier version; with false, the older entry that asks shows it as running
	Kept  bool // the entry, of this version, keeps the note and is not stopping
}

// shownCall asks another entry for the jobs of a partition that it has taken note of.
type shownCall struct{ Partition int }

// shownReply lists jobs by their identifiers. Outage says whether the log has failed to answer the entry lately.
type shownReply struct {
	IDs    []string
	Outage bool
}

func (n *Node) handleShownCalls(s *peer.Server) {
	peer.Handle(s, shownNoteKind, func(_ context.Context, _ string, c *shownNote) (*shownNoteReply, error) {
		kept := n.shown.RecordAll(time.Now(), c.Jobs) && !n.stopping.Load()
		for p, ids := range c.Jobs {
			if part := n.lookupPartition(p); part != nil && part.isLoaded() {
				part.post(func(now time.Time) { part.scheduler.CompleteShown(now, ids) })
			}
		}
		return &shownNoteReply{Kept: kept}, nil
	})
	peer.Handle(s, shownKind, func(_ context.Context, _ string, c *shownCall) (*shownReply, error) {
		return &shownReply{IDs: n.shown.List(c.Partition), Outage: n.recentOutage(time.Now())}, nil
	})
}

// recentOutage reports whether the log has failed to answer this entry lately.
func (n *Node) recentOutage(now time.Time) bool {
	return now.Sub(time.Unix(0, n.logFailedAt.Load())) < recentOutage
}

// showStored has a reply of an older owner say running if the job log does not hold that the job is completed.
func showStored(r *site.Reply) {
	if r.Unstored {
		r.State, r.Unstored = jobs.Running.String(), false
	}
}

// recordStoredOnly has the next flush tell later owners that nothing was shown that is not stored.
func (part *ownedPartition) recordStoredOnly() {
	data, err := jobs.Encode(&part.scheduler.Epoch)
	if err != nil {
		part.log.WithError(err).Error("cannot encode the epoch")
		return
	}
	part.pendingRecords = append(part.pendingRecords, controlRecord{record: site.Record{Key: storedOnlyKey, Value: data}})
}

// tellOwner tells a partition's new owner of the jobs that this entry knows to have been shown: the owner may
// not know this entry.
func (n *Node) tellOwner(partition int, address string) {
	ids := n.shown.List(partition)
	if len(ids) == 0 || address == n.address {
		return
	}
	n.tell(context.Background(), address, &shownNote{Jobs: map[int][]string{partition: ids}})
}

// handOnShown hands this entry's notes on before it stops.
func (n *Node) handOnShown(ctx context.Context) {
	jobs := n.shown.All()
	if len(jobs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOnTimeout)
	defer cancel()
	kept := 0
	for batch := range slices.Chunk(n.knownEntries(), handOnBatch) {
		if kept += n.tellAll(ctx, batch, &shownNote{Jobs: jobs}); kept >= handOnCopies {
			break
		}
	}
	logrus.WithFields(logrus.Fields{"partitions": len(jobs), "entries": kept}).Info("notes of jobs shown as completed handed on")
}

// tellAll has other entries take notes, all at a time, and returns how many have.
func (n *Node) tellAll(ctx context.Context, addresses []string, note *shownNote) int {
	var kept atomic.Int64
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			if n.tell(ctx, address, note) {
				kept.Add(1)
			}
		})
	}
	wg.Wait()
	return int(kept.Load())
}

// tell has another entry take notes, and reports whether it has. It tries twice, as the connection may be one to a
// process that has ended since.
func (n *Node) tell(ctx context.Context, address string, note *shownNote) (kept bool) {
	var r *shownNoteReply
	var err error
	for range 2 {
		callCtx, cancel := context.WithTimeout(ctx, noteTimeout)
		r, err = peer.Call[shownNote, shownNoteReply](callCtx, n.peer(address), shownNoteKind, note)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		logrus.WithError(err).WithField("peer", address).Info("entry not told of the jobs that were shown as completed")
		return false
	}
	return r.Noted || r.Kept
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
