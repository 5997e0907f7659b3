// Package verb is what the subcommands of both programs share: the type of a
// subcommand, its help, its exit codes and the client of the operator interface.
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

// Example is a worked example of a subcommand.
type Example struct {
	Command string
	Help    string
}

// Subcommand is one subcommand.
type Subcommand struct {
	Name     string // words as typed, such as "pool move"
	Args     string // positional arguments for the usage line
	Short    string // one line
	Long     string // paragraphs, may be empty
	Query    bool   // it only reads
	Examples []Example
	// New registers the flags and returns the action.
	New func(fs *flag.FlagSet) Action
}

// Action runs a subcommand on its positional arguments.
type Action func(io *IO, args []string) error

// IO is where a subcommand writes.
type IO struct {
	Out io.Writer
	Err io.Writer
}

// UsageError is a wrong command line.
type UsageError struct{ Reason string }

// Error makes UsageError an error.
func (e *UsageError) Error() string { return e.Reason }

// Usagef returns a UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{Reason: fmt.Sprintf(format, args...)}
}

// UnknownError is a command whose effect is not known.
type UnknownError struct{ Err error }

// Error makes UnknownError an error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no answer, the command may have taken effect: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Usage writes the help of a subcommand.
func (v Subcommand) Usage(w io.Writer, program string) {
	fs := flag.NewFlagSet(v.Name, flag.ContinueOnError)
	v.New(fs)
	fmt.Fprintf(w, "Usage: %s\n%s\n", strings.TrimSpace(program+" "+v.Name+" [flags] "+v.Args), v.Short)
	if v.Long != "" {
		fmt.Fprintf(w, "\n%s\n", v.Long)
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
	if len(v.Examples) > 0 {
		fmt.Fprintln(w, "\nExamples:")
	}
	for _, ex := range v.Examples {
		fmt.Fprintf(w, "  %s\n      %s\n", ex.Command, ex.Help)
	}
}

// Run parses the flags and runs the action; it returns the exit code.
func (v Subcommand) Run(out *IO, program string, args []string) int {
	fs := flag.NewFlagSet(v.Name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	action := v.New(fs)
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		v.Usage(out.Out, program)
		return ExitOK
	}
	if err != nil {
		err = Usagef("%v", err)
	} else {
		err = action(out, fs.Args())
	}
	return v.report(out, program, err)
}

func (v Subcommand) report(out *IO, program string, err error) int {
	var usage *UsageError
	var unknown *UnknownError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(out.Err, "%s %s: %v\nSee '%s help %s'.\n", program, v.Name, err, program, v.Name)
		return ExitUsage
	case errors.As(err, &unknown):
		fmt.Fprintf(out.Err, "%s %s: %v\n", program, v.Name, err)
		return ExitUnknown
	}
	fmt.Fprintf(out.Err, "%s %s: %v\n", program, v.Name, err)
	return ExitFailed
}

// WriteJSON writes a value for programs to read.
func WriteJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}
