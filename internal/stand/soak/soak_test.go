package soak

import (
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "greengagelane")
	out, err := exec.Command("go", "build", "-o", program, "github.com/greengagelane/greengagelane/cmd/greengagelane").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return program
}

// TestSoak plays seeds that once failed, for a short time each, and a fresh one.
func TestSoak(t *testing.T) {
	tests := []struct {
		seed  uint64
		calm  bool
		cause string // of the failure that made this a regression case
	}{
		{1, true, "jobs past their objective were no demand: 40 of 98 waited for good behind tasks that last"},
		{20, false, "an entry lost its port to a connection and ended"},
		{1112, false, "the check took an end for noted that was acknowledged after its VM's lease had run out"},
		{1021, false, "the check left late orders out by its own time, not that of the start"},
		{1120, false, "a VM on trial that held a task that lasts took no other for good"},
		{7, false, "fresh"},
	}
	program := build(t)
	for _, tt := range tests {
		t.Run(fmt.Sprintf("seed-%d", tt.seed), func(t *testing.T) {
			t.Parallel()
			var events strings.Builder
			cfg := Config{Seed: tt.seed, Length: 4 * time.Second, Entries: 3, Callers: 4, Program: program, Dir: t.TempDir(), Calm: tt.calm}
			result, err := Play(cfg, &events)
			assert.NilError(t, err)
			assert.Equal(t, len(result.Broken), 0, "%s\n%s", tt.cause, events.String())
		})
	}
}

// TestLateOrdersAreJudgedByTheirTime leaves a start out that came late on a harmed VM, however
// long ago that was, and none that came before the harm or long after it.
func TestLateOrdersAreJudgedByTheirTime(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	run := &Run{late: map[string][]time.Time{"i-3": {ago(time.Minute), ago(50 * time.Second)}}}
	tests := []struct {
		name string
		vm   string
		at   time.Time
		late bool
	}{
		{"before", "i-3", ago(61 * time.Second), false},
		{"during", "i-3", ago(55 * time.Second), true},
		{"soon after", "i-3", ago(45 * time.Second), true},
		{"long after", "i-3", ago(50*time.Second - lateFor), false},
		{"another VM", "i-4", ago(55 * time.Second), false},
	}
	for _, tt := range tests {
		assert.Equal(t, run.lateOn(tt.vm, tt.at), tt.late, tt.name)
	}
}

// echo answers each connection with what it gets.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // until the caller leaves
			}()
		}
	}()
	return ln.Addr().String()
}

// TestLinkHarms holds, resets and silences connections as the soak relies on.
func TestLinkHarms(t *testing.T) {
	l, err := NewLink(echo(t))
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Address)
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	exchange := func(c net.Conn, wait time.Duration) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	const soon, never = 10 * time.Second, 50 * time.Millisecond
	c := dial()
	assert.NilError(t, exchange(c, soon))
	l.Hold(Up)
	assert.ErrorContains(t, exchange(c, never), "timeout")
	l.Heal()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(soon)))
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.NilError(t, err, "what was held must come")
	l.Silence()
	assert.ErrorContains(t, exchange(c, never), "timeout")
	d := dial()
	assert.NilError(t, exchange(d, soon), "a new connection works")
	l.Refuse()
	assert.Assert(t, exchange(d, soon) != nil)
}
