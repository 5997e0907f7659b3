package shell

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/greengagelane/greengagelane/internal/verb"
)

// TestCases guards against unintended changes of what subcommands print, of error messages
// and of exit codes. It runs the command of each folder in testdata/cases and compares the
// output with the golden file; the flag -update rewrites the golden files.
func TestCases(t *testing.T) {
	cases, err := filepath.Glob("testdata/cases/*/cmd")
	assert.NilError(t, err)
	assert.Assert(t, len(cases) > 0)
	for _, file := range cases {
		dir := filepath.Dir(file)
		t.Run(filepath.Base(dir), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			var out bytes.Buffer
			code := Main(&verb.IO{Out: &out, Err: &out}, strings.Fields(string(data)))
			got := fmt.Sprintf("%sexit code %d\n", out.String(), code)
			golden.Assert(t, got, filepath.Join("cases", filepath.Base(dir), "expout"))
		})
	}
}

// TestEverySubcommandHasExamples guards against subcommands whose help has no example, or
// whose summary is not a sentence.
func TestEverySubcommandHasExamples(t *testing.T) {
	for _, s := range Subcommands {
		assert.Assert(t, strings.HasSuffix(s.Short, "."), s.Name)
		assert.Assert(t, s.Name == "version" || len(s.Examples) > 0, s.Name)
	}
}
