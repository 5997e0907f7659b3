package soak

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// Load is the size of the platform and the load of a run. The zero value of a field gives that of the short form.
type Load struct {
	VMs         int  // of all pools
	Pools       int  // besides the spare pool
	DataCentres int  // over which the racks are spread
	Partitions  int  // of the job log
	RackSize    int  // machines of each pool in a rack
	BurstJobs   int  // jobs of a burst; 0 for no bursts
	Series      bool // series of faults that overlap around outages of the log
	Pauses      bool // pauses of owners around their appends and the claims of others

	PoolSizes       []int  // number of VMs of each pool, the spare one last; it replaces VMs and Pools
	Queues          int    // spread over the pools
	JobsPerSecond   int    // submitted all the while; 0 for none
	FailingShare    int    // percentage of these jobs of which runs fail
	LongRunningJobs int    // submitted before the first outage or cut
	Outages         int    // of the log, one after the other, instead of other faults; 0 for none
	LongOutages     bool   // each outage is longer than an owner without confirmation renews leases, and the calm after it as long as a task may be missing
	ScarceRoom      bool   // long-running jobs whose tasks take most of the memory of the pools
	LongLists       bool   // jobs before each outage of which a VM lists more ends than a reply holds
	LoseEntries     string // entries that are lost near the end of each outage, by their name in entryLosses
	LoseVMs         string // VMs that are lost with them, by their name in vmLosses

	Cuts       int           // of owners, one soon after the other, instead of other faults but Pauses; 0 for none
	CutLength  time.Duration // of each; 0 for 3 to 25 s
	CutEntries string        // that are cut off, by their name in cutEntries; empty for those of a data centre
	CutLinks   string        // that these entries lose, by their name in cutLinks; empty for all
	CutVMs     string        // that these entries alone reach meanwhile, by their name in cutVMs; empty for any
	CutOutage  time.Duration // of the log for all, from the begin of each cut on; 0 for none but those that are drawn
	PlainCuts  bool          // nothing else is drawn to happen during cuts, and all are of the same kind
}

// queuePools are the names of the pools. They differ in their partition of a job log of eight.
var queuePools = []string{"alpha", "delta", "omega", "kappa", "theta"}

// fill replaces zero values by those of the short form.
func (l *Load) fill() error {
	set := func(n *int, value int) {
		if *n == 0 {
			*n = value
		}
	}
	if n := len(l.PoolSizes); n > 0 {
		l.VMs, l.Pools = 0, n-1
		for _, size := range l.PoolSizes {
			l.VMs += size
		}
	}
	set(&l.VMs, 11)
	set(&l.Pools, 2)
	set(&l.Queues, l.Pools)
	set(&l.DataCentres, 1)
	set(&l.Partitions, 4)
	set(&l.RackSize, 4)
	if l.Pools > len(queuePools) {
		return fmt.Errorf("%d pools are asked for, at most %d are possible", l.Pools, len(queuePools))
	}
	if len(l.PoolSizes) == 1 {
		return errors.New("a pool is needed besides the spare one")
	}
	if l.Outages > 0 && (findEntryLoss(l.LoseEntries) == nil || findVMLoss(l.LoseVMs) == nil) {
		return fmt.Errorf("no loss of entries is named %q or none of VMs %q", l.LoseEntries, l.LoseVMs)
	}
	if l.CutEntries != "" && findCutEntries(l.CutEntries) == nil {
		return fmt.Errorf("no entries to cut off are named %q", l.CutEntries)
	}
	if l.CutLinks != "" && findCutLinks(l.CutLinks) == nil || l.CutVMs != "" && findCutVMs(l.CutVMs) == nil {
		return fmt.Errorf("no links to cut are named %q or no VMs %q", l.CutLinks, l.CutVMs)
	}
	return nil
}

// queues returns the queues that callers submit to, spread over the pools.
func (l *Load) queues() []emul.Queue {
	var list []emul.Queue
	for i := range l.Queues {
		list = append(list, emul.Queue{Name: "q" + string(rune('a'+i)), Pool: queuePools[i%l.Pools]})
	}
	return list
}

func (l *Load) poolNames() []string { return slices.Clone(queuePools[:l.Pools]) }

// machines returns the number of machines by pool. The spare pool gets what remains, about as many as each other.
func (l *Load) machines() map[string]int {
	if n := len(l.PoolSizes); n > 0 {
		machines := map[string]int{"rest": l.PoolSizes[n-1]}
		for i, pool := range l.poolNames() {
			machines[pool] = l.PoolSizes[i]
		}
		return machines
	}
	each := (l.VMs + l.Pools) / (l.Pools + 1)
	machines := map[string]int{"rest": l.VMs - each*l.Pools}
	for _, pool := range l.poolNames() {
		machines[pool] = each
	}
	return machines
}

func (l *Load) dataCentres() []string {
	if l.DataCentres == 1 {
		return []string{"z"}
	}
	var names []string
	for i := range l.DataCentres {
		names = append(names, fmt.Sprintf("z%d", i+1))
	}
	return names
}

// dataCentreOf returns the data centre of an entry, whose name ends in its number.
func (l *Load) dataCentreOf(entry string) string {
	names := l.dataCentres()
	number, err := strconv.Atoi(strings.TrimPrefix(entry, "entry-"))
	if err != nil {
		return names[0]
	}
	return names[number%len(names)]
}

func (cfg *Config) entryNames() []string {
	var names []string
	for i := range cfg.Entries {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	return names
}

// plannedOnly reports whether a run has no faults but planned work, so that a request cut off meanwhile has no excuse.
// Every fifth seed with series of faults is such a run.
func (cfg *Config) plannedOnly() bool { return cfg.Load.Series && cfg.Seed%5 == 0 }

// recordLag returns how long the record of a crashed VM stays in the VM list. Seeds with series of faults, outages or
// cuts cover what the platform allows.
func (cfg *Config) recordLag() time.Duration {
	if !cfg.Load.Series && cfg.Load.Outages == 0 && cfg.Load.Cuts == 0 {
		return 500 * time.Millisecond
	}
	return []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 4500 * time.Millisecond}[cfg.Seed%3]
}

// keepFinalS returns how many seconds the entries keep the final states of jobs, longer than a run takes.
func (cfg *Config) keepFinalS() int {
	if cfg.Load.Cuts > 0 || cfg.Load.LongOutages {
		return 600
	}
	return 120
}

// programs returns the paths of the programs, of which each start of an entry picks one.
func (cfg *Config) programs() []string {
	if cfg.With == "" {
		return []string{cfg.Program}
	}
	return []string{cfg.Program, cfg.With}
}
