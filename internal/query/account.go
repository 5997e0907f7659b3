package query

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/greengagelane/greengagelane/internal/drive"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/verb"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// AccountList shows the load of all client accounts.
var AccountList = verb.Subcommand{
	Name:     "account list",
	Query:    true,
	Short:    "Shows all client accounts with their jobs, resources in use and limits.",
	Examples: []verb.Example{{Command: "greengagelane account list -peer 10.1.0.9:7060", Help: "asks any entry; it asks the owners of all pools"}},
	New:      newAccountQuery(0, "-peer is required, and no argument is taken"),
}

// AccountShow shows the load of one client account, pool by pool.
var AccountShow = verb.Subcommand{
	Name:     "account show",
	Args:     "NAME",
	Query:    true,
	Short:    "Shows a client account with its jobs and resources in use, pool by pool.",
	Examples: []verb.Example{{Command: "greengagelane account show -peer 10.1.0.9:7060 archive", Help: "asks any entry; it asks the owners of all pools"}},
	New:      newAccountQuery(1, "-peer and one client account are required"),
}

// newAccountQuery returns the action of a query that takes the name of an account, or none for all.
// usage is the error of another number of names.
func newAccountQuery(names int, usage string) func(fs *flag.FlagSet) verb.Action {
	return func(fs *flag.FlagSet) verb.Action {
		address := fs.String("peer", "", "peer address of any entry, IP:port")
		asJSON := fs.Bool("json", false, "write JSON")
		return func(out *verb.IO, args []string) error {
			if *address == "" || len(args) != names {
				return verb.Usagef("%s", usage)
			}
			req := &drive.AccountsRequest{}
			if names > 0 {
				req.Name = args[0]
			}
			ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
			defer cancel()
			resp, err := drive.FetchAccounts(ctx, *address, req)
			switch {
			case err != nil:
				return err
			case *asJSON:
				return verb.WriteJSON(out.Out, resp)
			}
			return writeAccounts(out.Out, resp)
		}
	}
}

// accountColumns are the columns of an account's load in a pool. A new field of sched.AccountReport needs
// a line here.
var accountColumns = []struct {
	title string
	value func(r *sched.AccountReport) any
}{
	{"WAITING", func(r *sched.AccountReport) any { return r.Waiting }},
	{"RUNNING", func(r *sched.AccountReport) any { return r.Running }},
	{"REFUSED", func(r *sched.AccountReport) any { return r.Refused }},
	{"IN USE", func(r *sched.AccountReport) any { return formatResources(r.Used) }},
	{"DEMAND", func(r *sched.AccountReport) any { return formatResources(r.Demand) }},
	{"SHARE", func(r *sched.AccountReport) any { return fmt.Sprintf("%.0f cores", r.Share) }},
	{"QUOTA HELD", func(r *sched.AccountReport) any { return fmt.Sprintf("%.0f %%", 100*r.Fraction) }},
}

// writeAccounts writes a row for each account and pool, and a row for each account without load.
func writeAccounts(w io.Writer, resp *drive.AccountsResponse) error {
	fmt.Fprintf(w, "configuration %d\n", resp.Version)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(tw, "ACCOUNT\tWEIGHT\tLIMIT\tPOOL")
	for _, c := range accountColumns {
		fmt.Fprintf(tw, "\t%s", c.title)
	}
	fmt.Fprintln(tw)
	for i := range resp.Accounts {
		a := &resp.Accounts[i]
		weight, limit := fmt.Sprint(a.Weight), formatLimit(a.Limit)
		if !a.Configured {
			weight, limit = "removed", "-"
		}
		if len(a.Pools) == 0 {
			fmt.Fprintf(tw, "%s\t%s\t%s\t-\n", a.Name, weight, limit)
		}
		for _, pool := range slices.Sorted(maps.Keys(a.Pools)) {
			r := a.Pools[pool]
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s", a.Name, weight, limit, pool)
			for _, c := range accountColumns {
				fmt.Fprintf(tw, "\t%v", c.value(&r))
			}
			fmt.Fprintln(tw)
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, pool := range slices.Sorted(maps.Keys(resp.Missing)) {
		fmt.Fprintf(w, "pool %s is missing: %s\n", pool, resp.Missing[pool])
	}
	return nil
}

// formatResources formats amounts of resources, without those that are 0.
func formatResources(r site.Resources) string {
	text := fmt.Sprintf("%.1f cores", float64(r.CPU)/1000)
	if r.MemMB > 0 {
		text += fmt.Sprintf(", %d MB", r.MemMB)
	}
	if r.GPU > 0 {
		text += fmt.Sprintf(", %d accelerators", r.GPU)
	}
	return text
}

// formatLimit formats a quota, in which 0 stands for no limit.
func formatLimit(r site.Resources) string {
	switch {
	case r == site.Resources{}:
		return "none"
	case r.CPU == 0:
		return "no limit of cores" + formatResources(r)[len("0.0 cores"):]
	}
	return formatResources(r)
}
