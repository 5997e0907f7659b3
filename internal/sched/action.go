package sched

import (
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Action is something that the driver is to carry out.
type Action interface{ action() }

// StartRun orders a run. Its outcome goes to Shard.Started.
type StartRun struct {
	VM    string
	Task  jobs.TaskID
	Order site.Start
}

// StopRun orders the end of a run. Its outcome goes to Shard.StopDone.
type StopRun struct {
	VM   string
	Task string
	Run  int64
	Why  string
}

// ThrottleRun orders the speed of a run. It is repeated until a look shows its effect.
type ThrottleRun struct {
	VM      string
	Task    string
	Run     int64
	Percent int
}

// AskAdvice asks the placement policy which VMs may run a step. Its outcome goes to
// Shard.Advised.
type AskAdvice struct {
	Step string
	VMs  []string
}

func (StartRun) action()    {}
func (StopRun) action()     {}
func (ThrottleRun) action() {}
func (AskAdvice) action()   {}
