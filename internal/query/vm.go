package query

import (
	"flag"
	"fmt"

	"github.com/greengagelane/greengagelane/internal/verb"
)

// VMShow shows one VM with the reason for its state.
var VMShow = verb.Subcommand{
	Name:     "vm show",
	Args:     "VM",
	Query:    true,
	Short:    "Shows a VM and why it is in its present phase.",
	Examples: []verb.Example{{Command: "greengagelane vm show vm-07", Help: "tells the pool, the phase and the reason"}},
	New:      newVMShow,
}

func newVMShow(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	return func(out *verb.IO, args []string) error {
		if len(args) != 1 {
			return verb.Usagef("one VM is required")
		}
		st, err := fetchStatus(remote)
		if err != nil {
			return err
		}
		for _, vm := range st.Vms {
			if vm.Name != args[0] {
				continue
			}
			if remote.JSON {
				return verb.WriteJSON(out.Out, vm)
			}
			_, err := fmt.Fprintf(out.Out, "%s: pool %s, %s (%s), data centre %s, rack %s\n",
				vm.Name, vm.Pool, vm.Phase, vm.Reason, vm.DataCentre, vm.Rack)
			return err
		}
		return fmt.Errorf("VM %q does not exist", args[0])
	}
}
