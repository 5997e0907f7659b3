package cmds

import (
	"context"
	"flag"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// PoolMove moves a VM to another pool.
var PoolMove = verb.Subcommand{
	Name:  "pool move",
	Args:  "VM POOL",
	Short: "Moves a VM to another pool once no entry sends it work any more.",
	Long: "The command is accepted when the VM has left service in its old pool. 'vm show' tells how far\n" +
		"the move is. It is refused if the old pool's budget needs the VM.",
	Examples: []verb.Example{{Command: "greengagelane pool move vm-07 filings", Help: "moves vm-07 into the pool filings"}},
	New:      newPoolMove,
}

func newPoolMove(fs *flag.FlagSet) verb.Action {
	return newRemote(fs, 2, "a VM and a pool are", "move started",
		func(ctx context.Context, c *oper.Client, args []string, id string) (*oper.Accepted, error) {
			return c.MoveVM(ctx, oper.MoveVMParams{VM: args[0], To: args[1], OperationID: id})
		})
}
