package query

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// Timeline shows the events of all entries as one list, or as an HTML page.
var Timeline = verb.Subcommand{
	Name:  "timeline",
	Query: true,
	Short: "Shows the events of all entries in one order.",
	Long: "The events are ordered by the log offset that the entry had reached, then by its clock, corrected by\n" +
		"what the clock showed when the events were fetched. Each entry keeps its newest 4,096 events.",
	Examples: []verb.Example{
		{Command: "greengagelane timeline -subject vm-07", Help: "what happened to a VM"},
		{Command: "greengagelane timeline -kind record -html timeline.html", Help: "the log's records as a page with a picture"},
	},
	New: newTimeline,
}

// filter selects events; an empty field matches every event. subject matches any part of
// an event's subject or text.
type filter struct{ subject, kind, entry string }

func (f filter) matches(e oper.Event) bool {
	return (f.subject == "" || strings.Contains(e.Subject, f.subject) || strings.Contains(e.Text, f.subject)) &&
		(f.kind == "" || e.Kind == f.kind) && (f.entry == "" || e.Entry == f.entry)
}

func newTimeline(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	var f filter
	fs.StringVar(&f.subject, "subject", "", "only events of this VM, pool, request id, release or entry")
	fs.StringVar(&f.kind, "kind", "", "only events of this kind: request, attempt, claim, record, view, fresh, platform, process")
	fs.StringVar(&f.entry, "from", "", "only events of this entry")
	pageFile := fs.String("html", "", "write a page with a picture to this file")
	return func(out *verb.IO, args []string) error {
		if len(args) > 0 {
			return verb.Usagef("no argument is taken")
		}
		events, unreachable, err := gatherEvents(remote, f)
		if err != nil {
			return err
		}
		for _, name := range unreachable {
			fmt.Fprintf(out.Err, "entry %s does not answer; its events are missing\n", name)
		}
		return writeTimeline(out.Out, remote.JSON, *pageFile, events)
	}
}

func writeTimeline(w io.Writer, asJSON bool, pageFile string, events []oper.Event) error {
	switch {
	case pageFile != "":
		file, err := os.Create(pageFile)
		if err != nil {
			return err
		}
		defer file.Close()
		return writePage(file, events)
	case asJSON:
		return verb.WriteJSON(w, events)
	}
	for _, e := range events {
		at := time.UnixMilli(e.TimeMs).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(w, "%s %6d %-10s %-9s %-20s %s\n", at, e.Offset, e.Entry, e.Kind, e.Subject, e.Text); err != nil {
			return err
		}
	}
	return nil
}

// gatherEvents returns the events of all members in the status of the entry that the flags
// name, and the names of the members that did not answer. The named entry is asked at the
// address given by the flags, not at the one in its status, since the former has just answered.
func gatherEvents(remote *verb.Remote, f filter) (events []oper.Event, unreachable []string, err error) {
	st, err := fetchStatus(remote)
	if err != nil {
		return nil, nil, err
	}
	for _, m := range st.Members {
		address := m.OperatorAddress
		if m.Name == st.Entry {
			address = remote.Address()
		}
		got, err := fetchEvents(remote, address)
		if err != nil {
			unreachable = append(unreachable, m.Name)
			continue
		}
		for _, e := range got {
			if f.matches(e) {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b oper.Event) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.TimeMs, b.TimeMs), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Sequence, b.Sequence))
	})
	return events, unreachable, nil
}

// fetchEvents returns an entry's events with their times converted to the local clock. The
// difference between the clocks is estimated on the assumption that the entry read its
// clock halfway between the request and the response.
func fetchEvents(remote *verb.Remote, address string) ([]oper.Event, error) {
	client, err := remote.ClientAt(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := verb.CallContext()
	defer cancel()
	sent := time.Now()
	res, err := client.ListEvents(ctx)
	if err != nil {
		return nil, err
	}
	midpoint := sent.Add(time.Since(sent) / 2)
	clockSkew := res.NowMs - midpoint.UnixMilli()
	for i := range res.Events {
		res.Events[i].TimeMs -= clockSkew
	}
	return res.Events, nil
}
