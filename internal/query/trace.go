package query

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/greengagelane/greengagelane/internal/oas/plat"
	"github.com/greengagelane/greengagelane/internal/verb"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const maxTraceLineBytes = 2 << 20 // a record's data is at most 1 MiB before it is escaped as a JSON string

// traceLine is one record of the control stream with the outcome of folding it into the
// state.
type traceLine struct {
	Offset      int64  `json:"offset"`
	TimeMs      int64  `json:"time-ms"`
	OperationID string `json:"operation-id"`
	Data        string `json:"data"`
	Outcome     string `json:"outcome,omitempty"` // "applied", or why it was skipped; empty if not recorded
}

// TraceRecord writes the control stream, the log of records from which all entries derive
// the fleet's state, as a trace.
var TraceRecord = verb.Subcommand{
	Name:     "trace record",
	Query:    true,
	Short:    "Writes the platform's control stream as a trace, a JSON record a line.",
	Examples: []verb.Example{{Command: "greengagelane trace record -platform http://10.1.0.2:7000 >log.jsonl", Help: "keeps the log's records with their outcomes"}},
	New:      newTraceRecord,
}

func newTraceRecord(fs *flag.FlagSet) verb.Action {
	url := fs.String("platform", "http://127.0.0.1:7000", "base URL of the platform's service")
	return func(out *verb.IO, args []string) error {
		if len(args) > 0 {
			return verb.Usagef("no argument is taken")
		}
		return recordTrace(out.Out, *url)
	}
}

func recordTrace(w io.Writer, url string) error {
	client, err := plat.NewClient(url)
	if err != nil {
		return err
	}
	s := fleet.NewState()
	enc := json.NewEncoder(w)
	for {
		res, err := client.ReadRecords(context.Background(), plat.ReadRecordsParams{Stream: "control", From: s.Next})
		if err != nil {
			return err
		}
		if res.First > s.Next {
			return fmt.Errorf("the oldest record in the log has offset %d; the trace needs offset %d", res.First, s.Next)
		}
		for _, r := range res.Records {
			line := traceLine{Offset: r.Offset, TimeMs: r.TimeMs, OperationID: r.OperationID, Data: r.Data}
			line.Outcome = foldLine(s, line)
			if err := enc.Encode(line); err != nil {
				return err
			}
		}
		if s.Next >= res.Next {
			return nil
		}
	}
}

// foldLine folds a record into the state and returns the outcome in the form of
// traceLine.Outcome.
func foldLine(s *fleet.State, l traceLine) string {
	out := s.Fold(fleet.LogRecord{Offset: l.Offset, TimeMs: l.TimeMs, OperationID: l.OperationID, Data: l.Data})
	if out.Applied {
		return "applied"
	}
	return out.Reason
}

// TraceReplay folds the records of a trace into an empty state and compares each outcome
// with the recorded one.
var TraceReplay = verb.Subcommand{
	Name:     "trace replay",
	Args:     "FILE",
	Query:    true,
	Short:    "Replays a trace and compares each record's outcome with the recorded one.",
	Long:     "It fails at the first record whose outcome differs, so a trace reveals changed decisions.",
	Examples: []verb.Example{{Command: "greengagelane trace replay log.jsonl", Help: "prints each record with its outcome, then the state"}},
	New:      newTraceReplay,
}

func newTraceReplay(fs *flag.FlagSet) verb.Action {
	quiet := fs.Bool("quiet", false, "print only the summary")
	return func(out *verb.IO, args []string) error {
		if len(args) != 1 {
			return verb.Usagef("one trace is required")
		}
		file, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer file.Close()
		w := out.Out
		if *quiet {
			w = io.Discard
		}
		s, err := replayTrace(w, file)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out.Out, "offset %d: release %q, %d VMs in %d pools, %d entries\n", s.Next, s.Release, len(s.VMs), len(s.Pools), len(s.Members))
		return err
	}
}

func replayTrace(w io.Writer, r io.Reader) (*fleet.State, error) {
	s := fleet.NewState()
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxTraceLineBytes)
	for sc.Scan() {
		var l traceLine
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("trace line at offset %d: %w", s.Next, err)
		}
		got := foldLine(s, l)
		if l.Outcome != "" && l.Outcome != got {
			return nil, fmt.Errorf("offset %d: recorded outcome %q, got %q", l.Offset, l.Outcome, got)
		}
		kind, subject := "undecodable", ""
		if rec, err := fleet.Decode(l.Data); err == nil {
			kind, subject = fleet.Describe(rec)
		}
		fmt.Fprintf(w, "%6d %-20s %-20s %s\n", l.Offset, kind, subject, got)
	}
	return s, sc.Err()
}
