package verb

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/pkg/note"
)

const callTimeout = 8 * time.Second // of a call to the operator interface; longer than the 5 s for which an entry waits for the platform's log

// Remote holds the flags of a subcommand that calls the operator interface of an entry, and
// creates the client for the call.
type Remote struct {
	address string
	keyFile string
	JSON    bool // write JSON instead of text
}

// RemoteFlags registers the flags that all subcommands with a Remote have in common.
func RemoteFlags(fs *flag.FlagSet) *Remote {
	r := &Remote{}
	fs.StringVar(&r.address, "entry", "127.0.0.1:8100", "operator address of any entry, IP:port")
	fs.StringVar(&r.keyFile, "key-file", "", "file that holds the operator's bearer key")
	fs.BoolVar(&r.JSON, "json", false, "write JSON for programs")
	return r
}

// Address returns the operator address given by the flags.
func (r *Remote) Address() string { return r.address }

// securitySource passes the bearer key to the generated client.
type securitySource struct{ key string }

// Key returns the bearer key.
func (s securitySource) Key(context.Context, oper.OperationName) (oper.Key, error) {
	return oper.Key{Token: s.key}, nil
}

// Client returns a client of the entry that the flags name.
func (r *Remote) Client() (*oper.Client, error) { return r.ClientAt(r.address) }

// ClientAt returns a client of the entry at another operator address.
func (r *Remote) ClientAt(address string) (*oper.Client, error) {
	key := "none" // an entry without a file of operator keys accepts any key
	if r.keyFile != "" {
		data, err := os.ReadFile(r.keyFile)
		if err != nil {
			return nil, fmt.Errorf("read key file: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	hc := &http.Client{Timeout: callTimeout}
	return oper.NewClient("http://"+address, securitySource{key}, oper.WithClient(hc))
}

// CallContext returns a context with the time limit of one call.
func CallContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// OperationID returns the given id, or a new one. A command that is sent twice with the
// same id takes effect once.
func OperationID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

// CommandError converts the error of a command. If the entry refused the command and
// changed nothing, the result contains the entry's reason; any other error becomes an
// UnknownError.
func CommandError(err error) error {
	if err == nil {
		return nil
	}
	var refused *oper.ProblemStatusCode
	if !errors.As(err, &refused) {
		return &UnknownError{Err: err}
	}
	if refused.Response.Verdict != oper.ProblemVerdictNotRun {
		return &UnknownError{Err: errors.New(refused.Response.Title)}
	}
	return fmt.Errorf("refused, nothing has changed: %s", refused.Response.Title)
}

// QueryError converts the error of a query. If the entry refused the query, the result
// contains the entry's reason; any other error is returned unchanged.
func QueryError(err error) error {
	var refused *oper.ProblemStatusCode
	if errors.As(err, &refused) {
		return fmt.Errorf("refused: %s", refused.Response.Title)
	}
	return err
}

// NoteError replaces the file name in an entry's refusal of a release note by the name
// of the operator's file. The entry does not know that name, and uses note.UploadName.
func NoteError(file string, err error) error {
	var unknown *UnknownError
	if err == nil || errors.As(err, &unknown) {
		return err
	}
	return errors.New(strings.Replace(err.Error(), note.UploadName+":", file+":", 1))
}

// WriteAccepted writes the result of a command that took effect, as text or as JSON.
func WriteAccepted(out *IO, asJSON bool, res *oper.Accepted, text string) error {
	if asJSON {
		return WriteJSON(out.Out, struct {
			Offset int64 `json:"offset"`
		}{res.Offset})
	}
	_, err := fmt.Fprintf(out.Out, "%s, in force from log offset %d\n", text, res.Offset)
	return err
}
