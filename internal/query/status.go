// Package query holds the subcommands that only read, one file each. They ask a running
// entry or the platform, or read local files, and print text or, with -json, JSON.
package query

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// Status shows one entry's view of the fleet.
var Status = verb.Subcommand{
	Name:     "status",
	Query:    true,
	Short:    "Shows the release in force, the entries, pools and waves, as one entry sees them.",
	Examples: []verb.Example{{Command: "greengagelane status -entry 127.0.0.1:8100", Help: "asks one entry; each answers for itself"}},
	New:      newStatus,
}

func newStatus(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	return func(out *verb.IO, args []string) error {
		if len(args) > 0 {
			return verb.Usagef("no argument is taken")
		}
		st, err := fetchStatus(remote)
		if err != nil {
			return err
		}
		if remote.JSON {
			return verb.WriteJSON(out.Out, st)
		}
		return writeStatus(out.Out, st)
	}
}

func fetchStatus(remote *verb.Remote) (*oper.Status, error) {
	client, err := remote.Client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := verb.CallContext()
	defer cancel()
	st, err := client.GetStatus(ctx)
	return st, verb.QueryError(err)
}

func writeStatus(w io.Writer, st *oper.Status) error {
	logAge := time.Duration(st.LogAgeMs) * time.Millisecond
	fmt.Fprintf(w, "entry %s: release %q, log offset %d, last answer of the log %s ago, current: %t\n\n",
		st.Entry, st.Release, st.Offset, logAge, st.Fresh)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "ENTRY\tDATA CENTRE\tRELEASE\tOFFSET\tSILENT")
	for _, m := range st.Members {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d ms\n", m.Name, m.DataCentre, m.Release, m.Offset, m.SilentMs)
	}
	// The budget of a pool is the minimum number of its VMs that must be serving.
	fmt.Fprintln(tw, "\nPOOL\tVMS\tSERVING\tBUDGET\tSPARE")
	for _, p := range st.Pools {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%t\n", p.Name, p.Vms, p.Serving, p.MinServing, p.Spare)
	}
	if len(st.Waves) > 0 {
		fmt.Fprintln(tw, "\nWAVE\tSTATE\tDONE\tFAILED\tREASON")
	}
	for _, v := range st.Waves {
		fmt.Fprintf(tw, "%s\t%s\t%d of %d\t%d\t%s\n", v.Name, v.State, v.Done, v.Total, v.Failed, v.Reason)
	}
	return tw.Flush()
}
