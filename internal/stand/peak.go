package stand

import (
	"flag"
	"fmt"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/peak"
	"github.com/greengagelane/greengagelane/internal/verb"
)

func newPeakCommand(fs *flag.FlagSet) verb.Action {
	cfg := peak.Config{}
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of the jobs")
	fs.StringVar(&cfg.Program, "program", "bin/greengagelane", "path of the greengagelane program")
	fs.StringVar(&cfg.Dir, "dir", "out/peak", "directory for the entry's settings and log")
	fs.StringVar(&cfg.Profile, "cpu-profile", "", "file for a profile of the entry's processor time, for go tool pprof")
	fs.IntVar(&cfg.VMs, "vms", 243, "number of VMs of the pool")
	fs.IntVar(&cfg.TasksPerVM, "tasks-per-vm", 7, "number of tasks that fit on a VM")
	fs.DurationVar(&cfg.TaskTime, "task-time", 800*time.Millisecond, "run time of a task")
	fs.Float64Var(&cfg.Load, "load", 0.7, "part of the pool's capacity that the jobs take")
	fs.DurationVar(&cfg.Warmup, "warm-up", 4*time.Second, "time before the measured part")
	fs.DurationVar(&cfg.Length, "length", 12*time.Second, "length of the measured part")
	fs.IntVar(&cfg.Processors, "processors", 1, "processors that the entry may use at the same time, 0 for all")
	limit := fs.Duration("limit", 0, "fail if the entry takes more processor time for each run, 0 for no limit")
	return func(out *verb.IO, _ []string) error {
		r, err := peak.Run(&cfg)
		if err != nil {
			return err
		}
		fmt.Fprintf(out.Out, "%d VMs, %.0f runs a second asked for\n", cfg.VMs, cfg.RunsPerSecond())
		r.Write(out.Out)
		if *limit > 0 && r.PerRun() > *limit {
			return fmt.Errorf("the entry takes %s of processor time for each run, the limit is %s", r.PerRun().Round(time.Microsecond), *limit)
		}
		return nil
	}
}
