package cmds

import (
	"context"
	"flag"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// EntryRetire removes an entry whose VM is gone for good from the membership.
var EntryRetire = verb.Subcommand{
	Name:  "entry retire",
	Args:  "ENTRY",
	Short: "States that an entry's VM is gone for good.",
	Long: "The entries remove a silent entry by themselves while a majority of them can reach each other. This\n" +
		"command is for when fewer are left. Make sure that the VM is off: a retired entry that still runs\n" +
		"may let a request run a second time.",
	Examples: []verb.Example{{Command: "greengagelane entry retire entry-4", Help: "removes entry-4 from the membership"}},
	New:      newEntryRetire,
}

func newEntryRetire(fs *flag.FlagSet) verb.Action {
	return newOperatorAction(fs, 1, "one entry is", "entry retired",
		func(ctx context.Context, c *oper.Client, args []string, id string) (*oper.Accepted, error) {
			return c.RetireEntry(ctx, oper.RetireEntryParams{Entry: args[0], OperationID: id})
		})
}
