package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// contactTime is the time without disturbance after which an entry is in touch.
const contactTime = 3 * time.Second

// allEntries stands for all entries in a disturbance, as an outage of the log is one.
const allEntries = ""

// contact records when entries were disturbed. mu guards the fields below it.
type contact struct {
	mu    sync.Mutex
	names []string // of the entries
	spans []span
}

// span is a disturbance of an entry. end is zero while it lasts. A planned one is a SIGTERM or the start after it.
type span struct {
	entry      string
	begin, end time.Time
	planned    bool
	stop       bool // a SIGTERM
}

func (s *span) overlaps(from, to time.Time) bool {
	return !s.begin.After(to) && (s.end.IsZero() || !s.end.Before(from))
}

// disturb records a disturbance of an entry that takes no time.
func (c *contact) disturb(now time.Time, entry string) {
	c.add(span{entry: entry, begin: now, end: now})
}

// terminate records a planned stop of an entry.
func (c *contact) terminate(now time.Time, entry string) {
	c.add(span{entry: entry, begin: now, end: now, planned: true, stop: true})
}

// restart records the start of an entry, which is planned after a planned stop.
func (c *contact) restart(now time.Time, entry string, planned bool) {
	c.add(span{entry: entry, begin: now, end: now, planned: planned})
}

// begin records the begin of a disturbance of an entry and returns the function that records its end.
func (c *contact) begin(now time.Time, entry string) (end func(now time.Time)) {
	i := c.add(span{entry: entry, begin: now})
	return func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.spans[i].end = now
	}
}

func (c *contact) add(s span) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans = append(c.spans, s)
	return len(c.spans) - 1
}

// inTouch returns the number of entries that were in touch at a time.
func (c *contact) inTouch(at time.Time) int {
	disturbed := c.disturbed(at)
	if disturbed[allEntries] {
		return 0
	}
	return len(c.names) - len(disturbed)
}

// entryInTouch reports whether an entry was in touch at a time.
func (c *contact) entryInTouch(entry string, at time.Time) bool {
	disturbed := c.disturbed(at)
	return !disturbed[allEntries] && !disturbed[entry]
}

// disturbed returns the entries that were not in touch at a time.
func (c *contact) disturbed(at time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	disturbed := map[string]bool{}
	for i := range c.spans {
		if s := &c.spans[i]; s.overlaps(at.Add(-contactTime), at) {
			disturbed[s.entry] = true
		}
	}
	return disturbed
}

// disturbedAt returns when a disturbance was last in effect.
func (c *contact) disturbedAt(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var latest time.Time
	for i := range c.spans {
		end := c.spans[i].end
		if end.IsZero() {
			return now
		}
		if end.After(latest) {
			latest = end
		}
	}
	return latest
}

func (c *contact) describe(at time.Time) string {
	return fmt.Sprintf("%d of %d entries were in touch", c.inTouch(at), len(c.names))
}

// stoppedAsPlanned reports whether an entry was stopped by SIGTERM lately, and no entry was disturbed otherwise from
// contactTime before a request until its end.
func (c *contact) stoppedAsPlanned(entry string, sent, ended time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stopped := func(s span) bool {
		return s.stop && s.entry == entry && s.overlaps(ended.Add(-shutdownGrace-time.Second), ended)
	}
	unplanned := func(s span) bool { return !s.planned && s.overlaps(sent.Add(-contactTime), ended) }
	return slices.ContainsFunc(c.spans, stopped) && !slices.ContainsFunc(c.spans, unplanned)
}
