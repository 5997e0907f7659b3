package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// entry runs the product's program as the deploy file says, with a settings file of its own.
type entry struct {
	name     string
	rec      *record
	front    string
	ready    string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
}

// freePorts returns the first of n ports in a row that are free. They lie below those that the system gives to
// outgoing connections, which could take them before the entry listens.
func freePorts(n int) (int, error) {
	const lowest, highest = 12_000, 30_000
	for range 200 {
		first := lowest + rand.IntN(highest-lowest)
		var held []net.Listener
		for i := range n {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			if err != nil {
				break
			}
			held = append(held, ln)
		}
		for _, ln := range held {
			ln.Close()
		}
		if len(held) == n {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

func newEntry(name, dir, logAddress, fleetAddress string, rec *record) (*entry, error) {
	first, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", first+i) }
	e := &entry{name: name, rec: rec, front: at(2), ready: at(3), settings: filepath.Join(dir, name+".json")}
	data, err := json.Marshal(map[string]any{
		"entry": name, "data-centre": "z1", "ip": "127.0.0.1", "ports": []int{first, first + 1}, "callers": e.front, "ready": e.ready,
		"log":    map[string]any{"address": logAddress, "partitions": parts, "record-bytes": recordBytes, "call-bytes": callBytes, "min-ttl-ms": minTTLMS},
		"fleet":  map[string]any{"address": fleetAddress, "orders-per-s": 64.0},
		"advice": map[string]any{"address": ""}, "cores": 0.4,
		"bounds": map[string]any{
			"hold-ms": maxHold.Milliseconds(), "stop-grace-ms": 400, "capacity-notice-ms": 3000, "shutdown-grace-s": 6,
			"keep-final-s": 120, "move-s": 1.5, "turn-ms": 3000,
		},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	e.log, err = os.Create(filepath.Join(dir, name+".log"))
	return e, err
}

// start starts the process with the command of the deploy file.
func (e *entry) start(command string) error {
	words := strings.Fields(command)
	e.cmd = exec.Command(words[0], words[1:]...)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGELANE_CONFIG=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), e.cmd
	e.done = done
	go func() {
		err := cmd.Wait()
		e.rec.add("%s has ended: %v", e.name, err)
		close(done)
	}()
	e.rec.add("%s started", e.name)
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.rec.add("%s gets %s", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// kill ends the process and waits for that.
func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	select {
	case <-e.done:
		return
	default:
	}
	e.signal(syscall.SIGKILL)
	<-e.done
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + e.ready + "/v1/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// call sends a client's request on a connection of its own and returns the status, 0 without an answer.
func (e *entry) call(method, path string, body any, budget time.Duration) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	t := &http.Transport{DisableKeepAlives: true}
	c := http.Client{Timeout: budget, Transport: t}
	sent := time.Now()
	res, err := c.Do(req)
	if err != nil {
		e.rec.add("client: %s %s at %s: no answer: %v (sent at %d ms)", method, path, e.name, err, e.rec.ms(sent))
		return 0, ""
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	e.rec.add("client: %s %s at %s: %d %s (sent at %d ms)", method, path, e.name, res.StatusCode, strings.TrimSpace(string(text)), e.rec.ms(sent))
	return res.StatusCode, string(text)
}

// submit hands a job in at the entries in turn until it is accepted.
func (s *scene) submit(path string, body any, budget time.Duration) bool {
	n := 0
	return await(10*time.Second, func() bool {
		status, _ := s.entries[n%len(s.entries)].call(http.MethodPost, path, body, budget)
		n++
		return status == http.StatusOK
	})
}
