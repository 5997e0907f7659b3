// Package stand contains stand-ins for the systems around greengagelane, for the demo and
// for tests: the platform, backend servers, callers and the older system. Callers send the
// load of a plan through entries to the backend servers. Callers and backend servers record
// their requests, and the checks compare these records and the platform's log with the
// promises P1 to P8. The platform and the backend servers inject faults on request (POST
// /faults). The command standin runs each stand-in as a subcommand, and writes the settings
// of a site.
//
// These stand-ins serve entries that forward requests. Those that schedule jobs use other
// interfaces of the platform, which package emul emulates and package soak tests against.
package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/greengagelane/greengagelane/internal/oas/plat"
)

const (
	dedupeRecords  = 10000
	lostReplyDelay = 10 * time.Second // a lost reply comes long after the client's timeout
)

// PlatformFaults are the faults injected into the platform.
type PlatformFaults struct {
	Outage     bool `json:"outage"`      // all calls to the log fail
	LoseAnswer int  `json:"lose-answer"` // number of next appends that take effect without a reply in time
	SlowMs     int  `json:"slow-ms"`     // delay added to each call to the log, milliseconds
}

// Platform is a stand-in for the platform that api/platform.yml describes: the log, the VM
// list and VM operations.
type Platform struct {
	mu         sync.Mutex
	faults     PlatformFaults
	streams    map[string]*stream
	changed    chan struct{} // closed and replaced at each append
	retain     int           // maximum number of records per stream
	controlURL string        // base URL of the backend servers' control interface
	lag        time.Duration // delay from reading the VMs' states to publishing them
	list       []plat.VMState
	reboots    map[string]plat.VMState // result of each reboot call, by operation id
	listedAt   time.Time
}

// stream is one stream of the log. It drops its oldest records beyond Platform.retain.
type stream struct {
	first         int64 // offset of records[0]
	records       []plat.Record
	offsetsByOpID map[string]int64 // offset of each retained record, by operation id
}

// NewPlatform returns a platform that keeps the newest retain records of each stream, and
// whose VM list shows the VMs as they were lag earlier.
func NewPlatform(controlURL string, retain int, lag time.Duration) *Platform {
	return &Platform{
		streams: map[string]*stream{}, changed: make(chan struct{}), retain: retain,
		controlURL: controlURL, lag: lag, reboots: map[string]plat.VMState{},
	}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() (http.Handler, error) {
	api, err := plat.NewServer(p)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/", api)
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if err := json.NewDecoder(r.Body).Decode(&p.faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux, nil
}

// Run reads the VMs' states from the backend servers' control interface and publishes them
// as the VM list after the lag, until ctx is done.
func (p *Platform) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var list []plat.VMState
		err := getJSON(ctx, p.controlURL+"/vms", &list)
		time.Sleep(p.lag)
		if err == nil {
			p.mu.Lock()
			p.list = list
			p.mu.Unlock()
		}
	}
}

// applyFaults delays a call to the log by SlowMs. It returns false in an outage.
func (p *Platform) applyFaults(ctx context.Context) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	sleep(ctx, time.Duration(f.SlowMs)*time.Millisecond)
	return !f.Outage
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// AppendRecord implements plat.Handler.
func (p *Platform) AppendRecord(ctx context.Context, req *plat.NewRecord, params plat.AppendRecordParams) (*plat.Appended, error) {
	if !p.applyFaults(ctx) {
		return nil, fmt.Errorf("outage")
	}
	p.mu.Lock()
	s := p.stream(params.Stream)
	offset, known := s.offsetsByOpID[req.OperationID]
	if !known {
		offset = p.append(s, req)
	}
	loseReply := p.faults.LoseAnswer > 0
	if loseReply {
		p.faults.LoseAnswer--
	}
	p.mu.Unlock()
	if loseReply {
		sleep(ctx, lostReplyDelay)
		return nil, fmt.Errorf("answer lost")
	}
	return &plat.Appended{Offset: offset}, nil
}

// stream returns a stream, which it creates if it does not exist.
func (p *Platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{offsetsByOpID: map[string]int64{}}
		p.streams[name] = s
	}
	return s
}

func (p *Platform) append(s *stream, req *plat.NewRecord) int64 {
	offset := s.first + int64(len(s.records))
	s.records = append(s.records, plat.Record{
		Offset: offset, TimeMs: time.Now().UnixMilli(), OperationID: req.OperationID, Data: req.Data,
	})
	s.offsetsByOpID[req.OperationID] = offset
	if len(s.records) > p.retain {
		delete(s.offsetsByOpID, s.records[0].OperationID)
		s.records = s.records[1:]
		s.first++
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return offset
}

// ReadRecords implements plat.Handler.
func (p *Platform) ReadRecords(ctx context.Context, params plat.ReadRecordsParams) (*plat.Records, error) {
	deadline := time.Now().Add(time.Duration(params.WaitMs.Or(0)) * time.Millisecond)
	for {
		if !p.applyFaults(ctx) {
			return nil, fmt.Errorf("outage")
		}
		p.mu.Lock()
		res := p.read(params)
		changed := p.changed
		p.mu.Unlock()
		remaining := time.Until(deadline)
		if len(res.Records) > 0 || remaining <= 0 {
			return res, nil
		}
		t := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		t.Stop()
	}
}

// read returns the retained records from an offset on, at most Max of them.
func (p *Platform) read(params plat.ReadRecordsParams) *plat.Records {
	s := p.stream(params.Stream)
	res := &plat.Records{First: s.first, Next: s.first + int64(len(s.records)), Records: []plat.Record{}}
	i := max(params.From, s.first) - s.first
	if i < int64(len(s.records)) {
		end := min(i+int64(params.Max.Or(1000)), int64(len(s.records)))
		res.Records = append(res.Records, s.records[i:end]...)
	}
	return res
}

// ListVMs implements plat.Handler.
func (p *Platform) ListVMs(context.Context) ([]plat.VMState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]plat.VMState{}, p.list...), nil
}

// RebootVM implements plat.Handler.
func (p *Platform) RebootVM(ctx context.Context, params plat.RebootVMParams) (*plat.VMState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st, ok := p.reboots[params.OperationID]; ok {
		return &st, nil
	}
	var st plat.VMState
	if err := postJSON(ctx, p.controlURL+"/vms/"+params.VM+"/reboot", nil, &st); err != nil {
		return nil, err
	}
	p.reboots[params.OperationID] = st
	return &st, nil
}

// NewError implements plat.Handler.
func (p *Platform) NewError(_ context.Context, err error) *plat.ProblemStatusCode {
	return &plat.ProblemStatusCode{StatusCode: http.StatusServiceUnavailable, Response: plat.Problem{Title: err.Error()}}
}
