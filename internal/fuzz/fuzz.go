// Package fuzz sets the seed and the length of property-based tests with rapid, so that
// every run of the tests gives the same result. A package's TestMain calls Main. Flags on
// the command line take precedence.
package fuzz

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const seed = 1

// Main runs a package's tests with the given numbers of checks and steps for each
// property, and exits. It turns off rapid's fail files.
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
