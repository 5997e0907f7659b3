//go:build review

// Command stand3 plays the cases of review/REPORT-3.md that are scripts: it starts stand-ins of the platform and its
// workers on loopback, starts entries as processes, plays a scenario and checks one rule by what clients, workers and the
// platform have seen.
//
// Usage: stand3 CASE FOLDER. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	argCount = 3
)

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*lab) error{"cancel": playCancel, "kind": playKind, "cloud": playCloud, "late": playLate, "reborn": playReborn, "files": playFiles}
	if len(os.Args) != argCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return notRun
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer l.close()
	if err := cases[os.Args[1]](l); err != nil {
		l.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if n := l.broken(); n > 0 {
		fmt.Printf("%s: broken, %d times; first: %s\n", os.Args[1], n, l.failures[0])
		return broken
	}
	fmt.Printf("%s: held\n", os.Args[1])
	return held
}
