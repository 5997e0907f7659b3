package peak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
	"github.com/greengagelane/greengagelane/pkg/site"
)

const stopTimeout = 8 * time.Second // from SIGTERM to SIGKILL

// entry is the program that runs as the only entry.
type entry struct {
	cmd     *exec.Cmd
	output  *os.File
	callers string
	metrics string
}

func startEntry(cfg *Config, platform *emul.Platform) (*entry, error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, err
	}
	ports, err := emul.FreePorts(4)
	if err != nil {
		return nil, err
	}
	loopback := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	settings := &site.Settings{
		Entry: "entry-1", DataCentre: "z", IP: "127.0.0.1", Ports: ports[:2], Callers: loopback(ports[2]), Ready: loopback(ports[3]),
		Log:   site.LogSettings{Address: platform.LogAddr, Partitions: 4, RecordBytes: emul.MaxRecordBytes, CallBytes: emul.MaxCallBytes, MinTTLMS: 1000},
		Fleet: site.FleetSettings{Address: platform.FleetAddr}, Cores: 1,
		Bounds: site.Bounds{HoldMS: int(emul.MaxLease.Milliseconds()), StopGraceMS: 400, ShutdownGraceS: 6, KeepFinalS: 120, MoveS: 1, TurnMS: 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(cfg.Dir, "entry.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	e := &entry{callers: settings.Callers, metrics: settings.MetricsAddress()}
	if e.output, err = os.Create(filepath.Join(cfg.Dir, "entry.log")); err != nil {
		return nil, err
	}
	args := []string{"schedule", "-settings", file}
	if cfg.Profile != "" {
		args = append(args, "-cpu-profile", cfg.Profile)
	}
	e.cmd = exec.Command(cfg.Program, args...)
	e.cmd.Stdout, e.cmd.Stderr = e.output, e.output
	if cfg.Processors > 0 {
		e.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(cfg.Processors))
	}
	if err := e.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", cfg.Program, err)
	}
	return e, nil
}

// stop ends the entry, which writes its profile then.
func (e *entry) stop() {
	_ = e.cmd.Process.Signal(syscall.SIGTERM) // fails if it has ended
	kill := time.AfterFunc(stopTimeout, func() { _ = e.cmd.Process.Kill() })
	defer kill.Stop()
	_ = e.cmd.Wait()
	e.output.Close()
}

// counters are metrics of the entry at one time.
type counters struct {
	processor time.Duration // since the start of the process
	values    map[string]float64
}

// read reads the entry's metrics.
func (e *entry) read() (counters, error) {
	c := counters{values: map[string]float64{}}
	client := http.Client{Timeout: callTimeout}
	res, err := client.Get("http://" + e.metrics + "/metrics")
	if err != nil {
		return c, err
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(text, 64); ok && err == nil {
			c.values[name] = v
		}
	}
	c.processor = time.Duration(c.values["process_cpu_seconds_total"] * float64(time.Second))
	return c, lines.Err()
}
