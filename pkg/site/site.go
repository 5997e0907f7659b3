package site

import (
	"strings"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// Config is the operator's complete configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Pools    []Pool
	MaxBody  int64 // largest request body, in bytes
	HeaderMS int   // time limit for reading a request's header
	IdleMS   int   // idle timeout of a caller's connection
	// Accounts are the client accounts. Their keys are checked if HasAccounts is set, also if
	// the list is empty.
	Accounts    []Account
	HasAccounts bool

	// AccountsByKey holds the names of the accounts by key. IndexAccounts sets it; entries do not
	// exchange it.
	AccountsByKey map[string]string `msgpack:"-"`
}

// Route maps the job requests that match its host and path prefix to a queue, which has
// the route's name, and to the pool that runs the queue's jobs.
type Route struct {
	Name        string
	Host        string
	Prefix      string // path prefix; the longest match wins
	Pool        string
	TimeoutMS   int
	TargetMS    int64   // added to the stretched run time to give a job's latency objective
	Priority    int     // 0 is the most urgent
	MaxAttempts int     // number of failed runs of one task after which its job fails
	Stretch     float64 // factor on a job's run time in its latency objective
	Advice      bool    // tasks start only on VMs that the placement policy allows
	Public      bool    // callers need no key
}

// ApplyTo assigns a job to the route's queue and sets the fields that the route
// determines.
func (r *Route) ApplyTo(j *jobs.Job) {
	j.Queue, j.Pool, j.Advice = r.Name, r.Pool, r.Advice
	j.MaxAttempts, j.Priority, j.Stretch, j.TargetMS = max(r.MaxAttempts, 1), r.Priority, r.Stretch, r.TargetMS
}

// Pool is a set of VMs that run jobs. The operator's configuration calls it a service; the
// pool has the name of that service.
type Pool struct {
	Name   string
	Guards bool // its VMs refuse runs that exceed their free resources
	Spare  bool // spare pool: its VMs are off and cause no cost
}

// Match returns the route with the longest prefix that matches a host and path.
func (c *Config) Match(host, path string) (*Route, bool) {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// VM is one incarnation of a VM, as the VM reports itself.
type VM struct {
	ID         string // a later incarnation may have the same one
	Born       int64  // start of this incarnation, Unix milliseconds
	Pool       string
	Address    string
	DataCentre string
	Draining   bool  // will leave the pool soon
	LeavesMS   int64 // minimum time until it leaves, while draining
	ColdMS     int64 // remaining warm-up time, in which it is slow
	CPU        int   // thousandths of a core
	MemMB      int
	GPU        int      // number of accelerators
	Labels     []string // hardware kind and rack
}

// Has reports whether the VM carries a label.
func (v *VM) Has(label string) bool {
	for _, l := range v.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Incarnation names an incarnation of a VM.
type Incarnation struct {
	VM   string
	Born int64 // its start, Unix milliseconds
	// AgeMS is how long ago, in ms, the inventory was read that shows its end; 0 if that is not known.
	AgeMS int64
}

// VMStatus is a VM's answer to a status poll.
type VMStatus struct {
	ClockMS int64 // the VM's monotonic clock
	Born    int64 // start of the incarnation, Unix milliseconds; 0 if not reported
	Running []Run
	Ended   []RunEnd   // in the order of their sequence numbers
	EndsCut bool       // there may be more run ends, with higher sequence numbers, that the reply does not list
	Answers StatusPoll // the poll
}

// Run is a run of a task in progress.
type Run struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int // progress, 0 to 100; a long-running task reports 100 once it has started up
	Load       int // for a task that serves requests, its tail latency in ms; for any other task, its CPU use, which the scheduler ignores
}

// RunEnd reports that a run has ended.
type RunEnd struct {
	Sequence   int64 // numbers the run ends of one VM incarnation, from 1
	Task       string
	Run        int64
	How        How
	Checkpoint string
}

//go:generate ../../.bin/enumer -type=How -transform=kebab -output=how_enumer.go

// How says how a run ended.
type How int

// Ways in which a run ends.
const (
	Unknown How = iota // the VM reported a way of ending that this version does not know; handled like Stopped
	Done
	Failed  // the task or the VM failed during the run
	Stopped // by an order
	Lapsed  // its lease expired
	Broken  // another run of its gang ended
	Alone   // the other runs of its gang did not start
)

// Machine is a VM slot in the fleet inventory, over all incarnations of its VM.
type Machine struct {
	Name       string
	Pool       string
	State      MachineState
	DataCentre string
	VM         string   // identifier of its current incarnation
	CPU        int      // thousandths of a core
	Labels     []string // hardware kind and rack
}

//go:generate ../../.bin/enumer -type=MachineState -transform=kebab -output=machinestate_enumer.go

// MachineState is the state of a machine in the inventory.
type MachineState int

// States of a machine.
const (
	Down MachineState = iota
	Up
	Moving
	InMaintenance
)

// Wave is a maintenance wave: a request to maintain each of its machines once within a
// time limit.
type Wave struct {
	Number   int64
	Machines []string
	WithinMS int64 // time limit for the whole wave
	AtOnce   int   // maximum number of machines in maintenance at the same time
}
