package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFailedGatesAreKnown guards against a deployment whose gate has failed in its newest score without anybody saying so.
func TestFailedGatesAreKnown(t *testing.T) {
	assert.NilError(t, run("../../journal", "../../KNOWN-RED.txt"))
}

// TestNewestScoreDecides guards against a gate that counts as passed by an older score, by one without charge for
// processor time or by one of changed sources.
func TestNewestScoreDecides(t *testing.T) {
	entry := func(at, args string, dirty bool, gate int) string {
		return fmt.Sprintf(`{"id":"x","cmd":"score","argv":["a"%s],"at":["%s","z"],"site":"large","ok":true,"dirty":%t,"figures":{"gate":%d}}`, args, at, dirty, gate)
	}
	tests := []struct {
		name    string
		entries []string
		known   string
		bad     bool
	}{
		{"no score", []string{`{"cmd":"run","site":"large","why":"score"}`}, "", false},
		{"passed", []string{entry("1", "", false, 1)}, "", false},
		{"failed", []string{entry("1", "", false, 0)}, "", true},
		{"failed and listed", []string{entry("1", "", false, 0)}, "soak-1  x\ngate-large  score\n", false},
		{"passed and listed", []string{entry("1", "", false, 1)}, "gate-large  score\n", true},
		{"failed after it had passed", []string{entry("1", "", false, 1), entry("2", "", false, 0)}, "", true},
		{"passed after it had failed", []string{entry("1", "", false, 0), entry("2", "", false, 1)}, "", false},
		{"passed without charge since", []string{entry("1", "", false, 0), entry("2", `,"--no-cpu"`, false, 1)}, "", true},
		{"passed by changed sources since", []string{entry("1", "", false, 0), entry("2", "", true, 1)}, "", true},
		{"another deployment is listed", []string{entry("1", "", false, 0)}, "gate-larger  score\n", true},
	}
	for _, tt := range tests {
		dir := t.TempDir()
		for i, e := range tt.entries {
			assert.NilError(t, os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d.json", i)), []byte(e), 0o600))
		}
		known := filepath.Join(dir, "KNOWN-RED.txt")
		assert.NilError(t, os.WriteFile(known, []byte(tt.known), 0o600))
		err := run(dir, known)
		assert.Equal(t, err != nil, tt.bad, "%s: %v", tt.name, err)
	}
}
