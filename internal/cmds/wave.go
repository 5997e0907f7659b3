package cmds

import (
	"context"
	"flag"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// WaveStart starts or resumes a maintenance wave.
var WaveStart = verb.Subcommand{
	Name:     "wave start",
	Args:     "WAVE",
	Short:    "Starts a declared maintenance wave, or resumes one that was paused or halted.",
	Examples: []verb.Example{{Command: "greengagelane wave start december", Help: "drains and reboots each VM of the wave's pools once, within the budgets"}},
	New:      newWaveAction(oper.ControlWaveActionStart, "wave started"),
}

// WavePause stops a wave from taking further VMs.
var WavePause = verb.Subcommand{
	Name:     "wave pause",
	Args:     "WAVE",
	Short:    "Stops a wave from taking further VMs; those in maintenance are finished.",
	Examples: []verb.Example{{Command: "greengagelane wave pause december", Help: "takes no further VM until 'wave start december'"}},
	New:      newWaveAction(oper.ControlWaveActionPause, "wave paused"),
}

// newWaveAction returns the function New of a subcommand that applies the action to a wave.
func newWaveAction(action oper.ControlWaveAction, message string) func(*flag.FlagSet) verb.Action {
	return func(fs *flag.FlagSet) verb.Action {
		return newOperatorAction(fs, 1, "one wave is", message,
			func(ctx context.Context, c *oper.Client, args []string, id string) (*oper.Accepted, error) {
				return c.ControlWave(ctx, oper.ControlWaveParams{Wave: args[0], Action: action, OperationID: id})
			})
	}
}
