// Command gates tells which deployments have failed the gate of the users' bench in their newest score.
//
//	gates [-journal DIR] [-known FILE]
//
// Scores without charge for processor time and those of changed sources do not count. It fails unless the list of known
// failures names exactly these deployments, as gate-NAME.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

func main() {
	journal := flag.String("journal", "../journal", "folder of the journal")
	known := flag.String("known", "../KNOWN-RED.txt", "list of known failures")
	flag.Parse()
	if err := run(*journal, *known); err != nil {
		fmt.Fprintln(os.Stderr, "gates:", err)
		os.Exit(1)
	}
}

func run(journal, known string) error {
	scores, err := newestScores(journal)
	if err != nil {
		return err
	}
	listed, err := listedGates(known)
	if err != nil {
		return err
	}
	problems := check(scores, listed)
	if len(problems) > 0 {
		return fmt.Errorf("%s", strings.Join(problems, "; "))
	}
	return nil
}

// score is an entry of the journal for a score of one deployment.
type score struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Args    []string `json:"argv"`
	At      []string `json:"at"` // begin and end
	Site    string   `json:"site"`
	OK      bool     `json:"ok"`
	Dirty   bool     `json:"dirty"`
	Figures struct {
		Gate *float64 `json:"gate"` // 1 if it was passed
	} `json:"figures"`
}

// counts reports whether a score tells whether the gate is passed.
func (s *score) counts() bool {
	return s.Command == "score" && s.OK && !s.Dirty && s.Figures.Gate != nil && len(s.At) > 0 && !slices.Contains(s.Args, "--no-cpu")
}

// newestScores returns the newest score of each deployment.
func newestScores(journal string) (map[string]*score, error) {
	files, err := filepath.Glob(filepath.Join(journal, "*.json"))
	if err != nil {
		return nil, err
	}
	newest := map[string]*score{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if !bytes.Contains(data, []byte(`"score"`)) {
			continue
		}
		s := &score{}
		if err := json.Unmarshal(data, s); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		if old := newest[s.Site]; s.counts() && (old == nil || old.At[0] < s.At[0]) {
			newest[s.Site] = s
		}
	}
	return newest, nil
}

const gatePrefix = "gate-"

// listedGates returns the deployments whose gates a list of known failures names.
func listedGates(file string) ([]string, error) {
	data, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for line := range strings.Lines(string(data)) {
		first, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if name, ok := strings.CutPrefix(first, gatePrefix); ok {
			names = append(names, name)
		}
	}
	return names, nil
}

// check returns what the list of known failures says wrong about the gates.
func check(scores map[string]*score, listed []string) []string {
	var problems []string
	for site, s := range scores {
		failed := *s.Figures.Gate < 1
		switch {
		case failed && !slices.Contains(listed, site):
			problems = append(problems, fmt.Sprintf("the gate of %s has failed in its newest score, %s, and is not in the list of known failures", site, s.ID))
		case !failed && slices.Contains(listed, site):
			problems = append(problems, fmt.Sprintf("the gate of %s has passed in its newest score, %s, and is in the list of known failures", site, s.ID))
		}
	}
	slices.Sort(problems)
	return problems
}
