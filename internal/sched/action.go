package sched

import (
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Action is a call that the driver makes to a VM or to the placement policy, an external
// service. The driver passes the reply to the Scheduler.
type Action interface{ action() }

// StartRun starts a run. Its reply goes to Scheduler.HandleStart.
type StartRun struct {
	VM    string
	Born  int64 // start of the VM's incarnation that the order is meant for
	Task  jobs.TaskID
	Order site.Start
	// Repeated is set for HandleStart if an earlier attempt was not answered: it may have been carried
	// out, or may still be.
	Repeated bool
	// ClockMS is set for HandleStart to the VM's clock in the reply, in ms; 0 if the reply does not tell.
	ClockMS int64
	// Dispatch is asked before each attempt. An order that it keeps from being sent at all gets no reply.
	Dispatch *Dispatch
}

// StopRun stops a run. Its reply goes to Scheduler.HandleStop.
type StopRun struct {
	VM   string
	Born int64 // start of the VM's incarnation that was known when the order was given
	Task string
	Run  int64
	Why  string // reason; not sent to the VM
}

// ThrottleRun sets the speed of a best-effort run, in percent of full speed. Its reply
// goes to Scheduler.HandleThrottle.
type ThrottleRun struct {
	VM      string
	Task    string
	Run     int64
	Percent int
}

// AskAdvice asks the placement policy which of the VMs may run a step. Its reply goes to
// Scheduler.HandleAdvice.
type AskAdvice struct {
	Step string
	VMs  []string
}

// PollVM polls a VM's status out of turn. Its reply goes to Scheduler.HandlePoll.
type PollVM struct{ VM string }

func (PollVM) action()      {}
func (StartRun) action()    {}
func (StopRun) action()     {}
func (ThrottleRun) action() {}
func (AskAdvice) action()   {}
