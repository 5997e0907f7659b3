package query

import (
	"flag"
	"fmt"
	"os"

	"github.com/greengagelane/greengagelane/internal/verb"
	"github.com/greengagelane/greengagelane/pkg/conf"
	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/note"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Check verifies a file offline.
var Check = verb.Subcommand{
	Name:  "check",
	Args:  "FILE...",
	Query: true,
	Short: "Checks settings files or release notes without asking an entry.",
	Long: "Release notes are checked in the order given, each on top of those before it. A note that is based\n" +
		"on a release which is not among them can only be checked by 'release plan'.",
	Examples: []verb.Example{
		{Command: "greengagelane check -kind settings entry.jsonc", Help: "checks fields, ranges and relations"},
		{Command: "greengagelane check first.jsonc second.jsonc", Help: "checks two notes in a row"},
	},
	New: newCheck,
}

func newCheck(fs *flag.FlagSet) verb.Action {
	kind := fs.String("kind", "release", "what the files are: release, settings (of entry) or schedule (settings of schedule)")
	return func(out *verb.IO, args []string) error {
		if len(args) == 0 || (*kind != "release" && *kind != "settings" && *kind != "schedule") {
			return verb.Usagef("files are required, and -kind is release, settings or schedule")
		}
		s := fleet.NewState()
		for _, file := range args {
			if err := checkFile(*kind, file, s); err != nil {
				return err
			}
			fmt.Fprintf(out.Out, "%s: ok\n", file)
		}
		return nil
	}
}

func checkFile(kind, file string, s *fleet.State) error {
	if kind == "schedule" {
		_, err := site.LoadSettings(file)
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if kind == "settings" {
		_, err := conf.Parse(file, data)
		return err
	}
	n, err := note.Check(file, data, s)
	if err != nil {
		return err
	}
	return s.Apply(s.Next, fleet.ReleasePublished{Note: n})
}
