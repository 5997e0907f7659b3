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
