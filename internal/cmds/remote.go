package cmds

import (
	"context"
	"flag"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// sendFunc sends one command with its arguments to an entry's operator interface. The
// operation id makes a repeated command take effect once.
type sendFunc func(ctx context.Context, c *oper.Client, args []string, operationID string) (*oper.Accepted, error)

// newOperatorAction returns the action of a command that is sent to an entry's operator
// interface. argCount is the number of arguments. required names the arguments in the usage
// error for any other number: "one wave is" gives the error "one wave is required".
// message is printed on success.
func newOperatorAction(fs *flag.FlagSet, argCount int, required, message string, send sendFunc) verb.Action {
	remote := verb.RemoteFlags(fs)
	id := fs.String("operation-id", "", "identifies the command: sent again with the same id, it has no second effect; generated if empty")
	return func(out *verb.IO, args []string) error {
		if len(args) != argCount {
			return verb.Usagef("%s required", required)
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
		return verb.WriteAccepted(out, remote.JSON, res, message)
	}
}
