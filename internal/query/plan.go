package query

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// ReleasePlan shows what a release note would change.
var ReleasePlan = verb.Subcommand{
	Name:     "release plan",
	Args:     "NOTE",
	Query:    true,
	Short:    "Shows what a release note would change, and which budgets would get tight.",
	Examples: []verb.Example{{Command: "greengagelane release plan release-2.jsonc", Help: "checks the note against the state in force; nothing changes"}},
	New:      newReleasePlan,
}

func newReleasePlan(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	return func(out *verb.IO, args []string) error {
		if len(args) != 1 {
			return verb.Usagef("one release note is required")
		}
		data, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		client, err := remote.Client()
		if err != nil {
			return err
		}
		ctx, cancel := verb.CallContext()
		defer cancel()
		plan, err := client.PlanRelease(ctx, oper.PlanReleaseReq{Data: strings.NewReader(string(data))})
		if err != nil {
			return verb.NoteError(args[0], verb.QueryError(err))
		}
		if remote.JSON {
			return verb.WriteJSON(out.Out, plan)
		}
		for _, line := range plan.Changes {
			fmt.Fprintln(out.Out, line)
		}
		for _, line := range plan.Tight {
			fmt.Fprintln(out.Out, "tight:", line)
		}
		_, err = fmt.Fprintf(out.Out, "%d changes, %d pools without a VM to spare\n", len(plan.Changes), len(plan.Tight))
		return err
	}
}
