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
	chunkBytes     = 256 << 10 // bytes of state in one snapshot record
)

var errNoSnapshot = errors.New("no whole snapshot is kept")

// chunk is one record of the snapshot stream.
type chunk struct {
	Next  int64  `json:"next"` // offset that the snapshot reaches to
	Index int    `json:"index"`
	Count int    `json:"count"`
	Hash  string `json:"hash"` // SHA-256 of the whole snapshot, hexadecimal
	Data  string `json:"data"`
}

// split cuts a snapshot into chunks.
func split(next int64, data []byte) []chunk {
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

// newestWhole returns the state of the newest snapshot whose chunks are all
// there and whose hash is right.
func newestWhole(records []fleet.LogRecord) (*fleet.State, error) {
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
		if s, ok := join(c, parts[c.Hash]); ok {
			best = s
		}
	}
	if best == nil {
		return nil, errNoSnapshot
	}
	return best, nil
}

func join(last chunk, parts map[int]chunk) (*fleet.State, bool) {
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

// restore starts from the newest snapshot when the log no longer keeps the
// records that follow the state.
func (l *Log) restore(ctx context.Context, first int64) error {
	records, err := l.readAll(ctx, snapshotStream)
	if err != nil {
		return err
	}
	s, err := newestWhole(records)
	if err != nil {
		return fmt.Errorf("restore at offset %d: %w", first, err)
	}
	if l.store.Restore(s) {
		logrus.WithField("offset", s.Next).Info("restored from a snapshot")
	}
	return nil
}

func (l *Log) readAll(ctx context.Context, stream string) ([]fleet.LogRecord, error) {
	var all []fleet.LogRecord
	for from := int64(0); ; {
		res, err := l.client.ReadRecords(ctx, plat.ReadRecordsParams{Stream: stream, From: from, Max: plat.NewOptInt(readBatch)})
		if err != nil {
			return nil, fmt.Errorf("read %s stream: %w", stream, err)
		}
		all = append(all, fromPlatform(res.Records)...)
		if n := len(res.Records); n > 0 {
			from = res.Records[n-1].Offset + 1
		}
		if from >= res.Next || len(res.Records) == 0 {
			return all, nil
		}
	}
}

// SnapshotDue reports whether the log's oldest record is close enough to be
// needed by a new entry while the last snapshot is old.
func SnapshotDue(next, lastSnapshot int64) bool {
	return next-lastSnapshot >= snapshotBehind
}

// PublishSnapshot writes the present state to the snapshot stream and returns
// the offset it reaches to.
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
	for _, c := range split(next, data) {
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
