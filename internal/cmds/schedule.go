package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/drive"
	"github.com/greengagelane/greengagelane/internal/logs"
	"github.com/greengagelane/greengagelane/internal/verb"
	"github.com/greengagelane/greengagelane/pkg/site"
	"github.com/greengagelane/greengagelane/platform"
)

// Schedule runs an entry that schedules jobs on the platform's VMs; see package drive.
var Schedule = verb.Subcommand{
	Name:  "schedule",
	Short: "Runs an entry that schedules jobs on the platform until it is told to stop.",
	Long: "On SIGTERM or SIGINT the entry turns not ready, hands its partitions to other entries, serves\n" +
		"on until the balancer has noticed, and ends. On SIGHUP it checks its settings file.",
	Examples: []verb.Example{{Command: "greengagelane schedule -settings settings.jsonc", Help: "runs the entry that the file describes"}},
	New:      newSchedule,
}

func newSchedule(fs *flag.FlagSet) verb.Action {
	file := fs.String("settings", "", "settings file, JSON with comments; by default the file that GREENGAGELANE_CONFIG names")
	profile := fs.String("cpu-profile", "", "file to which a profile of the processor time is written on stop, for go tool pprof")
	return func(_ *verb.IO, args []string) error {
		if *file == "" {
			*file = os.Getenv(platform.SettingsVariable)
		}
		if *file == "" || len(args) > 0 {
			return verb.Usagef("-settings is required, and no arguments are taken")
		}
		return runSchedule(*file, *profile)
	}
}

func runSchedule(file, profile string) error {
	settings, err := site.LoadSettings(file)
	if err != nil {
		return err
	}
	endProfile, err := startProfile(profile)
	if err != nil {
		return err
	}
	defer endProfile()
	flush := logs.Start(os.Stdout, settings.Entry)
	defer flush()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go checkSettingsOnSignal(file, hup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return drive.New(settings).Run(ctx)
}

// startProfile starts a profile of the processor time and returns the function that ends it. It does nothing without a
// file.
func startProfile(file string) (end func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(fmt.Errorf("profile to %s: %w", file, err), f.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		if err := f.Close(); err != nil {
			logrus.WithError(err).WithField("file", file).Warn("profile not written")
		}
	}, nil
}
