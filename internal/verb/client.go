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

const callLimit = 8 * time.Second

// Remote is the operator interface of an entry, as the flags name it.
type Remote struct {
	address string
	keyFile string
	JSON    bool
}

// RemoteFlags registers the flags that every remote subcommand has.
func RemoteFlags(fs *flag.FlagSet) *Remote {
	r := &Remote{}
	fs.StringVar(&r.address, "entry", "127.0.0.1:8100", "operator address of any entry, IP:port")
	fs.StringVar(&r.keyFile, "key-file", "", "file that holds the operator's bearer key")
	fs.BoolVar(&r.JSON, "json", false, "write JSON for programs")
	return r
}

// Address returns the operator address that the flags name.
func (r *Remote) Address() string { return r.address }

type source struct{ key string }

// Key returns the bearer key.
func (s source) Key(context.Context, oper.OperationName) (oper.Key, error) {
	return oper.Key{Token: s.key}, nil
}

// Client returns a client of the entry.
func (r *Remote) Client() (*oper.Client, error) { return r.ClientAt(r.address) }

// ClientAt returns a client of the entry at another operator address.
func (r *Remote) ClientAt(address string) (*oper.Client, error) {
	key := "none"
	if r.keyFile != "" {
		data, err := os.ReadFile(r.keyFile)
		if err != nil {
			return nil, fmt.Errorf("read key: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	hc := &http.Client{Timeout: callLimit}
	return oper.NewClient("http://"+address, source{key}, oper.WithClient(hc))
}

// CallContext returns a context for one call.
func CallContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callLimit)
}

// OperationID returns the given id, or a new one. The same id sent twice takes
// effect once.
func OperationID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

// CommandError tells a refusal from a command whose effect is not known.
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

// QueryError gives the reason of an entry that refused a query.
func QueryError(err error) error {
	var refused *oper.ProblemStatusCode
	if errors.As(err, &refused) {
		return fmt.Errorf("refused: %s", refused.Response.Title)
	}
	return err
}

// NoteError names the operator's own file in an entry's refusal of a note.
func NoteError(file string, err error) error {
	var unknown *UnknownError
	if err == nil || errors.As(err, &unknown) {
		return err
	}
	return errors.New(strings.Replace(err.Error(), note.UploadName+":", file+":", 1))
}

// WriteAccepted reports a command that took effect.
func WriteAccepted(out *IO, asJSON bool, res *oper.Accepted, text string) error {
	if asJSON {
		return WriteJSON(out.Out, struct {
			Offset int64 `json:"offset"`
		}{res.Offset})
	}
	_, err := fmt.Fprintf(out.Out, "%s, in force from log offset %d\n", text, res.Offset)
	return err
}
