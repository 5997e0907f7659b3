// Package fuzz sets the seed and the numbers of checks and steps of property-based tests
// that use rapid, so that every run generates the same inputs. A package's TestMain calls
// Main. Flags on the command line take precedence.
package fuzz

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const defaultSeed = 1 // value of -rapid.seed if the command line does not set it

// Main runs a package's tests with the given numbers of checks and steps for each
// property, and exits. It always turns off the files in which rapid saves failing inputs,
// even if the command line turns them on.
func Main(m *testing.M, checks, steps int) {
	defaults := map[string]int{"rapid.checks": checks, "rapid.steps": steps, "rapid.seed": defaultSeed}
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
