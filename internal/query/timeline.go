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

// Timeline gathers the events of all entries.
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

// filter selects events.
type filter struct{ subject, kind, entry string }

func (f filter) keeps(e oper.Event) bool {
	return (f.subject == "" || strings.Contains(e.Subject, f.subject) || strings.Contains(e.Text, f.subject)) &&
		(f.kind == "" || e.Kind == f.kind) && (f.entry == "" || e.Entry == f.entry)
}

func newTimeline(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	var f filter
	fs.StringVar(&f.subject, "subject", "", "only events of this VM, pool, request id, release or entry")
	fs.StringVar(&f.kind, "kind", "", "only events of this kind: request, attempt, claim, record, view, fresh, platform, process")
	fs.StringVar(&f.entry, "from", "", "only events of this entry")
	page := fs.String("html", "", "write a page with a picture to this file")
	return func(out *verb.IO, args []string) error {
		if len(args) > 0 {
			return verb.Usagef("no argument is taken")
		}
		events, missing, err := gatherEvents(remote, f)
		if err != nil {
			return err
		}
		for _, name := range missing {
			fmt.Fprintf(out.Err, "entry %s does not answer; its events are missing\n", name)
		}
		return writeTimeline(out.Out, remote.JSON, *page, events)
	}
}

func writeTimeline(w io.Writer, asJSON bool, page string, events []oper.Event) error {
	switch {
	case page != "":
		file, err := os.Create(page)
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

// gatherEvents asks every member that the first entry knows of.
func gatherEvents(remote *verb.Remote, f filter) (events []oper.Event, missing []string, err error) {
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
			missing = append(missing, m.Name)
			continue
		}
		for _, e := range got {
			if f.keeps(e) {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b oper.Event) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.TimeMs, b.TimeMs), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Sequence, b.Sequence))
	})
	return events, missing, nil
}

// fetchEvents returns an entry's events with times by this machine's clock.
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
	middle := sent.Add(time.Since(sent) / 2)
	ahead := res.NowMs - middle.UnixMilli()
	for i := range res.Events {
		res.Events[i].TimeMs -= ahead
	}
	return res.Events, nil
}
