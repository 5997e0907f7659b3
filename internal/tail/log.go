package tail

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/oas/plat"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	controlStream           = "control"
	longPollWait            = 500 * time.Millisecond  // the log holds a read for this long if there are no new records
	readTimeout             = 1500 * time.Millisecond // of a read and, if needed, the restore of a snapshot; the read is then abandoned and repeated
	appendTimeout           = 1 * time.Second         // an append without a response by then is sent again
	retryBackoff            = 100 * time.Millisecond
	maxReadRecords          = 1000
	snapshotIntervalRecords = 20000 // records after which a new snapshot is due
)

// Log is a client of the platform's log. It reads the control stream into a store and appends
// records to it.
type Log struct {
	store      *Store
	url        string // base URL of the platform
	client     *plat.Client
	httpClient *http.Client
}

// NewLog returns a Log for the platform at the base URL.
func NewLog(store *Store, url string) (*Log, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	hc := &http.Client{Transport: transport}
	client, err := plat.NewClient(url, plat.WithClient(hc))
	if err != nil {
		return nil, fmt.Errorf("platform client for %q: %w", url, err)
	}
	return &Log{store: store, url: url, client: client, httpClient: hc}, nil
}

// Platform returns the client of the platform's API.
func (l *Log) Platform() *plat.Client { return l.client }

// Run reads the control stream into the store until the context ends.
func (l *Log) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.read(ctx); err != nil && ctx.Err() == nil {
			logrus.WithError(err).Debug("reading the platform's log failed; the read is repeated")
			l.closeIdleConnections()
			sleep(ctx, retryBackoff)
		}
	}
}

// closeIdleConnections closes the idle connections after a failure, since they may be dead, and
// further calls on them would fail too.
func (l *Log) closeIdleConnections() { l.httpClient.CloseIdleConnections() }

// read makes one read of the control stream and folds the records. If the log no longer keeps the
// next record, it restores a snapshot.
func (l *Log) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	res, err := l.client.ReadRecords(ctx, plat.ReadRecordsParams{
		Stream: controlStream,
		From:   l.store.Next(),
		Max:    plat.NewOptInt(maxReadRecords),
		WaitMs: plat.NewOptInt(int(longPollWait.Milliseconds())),
	})
	if err != nil {
		return fmt.Errorf("read %s stream: %w", controlStream, err)
	}
	if res.First > l.store.Next() {
		return l.restoreFromSnapshot(ctx, res.First)
	}
	l.store.Apply(toLogRecords(res.Records))
	if l.store.Next() >= res.Next {
		l.store.RecordLogRead(began)
	}
	return nil
}

func toLogRecords(records []plat.Record) []fleet.LogRecord {
	out := make([]fleet.LogRecord, len(records))
	for i, r := range records {
		out[i] = fleet.LogRecord{Offset: r.Offset, TimeMs: r.TimeMs, OperationID: r.OperationID, Data: r.Data}
	}
	return out
}

// Append appends a record and returns its outcome once the record has been folded. Until the
// context ends it repeats a failed append under the same operation id, so that the record takes
// effect once even if the response to a successful append is lost.
func (l *Log) Append(ctx context.Context, operationID string, r fleet.Record) (fleet.Outcome, error) {
	data, err := fleet.Encode(r)
	if err != nil {
		return fleet.Outcome{}, err
	}
	appended := false // the log has confirmed the append; the record may not be folded yet
	for {
		if out, ok := l.store.Outcome(operationID); ok {
			return out, nil
		}
		changed := l.store.Changed()
		if !appended {
			if err := l.appendOnce(ctx, controlStream, operationID, data); err == nil {
				appended = true
			} else if !sleep(ctx, retryBackoff) {
				return fleet.Outcome{}, fmt.Errorf("append %s: %w", operationID, err)
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fleet.Outcome{}, fmt.Errorf("append %s: the record was written, but its outcome is not known yet: %w", operationID, ctx.Err())
		}
	}
}

func (l *Log) appendOnce(ctx context.Context, stream, operationID, data string) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	req := &plat.NewRecord{OperationID: operationID, Data: data}
	_, err := l.client.AppendRecord(ctx, req, plat.AppendRecordParams{Stream: stream})
	if err != nil {
		l.closeIdleConnections()
	}
	return err
}

// sleep waits for d and returns true, or returns false as soon as the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
