// Package site defines the data that the scheduler and the platform adapter exchange.
// The adapter decodes the platform's log and the VMs' answers into the types of this
// package: the operator's configuration, VMs and their runs. The scheduler decides over
// these, and the adapter sends its appends and orders to the platform and to VMs. The
// package also loads the settings of an entry that schedules jobs.
package site

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jsonc"
)

// Settings are the settings of one entry that schedules jobs on the platform. The
// settings of an entry that serves requests are in package conf.
type Settings struct {
	Entry      string `json:"entry"`       // name of this entry
	DataCentre string `json:"data-centre"` // data centre of this entry
	IP         string `json:"ip"`
	Ports      []int  `json:"ports"`   // first and last port of the entry's range; other entries are served on the first, metrics on the first plus one
	Callers    string `json:"callers"` // address on which callers are served
	Ready      string `json:"ready"`   // address that the load balancer's health check calls
	// Announce is the address at which other entries reach this one if it is not the IP
	// and first port, for example behind port forwarding.
	Announce string         `json:"announce"`
	Log      LogSettings    `json:"log"`
	Fleet    FleetSettings  `json:"fleet"`  // fleet inventory, which lists and moves machines
	Advice   ServiceAddress `json:"advice"` // placement policy
	Cores    float64        `json:"cores"`  // CPU that the process gets, in cores; may be a fraction
	Bounds   Bounds         `json:"bounds"`
	Policy   PolicySettings `json:"policy"`
}

// ServiceAddress is the address of a service of the platform; empty if the site has
// none.
type ServiceAddress struct {
	Address string `json:"address"`
}

// FleetSettings are the address and the limit of the fleet inventory.
type FleetSettings struct {
	Address    string  `json:"address"`
	OrdersPerS float64 `json:"orders-per-s"` // orders for machines per second from all entries; 0 for no limit
}

// LogSettings are the address and the limits of the platform's log.
type LogSettings struct {
	Address     string `json:"address"`
	Partitions  int    `json:"partitions"`   // of each topic
	RecordBytes int    `json:"record-bytes"` // largest size of a record
	CallBytes   int    `json:"call-bytes"`   // largest total size of the records of one append
	MinTTLMS    int    `json:"min-ttl-ms"`   // shortest allowed TTL of a group member
}

// Bounds are time limits of the site and the platform. The platform guarantees the grace
// periods and MoveS; entries must observe the other limits.
type Bounds struct {
	HoldMS      int `json:"hold-ms"`       // longest lease on a VM
	StopGraceMS int `json:"stop-grace-ms"` // longest time until a stopped run has ended
	// CapacityNoticeMS is how long a VM's smaller capacity may stay unknown to the owner of its pool; 0 for the default.
	CapacityNoticeMS int     `json:"capacity-notice-ms"`
	ShutdownGraceS   float64 `json:"shutdown-grace-s"` // time from SIGTERM to SIGKILL
	KeepFinalS       int     `json:"keep-final-s"`     // how long a job in a final state can be queried
	MoveS            float64 `json:"move-s"`           // how long a VM is out of service during a move
	TurnMS           int     `json:"turn-ms"`          // minimum time between orders for the same machine from two entries
	RevokeStrict     bool    `json:"revoke-strict"`    // without news of the configuration for RevokeMS, calls that need a key are refused
	RevokeMS         int     `json:"revoke-ms"`        // see RevokeStrict
	QuotaOverage     float64 `json:"quota-overage"`    // share of an account's limit by which races between entries may exceed it
}

// LoadSettings reads a settings file, JSON with comments. Unknown keys are errors.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{}
	if _, err := jsonc.DecodeInto(file, data, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", file, err)
	}
	return s, nil
}

func (s *Settings) check() error {
	if s.Entry == "" || net.ParseIP(s.IP) == nil {
		return fmt.Errorf("entry name %q and ip %q: both are required, and ip must be an IP address", s.Entry, s.IP)
	}
	if len(s.Ports) != 2 || s.Ports[0] < 1 || s.Ports[1] < s.Ports[0] || s.Ports[1] > 65535 {
		return fmt.Errorf("ports %v are not a first and a last port from 1 to 65535", s.Ports)
	}
	for name, address := range map[string]string{"callers": s.Callers, "ready": s.Ready, "log": s.Log.Address, "announce": s.AnnouncedAddress()} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s address: %w", name, err)
		}
	}
	if s.Log.Partitions < 1 || s.Log.RecordBytes < 1 || s.Log.CallBytes < 1 {
		return fmt.Errorf("log: partitions %d, record-bytes %d and call-bytes %d must be at least 1", s.Log.Partitions, s.Log.RecordBytes, s.Log.CallBytes)
	}
	if s.Fleet.OrdersPerS < 0 {
		return fmt.Errorf("fleet: orders-per-s %v must not be negative", s.Fleet.OrdersPerS)
	}
	if s.Bounds.HoldMS < 1 || s.Bounds.ShutdownGraceS <= 0 || s.Bounds.KeepFinalS < 1 {
		return fmt.Errorf("bounds: hold-ms %d, shutdown-grace-s %v and keep-final-s %d must be positive", s.Bounds.HoldMS, s.Bounds.ShutdownGraceS, s.Bounds.KeepFinalS)
	}
	if s.Bounds.RevokeMS < 0 || (s.Bounds.RevokeStrict && s.Bounds.RevokeMS == 0) || s.Bounds.QuotaOverage < 0 {
		return fmt.Errorf("bounds: revoke-ms %d must be positive with revoke-strict, and it and quota-overage %v must not be negative", s.Bounds.RevokeMS, s.Bounds.QuotaOverage)
	}
	return s.Policy.check()
}

// AnnouncedAddress returns the address at which other entries reach this one.
func (s *Settings) AnnouncedAddress() string {
	if s.Announce != "" {
		return s.Announce
	}
	return s.PeerAddress()
}

// PeerAddress returns the address on which this entry listens for other entries.
func (s *Settings) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]))
}

// MetricsAddress returns the address on which this entry serves its metrics.
func (s *Settings) MetricsAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]+1))
}

// Millis converts milliseconds to a duration.
func Millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
