package stand

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
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
	fs.BoolVar(&cfg.Keep, "keep", false, "keep the logs of seeds without violations, too")
	fs.StringVar(&cfg.With, "with", "", "path of another program; each start of an entry picks one of the two")
	fs.IntVar(&cfg.Load.VMs, "vms", 0, "number of VMs, 0 for 11")
	fs.IntVar(&cfg.Load.Pools, "pools", 0, "number of pools besides the spare one, 0 for 2")
	fs.IntVar(&cfg.Load.DataCentres, "data-centres", 0, "number of data centres, 0 for 1")
	fs.IntVar(&cfg.Load.RackSize, "rack-size", 0, "number of machines of each pool in a rack, 0 for 4")
	fs.IntVar(&cfg.Load.Partitions, "partitions", 0, "number of partitions of the job log, 0 for 4")
	fs.IntVar(&cfg.Load.BurstJobs, "burst", 0, "number of jobs of a burst of submissions, 0 for no bursts")
	fs.BoolVar(&cfg.Load.Pauses, "pauses", false, "pause owners around their appends and the claims of others")
	fs.BoolVar(&cfg.Load.Series, "series", false, "inject series of faults around outages of the log")
	fs.Func("pool-sizes", "number of VMs of each pool, the spare one last, separated by commas; replaces -vms and -pools", func(list string) (err error) {
		cfg.Load.PoolSizes, err = parseSizes(list)
		return err
	})
	fs.IntVar(&cfg.Load.Queues, "queues", 0, "number of queues, 0 for one a pool")
	fs.IntVar(&cfg.Load.JobsPerSecond, "jobs-per-second", 0, "jobs submitted a second, each followed by a caller of its own, 0 for none")
	fs.IntVar(&cfg.Load.FailingShare, "failing-share", 0, "percentage of these jobs of which runs fail")
	fs.IntVar(&cfg.Load.LongRunningJobs, "long-running", 0, "number of long-running jobs submitted before the first outage")
	fs.IntVar(&cfg.Load.Outages, "outages", 0, "number of outages of the log, one after the other, instead of other faults and of -length")
	fs.BoolVar(&cfg.Load.LongOutages, "long-outages", false, "outages of 8.7 to 11.7 s, with 14 s of calm before each and after the last, instead of 2.7 to 4.7 and 3 s")
	fs.BoolVar(&cfg.Load.ScarceRoom, "scarce-room", false, "tasks of -long-running jobs that take 2.5 to 9 GB of memory each")
	fs.BoolVar(&cfg.Load.LongLists, "long-lists", false, "submit jobs before each outage of which a VM lists more ends than a reply holds")
	fs.StringVar(&cfg.Load.LoseEntries, "lose-entries", "all", "entries lost in each outage: none, owner, two, half, all or rolling")
	fs.StringVar(&cfg.Load.LoseVMs, "lose-vms", "all", "VMs lost with them: none, one, pool-rack, ends, rack or all")
	fs.IntVar(&cfg.Load.Cuts, "cuts", 0, "number of silent cuts of owners, one soon after the other, instead of other faults but -pauses, and of -length")
	fs.DurationVar(&cfg.Load.CutLength, "cut-length", 0, "length of each cut, 0 for 3 to 25 s")
	fs.StringVar(&cfg.Load.CutEntries, "cut-entries", "", "entries that are cut off: data-centre, owner or two; empty for those of a data centre")
	fs.DurationVar(&cfg.Load.CutOutage, "cut-outage", 0, "length of an outage of the log for all from the begin of each cut on, 0 for none but those that are drawn")
	fs.StringVar(&cfg.Load.CutLinks, "cut-links", "", "links that these entries lose: all, log or entries; empty for all")
	fs.StringVar(&cfg.Load.CutVMs, "cut-vms", "", "VMs that these entries alone reach meanwhile: none, third, two-thirds, data-centre or split; empty for any but none")
	fs.BoolVar(&cfg.Load.PlainCuts, "plain-cuts", false, "cut all links in both directions, with no other faults drawn")
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

// parseSizes returns the positive numbers of a list separated by commas.
func parseSizes(list string) ([]int, error) {
	var sizes []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is no positive number", s)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}
