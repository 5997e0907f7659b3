package cmds

import (
	"context"
	"flag"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// call sends one command with its arguments under an operation id.
type call func(ctx context.Context, c *oper.Client, args []string, operationID string) (*oper.Accepted, error)

// newRemote returns the action of a command that takes a number of arguments and
// has one answer. Wanted names the arguments, done is printed on success.
func newRemote(fs *flag.FlagSet, arguments int, wanted, done string, send call) verb.Action {
	remote := verb.RemoteFlags(fs)
	id := fs.String("operation-id", "", "sends the same command again without a second effect; made if empty")
	return func(out *verb.IO, args []string) error {
		if len(args) != arguments {
			return verb.Usagef("%s required", wanted)
		}
		client, err := remote.Client()
		if err != nil {
			return err
		}
		ctx, cancel := verb.CallContext()
		defer cancel()
		res, err := send(ctx, client, args, verb.OperationID(*id))
		if err != nil {
			return verb.CommandError(err)
		}
		return verb.WriteAccepted(out, remote.JSON, res, done)
	}
}
