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

// Entry is one process of the program, with the links to and from it.
type Entry struct {
	Name     string
	Callers  *Link // from callers
	Peers    *Link // from other entries
	Log      *Link // to the platform's log
	Fleet    *Link // to the inventory
	program  string
	settings string
	output   *os.File
	ready    string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	told    bool          // it was told to end, or killed
	Crashes []string      // ends by themselves
}

// newEntry writes the settings of an entry that is not running yet.
func newEntry(name, program, dir, logAddress, fleetAddress string) (*Entry, error) {
	e := &Entry{Name: name, program: program, settings: filepath.Join(dir, name+".jsonc")}
	ports, err := emul.FreePorts(4)
	if err != nil {
		return nil, err
	}
	local := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	e.ready = local(ports[3])
	targets := []string{local(ports[2]), local(ports[0]), logAddress, fleetAddress}
	for i, link := range e.links() {
		if *link, err = NewLink(targets[i]); err != nil {
			return nil, err
		}
	}
	set := site.Settings{
		Entry: name, DataCentre: "z", IP: "127.0.0.1", Ports: ports[:2], Callers: local(ports[2]), Ready: e.ready, Announce: e.Peers.Address,
		Log:   site.LogSettings{Address: e.Log.Address, Partitions: 4, RecordBytes: 1 << 18, CallBytes: 1 << 21, MinTTLMS: 1000},
		Fleet: site.ServiceAddress{Address: e.Fleet.Address}, Cores: 0.4,
		Bounds: site.Bounds{HoldMS: holdMS, StopGraceMS: 400, ShutdownGraceS: shutdownGrace.Seconds(), KeepFinalS: 120, MoveS: moveTime.Seconds(), TurnMS: 1000},
	}
	data, err := json.Marshal(&set)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	e.output, err = os.Create(filepath.Join(dir, name+".log"))
	return e, err
}

// Start starts the process unless it runs.
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
	e.cmd, e.told, e.ended = cmd, false, make(chan struct{})
	go e.wait(cmd, e.ended)
	return nil
}

func (e *Entry) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.told {
		e.Crashes = append(e.Crashes, fmt.Sprintf("%s ended by itself: %v", e.Name, err))
	}
	e.cmd = nil
	close(ended)
}

// Signal sends a signal to the process, if it runs.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	e.told = e.told || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = e.cmd.Process.Signal(s) // it may have ended by now
}

// running returns the channel that is closed when the process has ended, nil if none
// runs.
func (e *Entry) running() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return nil
	}
	return e.ended
}

// End kills the process and waits until it is gone.
func (e *Entry) End() {
	if ended := e.running(); ended != nil {
		e.Signal(syscall.SIGKILL)
		<-ended
	}
}

// Stop tells the process to end and kills it after its grace.
func (e *Entry) Stop() {
	ended := e.running()
	if ended == nil {
		return
	}
	e.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(shutdownGrace):
		e.End()
	}
}

// Ready asks the process as the balancer does.
func (e *Entry) Ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	r, err := c.Get("http://" + e.ready + "/v1/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// links returns the entry's links: from callers, from other entries, to the log and to
// the inventory.
func (e *Entry) links() []**Link { return []**Link{&e.Callers, &e.Peers, &e.Log, &e.Fleet} }

// heal ends all harm to the entry's links.
func (e *Entry) heal() {
	for _, l := range e.links() {
		(*l).Heal()
	}
}

func (e *Entry) close() {
	e.End()
	for _, l := range e.links() {
		(*l).Close()
	}
	e.output.Close()
}
