// Package site holds the data that the scheduler and the platform's adapter share:
// settings of a process, the operator's configuration, VMs and what runs on them.
package site

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jsonc"
)

// Settings of one entry that schedules jobs on the platform.
type Settings struct {
	Entry      string `json:"entry"`       // name of this entry
	DataCentre string `json:"data-centre"` // that this entry is in
	IP         string `json:"ip"`
	Ports      []int  `json:"ports"`   // first and last port for traffic between entries
	Callers    string `json:"callers"` // address for callers
	Ready      string `json:"ready"`   // address that the balancer asks
	// Announce is where other entries reach this one, if not at its ip and first port,
	// as behind a forwarder of ports.
	Announce string         `json:"announce"`
	Log      LogSettings    `json:"log"`
	Fleet    ServiceAddress `json:"fleet"`
	Advice   ServiceAddress `json:"advice"`
	Cores    float64        `json:"cores"` // share of a core that the process gets
	Bounds   Bounds         `json:"bounds"`
	Policy   PolicySettings `json:"policy"`
}

// ServiceAddress says where a service of the platform is; empty where there is none.
type ServiceAddress struct {
	Address string `json:"address"`
}

// LogSettings say where the platform's log is and what it takes.
type LogSettings struct {
	Address     string `json:"address"`
	Partitions  int    `json:"partitions"`   // of each topic
	RecordBytes int    `json:"record-bytes"` // largest record
	CallBytes   int    `json:"call-bytes"`   // largest sum of the records of one append
	MinTTLMS    int    `json:"min-ttl-ms"`   // shortest life of a silent group member
}

// Bounds are the site's promises and the platform's times.
type Bounds struct {
	HoldMS         int     `json:"hold-ms"`          // longest lease on a VM
	StopGraceMS    int     `json:"stop-grace-ms"`    // longest time that a stop takes
	ShutdownGraceS float64 `json:"shutdown-grace-s"` // from SIGTERM to SIGKILL
	KeepFinalS     int     `json:"keep-final-s"`     // a final job is answered for this long
	MoveS          float64 `json:"move-s"`           // a VM is away during a move
	TurnMS         int     `json:"turn-ms"`          // two movers must be this far apart
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
		return fmt.Errorf("entry %q at ip %q: both are required", s.Entry, s.IP)
	}
	if len(s.Ports) != 2 || s.Ports[0] < 1 || s.Ports[1] < s.Ports[0] || s.Ports[1] > 65535 {
		return fmt.Errorf("ports %v are not a first and a last port", s.Ports)
	}
	for name, address := range map[string]string{"callers": s.Callers, "ready": s.Ready, "log": s.Log.Address, "announce": s.AnnouncedAddress()} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s address: %w", name, err)
		}
	}
	if s.Log.Partitions < 1 || s.Log.RecordBytes < 1 || s.Log.CallBytes < 1 {
		return fmt.Errorf("log: partitions %d, record-bytes %d and call-bytes %d must be at least 1", s.Log.Partitions, s.Log.RecordBytes, s.Log.CallBytes)
	}
	if s.Bounds.HoldMS < 1 || s.Bounds.ShutdownGraceS <= 0 || s.Bounds.KeepFinalS < 1 {
		return fmt.Errorf("bounds: hold-ms %d, shutdown-grace-s %v and keep-final-s %d must be positive", s.Bounds.HoldMS, s.Bounds.ShutdownGraceS, s.Bounds.KeepFinalS)
	}
	return s.Policy.check()
}

// AnnouncedAddress returns where other entries reach this one.
func (s *Settings) AnnouncedAddress() string {
	if s.Announce != "" {
		return s.Announce
	}
	return s.PeerAddress()
}

// PeerAddress returns where this entry listens for other entries.
func (s *Settings) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]))
}

// MetricsAddress returns where this entry serves its metrics.
func (s *Settings) MetricsAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0]+1))
}

// Millis turns whole milliseconds into a duration.
func Millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
