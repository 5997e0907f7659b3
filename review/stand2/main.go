// Command stand2 plays the cases of the second review that are scripts: it is the platform, its workers and its
// clients, and starts the entries of the project as processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cannot  = 2
	minArgs = 4
)

// outcome is what a case has seen.
type outcome struct {
	broken bool
	why    string
}

// testCase is a case with the capacity of its workers, in thousandths of a core and MB, and the bounds of its site.
type testCase struct {
	play     func(s *site, trouble bool) (outcome, error)
	cpu, mem int
	bounds   bounds
	gated    bool // links can be cut
}

var cases = map[string]testCase{
	"refuse":  {refuseCase, 8000, 16000, kosaricaGrown, true},
	"wave":    {waveCase, 8000, 16000, kosarica, false},
	"quota":   {quotaCase, 8000, 16000, insmNow, false},
	"gang":    {gangCase, 8000, 16000, kosarica, false},
	"waiting": {waitingCase, 4000, 16000, kosarica, false},
}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != minArgs {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE PROGRAM RECORD")
		return cannot
	}
	c, known := cases[os.Args[1]]
	program, err := filepath.Abs(os.Args[2])
	if err != nil || !known {
		fmt.Fprintln(os.Stderr, "unknown case or program")
		return cannot
	}
	log, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	s, err := newSite(dir, program, log, &c)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer func() {
		s.stopEntries()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		}
	}()
	o, err := c.play(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return cannot
	case o.broken:
		log.line("BROKEN: %s", o.why)
		fmt.Println("broken:", o.why)
		return broken
	}
	log.line("HELD: %s", o.why)
	fmt.Println("held:", o.why)
	return held
}
