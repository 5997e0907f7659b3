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
	commandLimit = 5 * time.Second
)

// operatorServer serves the operator interface, health checks and metrics.
func (e *Entry) operatorServer() (*http.Server, error) {
	api, err := oper.NewServer(&operator{e}, &operator{e})
	if err != nil {
		return nil, fmt.Errorf("operator interface: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", api)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "alive") })
	mux.HandleFunc("GET /ready", e.ready)
	mux.HandleFunc("GET /metrics", e.metrics)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}, nil
}

// ready tells the balancer whether the entry takes requests.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.Stopping():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !e.mesh.Fresh(time.Now()):
		http.Error(w, "the configuration is not shown to be current", http.StatusServiceUnavailable)
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

// operator implements the operator interface.
type operator struct{ e *Entry }

type operatorName struct{}

// HandleKey checks the bearer key of a call.
func (o *operator) HandleKey(ctx context.Context, _ oper.OperationName, t oper.Key) (context.Context, error) {
	name, ok := o.e.keys.holder(t.Token)
	if !ok {
		logrus.Warn("operator refused: the key is not accepted")
		return ctx, errors.New("the key is not accepted")
	}
	return context.WithValue(ctx, operatorName{}, name), nil
}

// NewError turns an error into the answer of a call.
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

// command appends an operator's record and tells what became of it.
func (o *operator) command(ctx context.Context, operationID string, r fleet.Record) (*oper.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, commandLimit)
	defer cancel()
	kind, subject := fleet.Describe(r)
	entry := logrus.WithFields(logrus.Fields{"operator": ctx.Value(operatorName{}), "record": kind, "subject": subject})
	out, err := o.e.log.Append(ctx, operationID, r)
	if err != nil {
		entry.WithError(err).Warn("command not confirmed")
		p := result.Unknown(http.StatusServiceUnavailable, "the platform's log does not answer; send it again with operation id %s: %v", operationID, err)
		return nil, p
	}
	if !out.Applied {
		entry.WithField("reason", out.Reason).Warn("command refused")
		return nil, result.Refuse(http.StatusConflict, time.Second, "%s", out.Reason)
	}
	entry.WithField("offset", out.Offset).Info("command accepted")
	return &oper.Accepted{Offset: out.Offset}, nil
}

// PublishRelease checks a release note whole and publishes it.
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

// MoveVM starts a move.
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

// RetireEntry removes an entry whose VM is gone for good.
func (o *operator) RetireEntry(ctx context.Context, p oper.RetireEntryParams) (*oper.Accepted, error) {
	return o.command(ctx, p.OperationID, fleet.EntryRetired{Name: p.Entry})
}

// ListEvents returns the ring of recent events.
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

// PlanRelease says what a release note would change.
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
	// The release counts as in force here once requests are routed by it.
	st.Release, st.Offset = o.e.handler.Table().Release, o.e.handler.Table().Offset
	return st, nil
}
