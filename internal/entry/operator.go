package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
	"github.com/greengagelane/greengagelane/pkg/fleet"
	"github.com/greengagelane/greengagelane/pkg/note"
	"github.com/greengagelane/greengagelane/pkg/result"
)

const (
	commandTimeout = 5 * time.Second // for the log to confirm an operator's record
)

// operatorServer returns the HTTP server for the operator API, health checks and metrics.
func (e *Entry) operatorServer() (*http.Server, error) {
	api, err := oper.NewServer(&operator{e}, &operator{e})
	if err != nil {
		return nil, fmt.Errorf("create operator API server: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", api)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "alive") })
	mux.HandleFunc("GET /ready", e.ready)
	mux.HandleFunc("GET /metrics", e.metrics)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, nil
}

// ready tells the load balancer whether to send requests to this entry.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.Stopping():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !e.mesh.Fresh(time.Now()):
		http.Error(w, "the entry cannot prove that its configuration is current", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ready")
	}
}

func (e *Entry) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	now := time.Now()
	metrics.WriteGaugeUint64(w, "greengagelane_log_offset", uint64(e.store.Next()))
	metrics.WriteGaugeFloat64(w, "greengagelane_log_age_seconds", now.Sub(e.store.LastLogRead()).Seconds())
	for name, p := range e.handler.Table().Pools {
		load := e.handler.Gate(p).Load()
		metrics.WriteGaugeUint64(w, fmt.Sprintf("greengagelane_demand{pool=%q}", name), uint64(load.Demand))
		metrics.WriteCounterUint64(w, fmt.Sprintf("greengagelane_refused_total{pool=%q}", name), uint64(load.Refused))
	}
}

// operator implements the operator API.
type operator struct{ e *Entry }

// operatorContextKey is the context key of the name of the calling operator.
type operatorContextKey struct{}

// HandleKey checks the bearer key of a call and adds the operator's name to the context.
func (o *operator) HandleKey(ctx context.Context, _ oper.OperationName, t oper.Key) (context.Context, error) {
	name, ok := o.e.operatorKeys.holder(t.Token)
	if !ok {
		logrus.Warn("operator call refused: the key is not accepted")
		return ctx, errors.New("the key is not accepted")
	}
	return context.WithValue(ctx, operatorContextKey{}, name), nil
}

// NewError turns an error into the HTTP response of a call.
func (o *operator) NewError(_ context.Context, err error) *oper.ProblemStatusCode {
	var p *result.Problem
	var denied *ogenerrors.SecurityError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &denied):
		p = result.Refuse(http.StatusUnauthorized, time.Second, "%v", err)
	default:
		p = result.Refuse(http.StatusBadRequest, time.Second, "%v", err)
	}
	return &oper.ProblemStatusCode{
		StatusCode: p.Status,
		Response:   oper.Problem{Title: p.Title, Verdict: oper.ProblemVerdict(p.Verdict.String())},
	}
}

// command appends an operator's record to the log and returns its outcome. If the log does not
// confirm it in time, the operator may repeat the command under the same operation id.
func (o *operator) command(ctx context.Context, operationID string, r fleet.Record) (*oper.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	kind, subject := fleet.Describe(r)
	logEntry := logrus.WithFields(logrus.Fields{"operator": ctx.Value(operatorContextKey{}), "record": kind, "subject": subject})
	out, err := o.e.log.Append(ctx, operationID, r)
	if err != nil {
		logEntry.WithError(err).Warn("operator command not confirmed by the platform's log")
		p := result.Unknown(http.StatusServiceUnavailable, "the platform's log did not confirm the command; repeat it with operation id %s: %v", operationID, err)
		return nil, p
	}
	if !out.Applied {
		logEntry.WithField("reason", out.Reason).Warn("operator command refused")
		return nil, result.Refuse(http.StatusConflict, time.Second, "%s", out.Reason)
	}
	logEntry.WithField("offset", out.Offset).Info("operator command accepted")
	return &oper.Accepted{Offset: out.Offset}, nil
}

// PublishRelease validates the whole release note against the state and publishes it.
func (o *operator) PublishRelease(ctx context.Context, req oper.PublishReleaseReq) (*oper.Accepted, error) {
	data, err := io.ReadAll(req.Data)
	if err != nil {
		return nil, err
	}
	var n fleet.Note
	o.e.store.View(func(s *fleet.State) { n, err = note.Check(note.UploadName, data, s) })
	if err != nil {
		logrus.WithError(err).Warn("release note refused")
		return nil, result.Refuse(http.StatusConflict, time.Second, "%v", err)
	}
	return o.command(ctx, "release-"+n.Release+"-"+uuid.NewString(), fleet.ReleasePublished{Note: n})
}

// MoveVM starts the move of a VM to another pool.
func (o *operator) MoveVM(ctx context.Context, p oper.MoveVMParams) (*oper.Accepted, error) {
	from := ""
	o.e.store.View(func(s *fleet.State) { from = s.VMs[p.VM].Pool })
	return o.command(ctx, p.OperationID, fleet.MoveStarted{VM: p.VM, From: from, To: p.To})
}

// ControlWave starts or pauses a wave.
func (o *operator) ControlWave(ctx context.Context, p oper.ControlWaveParams) (*oper.Accepted, error) {
	if p.Action == oper.ControlWaveActionStart {
		return o.command(ctx, p.OperationID, fleet.WaveStarted{Wave: p.Wave})
	}
	return o.command(ctx, p.OperationID, fleet.WavePauseAsked{Wave: p.Wave})
}

// RetireEntry removes an entry whose VM will not come back.
func (o *operator) RetireEntry(ctx context.Context, p oper.RetireEntryParams) (*oper.Accepted, error) {
	return o.command(ctx, p.OperationID, fleet.EntryRetired{Name: p.Entry})
}

// ListEvents returns the recent events of this entry.
func (o *operator) ListEvents(context.Context) (*oper.Events, error) {
	out := []oper.Event{}
	for _, ev := range o.e.events.List() {
		out = append(out, oper.Event{
			TimeMs: ev.Time.UnixMilli(), Sequence: ev.Sequence, Entry: o.e.self.Name, Offset: ev.Offset,
			Kind: ev.Kind.String(), Subject: ev.Subject, Text: strings.ToValidUTF8(ev.Text, "?"),
		})
	}
	return &oper.Events{NowMs: time.Now().UnixMilli(), Events: out}, nil
}

// PlanRelease returns the changes that a release note would make, and in Tight the pools from which
// no VM could then leave service for a move or a wave.
func (o *operator) PlanRelease(_ context.Context, req oper.PlanReleaseReq) (*oper.Plan, error) {
	data, err := io.ReadAll(req.Data)
	if err != nil {
		return nil, err
	}
	plan := &oper.Plan{}
	o.e.store.View(func(s *fleet.State) {
		var n fleet.Note
		if n, err = note.Check(note.UploadName, data, s); err == nil {
			plan.Changes, plan.Tight = s.PlanNote(n)
		}
	})
	if err != nil {
		return nil, result.Refuse(http.StatusConflict, time.Second, "%v", err)
	}
	return plan, nil
}

// GetStatus returns the entry's view of the fleet.
func (o *operator) GetStatus(context.Context) (*oper.Status, error) {
	now := time.Now()
	st := &oper.Status{
		Entry: o.e.self.Name, Fresh: o.e.mesh.Fresh(now), LogAgeMs: now.Sub(o.e.store.LastLogRead()).Milliseconds(),
		Members: []oper.MemberStatus{}, Pools: []oper.PoolStatus{}, Vms: []oper.VMStatus{},
		Waves: []oper.WaveStatus{}, Leases: []oper.LeaseStatus{},
	}
	o.e.store.View(func(s *fleet.State) { fillStatus(st, s) })
	st.Members = o.e.memberStatus(now)
	// A release is in force at this entry once the routing table is built from it.
	st.Release, st.Offset = o.e.handler.Table().Release, o.e.handler.Table().Offset
	return st, nil
}
