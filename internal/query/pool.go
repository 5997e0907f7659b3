package query

import (
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/internal/verb"
)

// PoolShow shows a pool with its VMs.
var PoolShow = verb.Subcommand{
	Name:     "pool show",
	Args:     "POOL",
	Query:    true,
	Short:    "Shows a pool, its budget and its VMs.",
	Examples: []verb.Example{{Command: "greengagelane pool show filings", Help: "lists the VMs of the pool with their phases"}},
	New:      newPoolShow,
}

func newPoolShow(fs *flag.FlagSet) verb.Action {
	remote := verb.RemoteFlags(fs)
	return func(out *verb.IO, args []string) error {
		if len(args) != 1 {
			return verb.Usagef("one pool is required")
		}
		st, err := fetchStatus(remote)
		if err != nil {
			return err
		}
		for _, p := range st.Pools {
			if p.Name == args[0] {
				return writePool(out, remote.JSON, p, st.Vms)
			}
		}
		return fmt.Errorf("pool %q does not exist", args[0])
	}
}

// poolView is the JSON output of PoolShow.
type poolView struct {
	Pool oper.PoolStatus `json:"pool"`
	VMs  []oper.VMStatus `json:"vms"`
}

func writePool(out *verb.IO, asJSON bool, p oper.PoolStatus, vms []oper.VMStatus) error {
	view := poolView{Pool: p}
	for _, vm := range vms {
		if vm.Pool == p.Name {
			view.VMs = append(view.VMs, vm)
		}
	}
	if asJSON {
		return verb.WriteJSON(out.Out, view)
	}
	fmt.Fprintf(out.Out, "pool %s: %d of %d VMs serve, the budget needs %d\n", p.Name, p.Serving, p.Vms, p.MinServing)
	tw := tabwriter.NewWriter(out.Out, 0, 4, 2, ' ', 0)
	for _, vm := range view.VMs {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", vm.Name, vm.Phase, vm.DataCentre, vm.Rack, vm.Reason)
	}
	return tw.Flush()
}
