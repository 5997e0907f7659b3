// Package shell implements the command line of greengagelane. Main looks up the subcommand
// in the table Subcommands and runs it; the help texts and the reference are generated from
// the same table.
package shell

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/greengagelane/greengagelane/internal/cmds"
	"github.com/greengagelane/greengagelane/internal/query"
	"github.com/greengagelane/greengagelane/internal/verb"
	"github.com/greengagelane/greengagelane/pkg/conf"
)

const program = "greengagelane"

// Subcommands lists all subcommands. A new one needs a file of its own in package cmds or
// query, and a line here.
var Subcommands = []verb.Subcommand{
	cmds.Entry,
	cmds.EntryRetire,
	cmds.JobCancel,
	cmds.JobSubmit,
	cmds.PoolMove,
	cmds.ReleaseApply,
	cmds.Schedule,
	cmds.WavePause,
	cmds.WaveStart,
	query.AccountList,
	query.AccountShow,
	query.Check,
	query.JobShow,
	query.PoolLoad,
	query.PoolShow,
	query.ReleasePlan,
	query.Status,
	query.Timeline,
	query.TraceRecord,
	query.TraceReplay,
	query.VMShow,
	versionSubcommand,
}

// Version is the product's version.
const Version = "0.1.0"

var versionSubcommand = verb.Subcommand{
	Name:  "version",
	Query: true,
	Short: "Shows the version.",
	New: func(*flag.FlagSet) verb.Action {
		return func(out *verb.IO, _ []string) error {
			_, err := fmt.Fprintln(out.Out, program, Version)
			return err
		}
	},
}

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(out *verb.IO, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return help(out, args)
	}
	s, rest, ok := find(args)
	if !ok {
		fmt.Fprintf(out.Err, "%s: %q is no subcommand\nSee '%s help'.\n", program, strings.Join(args, " "), program)
		return verb.ExitUsage
	}
	return s.Run(out, program, rest)
}

// find returns the subcommand that the first one or two arguments name, and the remaining
// arguments. A name of two words takes precedence over a name of one.
func find(args []string) (verb.Subcommand, []string, bool) {
	for n := min(2, len(args)); n > 0; n-- {
		name := strings.Join(args[:n], " ")
		for _, s := range Subcommands {
			if s.Name == name {
				return s, args[n:], true
			}
		}
	}
	return verb.Subcommand{}, nil, false
}

// help writes the help on the topic given by the arguments after the first: settings, reference
// or the name of a subcommand. Without a topic it writes the overview.
func help(out *verb.IO, args []string) int {
	if len(args) < 2 {
		writeOverview(out.Out)
		return verb.ExitOK
	}
	switch args[1] {
	case "settings":
		WriteSettings(out.Out)
		return verb.ExitOK
	case "reference":
		WriteReference(out.Out)
		return verb.ExitOK
	}
	s, _, ok := find(args[1:])
	if !ok {
		fmt.Fprintf(out.Err, "%s: no help for %q\n", program, strings.Join(args[1:], " "))
		return verb.ExitUsage
	}
	s.Usage(out.Out, program)
	return verb.ExitOK
}

// writeOverview writes the help that lists all subcommands.
func writeOverview(w io.Writer) {
	fmt.Fprintf(w, "%s manages fleet capacity and maintenance.\n", program)
	for _, part := range []struct {
		title string
		query bool
	}{{"Commands", false}, {"Queries", true}} {
		fmt.Fprintf(w, "\n%s:\n", part.title)
		for _, s := range Subcommands {
			if s.Query == part.query {
				fmt.Fprintf(w, "  %-16s %s\n", s.Name, s.Short)
			}
		}
	}
	fmt.Fprintf(w, "\n'%s help SUBCOMMAND' explains one, '%s help settings' the settings of an entry.\n", program, program)
	fmt.Fprintln(w, "Exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 no answer (may have taken effect).")
}

// WriteSettings writes the help on each setting of an entry.
func WriteSettings(w io.Writer) {
	fmt.Fprintln(w, "Settings of an entry, JSON with comments:")
	for _, f := range conf.Fields {
		fmt.Fprintf(w, "\n  %s", f.Name)
		if f.Unit != "" {
			fmt.Fprintf(w, " (%s)", f.Unit)
		}
		fmt.Fprintf(w, "\n      %s\n", f.Help)
		if f.Default != nil && f.Default != "" {
			fmt.Fprintf(w, "      Default %v", f.Default)
			if f.Max > 0 {
				fmt.Fprintf(w, ", allowed %v to %v", f.Min, f.Max)
			}
			fmt.Fprintln(w, ".")
		}
	}
}

// WriteReference writes the help of all subcommands and settings as Markdown. It is the
// source of docs/REFERENCE.md.
func WriteReference(w io.Writer) {
	fmt.Fprintf(w, "# Reference\n\nMade by `%s help reference`.\n\n```\n", program)
	writeOverview(w)
	fmt.Fprint(w, "```\n")
	for _, s := range Subcommands {
		fmt.Fprintf(w, "\n## %s\n\n```\n", s.Name)
		s.Usage(w, program)
		fmt.Fprint(w, "```\n")
	}
	fmt.Fprint(w, "\n## Settings\n\n```\n")
	WriteSettings(w)
	fmt.Fprint(w, "```\n")
}
