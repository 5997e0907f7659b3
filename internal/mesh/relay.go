package mesh

import (
	"context"
	"errors"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// recordsRequest asks a peer for the log records at offset From and above.
type recordsRequest struct{ From int64 }

// recordsResponse holds log records in order. Gap reports that the peer no longer keeps
// the record at the requested offset; the requester then fetches the peer's state.
type recordsResponse struct {
	Records []fleet.LogRecord
	Gap     bool
}

type stateRequest struct{}

type stateResponse struct{ Snapshot []byte }

// fetchRecords fetches and folds the records that a peer has folded and this entry has
// not, so that a change takes effect without waiting for this entry's read of the log.
func (m *Mesh) fetchRecords(ctx context.Context, c *peer.Client) {
	res, err := peer.Call[recordsRequest, recordsResponse](ctx, c, "records", &recordsRequest{From: m.store.Next()})
	if err != nil {
		return
	}
	if !res.Gap {
		m.store.Apply(res.Records)
		return
	}
	state, err := peer.Call[stateRequest, stateResponse](ctx, c, "state", &stateRequest{})
	if err != nil {
		return
	}
	if s, err := fleet.Restore(state.Snapshot); err == nil {
		m.store.Restore(s)
	}
}

func (m *Mesh) handleRecords(_ context.Context, _ string, req *recordsRequest) (*recordsResponse, error) {
	records, ok := m.store.Since(req.From)
	return &recordsResponse{Records: records[:min(len(records), maxRecordsPerResponse)], Gap: !ok}, nil
}

func (m *Mesh) handleState(context.Context, string, *stateRequest) (*stateResponse, error) {
	var data []byte
	err := errors.New("no state to send: no log record has been folded yet")
	m.store.View(func(s *fleet.State) {
		if s.Next > 0 {
			data, err = s.Snapshot()
		}
	})
	return &stateResponse{Snapshot: data}, err
}
