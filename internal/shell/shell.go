// Package shell is the command line of greengagelane: it finds the subcommand in
// one table and hands over to it.
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

// Verbs lists every subcommand; a new one is one file and one line here.
var Verbs = []verb.Subcommand{
	cmds.Entry,
	cmds.EntryRetire,
	cmds.JobCancel,
	cmds.JobSubmit,
	cmds.PoolMove,
	cmds.ReleaseApply,
	cmds.Schedule,
	cmds.WavePause,
	cmds.WaveStart,
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
	versionVerb,
}

// Version is the product's version.
const Version = "0.1.0"

var versionVerb = verb.Subcommand{
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
	v, rest, ok := find(args)
	if !ok {
		fmt.Fprintf(out.Err, "%s: %q is no subcommand\nSee '%s help'.\n", program, strings.Join(args, " "), program)
		return verb.ExitUsage
	}
	return v.Run(out, program, rest)
}

// find returns the verb whose words the arguments start with, longest first.
func find(args []string) (verb.Subcommand, []string, bool) {
	for n := min(2, len(args)); n > 0; n-- {
		name := strings.Join(args[:n], " ")
		for _, v := range Verbs {
			if v.Name == name {
				return v, args[n:], true
			}
		}
	}
	return verb.Subcommand{}, nil, false
}

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
	v, _, ok := find(args[1:])
	if !ok {
		fmt.Fprintf(out.Err, "%s: there is no help on %q\n", program, strings.Join(args[1:], " "))
		return verb.ExitUsage
	}
	v.Usage(out.Out, program)
	return verb.ExitOK
}

func writeOverview(w io.Writer) {
	fmt.Fprintf(w, "%s manages fleet capacity and maintenance.\n", program)
	for _, part := range []struct {
		title string
		query bool
	}{{"Commands", false}, {"Queries", true}} {
		fmt.Fprintf(w, "\n%s:\n", part.title)
		for _, v := range Verbs {
			if v.Query == part.query {
				fmt.Fprintf(w, "  %-16s %s\n", v.Name, v.Short)
			}
		}
	}
	fmt.Fprintf(w, "\n'%s help SUBCOMMAND' explains one, '%s help settings' the settings of an entry.\n", program, program)
	fmt.Fprintln(w, "Exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 no answer (may have taken effect).")
}

// WriteSettings explains each setting.
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

// WriteReference writes docs/REFERENCE.md.
func WriteReference(w io.Writer) {
	fmt.Fprintf(w, "# Reference\n\nMade by `%s help reference`.\n\n```\n", program)
	writeOverview(w)
	fmt.Fprint(w, "```\n")
	for _, v := range Verbs {
		fmt.Fprintf(w, "\n## %s\n\n```\n", v.Name)
		v.Usage(w, program)
		fmt.Fprint(w, "```\n")
	}
	fmt.Fprint(w, "\n## Settings\n\n```\n")
	WriteSettings(w)
	fmt.Fprint(w, "```\n")
}
