package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Entry runs the program as one entry in a process of its own, with a link for each kind of
// connection to or from it. mu guards the fields below it.
type Entry struct {
	Name         string
	Callers      *Link      // from callers
	Peers        *Link      // from other entries
	peerLinks    *peerLinks // between Peers and the entry; nil unless links are cut by the calling entry
	Log          *Link      // to the platform's log
	Fleet        *Link      // to the fleet inventory
	programs     []string   // each start picks one
	pick         *rand.Rand // picks the program; mu guards it
	contact      *contact   // that records when the entry is disturbed
	settings     string     // path of the settings file
	output       *os.File   // standard output and standard error
	readyAddress string     // for readiness checks

	mu            sync.Mutex
	cmd           *exec.Cmd       // nil unless the process runs
	exited        chan struct{}   // closed when the process has exited
	resumed       func(time.Time) // records the end of a pause; nil unless the process is paused
	terminated    bool            // SIGTERM was sent since the last start
	stopRequested bool            // SIGTERM or SIGKILL was sent
	Crashes       []string        // descriptions of unexpected exits
}

// newEntry writes the settings file and opens the links of an entry; it does not start the
// process.
func newEntry(name string, cfg *Config, logAddress, fleetAddress string, revokeStrict bool) (*Entry, error) {
	e := &Entry{Name: name, programs: cfg.programs(), settings: filepath.Join(cfg.Dir, name+".jsonc")}
	// The first two ports are for other entries, the third for callers, the fourth for
	// readiness checks.
	ports, err := emul.FreePorts(4)
	if err != nil {
		return nil, err
	}
	loopback := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	e.readyAddress = loopback(ports[3])
	targets := []string{loopback(ports[2]), loopback(ports[0]), logAddress, fleetAddress}
	if cfg.Load.Cuts > 0 {
		if e.peerLinks, err = newPeerLinks(loopback(ports[0]), cfg.entryNames()); err != nil {
			return nil, err
		}
		targets[1] = e.peerLinks.ln.Addr().String()
	}
	for i, link := range e.links() {
		if *link, err = NewLink(targets[i]); err != nil {
			return nil, err
		}
	}
	settings := site.Settings{
		Entry: name, DataCentre: cfg.Load.dataCentreOf(name), IP: "127.0.0.1", Ports: ports[:2], Callers: loopback(ports[2]), Ready: e.readyAddress, Announce: e.Peers.Address,
		Log:   site.LogSettings{Address: e.Log.Address, Partitions: cfg.Load.Partitions, RecordBytes: emul.MaxRecordBytes, CallBytes: emul.MaxCallBytes, MinTTLMS: 1000},
		Fleet: site.FleetSettings{Address: e.Fleet.Address}, Cores: 0.4,
		Bounds: site.Bounds{HoldMS: int(emul.MaxLease.Milliseconds()), StopGraceMS: 400, ShutdownGraceS: shutdownGrace.Seconds(), KeepFinalS: cfg.keepFinalS(), MoveS: moveTime.Seconds(), TurnMS: 1000, RevokeStrict: revokeStrict, RevokeMS: int(revokeLimit.Milliseconds())},
	}
	data, err := marshalSettings(&settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	e.output, err = os.Create(filepath.Join(cfg.Dir, name+".log"))
	return e, err
}

// marshalSettings returns the settings without the bounds that are not set, which a program of an earlier version may
// not know.
func marshalSettings(s *site.Settings) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	bounds, _ := fields["bounds"].(map[string]any)
	maps.DeleteFunc(bounds, func(_ string, value any) bool { return value == float64(0) })
	return json.Marshal(fields)
}

// Start starts the process unless it is running.
func (e *Entry) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return nil
	}
	program := e.programs[e.pick.IntN(len(e.programs))]
	fmt.Fprintf(e.output, "starts %s\n", program)
	e.contact.restart(time.Now(), e.Name, e.terminated)
	e.terminated = false
	cmd := exec.Command(program, "schedule", "-settings", e.settings)
	cmd.Stdout, cmd.Stderr = e.output, e.output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.Name, err)
	}
	e.cmd, e.stopRequested, e.exited = cmd, false, make(chan struct{})
	go e.wait(cmd, e.exited)
	return nil
}

func (e *Entry) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopRequested {
		e.Crashes = append(e.Crashes, fmt.Sprintf("%s exited unexpectedly: %v", e.Name, err))
	}
	e.cmd = nil
	close(exited)
}

// Signal sends a signal to the process, if it runs.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	e.recordSignal(time.Now(), s)
	e.stopRequested = e.stopRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = e.cmd.Process.Signal(s) // fails if the process has just exited
}

// recordSignal records the disturbance that a signal is. A pause lasts from SIGSTOP to SIGCONT or SIGKILL; e.mu is held.
func (e *Entry) recordSignal(now time.Time, s syscall.Signal) {
	if s == syscall.SIGKILL && e.resumed != nil {
		e.resumed(now)
		e.resumed = nil
	}
	switch {
	case s == syscall.SIGTERM:
		e.contact.terminate(now, e.Name)
		e.terminated = true
	case s == syscall.SIGSTOP && e.resumed == nil:
		e.resumed = e.contact.begin(now, e.Name)
	case s == syscall.SIGCONT && e.resumed != nil:
		e.resumed(now)
		e.resumed = nil
	case s != syscall.SIGCONT && s != syscall.SIGHUP:
		e.contact.disturb(now, e.Name)
	}
}

// done returns the channel that is closed when the process has exited. The channel is nil if
// the process is not running.
func (e *Entry) done() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return nil
	}
	return e.exited
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (e *Entry) Kill() {
	if exited := e.done(); exited != nil {
		e.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Stop sends SIGTERM to the process and kills it if it has not exited after shutdownGrace.
func (e *Entry) Stop() {
	exited := e.done()
	if exited == nil {
		return
	}
	e.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(shutdownGrace):
		e.Kill()
	}
}

// Ready reports whether the entry passes the health check of the platform's load balancer.
func (e *Entry) Ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	res, err := client.Get("http://" + e.readyAddress + "/v1/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// links returns the links from callers, from other entries, to the log and to the fleet
// inventory, in this order.
func (e *Entry) links() []**Link { return []**Link{&e.Callers, &e.Peers, &e.Log, &e.Fleet} }

// clearFaults ends the faults of all links of the entry.
func (e *Entry) clearFaults() {
	for _, l := range e.links() {
		(*l).ClearFaults()
	}
}

func (e *Entry) close() {
	e.Kill()
	for _, l := range e.links() {
		(*l).Close()
	}
	if e.peerLinks != nil {
		e.peerLinks.close()
	}
	e.output.Close()
}
