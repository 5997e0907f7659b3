package soak

import (
	"encoding/json"
	"fmt"
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
	Callers      *Link // from callers
	Peers        *Link // from other entries
	Log          *Link // to the platform's log
	Fleet        *Link // to the fleet inventory
	program      string
	settings     string   // path of the settings file
	output       *os.File // standard output and standard error
	readyAddress string   // for readiness checks

	mu            sync.Mutex
	cmd           *exec.Cmd     // nil unless the process runs
	exited        chan struct{} // closed when the process has exited
	stopRequested bool          // SIGTERM or SIGKILL was sent
	Crashes       []string      // descriptions of unexpected exits
}

// newEntry writes the settings file and opens the links of an entry; it does not start the
// process.
func newEntry(name, program, dir, logAddress, fleetAddress string, revokeStrict bool) (*Entry, error) {
	e := &Entry{Name: name, program: program, settings: filepath.Join(dir, name+".jsonc")}
	// The first two ports are for other entries, the third for callers, the fourth for
	// readiness checks.
	ports, err := emul.FreePorts(4)
	if err != nil {
		return nil, err
	}
	loopback := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	e.readyAddress = loopback(ports[3])
	targets := []string{loopback(ports[2]), loopback(ports[0]), logAddress, fleetAddress}
	for i, link := range e.links() {
		if *link, err = NewLink(targets[i]); err != nil {
			return nil, err
		}
	}
	settings := site.Settings{
		Entry: name, DataCentre: "z", IP: "127.0.0.1", Ports: ports[:2], Callers: loopback(ports[2]), Ready: e.readyAddress, Announce: e.Peers.Address,
		Log:   site.LogSettings{Address: e.Log.Address, Partitions: 4, RecordBytes: emul.MaxRecordBytes, CallBytes: emul.MaxCallBytes, MinTTLMS: 1000},
		Fleet: site.FleetSettings{Address: e.Fleet.Address}, Cores: 0.4,
		Bounds: site.Bounds{HoldMS: int(emul.MaxLease.Milliseconds()), StopGraceMS: 400, ShutdownGraceS: shutdownGrace.Seconds(), KeepFinalS: 120, MoveS: moveTime.Seconds(), TurnMS: 1000, RevokeStrict: revokeStrict, RevokeMS: int(revokeLimit.Milliseconds())},
	}
	data, err := json.Marshal(&settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	e.output, err = os.Create(filepath.Join(dir, name+".log"))
	return e, err
}

// Start starts the process unless it is running.
func (e *Entry) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return nil
	}
	cmd := exec.Command(e.program, "schedule", "-settings", e.settings)
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
	e.stopRequested = e.stopRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = e.cmd.Process.Signal(s) // fails if the process has just exited
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
	e.output.Close()
}
