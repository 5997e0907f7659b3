package cmds

import (
	"flag"
	"os"
	"strings"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// ReleaseApply publishes a release note.
var ReleaseApply = verb.Subcommand{
	Name:  "release apply",
	Args:  "NOTE",
	Short: "Publishes a release note; it is checked whole first, and refused whole.",
	Examples: []verb.Example{
		{Command: "greengagelane release apply -entry 127.0.0.1:8100 release-2.jsonc", Help: "puts the note in force on all entries"},
	},
	New: newReleaseApply,
}

func newReleaseApply(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	return func(out *verb.IO, args []string) error {
		if len(args) != 1 {
			return verb.Usagef("one release note is required")
		}
		return applyRelease(out, remote, args[0])
	}
}

func applyRelease(out *verb.IO, remote *verb.Remote, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	client, err := remote.Client()
	if err != nil {
		return err
	}
	ctx, cancel := verb.CallContext()
	defer cancel()
	res, err := client.PublishRelease(ctx, oper.PublishReleaseReq{Data: strings.NewReader(string(data))})
	if err != nil {
		return verb.NoteError(file, verb.CommandError(err))
	}
	return verb.WriteAccepted(out, remote.JSON, res, "release accepted")
}
