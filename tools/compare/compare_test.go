package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	first = "1111111111111111111111111111111111111111"
	other = "2222222222222222222222222222222222222222"
)

func testOptions(dir string) *options {
	return &options{
		sites: []string{"sites/home.toml"}, days: []string{"quiet", "days/away.toml"}, seeds: []string{"1", "2"},
		copies: dir, versions: []version{{"before", first}, {"after", other}},
	}
}

func writeEntry(t *testing.T, dir, commit, name, body string) {
	t.Helper()
	folder := filepath.Join(dir, commit, "journal")
	assert.NilError(t, os.MkdirAll(folder, 0o755))
	assert.NilError(t, os.WriteFile(filepath.Join(folder, name+".json"), []byte(body), 0o644))
}

func entryOf(commit, day, seed, worth, more string) string {
	return `{"cmd":"run","argv":["--no-cpu"],"head":"` + commit + `","site":"home","ok":true,"days":[{"name":"` + day +
		`","seed":` + seed + `,"G":` + worth + `,"rules":{}}],"digest":"x\n\nfrom second   asked  in aim   late refused failed not owed  worth\n0 10 5 1 0 0 4 0.917\n2 20 20 0 0 0 0 1.000\n\nrest"` + more + `}`
}

// TestReadJournals guards against plays that are compared although they were made in another way, did not finish, or
// are of sources that no commit has.
func TestReadJournals(t *testing.T) {
	dir := t.TempDir()
	o := testOptions(dir)
	writeEntry(t, dir, first, "a", entryOf(first, "quiet", "1", "0.5", ""))
	writeEntry(t, dir, first, "b", entryOf(first, "quiet", "2", "0.6", `,"dirty":true`))
	writeEntry(t, dir, first, "c", strings.Replace(entryOf(first, "quiet", "2", "0.6", ""), `"--no-cpu"`, "", 1))
	writeEntry(t, dir, first, "d", strings.Replace(entryOf(first, "quiet", "2", "0.6", ""), `"ok":true`, `"ok":false`, 1))
	writeEntry(t, dir, first, "e", entryOf(other, "quiet", "2", "0.6", ""))
	writeEntry(t, dir, first, "f", entryOf(first, "quiet", "1", "0.5", ""))
	writeEntry(t, dir, other, "g", strings.Replace(entryOf(other, "away", "2", "0.4", ""), `"rules":{}`, `"rules":{"TWICE":1}`, 1))
	plays, err := readJournals(o)
	assert.NilError(t, err)
	assert.Equal(t, len(plays), 2)
	assert.Equal(t, plays[0].cell, cell{"home", "quiet", "1"})
	assert.Equal(t, plays[0].worth, 0.5)
	assert.DeepEqual(t, []float64{plays[0].seconds[0].share, plays[0].seconds[1].at, plays[0].seconds[1].share}, []float64{0.917, 2, 1})
	assert.DeepEqual(t, plays[1].broken, []string{"TWICE"})
	jobs := missing(o, plays)
	assert.Equal(t, len(jobs), 6, "%v", jobs)
	assert.Equal(t, jobs[0].day+" "+jobs[0].seed+" "+jobs[0].label, "quiet 1 after")
}

// TestDiffer guards against noise that is reported as a difference, and against a difference without its spread.
func TestDiffer(t *testing.T) {
	tests := []struct {
		pairs []float64
		want  string
	}{
		{[]float64{0.1}, "not known"},
		{[]float64{0.01, -0.02, 0.03}, "+0.007 ± 0.015 none"},
		{[]float64{0.02, 0.021, 0.022}, "+0.021 ± 0.001 higher"},
		{[]float64{-0.02, -0.021, -0.022}, "-0.021 ± 0.001 lower"},
	}
	for _, tt := range tests {
		assert.Equal(t, differ(tt.pairs).String(), tt.want)
	}
	assert.Assert(t, math.IsInf(differ([]float64{0.1}).stdErr, 1))
}

// TestTable guards against pairs of different days or seeds, and against broken rules that a mean hides.
func TestTable(t *testing.T) {
	o := testOptions("")
	plays := []play{
		{cell: cell{"home", "quiet", "1"}, commit: first, worth: 0.5},
		{cell: cell{"home", "quiet", "1"}, commit: other, worth: 0.6},
		{cell: cell{"home", "quiet", "2"}, commit: first, worth: 0.5},
		{cell: cell{"home", "quiet", "2"}, commit: other, worth: 0.6002},
		{cell: cell{"home", "away", "1"}, commit: other, worth: 0.9, broken: []string{"TWICE"}},
	}
	lines := strings.Split(table(o, o.cells(), plays), "\n")
	assert.Equal(t, lines[0], "| site | day | before | after | after - before |")
	assert.Equal(t, lines[2], "| home | quiet | 0.500 0.500 | 0.600 0.600 | +0.100 ± 0.000 higher |")
	assert.Equal(t, lines[3], "| home | away | not run not run | 0.900 (TWICE broken) not run | not known |")
	assert.Equal(t, lines[4], "| all | | | | +0.100 ± 0.000 higher |")
}

func TestPlot(t *testing.T) {
	o := testOptions("")
	plays := []play{
		{commit: first, seconds: []second{{0, 0.5}, {2, 1}}},
		{commit: first, seconds: []second{{0, 1}}},
		{commit: other, seconds: []second{{0, 1}, {2, 1}}},
	}
	line := meanSeconds(plays, first)
	assert.Equal(t, len(line), 2)
	assert.Equal(t, line[0].Y, 0.75)
	file := filepath.Join(t.TempDir(), "plot.svg")
	assert.NilError(t, plotSeconds(o, plays, file))
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), "<svg"))
}
