package cmds

import (
	"flag"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// PoolMove moves a VM to another pool.
var PoolMove = verb.Verb{
	Name:  "pool move",
	Args:  "VM POOL",
	Short: "Moves a VM to another pool once no entry sends it work any more.",
	Long: "The command is accepted when the VM has left service in its old pool. 'vm show' tells how far\n" +
		"the move is. It is refused if the old pool's budget needs the VM.",
	Examples: []verb.Example{{Command: "greengagelane pool move vm-07 filings", Help: "moves vm-07 into the pool filings"}},
	New:      newPoolMove,
}

func newPoolMove(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	id := fs.String("operation-id", "", "sends the same command again without a second effect; made if empty")
	return func(out *verb.IO, args []string) error {
		if len(args) != 2 {
			return verb.Usagef("a VM and a pool are required")
		}
		client, err := remote.Client()
		if err != nil {
			return err
		}
		ctx, cancel := verb.Context()
		defer cancel()
		res, err := client.MoveVM(ctx, oper.MoveVMParams{VM: args[0], To: args[1], OperationID: verb.OperationID(*id)})
		if err != nil {
			return verb.CommandError(err)
		}
		return verb.Accepted(out, remote.JSON, res, "move started")
	}
}
