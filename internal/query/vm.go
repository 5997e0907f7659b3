package query

import (
	"context"
	"flag"
	"fmt"

	"github.com/greengagelane/greengagelane/internal/drive"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// VMShow shows one VM with the reason for its state.
var VMShow = verb.Subcommand{
	Name:  "vm show",
	Args:  "VM",
	Query: true,
	Short: "Shows a VM and why it is in its present phase.",
	Examples: []verb.Example{
		{Command: "greengagelane vm show vm-07", Help: "tells the pool, the phase and the reason"},
		{Command: "greengagelane vm show -peer 10.1.0.9:7060 i-e45f760388", Help: "asks an entry of 'greengagelane schedule' why the VM gets no work"},
	},
	New: newVMShow,
}

func newVMShow(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	address := fs.String("peer", "", "peer address of any entry of 'greengagelane schedule', IP:port; used instead of -entry")
	return func(out *verb.IO, args []string) error {
		if len(args) != 1 {
			return verb.Usagef("one VM is required")
		}
		if *address != "" {
			return showScheduledVM(out, *address, args[0], remote.JSON)
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

// showScheduledVM shows a VM that 'greengagelane schedule' uses.
func showScheduledVM(out *verb.IO, address, id string, asJSON bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	resp, err := drive.FetchVM(ctx, address, id)
	switch {
	case err != nil:
		return err
	case asJSON:
		return verb.WriteJSON(out.Out, resp)
	}
	_, err = fmt.Fprintf(out.Out, "%s: pool %s, %d runs, %d of them long-running, %.1f cores in use, %s\n",
		id, resp.Pool, resp.VM.Runs, resp.VM.Lasting, float64(resp.VM.CPU)/1000, vmCondition(resp.VM.Unusable))
	return err
}
