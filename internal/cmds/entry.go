// Package cmds implements the subcommands that run an entry, and those that send one
// command to a running entry and print its reply. Commands on jobs go to the peer address of
// an entry that Schedule runs; all others go to the operator interface (HTTP) of an entry that
// Entry runs. Subcommands that only read are in package query.
package cmds

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/entry"
	"github.com/greengagelane/greengagelane/internal/verb"
	"github.com/greengagelane/greengagelane/pkg/conf"
)

// Entry runs an entry that forwards callers' requests to backend servers and manages the VMs;
// see package entry. Schedule runs the other kind of entry.
var Entry = verb.Subcommand{
	Name:  "entry",
	Short: "Runs an entry until it is told to stop.",
	Long: "On SIGTERM or SIGINT the entry turns not ready, serves on for stop-grace-ms, waits for its\n" +
		"requests in flight, hands its claims to the other entries and ends.",
	Examples: []verb.Example{{Command: "greengagelane entry -settings entry.jsonc", Help: "runs the entry that the file describes"}},
	New:      newEntry,
}

func newEntry(fs *flag.FlagSet) verb.Action {
	file := fs.String("settings", "", "settings file, JSON with comments")
	return func(_ *verb.IO, args []string) error {
		if *file == "" || len(args) > 0 {
			return verb.Usagef("-settings is required, and no arguments are taken")
		}
		return runEntry(*file)
	}
}

func runEntry(file string) error {
	settings, err := conf.Load(file)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(settings.LogLevel)
	if err != nil {
		return err
	}
	logrus.SetLevel(level)
	logrus.SetFormatter(&logrus.JSONFormatter{})
	e, err := entry.New(settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return e.Run(ctx)
}
