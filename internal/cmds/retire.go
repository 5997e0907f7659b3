package cmds

import (
	"context"
	"flag"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// EntryRetire states that an entry's VM is gone for good.
var EntryRetire = verb.Subcommand{
	Name:  "entry retire",
	Args:  "ENTRY",
	Short: "States that an entry's VM is gone for good.",
	Long: "Entries remove a silent one by themselves while a majority of them is in touch. This command is for\n" +
		"when fewer are left. Make sure that the VM is off: a retired entry that still runs may let a request\n" +
		"run a second time.",
	Examples: []verb.Example{{Command: "greengagelane entry retire entry-4", Help: "removes entry-4 from the membership"}},
	New:      newEntryRetire,
}

func newEntryRetire(fs *flag.FlagSet) verb.Action {
	return newRemote(fs, 1, "one entry is", "entry retired",
		func(ctx context.Context, c *oper.Client, args []string, id string) (*oper.Accepted, error) {
			return c.RetireEntry(ctx, oper.RetireEntryParams{Entry: args[0], OperationID: id})
		})
}
