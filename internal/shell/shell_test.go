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

// TestCases runs the command of each folder and compares what it prints; the
// flag -update writes the expected output anew.
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

// TestEveryVerbHasExamples keeps the help worth reading.
func TestEveryVerbHasExamples(t *testing.T) {
	for _, v := range Verbs {
		assert.Assert(t, strings.HasSuffix(v.Short, "."), v.Name)
		assert.Assert(t, v.Name == "version" || len(v.Examples) > 0, v.Name)
	}
}
