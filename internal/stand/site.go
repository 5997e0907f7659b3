package stand

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Ports of the demo on 127.0.0.1. Entry i and backend server i use the port of their kind
// plus i; entries count from 1, backend servers from 0.
const (
	PlatformPort = 7000
	ControlPort  = 7001
	OlderPort    = 7002
	CallerPort   = 7100
	OperatorPort = 7200
	PeerPort     = 7300
	BackendPort  = 7400
)

const (
	demoEntries  = 9
	demoVMs      = 50
	demoSlots    = 8
	demoConns    = 64
	vmsPerRack   = 4
	workUs       = 60_000 // mean service time, microseconds
	burstLoad    = 1.3    // rate in a burst, in multiples of the pool's capacity
	burstFactor  = 5      // rate in a burst, in multiples of the mean rate
	probeService = "release-probe"
	olderService = "archive"
)

// Site describes a user's deployment for the demo.
type Site struct {
	Name     string
	Centres  []string
	Services []SiteService
	Spare    string // name of the spare pool
	Weights  map[string]float64
}

// SiteService is a service with a pool of its own name.
type SiteService struct {
	Name      string
	Priority  fleet.Priority
	TimeoutMs int
}

// Sites lists the sites of the two users.
var Sites = []Site{
	{
		Name: "institute", Centres: []string{"ba-1", "ba-2", "cordoba-1"}, Spare: "filings",
		Services: []SiteService{
			{"cue-search", fleet.Urgent, 1000},
			{"rights-ownership", fleet.Urgent, 1000},
			{"audio-analysis", fleet.Normal, 2000},
			{"sync-licences", fleet.Urgent, 1000},
			{"filings", fleet.Deferred, 4000},
		},
		Weights: map[string]float64{"weight-moves": 20, "weight-buffer": 1, "weight-roll-out": 1},
	},
	{
		Name: "zelena", Centres: []string{"lj-1", "lj-2", "mb-1", "kp-1"}, Spare: "administration",
		Services: []SiteService{
			{"morning-orders", fleet.Urgent, 1000},
			{"stock", fleet.Normal, 1000},
			{"routes", fleet.Normal, 2000},
			{"invoices", fleet.Normal, 2000},
			{"administration", fleet.Deferred, 4000},
		},
		Weights: map[string]float64{"weight-moves": 2, "weight-buffer": 5, "weight-roll-out": 1},
	},
}

// FindSite returns a site by name.
func FindSite(name string) (Site, error) {
	for _, s := range Sites {
		if s.Name == name {
			return s, nil
		}
	}
	return Site{}, fmt.Errorf("unknown site %q, known sites are institute and zelena", name)
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// WriteSite writes the entries' settings, two release notes and the load plan of a site to
// a directory. The settings in extra override those of every entry.
func WriteSite(dir string, s Site, seed uint64, seconds float64, extra map[string]any) error {
	plan := Plan{Seconds: seconds, Seed: seed, Probe: probeService}
	for i := 1; i <= demoEntries; i++ {
		set := s.settings(i)
		for k, v := range extra {
			set[k] = v
		}
		if err := writeJSONFile(dir, fmt.Sprintf("entry-%d.jsonc", i), set); err != nil {
			return err
		}
		plan.Entries = append(plan.Entries, address(CallerPort+i))
		plan.Operators = append(plan.Operators, address(OperatorPort+i))
	}
	perPool := demoVMs / len(s.Services)
	capacity := float64(perPool*demoSlots) / (float64(workUs) / 1e6)
	for _, svc := range s.Services {
		mean := capacity * burstLoad / burstFactor
		plan.Demands = append(plan.Demands, Demand{Service: svc.Name, Mean: mean, WorkUs: workUs, TimeoutMs: svc.TimeoutMs})
	}
	plan.Demands = append(plan.Demands, Demand{Service: olderService, Mean: 20, TimeoutMs: 1000})
	if err := writeJSONFile(dir, "plan.json", plan); err != nil {
		return err
	}
	if err := writeJSONFile(dir, "release-1.jsonc", s.firstRelease(perPool)); err != nil {
		return err
	}
	return writeJSONFile(dir, "release-2.jsonc", s.secondRelease())
}

func writeJSONFile(dir, name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), data, 0o644)
}

func (s Site) settings(i int) map[string]any {
	var peers []string
	for j := 1; j <= demoEntries; j++ {
		if j != i {
			peers = append(peers, address(PeerPort+j))
		}
	}
	set := map[string]any{
		"name":             fmt.Sprintf("entry-%d", i),
		"data-centre":      s.Centres[i%len(s.Centres)],
		"caller-address":   address(CallerPort + i),
		"operator-address": address(OperatorPort + i),
		"peer-address":     address(PeerPort + i),
		"platform-url":     "http://" + address(PlatformPort),
		"peers":            peers,
		"max-entries":      demoEntries,
	}
	for k, v := range s.Weights {
		set[k] = v
	}
	return set
}

// firstRelease returns the release note that sets up the site: its pools, services and VMs.
func (s Site) firstRelease(perPool int) fleet.Note {
	n := fleet.Note{Release: "first"}
	n.Added.OlderSystem = address(OlderPort)
	for i, svc := range s.Services {
		n.Added.Pools = append(n.Added.Pools, fleet.Pool{Name: svc.Name, Spare: svc.Name == s.Spare})
		n.Added.Services = append(n.Added.Services, fleet.Service{
			Name: svc.Name, Pool: svc.Name, Priority: svc.Priority, TimeoutMs: svc.TimeoutMs, MinServing: perPool - 3,
		})
		for j := range perPool {
			k := i*perPool + j
			rack := (j*len(s.Services) + i) / vmsPerRack
			n.Added.VMs = append(n.Added.VMs, fleet.VM{
				Name: fmt.Sprintf("vm-%02d", k+1), Pool: svc.Name, Address: address(BackendPort + k),
				DataCentre: s.Centres[rack%len(s.Centres)], Rack: fmt.Sprintf("rack-%02d", rack),
				Slots: demoSlots, Connections: demoConns,
			})
		}
	}
	n.Added.Services = append(n.Added.Services, fleet.Service{Name: olderService, Priority: fleet.Normal, TimeoutMs: 1000, HeldBy: fleet.OlderSystem})
	return n
}

// secondRelease returns a release note that adds the service that the callers probe for, and
// a maintenance wave over the first two pools.
func (s Site) secondRelease() fleet.Note {
	n := fleet.Note{Release: "second", BasedOn: "first"}
	n.Added.Services = []fleet.Service{{Name: probeService, Pool: s.Spare, Priority: fleet.Deferred, TimeoutMs: 1000}}
	n.Added.Waves = []fleet.Wave{{Name: "december", Pools: []string{s.Services[0].Name, s.Services[1].Name}, AtOnce: 4, MaxFailures: 2}}
	return n
}
