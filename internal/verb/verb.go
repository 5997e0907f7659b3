// Package verb defines the type Subcommand, the exit codes, and the client of the operator
// interface, which the subcommands of greengagelane and standin use. A program selects the
// Subcommand that its command line names and calls Run, which parses the flags, runs the
// Action, and converts the Action's error into a message and an exit code.
package verb

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// Exit codes.
const (
	ExitOK      = 0 // done
	ExitFailed  = 1 // refused or failed
	ExitUsage   = 2 // the command line is wrong
	ExitUnknown = 3 // no answer: the command may have taken effect
)

// Example is an example command line of a subcommand.
type Example struct {
	Command string
	Help    string // what the command does
}

// Subcommand describes one subcommand.
type Subcommand struct {
	Name     string // words as typed, such as "pool move"
	Args     string // positional arguments for the usage line
	Short    string // one line
	Long     string // paragraphs; may be empty
	Query    bool   // only reads; the overview lists it as a query
	Examples []Example
	// New registers the flags in fs and returns the action, which runs after they have
	// been parsed.
	New func(fs *flag.FlagSet) Action
}

// Action runs a subcommand on its positional arguments.
type Action func(out *IO, args []string) error

// IO holds the output streams of a subcommand.
type IO struct {
	Out io.Writer
	Err io.Writer
}

// UsageError reports a wrong command line.
type UsageError struct{ Reason string }

// Error returns the reason.
func (e *UsageError) Error() string { return e.Reason }

// Usagef returns a UsageError whose reason is formatted as by fmt.Sprintf.
func Usagef(format string, args ...any) error {
	return &UsageError{Reason: fmt.Sprintf(format, args...)}
}

// UnknownError reports a command that may have taken effect.
type UnknownError struct{ Err error }

// Error returns the cause and states that the effect is not known.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no answer, the command may have taken effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Usage writes the help of a subcommand.
func (s Subcommand) Usage(w io.Writer, program string) {
	fs := flag.NewFlagSet(s.Name, flag.ContinueOnError)
	s.New(fs)
	fmt.Fprintf(w, "Usage: %s\n%s\n", strings.TrimSpace(program+" "+s.Name+" [flags] "+s.Args), s.Short)
	if s.Long != "" {
		fmt.Fprintf(w, "\n%s\n", s.Long)
	}
	fmt.Fprintln(w, "\nFlags:")
	n := 0
	fs.VisitAll(func(f *flag.Flag) {
		n++
		fmt.Fprintf(w, "  -%s  %s", f.Name, f.Usage)
		if f.DefValue != "" && f.DefValue != "false" {
			fmt.Fprintf(w, " (default %s)", f.DefValue)
		}
		fmt.Fprintln(w)
	})
	if n == 0 {
		fmt.Fprintln(w, "  none")
	}
	if len(s.Examples) > 0 {
		fmt.Fprintln(w, "\nExamples:")
	}
	for _, ex := range s.Examples {
		fmt.Fprintf(w, "  %s\n      %s\n", ex.Command, ex.Help)
	}
}

// Run parses the flags, runs the action and returns the exit code.
func (s Subcommand) Run(out *IO, program string, args []string) int {
	fs := flag.NewFlagSet(s.Name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	action := s.New(fs)
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		s.Usage(out.Out, program)
		return ExitOK
	}
	if err != nil {
		err = Usagef("%v", err)
	} else {
		err = action(out, fs.Args())
	}
	return s.report(out, program, err)
}

// report prints an error, if any, and returns the exit code for it.
func (s Subcommand) report(out *IO, program string, err error) int {
	var usage *UsageError
	var unknown *UnknownError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(out.Err, "%s %s: %v\nSee '%s help %s'.\n", program, s.Name, err, program, s.Name)
		return ExitUsage
	case errors.As(err, &unknown):
		fmt.Fprintf(out.Err, "%s %s: %v\n", program, s.Name, err)
		return ExitUnknown
	}
	fmt.Fprintf(out.Err, "%s %s: %v\n", program, s.Name, err)
	return ExitFailed
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
