package cmds

import (
	"flag"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// EntryRetire states that an entry's VM is gone for good.
var EntryRetire = verb.Verb{
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
	remote := verb.RemoteFlags(fs)
	id := fs.String("operation-id", "", "sends the same command again without a second effect; made if empty")
	return func(out *verb.IO, args []string) error {
		if len(args) != 1 {
			return verb.Usagef("one entry is required")
		}
		client, err := remote.Client()
		if err != nil {
			return err
		}
		ctx, cancel := verb.Context()
		defer cancel()
		res, err := client.RetireEntry(ctx, oper.RetireEntryParams{Entry: args[0], OperationID: verb.OperationID(*id)})
		if err != nil {
			return verb.CommandError(err)
		}
		return verb.Accepted(out, remote.JSON, res, "entry retired")
	}
}
