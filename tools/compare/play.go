package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// cells returns the days to play, interleaved, so that an interrupted comparison has some seeds of each.
func (o *options) cells() []cell {
	var list []cell
	o.each(func(site, day, seed string) { list = append(list, cell{base(site), base(day), seed}) })
	return list
}

// each calls f with each site, day and seed as given to the bench.
func (o *options) each(f func(site, day, seed string)) {
	for _, seed := range o.seeds {
		for _, site := range o.sites {
			for _, day := range o.days {
				f(site, day, seed)
			}
		}
	}
}

// base returns the name of a site or day by its file, or a name as it is.
func base(file string) string { return strings.TrimSuffix(filepath.Base(file), ".toml") }

// prepareCopies makes a copy of the repository at each commit.
func prepareCopies(o *options) error {
	for _, v := range o.versions {
		dir := filepath.Join(o.copies, v.commit)
		if _, err := os.Stat(dir); err == nil {
			continue
		}
		if _, err := git(o.root, "clone", "-q", ".", dir); err != nil {
			return err
		}
		if _, err := git(dir, "checkout", "-q", "--detach", v.commit); err != nil {
			return err
		}
	}
	return nil
}

// job is a play to make.
type job struct {
	version
	site, day, seed string // as given to the bench
}

// missing returns the plays that the copies' journals do not have, those of one cell together.
func missing(o *options, plays []play) []job {
	type key struct {
		cell
		commit string
	}
	done := map[key]bool{}
	for i := range plays {
		done[key{plays[i].cell, plays[i].commit}] = true
	}
	var jobs []job
	o.each(func(site, day, seed string) {
		for _, v := range o.versions {
			if !done[key{cell{base(site), base(day), seed}, v.commit}] {
				jobs = append(jobs, job{v, site, day, seed})
			}
		}
	})
	return jobs
}

// playMissing plays what is missing, a few plays at a time, and adds all entries to the journal of this repository.
func playMissing(o *options) error {
	plays, err := readJournals(o)
	if err != nil {
		return err
	}
	for _, v := range o.versions { // before plays that would build at the same time
		if err := bench(o, v, "build"); err != nil {
			return err
		}
	}
	jobs := make(chan job)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for range max(o.jobs, 1) {
		wg.Go(func() {
			for j := range jobs {
				if err := playOne(o, j); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			}
		})
	}
	for _, j := range missing(o, plays) {
		jobs <- j
	}
	close(jobs)
	wg.Wait()
	for _, v := range o.versions {
		if err := addEntries(filepath.Join(o.copies, v.commit, "journal"), filepath.Join(o.root, "journal")); err != nil {
			return err
		}
	}
	return failed
}

func playOne(o *options, j job) error {
	day := j.day
	if _, err := os.Stat(day); err == nil {
		if day, err = filepath.Abs(day); err != nil {
			return err
		}
	}
	args := []string{"run", j.site, day, "--jobs", "1", "--seed", j.seed, "--why", o.why}
	if !o.cpu {
		args = append(args, "--no-cpu")
	}
	if err := bench(o, j.version, args...); err != nil {
		return fmt.Errorf("%s %s seed %s on %s: %w", base(j.site), base(j.day), j.seed, j.label, err)
	}
	return nil
}

// bench runs the bench in the copy of a version.
func bench(o *options, v version, args ...string) error {
	program, err := filepath.Abs(o.bench)
	if err != nil {
		return err
	}
	for i := range args {
		if strings.HasSuffix(args[i], ".toml") {
			if args[i], err = filepath.Abs(args[i]); err != nil {
				return err
			}
		}
	}
	cmd := exec.Command(program, args...)
	cmd.Dir = filepath.Join(o.copies, v.commit)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: %w: %s", args[0], err, lastLine(out))
	}
	return nil
}

func lastLine(out []byte) string {
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	return lines[len(lines)-1]
}

// addEntries copies the journal entries that are not there yet.
func addEntries(from, to string) error {
	files, err := filepath.Glob(filepath.Join(from, "*.json"))
	if err != nil {
		return err
	}
	for _, file := range files {
		target := filepath.Join(to, filepath.Base(file))
		if _, err := os.Stat(target); err == nil {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func git(dir string, args ...string) (string, error) {
	cmd := exec.Command("git", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("git %s: %w: %s", args[0], err, bytes.TrimSpace(out))
	}
	return string(bytes.TrimSpace(out)), nil
}
