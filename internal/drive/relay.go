package drive

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/relay"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

const (
	questionTimeout = 150 * time.Millisecond // for another entry to say whether the log serves it
	relayTries      = 3                      // entries to turn to in one attempt at an append
	relayTimeout    = 400 * time.Millisecond // for a relayed append; the log may be 60 times slower than usual, and then takes 300 ms
	relayMargin     = 30 * time.Millisecond  // of relayTimeout, for the calls between the entries
)

// relayCall asks another entry to send an append to the log. Without an append it asks whether the log serves that
// entry.
type relayCall struct{ Append *site.Append }

// relayReply says what became of the append.
type relayReply struct{ Outcome relay.Outcome }

// relayLog is the connection over which appends to one partition are relayed, one at a time.
type relayLog struct {
	mu    sync.Mutex
	store *platform.Log
}

func (n *Node) handleRelayCalls(s *peer.Server) {
	peer.Handle(s, relayKind, func(ctx context.Context, _ string, c *relayCall) (*relayReply, error) {
		switch {
		case !n.logServes(time.Now()):
			return &relayReply{Outcome: relay.LogFails}, nil
		case c.Append == nil:
			return &relayReply{Outcome: relay.Ready}, nil
		}
		return &relayReply{Outcome: n.relayAppend(ctx, c.Append)}, nil
	})
}

// logServes reports whether the log serves this entry.
func (n *Node) logServes(now time.Time) bool {
	return relay.Serves(now, time.Unix(0, n.logAnsweredAt.Load()), time.Unix(0, n.logFailedAt.Load()))
}

// relayAppend sends another owner's append to the log.
func (n *Node) relayAppend(ctx context.Context, a *site.Append) relay.Outcome {
	l := n.relayLog(a.Partition)
	if !l.mu.TryLock() {
		return relay.Refused
	}
	defer l.mu.Unlock()
	err := l.store.AppendJobs(ctx, a, relayTimeout-relayMargin)
	logrus.WithError(err).WithFields(logrus.Fields{"partition": a.Partition, "epoch": a.Epoch, "sequence": a.Sequence}).Info("append relayed for an owner")
	return relayOutcome(err)
}

func (n *Node) relayLog(partition int) *relayLog {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.relayLogs[partition] == nil {
		n.relayLogs[partition] = &relayLog{store: platform.NewLog(n.settings)}
	}
	return n.relayLogs[partition]
}

func (n *Node) closeRelayLogs() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.relayLogs {
		l.store.Close()
	}
}

// relayOutcome returns the outcome of a relayed append.
func relayOutcome(err error) relay.Outcome {
	switch {
	case err == nil:
		return relay.Stored
	case errors.Is(err, site.ErrFenced):
		return relay.Fenced
	case errors.Is(err, site.ErrSequence):
		return relay.OutOfSequence
	case errors.Is(err, site.ErrNotDone):
		return relay.Refused
	}
	return relay.Unanswered
}

// relayError is the inverse of relayOutcome.
func relayError(o relay.Outcome) error {
	switch o {
	case relay.Stored:
		return nil
	case relay.Fenced:
		return site.ErrFenced
	case relay.OutOfSequence:
		return site.ErrSequence
	case relay.Ready, relay.LogFails, relay.Refused, relay.Unreachable, relay.Unsupported:
		return fmt.Errorf("append not relayed, %s: %w", o, site.ErrNotDone)
	}
	return fmt.Errorf("relayed append may have been carried out, %s", o) // also after an outcome of a later version
}

// tryRelays turns to other entries until one of them may have sent an append. The error wraps site.ErrNotDone if none
// has.
func (part *ownedPartition) tryRelays(ctx context.Context, a *site.Append) error {
	err := error(site.ErrNotDone)
	for range relayTries {
		if err = part.tryRelay(ctx, a); !errors.Is(err, site.ErrNotDone) || errors.Is(err, errNoRelay) {
			break
		}
	}
	return err
}

// errNoRelay is the error if no entry is to be asked now.
var errNoRelay = fmt.Errorf("no entry to relay the append: %w", site.ErrNotDone)

// tryRelay has another entry send an append. The error wraps site.ErrNotDone if that has certainly not been sent, or
// was refused.
func (part *ownedPartition) tryRelay(ctx context.Context, a *site.Append) error {
	address, ask := part.relays.Next(time.Now(), part.node.knownEntries(), part.number)
	if address == "" {
		return errNoRelay
	}
	o := relay.Ready
	if ask {
		o = part.requestRelay(ctx, address, &relayCall{}, questionTimeout)
	}
	if o == relay.Ready {
		o = part.requestRelay(ctx, address, &relayCall{Append: a}, relayTimeout)
	}
	part.log.WithFields(logrus.Fields{"peer": address, "sequence": a.Sequence, "outcome": o.String()}).Info("append given to another entry")
	return relayError(o)
}

// requestRelay makes one call to another entry and records its outcome.
func (part *ownedPartition) requestRelay(ctx context.Context, address string, c *relayCall, timeout time.Duration) relay.Outcome {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := peer.Call[relayCall, relayReply](callCtx, part.node.peer(address), relayKind, c)
	var o relay.Outcome
	var remote *peer.RemoteError
	switch {
	case err == nil:
		o = r.Outcome
	case errors.As(err, &remote):
		o = relay.Unsupported
	case peer.NotSent(err) || c.Append == nil:
		o = relay.Unreachable
	default:
		o = relay.Unanswered
	}
	part.relays.Record(time.Now(), address, o)
	return o
}

// attempts counts the failed attempts at an append.
type attempts struct{ refused, unanswered int }

// count counts a failed attempt.
func (t *attempts) count(err error) {
	if errors.Is(err, site.ErrNotDone) {
		t.refused++
		return
	}
	t.unanswered++
}

// attempt makes one attempt at an append on each way that may succeed: by this entry, and by another one where the log
// seems to serve that only. The error wraps site.ErrNotDone if the log has certainly stored nothing.
func (part *ownedPartition) attempt(ctx context.Context, a *site.Append, failed *attempts) error {
	relayed := error(site.ErrNotDone)
	if relay.First(part.node.logServes(time.Now()), failed.refused, failed.unanswered) {
		if relayed = part.tryRelays(ctx, a); decided(relayed) {
			return relayed
		}
	}
	err := part.tryAppend(ctx, a, failed.unanswered > 0)
	if decided(err) {
		return err
	}
	failed.count(err)
	return lessCertain(relayed, err)
}

// lessCertain returns the error after which an append may have been carried out, or may be later, if one of the two
// is such.
func lessCertain(relayed, direct error) error {
	if errors.Is(direct, site.ErrNotDone) && !errors.Is(relayed, site.ErrNotDone) {
		return relayed
	}
	return direct
}

// decided reports whether the log has stored an append, or refused it for good.
func decided(err error) bool {
	return err == nil || errors.Is(err, site.ErrFenced) || errors.Is(err, site.ErrSequence)
}
