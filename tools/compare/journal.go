package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// play is one day that was played on a commit.
type play struct {
	cell
	commit  string
	cpu     bool
	worth   float64
	broken  []string // names of broken rules
	seconds []second
}

// cell is a day with its luck on a site.
type cell struct{ site, day, seed string }

// second is the share of what was asked for in some seconds that was served.
type second struct{ at, share float64 }

// entry is a journal entry in the bench's words, as far as it is read.
type entry struct {
	Cmd   string   `json:"cmd"`
	Argv  []string `json:"argv"`
	Head  string   `json:"head"`
	Dirty bool     `json:"dirty"`
	Site  string   `json:"site"`
	OK    bool     `json:"ok"`
	Days  []struct {
		Name  string         `json:"name"`
		Seed  int64          `json:"seed"`
		Worth float64        `json:"G"`
		Rules map[string]any `json:"rules"`
	} `json:"days"`
	Digest string `json:"digest"`
}

// readJournals reads the plays of all copies. A play that was made twice counts once.
func readJournals(o *options) ([]play, error) {
	var all []play
	for _, v := range o.versions {
		plays, err := readJournal(filepath.Join(o.copies, v.commit, "journal"))
		if err != nil {
			return nil, err
		}
		for i := range plays {
			p := &plays[i]
			if p.commit == v.commit && p.cpu == o.cpu && !slices.ContainsFunc(all, func(q play) bool { return q.cell == p.cell && q.commit == p.commit }) {
				all = append(all, *p)
			}
		}
	}
	return all, nil
}

// readJournal reads the plays of one day each, of committed sources, from a journal.
func readJournal(dir string) ([]play, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var plays []play
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("journal entry %q: %w", file, err)
		}
		if p, ok := e.play(); ok {
			plays = append(plays, p)
		}
	}
	return plays, nil
}

// play returns the play of an entry; ok is false if it is not one finished day of committed sources.
func (e *entry) play() (p play, ok bool) {
	if e.Cmd != "run" || !e.OK || e.Dirty || len(e.Days) != 1 {
		return play{}, false
	}
	d := &e.Days[0]
	p = play{
		cell:   cell{e.Site, d.Name, strconv.FormatInt(d.Seed, 10)},
		commit: e.Head, cpu: !slices.Contains(e.Argv, "--no-cpu"), worth: d.Worth, seconds: readSeconds(e.Digest),
	}
	for rule := range d.Rules {
		p.broken = append(p.broken, rule)
	}
	slices.Sort(p.broken)
	return p, true
}

// readSeconds reads the bench's table of what became of the requests of each two seconds.
func readSeconds(digest string) []second {
	const header, worthColumn = "from second", 7
	_, rest, found := strings.Cut(digest, "\n"+header)
	if !found {
		return nil
	}
	var list []second
	for _, line := range strings.Split(rest, "\n")[1:] {
		f := strings.Fields(line)
		if len(f) <= worthColumn {
			break
		}
		at, err := strconv.ParseFloat(f[0], 64)
		share, shareErr := strconv.ParseFloat(f[worthColumn], 64)
		if err != nil || shareErr != nil {
			break
		}
		list = append(list, second{at, share})
	}
	return list
}
