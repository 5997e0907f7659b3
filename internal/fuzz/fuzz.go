// Package fuzz fixes the seed and the length of stateful fuzzing, so that every
// run of the tests reaches the same verdict. Flags on the command line win.
package fuzz

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const seed = 1

// Main runs a package's tests with a number of checks and steps for each
// property; a TestMain hands over to it.
func Main(m *testing.M, checks, steps int) {
	defaults := map[string]int{"rapid.checks": checks, "rapid.steps": steps, "rapid.seed": seed}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, n := range defaults {
		if err := flag.Set(name, strconv.Itoa(n)); err != nil {
			panic(err)
		}
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
