package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestContact guards against requests cut off by planned stops that are excused, and against other faults that are
// taken for planned ones.
func TestContact(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name    string
		faults  func(c *contact)
		inTouch int  // at 10 s, of two entries
		planned bool // stop of entry a, for a request from 9.5 s to 10 s
	}{
		{"calm", func(*contact) {}, 2, false},
		{"stopped", func(c *contact) { c.terminate(at(9000), "a") }, 1, true},
		{"another stopped", func(c *contact) { c.terminate(at(9000), "b") }, 1, false},
		{"stopped long ago", func(c *contact) { c.terminate(at(2000), "a") }, 2, false},
		{"stopped, after a kill of another", func(c *contact) { c.disturb(at(8000), "b"); c.terminate(at(9000), "a") }, 0, false},
		{"stopped, long after a kill", func(c *contact) { c.disturb(at(6000), "b"); c.terminate(at(9000), "a") }, 1, true},
		{"stopped, after a start as planned of another", func(c *contact) { c.restart(at(8000), "b", true); c.terminate(at(9000), "a") }, 0, true},
		{"stopped, after a start of another", func(c *contact) { c.restart(at(8000), "b", false); c.terminate(at(9000), "a") }, 0, false},
		{"stopped in an outage", func(c *contact) { c.begin(at(1000), allEntries); c.terminate(at(9000), "a") }, 0, false},
		{"stopped long after an outage", func(c *contact) { c.begin(at(1000), allEntries)(at(6000)); c.terminate(at(9000), "a") }, 1, true},
	}
	for _, tt := range tests {
		c := &contact{names: []string{"a", "b"}}
		tt.faults(c)
		assert.Equal(t, c.inTouch(at(10_000)), tt.inTouch, tt.name)
		inTouch := 0
		for _, name := range c.names {
			if c.entryInTouch(name, at(10_000)) {
				inTouch++
			}
		}
		assert.Equal(t, inTouch, tt.inTouch, tt.name)
		assert.Equal(t, c.stoppedAsPlanned("a", at(9500), at(10_000)), tt.planned, tt.name)
	}
}

// TestLoadMachines guards against sizes that leave a pool without machines or add up to another number.
func TestLoadMachines(t *testing.T) {
	tests := []struct {
		load   Load
		alpha  int
		spares int
	}{
		{Load{}, 4, 3},
		{Load{VMs: 48, Pools: 5}, 8, 8},
		{Load{VMs: 50, Pools: 5}, 9, 5},
	}
	for _, tt := range tests {
		assert.NilError(t, tt.load.fill())
		machines := tt.load.machines()
		assert.Equal(t, machines["alpha"], tt.alpha)
		assert.Equal(t, machines["rest"], tt.spares)
	}
	tooMany := Load{Pools: len(queuePools) + 1}
	assert.ErrorContains(t, tooMany.fill(), "at most")
}
