package shown

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagelane/greengagelane/internal/fuzz"
)

// TestMain fixes the length of fuzzing at 2000 checks of 60 steps.
func TestMain(m *testing.M) { fuzz.Main(m, 2000, 60) }

// TestNotesAreBounded guards against notes without limit, against a job that is shown without a note, and
// against notes that are lost before the next owner asks.
func TestNotesAreBounded(t *testing.T) {
	var s Notes
	now := time.Now()
	for i := range maxJobs {
		assert.Assert(t, s.Record(now, i%4, fmt.Sprintf("%016x", i)))
	}
	assert.Assert(t, !s.Record(now, 0, "ffffffffffffffff"), "a job beyond the limit was noted")
	assert.Assert(t, !s.RecordAll(now, map[int][]string{0: {fmt.Sprintf("%016x", 0), "ffffffffffffffff"}}))
	assert.Assert(t, s.Record(now, 0, fmt.Sprintf("%016x", 0)), "a noted job was forgotten")
	assert.Equal(t, len(s.List(0)), maxJobs/4)
	assert.Assert(t, s.Record(now.Add(retention+time.Second), 0, "ffffffffffffffff"))
	assert.DeepEqual(t, s.List(0), []string{"ffffffffffffffff"})
	assert.DeepEqual(t, s.All(), map[int][]string{0: {"ffffffffffffffff"}})
}

// handedOn is the number of entries to which one that stops hands its notes on.
const handedOn = 2

// modelEntry is an entry in an outage of the log.
type modelEntry struct {
	notes    *Notes
	up       bool
	stopping bool
}

// world is a history of an outage: jobs are shown, entries stop, end, are killed and start, and owners change.
// The VMs that listed the ends of runs are lost all the while.
type world struct {
	t       *rapid.T
	entries []*modelEntry
	shown   []string
	jobs    int
	kills   int
	owner   int // that knows the ends of the next job's runs
}

func (w *world) draw(what string) int { return rapid.IntRange(0, len(w.entries)-1).Draw(w.t, what) }

// tell has entries other than the given ones take note, in random order, until as many as wanted have.
func (w *world) tell(jobs map[int][]string, wanted int, not ...int) int {
	first, noted := w.draw("first asked"), 0
	for i := range w.entries {
		k := (first + i) % len(w.entries)
		if e := w.entries[k]; noted < wanted && !slices.Contains(not, k) && e.up && !e.stopping && e.notes.RecordAll(time.Time{}, jobs) {
			noted++
		}
	}
	return noted
}

// show has an entry ask the owner for a job whose tasks have all ended, and show it.
func (w *world) show(*rapid.T) {
	by, owner := w.draw("relay"), w.entries[w.owner]
	if !owner.up || !w.entries[by].up {
		return
	}
	w.jobs++
	id := fmt.Sprintf("%016x", w.jobs)
	owner.notes.Record(time.Time{}, 0, id)
	e := Entry{Owner: by == w.owner, Stopping: w.entries[by].stopping}
	if w.entries[by].notes.Show(time.Time{}, e, 0, id, func() bool { return w.tell(map[int][]string{0: {id}}, 1, by, w.owner) > 0 }) {
		w.shown = append(w.shown, id)
	}
}

// stop tells an entry to stop, unless that left fewer than two others to take its notes.
func (w *world) stop(*rapid.T) {
	i, others := w.draw("stopped"), 0
	for k, e := range w.entries {
		if k != i && e.up && !e.stopping {
			others++
		}
	}
	if others >= handedOn && w.entries[i].up {
		w.entries[i].stopping = true
	}
}

// end ends an entry that is stopping.
func (w *world) end(*rapid.T) {
	i := w.draw("ended")
	e := w.entries[i]
	if !e.up || !e.stopping || w.tell(e.notes.All(), handedOn, i) < handedOn {
		return
	}
	*e = modelEntry{}
}

func (w *world) kill(*rapid.T) {
	if e := w.entries[w.draw("killed")]; e.up && w.kills == 0 {
		w.kills++
		*e = modelEntry{}
	}
}

func (w *world) start(*rapid.T) {
	if e := w.entries[w.draw("started")]; !e.up {
		*e = modelEntry{notes: &Notes{}, up: true}
	}
}

func (w *world) changeOwner(*rapid.T) { w.owner = w.draw("owner") }

// check asks all entries for their notes, as an owner does that takes over once the log is back.
func (w *world) check(t *rapid.T) {
	known := map[string]bool{}
	for _, e := range w.entries {
		if e.up {
			for _, id := range e.notes.List(0) {
				known[id] = true
			}
		}
	}
	for _, id := range w.shown {
		if !known[id] {
			t.Fatalf("job %s was shown as completed, and no entry knows", id)
		}
	}
}

// TestShownJobsAreKnown guards against a job that was shown as completed and of which no entry knows when the log
// is back, in any order of planned stops, starts, changes of owners and one kill.
func TestShownJobsAreKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		for range rapid.IntRange(3, 5).Draw(t, "entries") {
			w.entries = append(w.entries, &modelEntry{notes: &Notes{}, up: true})
		}
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "show": w.show, "show2": w.show, "stop": w.stop, "end": w.end, "end2": w.end, "kill": w.kill, "start": w.start, "start2": w.start,
			"owner": w.changeOwner,
		})
	})
}
