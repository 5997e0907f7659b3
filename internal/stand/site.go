package stand

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// Ports of the demo on 127.0.0.1. Entry i, counted from 1, listens on CallerPort+i,
// OperatorPort+i and PeerPort+i, and backend server i, counted from 0, on BackendPort+i.
const (
	PlatformPort = 7000
	ControlPort  = 7001 // control interface of the backend servers
	OlderPort    = 7002 // the older system
	CallerPort   = 7100
	OperatorPort = 7200
	PeerPort     = 7300
	BackendPort  = 7400
)

const (
	demoEntries  = 9
	demoVMs      = 50
	demoSlots    = 8  // maximum number of concurrent requests per VM
	demoConns    = 64 // maximum number of connections per VM
	vmsPerRack   = 4
	workUs       = 60_000          // mean service time, microseconds
	burstLoad    = 1.3             // rate in a burst, in multiples of the pool's capacity
	burstFactor  = 5               // rate in a burst, in multiples of the mean rate, see Plan
	probeService = "release-probe" // added by the second release, see Plan.ProbeService
	olderService = "archive"       // held by the older system
)

// Site describes a deployment for the demo.
type Site struct {
	Name     string
	Centres  []string
	Services []SiteService
	Spare    string             // name of the spare pool
	Weights  map[string]float64 // cost weights in the settings of each entry, by setting
}

// SiteService is a service with a pool of its own name.
type SiteService struct {
	Name      string
	Priority  fleet.Priority
	TimeoutMs int
}

// Sites lists the deployments that the demo can run.
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
	plan := Plan{Seconds: seconds, Seed: seed, ProbeService: probeService}
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
	capacity := float64(perPool*demoSlots) / (float64(workUs) / 1e6) // of a pool, requests per second
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

// settings returns the settings of entry i.
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

// firstRelease returns the release note that sets up the site: its services and pools, with
// perPool VMs in each pool. Up to three VMs of a pool may be out of service for moves and
// maintenance. The VMs of a rack belong to different pools, so that each pool is spread over
// racks and data centres.
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

// secondRelease returns a release note that adds the probe service and a maintenance wave
// over the first two pools.
func (s Site) secondRelease() fleet.Note {
	n := fleet.Note{Release: "second", BasedOn: "first"}
	n.Added.Services = []fleet.Service{{Name: probeService, Pool: s.Spare, Priority: fleet.Deferred, TimeoutMs: 1000}}
	n.Added.Waves = []fleet.Wave{{Name: "december", Pools: []string{s.Services[0].Name, s.Services[1].Name}, AtOnce: 4, MaxFailures: 2}}
	return n
}
