package stand

import (
	"flag"
	"fmt"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/soak"
	"github.com/greengagelane/greengagelane/internal/verb"
)

func newSoakCommand(fs *flag.FlagSet) verb.Action {
	cfg := soak.Config{}
	fs.Uint64Var(&cfg.Seed, "seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of seeds")
	fs.DurationVar(&cfg.Duration, "length", 20*time.Second, "duration of fault injection per seed")
	fs.IntVar(&cfg.Entries, "entries", 4, "number of entries")
	fs.IntVar(&cfg.Callers, "callers", 6, "number of callers")
	fs.StringVar(&cfg.Program, "program", "bin/greengagelane", "path of the greengagelane program")
	fs.StringVar(&cfg.Dir, "dir", "out/soak", "directory for settings and logs; those of a seed without violations are removed")
	fs.StringVar(&cfg.With, "with", "", "path of another program; each start of an entry picks one of the two")
	fs.IntVar(&cfg.Load.VMs, "vms", 0, "number of VMs, 0 for 11")
	fs.IntVar(&cfg.Load.Pools, "pools", 0, "number of pools besides the spare one, 0 for 2")
	fs.IntVar(&cfg.Load.DataCentres, "data-centres", 0, "number of data centres, 0 for 1")
	fs.IntVar(&cfg.Load.RackSize, "rack-size", 0, "number of machines of each pool in a rack, 0 for 4")
	fs.IntVar(&cfg.Load.Partitions, "partitions", 0, "number of partitions of the job log, 0 for 4")
	fs.IntVar(&cfg.Load.BurstJobs, "burst", 0, "number of jobs of a burst of submissions, 0 for no bursts")
	fs.BoolVar(&cfg.Load.Pauses, "pauses", false, "pause owners around their appends and the claims of others")
	fs.BoolVar(&cfg.Load.Series, "series", false, "inject series of faults around outages of the log")
	fs.BoolVar(&cfg.NoFaults, "calm", false, "inject no faults")
	return func(out *verb.IO, _ []string) error {
		violating, err := soak.RunSeeds(cfg, *seeds, out.Out)
		if err != nil {
			return err
		}
		if violating > 0 {
			return fmt.Errorf("%d of %d seeds violated an invariant; their logs are in %s", violating, *seeds, cfg.Dir)
		}
		return nil
	}
}
