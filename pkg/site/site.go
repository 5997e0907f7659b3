package site

import (
	"strings"

	"github.com/greengagelane/greengagelane/pkg/jobs"
)

// Config is the operator's configuration in full.
type Config struct {
	Version  int64
	Routes   []Route
	Pools    []Pool
	MaxBody  int64 // bytes of a request's body
	HeaderMS int   // time for a request's header
	IdleMS   int   // time that a caller's connection may be idle
}

// Route is a queue: requests that it matches are jobs of one pool.
type Route struct {
	Name        string
	Host        string
	Prefix      string // of the path; the longest match wins
	Pool        string
	TimeoutMS   int
	TargetMS    int64   // allowance on top of the stretched run time
	Priority    int     // 0 is the most urgent
	MaxAttempts int     // failed runs of a task that fail its job
	Stretch     float64 // of the run time, for the objective
	Advice      bool    // a placement policy picks the VMs
}

// ApplyTo makes a job one of the route's queue, under its policy.
func (r *Route) ApplyTo(j *jobs.Job) {
	j.Queue, j.Pool, j.Advice = r.Name, r.Pool, r.Advice
	j.MaxAttempts, j.Priority, j.Stretch, j.TargetMS = max(r.MaxAttempts, 1), r.Priority, r.Stretch, r.TargetMS
}

// Pool is a service's set of VMs.
type Pool struct {
	Name   string
	Guards bool // its VMs refuse what does not fit
	Spare  bool // its VMs are off and cost nothing
}

// Match returns the route of a host and path with the longest prefix.
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

// VM is one life of a VM as it reports itself.
type VM struct {
	ID         string // of the VM; may be used again after a restart
	Born       int64  // Unix milliseconds of this life's start
	Pool       string
	Address    string
	DataCentre string
	Draining   bool  // leaves soon
	LeavesMS   int64 // least time left while draining
	ColdMS     int64 // slow for this much longer
	CPU        int   // thousandths of a core
	MemMB      int
	GPU        int
	Labels     []string // its kind and its rack
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

// VMStatus is what a VM says of the tasks on it.
type VMStatus struct {
	ClockMS int64 // the VM's steady clock
	Born    int64 // Unix milliseconds of this life's start; 0 if it did not say
	Running []Run
	Ended   []RunEnd
}

// Run is a task at work.
type Run struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int // of its work; of a task that lasts, 100 once it is at work
	Load       int // response time tail in ms of a task that serves, else CPU in use
}

// RunEnd is the end of a run.
type RunEnd struct {
	Sequence   int64 // counts the ends of this life, from 1
	Task       string
	Run        int64
	How        How
	Checkpoint string
}

//go:generate ../../.bin/enumer -type=How -transform=kebab -output=how_enumer.go

// How a run ended.
type How int

// Ways in which a run ends.
const (
	Unknown How = iota // an unknown word; taken as a stop
	Done
	Failed  // by its own fault or the VM's
	Stopped // on an order
	Lapsed  // its lease ran out
	Broken  // another member of its gang ended
	Alone   // the other members of its gang did not come
)

// Machine is a VM as the fleet's inventory lists it, over all its lives.
type Machine struct {
	Name       string
	Pool       string
	State      MachineState
	DataCentre string
	VM         string // identifier of its present life
	CPU        int
	Labels     []string
}

//go:generate ../../.bin/enumer -type=MachineState -transform=kebab -output=machinestate_enumer.go

// MachineState is what the inventory says of a machine.
type MachineState int

// States of a machine.
const (
	Down MachineState = iota
	Up
	Moving
	InMaintenance
)

// Wave asks that each of its machines has its maintenance in time.
type Wave struct {
	Number   int64
	Machines []string
	WithinMS int64
	AtOnce   int // most machines in maintenance together
}
