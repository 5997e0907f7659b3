// Command compare plays days of the users' bench on several commits and tells whether they differ.
//
//	compare -bench FILE -sites FILE,... -days NAME,... [-seeds 1,2,3] [-jobs 3] LABEL=COMMIT LABEL=COMMIT...
//
// It plays each day and seed on all commits, one after the other, a few at a time. What the journal of a commit's copy
// already has is not played again, so that an interrupted comparison goes on where it stopped. The differences are those
// from the first commit, on the same day and seed, with the standard error over the seeds. All entries are added to the
// journal of this repository.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// options are the command's flags and arguments.
type options struct {
	root     string // of this repository
	bench    string
	sites    []string // site files
	days     []string // names of days or files with one
	seeds    []string
	jobs     int
	cpu      bool // processor time is charged; plays then do not repeat
	why      string
	copies   string // folder of the commits' copies
	table    string // file for the table; empty for standard output
	plot     string // file for the plot; empty for none
	versions []version
}

// version is a commit that is compared.
type version struct {
	label  string
	commit string // full hash
}

func run(args []string) error {
	o, err := parse(args)
	if err != nil {
		return err
	}
	if err := prepareCopies(o); err != nil {
		return err
	}
	if err := playMissing(o); err != nil {
		return err
	}
	plays, err := readJournals(o)
	if err != nil {
		return err
	}
	if err := writeTo(o.table, table(o, o.cells(), plays)); err != nil {
		return err
	}
	if o.plot == "" {
		return nil
	}
	return plotSeconds(o, plays, o.plot)
}

func parse(args []string) (*options, error) {
	o := &options{}
	fs := flag.NewFlagSet("compare", flag.ContinueOnError)
	var sites, days, seeds string
	fs.StringVar(&o.bench, "bench", "", "the bench's program")
	fs.StringVar(&sites, "sites", "", "site files, separated by commas")
	fs.StringVar(&days, "days", "", "days, separated by commas: names, or files with a day")
	fs.StringVar(&seeds, "seeds", "1,2,3", "seeds, separated by commas")
	fs.IntVar(&o.jobs, "jobs", 3, "plays at a time")
	fs.BoolVar(&o.cpu, "cpu", false, "charge processor time")
	fs.StringVar(&o.why, "why", "compare", "a line for the journal")
	fs.StringVar(&o.copies, "copies", "out/compare", "folder for the commits' copies, in the repository")
	fs.StringVar(&o.table, "table", "", "file for the table; standard output if empty")
	fs.StringVar(&o.plot, "plot", "", "file for a plot of the share served by second, as SVG; none if empty")
	if err := fs.Parse(args); err != nil {
		return nil, err
	}
	o.sites, o.days, o.seeds = strings.Split(sites, ","), strings.Split(days, ","), strings.Split(seeds, ",")
	if o.bench == "" || sites == "" || days == "" || fs.NArg() < 2 {
		return nil, fmt.Errorf("-bench, -sites, -days and at least two commits are needed, got %d commits", fs.NArg())
	}
	var err error
	if o.root, err = git(".", "rev-parse", "--show-toplevel"); err != nil {
		return nil, err
	}
	if !filepath.IsAbs(o.copies) {
		o.copies = filepath.Join(o.root, o.copies)
	}
	for _, arg := range fs.Args() {
		label, rev, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, fmt.Errorf("argument %q is not of the form LABEL=COMMIT", arg)
		}
		commit, err := git(".", "rev-parse", "--verify", rev+"^{commit}")
		if err != nil {
			return nil, fmt.Errorf("commit %q: %w", rev, err)
		}
		o.versions = append(o.versions, version{label, commit})
	}
	return o, nil
}

func writeTo(file, text string) error {
	if file == "" {
		fmt.Print(text)
		return nil
	}
	return os.WriteFile(file, []byte(text), 0o644)
}
