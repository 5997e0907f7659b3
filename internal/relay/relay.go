// Package relay decides when an owner has an append to the job log sent by another entry, and by which.
//
// It answers partial outages, in which the log turns some entries away or leaves their calls unanswered while it
// serves the others. An append keeps its epoch and sequence number on all ways, so the log carries it out once however
// often and late it arrives, and refuses it after a later owner's claim. In a total outage an entry that is asked
// knows that the log fails itself, and says so without a call; the number of questions is bounded too.
//
// The package uses no clock and no network.
package relay

import (
	"slices"
	"time"
)

//go:generate ../../.bin/enumer -type=Outcome -transform=kebab -output=outcome_enumer.go

// Outcome is what became of a request to another entry. The log has certainly not carried out the append, and will
// not, after Ready, LogFails, Refused, Unreachable and Unsupported.
type Outcome int

// Outcomes. Those up to OutOfSequence are on the wire between entries; their order must not change.
const (
	Ready         Outcome = iota // the log serves the entry; the answer to a question without an append
	Stored                       // the log holds the append
	LogFails                     // the log does not serve the entry either; nothing was sent
	Refused                      // the log refused the append, or the entry is busy with another one
	Unanswered                   // the append may have been carried out, or may be later
	Fenced                       // the log has refused the append, as a later owner has claimed the partition
	OutOfSequence                // the log expects another sequence number
	Unreachable                  // the entry did not answer a question
	Unsupported                  // an entry of an earlier version
)

const (
	maxQuestions    = 4                      // asked within questionPeriod
	questionPeriod  = time.Second            // of an owner of one partition
	refusedPause    = time.Second            // before an entry is asked again which the log did not serve
	silentPause     = 2 * time.Second        // before an entry is asked again that did not answer
	earlierPause    = 30 * time.Second       // before an entry of an earlier version is asked again; it may have been replaced
	directFailures  = 2                      // unanswered attempts by the owner itself, before an append is relayed
	answeredWithin  = 2 * time.Second        // since the log has answered an entry, for it to count as served; its calls wait for 0.7 s at most
	failingFor      = 500 * time.Millisecond // without an answer, for failed calls to count; a log that loses a third of its answers still gives some
	preferredMemory = 5 * time.Second        // for which the entry that stored the last append is taken without a question
)

// Serves reports whether the log serves an entry, by the times of the last answered and the last failed call.
func Serves(now, answered, failed time.Time) bool {
	silent := now.Sub(answered)
	return silent < failingFor || (answered.After(failed) && silent < answeredWithin)
}

// First reports whether an append is to be relayed before the owner tries itself. served says whether the log serves
// the owner, and refused and unanswered how many of its attempts at this append have failed so.
func First(served bool, refused, unanswered int) bool {
	return !served || refused > 0 || unanswered >= directFailures
}

// Peers are the entries that an owner of a partition may ask. The zero value is ready for use. It is not safe for
// concurrent use.
type Peers struct {
	retryAt  map[string]time.Time // by address
	asked    []time.Time          // within questionPeriod
	stored   string               // address of the entry that stored the last append
	storedAt time.Time
}

// Next returns the entry to which to turn, and whether to ask it first if the log serves it. It returns "" if none is
// to be asked now. known are the addresses of the other entries; offset spreads the questions of several partitions
// over them.
func (p *Peers) Next(now time.Time, known []string, offset int) (address string, ask bool) {
	if p.stored != "" && now.Sub(p.storedAt) < preferredMemory && p.mayAsk(now, p.stored) && slices.Contains(known, p.stored) {
		return p.stored, false
	}
	p.asked = slices.DeleteFunc(p.asked, func(at time.Time) bool { return now.Sub(at) >= questionPeriod })
	if len(p.asked) >= maxQuestions {
		return "", false
	}
	for i := range known {
		if a := known[(i+offset)%len(known)]; p.mayAsk(now, a) {
			p.asked = append(p.asked, now)
			return a, true
		}
	}
	return "", false
}

func (p *Peers) mayAsk(now time.Time, address string) bool { return !now.Before(p.retryAt[address]) }

// Record records what became of a request to an entry.
func (p *Peers) Record(now time.Time, address string, o Outcome) {
	if p.retryAt == nil {
		p.retryAt = map[string]time.Time{}
	}
	switch o {
	case Ready:
		return
	case Stored:
		p.stored, p.storedAt = address, now
		return
	case LogFails, Refused, Fenced, OutOfSequence:
		p.retryAt[address] = now.Add(refusedPause)
	case Unanswered, Unreachable:
		p.retryAt[address] = now.Add(silentPause)
	case Unsupported:
		p.retryAt[address] = now.Add(earlierPause)
	}
	if p.stored == address {
		p.stored = ""
	}
}
