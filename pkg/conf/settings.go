// Package conf loads and checks the settings file of an entry that serves requests; the
// settings of an entry that schedules jobs are in package site. One table, Fields,
// describes the name, unit, default, bounds and help text of every setting; the defaults,
// the checks and the reference documentation are derived from it.
package conf

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jsonc"
)

// Settings are the settings of an entry, as read from its settings file.
type Settings struct {
	Name            string   `json:"name"`
	DataCentre      string   `json:"data-centre"`
	CallerAddress   string   `json:"caller-address"`
	OperatorAddress string   `json:"operator-address"`
	PeerAddress     string   `json:"peer-address"`
	PlatformURL     string   `json:"platform-url"`
	Peers           []string `json:"peers"`
	OperatorKeys    string   `json:"operator-keys-file"`
	PeerKeys        string   `json:"peer-keys-file"`
	LogLevel        string   `json:"log-level"`
	MaxEntries      int      `json:"max-entries"`
	HeartbeatMs     int      `json:"heartbeat-ms"`
	SilentAfterMs   int      `json:"silent-after-ms"`
	FreshForMs      int      `json:"fresh-for-ms"`
	StopGraceMs     int      `json:"stop-grace-ms"`
	StopLimitMs     int      `json:"stop-limit-ms"`
	SenderStallMs   int      `json:"sender-stall-ms"`
	MaxBodyKB       int      `json:"max-body-kb"`
	RebootLimitMs   int      `json:"reboot-limit-ms"`
	WeightMoves     float64  `json:"weight-moves"`
	WeightBuffer    float64  `json:"weight-buffer"`
	WeightRollOut   float64  `json:"weight-roll-out"`
	WeightShort     float64  `json:"weight-shortage"`
	AutoMoves       bool     `json:"auto-moves"`
	RetryPercent    int      `json:"retry-percent"`
	BlindRetries    int      `json:"baseline-blind-retries"`
	NoAdmission     bool     `json:"baseline-no-admission"`
}

// Field describes one setting.
type Field struct {
	Name    string
	Unit    string // unit or format, such as "ms" or "IP:port"; empty if there is none
	Default any
	Min     float64 // Min and Max are the allowed range of a number; unused for other types
	Max     float64
	Help    string              // one sentence for docs/REFERENCE.md
	pointer func(*Settings) any // returns a pointer to the field of Settings
}

// Fields describes every setting. A new setting needs a field in Settings and a row
// here.
var Fields = []Field{
	{"name", "", "", 0, 0, "Name of the entry, unique on the site.", func(s *Settings) any { return &s.Name }},
	{"data-centre", "", "", 0, 0, "Data centre that the entry runs in.", func(s *Settings) any { return &s.DataCentre }},
	{"caller-address", "IP:port", "", 0, 0, "Address on which callers are served.", func(s *Settings) any { return &s.CallerAddress }},
	{"operator-address", "IP:port", "", 0, 0, "Address for operators, health checks and metrics.", func(s *Settings) any { return &s.OperatorAddress }},
	{"peer-address", "IP:port", "", 0, 0, "Address for the other entries.", func(s *Settings) any { return &s.PeerAddress }},
	{"platform-url", "URL", "", 0, 0, "Base URL of the platform's service.", func(s *Settings) any { return &s.PlatformURL }},
	{"peers", "IP:port list", nil, 0, 0, "Peer addresses to contact as well if the log cannot be read or no other member is known.", func(s *Settings) any { return &s.Peers }},
	{"operator-keys-file", "path", "", 0, 0, "File of operators' bearer keys, one `name key` a line; no key is required if the setting is empty.", func(s *Settings) any { return &s.OperatorKeys }},
	{"peer-keys-file", "path", "", 0, 0, "File of keys that peers present, newest first; no key is required if the setting is empty.", func(s *Settings) any { return &s.PeerKeys }},
	{"log-level", "level", "info", 0, 0, "One of debug, info, warning, error.", func(s *Settings) any { return &s.LogLevel }},
	{"max-entries", "entries", 9, 1, 64, "Maximum number of entries of the site; a VM's connections are divided among these and one replacement.", func(s *Settings) any { return &s.MaxEntries }},
	{"heartbeat-ms", "ms", 100, 20, 5000, "Time between two heartbeats to a peer.", func(s *Settings) any { return &s.HeartbeatMs }},
	{"silent-after-ms", "ms", 2000, 100, 60000, "Silence after which a peer is removed from the membership.", func(s *Settings) any { return &s.SilentAfterMs }},
	{"fresh-for-ms", "ms", 1500, 100, 60000, "How long an entry serves after the last proof that its state is current.", func(s *Settings) any { return &s.FreshForMs }},
	{"stop-grace-ms", "ms", 1500, 0, 60000, "How long a stopping entry still accepts requests, until the load balancer has noticed.", func(s *Settings) any { return &s.StopGraceMs }},
	{"stop-limit-ms", "ms", 65000, 1000, 600000, "Longest wait of a stopping entry for requests in flight.", func(s *Settings) any { return &s.StopLimitMs }},
	{"sender-stall-ms", "ms", 5000, 100, 60000, "Longest time without progress while a caller sends a request or receives a response.", func(s *Settings) any { return &s.SenderStallMs }},
	{"max-body-kb", "KiB", 65536, 1, 1048576, "Largest request body.", func(s *Settings) any { return &s.MaxBodyKB }},
	{"reboot-limit-ms", "ms", 600000, 1000, 7200000, "Time after which a VM in maintenance counts as failed.", func(s *Settings) any { return &s.RebootLimitMs }},
	{"weight-moves", "cost per move", 10.0, 0, 1e6, "Cost of one VM changing its pool.", func(s *Settings) any { return &s.WeightMoves }},
	{"weight-buffer", "cost per idle VM and minute", 1.0, 0, 1e6, "Cost of one VM held in reserve for a minute.", func(s *Settings) any { return &s.WeightBuffer }},
	{"weight-roll-out", "cost per second", 1.0, 0, 1e6, "Cost of a second until a release is in force everywhere.", func(s *Settings) any { return &s.WeightRollOut }},
	{"weight-shortage", "cost per missing VM and second", 2.0, 0, 1e6, "Cost of one VM missing in a pool for a second.", func(s *Settings) any { return &s.WeightShort }},
	{"auto-moves", "", false, 0, 0, "Whether the entry moves VMs to and from the spare pool by itself.", func(s *Settings) any { return &s.AutoMoves }},
	{"retry-percent", "% of successes", 10, 0, 100, "Retries of a service's requests, in percent of its successful requests.", func(s *Settings) any { return &s.RetryPercent }},
	{"baseline-blind-retries", "attempts", 0, 0, 10, "For comparisons only: fixed number of retries without a budget, round robin and a fixed timeout.", func(s *Settings) any { return &s.BlindRetries }},
	{"baseline-no-admission", "", false, 0, 0, "For comparisons only: admits every request.", func(s *Settings) any { return &s.NoAdmission }},
}

// Default returns the settings with every default set.
func Default() Settings {
	var s Settings
	for _, f := range Fields {
		switch p := f.pointer(&s).(type) {
		case *string:
			*p = f.Default.(string)
		case *int:
			*p = f.Default.(int)
		case *float64:
			*p = f.Default.(float64)
		case *bool:
			*p = f.Default.(bool)
		}
	}
	return s
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse parses and checks settings. A missing field has its default.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	doc, err := jsonc.DecodeInto(file, data, &s)
	if err != nil {
		return s, err
	}
	for _, f := range Fields {
		if err := f.check(&s); err != nil {
			return s, doc.Errorf("/"+f.Name, "field %q: %v", f.Name, err)
		}
	}
	return s, s.checkRelations(doc)
}

func (f Field) check(s *Settings) error {
	switch p := f.pointer(s).(type) {
	case *int:
		return f.checkRange(float64(*p))
	case *float64:
		return f.checkRange(*p)
	case *string:
		return f.checkText(*p)
	case *[]string:
		for _, text := range *p {
			if err := f.checkText(text); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f Field) checkRange(v float64) error {
	if v < f.Min || v > f.Max {
		return fmt.Errorf("%v %s is out of range, allowed are %v to %v", v, f.Unit, f.Min, f.Max)
	}
	return nil
}

func (f Field) checkText(text string) error {
	required := f.Name == "name" || f.Name == "data-centre" || f.Unit == "IP:port" || f.Unit == "URL"
	if required && text == "" {
		return fmt.Errorf("a value is required")
	}
	if f.Unit == "IP:port" || f.Unit == "IP:port list" {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("%q is not an IP address and port", text)
		}
	}
	return nil
}

// checkRelations returns an error for values that are each in range but are not allowed
// together. An entry must stop serving before its peers remove it, so its state must stop
// being fresh first. Heartbeats prove that the state is fresh; a third of the freshness
// time lets two of them be lost.
func (s Settings) checkRelations(doc *jsonc.Document) error {
	if s.FreshForMs >= s.SilentAfterMs {
		return doc.Errorf("/fresh-for-ms", "field %q: %d ms has to be less than %q, %d ms, so that an entry stops serving before it is removed",
			"fresh-for-ms", s.FreshForMs, "silent-after-ms", s.SilentAfterMs)
	}
	if 3*s.HeartbeatMs > s.FreshForMs {
		return doc.Errorf("/heartbeat-ms", "field %q: %d ms has to be at most a third of %q, %d ms",
			"heartbeat-ms", s.HeartbeatMs, "fresh-for-ms", s.FreshForMs)
	}
	return nil
}

// Ms converts milliseconds to a duration.
func Ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
