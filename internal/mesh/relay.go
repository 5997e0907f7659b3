package mesh

import (
	"context"
	"errors"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/fleet"
)

// recordsCall asks for the records from an offset on.
type recordsCall struct{ From int64 }

// recordsAnswer holds records in order; Gap says that older ones are needed.
type recordsAnswer struct {
	Records []fleet.LogRecord
	Gap     bool
}

type stateCall struct{}

type stateAnswer struct{ Snapshot []byte }

// fetch takes the records that a peer has folded and this entry has not, so that
// a change is in force without waiting for this entry's own read of the log.
func (m *Mesh) fetch(ctx context.Context, c *peer.Client) {
	res, err := peer.Call[recordsCall, recordsAnswer](ctx, c, "records", &recordsCall{From: m.store.Next()})
	if err != nil {
		return
	}
	if !res.Gap {
		m.store.Apply(res.Records)
		return
	}
	state, err := peer.Call[stateCall, stateAnswer](ctx, c, "state", &stateCall{})
	if err != nil {
		return
	}
	if s, err := fleet.Restore(state.Snapshot); err == nil {
		m.store.Restore(s)
	}
}

func (m *Mesh) onRecords(_ context.Context, _ string, req *recordsCall) (*recordsAnswer, error) {
	records, ok := m.store.Since(req.From)
	return &recordsAnswer{Records: records[:min(len(records), maxRecords)], Gap: !ok}, nil
}

func (m *Mesh) onState(context.Context, string, *stateCall) (*stateAnswer, error) {
	var data []byte
	err := errors.New("no state yet")
	m.store.View(func(s *fleet.State) {
		if s.Next > 0 {
			data, err = s.Snapshot()
		}
	})
	return &stateAnswer{Snapshot: data}, err
}
