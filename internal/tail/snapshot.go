package tail

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/oas/plat"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

const (
	snapshotStream = "control-snapshots"
	chunkBytes     = 256 << 10 // longest part of a snapshot in one record
)

var errNoSnapshot = errors.New("the snapshot stream has no complete snapshot")

// chunk is one record of the snapshot stream: a part of a snapshot.
type chunk struct {
	Next  int64  `json:"next"` // offset of the first record after the snapshot
	Index int    `json:"index"`
	Count int    `json:"count"`
	Hash  string `json:"hash"` // SHA-256 of the whole snapshot, hexadecimal
	Data  string `json:"data"`
}

// splitSnapshot splits a snapshot into chunks.
func splitSnapshot(next int64, data []byte) []chunk {
	sum := sha256.Sum256(data)
	hash := hex.EncodeToString(sum[:])
	n := (len(data) + chunkBytes - 1) / chunkBytes
	chunks := make([]chunk, n)
	for i := range chunks {
		part := data[i*chunkBytes : min((i+1)*chunkBytes, len(data))]
		chunks[i] = chunk{Next: next, Index: i, Count: n, Hash: hash, Data: string(part)}
	}
	return chunks
}

// newestSnapshot returns the state of the newest snapshot of which all chunks are present and the
// hash matches.
func newestSnapshot(records []fleet.LogRecord) (*fleet.State, error) {
	parts := map[string]map[int]chunk{}
	var best *fleet.State
	for _, rec := range records {
		var c chunk
		if json.Unmarshal([]byte(rec.Data), &c) != nil {
			continue
		}
		if parts[c.Hash] == nil {
			parts[c.Hash] = map[int]chunk{}
		}
		parts[c.Hash][c.Index] = c
		if len(parts[c.Hash]) < c.Count || best != nil && c.Next <= best.Next {
			continue
		}
		if s, ok := assembleSnapshot(c, parts[c.Hash]); ok {
			best = s
		}
	}
	if best == nil {
		return nil, errNoSnapshot
	}
	return best, nil
}

// assembleSnapshot joins the chunks of the snapshot that last belongs to and decodes the state. It
// returns false if the hash does not match or the snapshot cannot be decoded.
func assembleSnapshot(last chunk, parts map[int]chunk) (*fleet.State, bool) {
	var b strings.Builder
	for i := range last.Count {
		b.WriteString(parts[i].Data)
	}
	sum := sha256.Sum256([]byte(b.String()))
	if hex.EncodeToString(sum[:]) != last.Hash {
		return nil, false
	}
	s, err := fleet.Restore([]byte(b.String()))
	return s, err == nil
}

// restoreFromSnapshot replaces the state by the newest snapshot. It is called when the log no
// longer keeps the records that follow the state; first is the offset of the log's oldest record.
func (l *Log) restoreFromSnapshot(ctx context.Context, first int64) error {
	records, err := l.readAll(ctx, snapshotStream)
	if err != nil {
		return err
	}
	s, err := newestSnapshot(records)
	if err != nil {
		return fmt.Errorf("restore a snapshot, since the log begins at offset %d: %w", first, err)
	}
	if l.store.Restore(s) {
		logrus.WithField("offset", s.Next).Info("state restored from a snapshot")
	}
	return nil
}

func (l *Log) readAll(ctx context.Context, stream string) ([]fleet.LogRecord, error) {
	var all []fleet.LogRecord
	for from := int64(0); ; {
		res, err := l.client.ReadRecords(ctx, plat.ReadRecordsParams{Stream: stream, From: from, Max: plat.NewOptInt(maxReadRecords)})
		if err != nil {
			return nil, fmt.Errorf("read %s stream: %w", stream, err)
		}
		all = append(all, toLogRecords(res.Records)...)
		if n := len(res.Records); n > 0 {
			from = res.Records[n-1].Offset + 1
		}
		if from >= res.Next || len(res.Records) == 0 {
			return all, nil
		}
	}
}

// SnapshotDue reports whether snapshotIntervalRecords records have followed the last snapshot. A
// new entry needs all records after the newest snapshot, and the log keeps only the newest records.
func SnapshotDue(next, lastSnapshot int64) bool {
	return next-lastSnapshot >= snapshotIntervalRecords
}

// PublishSnapshot writes the current state to the snapshot stream and returns the offset of the
// first record after the snapshot.
func (l *Log) PublishSnapshot(ctx context.Context) (int64, error) {
	var data []byte
	var next int64
	var err error
	l.store.View(func(s *fleet.State) {
		next = s.Next
		data, err = s.Snapshot()
	})
	if err != nil {
		return 0, err
	}
	for _, c := range splitSnapshot(next, data) {
		text, err := json.Marshal(c)
		if err != nil {
			return 0, err
		}
		operationID := fmt.Sprintf("snapshot-%s-%d", c.Hash, c.Index)
		if err := l.appendOnce(ctx, snapshotStream, operationID, string(text)); err != nil {
			return 0, fmt.Errorf("append snapshot chunk %d: %w", c.Index, err)
		}
	}
	return next, nil
}
