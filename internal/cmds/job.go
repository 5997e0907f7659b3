package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/greengagelane/greengagelane/internal/drive"
	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/internal/verb"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// JobSubmit submits a job to an entry.
var JobSubmit = verb.Subcommand{
	Name:  "job submit",
	Args:  "FILE",
	Short: "Hands a job to 'greengagelane schedule' and prints its identifier.",
	Long: "The file is JSON with comments: queue, spec and steps, each with tasks, cores, memory-mb and\n" +
		"estimate-ms, and, where they fit, after, checkpoints, lasts, per-vm, may-miss and others. A job\n" +
		"with an id can be handed in again after exit code 3; it stays one job.",
	Examples: []verb.Example{{Command: "greengagelane job submit -peer 10.1.0.9:7060 examples/jobs/match.jsonc", Help: "prints 5c0e7a21d94b36f8 once the job is stored"}},
	New:      newJobSubmit,
}

func newJobSubmit(fs *flag.FlagSet) verb.Action {
	address := fs.String("peer", "", "peer address of any entry, IP:port")
	timeout := fs.Duration("timeout", 3*time.Second, "time for the answer")
	return func(out *verb.IO, args []string) error {
		if *address == "" || len(args) != 1 {
			return verb.Usagef("-peer and one file are required")
		}
		j, err := readJob(args[0])
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), *timeout)
		defer cancel()
		resp, err := drive.SendJobRequest(ctx, *address, &drive.JobRequest{ID: j.ID, Submit: j})
		if err := submitError(ctx, j.ID, resp, err); err != nil {
			return err
		}
		_, err = fmt.Fprintln(out.Out, j.ID)
		return err
	}
}

// readJob reads a job file. A job without an identifier gets a generated one.
func readJob(file string) (*jobs.Job, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read job: %w", err)
	}
	j, err := jobs.ParseFile(file, data)
	if err == nil && j.ID == "" {
		const idDigits = 16 // hexadecimal digits of an identifier; see jobs.CheckID
		j.ID = strings.ReplaceAll(uuid.NewString(), "-", "")[:idDigits]
	}
	return j, err
}

// submitError converts the result of a call that submits a job. It returns nil if the job was
// accepted, a verb.UnknownError if ctx ended before the response or the entry does not know
// whether the job was accepted, and otherwise an error that gives the cause.
func submitError(ctx context.Context, id string, resp *drive.JobResponse, err error) error {
	switch {
	case peer.NotSent(err):
		return fmt.Errorf("job %s was not submitted: %w", id, err)
	case err != nil && ctx.Err() != nil:
		return &verb.UnknownError{Err: fmt.Errorf("job %s: %w", id, err)}
	case err != nil:
		return err
	case resp.Reply.Outcome == site.Undecided:
		return &verb.UnknownError{Err: fmt.Errorf("job %s: %s", id, resp.Reply.Reason)}
	case resp.Reply.Outcome != site.OK:
		return fmt.Errorf("job %s was refused: %s; retry in %s", id, resp.Reply.Reason, site.Millis(int(resp.Reply.RetryMS)))
	}
	return nil
}

// JobCancel cancels a job that 'greengagelane schedule' runs.
var JobCancel = verb.Subcommand{
	Name:     "job cancel",
	Args:     "JOB",
	Short:    "Cancels a job that 'greengagelane schedule' runs.",
	Examples: []verb.Example{{Command: "greengagelane job cancel -peer 10.1.0.9:7060 5c0e7a21d94b36f8", Help: "ends its tasks; the job stays known as cancelled"}},
	New:      newJobCancel,
}

func newJobCancel(fs *flag.FlagSet) verb.Action {
	address := fs.String("peer", "", "peer address of any entry, IP:port")
	timeout := fs.Duration("timeout", 3*time.Second, "time for the answer")
	return func(out *verb.IO, args []string) error {
		if *address == "" || len(args) != 1 {
			return verb.Usagef("-peer and one job are required")
		}
		ctx, cancel := context.WithTimeout(context.Background(), *timeout)
		defer cancel()
		resp, err := drive.SendJobRequest(ctx, *address, &drive.JobRequest{ID: args[0], Cancel: true})
		if err != nil {
			return err
		}
		if resp.Reply.Outcome != site.OK {
			return fmt.Errorf("job %s was not cancelled: %s (%s)", args[0], resp.Reply.Reason, resp.Reply.Outcome)
		}
		_, err = fmt.Fprintf(out.Out, "job %s is cancelled\n", args[0])
		return err
	}
}
