package query

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/greengagelane/greengagelane/internal/drive"
	"github.com/greengagelane/greengagelane/internal/verb"
)

const responseTimeout = 3 * time.Second // of a call to an entry's peer address

// JobShow shows a job that 'greengagelane schedule' runs.
var JobShow = verb.Subcommand{
	Name:     "job show",
	Args:     "JOB",
	Query:    true,
	Short:    "Shows a job, where its tasks run, and why the others wait.",
	Examples: []verb.Example{{Command: "greengagelane job show -peer 10.1.0.9:7060 5c0e7a21d94b36f8", Help: "asks any entry; it finds the job's owner"}},
	New:      newJobShow,
}

func newJobShow(fs *flag.FlagSet) verb.Action {
	address := fs.String("peer", "", "peer address of any entry, IP:port")
	asJSON := fs.Bool("json", false, "write JSON")
	return func(out *verb.IO, args []string) error {
		if *address == "" || len(args) != 1 {
			return verb.Usagef("-peer and one job are required")
		}
		ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
		defer cancel()
		resp, err := drive.SendJobRequest(ctx, *address, &drive.JobRequest{ID: args[0]})
		if err != nil {
			return err
		}
		if *asJSON {
			return verb.WriteJSON(out.Out, resp)
		}
		return writeJob(out, args[0], resp)
	}
}

func writeJob(out *verb.IO, id string, resp *drive.JobResponse) error {
	if resp.View == nil {
		return fmt.Errorf("job %s: %s (%s)", id, resp.Reply.Reason, resp.Reply.Outcome)
	}
	fmt.Fprintf(out.Out, "job %s of queue %s in pool %s: %s, partition %d\n", id, resp.View.Queue, resp.View.Pool, resp.Reply.State, resp.Partition)
	if resp.View.Why != "" {
		fmt.Fprintf(out.Out, "given up: %s\n", resp.View.Why)
	}
	tw := tabwriter.NewWriter(out.Out, 0, 4, 2, ' ', 0)
	for _, t := range resp.View.Tasks {
		where := t.VM
		if where == "" {
			where = "-"
		}
		fmt.Fprintf(tw, "%s\t%s\trun %d\t%d %%\t%d failed\t%s\n", t.Task, where, t.Run, t.Percent, t.Failures, t.Why)
		for _, c := range t.Crashes {
			fmt.Fprintf(tw, "\tcrashed: %s\n", c)
		}
	}
	return tw.Flush()
}

// PoolLoad shows the load of a pool that 'greengagelane schedule' runs.
var PoolLoad = verb.Subcommand{
	Name:     "pool load",
	Args:     "POOL",
	Query:    true,
	Short:    "Shows the use of a pool that 'greengagelane schedule' runs, and why VMs get no work.",
	Examples: []verb.Example{{Command: "greengagelane pool load -peer 10.1.0.9:7060 filings", Help: "asks any entry; it finds the pool's owner"}},
	New:      newPoolLoad,
}

func newPoolLoad(fs *flag.FlagSet) verb.Action {
	address := fs.String("peer", "", "peer address of any entry, IP:port")
	asJSON := fs.Bool("json", false, "write JSON")
	return func(out *verb.IO, args []string) error {
		if *address == "" || len(args) != 1 {
			return verb.Usagef("-peer and one pool are required")
		}
		ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
		defer cancel()
		report, err := drive.FetchPoolReport(ctx, *address, args[0])
		if err != nil {
			return err
		}
		if *asJSON {
			return verb.WriteJSON(out.Out, report)
		}
		fmt.Fprintf(out.Out, "pool %s: %.1f cores in use, %.1f by long-running tasks, %.1f core-seconds waiting, %.1f offered per second\n",
			report.Pool, report.Used, report.Lasting, report.Waiting, report.Rate)
		tw := tabwriter.NewWriter(out.Out, 0, 4, 2, ' ', 0)
		for _, v := range report.VMs {
			fmt.Fprintf(tw, "%s\t%d runs\t%d long-running\t%.1f cores\t%s\n", v.ID, v.Runs, v.Lasting, float64(v.CPU)/1000, vmCondition(v.Unusable))
		}
		return tw.Flush()
	}
}

// vmCondition says whether a VM accepts new runs, and if not, why.
func vmCondition(unusable string) string {
	if unusable == "" {
		return "in service"
	}
	return unusable
}
