package stand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/internal/verb"
)

const program = "standin"

// Subcommands lists the subcommands of the program standin. To add one, write its constructor
// and add a line here.
var Subcommands = []verb.Subcommand{
	{Name: "platform", Short: "Runs the platform: log, VM list and VM operations.", New: newPlatformCommand},
	{Name: "backend", Short: "Runs backend servers.", New: newBackendCommand},
	{Name: "older", Short: "Runs the older system.", New: newOlderCommand},
	{Name: "callers", Short: "Sends the load of a plan, then checks the promises.", New: newCallersCommand},
	{Name: "soak", Short: "Runs entries that schedule jobs, injects faults, and checks invariants.", New: newSoakCommand},
	{Name: "peak", Short: "Plays the peak of one large pool and reports the processor time of its owner.", New: newPeakCommand},
	{Name: "site", Short: "Writes settings, release notes and the load plan of a site.", New: newSiteCommand},
}

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(out *verb.IO, args []string) int {
	for _, v := range Subcommands {
		if len(args) > 0 && args[0] == v.Name {
			return v.Run(out, program, args[1:])
		}
	}
	for _, v := range Subcommands {
		fmt.Fprintf(out.Err, "%s %-10s %s\n", program, v.Name, v.Short)
	}
	return verb.ExitUsage
}

func listenAndServe(port int, h http.Handler) error {
	ln, err := net.Listen("tcp", address(port))
	if err != nil {
		return err
	}
	return http.Serve(ln, h)
}

func newPlatformCommand(fs *flag.FlagSet) verb.Action {
	retain := fs.Int("retain", 100_000, "number of records kept in each stream")
	lag := fs.Duration("lag", 300*time.Millisecond, "delay from reading the VMs' states to publishing them in the VM list")
	return func(*verb.IO, []string) error {
		p := NewPlatform("http://"+address(ControlPort), *retain, *lag)
		h, err := p.Handler()
		if err != nil {
			return err
		}
		go p.Run(context.Background())
		return listenAndServe(PlatformPort, h)
	}
}

func newBackendCommand(fs *flag.FlagSet) verb.Action {
	count := fs.Int("count", demoVMs, "number of VMs")
	return func(*verb.IO, []string) error {
		b, err := NewBackends(*count, BackendPort, demoSlots, demoConns)
		if err != nil {
			return err
		}
		return listenAndServe(ControlPort, b.Control())
	}
}

func newOlderCommand(*flag.FlagSet) verb.Action {
	return func(*verb.IO, []string) error { return listenAndServe(OlderPort, OlderSystem()) }
}

func newSiteCommand(fs *flag.FlagSet) verb.Action {
	name := fs.String("site", "institute", "institute or zelena")
	dir := fs.String("dir", "out", "directory to write to")
	seed := fs.Uint64("seed", 1, "seed of the load")
	seconds := fs.Float64("seconds", 30, "length of the load in seconds")
	extra := fs.String("extra", "", "settings for every entry, a JSON object")
	return func(*verb.IO, []string) error {
		site, err := FindSite(*name)
		if err != nil {
			return err
		}
		extraSettings := map[string]any{}
		if *extra != "" {
			if err := json.Unmarshal([]byte(*extra), &extraSettings); err != nil {
				return err
			}
		}
		if err := os.MkdirAll(*dir, 0o755); err != nil {
			return err
		}
		return WriteSite(*dir, site, *seed, *seconds, extraSettings)
	}
}

func newCallersCommand(fs *flag.FlagSet) verb.Action {
	planFile := fs.String("plan", "out/plan.json", "load plan")
	faultsFile := fs.String("faults", "", "file with a line 'kind entry begin end' for each fault; kind is kill, freeze or stop, entry a caller address, times in Unix microseconds")
	record := fs.String("record", "", "file to write all records to, JSON")
	only := fs.Int("only", 0, "maximum number of entries to send through; 0 means all")
	return func(out *verb.IO, _ []string) error {
		data, err := os.ReadFile(*planFile)
		if err != nil {
			return err
		}
		var plan Plan
		if err := json.Unmarshal(data, &plan); err != nil {
			return err
		}
		plan.EntryLimit = *only
		return runCallers(out, plan, *faultsFile, *record)
	}
}

// runCallers sends the load of a plan, checks the promises and prints the results. It fails
// if a promise is broken.
func runCallers(out *verb.IO, plan Plan, faultsFile, record string) error {
	ctx := context.Background()
	c := NewCallers(plan)
	c.Run(ctx)
	ev, err := c.collectEvidence(ctx, faultsFile)
	if err != nil {
		return err
	}
	if record != "" {
		data, err := json.Marshal(ev)
		if err != nil {
			return err
		}
		if err := os.WriteFile(record, data, 0o644); err != nil {
			return err
		}
	}
	broken := WriteResults(out.Out, Check(ev))
	WriteMeasures(out.Out, ev, plan)
	if broken > 0 {
		return fmt.Errorf("%d promises broken", broken)
	}
	return nil
}

// collectEvidence collects the records of callers, backend servers and the platform, and the
// injected faults.
func (c *Callers) collectEvidence(ctx context.Context, faultsFile string) (*Evidence, error) {
	ev := &Evidence{Sent: c.sent, Probes: c.probes, Probe: c.plan.ProbeService}
	if err := getJSON(ctx, "http://"+address(ControlPort)+"/report", &ev.Report); err != nil {
		return nil, err
	}
	log, err := ReadLog(ctx, "http://"+address(PlatformPort))
	if err != nil {
		return nil, err
	}
	ev.Log = log
	if faultsFile != "" {
		ev.Faults, err = readFaults(faultsFile)
	}
	return ev, err
}

// readFaults reads the file of injected faults and skips lines with fewer than three fields. A
// missing end time is 0.
func readFaults(file string) ([]Fault, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var out []Fault
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		var f Fault
		if n, _ := fmt.Sscan(line, &f.Kind, &f.Entry, &f.At, &f.Until); n >= 3 {
			out = append(out, f)
		}
	}
	return out, nil
}
