package site

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validSettings are settings that LoadSettings accepts once POLICY is replaced by further
// settings or by an empty text.
const validSettings = `{
  // comments are allowed
  "entry": "e1", "data-centre": "z", "ip": "127.0.0.1", "ports": [7060, 7075], "callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
  "log": {"address": "127.0.0.1:3", "partitions": 8, "record-bytes": 1000, "call-bytes": 1000, "min-ttl-ms": 1000},
  "fleet": {"address": "127.0.0.1:4"}, "advice": {"address": ""}, "cores": 0.4,
  "bounds": {"hold-ms": 10000, "stop-grace-ms": 400, "shutdown-grace-s": 6.0, "keep-final-s": 120, "move-s": 1.5, "turn-ms": 3000}POLICY
}`

// TestLoadSettings guards against settings that are accepted although an entry cannot
// work with them, and against errors that do not name the setting.
func TestLoadSettings(t *testing.T) {
	tests := []struct{ name, from, to, wantErr string }{
		{"good", "POLICY", "", ""},
		{"policy", "POLICY", `, "policy": {"lease-ms": 5000, "queue-factor": 2}`, ""},
		{"policy out of range", "POLICY", `, "policy": {"lease-ms": 50}`, "lease-ms is 50, allowed are 2000 to 60000"},
		{"unknown field", "POLICY", `, "polices": {}`, "polices"},
		{"no entry", `"entry": "e1"`, `"entry": ""`, "both are required"},
		{"one port", `[7060, 7075]`, `[7060]`, "not a first and a last port"},
		{"no log", `127.0.0.1:3`, `nowhere`, "log address"},
		{"no partitions", `"partitions": 8`, `"partitions": 0`, "partitions 0"},
	}
	for _, tt := range tests {
		text := strings.Replace(strings.Replace(validSettings, tt.from, tt.to, 1), "POLICY", "", 1)
		file := filepath.Join(t.TempDir(), "settings.jsonc")
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := LoadSettings(file)
		if tt.wantErr == "" {
			assert.NilError(t, err, tt.name)
			continue
		}
		assert.ErrorContains(t, err, tt.wantErr, tt.name)
	}
}

// TestMatchUsesLongestPrefix guards against a request that is assigned to the route of a
// shorter prefix or of another host.
func TestMatchUsesLongestPrefix(t *testing.T) {
	c := &Config{Routes: []Route{{Name: "a", Host: "h", Prefix: "/p/"}, {Name: "b", Host: "h", Prefix: "/p/q/"}, {Name: "c", Host: "other", Prefix: "/p/q/r/"}}}
	tests := []struct{ host, path, want string }{
		{"h", "/p/1", "a"}, {"h", "/p/q/1", "b"}, {"h", "/p/q/r/1", "b"}, {"other", "/p/q/r/1", "c"}, {"h", "/x", ""}, {"none", "/p/1", ""},
	}
	for _, tt := range tests {
		r, ok := c.Match(tt.host, tt.path)
		assert.Equal(t, ok, tt.want != "", tt.path)
		if ok {
			assert.Equal(t, r.Name, tt.want, tt.path)
		}
	}
}
