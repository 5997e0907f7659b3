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
	controlStream  = "control"
	readWait       = 500 * time.Millisecond  // the log answers an idle read after this
	readLimit      = 1500 * time.Millisecond // a read without an answer by then is given up
	appendLimit    = 1 * time.Second         // an append without an answer by then is sent again
	retryPause     = 100 * time.Millisecond
	readBatch      = 1000
	snapshotBehind = 20000 // records after which a new snapshot is due
)

// Log reads and appends records of the control stream.
type Log struct {
	store  *Store
	url    string // base URL of the platform
	client *plat.Client
	http   *http.Client
}

// NewLog returns a log client for the platform at the base URL.
func NewLog(store *Store, url string) (*Log, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	hc := &http.Client{Transport: transport}
	client, err := plat.NewClient(url, plat.WithClient(hc))
	if err != nil {
		return nil, fmt.Errorf("platform client for %q: %w", url, err)
	}
	return &Log{store: store, url: url, client: client, http: hc}, nil
}

// Platform returns the platform's client.
func (l *Log) Platform() *plat.Client { return l.client }

// Run follows the log until the context ends.
func (l *Log) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.read(ctx); err != nil && ctx.Err() == nil {
			logrus.WithError(err).Debug("log read failed")
			l.dropConnections()
			sleep(ctx, retryPause)
		}
	}
}

// dropConnections closes idle connections, since the one that failed may have
// gone silent for good.
func (l *Log) dropConnections() { l.http.CloseIdleConnections() }

func (l *Log) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	began := time.Now()
	res, err := l.client.ReadRecords(ctx, plat.ReadRecordsParams{
		Stream: controlStream,
		From:   l.store.Next(),
		Max:    plat.NewOptInt(readBatch),
		WaitMs: plat.NewOptInt(int(readWait.Milliseconds())),
	})
	if err != nil {
		return fmt.Errorf("read %s stream: %w", controlStream, err)
	}
	if res.First > l.store.Next() {
		return l.restore(ctx, res.First)
	}
	l.store.Apply(fromPlatform(res.Records))
	if l.store.Next() >= res.Next {
		l.store.SawLog(began)
	}
	return nil
}

func fromPlatform(records []plat.Record) []fleet.LogRecord {
	out := make([]fleet.LogRecord, len(records))
	for i, r := range records {
		out[i] = fleet.LogRecord{Offset: r.Offset, TimeMs: r.TimeMs, OperationID: r.OperationID, Data: r.Data}
	}
	return out
}

// Append writes a record and returns what became of it. It sends the record
// again under the same operation id until the context ends, so an answer that
// was lost after the write costs nothing but time.
func (l *Log) Append(ctx context.Context, operationID string, r fleet.Record) (fleet.Outcome, error) {
	data, err := fleet.Encode(r)
	if err != nil {
		return fleet.Outcome{}, err
	}
	sent := false
	for {
		if out, ok := l.store.Outcome(operationID); ok {
			return out, nil
		}
		changed := l.store.Changed()
		if !sent {
			if err := l.appendOnce(ctx, controlStream, operationID, data); err == nil {
				sent = true
			} else if !sleep(ctx, retryPause) {
				return fleet.Outcome{}, fmt.Errorf("append %s: %w", operationID, err)
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fleet.Outcome{}, fmt.Errorf("append %s: written, its outcome is not known yet: %w", operationID, ctx.Err())
		}
	}
}

func (l *Log) appendOnce(ctx context.Context, stream, operationID, data string) error {
	ctx, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	req := &plat.NewRecord{OperationID: operationID, Data: data}
	_, err := l.client.AppendRecord(ctx, req, plat.AppendRecordParams{Stream: stream})
	if err != nil {
		l.dropConnections()
	}
	return err
}

// sleep waits and reports whether the context still lives.
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
